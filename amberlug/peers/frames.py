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
_HEADER = struct.Struct(">2sBBI")
_FRAME_NUMBER = struct.Struct(">Q")
TAG_BYTES = 16  # bytes of the authentication tag
MAX_PAYLOAD_BYTES = 1 << 20  # bytes of payload; a larger one closes the connection
MAX_COLLECTION_ENTRIES = 1 << 16  # entries of one list or map
KEY_CONTEXT = "amberlug 2026-12 links between relays"


class FrameKind(IntEnum):
    """Type of a frame."""

    HELLO = 1
    WELCOME = 2
    MESSAGES = 3


class BadFrameError(ValueError):
    """Malformed or unauthentic input; the connection is to be closed."""


def derive_key(fleet_key: bytes, nonces: bytes = b"") -> bytes:
    """Derive a connection's key; `nonces` are both sides', empty during the handshake."""
    return bytes(blake3(fleet_key + nonces, derive_key_context=KEY_CONTEXT).digest())


class FrameEncoder:
    """Encodes the frames of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0

    def encode(self, kind: FrameKind, content: Any, version: int = VERSIONS[1]) -> bytes:
        """Encode a frame; `ValueError` if it exceeds the size limit."""
        payload = msgpack.packb(content, use_bin_type=True)
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"a frame of {len(payload)} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
        header = _HEADER.pack(MAGIC, version, kind, len(payload))
        tag = _tag(self._key, self._number, header, payload)
        self._number += 1
        return bytes(header + payload + tag)


class FrameDecoder:
    """Decodes the frames of one direction of a connection from chunks of any size."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0
        self._buffer = bytearray()

    def rekey(self, key: bytes) -> None:
        """Switch to the connection's own key; applies to buffered data too."""
        self._key, self._number = key, 0

    def feed(self, data: bytes) -> None:
        """Buffer received data for `frames`."""
        self._buffer += data

    def frames(self) -> Iterator[tuple[FrameKind, Any]]:
        """The complete frames so far; `BadFrameError` at the first invalid one."""
        while len(self._buffer) >= _HEADER.size:
            magic, version, kind, size = _HEADER.unpack_from(self._buffer)
            if magic != MAGIC or kind not in FrameKind._value2member_map_:
                raise BadFrameError("not a frame: wrong magic or kind")
            if not VERSIONS[0] <= version <= VERSIONS[1]:
                raise BadFrameError(f"unsupported frame version {version}")
            if size > MAX_PAYLOAD_BYTES:
                raise BadFrameError(f"a frame of {size} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}")
            end = _HEADER.size + size
            if len(self._buffer) < end + TAG_BYTES:
                return
            header, payload = bytes(self._buffer[: _HEADER.size]), bytes(self._buffer[_HEADER.size : end])
            if bytes(self._buffer[end : end + TAG_BYTES]) != _tag(self._key, self._number, header, payload):
                raise BadFrameError("frame with an invalid authentication tag")
            self._number += 1
            del self._buffer[: end + TAG_BYTES]
            yield FrameKind(kind), _decode_payload(payload)


def _tag(key: bytes, number: int, header: bytes, payload: bytes) -> bytes:
    return bytes(blake3(_FRAME_NUMBER.pack(number) + header + payload, key=key).digest(length=TAG_BYTES))


def _decode_payload(payload: bytes) -> Any:
    try:
        return msgpack.unpackb(
            payload,
            raw=False,
            use_list=True,
            strict_map_key=True,
            max_array_len=MAX_COLLECTION_ENTRIES,
            max_map_len=MAX_COLLECTION_ENTRIES,
        )
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise BadFrameError(f"undecodable payload: {error!r}") from None


def negotiate_version(peer_versions: Sequence[int]) -> int:
    """The newest version that both sides support; `BadFrameError` if there is none."""
    newest = min(VERSIONS[1], peer_versions[1])
    if newest < max(VERSIONS[0], peer_versions[0]):
        raise BadFrameError(
            f"peer supports versions {peer_versions[0]} to {peer_versions[1]}, this release {VERSIONS}"
        )
    return newest
