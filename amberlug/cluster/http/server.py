"""The server side of HTTP/1.1: whole requests in, whole answers out, many connections on one loop."""

from __future__ import annotations

import asyncio
import random
import re
import select
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from http import HTTPStatus

import h11

AHEAD_MOST = 1 << 16  # bytes kept beyond an open request
UNREAD_MOST = 1 << 20  # bytes passed over behind a last answer
TURN = 64  # requests of one connection in one go: what one client sends at once must not hold up the others
SWEEP = 0.25  # seconds between looks for connections whose time is up, at most
ENDING_S = 0.5  # how long a connection that had its last answer may still send
LINE_MOST = 256  # bytes of a chunk's first line
CHUNKS_MOST = 4096  # of one body: many tiny ones cost far more time than their bytes are worth
NEVER = float("inf")

IDLE, HEAD, BODY, OPEN, ENDING = range(5)  # what a connection is at; OPEN: its request waits for the answer

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_FIELD = rf"{_TOKEN}:[\t\x20-\x7e\x80-\xff]*"
# Guards against what is read in two ways: folded lines, bare CR or LF, control characters, blanks before a
# colon, targets that aren't a path. All these h11 lets pass.
_HEAD = re.compile(rf"({_TOKEN}) (/[!\x22$-~]*) HTTP/(1\.[01])((?:\r\n{_FIELD})*)".encode())
_TRAILERS = re.compile(rf"(?:{_FIELD}\r\n)*".encode())
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_HOST = re.compile(rb"[0-9A-Za-z\-._~%!$&'()*+,;=:\[\]]*")
# Guards against waiting for the end of a header section that can't become one, such as a TLS greeting.
_ODD = re.compile(rb"(?<!\r)\n|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_FRAMING = frozenset(("host", "content-length", "transfer-encoding", "connection", "expect"))
_BARE = frozenset((*range(100, 200), 204, 304))  # statuses without a body or its length


@dataclass(frozen=True, slots=True)
class Request:
    """One request, read whole; names of headers are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Give the first value of that lower-case name."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class Answer:
    """What a request is answered with; length and connection headers are the server's to add."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    close: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """How large requests may be, and how many seconds they may take."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


Handler = Callable[[Request, Callable[[Answer], None]], None]


class RefusedError(Exception):
    """A request that is answered with this status before it is whole, and is its connection's last."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@lru_cache(256)  # most requests differ in other headers than these
def _framing(version: str, fields: tuple[tuple[str, str], ...]) -> tuple[int, bool, bool]:
    """Tell the body's length (-1: chunked), whether the connection stays, and whether "100" is waited for."""
    raw = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    try:
        read = h11.Request(method=b"GET", target=b"/", headers=raw, http_version=version.encode())
    except h11.LocalProtocolError as error:
        raise RefusedError(400) from error
    found = dict(iter(read.headers))
    chunked, length = b"transfer-encoding" in found, found.get(b"content-length")
    # Guards against smuggling: h11 prefers the chunks where both are there, and takes chunks of HTTP/1.0.
    if chunked and (length is not None or version == "1.0"):
        raise RefusedError(400)
    if not _HOST.fullmatch(found.get(b"host", b"")):
        raise RefusedError(400)
    tokens = {
        word.strip().lower() for name, value in raw if name == b"connection" for word in value.split(b",")
    }
    stays = version == "1.1" and b"close" not in tokens
    waits = version == "1.1" and found.get(b"expect", b"").lower() == b"100-continue"
    return -1 if chunked else int(length or 0), stays, waits


@lru_cache(128)
def _status_line(status: int) -> str:
    known = status in HTTPStatus.__members__.values()
    return f"HTTP/1.1 {status} {HTTPStatus(status).phrase if known else ''}\r\n"


def _written(answer: Answer, head_only: bool, last: bool) -> bytes:
    fields = "".join([f"{name}: {value}\r\n" for name, value in answer.headers])
    # Guards against a header that brings further ones, or a further answer, with it.
    if not fields.count("\r") == fields.count("\n") == len(answer.headers):
        raise ValueError("a line break in an answer's header")
    bare = answer.status in _BARE
    length = "" if bare else f"Content-Length: {len(answer.body)}\r\n"
    close = "Connection: close\r\n" if last else ""
    head = f"{_status_line(answer.status)}{fields}{length}{close}\r\n".encode("latin-1")
    return head if bare or head_only else head + answer.body


class _Reply:
    """The right to answer one request, once."""

    __slots__ = ("_connection", "_head_only", "done")

    def __init__(self, connection: _Connection, head_only: bool) -> None:
        self._connection, self._head_only, self.done = connection, head_only, False

    def __call__(self, answer: Answer) -> None:
        if self.done:
            raise RuntimeError("a request is answered once")
        # Guards against a second answer from within: the connection goes on to its next request at once.
        self.done = True
        try:
            self._connection.answer(answer, self._head_only)
        except ValueError:
            self.done = False  # nothing was written
            raise


class _Connection(asyncio.Protocol):
    """One client's connection; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()  # read, and not yet used
        self._scanned = 0  # bytes of it that hold no end of a header section
        self._method = self._target = ""
        self._headers: tuple[tuple[str, str], ...] = ()
        self._length = 0  # of the body; -1: chunked
        self._chunks, self._pieces = bytearray(), 0
        self._stays, self._waits = True, False
        self._stuck = self._reading = False
        self._unwritten = self._unread = 0
        self.until = NEVER  # the loop's time from which on an answer is its last
        self.held = False  # not read from, as there is enough ahead
        self.asked = False  # it has had an answer
        self.phase, self.due = IDLE, NEVER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.phase, self._transport = ENDING, None
        self._buffer.clear()
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        phase = self.phase
        if phase == ENDING:
            self._unread += len(data)
            if self._unread > UNREAD_MOST:
                self.abort()
            return
        self._buffer += data
        if phase == OPEN:
            self._hold()
            return
        if phase == BODY:
            self._enter(BODY, self._server.limits.header_s)
        self._read()

    def pause_writing(self) -> None:
        """Guard against answers that pile up for a client that sends and does not read."""
        self._stuck = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._stuck = False
        self._go_on()

    def abort(self) -> None:
        self.phase = ENDING
        if self._transport is not None:
            self._transport.abort()

    def expire(self) -> None:
        """End it where its time is up: with an answer where a request had begun."""
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if 0 < left != self._unwritten:  # it reads what it was answered, if slowly
            self._unwritten = left
            self._enter(self.phase, self._server.limits.header_s)
        elif self.phase in (HEAD, BODY) and not self._stuck:
            self._refuse(408)
        else:
            self.abort()

    def gone(self) -> bool:
        """Tell whether it hung up behind what is not read, as far as its system could send that much."""
        if self._transport is None:
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), getattr(select, "POLLRDHUP", 0))
        return bool(poll.poll(0))

    def answer(self, answer: Answer, head_only: bool) -> None:
        """Write the answer to the open request; for a client that has hung up it is dropped."""
        server = self._server
        last = answer.close or server.leaving or not self._stays or server.time() > self.until
        written = _written(answer, head_only, last)
        server.open_requests -= 1
        if self._transport is None or self.phase != OPEN:
            return
        self._transport.write(written)
        self.asked = True
        if last:
            self.end()
            return
        self._enter(IDLE, server.limits.idle_s)
        if self._buffer and not self._reading:
            self._go_on()

    def _enter(self, phase: int, seconds: float) -> None:
        self.phase, self.due = phase, self._server.time() + seconds

    def _hold(self) -> None:
        if len(self._buffer) > AHEAD_MOST and self._transport is not None:
            self.held = True
            self._transport.pause_reading()

    def _go_on(self) -> None:
        if self._transport is not None and not self._stuck:
            self.held = False
            self._transport.resume_reading()
            self._read()

    def end(self) -> None:
        """Say that this was all, and hear the client out: closing on what it still sends loses the answer."""
        self._enter(ENDING, ENDING_S)
        self._buffer.clear()
        if self._transport is not None:
            self._transport.resume_reading()
            self._transport.write_eof()

    def _refuse(self, status: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(_written(Answer(status), False, True))
            self.end()

    def _read(self) -> None:
        # Guards against many small requests in one read: each answer must not nest the next one's.
        if self._reading or self._stuck:
            return
        self._reading = True
        try:
            for _ in range(TURN):
                if self.phase >= OPEN or self._stuck or not self._step():
                    break
            else:  # the others first; nothing more is read until then
                if self._transport is not None and self.phase < OPEN:
                    self._transport.pause_reading()
                    asyncio.get_running_loop().call_soon(self._go_on)
        except RefusedError as error:
            self._refuse(error.status)
        finally:
            self._reading = False
        if self.phase == OPEN:
            self._hold()

    def _step(self) -> bool:
        """Read one request on, and hand it over where it is whole."""
        if self.phase != BODY:
            if not self._buffer or not self._read_head():
                return False
            self._chunks, self._pieces = bytearray(), 0
        length = self._length
        whole = self._read_chunks() if length < 0 else len(self._buffer) >= length
        if not whole:
            if self.phase != BODY:
                self._enter(BODY, self._server.limits.header_s)
                if self._waits and not self._buffer and self._transport is not None:
                    self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            return False
        if length < 0:
            body = bytes(self._chunks)
        else:
            body = bytes(self._buffer[:length])
            del self._buffer[:length]
        self._hand_over(Request(self._method, self._target, self._headers, body))
        return True

    def _read_head(self) -> bool:
        buffer, limits = self._buffer, self._server.limits
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if (end + 4 if end >= 0 else len(buffer)) > limits.header_bytes:
            raise RefusedError(431)
        if end < 0:
            if _ODD.search(buffer, self._scanned):
                raise RefusedError(400)
            self._scanned = len(buffer)
            if self.phase == IDLE:
                self._enter(HEAD, limits.header_s)
            return False
        match = _HEAD.fullmatch(buffer, 0, end)
        if match is None:
            raise RefusedError(400)
        method, target, version, rest = match.groups()
        pairs = [line.partition(":") for line in rest.decode("latin-1").split("\r\n")[1:]]
        self._headers = tuple([(name.lower(), value.strip(" \t")) for name, _, value in pairs])
        fields = tuple([pair for pair in self._headers if pair[0] in _FRAMING])
        self._length, self._stays, self._waits = _framing(version.decode(), fields)
        if self._length > limits.body_bytes:
            raise RefusedError(413)
        self._method, self._target = method.decode(), target.decode()
        self._scanned = 0
        del buffer[: end + 4]
        return True

    def _read_chunks(self) -> bool:
        """Take whole chunks; h11 would let a bare LF end the trailers, and any byte into an extension."""
        buffer, limits = self._buffer, self._server.limits
        while (match := _CHUNK.match(buffer)) is not None:
            size, start = int(match[1], 16), match.end()
            if size == 0:
                end = buffer.find(b"\r\n\r\n", start - 2)
                if end < 0 and len(buffer) <= limits.header_bytes:
                    return False
                if end < 0 or end + 4 - start > limits.header_bytes:
                    raise RefusedError(431)
                if not _TRAILERS.fullmatch(buffer, start, end + 2):
                    raise RefusedError(400)
                del buffer[: end + 4]
                return True
            if len(self._chunks) + size > limits.body_bytes or self._pieces >= CHUNKS_MOST:
                raise RefusedError(413)
            end = start + size
            if len(buffer) < end + 2:
                return False
            if buffer[end : end + 2] != b"\r\n":
                raise RefusedError(400)
            self._chunks += buffer[start:end]
            self._pieces += 1
            del buffer[: end + 2]
        if b"\n" in buffer[:LINE_MOST] or len(buffer) >= LINE_MOST:
            raise RefusedError(400)
        return False

    def _hand_over(self, request: Request) -> None:
        server = self._server
        self.phase, self.due = OPEN, NEVER
        server.open_requests += 1
        reply = _Reply(self, request.method == "HEAD")
        try:
            server.handle(request, reply)
        except Exception as error:
            context = {"message": "a request's handler failed", "exception": error, "protocol": self}
            asyncio.get_running_loop().call_exception_handler(context)
            if not reply.done:
                reply(Answer(500, close=True))


class Server:
    """All connections of one listening address."""

    def __init__(self, handle: Handler, limits: Callable[[], Limits], age_s: float = NEVER) -> None:
        self.handle, self._read_limits = handle, limits
        self._age_s = age_s  # a connection that is older ends with its next answer
        self.limits = limits()  # read anew with each sweep
        self.time: Callable[[], float] = lambda: 0.0  # the loop's
        self.leaving = False
        self.opened = 0  # connections since the start
        self.open_requests = 0  # read whole and not yet answered, those whose client hung up among them
        self._connections: set[_Connection] = set()
        self._listening: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Take connections from now on."""
        loop = asyncio.get_running_loop()
        self.time = loop.time
        self._listening = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=512, reuse_address=True
        )
        self._sweep()

    @property
    def port(self) -> int:
        """The port that is listened on, 0 where none is."""
        sockets = self._listening.sockets if self._listening is not None else ()
        return int(sockets[0].getsockname()[1]) if sockets else 0

    def leave(self) -> None:
        """Let each answer end its connection from now on, and close those that carry no request."""
        self.leaving = True
        for connection in [it for it in self._connections if it.phase == IDLE]:
            # Guards against closing on the request of a client that has just connected: it has a moment more.
            if connection.asked:
                connection.end()
            else:
                connection.due = min(connection.due, self.time() + SWEEP)

    def stop(self) -> None:
        """Listen no more; the connections there are stay."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None

    def abort(self) -> None:
        """End all connections at once."""
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: _Connection) -> None:
        """Take a new connection in."""
        self.opened += 1
        self._connections.add(connection)
        now = self.time()
        connection.due = now + (self.limits.header_s if self.leaving else self.limits.idle_s)
        connection.until = now + self._age_s * random.uniform(0.7, 1.3)  # not all at once

    def remove(self, connection: _Connection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        """End the connections whose time is up, or whose client hung up unseen."""
        if self._listening is not None or self._connections:
            pause = min(SWEEP, self.limits.header_s / 4, self.limits.idle_s / 4)
            asyncio.get_running_loop().call_later(pause, self._sweep)
        now = self.time()
        for connection in list(self._connections):
            if connection.due <= now:
                connection.expire()
            elif connection.held and connection.gone():
                connection.abort()
        self.limits = self._read_limits()
