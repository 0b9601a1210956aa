"""The binary format of segments and records.

A segment is a file with a header followed by records. The header holds a magic number, the format version,
flags, the folder's ID, the segment's number, the number of the oldest segment needed when it was created, the
number and final size of the previous segment, and a checksum. A record consists of a mark, its kind, the
length of the message name, the payload size, a checksum, and the payload, which begins with the name. The
checksum also covers the record's position (folder, segment and offset), so that a stale block or a record
copied to another position is detected.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

VERSION = 1
MAGIC = b"AMBERLUG"
_HEAD = struct.Struct(">8sHHQQQQQ")
_CHECK = struct.Struct(">I")
HEAD_SIZE = _HEAD.size + _CHECK.size
_RECORD = struct.Struct(">2scBI")
_PLACE = struct.Struct(">QQQ")
_PLACED = struct.Struct(">QQQ2scBI")  # position and record header together, for encoding
RECORD_SIZE = _RECORD.size + _CHECK.size
MARK = b"\xa7\x1f"
_NAME = re.compile(r"segment-([0-9]{12})\.log")

TAKEN, ATTEMPT, OUTCOME, REPLY, OWED, ENDED, MEMORY = b"T", b"A", b"O", b"R", b"N", b"E", b"S"
# A pause that an endpoint asked for. Like MEMORY it is only read: `amberlug.learning` keeps both now.
WAIT = b"W"
OF_MESSAGE = frozenset((TAKEN, ATTEMPT, OUTCOME, REPLY, OWED))  # indexed while a message is held
# Segments up to a number are obsolete; everything up to a position is synced.
DROPPED, SYNCED = b"D", b"Y"


class NewerVersionError(ValueError):
    """The folder was written by a newer release; it is not modified."""


@dataclass(frozen=True, slots=True)
class Head:
    """A segment's header."""

    folder: int
    number: int
    first: int  # the oldest segment needed when this one was created
    previous: int  # the number of the previous segment; 0 for the very first
    before: int  # the valid size of the previous segment in bytes
    synced: bool = False  # whether its writer synced the journal and recorded the synced positions

    def encode(self) -> bytes:
        """Serialize the header."""
        body = _HEAD.pack(
            MAGIC, VERSION, self.synced, self.folder, self.number, self.first, self.previous, self.before
        )
        return body + _CHECK.pack(zlib.crc32(body))


def read_head(data: bytes) -> Head | None:
    """Parse a header; None if it is damaged, `NewerVersionError` if a newer release wrote it."""
    if len(data) < HEAD_SIZE:
        return None
    magic, version, flags, folder, number, first, previous, before = _HEAD.unpack_from(data)
    if magic == MAGIC and version > VERSION:
        raise NewerVersionError(f"the journal was written by a newer release (version {version})")
    if magic != MAGIC or _CHECK.unpack_from(data, _HEAD.size)[0] != zlib.crc32(data[: _HEAD.size]):
        return None
    return Head(folder, number, first, previous, before, bool(flags & 1))


def file_name(number: int) -> str:
    """Return a segment's file name."""
    return f"segment-{number:012d}.log"


def number_of(name: str) -> int | None:
    """Return the segment number in a file name; None for other files."""
    match = _NAME.fullmatch(name)
    return int(match[1]) if match else None


def encode(kind: bytes, name: bytes, rest: bytes, folder: int, segment: int, offset: int) -> bytes:
    """Serialize a record for one position."""
    payload = name + rest
    placed = _PLACED.pack(folder, segment, offset, MARK, kind, len(name), len(payload))
    check = _CHECK.pack(zlib.crc32(payload, zlib.crc32(placed)))
    return placed[_PLACE.size :] + check + payload


@dataclass(frozen=True, slots=True)
class Record:
    """A valid record."""

    offset: int
    size: int
    kind: bytes
    name: str
    rest: bytes


@dataclass(frozen=True, slots=True)
class Hole:
    """A range of bytes that can't be read."""

    offset: int
    size: int


def size_at(data: bytes, at: int) -> int:
    """Return the total size stated by the record at an offset; 0 without a complete header."""
    if len(data) - at < RECORD_SIZE or data[at : at + 2] != MARK:
        return 0
    return RECORD_SIZE + int(_RECORD.unpack_from(data, at)[3])


def is_torn(data: bytes, hole: Hole) -> bool:
    """Whether a hole is a torn last record, which states a size beyond the end of the data."""
    left = len(data) - hole.offset
    if hole.size != left:
        return False
    begun = data[hole.offset : hole.offset + len(MARK)]
    return MARK.startswith(begun) and (left < RECORD_SIZE or size_at(data, hole.offset) > left)


def record_at(data: bytes, at: int, folder: int, segment: int, base: int = 0) -> Record | None:
    """Read the record at an offset of `data`, which starts at `base` in its segment; None if invalid."""
    size = size_at(data, at)
    if not size or len(data) - at < size:
        return None
    _, kind, named, _ = _RECORD.unpack_from(data, at)
    payload = data[at + RECORD_SIZE : at + size]
    seed = zlib.crc32(_PLACE.pack(folder, segment, base + at))
    check = zlib.crc32(payload, zlib.crc32(data[at : at + _RECORD.size], seed))
    if check != _CHECK.unpack_from(data, at + _RECORD.size)[0] or named > len(payload):
        return None
    return Record(base + at, size, kind, payload[:named].decode("latin-1"), payload[named:])


def records(data: bytes, folder: int, segment: int, end: int) -> Iterator[Record | Hole]:
    """Yield a segment's records up to `end`, and a `Hole` for each unreadable range between them."""
    at = HEAD_SIZE
    while at < end:
        if (record := record_at(data, at, folder, segment)) is not None:
            yield record
            at += record.size
            continue
        following = at
        while (following := data.find(MARK, following + 1, end)) >= 0:
            if record_at(data, following, folder, segment) is not None:
                break
        following = end if following < 0 else following
        yield Hole(at, following - at)
        at = following
