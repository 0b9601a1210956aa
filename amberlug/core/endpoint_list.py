"""Parses endpoint lists in the discovery service's JSON format; shared by all its consumers."""

from __future__ import annotations

import json
import re
import struct
from codecs import getincrementaldecoder
from collections.abc import Collection, Iterator, Mapping
from ipaddress import ip_address
from typing import Any

from amberlug.core.ports import Address, EndpointListUpdate
from amberlug.policy.interface import Entry, State
from amberlug.policy.membership import pack, unpack

_STATES = {"in_service": State.IN, "terminating": State.DRAINING, "terminated": State.GONE}
_MALFORMED = KeyError, TypeError, AttributeError, OverflowError
MAX_CELL = (1 << 63) - 1
CHUNK_BYTES = 1 << 16  # bytes decoded at a time
MAX_VALUE_BYTES = 1 << 18
_WHITESPACE = re.compile(r"[ \t\n\r]*")
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
_PLAIN_IPV4 = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}", re.ASCII)  # ipaddress takes 10 us for each
_LENGTH_PREFIX = struct.Struct("<I")
_decode = json.JSONDecoder().raw_decode


def parse_address(text: str) -> Address:
    """Parse `ip:port`. Host names are rejected because there is no DNS to resolve them."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return str(ip_address(host)), int(port)


def parse_entry(item: Any) -> Entry:
    """Parse one member of the list; `ValueError` if it is malformed."""
    try:
        where = item["host_port"]
        if _PLAIN_IPV4.fullmatch(where) is None:
            parse_address(where)
        if not -MAX_CELL <= int(item["cell"]) <= MAX_CELL or "\0" in str(item["locality"]):
            raise ValueError("malformed list: cell or locality out of range")
        return Entry(
            endpoint=str(item["id"]),
            zone=str(item["locality"]),
            kind=str(item["flavor"]),
            destination=int(item["cell"]),
            state=_STATES[item["phase"]],
            rate=float(item["size"]),
            where=where,
            up_since_ms=min(MAX_CELL, max(0, int(item.get("up_since_ms", 0)))),
        )
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _check_kind(kind: str, kinds: Collection[str]) -> None:
    if kind not in kinds:
        raise ValueError(f"unknown kind {kind!r}")


class _PackedEntries:
    """Parsed entries that have not been consumed yet, packed into one buffer.

    This avoids heap fragmentation. With tens of thousands of entries as temporary objects, the few objects
    that are kept of each would pin every memory page, and the process would stay at its peak size.
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self.kinds: dict[str, None] = {}

    def add(self, entry: Entry) -> None:
        """Append an entry to the buffer."""
        self.kinds[entry.kind] = None
        row = b"" if entry.state is State.GONE else pack(entry)  # of a removed endpoint only the name matters
        for part in (entry.endpoint.encode(), row):
            self._data += _LENGTH_PREFIX.pack(len(part)) + part

    def __iter__(self) -> Iterator[Entry]:
        """Yield the entries once; the buffer is released as the caller's objects replace it."""
        at, data, self._data = 0, self._data, bytearray()
        while at < len(data):
            name, at = _read_field(data, at)
            row, at = _read_field(data, at)
            gone = Entry(name.decode(), "", "", 0, State.GONE, 0.0)
            yield unpack(gone.endpoint, row) if row else gone


def _read_field(data: bytearray, at: int) -> tuple[bytes, int]:
    (length,) = _LENGTH_PREFIX.unpack_from(data, at)
    at += _LENGTH_PREFIX.size
    return bytes(data[at : at + length]), at + length


def read_list_update(data: Any, kinds: Collection[str]) -> EndpointListUpdate:
    """Read a decoded list object or the result of `read_object_with_list`; `ValueError` if malformed."""
    try:
        packed = data["members"]
        if not isinstance(packed, _PackedEntries):
            packed = _PackedEntries()
            for item in data["members"]:
                packed.add(parse_entry(item))
        for kind in packed.kinds:
            _check_kind(kind, kinds)
        return EndpointListUpdate(packed, int(data["revision"]), bool(data["complete"]))
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


def read_object_with_list(chunks: Iterator[bytes], name: str) -> dict[str, Any]:
    """Read a JSON object whose value for `name` is an endpoint list object, which may be large.

    Raises `ValueError` if it can't be parsed or a member of the list is malformed.
    """
    fields, text = dict[str, Any](), _JsonReader(chunks)
    more = text.open_container("{", "}")
    while more:
        key = text.key()
        if key == name and text.peek() == "{":
            part, packed = _ListObject(text), _PackedEntries()
            for item in part:
                packed.add(parse_entry(item))
            fields[key] = part.fields | ({"members": packed} if "members" in part.fields else {})
        else:
            fields[key] = text.value()
        more = text.next_item("}")
    text.expect_end()
    return fields


def read_list_line(
    line: bytes | bytearray, kinds: Collection[str], overrides: Mapping[str, Any] | None = None
) -> EndpointListUpdate:
    """Parse a line of the discovery service lazily, member by member; a `bytearray` is consumed.

    Values in `overrides` replace or supplement the line's fields other than its members.
    """
    update = EndpointListUpdate(())
    update.entries = _parse_members(_split_chunks(line), kinds, update, overrides or {})
    return update


def _split_chunks(line: bytes | bytearray) -> Iterator[bytes]:
    """Split a line into pieces, and delete the pieces already read from a `bytearray` to save memory."""
    if isinstance(line, bytes):
        for start in range(0, len(line), CHUNK_BYTES):
            yield line[start : start + CHUNK_BYTES]
        return
    while line:
        yield bytes(line[:CHUNK_BYTES])
        del line[:CHUNK_BYTES]


def _parse_members(
    chunks: Iterator[bytes], kinds: Collection[str], update: EndpointListUpdate, overrides: Mapping[str, Any]
) -> Iterator[Entry]:
    """Parse an object whose list of members may be long."""
    text = _JsonReader(chunks)
    whole = _ListObject(text)
    for item in whole:
        entry = parse_entry(item)
        _check_kind(entry.kind, kinds)
        yield entry
    text.expect_end()
    if "members" not in whole.fields:
        raise ValueError("malformed list: no members")
    _set_update_fields(update, {**whole.fields, **overrides})


def _set_update_fields(update: EndpointListUpdate, fields: Mapping[str, Any]) -> None:
    try:
        update.revision, update.whole = int(fields["revision"]), bool(fields["complete"])
    except _MALFORMED as error:
        raise ValueError(f"malformed list: {error!r}") from None


class _ListObject:
    """A list object: a possibly long list of members and a few short fields.

    Yields the members, parsed lazily. After the last one `fields` holds the other fields.
    """

    def __init__(self, text: _JsonReader) -> None:
        self._text, self.fields = text, dict[str, Any]()

    def __iter__(self) -> Iterator[Any]:
        text, fields = self._text, self.fields
        more = text.open_container("{", "}")
        while more:
            key = text.key()
            if key in fields:
                raise ValueError(f"malformed list: {key!r} twice")
            if key == "members":
                fields[key] = None
                listed = text.open_container("[", "]")
                while listed:
                    yield text.value()
                    listed = text.next_item("]")
            else:
                fields[key] = text.value()
            more = text.next_item("}")


class _JsonReader:
    """An incremental JSON parser that decodes only the part being read.

    `json.loads` builds everything at once, which takes a third of a second and 40 MB for 50,000 members.
    """

    def __init__(self, chunks: Iterator[bytes]) -> None:
        self._chunks, self._at_end_of_input = chunks, False
        self._decoder = getincrementaldecoder("utf-8")()
        self._text, self._at = "", 0

    def _read_chunk(self) -> bool:
        """Decode the next piece, if any."""
        if self._at_end_of_input:
            return False
        chunk = next(self._chunks, b"")
        self._at_end_of_input = not chunk
        self._text, self._at = self._text[self._at :] + self._decoder.decode(chunk, self._at_end_of_input), 0
        return True

    def peek(self) -> str:
        """Peek at the next character that is not white space; empty at the end."""
        while True:
            match = _WHITESPACE.match(self._text, self._at)
            self._at = match.end() if match is not None else self._at
            if self._at < len(self._text):
                return self._text[self._at]
            if not self._read_chunk():
                return ""

    def expect(self, character: str) -> None:
        """Consume the given character."""
        if self.peek() != character:
            raise ValueError(f"malformed: {character!r} missing before {self._text[self._at :][:20]!r}")
        self._at += 1

    def open_container(self, character: str, end: str) -> bool:
        """Consume the start of an object or array; return whether it has any items."""
        self.expect(character)
        empty = self.peek() == end
        self._at += empty
        return not empty

    def value(self) -> Any:
        """Parse any value, of 256 KiB at most."""
        while True:
            self.peek()
            try:
                value, end = _decode(self._text, self._at)
            except RecursionError:
                raise ValueError("nested too deeply") from None
            except json.JSONDecodeError as error:
                # The value may continue in the next piece; the limit bounds repeated parsing of bad input.
                if len(self._text) - self._at < MAX_VALUE_BYTES and self._read_chunk():
                    continue
                raise ValueError(f"malformed: {error.msg} at {self._text[self._at :][:20]!r}") from None
            if end == len(self._text) and self._read_chunk():
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

    def next_item(self, end: str) -> bool:
        """Consume the comma or end character after an item; return whether another item follows."""
        more = self.peek() == ","
        self.expect("," if more else end)
        return more

    def expect_end(self) -> None:
        """Raise `ValueError` unless the input ends here."""
        if self.peek():
            raise ValueError(f"malformed: extra data {self._text[self._at :][:20]!r}")
