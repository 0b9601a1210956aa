"""Server side of a connection from a peer: receives requests and sends their replies."""

from __future__ import annotations

import asyncio
from typing import Protocol

from result import Result

from amberlug.cluster.interfaces import Json, RawMessage, Respond
from amberlug.cluster.rpc.framing import (
    NUMBER_FIELD,
    BadFrameError,
    FrameReader,
    FrameTooLong,
    decode_message,
    encode_reply,
    handshake_origin,
)
from amberlug.cluster.rpc.tcp import abort_if_not_reading, set_user_timeout

MAX_HANDSHAKE_BYTES = 1 << 12  # bounds the memory used by clients that are not nodes


class ConnectionOwner(Protocol):
    """Receives the events of server connections."""

    def on_accepted(self, connection: ServerConnection) -> None:
        """Handle a new connection."""

    def on_closed(self, connection: ServerConnection) -> None:
        """Handle the end of a connection."""

    def on_rejected(self, connection: ServerConnection, error: BadFrameError) -> None:
        """Handle a protocol violation by the peer; the connection is aborted."""

    def on_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        """Handle a message from the node at the address `origin`."""

    def frame_to_send(self, frame: Result[bytes, FrameTooLong], tag: str) -> bytes | None:
        """Return the encoded frame, or None if it is too long, which is counted."""


class ServerConnection(asyncio.Protocol):
    """A connection opened by a peer. `origin` is the peer's listen address, known after its handshake."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.origin = ""
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for the handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_user_timeout(transport)
        self.owner.on_accepted(self)

    def data_received(self, data: bytes) -> None:
        """Handle the received messages; the connection is aborted if the peer sends malformed frames."""
        transport = self.transport
        assert transport is not None
        try:
            for frame in self._reader.feed(data):
                if not self.origin:
                    self.origin = handshake_origin(frame)
                    self._reader.accept_full_size()
                    continue
                respond = self._respond_to(frame.head.get(NUMBER_FIELD))
                self.owner.on_message(decode_message(frame), self.origin, respond)
        except BadFrameError as error:
            self.owner.on_rejected(self, error)
            transport.abort()

    def _respond_to(self, number: object) -> Respond:
        """Return the function that replies to a request; without a number, no reply is expected."""

        def respond(body: Json, payload: bytes = b"") -> None:
            """Send the reply; it is dropped if the connection is closing or the peer does not read."""
            transport = self.transport
            if number is None or transport is None or transport.is_closing():
                return
            if abort_if_not_reading(transport):
                return
            data = self.owner.frame_to_send(encode_reply(number, body, payload), "a reply")
            if data is not None:  # otherwise, the request times out at the peer
                transport.write(data)

        return respond

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self.owner.on_closed(self)
