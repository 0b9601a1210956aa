"""Client side of a connection to a peer: sends requests and receives their replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok

from amberlug.cluster.interfaces import Reply, ReplyCallback, RequestFailure
from amberlug.cluster.rpc.framing import (
    BODY_FIELD,
    NUMBER_FIELD,
    BadFrameError,
    FrameReader,
    encode_handshake,
)
from amberlug.cluster.rpc.tcp import MAX_WRITE_BUFFER_BYTES, abort_if_not_reading, set_user_timeout
from amberlug.cluster.values import value

CONNECT_TIMEOUT_S = 0.7


class ConnectError(ConnectionError):
    """A connection to a peer could not be established.

    :param address: the peer, as `host:port`.
    :param reason: the error of the operating system, or the timeout.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f"could not connect to {address}: {reason}")
        self.address, self.reason = address, reason


@value
class PendingRequest:
    """A request that awaits its reply."""

    on_reply: ReplyCallback
    timeout: asyncio.TimerHandle


@value
class _QueuedFrame:
    """A frame queued until the connection is established; the number is None for notifications."""

    number: int | None
    data: bytes


class ClientConnection(asyncio.Protocol):
    """A connection to one peer, and the requests that are pending on it.

    Each request is completed exactly once: by its reply, its timeout or the end of the connection. It fails
    with `NOT_SENT` only if none of its bytes were written, so the peer cannot have processed it.

    :param local_address: the address of this node, sent in the handshake.
    :param address: the peer's address.
    :param on_end: called once when the connection ends, before its pending requests fail.
    :param on_disconnect: called with the peer's address after the pending requests have failed.
    """

    def __init__(
        self,
        local_address: str,
        address: str,
        on_end: Callable[[ClientConnection], None],
        on_disconnect: Callable[[str], None],
    ) -> None:
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.pending: dict[int, PendingRequest] = {}
        self._local_address, self._on_end, self._on_disconnect = local_address, on_end, on_disconnect
        self._queue: list[_QueuedFrame] = []
        self._queue_bytes = 0
        self._reader = FrameReader()
        self._has_ended = False

    async def connect(self) -> None:
        """Establish the connection.

        :raises ConnectError: if the peer does not accept it within `CONNECT_TIMEOUT_S`.
        """
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: self, host, int(port))
        except TimeoutError as error:
            raise ConnectError(self.address, f"timed out after {CONNECT_TIMEOUT_S} s") from error
        except (OSError, ValueError) as error:
            raise ConnectError(self.address, str(error)) from error

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the handshake and the queued frames."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_user_timeout(transport)
        transport.write(encode_handshake(self._local_address) + b"".join(frame.data for frame in self._queue))
        self._queue.clear()
        self._queue_bytes = 0

    def request(self, number: int, data: bytes, timeout_s: float, on_reply: ReplyCallback) -> bool:
        """Send a request; returns False, without calling `on_reply`, if it cannot be sent."""
        if not self.send(number, data):
            return False
        timeout = asyncio.get_running_loop().call_later(timeout_s, self._on_timeout, number)
        self.pending[number] = PendingRequest(on_reply, timeout)
        return True

    def send(self, number: int | None, data: bytes) -> bool:
        """Send a frame, or queue it until the connection is established; returns False on failure."""
        if self._has_ended:
            return False
        if self.transport is None:
            return self._enqueue(_QueuedFrame(number, data))
        if self.transport.is_closing() or abort_if_not_reading(self.transport):
            return False
        self.transport.write(data)
        return True

    def _enqueue(self, frame: _QueuedFrame) -> bool:
        if self._queue_bytes + len(frame.data) > MAX_WRITE_BUFFER_BYTES:
            return False
        self._queue_bytes += len(frame.data)
        self._queue.append(frame)
        return True

    def data_received(self, data: bytes) -> None:
        """Complete pending requests with the received replies; other replies are ignored."""
        try:
            for frame in self._reader.feed(data):
                request = self.pending.pop(frame.head.get(NUMBER_FIELD, -1), None)
                if request is not None:
                    request.timeout.cancel()
                    request.on_reply(Ok(Reply(frame.head.get(BODY_FIELD) or {}, frame.payload)))
        except BadFrameError:
            if self.transport is not None:
                self.transport.abort()

    def _on_timeout(self, number: int) -> None:
        request = self.pending.pop(number, None)
        if request is None:
            return
        was_queued = any(frame.number == number for frame in self._queue)
        self._queue = [frame for frame in self._queue if frame.number != number]
        self._queue_bytes = sum(len(frame.data) for frame in self._queue)
        request.on_reply(Err(RequestFailure.NOT_SENT if was_queued else RequestFailure.TIMED_OUT))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending requests."""
        self.end(RequestFailure.CONNECTION_LOST)

    def on_connect_failed(self) -> None:
        """End the connection after establishing it has failed."""
        # If this process was paused, the connection may have been established just before the timeout: the
        # peer may then have received what was written.
        if self.transport is not None:
            self.transport.abort()
        self.end(RequestFailure.NOT_SENT if self.transport is None else RequestFailure.CONNECTION_LOST)

    def end(self, failure: RequestFailure) -> None:
        """Fail all pending requests: those still queued with `NOT_SENT`, the others with `failure`."""
        if self._has_ended:
            return
        self._has_ended = True
        self._on_end(self)
        queued = {frame.number for frame in self._queue}
        for number, request in list(self.pending.items()):
            request.timeout.cancel()
            request.on_reply(Err(RequestFailure.NOT_SENT if number in queued else failure))
        self.pending.clear()
        self._on_disconnect(self.address)
