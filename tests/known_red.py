"""Reads KNOWN-RED.txt, the list of tests that are known to fail: `python -m tests.known_red`.

Each line is one entry of four fields, separated by ` | `: the test, the command and seed, what was seen, and
the number of an issue. Prints pytest's options that pass over the tests; ends with 2 if a line is no entry.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]
LIST_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "
INVALID_LIST_EXIT_CODE = 2


class KnownFailure(NamedTuple):
    """One entry of the list."""

    test: str  # a file below the root, or a test in it as pytest names it
    command: str
    seen: str
    issue: int


class InvalidEntryError(ValueError):
    """A line of the list is no entry."""


def parse_entry(line: str, root: Path = ROOT) -> KnownFailure:
    """Parse one line.

    :raises InvalidEntryError: if it has not four fields, or names a test or an issue that can't be.
    """
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != len(KnownFailure._fields) or not all(fields):
        raise InvalidEntryError("not four fields separated by ' | '")
    test, command, seen, issue = fields
    if not issue.isdecimal():
        raise InvalidEntryError(f"{issue!r} is no number of an issue")
    file, _, function = test.partition("::")
    if not (root / file).is_file():
        raise InvalidEntryError(f"there is no file {file!r}")
    if function and f"def {function.partition('[')[0]}(" not in (root / file).read_text():
        raise InvalidEntryError(f"{file} has no test {function!r}")
    return KnownFailure(test, command, seen, int(issue))


def parse_list(text: str, root: Path = ROOT) -> list[KnownFailure]:
    """Parse the list.

    :raises InvalidEntryError: if a line is no entry, an empty one too; names the line.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            entries.append(parse_entry(line, root))
        except InvalidEntryError as error:
            raise InvalidEntryError(f"{LIST_NAME}, line {number}: {error}") from error
    return entries


def deselect_options(entries: list[KnownFailure]) -> list[str]:
    """The options by which pytest passes over the listed tests; other scripts are not run by pytest."""
    return [f"--deselect={entry.test}" for entry in entries if entry.test.startswith("tests/")]


def main() -> int:
    """Print the options, one a line."""
    path = ROOT / LIST_NAME
    try:
        entries = parse_list(path.read_text() if path.exists() else "")
    except InvalidEntryError as error:
        print(error, file=sys.stderr)
        return INVALID_LIST_EXIT_CODE
    print("\n".join(deselect_options(entries)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
