#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python; nothing is compiled. This checks that they can run. The programs under test come from
# the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "python3 3.9 or later is needed")'
python3 -B -c 'import sys; sys.path.insert(0, "standins-2"); import standins'
