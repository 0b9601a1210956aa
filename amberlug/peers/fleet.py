"""An operator's file of the fleet: who its relays are, and how many further ones hold a message.

Nothing here does I/O but `load`. `read` checks a table that TOML's reader gave, all its errors at once, each
with its place; what is not there has the default of its field.
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

MEMBERS_MOST = 200
SPARE = 2  # times as many others as must hold a record may: with one machine lost the rest still can
KEY_LEAST, KEY_MOST = 16, 4096  # bytes of the key's file


class WhenShort(Enum):
    """What becomes of a hand-in while too few relays can hold it."""

    REFUSE = "refuse"
    TAKE = "take"  # on this relay's disk alone; counted, and made whole as soon as that can be


@dataclass(frozen=True, slots=True)
class Member:
    """One relay of the fleet: where its links are, and what it shares with others."""

    name: str
    address: Address
    machine: str
    zone: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """The whole file. Times in milliseconds or seconds as their names say, room in megabytes."""

    name: str  # this relay's
    members: tuple[Member, ...]
    copies: int = 1
    classes: Mapping[str, int] = field(default_factory=dict)  # copies of a class, where they are others
    when_short: WhenShort = WhenShort.REFUSE
    bound_ms: int = 200  # a hand-in is answered by then: a client waits 400 ms
    suspect_s: float = 2.0  # silence of an owner after which it may be followed
    stagger_s: float = 0.7  # longer for each relay that is asked first to follow it
    replace_s: float = 3.0  # absence of a holder after which another takes its place
    confirm_s: float = (
        10.0  # that a restarted relay waits for one more than must say its folder is no old one
    )
    remember_s: float = 600.0  # how long holders know that a message has ended
    room_mb: float = 8.0  # of this relay's disk for what it holds for all others together
    listen: Address | None = None  # where this relay takes links, if not at its address
    key: bytes = b""  # with which frames are signed; empty: they carry a checksum alone

    @property
    def own(self) -> Member:
        """The relay that read the file."""
        return next(it for it in self.members if it.name == self.name)

    def copies_of(self, message_class: str) -> int:
        """How many further relays hold a message of a class."""
        return self.classes.get(message_class, self.copies)


# Each number: its least and most.
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
_WHOLE = ("copies", "bound_ms")
_TEXTS = ("name", "when_short", "key_file", "listen")
_MEMBER = ("name", "address", "machine", "zone")


def load(path: Path) -> Fleet:
    """Read a file with its key; `ValueError` with the first problem, `OSError` where it can't be read."""
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
    """Read a table; the fleet where nothing is wrong, else all that is. Paths are seen from `folder`."""
    wrong: list[Problem] = []
    known = {*_BOUNDS, *_TEXTS, "member", "classes"}
    wrong += [Problem(name, "no such setting") for name in table if name not in known]
    given: dict[str, Any] = {name: _number(name, table[name], wrong) for name in _BOUNDS if name in table}
    members = _members(table.get("member"), wrong)
    name = table.get("name")
    if name not in [it.name for it in members]:
        wrong.append(Problem("name", f"not the name of a member: {name!r}"))
    if "when_short" in table:
        try:
            given["when_short"] = WhenShort(table["when_short"])
        except ValueError:
            words = ", ".join(it.value for it in WhenShort)
            wrong.append(Problem("when_short", f"none of {words}: {table['when_short']!r}"))
    if "listen" in table:
        given["listen"] = _address(table["listen"], "listen", wrong)
    given["classes"] = _classes(table.get("classes", {}), wrong)
    given["key"] = _key(table.get("key_file"), folder, wrong)
    if wrong:
        return None, wrong
    fleet = Fleet(name=str(name), members=members, **given)
    others = {it.machine for it in members} - {fleet.own.machine}
    most = max([fleet.copies, *fleet.classes.values()])
    if SPARE * most > len(others):
        what = f"{most} copies need {SPARE * most} other machines; there are {len(others)}"
        wrong.append(Problem("copies", what))
    return (None if wrong else fleet), wrong


def _number(name: str, value: Any, wrong: list[Problem]) -> float | int:
    least, most = _BOUNDS[name]
    whole = name in _WHOLE
    fits = isinstance(value, int if whole else int | float) and not isinstance(value, bool)
    if not fits or not least <= value <= most:
        kind = "whole number" if whole else "number"
        wrong.append(Problem(name, f"not a {kind} from {least:g} to {most:g}: {value!r}"))
        return 0
    return int(value) if whole else float(value)


def _address(value: Any, where: str, wrong: list[Problem]) -> Address | None:
    try:
        return parse_address(value)
    except (ValueError, AttributeError, TypeError):
        wrong.append(Problem(where, f"not an IP address and port: {value!r}"))
        return None


def _members(told: Any, wrong: list[Problem]) -> tuple[Member, ...]:
    if not isinstance(told, list) or not told:
        wrong.append(Problem("member", "missing, or no list of tables"))
        return ()
    if len(told) > MEMBERS_MOST:
        wrong.append(Problem("member", f"{len(told)} members, {MEMBERS_MOST} at the most"))
    members: list[Member] = []
    for number, it in enumerate(told):
        where = f"member[{number}]"
        if not isinstance(it, Mapping):
            wrong.append(Problem(where, "not a table"))
            continue
        wrong += [Problem(f"{where}.{name}", "no such setting") for name in it if name not in _MEMBER]
        bad = [name for name in ("name", "machine", "zone") if not _is_name(it.get(name, it.get("name")))]
        wrong += [Problem(f"{where}.{name}", f"missing, or no word: {it.get(name)!r}") for name in bad]
        at = _address(it.get("address"), f"{where}.address", wrong)
        if not bad and at is not None:
            name = it["name"]
            members.append(Member(name, at, it.get("machine", name), it.get("zone", "")))
    for what in ("name", "address"):
        values = [getattr(it, what) for it in members]
        twice = {str(it) for it in values if values.count(it) > 1}
        wrong += [Problem("member", f"two members have the {what} {it}") for it in sorted(twice)]
    return tuple(members)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and is_valid_name(value)


def _classes(told: Any, wrong: list[Problem]) -> dict[str, int]:
    if not isinstance(told, Mapping):
        wrong.append(Problem("classes", "not a table"))
        return {}
    least, most = _BOUNDS["copies"]
    for name, value in told.items():
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            wrong.append(
                Problem(f"classes.{name}", f"not a whole number from {least:g} to {most:g}: {value!r}")
            )
    return dict(told)


def _key(path: Any, folder: Path, wrong: list[Problem]) -> bytes:
    if path is None:
        return b""
    try:
        key: bytes = (folder / path).read_bytes().strip()
    except (OSError, TypeError) as error:
        wrong.append(Problem("key_file", str(error)))
        return b""
    if not KEY_LEAST <= len(key) <= KEY_MOST:
        wrong.append(Problem("key_file", f"a key has {KEY_LEAST} to {KEY_MOST} bytes"))
    return key
