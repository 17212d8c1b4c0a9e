#!/bin/sh
# The stand-ins are Python; nothing is compiled. This checks that they can run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "python3 3.11 or later is needed")'
python3 -m py_compile standins/standins.py
