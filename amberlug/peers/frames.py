"""Frames between relays: a head, messages in msgpack, and a seal. No I/O.

A frame is `AL`, a version, a kind, the length of its payload (all big-endian) and the payload, then 16 bytes
of BLAKE3 over its number on this connection, head and payload: keyed where the fleet has a key,
else a checksum. The key of a connection is made of the fleet's key and a number that each side draws, so
that no frame of another connection or from another place in this one passes.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import Any

import msgpack
from blake3 import blake3

VERSIONS = (1, 1)  # oldest and newest that this release speaks
MAGIC = b"AL"
_HEAD = struct.Struct(">2sBBI")
_NUMBER = struct.Struct(">Q")
SEAL = 16  # bytes
FRAME_MOST = 1 << 20  # bytes of a payload: what is longer ends the connection
DEEP_MOST = 1 << 16  # entries of one list or map
CONTEXT = "amberlug 2026-12 links between relays"


class Kind(IntEnum):
    """What a frame holds."""

    HELLO = 1
    WELCOME = 2
    MESSAGES = 3


class BadFrameError(ValueError):
    """What came is no frame of this connection: it ends."""


def key_of(fleet_key: bytes, nonces: bytes = b"") -> bytes:
    """The key of a connection; `nonces` are those of both sides, none before they are known."""
    return bytes(blake3(fleet_key + nonces, derive_key_context=CONTEXT).digest())


class Sealer:
    """Makes the frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0

    def frame(self, kind: Kind, content: Any, version: int = VERSIONS[1]) -> bytes:
        """One frame; `ValueError` where it would be longer than any may be."""
        payload = msgpack.packb(content, use_bin_type=True)
        if len(payload) > FRAME_MOST:
            raise ValueError(f"a frame of {len(payload)} bytes")
        head = _HEAD.pack(MAGIC, version, kind, len(payload))
        seal = _seal(self._key, self._number, head, payload)
        self._number += 1
        return bytes(head + payload + seal)


class Opener:
    """Reads the frames of one direction of a connection, out of pieces of any size."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0
        self._rest = bytearray()

    def rekey(self, key: bytes) -> None:
        """Go on with the connection's own key; what has come already is read with it."""
        self._key, self._number = key, 0

    def feed(self, data: bytes) -> None:
        """Take in what came; `frames` reads it."""
        self._rest += data

    def frames(self) -> Iterator[tuple[Kind, Any]]:
        """The whole frames so far; `BadFrameError` at the first that is none."""
        while len(self._rest) >= _HEAD.size:
            magic, version, kind, size = _HEAD.unpack_from(self._rest)
            if magic != MAGIC or kind not in Kind._value2member_map_:
                raise BadFrameError("no frame")
            if not VERSIONS[0] <= version <= VERSIONS[1]:
                raise BadFrameError(f"a frame of version {version}")
            if size > FRAME_MOST:
                raise BadFrameError(f"a frame of {size} bytes")
            end = _HEAD.size + size
            if len(self._rest) < end + SEAL:
                return
            head, payload = bytes(self._rest[: _HEAD.size]), bytes(self._rest[_HEAD.size : end])
            if bytes(self._rest[end : end + SEAL]) != _seal(self._key, self._number, head, payload):
                raise BadFrameError("a frame with a wrong seal")
            self._number += 1
            del self._rest[: end + SEAL]
            yield Kind(kind), _unpacked(payload)


def _seal(key: bytes, number: int, head: bytes, payload: bytes) -> bytes:
    return bytes(blake3(_NUMBER.pack(number) + head + payload, key=key).digest(length=SEAL))


def _unpacked(payload: bytes) -> Any:
    try:
        return msgpack.unpackb(
            payload,
            raw=False,
            use_list=True,
            strict_map_key=True,
            max_array_len=DEEP_MOST,
            max_map_len=DEEP_MOST,
        )
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"a payload that can't be read: {error!r}") from None


def version_of(theirs: Sequence[int]) -> int:
    """The newest version that both sides speak; `BadFrameError` where there is none."""
    newest = min(VERSIONS[1], theirs[1])
    if newest < max(VERSIONS[0], theirs[0]):
        raise BadFrameError(f"versions {theirs[0]} to {theirs[1]}, this release speaks {VERSIONS}")
    return newest
