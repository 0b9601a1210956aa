"""Frames between nodes: a head as a netstring of JSON, and where it says so a payload as a second netstring.

A message's payload is sent as bytes: as JSON text it would grow by a third and be parsed twice.

The head of a request has the fields tag, body and number, in this order; a notification has no number, and a
reply has number and body. The first frame of a client on a connection is a handshake that names the address
at which its node listens. The field names are a protocol between versions.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import NamedTuple

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json, RawMessage
from amberlug.cluster.values import value

MAX_NETSTRING_BYTES = 8 << 20  # a whole configuration and a page of a storage node's messages fit
MAX_LENGTH_DIGITS = len(str(MAX_NETSTRING_BYTES))

TAG_FIELD = "w"
BODY_FIELD = "b"
NUMBER_FIELD = "n"  # of a request; its reply repeats it
HAS_PAYLOAD_FIELD = "x"  # present where a netstring with the payload follows
HANDSHAKE_TAG = "hello"
ORIGIN_FIELD = "from"  # in the body of a handshake


class BadFrameError(ValueError):
    """What was received is not a frame: nothing after it on the connection can be read.

    :param reason: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@value
class FrameTooLong:
    """Why a frame was not encoded."""

    size_bytes: int
    limit_bytes: int = MAX_NETSTRING_BYTES


class Frame(NamedTuple):
    """A frame as it was received."""

    head: Json
    payload: bytes


def encode_message(message: RawMessage, number: int | None = None) -> Result[bytes, FrameTooLong]:
    """The frame of a request with that number, or of a notification."""
    head: Json = {TAG_FIELD: message.tag, BODY_FIELD: message.body}
    if number is not None:
        head[NUMBER_FIELD] = number
    return encode_frame(head, message.payload)


def encode_reply(number: object, body: Json, payload: bytes) -> Result[bytes, FrameTooLong]:
    """The frame of a reply to the request with that number."""
    return encode_frame({NUMBER_FIELD: number, BODY_FIELD: body}, payload)


def encode_handshake(origin: str) -> bytes:
    """The first frame of a client whose node listens at that address."""
    return encode_message(RawMessage(HANDSHAKE_TAG, {ORIGIN_FIELD: origin})).unwrap()


def handshake_origin(frame: Frame) -> str:
    """The address that a handshake names.

    :raises BadFrameError: where the frame is not a handshake.
    """
    body = frame.head.get(BODY_FIELD)
    origin = body.get(ORIGIN_FIELD) if isinstance(body, dict) else None
    if frame.head.get(TAG_FIELD) != HANDSHAKE_TAG or not isinstance(origin, str) or not origin:
        raise BadFrameError("the first frame is not a handshake")
    return origin


def decode_message(frame: Frame) -> RawMessage:
    """The message of a request or of a notification.

    :raises BadFrameError: where the frame is neither.
    """
    body, tag = frame.head.get(BODY_FIELD), frame.head.get(TAG_FIELD)
    if not isinstance(body, dict) or not isinstance(tag, str):
        raise BadFrameError("a frame without tag or body")
    return RawMessage(tag, body, frame.payload)


def _netstring(data: bytes) -> bytes:
    return b"%d:%b," % (len(data), data)


def encode_frame(head: Json, payload: bytes = b"") -> Result[bytes, FrameTooLong]:
    """Encode a frame; an error where a netstring of it would exceed `MAX_NETSTRING_BYTES`."""
    if payload:
        head = {**head, HAS_PAYLOAD_FIELD: 1}
    text = json.dumps(head, separators=(",", ":")).encode()
    if len(text) > MAX_NETSTRING_BYTES or len(payload) > MAX_NETSTRING_BYTES:
        return Err(FrameTooLong(len(text) + len(payload)))
    return Ok(_netstring(text) + (_netstring(payload) if payload else b""))


class FrameReader:
    """Decodes a stream of frames; its memory is bounded by two netstrings.

    :param max_bytes: limit for one netstring, until `accept_full_size` is called.
    """

    def __init__(self, max_bytes: int = MAX_NETSTRING_BYTES) -> None:
        self._buffer = bytearray()
        self._head: Json | None = None  # of a frame whose payload is incomplete
        self._max_bytes = max_bytes

    def accept_full_size(self) -> None:
        """Accept frames of any size that may be sent from now on."""
        self._max_bytes = MAX_NETSTRING_BYTES

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes, and give each frame that is complete.

        :raises BadFrameError: where the stream is malformed; the reader can not be used any more.
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
        """Take a netstring off the buffer; None while it is incomplete."""
        colon = self._buffer.find(b":", 0, MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > MAX_LENGTH_DIGITS:
                raise BadFrameError("no length")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or (size := int(digits)) > self._max_bytes:
            raise BadFrameError("a bad length")
        end = colon + 1 + size
        if len(self._buffer) <= end:
            return None
        if self._buffer[end] != ord(","):
            raise BadFrameError("no comma")
        content = bytes(self._buffer[colon + 1 : end])
        del self._buffer[: end + 1]
        return content


def _parse_head(text: bytes) -> Json:
    try:
        head = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadFrameError("a head that is not JSON") from error
    if not isinstance(head, dict):
        raise BadFrameError("a head that is not a JSON object")
    return head
