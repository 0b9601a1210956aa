"""Frames between relays: header, msgpack payload and authentication tag. No I/O.

A frame is `AL`, version, kind, payload length (big-endian), payload, and 16 bytes of BLAKE3 over the frame's
number on this connection, header and payload: keyed if the fleet has a key, else a checksum. The connection's
key is derived from the fleet's key and a nonce of each side, so that frames replayed from another connection
or another position in this one are rejected.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from enum import IntEnum
from typing import Any

import msgpack
from blake3 import blake3

VERSIONS = (1, 1)  # oldest and newest protocol version of this release
MAGIC = b"AL"
_HEAD = struct.Struct(">2sBBI")
_NUMBER = struct.Struct(">Q")
SEAL = 16  # bytes of the authentication tag
FRAME_MOST = 1 << 20  # bytes of payload; a larger one closes the connection
DEEP_MOST = 1 << 16  # entries of one list or map
CONTEXT = "amberlug 2026-12 links between relays"


class Kind(IntEnum):
    """Type of a frame."""

    HELLO = 1
    WELCOME = 2
    MESSAGES = 3


class BadFrameError(ValueError):
    """Malformed or unauthentic input; the connection is to be closed."""


def key_of(fleet_key: bytes, nonces: bytes = b"") -> bytes:
    """Derive a connection's key; `nonces` are both sides', empty during the handshake."""
    return bytes(blake3(fleet_key + nonces, derive_key_context=CONTEXT).digest())


class Sealer:
    """Encodes the frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0

    def frame(self, kind: Kind, content: Any, version: int = VERSIONS[1]) -> bytes:
        """Encode a frame; `ValueError` if it exceeds the size limit."""
        payload = msgpack.packb(content, use_bin_type=True)
        if len(payload) > FRAME_MOST:
            raise ValueError(f"a frame of {len(payload)} bytes exceeds the limit of {FRAME_MOST}")
        head = _HEAD.pack(MAGIC, version, kind, len(payload))
        seal = _seal(self._key, self._number, head, payload)
        self._number += 1
        return bytes(head + payload + seal)


class Opener:
    """Decodes the frames of one direction of a connection from chunks of any size."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0
        self._rest = bytearray()

    def rekey(self, key: bytes) -> None:
        """Switch to the connection's own key; applies to buffered data too."""
        self._key, self._number = key, 0

    def feed(self, data: bytes) -> None:
        """Buffer received data for `frames`."""
        self._rest += data

    def frames(self) -> Iterator[tuple[Kind, Any]]:
        """The complete frames so far; `BadFrameError` at the first invalid one."""
        while len(self._rest) >= _HEAD.size:
            magic, version, kind, size = _HEAD.unpack_from(self._rest)
            if magic != MAGIC or kind not in Kind._value2member_map_:
                raise BadFrameError("not a frame: wrong magic or kind")
            if not VERSIONS[0] <= version <= VERSIONS[1]:
                raise BadFrameError(f"unsupported frame version {version}")
            if size > FRAME_MOST:
                raise BadFrameError(f"a frame of {size} bytes exceeds the limit of {FRAME_MOST}")
            end = _HEAD.size + size
            if len(self._rest) < end + SEAL:
                return
            head, payload = bytes(self._rest[: _HEAD.size]), bytes(self._rest[_HEAD.size : end])
            if bytes(self._rest[end : end + SEAL]) != _seal(self._key, self._number, head, payload):
                raise BadFrameError("frame with an invalid authentication tag")
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
        raise BadFrameError(f"undecodable payload: {error!r}") from None


def version_of(theirs: Sequence[int]) -> int:
    """The newest version that both sides support; `BadFrameError` if there is none."""
    newest = min(VERSIONS[1], theirs[1])
    if newest < max(VERSIONS[0], theirs[0]):
        raise BadFrameError(f"peer supports versions {theirs[0]} to {theirs[1]}, this release {VERSIONS}")
    return newest
