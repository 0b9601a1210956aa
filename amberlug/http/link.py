"""An outgoing HTTP/1.1 connection: one request at a time, tracking whether its last byte was written."""

import asyncio
import contextlib
import re
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import h11

MAX_RESPONSE_BODY_BYTES = (
    1 << 18
)  # longest response body in bytes: bounds the memory that a faulty peer can use
RESPONSE_TIMEOUT_S = 0.5  # timeout from a response's first byte to its last; they are sent together
MAX_STATUS_LINE_BYTES = 256  # bytes kept of the start of a response, to parse its status line
_OK_LINE = re.compile(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n")

Headers = Sequence[tuple[str, str]]


@dataclass(slots=True)
class Reply:
    """A response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)


class ConnectionLostError(Exception):
    """The connection was lost before the response was complete, or the response was malformed."""

    def __init__(self, written: bool, said: bytes = b"") -> None:
        super().__init__("connection lost")
        self.written = written  # whether the request's last byte was written
        self.answered = bool(said)  # whether any part of a response had arrived
        # Whether the status line is complete and says 200: nothing else is trusted.
        self.ok = _OK_LINE.match(said) is not None


class OutgoingConnection(asyncio.Protocol):
    """An outgoing connection; asyncio sets TCP_NODELAY on it."""

    def __init__(self, where: tuple[str, int]) -> None:
        self.where = where
        self.reused = False  # whether it has carried a request before
        self.idle_since, self.idled_us = 0.0, 0  # by the loop's clock; idle time before the last use
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._reply: Reply | None = None
        self._waiter: asyncio.Future[Reply] | None = None
        self._sink: Callable[[bytes], None] | None = None
        self._unwritten = False
        self._response_start = b""
        self._timer: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[OutgoingConnection], None] | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent now."""
        transport = self._transport
        idle = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return (
            transport is not None
            and not transport.is_closing()
            and idle
            and not self._has_unread_input(transport)
        )

    def _has_unread_input(self, transport: asyncio.Transport) -> bool:
        """Whether an idle connection has unread input: the peer closed it or sent an unsolicited response."""
        # Prevents taking a late response for that of the next call, and sending a call on a closed
        # connection.
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and disable write buffering so that unwritten bytes are detected."""
        assert isinstance(transport, asyncio.Transport)
        # With a zero-size buffer, a pause means that bytes are unwritten. This shows on a reset whether the
        # request had been written.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport

    def pause_writing(self) -> None:
        """Note that bytes are unwritten."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """Note that all bytes have been written."""
        self._unwritten = False

    def request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        sink: Callable[[bytes], None] | None = None,
        host: str = "",
    ) -> asyncio.Future[Reply]:
        """Send a request; the body of a 200 response is streamed to `sink`, if there is one.

        The Host header defaults to the peer's address.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        if not self.usable or self._transport is None:
            self._waiter.set_exception(ConnectionLostError(written=False))
            return self._waiter
        self._reply, self._sink, self._response_start = None, sink, b""
        peer = self._transport.get_extra_info("peername")
        head = [("Host", host or f"{peer[0]}:{peer[1]}"), *headers, ("Content-Length", str(len(body)))]
        parts = [
            self._http.send(h11.Request(method=method, target=target, headers=head)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        self._transport.write(b"".join(part for part in parts if part))
        return self._waiter

    def close(self) -> None:
        """Abort the connection; an outstanding request fails."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process response data; closes the connection if no request is outstanding."""
        if self._waiter is None or self._waiter.done():
            self.close()  # an unsolicited response would be taken for that of the next request
            return
        if self._timer is None and self._sink is None:
            self._timer = asyncio.get_running_loop().call_later(RESPONSE_TIMEOUT_S, self.close)
        if self._reply is None:
            self._response_start = (self._response_start + data)[:MAX_STATUS_LINE_BYTES]
        self._http.receive_data(data)
        self._process_events()

    def eof_received(self) -> None:
        """Process the end of the stream, which completes a response without a declared length."""
        with contextlib.suppress(h11.RemoteProtocolError):
            self._http.receive_data(b"")
        self._process_events()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail an outstanding request with `ConnectionLostError` and report the loss."""
        if self._timer is not None:
            self._timer.cancel()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionLostError(not self._unwritten, self._response_start))
            self._waiter.exception()  # marks it as retrieved: there may be no waiter left
        if self.on_lost is not None:
            self.on_lost(self)

    def _process_events(self) -> None:
        try:
            while self._handle_event(self._http.next_event()):
                pass
        except h11.RemoteProtocolError:
            self.close()

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.InformationalResponse):
            # The final response follows it.
            self._response_start = self._http.trailing_data[0][:MAX_STATUS_LINE_BYTES]
        elif isinstance(event, h11.Response):
            self._reply = Reply(
                event.status_code, {name.decode(): value.decode("latin-1") for name, value in event.headers}
            )
        elif isinstance(event, h11.Data) and self._reply is not None:
            # The body of an error response is not streamed.
            if self._sink is not None and self._reply.status == 200:
                self._sink(bytes(event.data))
            else:
                self._reply.body += event.data
            if len(self._reply.body) > MAX_RESPONSE_BODY_BYTES:
                self.close()
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        return isinstance(event, h11.Response | h11.InformationalResponse | h11.Data)

    def _finish(self) -> None:
        waiter, reply = self._waiter, self._reply
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if done and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
        else:
            self.close()  # surplus bytes would be taken for the next response
        if waiter is not None and reply is not None and not waiter.done():
            waiter.set_result(reply)


async def dial(host: str, port: int, seconds: float) -> OutgoingConnection | None:
    """Open a connection; None if it could not be established in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            _, link = await loop.create_connection(lambda: OutgoingConnection((host, port)), host, port)
    except (OSError, TimeoutError):
        return None
    return link
