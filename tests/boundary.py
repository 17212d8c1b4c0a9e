"""Nothing outside platform/ and tests/platform/ includes from platform/ or says the platform's names.

The names are those that platform/ itself spells: field names and paths in string literals, words of the wire, settings it reads.
Prints each breach as path:line and ends with 1 if there is one.
"""

import re
import sys
from pathlib import Path

LITERAL = re.compile(r'"((?:[^"\\\n]|\\.)*)"')
INCLUDE = re.compile(r'#\s*include\s*[<"](?:[^">]*/)?platform/')
NAMESPACE = re.compile(r"\bplatform::|\bnamespace platform\b")
FIELD = re.compile(r"[a-z]+(?:[A-Z][a-z0-9]*)+")
WIRE_WORD = re.compile(r"[A-Z]{3,}")
VARIABLE = re.compile(r"[A-Z]+(?:_[A-Z]+)+")
HEADER = re.compile(r"[A-Z][a-z]+(?:-[A-Z][a-z]+)+")
PATH = re.compile(r"/api/[A-Za-z./]*|/promotion")
KINDS = (FIELD, WIRE_WORD, VARIABLE, HEADER, PATH)
HTTP = {"GET", "PUT", "POST", "DELETE", "HEAD", "Content-Type", "Retry-After"}
# tests of the pooler write statements and faults in the words of the wire, read for them by one file
WIRE_WORDS_MAY = re.compile(r"tests/(pooler|scripted)_\w+\.[ch]pp$")
WIRE_WORDS_READER = "tests/pooler_trial.cpp"


def sources(folder):
    return sorted(path for path in folder.rglob("*") if path.suffix in (".cpp", ".hpp"))


def literals(text):
    return [word for line in text.splitlines() if not line.lstrip().startswith("#") for word in LITERAL.findall(line)]


def names(platform):
    spelled = {word for path in sources(platform) for word in literals(path.read_text())}
    return {word for word in spelled if any(kind.fullmatch(word) for kind in KINDS)} - HTTP


def breaches(root):
    forbidden = names(root / "platform")
    for path in sources(root / "src") + sources(root / "tests"):
        place = path.relative_to(root).as_posix()
        if place.startswith("tests/platform/") or place == "tests/programs/platform-days.cpp":
            continue
        reader = place == WIRE_WORDS_READER
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if INCLUDE.search(line) and not reader:
                yield place, number, "includes from platform/"
            if NAMESPACE.search(line) and not reader:
                yield place, number, "uses the namespace platform"
            for word in literals(line):
                if word in forbidden and not (WIRE_WORDS_MAY.match(place) and WIRE_WORD.fullmatch(word)):
                    yield place, number, f"says the platform's {word}"


def main():
    found = list(breaches(Path(sys.argv[1])))
    for place, number, what in found:
        print(f"{place}:{number}: {what}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
