"""Parses endpoint lists in the discovery service's JSON format; shared by all its consumers."""

from __future__ import annotations

import json
import re
import struct
from codecs import getincrementaldecoder
from collections.abc import Collection, Iterator, Mapping
from ipaddress import ip_address
from typing import Any

from amberlug.core.ports import Address, News
from amberlug.policy.interface import Entry, State
from amberlug.policy.membership import pack, unpack

_STATES = {"in_service": State.IN, "terminating": State.DRAINING, "terminated": State.GONE}
_MALFORMED = KeyError, TypeError, AttributeError, OverflowError
CELL_MOST = (1 << 63) - 1
PIECE = 1 << 16  # bytes decoded at a time
VALUE_MOST = 1 << 18
_SPACE = re.compile(r"[ \t\n\r]*")
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
_USUAL = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}", re.ASCII)  # ipaddress takes 10 us for each
_LENGTH = struct.Struct("<I")
_decode = json.JSONDecoder().raw_decode


def address(text: str) -> Address:
    """Parse `ip:port`. Host names are rejected because there is no DNS to resolve them."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return str(ip_address(host)), int(port)


def entry_of(item: Any) -> Entry:
    """Parse one member of the list; `ValueError` if it is malformed."""
    try:
        where = item["host_port"]
        if _USUAL.fullmatch(where) is None:
            address(where)
        if not -CELL_MOST <= int(item["cell"]) <= CELL_MOST or "\0" in str(item["locality"]):
            raise ValueError("malformed list: cell or locality out of range")
        return Entry(
            endpoint=str(item["id"]),
            zone=str(item["locality"]),
            kind=str(item["flavor"]),
            destination=int(item["cell"]),
            state=_STATES[item["phase"]],
            rate=float(item["size"]),
            where=where,
            up_since_ms=min(CELL_MOST, max(0, int(item.get("up_since_ms", 0)))),
        )
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _known(kind: str, kinds: Collection[str]) -> None:
    if kind not in kinds:
        raise ValueError(f"unknown kind {kind!r}")


class _Packed:
    """Parsed entries that have not been consumed yet, packed into one buffer.

    This avoids heap fragmentation. With tens of thousands of entries as temporary objects, the few objects
    that are kept of each would pin every memory page, and the process would stay at its peak size.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self.kinds: dict[str, None] = {}

    def add(self, entry: Entry) -> None:
        self.kinds[entry.kind] = None
        row = b"" if entry.state is State.GONE else pack(entry)  # of a removed endpoint only the name matters
        for part in (entry.endpoint.encode(), row):
            self._data += _LENGTH.pack(len(part)) + part

    def __iter__(self) -> Iterator[Entry]:
        """Yield the entries once; the buffer is released as the caller's objects replace it."""
        at, data, self._data = 0, self._data, bytearray()
        while at < len(data):
            name, at = _part(data, at)
            row, at = _part(data, at)
            gone = Entry(name.decode(), "", "", 0, State.GONE, 0.0)
            yield unpack(gone.endpoint, row) if row else gone


def _part(data: bytearray, at: int) -> tuple[bytes, int]:
    (length,) = _LENGTH.unpack_from(data, at)
    at += _LENGTH.size
    return bytes(data[at : at + length]), at + length


def read_news(data: Any, kinds: Collection[str]) -> News:
    """Read a decoded list object, or the result of `read_beside` for one; `ValueError` if malformed."""
    try:
        packed = data["members"]
        if not isinstance(packed, _Packed):
            packed = _Packed()
            for item in data["members"]:
                packed.add(entry_of(item))
        for kind in packed.kinds:
            _known(kind, kinds)
        return News(packed, int(data["revision"]), bool(data["complete"]))
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def read_beside(pieces: Iterator[bytes], name: str) -> dict[str, Any]:
    """Read a JSON object whose value for `name` is an endpoint list object, which may be large.

    Raises `ValueError` if it can't be parsed or a member of the list is malformed.
    """
    told, text = dict[str, Any](), _Text(pieces)
    more = text.begins("{", "}")
    while more:
        key = text.key()
        if key == name and text.sign() == "{":
            part, packed = _Object(text), _Packed()
            for item in part:
                packed.add(entry_of(item))
            told[key] = part.told | ({"members": packed} if "members" in part.told else {})
        else:
            told[key] = text.value()
        more = text.goes_on("}")
    text.finish()
    return told


def read_line(
    line: bytes | bytearray, kinds: Collection[str], given: Mapping[str, Any] | None = None
) -> News:
    """Parse a line of the discovery service lazily, member by member; a `bytearray` is consumed.

    Values in `given` override or supplement the line's fields other than its members.
    """
    news = News(())
    news.entries = _scan(_pieces(line), kinds, news, given or {})
    return news


def _pieces(line: bytes | bytearray) -> Iterator[bytes]:
    """Split a line into pieces, and delete the pieces already read from a `bytearray` to save memory."""
    if isinstance(line, bytes):
        for start in range(0, len(line), PIECE):
            yield line[start : start + PIECE]
        return
    while line:
        yield bytes(line[:PIECE])
        del line[:PIECE]


def _scan(
    pieces: Iterator[bytes], kinds: Collection[str], news: News, given: Mapping[str, Any]
) -> Iterator[Entry]:
    """Parse an object whose list of members may be long."""
    text = _Text(pieces)
    whole = _Object(text)
    for item in whole:
        entry = entry_of(item)
        _known(entry.kind, kinds)
        yield entry
    text.finish()
    if "members" not in whole.told:
        raise ValueError("malformed list: no members")
    _conclude(news, {**whole.told, **given})


def _conclude(news: News, told: Mapping[str, Any]) -> None:
    try:
        news.revision, news.whole = int(told["revision"]), bool(told["complete"])
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


class _Object:
    """A list object: a possibly long list of members and a few short fields.

    Yields the members, parsed lazily. After the last one `told` holds the other fields.
    """

    def __init__(self, text: _Text) -> None:
        self._text, self.told = text, dict[str, Any]()

    def __iter__(self) -> Iterator[Any]:
        text, told = self._text, self.told
        more = text.begins("{", "}")
        while more:
            key = text.key()
            if key in told:
                raise ValueError(f"malformed list: {key!r} twice")
            if key == "members":
                told[key] = None
                listed = text.begins("[", "]")
                while listed:
                    yield text.value()
                    listed = text.goes_on("]")
            else:
                told[key] = text.value()
            more = text.goes_on("}")


class _Text:
    """An incremental JSON parser that decodes only the part being read.

    `json.loads` builds everything at once, which takes a third of a second and 40 MB for 50,000 members.
    """

    def __init__(self, pieces: Iterator[bytes]) -> None:
        self._pieces, self._ended = pieces, False
        self._decoder = getincrementaldecoder("utf-8")()
        self._text, self._at = "", 0

    def _more(self) -> bool:
        """Decode the next piece, if any."""
        if self._ended:
            return False
        piece = next(self._pieces, b"")
        self._ended = not piece
        self._text, self._at = self._text[self._at :] + self._decoder.decode(piece, self._ended), 0
        return True

    def sign(self) -> str:
        """Peek at the next character that is not white space; empty at the end."""
        while True:
            match = _SPACE.match(self._text, self._at)
            self._at = match.end() if match is not None else self._at
            if self._at < len(self._text):
                return self._text[self._at]
            if not self._more():
                return ""

    def expect(self, sign: str) -> None:
        """Consume the given character."""
        if self.sign() != sign:
            raise ValueError(f"malformed: {sign!r} missing before {self._text[self._at :][:20]!r}")
        self._at += 1

    def begins(self, sign: str, end: str) -> bool:
        """Consume the start of an object or array; return whether it has any items."""
        self.expect(sign)
        empty = self.sign() == end
        self._at += empty
        return not empty

    def value(self) -> Any:
        """Parse any value, of 256 KiB at most."""
        while True:
            self.sign()
            try:
                value, end = _decode(self._text, self._at)
            except RecursionError:
                raise ValueError("nested too deeply") from None
            except json.JSONDecodeError as error:
                # The value may continue in the next piece; the limit bounds repeated parsing of bad input.
                if len(self._text) - self._at < VALUE_MOST and self._more():
                    continue
                raise ValueError(f"malformed: {error.msg} at {self._text[self._at :][:20]!r}") from None
            if end == len(self._text) and self._more():
                continue  # a number may continue in the next piece
            self._at = end
            return value

    def key(self) -> str:
        """Parse an object key and its colon."""
        key = self.value()
        if not isinstance(key, str):
            raise ValueError(f"malformed: object key {key!r} is not a string")
        self.expect(":")
        return key

    def goes_on(self, end: str) -> bool:
        """Consume the comma or end character after an item; return whether another item follows."""
        more = self.sign() == ","
        self.expect("," if more else end)
        return more

    def finish(self) -> None:
        """Raise `ValueError` unless the input ends here."""
        if self.sign():
            raise ValueError(f"malformed: extra data {self._text[self._at :][:20]!r}")
