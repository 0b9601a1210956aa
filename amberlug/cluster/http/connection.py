"""The server side of one HTTP/1.1 connection: requests in, responses out in the same order."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from amberlug.cluster.http.message import CONTINUE, Request, Response, encode_response
from amberlug.cluster.http.parser import Limits, RequestParser, RequestRejectedError

MAX_READ_AHEAD_BYTES = 1 << 16  # received beyond an open request until reading pauses
MAX_DISCARDED_BYTES = 1 << 20  # received behind a last response until the connection is aborted
MAX_REQUESTS_PER_TURN = 64  # of one connection: what one client sends at once must not delay the others
CLOSING_TIMEOUT_S = 0.5  # for the client to end a connection that had its last response
NEVER = float("inf")

RespondCallback = Callable[[Response], None]
RequestHandler = Callable[[Request, RespondCallback], None]


class Phase(IntEnum):
    """What a connection is doing, in this order for each request."""

    IDLE = 0  # no byte of a request was received
    HEAD = 1  # a header section is incomplete
    BODY = 2  # a body is incomplete
    OPEN = 3  # a request waits for its response
    CLOSING = 4  # the last response was sent, or the connection is lost


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    limits: Limits
    is_draining: bool
    open_requests: int

    @property
    def handle(self) -> RequestHandler:
        """Called with each request."""

    @property
    def time(self) -> Callable[[], float]:
        """The loop's clock, in seconds."""

    def add(self, connection: HttpConnection) -> None:
        """Keep a new connection."""

    def remove(self, connection: HttpConnection) -> None:
        """Drop a connection that is closed."""


class Responder:
    """The right to respond to one request, once."""

    __slots__ = ("_connection", "_is_head", "is_used")

    def __init__(self, connection: HttpConnection, is_head: bool) -> None:
        self._connection, self._is_head, self.is_used = connection, is_head, False

    def __call__(self, response: Response) -> None:
        """Send the response.

        :raises RuntimeError: where one was sent before.
        :raises ValueError: where a header holds a line break; nothing is sent then.
        """
        if self.is_used:
            raise RuntimeError("a request has one response")
        # Set first: the connection goes on to its next request at once, and may come here from within.
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
        self.retire_at = NEVER  # the loop's time from which on a response is the connection's last
        self.is_reading_paused = False  # enough is read ahead
        self.has_responded = False
        self.phase = Phase.IDLE
        self.deadline = NEVER  # the loop's time at which the phase is over

    # -- what asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Drop what was received."""
        self.phase, self._transport = Phase.CLOSING, None
        self._parser.clear()
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Read requests, as far as they are complete and the one before has its response."""
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
            self._enter(Phase.BODY, self._server.limits.header_s)
        self._read_requests()

    def pause_writing(self) -> None:
        """Read no more of a client that sends requests and does not read the responses."""
        self._is_writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on with a client that has read its responses."""
        self._is_writing_paused = False
        self._resume()

    # -- what the server calls

    @property
    def buffered_bytes(self) -> int:
        """How many bytes are received and not consumed."""
        return self._parser.buffered_bytes

    def abort(self) -> None:
        """End the connection at once."""
        self.phase = Phase.CLOSING
        if self._transport is not None:
            self._transport.abort()

    def expire(self) -> None:
        """End the connection at its deadline: with a response where a request had begun."""
        unsent_bytes = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if 0 < unsent_bytes != self._unsent_bytes:  # the client reads its responses, if slowly
            self._unsent_bytes = unsent_bytes
            self._enter(self.phase, self._server.limits.header_s)
        elif self.phase in (Phase.HEAD, Phase.BODY) and not self._is_writing_paused:
            self._reject(408)
        else:
            self.abort()

    def has_peer_closed(self) -> bool:
        """Whether the client has closed the connection behind bytes that are not read yet."""
        if self._transport is None:
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), getattr(select, "POLLRDHUP", 0))
        return bool(poll.poll(0))

    def close(self) -> None:
        """End the connection once the client does: closing on what it still sends would lose the response."""
        self._enter(Phase.CLOSING, CLOSING_TIMEOUT_S)
        self._parser.clear()
        if self._transport is not None:
            self._transport.resume_reading()
            self._transport.write_eof()

    # -- responses

    def respond(self, response: Response, is_head: bool) -> None:
        """Respond to the open request; nothing is sent to a client that has hung up.

        :param is_head: whether it is a HEAD request.
        :raises ValueError: where a header holds a line break.
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
        self._enter(Phase.IDLE, server.limits.idle_s)
        if self._parser.buffered_bytes and not self._is_parsing:
            self._resume()

    def _reject(self, status: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_response(Response(status), is_head=False, is_last=True))
            self.close()

    # -- requests

    def _enter(self, phase: Phase, timeout_s: float) -> None:
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
        """Pass on the requests that are complete, until one waits for its response.

        The loop replaces recursion: a response that is given at once comes back here through `_resume`.
        """
        if self._is_parsing or self._is_writing_paused:
            return
        self._is_parsing = True
        try:
            for _ in range(MAX_REQUESTS_PER_TURN):
                if self.phase >= Phase.OPEN or self._is_writing_paused or not self._read_request():
                    break
            else:
                self._yield_to_others()
        except RequestRejectedError as error:
            self._reject(error.status)
        finally:
            self._is_parsing = False
        if self.phase == Phase.OPEN:
            self._limit_read_ahead()

    def _yield_to_others(self) -> None:
        """Go on in the loop's next turn; nothing more is read until then."""
        if self._transport is not None and self.phase < Phase.OPEN:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume)

    def _read_request(self) -> bool:
        """Pass on the next request; False while it is incomplete."""
        request = self._parser.next_request(self._server.limits)
        if request is None:
            self._wait_for_rest()
            return False
        self._handle(request)
        return True

    def _wait_for_rest(self) -> None:
        """Set the deadline of a request that has begun, and ask for a body that is held back until then."""
        if self._parser.is_in_body:
            if self.phase != Phase.BODY:
                self._enter(Phase.BODY, self._server.limits.header_s)
                if self._parser.awaits_continue and self._transport is not None:
                    self._transport.write(CONTINUE)
        elif self.phase == Phase.IDLE and self._parser.buffered_bytes:
            self._enter(Phase.HEAD, self._server.limits.header_s)

    def _handle(self, request: Request) -> None:
        server = self._server
        self.phase, self.deadline = Phase.OPEN, NEVER
        server.open_requests += 1
        respond = Responder(self, request.method == "HEAD")
        try:
            server.handle(request, respond)
        except Exception as error:
            context = {"message": "a request's handler failed", "exception": error, "protocol": self}
            asyncio.get_running_loop().call_exception_handler(context)
            if not respond.is_used:
                respond(Response(500, close=True))
