"""File format of a generation: a chain of blocks, each of which authenticates all before it. No I/O.

A file begins with a magic number and a version. A block is a marker, a type, the payload's length, a CRC-32
of these, a digest and the payload. The digest (BLAKE2b, keyed if a key is set) covers the previous digest,
the block's header and its payload, so it detects corrupted, swapped, missing and foreign blocks. The first
block identifies the generation. Then come the records, a seal once all are written, and later changes. A file
without a seal is invalid. After the seal, a truncated last block was being written when the process or the
machine stopped: everything before it is valid.
"""

from __future__ import annotations

import hashlib
import re
import struct
import zlib
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgpack

MAGIC, VERSION = b"AMBLEARN", 1
_PREFIX = struct.Struct(">8sH")
_HEAD = struct.Struct(">2sBI")
_CHECK = struct.Struct(">I")
DIGEST = 16
HEAD_SIZE = _HEAD.size + _CHECK.size + DIGEST
PREFIX_SIZE = _PREFIX.size
MARK = b"\xa7\x2e"
BLOCK_MOST = 1 << 20  # bytes of payload
_NAME = re.compile(r"learning-([0-9]{12})\.gen")

Records = list[tuple[bytes, bytes]]  # keys and values; an empty value deletes the key


class Type(IntEnum):
    """The content of a block."""

    WHOSE = 1
    RECORDS = 2
    SEAL = 3


class RefusedError(ValueError):
    """A generation is invalid, for the reason in the message."""


@dataclass(frozen=True, slots=True)
class Stamp:
    """The time of a write: by the wall clock, and by the monotonic clock of a boot."""

    wall_ms: int
    clock_us: int
    boot: str


@dataclass(slots=True)
class Generation:
    """The content of a file, and what is needed to append to it."""

    number: int = 0
    records: dict[bytes, bytes] = field(default_factory=dict)
    stamp: Stamp = field(default_factory=lambda: Stamp(0, 0, ""))  # of the last block of records
    digest: bytes = b""  # of the last block
    holds: int = 0  # bytes up to the end of the last block


def file_name(number: int) -> str:
    """Return the name of a generation's file."""
    return f"learning-{number:012d}.gen"


def number_of(name: str) -> int | None:
    """Return the generation number in a file name; None for other files."""
    match = _NAME.fullmatch(name)
    return int(match[1]) if match else None


def prefix() -> bytes:
    """Return the file header, which the first digest covers."""
    return _PREFIX.pack(MAGIC, VERSION)


def block(kind: Type, payload: bytes, before: bytes, key: bytes) -> tuple[bytes, bytes]:
    """Return a block that follows the one with the digest `before`, and its own digest."""
    head = _HEAD.pack(MARK, kind, len(payload))
    digest = _digest(before, head, payload, key)
    return head + _CHECK.pack(zlib.crc32(head)) + digest + payload, digest


def _digest(before: bytes, head: bytes, payload: bytes, key: bytes) -> bytes:
    one = hashlib.blake2b(before, digest_size=DIGEST, key=hashlib.sha512(key).digest() if key else b"")
    one.update(head)
    one.update(payload)
    return one.digest()


def pack_whose(number: int, stamp: Stamp) -> bytes:
    """Encode the payload of the first block."""
    return bytes(msgpack.packb([number, stamp.wall_ms, stamp.clock_us, stamp.boot]))


def pack_records(records: Records, stamp: Stamp) -> bytes:
    """Encode the payload of a block of records."""
    return bytes(msgpack.packb([stamp.wall_ms, stamp.clock_us, records]))


def read(data: bytes, number: int, key: bytes) -> Generation:
    """Read a generation; raises `RefusedError` unless all of it is valid."""
    if len(data) < PREFIX_SIZE:
        raise RefusedError("incomplete")
    magic, version = _PREFIX.unpack_from(data)
    if magic != MAGIC:
        raise RefusedError("not a file of learned data")
    if version != VERSION:
        raise RefusedError(f"format version is {version}, this release reads {VERSION}")
    found, sealed, at = Generation(digest=data[:PREFIX_SIZE], holds=PREFIX_SIZE), False, PREFIX_SIZE
    while (one := _block(data, at, found.digest, key)) is not None:
        kind, payload, found.digest, at = one
        try:
            if (kind is Type.WHOSE) is not (found.holds == PREFIX_SIZE):
                raise ValueError("block out of order")
            if kind is Type.SEAL:
                if sealed or payload:
                    raise ValueError("second seal, or a seal with a payload")
                sealed = True
            elif kind is Type.WHOSE:
                _whose(found, payload)
            else:
                _apply(found, payload)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise RefusedError(f"malformed block at offset {found.holds}: {error}") from None
        found.holds = at
    if not sealed:
        raise RefusedError("incomplete: it has no seal")
    if found.number != number:
        raise RefusedError(f"it contains generation {found.number}")
    return found


def _block(data: bytes, at: int, before: bytes, key: bytes) -> tuple[Type, bytes, bytes, int] | None:
    """Return the block at an offset, its digest and its end; None if the file ends before that."""
    if len(data) - at < HEAD_SIZE:
        return None
    head = data[at : at + _HEAD.size]
    mark, kind, size = _HEAD.unpack(head)
    sound = _CHECK.unpack_from(data, at + _HEAD.size)[0] == zlib.crc32(head)
    if not sound or mark != MARK or size > BLOCK_MOST or kind not in (1, 2, 3):
        raise RefusedError(f"no valid block header at offset {at}")
    start, end = at + HEAD_SIZE, at + HEAD_SIZE + size
    if end > len(data):
        return None
    payload, digest = data[start:end], data[start - DIGEST : start]
    if digest != _digest(before, head, payload, key):
        raise RefusedError(
            f"digest mismatch at offset {at}: the block was modified, moved or written with another key"
        )
    return Type(kind), payload, digest, end


def _whose(found: Generation, payload: bytes) -> None:
    found.number, wall_ms, clock_us, boot = _fields(payload, int, int, int, str)
    found.stamp = Stamp(wall_ms, clock_us, boot)


def _apply(found: Generation, payload: bytes) -> None:
    wall_ms, clock_us, records = _fields(payload, int, int, list)
    found.stamp = Stamp(wall_ms, clock_us, found.stamp.boot)
    for key, value in records:
        if not isinstance(key, bytes) or not isinstance(value, bytes):
            raise TypeError("key or value of a record is not bytes")
        if value:
            found.records[key] = value
        else:
            found.records.pop(key, None)


def _fields(payload: bytes, *types: type) -> list[Any]:
    fields = msgpack.unpackb(payload, use_list=True)
    if not isinstance(fields, list) or [type(it) for it in fields] != list(types):
        raise ValueError("unexpected field types")
    return fields
