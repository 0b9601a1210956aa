"""Frames between nodes: a JSON head as a netstring, optionally followed by a payload as a second netstring.

The payload is sent as raw bytes: encoded in JSON, it would grow by a third and be parsed twice.

The head of a request has the fields tag, body and number, in this order; a notification has no number, and a
reply has number and body. The first frame that a client sends on a connection is a handshake with the address
at which its node listens. The field names are part of the protocol between versions.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import NamedTuple

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json, RawMessage
from amberlug.cluster.values import value

MAX_NETSTRING_BYTES = 8 << 20  # fits a whole configuration or a page of a storage node's messages
MAX_LENGTH_DIGITS = len(str(MAX_NETSTRING_BYTES))

TAG_FIELD = "w"
BODY_FIELD = "b"
NUMBER_FIELD = "n"  # of a request; its reply repeats it
HAS_PAYLOAD_FIELD = "x"  # present if a netstring with the payload follows
HANDSHAKE_TAG = "hello"
ORIGIN_FIELD = "from"  # in the body of a handshake


class BadFrameError(ValueError):
    """A malformed frame was received; nothing after it on the connection can be decoded.

    :param reason: what is wrong with the frame.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@value
class FrameTooLong:
    """Error of a frame that exceeds the size limit and was not encoded."""

    size_bytes: int
    limit_bytes: int = MAX_NETSTRING_BYTES


class Frame(NamedTuple):
    """A received frame."""

    head: Json
    payload: bytes


def encode_message(message: RawMessage, number: int | None = None) -> Result[bytes, FrameTooLong]:
    """Encode a message: a request if a number is given, otherwise a notification."""
    head: Json = {TAG_FIELD: message.tag, BODY_FIELD: message.body}
    if number is not None:
        head[NUMBER_FIELD] = number
    return encode_frame(head, message.payload)


def encode_reply(number: object, body: Json, payload: bytes) -> Result[bytes, FrameTooLong]:
    """Encode the reply to the request with the given number."""
    return encode_frame({NUMBER_FIELD: number, BODY_FIELD: body}, payload)


def encode_handshake(origin: str) -> bytes:
    """Encode the handshake of a client whose node listens at the address `origin`."""
    return encode_message(RawMessage(HANDSHAKE_TAG, {ORIGIN_FIELD: origin})).unwrap()


def handshake_origin(frame: Frame) -> str:
    """Return the address stated in a handshake.

    :raises BadFrameError: if the frame is not a handshake.
    """
    body = frame.head.get(BODY_FIELD)
    origin = body.get(ORIGIN_FIELD) if isinstance(body, dict) else None
    if frame.head.get(TAG_FIELD) != HANDSHAKE_TAG or not isinstance(origin, str) or not origin:
        raise BadFrameError("the first frame is not a handshake")
    return origin


def decode_message(frame: Frame) -> RawMessage:
    """Return the message of a request or notification.

    :raises BadFrameError: if the frame is neither.
    """
    body, tag = frame.head.get(BODY_FIELD), frame.head.get(TAG_FIELD)
    if not isinstance(body, dict) or not isinstance(tag, str):
        raise BadFrameError("the frame has no tag or no body")
    return RawMessage(tag, body, frame.payload)


def _netstring(data: bytes) -> bytes:
    return b"%d:%b," % (len(data), data)


def encode_frame(head: Json, payload: bytes = b"") -> Result[bytes, FrameTooLong]:
    """Encode a frame; returns an error if one of its netstrings would exceed `MAX_NETSTRING_BYTES`."""
    if payload:
        head = {**head, HAS_PAYLOAD_FIELD: 1}
    text = json.dumps(head, separators=(",", ":")).encode()
    if len(text) > MAX_NETSTRING_BYTES or len(payload) > MAX_NETSTRING_BYTES:
        return Err(FrameTooLong(len(text) + len(payload)))
    return Ok(_netstring(text) + (_netstring(payload) if payload else b""))


class FrameReader:
    """Decodes a stream of frames, buffering at most two netstrings.

    :param max_bytes: size limit per netstring until `accept_full_size` is called.
    """

    def __init__(self, max_bytes: int = MAX_NETSTRING_BYTES) -> None:
        self._buffer = bytearray()
        self._head: Json | None = None  # of a frame whose payload is still incomplete
        self._max_bytes = max_bytes

    def accept_full_size(self) -> None:
        """Raise the size limit to `MAX_NETSTRING_BYTES`."""
        self._max_bytes = MAX_NETSTRING_BYTES

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each complete frame.

        :raises BadFrameError: if the stream is malformed; the reader cannot be used afterwards.
        """
        self._buffer += data
        while (content := self._next_netstring()) is not None:
            if self._head is not None:
                head, self._head = self._head, None
                yield Frame(head, content)
                continue
            head = _parse_head(content)
            if head.get(HAS_PAYLOAD_FIELD):
                self._head = head
            else:
                yield Frame(head, b"")

    def _next_netstring(self) -> bytes | None:
        """Remove the next netstring from the buffer; returns None while it is incomplete."""
        colon = self._buffer.find(b":", 0, MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > MAX_LENGTH_DIGITS:
                raise BadFrameError("the netstring has no length")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or (size := int(digits)) > self._max_bytes:
            raise BadFrameError("the length of the netstring is invalid or exceeds the limit")
        end = colon + 1 + size
        if len(self._buffer) <= end:
            return None
        if self._buffer[end] != ord(","):
            raise BadFrameError("the netstring is not terminated by a comma")
        content = bytes(self._buffer[colon + 1 : end])
        del self._buffer[: end + 1]
        return content


def _parse_head(text: bytes) -> Json:
    try:
        head = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadFrameError("the head is not valid JSON") from error
    if not isinstance(head, dict):
        raise BadFrameError("the head is not a JSON object")
    return head
