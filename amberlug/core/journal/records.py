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
_HEADER = struct.Struct(">8sHHQQQQQ")
_CHECKSUM = struct.Struct(">I")
HEADER_SIZE = _HEADER.size + _CHECKSUM.size
_RECORD = struct.Struct(">2scBI")
_POSITION = struct.Struct(">QQQ")
_POSITIONED = struct.Struct(">QQQ2scBI")  # position and record header together, for encoding
RECORD_HEADER_SIZE = _RECORD.size + _CHECKSUM.size
MARK = b"\xa7\x1f"
_NAME = re.compile(r"segment-([0-9]{12})\.log")

TAKEN, ATTEMPT, OUTCOME, REPLY, OWED, ENDED, MEMORY = b"T", b"A", b"O", b"R", b"N", b"E", b"S"
# A pause that an endpoint asked for. Like MEMORY it is only read: `amberlug.learning` keeps both now.
WAIT = b"W"
MESSAGE_KINDS = frozenset((TAKEN, ATTEMPT, OUTCOME, REPLY, OWED))  # indexed while a message is held
# Segments up to a number are obsolete; everything up to a position is synced.
DROPPED, SYNCED = b"D", b"Y"


class NewerVersionError(ValueError):
    """The folder was written by a newer release; it is not modified."""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """A segment's header."""

    folder: int
    number: int
    first: int  # the oldest segment needed when this one was created
    previous: int  # the number of the previous segment; 0 for the very first
    before: int  # the valid size of the previous segment in bytes
    synced: bool = False  # whether its writer synced the journal and recorded the synced positions

    def encode(self) -> bytes:
        """Serialize the header."""
        body = _HEADER.pack(
            MAGIC, VERSION, self.synced, self.folder, self.number, self.first, self.previous, self.before
        )
        return body + _CHECKSUM.pack(zlib.crc32(body))


def read_segment_header(data: bytes) -> SegmentHeader | None:
    """Parse a header; None if it is damaged, `NewerVersionError` if a newer release wrote it."""
    if len(data) < HEADER_SIZE:
        return None
    magic, version, flags, folder, number, first, previous, before = _HEADER.unpack_from(data)
    if magic == MAGIC and version > VERSION:
        raise NewerVersionError(f"the journal was written by a newer release (version {version})")
    if magic != MAGIC or _CHECKSUM.unpack_from(data, _HEADER.size)[0] != zlib.crc32(data[: _HEADER.size]):
        return None
    return SegmentHeader(folder, number, first, previous, before, bool(flags & 1))


def segment_file_name(number: int) -> str:
    """Return a segment's file name."""
    return f"segment-{number:012d}.log"


def segment_number(name: str) -> int | None:
    """Return the segment number in a file name; None for other files."""
    match = _NAME.fullmatch(name)
    return int(match[1]) if match else None


def encode(kind: bytes, name: bytes, rest: bytes, folder: int, segment: int, offset: int) -> bytes:
    """Serialize a record for one position."""
    payload = name + rest
    placed = _POSITIONED.pack(folder, segment, offset, MARK, kind, len(name), len(payload))
    checksum = _CHECKSUM.pack(zlib.crc32(payload, zlib.crc32(placed)))
    return placed[_POSITION.size :] + checksum + payload


@dataclass(frozen=True, slots=True)
class Record:
    """A valid record."""

    offset: int
    size: int
    kind: bytes
    name: str
    rest: bytes


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """A range of bytes that can't be read."""

    offset: int
    size: int


def stated_record_size(data: bytes, at: int) -> int:
    """Return the total size stated by the record at an offset; 0 without a complete header."""
    if len(data) - at < RECORD_HEADER_SIZE or data[at : at + 2] != MARK:
        return 0
    return RECORD_HEADER_SIZE + int(_RECORD.unpack_from(data, at)[3])


def is_torn_record(data: bytes, unreadable: UnreadableRange) -> bool:
    """Whether a unreadable is a torn last record, which states a size beyond the end of the data."""
    left = len(data) - unreadable.offset
    if unreadable.size != left:
        return False
    begun = data[unreadable.offset : unreadable.offset + len(MARK)]
    return MARK.startswith(begun) and (
        left < RECORD_HEADER_SIZE or stated_record_size(data, unreadable.offset) > left
    )


def record_at(data: bytes, at: int, folder: int, segment: int, base: int = 0) -> Record | None:
    """Read the record at an offset of `data`, which starts at `base` in its segment; None if invalid."""
    size = stated_record_size(data, at)
    if not size or len(data) - at < size:
        return None
    _, kind, name_size, _ = _RECORD.unpack_from(data, at)
    payload = data[at + RECORD_HEADER_SIZE : at + size]
    seed = zlib.crc32(_POSITION.pack(folder, segment, base + at))
    checksum = zlib.crc32(payload, zlib.crc32(data[at : at + _RECORD.size], seed))
    if checksum != _CHECKSUM.unpack_from(data, at + _RECORD.size)[0] or name_size > len(payload):
        return None
    return Record(base + at, size, kind, payload[:name_size].decode("latin-1"), payload[name_size:])


def read_records(data: bytes, folder: int, segment: int, end: int) -> Iterator[Record | UnreadableRange]:
    """Yield the records up to `end`, and an `UnreadableRange` for each gap between them."""
    at = HEADER_SIZE
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
        yield UnreadableRange(at, following - at)
        at = following
