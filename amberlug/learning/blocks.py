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
_FILE_HEADER = struct.Struct(">8sH")
_HEADER = struct.Struct(">2sBI")
_CHECKSUM = struct.Struct(">I")
DIGEST_BYTES = 16
HEADER_SIZE = _HEADER.size + _CHECKSUM.size + DIGEST_BYTES
FILE_HEADER_SIZE = _FILE_HEADER.size
MARKER = b"\xa7\x2e"
MAX_PAYLOAD_BYTES = 1 << 20
_FILE_NAME = re.compile(r"learning-([0-9]{12})\.gen")

Records = list[tuple[bytes, bytes]]  # keys and values; an empty value deletes the key


class BlockType(IntEnum):
    """The content of a block."""

    IDENTITY = 1
    RECORDS = 2
    SEAL = 3


class InvalidGenerationError(ValueError):
    """A generation is invalid, for the reason in the message."""


@dataclass(frozen=True, slots=True)
class Timestamp:
    """The time of a write: by the wall clock, and by the monotonic clock of a boot."""

    wall_ms: int
    clock_us: int
    boot: str


@dataclass(slots=True)
class Generation:
    """The content of a file, and what is needed to append to it."""

    number: int = 0
    records: dict[bytes, bytes] = field(default_factory=dict)
    stamp: Timestamp = field(default_factory=lambda: Timestamp(0, 0, ""))  # of the last block of records
    digest: bytes = b""  # of the last block
    valid_bytes: int = 0  # bytes up to the end of the last block


def file_name(number: int) -> str:
    """Return the name of a generation's file."""
    return f"learning-{number:012d}.gen"


def generation_number(name: str) -> int | None:
    """Return the generation number in a file name; None for other files."""
    match = _FILE_NAME.fullmatch(name)
    return int(match[1]) if match else None


def file_header() -> bytes:
    """Return the file header, which the first digest covers."""
    return _FILE_HEADER.pack(MAGIC, VERSION)


def encode_block(
    block_type: BlockType, payload: bytes, previous_digest: bytes, key: bytes
) -> tuple[bytes, bytes]:
    """Return an encoded block and its digest; it follows the block with `previous_digest`."""
    header = _HEADER.pack(MARKER, block_type, len(payload))
    digest = _digest(previous_digest, header, payload, key)
    return header + _CHECKSUM.pack(zlib.crc32(header)) + digest + payload, digest


def _digest(previous_digest: bytes, header: bytes, payload: bytes, key: bytes) -> bytes:
    hash_key = hashlib.sha512(key).digest() if key else b""
    state = hashlib.blake2b(previous_digest, digest_size=DIGEST_BYTES, key=hash_key)
    state.update(header)
    state.update(payload)
    return state.digest()


def pack_identity(number: int, stamp: Timestamp) -> bytes:
    """Encode the payload of the first block."""
    return bytes(msgpack.packb([number, stamp.wall_ms, stamp.clock_us, stamp.boot]))


def pack_records(records: Records, stamp: Timestamp) -> bytes:
    """Encode the payload of a block of records."""
    return bytes(msgpack.packb([stamp.wall_ms, stamp.clock_us, records]))


def read_generation(data: bytes, number: int, key: bytes) -> Generation:
    """Read a generation; raises `InvalidGenerationError` unless all of it is valid."""
    if len(data) < FILE_HEADER_SIZE:
        raise InvalidGenerationError("incomplete")
    magic, version = _FILE_HEADER.unpack_from(data)
    if magic != MAGIC:
        raise InvalidGenerationError("not a file of learned data")
    if version != VERSION:
        raise InvalidGenerationError(f"format version is {version}, this release reads {VERSION}")
    generation = Generation(digest=data[:FILE_HEADER_SIZE], valid_bytes=FILE_HEADER_SIZE)
    sealed, offset = False, FILE_HEADER_SIZE
    while (block_read := _next_block(data, offset, generation.digest, key)) is not None:
        block_type, payload, generation.digest, offset = block_read
        try:
            if (block_type is BlockType.IDENTITY) is not (generation.valid_bytes == FILE_HEADER_SIZE):
                raise ValueError("block out of order")
            if block_type is BlockType.SEAL:
                if sealed or payload:
                    raise ValueError("second seal, or a seal with a payload")
                sealed = True
            elif block_type is BlockType.IDENTITY:
                _apply_identity(generation, payload)
            else:
                _apply_records(generation, payload)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise InvalidGenerationError(
                f"malformed block at offset {generation.valid_bytes}: {error}"
            ) from None
        generation.valid_bytes = offset
    if not sealed:
        raise InvalidGenerationError("incomplete: it has no seal")
    if generation.number != number:
        raise InvalidGenerationError(f"it contains generation {generation.number}")
    return generation


def _next_block(
    data: bytes, offset: int, previous_digest: bytes, key: bytes
) -> tuple[BlockType, bytes, bytes, int] | None:
    """Return the block at an offset, its digest and its end; None if the file ends before that."""
    if len(data) - offset < HEADER_SIZE:
        return None
    header = data[offset : offset + _HEADER.size]
    marker, block_type, size = _HEADER.unpack(header)
    valid_header = _CHECKSUM.unpack_from(data, offset + _HEADER.size)[0] == zlib.crc32(header)
    if not valid_header or marker != MARKER or size > MAX_PAYLOAD_BYTES or block_type not in (1, 2, 3):
        raise InvalidGenerationError(f"no valid block header at offset {offset}")
    start, end = offset + HEADER_SIZE, offset + HEADER_SIZE + size
    if end > len(data):
        return None
    payload, digest = data[start:end], data[start - DIGEST_BYTES : start]
    if digest != _digest(previous_digest, header, payload, key):
        raise InvalidGenerationError(
            f"digest mismatch at offset {offset}: the block was modified, moved or written with another key"
        )
    return BlockType(block_type), payload, digest, end


def _apply_identity(generation: Generation, payload: bytes) -> None:
    generation.number, wall_ms, clock_us, boot = _fields(payload, int, int, int, str)
    generation.stamp = Timestamp(wall_ms, clock_us, boot)


def _apply_records(generation: Generation, payload: bytes) -> None:
    wall_ms, clock_us, records = _fields(payload, int, int, list)
    generation.stamp = Timestamp(wall_ms, clock_us, generation.stamp.boot)
    for key, value in records:
        if not isinstance(key, bytes) or not isinstance(value, bytes):
            raise TypeError("key or value of a record is not bytes")
        if value:
            generation.records[key] = value
        else:
            generation.records.pop(key, None)


def _fields(payload: bytes, *types: type) -> list[Any]:
    fields = msgpack.unpackb(payload, use_list=True)
    if not isinstance(fields, list) or [type(it) for it in fields] != list(types):
        raise ValueError("unexpected field types")
    return fields
