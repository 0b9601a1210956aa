"""The side of a connection that accepted it: requests arrive on it, and replies go back."""

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

MAX_HANDSHAKE_BYTES = 1 << 12  # clients that are no nodes must not fill memory


class ConnectionOwner(Protocol):
    """What a server connection reports to."""

    def on_accepted(self, connection: ServerConnection) -> None:
        """A peer has connected."""

    def on_closed(self, connection: ServerConnection) -> None:
        """The connection has ended."""

    def on_rejected(self, connection: ServerConnection, error: BadFrameError) -> None:
        """The connection is aborted, as the peer does not speak the protocol."""

    def on_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        """A message from the node at the address `origin`."""

    def frame_to_send(self, frame: Result[bytes, FrameTooLong], tag: str) -> bytes | None:
        """The encoded frame; None where it is too long, which is counted."""


class ServerConnection(asyncio.Protocol):
    """A connection that a peer opened. `origin` is the peer's own address, once its handshake was read."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.origin = ""
        self._reader = FrameReader(MAX_HANDSHAKE_BYTES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_user_timeout(transport)
        self.owner.on_accepted(self)

    def data_received(self, data: bytes) -> None:
        """Pass on the messages in these bytes, and abort the connection of a peer that sends no frames."""
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
        """What sends the reply to a request; where there is no number, nobody waits for one."""

        def respond(body: Json, payload: bytes = b"") -> None:
            transport = self.transport
            if number is None or transport is None or transport.is_closing():
                return
            if abort_if_not_reading(transport):
                return
            data = self.owner.frame_to_send(encode_reply(number, body, payload), "a reply")
            if data is not None:  # else the request times out
                transport.write(data)

        return respond

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end."""
        self.owner.on_closed(self)
