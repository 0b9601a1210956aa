"""The connections between a node and its peers: opened on first use and kept until they fail."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from absl import logging
from result import Err, Ok, Result

from amberlug.cluster.interfaces import RawMessage, ReplyCallback, RequestFailure, Respond
from amberlug.cluster.rpc.client_connection import ClientConnection, ConnectError
from amberlug.cluster.rpc.framing import BadFrameError, FrameTooLong, encode_message
from amberlug.cluster.rpc.server_connection import ServerConnection

ACCEPT_BACKLOG = 256  # all other nodes connect to a restarted node at once

MessageHandler = Callable[[RawMessage, str, Respond], None]
"""Called with each message, the address of the sending node, and the function that sends the reply."""


class PeerTransport:
    """Sends messages to peers by address, and passes received messages to a handler.

    Requests are sent on connections opened by this node, and their replies arrive on the same connection.
    Request numbers are unique across connections, so that a reply never completes a request of another
    connection.

    :param handle_message: called with each message from a peer.
    :param on_disconnect: called with the address of a peer when a connection with it ends.
    """

    def __init__(self, handle_message: MessageHandler, on_disconnect: Callable[[str], None]) -> None:
        self.address = ""  # listen address of this node
        self.rejected_connections = 0  # aborted because the peer violated the protocol
        self.oversized_frames = 0  # not sent; senders must limit the size of their messages
        self.server_connections: dict[ServerConnection, None] = {}  # in the order in which they were opened
        self._handle_message, self._on_disconnect = handle_message, on_disconnect
        self._client_connections: dict[str, ClientConnection] = {}
        self._request_numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._connect_tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, ports: range) -> None:
        """Listen on the first free port of the range.

        :raises OSError: if no port is free.
        """
        loop = asyncio.get_running_loop()
        for port in ports:
            try:
                self._server = await loop.create_server(
                    lambda: ServerConnection(self), host, port, backlog=ACCEPT_BACKLOG
                )
            except OSError:
                continue
            self.address = f"{host}:{port}"
            return
        raise OSError(f"no free port in {ports} on {host}")

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification without delivery guarantee."""
        data = self.frame_to_send(encode_message(message), message.tag)
        if data is not None:
            self._connection_to(address).send(None, data)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; `on_reply` is called exactly once, and never before this method returns."""
        number = next(self._request_numbers)
        data = self.frame_to_send(encode_message(message, number), message.tag)
        if data is None or not self._connection_to(address).request(number, data, timeout_s, on_reply):
            asyncio.get_running_loop().call_soon(on_reply, Err(RequestFailure.NOT_SENT))

    def close(self) -> None:
        """Close all connections; buffered data is still sent to peers that read it."""
        if self._server is not None:
            self._server.close()
        transports = [connection.transport for connection in self._client_connections.values()]
        transports += [connection.transport for connection in self.server_connections]
        for transport in transports:
            if transport is not None:
                transport.close()

    def frame_to_send(self, frame: Result[bytes, FrameTooLong], tag: str) -> bytes | None:
        """Return the encoded frame, or None if it is too long, which is counted, and logged the first time.

        :param tag: describes the message in the log.
        """
        if isinstance(frame, Ok):
            return frame.ok_value
        self.oversized_frames += 1
        if self.oversized_frames == 1:
            error = frame.err_value
            logging.error(
                "not sending %s: a frame of %d bytes, the limit is %d",
                tag,
                error.size_bytes,
                error.limit_bytes,
            )
        return None

    # -- connections that this node opens

    def _connection_to(self, address: str) -> ClientConnection:
        connection = self._client_connections.get(address)
        if connection is None:
            connection = ClientConnection(self.address, address, self._on_client_end, self._on_disconnect)
            self._client_connections[address] = connection
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)
        return connection

    async def _connect(self, connection: ClientConnection) -> None:
        try:
            await connection.connect()
        except ConnectError:
            connection.on_connect_failed()

    def _on_client_end(self, connection: ClientConnection) -> None:
        if self._client_connections.get(connection.address) is connection:
            del self._client_connections[connection.address]

    # -- connections that peers open

    def on_accepted(self, connection: ServerConnection) -> None:
        """Register a connection opened by a peer."""
        self.server_connections[connection] = None

    def on_closed(self, connection: ServerConnection) -> None:
        """Remove a connection opened by a peer, and report the disconnect if the peer is known."""
        self.server_connections.pop(connection, None)
        if connection.origin:
            self._on_disconnect(connection.origin)

    def on_rejected(self, connection: ServerConnection, error: BadFrameError) -> None:
        """Count a connection that is aborted because the peer violated the protocol."""
        self.rejected_connections += 1

    def on_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        """Pass a peer's message to the handler."""
        self._handle_message(message, origin, respond)
