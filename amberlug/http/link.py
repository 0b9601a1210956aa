"""One outgoing HTTP/1.1 connection: a request at a time, and whether its last byte was written."""

import asyncio
import contextlib
import re
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import h11

BODY_MOST = 1 << 18  # longest answer that is kept: bounds memory against a broken peer
WHOLE_FOR = 0.5  # seconds from an answer's first byte to its last; they leave together
LINE_MOST = 256  # bytes kept of an answer's start, for its first line
_OK_LINE = re.compile(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n")

Headers = Sequence[tuple[str, str]]


@dataclass(slots=True)
class Reply:
    """What came back; its headers by lower-case name."""

    status: int
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)


class LinkLostError(Exception):
    """The connection ended before the answer did, or the answer could not be read."""

    def __init__(self, written: bool, said: bytes = b"") -> None:
        super().__init__("connection lost")
        self.written = written  # whether the request's last byte had left
        self.answered = bool(said)  # whether an answer had begun
        self.ok = _OK_LINE.match(said) is not None  # whether its first line says 200: that alone is true


class Link(asyncio.Protocol):
    """A connection that this relay opened; asyncio sets TCP_NODELAY on it."""

    def __init__(self, where: tuple[str, int]) -> None:
        self.where = where
        self.reused = False  # whether it has carried a request before
        self.idle_since, self.idled_us = 0.0, 0  # loop's clock; and for how long it idled before its last use
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._reply: Reply | None = None
        self._waiter: asyncio.Future[Reply] | None = None
        self._sink: Callable[[bytes], None] | None = None
        self._unwritten = False
        self._said = b""  # how the answer begins
        self._limit: asyncio.TimerHandle | None = None
        self.on_lost: Callable[[Link], None] | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be written now."""
        transport = self._transport
        idle = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return transport is not None and not transport.is_closing() and idle and not self._stirs(transport)

    def _stirs(self, transport: asyncio.Transport) -> bool:
        """Whether anything unread has come: on an idle connection its end, or what belongs to no request."""
        # Guards against a late copy that is taken for the next call's answer, and a call that meets a close.
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        # With no room in the buffer a pause means that bytes are left: that tells a reset from no connection.
        transport.set_write_buffer_limits(high=0)
        self._transport = transport

    def pause_writing(self) -> None:
        self._unwritten = True

    def resume_writing(self) -> None:
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
        """Write a request; the body of a 200 goes to `sink` as it comes, if there is one.

        Without a `host` it names the endpoint's own address.
        """
        self._waiter = asyncio.get_running_loop().create_future()
        if not self.usable or self._transport is None:
            self._waiter.set_exception(LinkLostError(written=False))
            return self._waiter
        self._reply, self._sink, self._said = None, sink, b""
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
        """End the connection at once; a request that is out on it is given up."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._waiter is None or self._waiter.done():
            self.close()  # guards against what belongs to no request: it would end the next one
            return
        if self._limit is None and self._sink is None:
            self._limit = asyncio.get_running_loop().call_later(WHOLE_FOR, self.close)
        if self._reply is None:
            self._said = (self._said + data)[:LINE_MOST]
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> None:
        with contextlib.suppress(h11.RemoteProtocolError):
            self._http.receive_data(b"")
        self._read()

    def connection_lost(self, error: Exception | None) -> None:
        if self._limit is not None:
            self._limit.cancel()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(LinkLostError(not self._unwritten, self._said))
            self._waiter.exception()  # it may be that nobody waits any more
        if self.on_lost is not None:
            self.on_lost(self)

    def _read(self) -> None:
        try:
            while self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError:
            self.close()

    def _take(self, event: object) -> bool:
        if isinstance(event, h11.InformationalResponse):
            self._said = self._http.trailing_data[0][:LINE_MOST]  # the answer proper begins behind it
        elif isinstance(event, h11.Response):
            self._reply = Reply(
                event.status_code, {name.decode(): value.decode("latin-1") for name, value in event.headers}
            )
        elif isinstance(event, h11.Data) and self._reply is not None:
            if self._sink is not None and self._reply.status == 200:  # what refuses tells nothing
                self._sink(bytes(event.data))
            else:
                self._reply.body += event.data
            if len(self._reply.body) > BODY_MOST:
                self.close()
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        return isinstance(event, h11.Response | h11.InformationalResponse | h11.Data)

    def _finish(self) -> None:
        waiter, reply = self._waiter, self._reply
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if done and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
        else:
            self.close()  # what has come behind an answer would be taken for the next one
        if waiter is not None and reply is not None and not waiter.done():
            waiter.set_result(reply)


async def dial(host: str, port: int, seconds: float) -> Link | None:
    """Open a connection, or None where none came up in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            _, link = await loop.create_connection(lambda: Link((host, port)), host, port)
    except (OSError, TimeoutError):
        return None
    return link
