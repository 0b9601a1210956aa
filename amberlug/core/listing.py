"""Reads the list of endpoints in discovery's form; whoever follows it shares this."""

from __future__ import annotations

import json
import re
from collections.abc import Collection, Iterator, Mapping
from ipaddress import ip_address
from typing import Any

from amberlug.core.ports import Address, News
from stoatusher.interface import Entry, State

_STATES = {"in_service": State.IN, "terminating": State.DRAINING, "terminated": State.GONE}
_MALFORMED = KeyError, TypeError, AttributeError, OverflowError
CELL_MOST = (1 << 63) - 1
_SPACE = re.compile(r"[ \t\n\r]*")
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_USUAL = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:[1-9]\d{{0,3}}", re.ASCII)  # ipaddress takes 10 us for one
_decode = json.JSONDecoder().raw_decode


def address(text: str) -> Address:
    """Split an IP address and its port; there is no DNS to look a name up in."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return str(ip_address(host)), int(port)


def entry_of(item: Any) -> Entry:
    """Read one member of the list; `ValueError` where it is malformed."""
    try:
        where = item["host_port"]
        if _USUAL.fullmatch(where) is None:
            address(where)
        if not -CELL_MOST <= int(item["cell"]) <= CELL_MOST or "\0" in str(item["locality"]):
            raise ValueError("malformed list: a cell or locality that can't be")
        return Entry(
            endpoint=str(item["id"]),
            zone=str(item["locality"]),
            kind=str(item["flavor"]),
            destination=int(item["cell"]),
            state=_STATES[item["phase"]],
            rate=float(item["size"]),
            where=where,
        )
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _checked(entry: Entry, kinds: Collection[str]) -> Entry:
    if entry.kind not in kinds:
        raise ValueError(f"unknown kind {entry.kind!r}")
    return entry


def read_news(data: Any, kinds: Collection[str]) -> News:
    """Read an object of discovery's, whose members may have been read already; `ValueError` if malformed."""
    try:
        members = (it if isinstance(it, Entry) else entry_of(it) for it in data["members"])
        entries = [_checked(entry, kinds) for entry in members]
        return News(_used_up(entries), int(data["revision"]), bool(data["complete"]))
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _used_up(entries: list[Entry]) -> Iterator[Entry]:
    """Let go of each entry as it is read: what is made of them takes their place."""
    entries.reverse()
    while entries:
        yield entries.pop()


def compact(item: dict[str, Any]) -> Any:
    """Read what looks like a member as soon as JSON's reader has it: less is held at once."""
    if "host_port" not in item:
        return item
    try:
        return entry_of(item)
    except ValueError:
        return item  # told where the list is read


def read_line(text: str, kinds: Collection[str], given: Mapping[str, Any] | None = None) -> News:
    """Read a line of discovery's, one member each time that one is asked for.

    What is `given` counts in place of what the line tells beside its members, or leaves out.
    """
    news = News(())
    news.entries = _scan(text, kinds, news, given or {})
    return news


def _scan(text: str, kinds: Collection[str], news: News, given: Mapping[str, Any]) -> Iterator[Entry]:
    """Read an object whose list of members may be long; the rest of it is short."""
    # JSON's own reader makes all of it at once: for 50,000 members a third of a second and 40 MB.
    at, told, more = _expect(text, 0, "{"), dict[str, Any](), True
    while more:
        key, at = _value(text, at)
        at = _expect(text, at, ":")
        if key in told:
            raise ValueError(f"malformed list: {key!r} twice")
        if key == "members":
            told[key] = None
            at = _expect(text, at, "[")
            more = text[at : at + 1] != "]"
            at += not more
            while more:
                item, at = _value(text, at)
                yield _checked(entry_of(item), kinds)
                more, at = _goes_on(text, at, "]")
        else:
            told[key], at = _value(text, at)
        more, at = _goes_on(text, at, "}")
    if at != len(text) or "members" not in told:
        raise ValueError("malformed list: not one object with members")
    _conclude(news, {**told, **given})


def _conclude(news: News, told: Mapping[str, Any]) -> None:
    try:
        news.revision, news.whole = int(told["revision"]), bool(told["complete"])
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _blank(text: str, at: int) -> int:
    """Where the blanks that begin there end."""
    match = _SPACE.match(text, at)
    return match.end() if match is not None else at


def _value(text: str, at: int) -> tuple[Any, int]:
    try:
        value, at = _decode(text, at)
    except RecursionError:
        raise ValueError("line nested too deep") from None
    return value, _blank(text, at)


def _expect(text: str, at: int, sign: str) -> int:
    at = _blank(text, at)
    if text[at : at + 1] != sign:
        raise ValueError(f"malformed list: {sign!r} missing at {at}")
    return _blank(text, at + 1)


def _goes_on(text: str, at: int, end: str) -> tuple[bool, int]:
    """Whether a further item follows, and where it or what comes next begins."""
    sign = text[at : at + 1]
    if sign not in (",", end) or not sign:
        raise ValueError(f"malformed list: ',' or {end!r} missing at {at}")
    return sign == ",", _blank(text, at + 1)
