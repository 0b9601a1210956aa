"""The server side of one HTTP/1.1 connection; responses are sent in the order of the requests."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from amberlug.cluster.http.message import CONTINUE, Request, Response, encode_response
from amberlug.cluster.http.parser import Limits, RequestParser, RequestRejectedError

MAX_READ_AHEAD_BYTES = 1 << 16  # buffered behind an open request before reading is paused
MAX_DISCARDED_BYTES = 1 << 20  # received after the last response before the connection is aborted
MAX_REQUESTS_PER_TURN = 64  # of one connection, so that a client that pipelines many does not delay others
CLOSING_TIMEOUT_S = 0.5  # for the client to close a connection after its last response
NEVER = float("inf")

RespondCallback = Callable[[Response], None]
RequestHandler = Callable[[Request, RespondCallback], None]


class Phase(IntEnum):
    """State of a connection; each request passes through these phases in order."""

    IDLE = 0  # no byte of a request has been received
    HEAD = 1  # the header section is incomplete
    BODY = 2  # the body is incomplete
    OPEN = 3  # a request waits for its response
    CLOSING = 4  # the last response was sent, or the connection is lost


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    limits: Limits
    is_draining: bool
    open_requests: int

    @property
    def handle(self) -> RequestHandler:
        """Handler that is called with each request."""

    @property
    def time(self) -> Callable[[], float]:
        """The event loop's clock, in seconds."""

    def add(self, connection: HttpConnection) -> None:
        """Register a new connection."""

    def remove(self, connection: HttpConnection) -> None:
        """Unregister a closed connection."""


class Responder:
    """Sends the response to one request; it can be called once."""

    __slots__ = ("_connection", "_is_head", "is_used")

    def __init__(self, connection: HttpConnection, is_head: bool) -> None:
        self._connection, self._is_head, self.is_used = connection, is_head, False

    def __call__(self, response: Response) -> None:
        """Send the response.

        :raises RuntimeError: if a response was sent before.
        :raises ValueError: if a header contains a line break; nothing is sent in that case.
        """
        if self.is_used:
            raise RuntimeError("a response to this request was already sent")
        # Set first: `respond` processes the next request immediately and may re-enter this method.
        self.is_used = True
        try:
            self._connection.respond(response, self._is_head)
        except ValueError:
            self.is_used = False  # nothing was written
            raise


class HttpConnection(asyncio.Protocol):
    """One client's connection; it carries one request at a time."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser()
        self._is_writing_paused = self._is_parsing = False
        self._unsent_bytes = self._discarded_bytes = 0
        self.retire_at = NEVER  # loop time after which the next response is the last one
        self.is_reading_paused = False  # the read-ahead limit is exceeded
        self.has_responded = False
        self.phase = Phase.IDLE
        self.deadline = NEVER  # loop time at which the phase times out

    # -- callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Discard buffered data and unregister the connection."""
        self.phase, self._transport = Phase.CLOSING, None
        self._parser.clear()
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Process the complete requests, each once the one before has its response."""
        phase = self.phase
        if phase == Phase.CLOSING:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        self._parser.feed(data)
        if phase == Phase.OPEN:
            self._limit_read_ahead()
            return
        if phase == Phase.BODY:
            self._enter_phase(Phase.BODY, self._server.limits.header_s)
        self._read_requests()

    def pause_writing(self) -> None:
        """Stop reading from a client that sends requests without reading the responses."""
        self._is_writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading once the client has read its responses."""
        self._is_writing_paused = False
        self._resume()

    # -- called by the server

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received but not yet parsed."""
        return self._parser.buffered_bytes

    def abort(self) -> None:
        """Close the connection immediately."""
        self.phase = Phase.CLOSING
        if self._transport is not None:
            self._transport.abort()

    def expire(self) -> None:
        """Close the connection at its deadline; a request that has begun gets a 408 response."""
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if 0 < unsent_bytes != self._unsent_bytes:  # the client is still reading its responses, slowly
            self._unsent_bytes = unsent_bytes
            self._enter_phase(self.phase, self._server.limits.header_s)
        elif self.phase in (Phase.HEAD, Phase.BODY) and not self._is_writing_paused:
            self._reject(408)
        else:
            self.abort()

    def has_peer_closed(self) -> bool:
        """Whether the client has closed the connection after sending bytes that are not read yet."""
        if self._transport is None:
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), getattr(select, "POLLRDHUP", 0))
        return bool(poll.poll(0))

    def close(self) -> None:
        """Half-close, and wait for the client to close: closing with unread data could lose the response."""
        self._enter_phase(Phase.CLOSING, CLOSING_TIMEOUT_S)
        self._parser.clear()
        if self._transport is not None:
            self._transport.resume_reading()
            self._transport.write_eof()

    # -- responses

    def respond(self, response: Response, is_head: bool) -> None:
        """Respond to the open request; nothing is sent if the client has disconnected.

        :param is_head: whether it is a HEAD request.
        :raises ValueError: if a header contains a line break.
        """
        server = self._server
        is_last = (
            response.close
            or server.is_draining
            or not self._parser.is_persistent
            or server.time() > self.retire_at
        )
        data = encode_response(response, is_head, is_last)
        server.open_requests -= 1
        if self._transport is None or self.phase != Phase.OPEN:
            return
        self._transport.write(data)
        self.has_responded = True
        if is_last:
            self.close()
            return
        self._enter_phase(Phase.IDLE, server.limits.idle_s)
        if self._parser.buffered_bytes and not self._is_parsing:
            self._resume()

    def _reject(self, status: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_response(Response(status), is_head=False, is_last=True))
            self.close()

    # -- requests

    def _enter_phase(self, phase: Phase, timeout_s: float) -> None:
        self.phase, self.deadline = phase, self._server.time() + timeout_s

    def _limit_read_ahead(self) -> None:
        if self._parser.buffered_bytes > MAX_READ_AHEAD_BYTES and self._transport is not None:
            self.is_reading_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._transport is not None and not self._is_writing_paused:
            self.is_reading_paused = False
            self._transport.resume_reading()
            self._read_requests()

    def _read_requests(self) -> None:
        """Handle the complete requests until one is waiting for its response.

        A loop instead of recursion: `respond`, when it is called synchronously by a handler, leaves the next
        request to this loop.
        """
        if self._is_parsing or self._is_writing_paused:
            return
        self._is_parsing = True
        try:
            for _ in range(MAX_REQUESTS_PER_TURN):
                if self.phase >= Phase.OPEN or self._is_writing_paused or not self._read_request():
                    break
            else:
                self._yield_to_event_loop()
        except RequestRejectedError as error:
            self._reject(error.status)
        finally:
            self._is_parsing = False
        if self.phase == Phase.OPEN:
            self._limit_read_ahead()

    def _yield_to_event_loop(self) -> None:
        """Continue in the next iteration of the event loop; reading is paused until then."""
        if self._transport is not None and self.phase < Phase.OPEN:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume)

    def _read_request(self) -> bool:
        """Handle the next request; False if it is incomplete."""
        request = self._parser.next_request(self._server.limits)
        if request is None:
            self._on_incomplete_request()
            return False
        self._handle(request)
        return True

    def _on_incomplete_request(self) -> None:
        """Set the deadline of an incomplete request, and send `100 Continue` if the client waits for it."""
        if self._parser.is_in_body:
            if self.phase != Phase.BODY:
                self._enter_phase(Phase.BODY, self._server.limits.header_s)
                if self._parser.awaits_continue and self._transport is not None:
                    self._transport.write(CONTINUE)
        elif self.phase == Phase.IDLE and self._parser.buffered_bytes:
            self._enter_phase(Phase.HEAD, self._server.limits.header_s)

    def _handle(self, request: Request) -> None:
        server = self._server
        self.phase, self.deadline = Phase.OPEN, NEVER
        server.open_requests += 1
        respond = Responder(self, request.method == "HEAD")
        try:
            server.handle(request, respond)
        except Exception as error:
            context = {"message": "request handler failed", "exception": error, "protocol": self}
            asyncio.get_running_loop().call_exception_handler(context)
            if not respond.is_used:
                respond(Response(500, close=True))
