"""Frames: a netstring of JSON, and behind one that says so a second netstring of plain bytes.

A message's body is bytes and no text: as JSON it would grow by a third and be read twice.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

MOST = 8 << 20  # bytes of one netstring: a whole configuration and a page of a store's messages fit
DIGITS = len(str(MOST))


class BadFrameError(ValueError):
    """What came is no frame: the connection ends."""


def _netstring(data: bytes) -> bytes:
    return b"%d:%b," % (len(data), data)


def pack(head: dict[str, Any], blob: bytes = b"") -> Result[bytes, int]:
    """One frame; how many bytes it would have, where it would be longer than any may be."""
    if blob:
        head = {**head, "x": 1}
    text = json.dumps(head, separators=(",", ":")).encode()
    if len(text) > MOST or len(blob) > MOST:
        return Err(len(text) + len(blob))
    return Ok(_netstring(text) + (_netstring(blob) if blob else b""))


class FrameReader:
    """Takes bytes as they come and gives whole frames; memory is bounded by two netstrings."""

    def __init__(self, most: int = MOST) -> None:
        self._data = bytearray()
        self._head: dict[str, Any] | None = None
        self._most = most

    def feed(self, data: bytes) -> Iterator[tuple[dict[str, Any], bytes]]:
        """Give each frame that is whole now; `BadFrameError` ends it for good."""
        self._data += data
        while (piece := self._piece()) is not None:
            if self._head is not None:
                head, self._head = self._head, None
                yield head, piece
                continue
            try:
                head = json.loads(piece)
            except (ValueError, RecursionError) as error:
                raise BadFrameError("no JSON") from error
            if not isinstance(head, dict):
                raise BadFrameError("no object")
            if head.get("x"):
                self._head = head
            else:
                yield head, b""

    def open_up(self) -> None:
        """From now on frames may be as long as any."""
        self._most = MOST

    def _piece(self) -> bytes | None:
        colon = self._data.find(b":", 0, DIGITS + 1)
        if colon < 0:
            if len(self._data) > DIGITS:
                raise BadFrameError("no length")
            return None
        digits = bytes(self._data[:colon])
        if not digits.isdigit() or (size := int(digits)) > self._most:
            raise BadFrameError("a bad length")
        end = colon + 1 + size
        if len(self._data) <= end:
            return None
        if self._data[end] != 0x2C:
            raise BadFrameError("no comma")
        piece = bytes(self._data[colon + 1 : end])
        del self._data[: end + 1]
        return piece
