"""The fleet file: the member relays, and on how many further relays a message is stored.

Only `load` does I/O. `read` validates a parsed TOML table and reports all errors with their places. Settings
that are missing have the default of their field.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from amberlug.core.endpoint_list import parse_address
from amberlug.core.messages import is_valid_name
from amberlug.core.ports import Address
from amberlug.platform.checking import Problem

MAX_MEMBERS = 200
HOLDERS_PER_COPY = 2  # possible holders per required copy: a quorum is left when a machine is lost
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 4096  # size of the key file in bytes


class WhenShort(Enum):
    """What to do with a hand-in while too few relays can hold it."""

    REFUSE = "refuse"
    TAKE = "take"  # store it on this relay's disk only, count it, and replicate it as soon as possible


@dataclass(frozen=True, slots=True)
class Member:
    """One relay of the fleet: its link address and its failure domains."""

    name: str
    address: Address
    machine: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """The settings of the file. Units are in the names: milliseconds, seconds, megabytes."""

    name: str  # of this relay
    members: tuple[Member, ...]
    copies: int = 1
    classes: Mapping[str, int] = field(default_factory=dict)  # by class, where it differs from `copies`
    when_short: WhenShort = WhenShort.REFUSE
    bound_ms: int = 200  # time limit for answering a hand-in; clients wait 400 ms
    suspect_s: float = 2.0  # an owner silent for so long may be replaced
    stagger_s: float = 0.7  # added per relay of the ensemble that may attempt it earlier
    replace_s: float = 3.0  # a holder absent for so long is replaced in new logs
    confirm_s: float = (
        10.0  # a restarted relay waits so long for one relay more than needed to confirm its directory
    )
    remember_s: float = 600.0  # how long holders remember that a message has ended
    room_mb: float = 8.0  # of this relay's disk, for the copies of all other relays together
    listen: Address | None = None  # the listen address if it differs from the member's address
    key: bytes = b""  # signs frames; empty: frames have an unkeyed checksum

    @property
    def own(self) -> Member:
        """The member that is this relay."""
        return next(member for member in self.members if member.name == self.name)

    def copies_of(self, message_class: str) -> int:
        """On how many further relays a message of a class is stored."""
        return self.classes.get(message_class, self.copies)


# Least and greatest value of each numeric setting.
_BOUNDS: dict[str, tuple[float, float]] = {
    "copies": (0, 8),
    "bound_ms": (10, 390),
    "suspect_s": (0.2, 60),
    "stagger_s": (0.0, 60),
    "replace_s": (0.2, 3600),
    "confirm_s": (0.0, 86_400),
    "remember_s": (30, 86_400),
    "room_mb": (0.1, 1e6),
}
_INTEGERS = ("copies", "bound_ms")
_STRINGS = ("name", "when_short", "key_file", "listen")
_MEMBER_SETTINGS = ("name", "address", "machine", "zone")


def load(path: Path) -> Fleet:
    """Read a file and its key; `ValueError` with the first problem, `OSError` if a file can't be read."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"{path}: {error}") from None
    fleet, problems = read(table, path.parent)
    if fleet is None:
        more = f" (and {len(problems) - 1} more: see `amberlug check`)" if len(problems) > 1 else ""
        raise ValueError(f"{path}: {problems[0].where}: {problems[0].what}{more}")
    return fleet


def read(table: Mapping[str, Any], folder: Path) -> tuple[Fleet | None, list[Problem]]:
    """Validate a table: the fleet, or None and all problems. Paths are relative to `folder`."""
    problems: list[Problem] = []
    known = {*_BOUNDS, *_STRINGS, "member", "classes"}
    problems += [Problem(name, "no such setting") for name in table if name not in known]
    given: dict[str, Any] = {name: _number(name, table[name], problems) for name in _BOUNDS if name in table}
    members = _members(table.get("member"), problems)
    name = table.get("name")
    if name not in [member.name for member in members]:
        problems.append(Problem("name", f"no member has this name: {name!r}"))
    if "when_short" in table:
        try:
            given["when_short"] = WhenShort(table["when_short"])
        except ValueError:
            words = ", ".join(member.value for member in WhenShort)
            problems.append(Problem("when_short", f"must be one of {words}: {table['when_short']!r}"))
    if "listen" in table:
        given["listen"] = _address(table["listen"], "listen", problems)
    given["classes"] = _classes(table.get("classes", {}), problems)
    given["key"] = _key(table.get("key_file"), folder, problems)
    if problems:
        return None, problems
    fleet = Fleet(name=str(name), members=members, **given)
    others = {member.machine for member in members} - {fleet.own.machine}
    most_copies = max([fleet.copies, *fleet.classes.values()])
    needed = HOLDERS_PER_COPY * most_copies
    if needed > len(others):
        what = f"{most_copies} copies need {needed} other machines; there are {len(others)}"
        problems.append(Problem("copies", what))
    return (None if problems else fleet), problems


def _number(name: str, value: Any, problems: list[Problem]) -> float | int:
    minimum, maximum = _BOUNDS[name]
    integer = name in _INTEGERS
    valid = isinstance(value, int if integer else int | float) and not isinstance(value, bool)
    if not valid or not minimum <= value <= maximum:
        kind = "whole number" if integer else "number"
        problems.append(Problem(name, f"must be a {kind} from {minimum:g} to {maximum:g}: {value!r}"))
        return 0
    return int(value) if integer else float(value)


def _address(value: Any, where: str, problems: list[Problem]) -> Address | None:
    try:
        return parse_address(value)
    except (ValueError, AttributeError, TypeError):
        problems.append(Problem(where, f"must be an IP address and port: {value!r}"))
        return None


def _members(tables: Any, problems: list[Problem]) -> tuple[Member, ...]:
    if not isinstance(tables, list) or not tables:
        problems.append(Problem("member", "must be a non-empty list of tables"))
        return ()
    if len(tables) > MAX_MEMBERS:
        problems.append(Problem("member", f"{len(tables)} members; at most {MAX_MEMBERS} are allowed"))
    members: list[Member] = []
    for number, table in enumerate(tables):
        where = f"member[{number}]"
        if not isinstance(table, Mapping):
            problems.append(Problem(where, "must be a table"))
            continue
        problems += [
            Problem(f"{where}.{name}", "no such setting") for name in table if name not in _MEMBER_SETTINGS
        ]
        bad = [
            name for name in ("name", "machine", "zone") if not _is_name(table.get(name, table.get("name")))
        ]
        problems += [
            Problem(f"{where}.{name}", f"missing, or no valid name: {table.get(name)!r}") for name in bad
        ]
        at = _address(table.get("address"), f"{where}.address", problems)
        if not bad and at is not None:
            name = table["name"]
            members.append(Member(name, at, table.get("machine", name), table.get("zone", "")))
    for what in ("name", "address"):
        values = [getattr(member, what) for member in members]
        duplicates = {str(value) for value in values if values.count(value) > 1}
        problems += [
            Problem("member", f"two members have the {what} {value}") for value in sorted(duplicates)
        ]
    return tuple(members)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and is_valid_name(value)


def _classes(table: Any, problems: list[Problem]) -> dict[str, int]:
    if not isinstance(table, Mapping):
        problems.append(Problem("classes", "must be a table"))
        return {}
    minimum, maximum = _BOUNDS["copies"]
    for name, value in table.items():
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            problems.append(
                Problem(
                    f"classes.{name}", f"must be a whole number from {minimum:g} to {maximum:g}: {value!r}"
                )
            )
    return dict(table)


def _key(path: Any, folder: Path, problems: list[Problem]) -> bytes:
    if path is None:
        return b""
    try:
        key: bytes = (folder / path).read_bytes().strip()
    except (OSError, TypeError) as error:
        problems.append(Problem("key_file", f"can't be read: {error}"))
        return b""
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        problems.append(Problem("key_file", f"the key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"))
    return key
