"""The HTTP server for clients: submissions and the readiness check."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from enum import Enum
from itertools import chain, islice
from typing import Protocol

import h11

from amberlug.core.messages import MAX_BODY_BYTES, Message, PendingRequest, Refusal
from amberlug.http.handin import (
    BODY_TOO_LONG,
    BadRequestError,
    answer,
    check_route,
    read_message,
    reject_by_headers,
)
from amberlug.policy.interface import Settings

# Bytes discarded after an error response: closing at once could lose the response.
MAX_DISCARDED_BYTES = 1 << 20
MAX_BYTES_AHEAD = 1 << 16  # bytes buffered beyond an open request; with more, the connection closes after it
EVENTS_PER_ITERATION = 64  # parser events per loop iteration: one busy connection must not delay others
STALLED_AFTER_S = 0.2  # time without a complete request after which a connection is evicted before others
SWEEP_INTERVAL_S = 0.25  # time between checks for expired connections


class Phase(Enum):
    """The state of a connection; the value is its timeout in seconds."""

    DISCARDING = 0.5  # its last response was sent, and further input is discarded
    READING = 2.0  # reading a request, from the connect or its first byte; clients are promised 3 s
    IDLE = 4.0  # idle: without a limit, a client could keep its connection forever after one request
    RESPONDING = float("inf")  # waiting for the relay's response


PHASES_WITH_TIMEOUT = (Phase.DISCARDING, Phase.READING, Phase.IDLE)


class Node(Protocol):
    """The part of the relay's core that the server uses."""

    ready: bool

    def serves(self, destination: int) -> bool:
        """Whether the endpoint list contains that destination."""

    def hand_in(self, message: Message, left_us: int, waited_us: int, exchange: PendingRequest) -> None:
        """Process a message; `left_us`: time until its deadline, `waited_us`: wait before it was read."""

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """Withdraw the message of a request whose client disconnected before it was accepted or refused."""


class Connection(asyncio.Protocol):
    """A client connection; it handles one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._ahead = 0  # bytes read since the request was complete, or since the last response
        self._reading = self._write_blocked = False
        self.phase = Phase.READING

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Process received data; beyond a limit of data ahead of an open request it is dropped."""
        if self.phase in (Phase.DISCARDING, Phase.RESPONDING):
            self._ahead += len(data)
        if self.phase is Phase.DISCARDING:
            if self._ahead > MAX_DISCARDED_BYTES:
                self.abort()
            return
        # Bounds the bytes buffered ahead of an open request. The rest is read and dropped: while reading is
        # paused, a disconnect behind these bytes would not be detected.
        if self._ahead > MAX_BYTES_AHEAD:
            return
        if self.phase is Phase.IDLE:
            self._server.enter(self, Phase.READING)
        self._http.receive_data(data)
        self._process_events()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection, and report the disconnect if a request awaits its response."""
        responding = self.phase is Phase.RESPONDING
        self._server.closed(self)
        if responding:
            self._server.node.client_disconnected(self)

    def pause_writing(self) -> None:
        """Stop reading: responses must not accumulate for a client that sends but does not read."""
        self._write_blocked = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading once the client has read its responses."""
        self._write_blocked = False
        self._resume()

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self._write_blocked:
            self._transport.resume_reading()
            self._process_events()

    def close(self) -> None:
        """Close it after all responses are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def expire(self) -> None:
        """Handle a timeout: send an error response if a request was incomplete, else abort."""
        begun = self._request is not None or bool(self._http.trailing_data[0])
        if self.phase is Phase.READING and begun and not self._write_blocked:
            self.answer(408, "the request did not come in time")
        else:
            self.abort()

    def settle(self, refusal: Refusal | None) -> None:
        """Respond that the message was accepted, or when to retry."""
        self.answer(*answer(refusal))

    def answer(self, status: int, text: str = "", retry_us: int = 0) -> None:
        """Send the response to the current request, unless the client has disconnected."""
        if self._transport is None or self._transport.is_closing():
            return
        body = f"{text}\n".encode() if text else b""
        headers = [("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "text/plain"))
        if retry_us > 0:
            headers.append(("Retry-After", f"{retry_us / 1e6:.3f}"))
        unread = self._http.their_state is not h11.DONE or self._ahead > MAX_BYTES_AHEAD
        if unread or self._server.closing:
            headers.append(("Connection", "close"))
        with contextlib.suppress(h11.LocalProtocolError):
            parts = [
                self._http.send(h11.Response(status_code=status, headers=headers)),
                self._http.send(h11.Data(data=body)) if body else b"",
                self._http.send(h11.EndOfMessage()),
            ]
            self._transport.write(b"".join(part for part in parts if part))
        self._request, self._body, self._ahead = None, bytearray(), 0
        if self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._http.start_next_cycle()
            more = bool(self._http.trailing_data[0])
            self._server.enter(self, Phase.READING if more else Phase.IDLE)
            self._process_events()
        elif unread:  # closing with input still in flight could lose the response
            self._server.enter(self, Phase.DISCARDING)
            if self._transport.can_write_eof():
                self._transport.write_eof()
        else:
            self._transport.close()

    def _process_events(self) -> None:
        # Prevents unbounded recursion when one read holds many small requests: responding reads the next one.
        if self._reading:
            return
        self._reading = True
        try:
            for _ in range(EVENTS_PER_ITERATION):
                if self._write_blocked or self.phase not in (Phase.READING, Phase.IDLE):
                    return
                if not self._handle_event(self._http.next_event()):
                    return
            self._continue_later()
        except h11.RemoteProtocolError as error:
            self.answer(error.error_status_hint, "the request can't be read")
        finally:
            self._reading = False

    def _continue_later(self) -> None:
        """Pause reading and continue in the next iteration of the loop."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume)

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self._request = event
            if (refusal := reject_by_headers(event.headers)) is not None:
                self.answer(*refusal)
                return False
            if self._http.they_are_waiting_for_100_continue and self._transport is not None:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self._transport.write(self._http.send(go_on) or b"")
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_BODY_BYTES:
                self.answer(413, BODY_TOO_LONG)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._server.enter(self, Phase.RESPONDING)
            self._dispatch()
            return self.phase is not Phase.RESPONDING
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return isinstance(event, h11.Request | h11.Data)

    def _dispatch(self) -> None:
        assert self._request is not None
        method, target = self._request.method.decode(), self._request.target.decode("latin-1")
        headers = {name.decode(): value.decode("latin-1") for name, value in self._request.headers}
        try:
            self._server.dispatch(self, method, target.partition("?")[0], headers, bytes(self._body))
        except BadRequestError as error:
            self.answer(error.status, str(error))


class Server:
    """All client connections; while the server is closing, each response closes its connection."""

    def __init__(
        self,
        settings: Settings,
        node: Node,
        now_ms: Callable[[], int],
        waited_us: Callable[[], int],
        most: int,
    ) -> None:
        self._settings, self.node, self._most = settings, node, most
        self._now_ms, self._waited_us = now_ms, waited_us
        # Deadline of each connection, by phase: all in a phase have the same timeout, so the first is due
        # first.
        self._due: dict[Phase, dict[Connection, float]] = {phase: {} for phase in Phase}
        self._sweeping: asyncio.TimerHandle | None = None
        self.closing = False

    def __call__(self) -> Connection:
        return Connection(self)

    def opened(self, connection: Connection) -> None:
        """Register a connection; above the maximum, evict the one stalled, or else idle, for longest."""
        self.enter(connection, Phase.READING)
        if sum(map(len, self._due.values())) > self._most:
            self._evict()
        if self._sweeping is None:
            self._sweep()

    def _evict(self) -> None:
        # Prevents running out of file descriptors, after which asyncio accepts no connection for a second. A
        # connection that was just opened is about to be read and is evicted only if there is no other.
        stalled_since = asyncio.get_running_loop().time() + Phase.READING.value - STALLED_AFTER_S
        silent = [it for it, due in islice(self._due[Phase.READING].items(), 1) if due < stalled_since]
        others = (self._due[phase] for phase in (Phase.DISCARDING, Phase.IDLE, Phase.READING))
        connection = next(chain(silent, *others), None)
        if connection is not None:
            del self._due[connection.phase][connection]
            connection.abort()

    def enter(self, connection: Connection, phase: Phase) -> None:
        """Set the phase of a connection and restart its timeout."""
        self._due[connection.phase].pop(connection, None)
        connection.phase = phase
        self._due[phase][connection] = asyncio.get_running_loop().time() + phase.value

    def closed(self, connection: Connection) -> None:
        """Unregister a closed connection."""
        self._due[connection.phase].pop(connection, None)

    def _sweep(self) -> None:
        """Expire connections; repeated while there are any."""
        loop = asyncio.get_running_loop()
        for phase in PHASES_WITH_TIMEOUT:
            for connection, due in list(self._due[phase].items()):
                if due > loop.time():
                    break
                connection.expire()
        there = any(self._due.values())
        self._sweeping = loop.call_later(SWEEP_INTERVAL_S, self._sweep) if there else None

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for phase in (Phase.DISCARDING, Phase.IDLE):
            for connection in list(self._due[phase]):
                connection.close()

    def dispatch(
        self, connection: Connection, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Handle the readiness check or a submission; `BadRequestError` if the request is invalid."""
        if path == "/up":
            if method != "GET":
                raise BadRequestError(405, "use GET")
            connection.answer(200 if self.node.ready else 503, "up" if self.node.ready else "not yet")
            return
        check_route(self._settings, method, path)
        serves = self.node.serves
        message, left_us = read_message(self._settings, serves, path, headers, body, self._now_ms())
        self.node.hand_in(message, left_us, self._waited_us(), connection)
