#!/usr/bin/env python3
"""Compares what a build opened with the packages that are declared.

usage: check_packages.py BUILD_FOLDER PACKAGE_LIST...

Every header and library outside of the source tree that the Ninja build in BUILD_FOLDER opened must belong to a
declared package, to a package that a declared metapackage stands for, or to the compiler's own. A PACKAGE_LIST is
either a TOML file with a list called `packages` or a file with one package a line.
"""
import re
import subprocess
import sys
import tomllib

# what g++ cannot work without
COMPILER = re.compile(r"^(libc6-dev|libc6|linux-libc-dev|libcrypt-dev|libstdc\+\+-\d+-dev|libstdc\+\+6|libgcc-\d+-dev|libgcc-s1|gcc-\d+.*|g\+\+-\d+.*|binutils.*|cpp-\d+)$")


def declared(path):
    if path.endswith(".toml"):
        with open(path, "rb") as file:
            return set(tomllib.load(file)["packages"])
    with open(path) as file:
        return {line.strip() for line in file if line.strip() and not line.startswith("#")}


def output(*command):
    return subprocess.run(command, check=False, capture_output=True, text=True).stdout


def opened(folder):
    headers = {line.strip() for line in output("ninja", "-C", folder, "-t", "deps").splitlines() if line.startswith("    /usr/")}
    libraries = set(re.findall(r"/usr/lib/\S+\.(?:so|a)\b", open(folder + "/build.ninja").read()))
    return headers | libraries


def owners(paths):
    found = {}
    paths = sorted(paths)
    for start in range(0, len(paths), 500):
        for line in output("dpkg", "-S", *paths[start:start + 500]).splitlines():
            package, _, path = line.partition(": ")
            found.setdefault(package.split(",")[0].split(":")[0], []).append(path)
    return found


def stands_for(package):
    """Packages that a metapackage names; others must be declared by themselves."""
    listed = output("dpkg-query", "-L", package).splitlines()
    if any(line.startswith("/usr/include/") or ".so" in line for line in listed):
        return set()
    depends = output("dpkg-query", "-W", "-f", "${Depends}", package)
    return {part.split()[0].split(":")[0] for part in depends.split(",") if part.strip()}


def main():
    folder, *lists = sys.argv[1:]
    paths = opened(folder)
    if not paths:
        sys.exit(f"no file outside of the tree was opened by the build in {folder}: nothing could be checked")
    held = owners(paths)
    failed = False
    for path in lists:
        packages = declared(path)
        covered = packages.union(*(stands_for(package) for package in packages))
        for package, files in sorted(held.items()):
            if package not in covered and not COMPILER.match(package):
                print(f"{path} lacks {package}: the build opens {files[0]}" + (f" and {len(files) - 1} more" if len(files) > 1 else ""))
                failed = True
    print(f"{len(paths)} files of {len(held)} packages checked against {len(lists)} lists")
    sys.exit(1 if failed else 0)


main()
