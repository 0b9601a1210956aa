"""Connections to peers: opened when something is to be said, kept, and dropped when a peer is silent."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from typing import Any

from absl import logging
from result import Err, Ok

from amberlug.cluster.interfaces import Json, Reply, ReplyCallback, RequestFailure, Respond
from amberlug.cluster.rpc.framing import BadFrameError, FrameReader, pack

DIAL_S = 0.7  # for a connection to come up
USER_TIMEOUT_MS = 1500  # bytes unacknowledged for so long: a machine without power says nothing
QUEUED_MOST = 16 << 20  # bytes waiting for a peer that does not read: bounds memory
STRANGER_MOST = 1 << 12  # bytes of a first frame: a stranger's first words must not fill memory

Hear = Callable[[str, Json, bytes, str, Respond], None]


def _brace(transport: asyncio.BaseTransport) -> None:
    """Have the kernel give up on a peer that acknowledges nothing."""
    plain = transport.get_extra_info("socket")
    if plain is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class _Outgoing(asyncio.Protocol):
    """A connection that this process opened: asks go out on it and replies come back."""

    def __init__(self, peers: PeerTransport, to: str) -> None:
        self.peers, self.to = peers, to
        self.transport: asyncio.Transport | None = None
        self.waiting: list[tuple[int | None, bytes]] = []  # what is said before the connection is up
        self.waiting_size = 0
        self.asked: dict[int, tuple[ReplyCallback, asyncio.TimerHandle]] = {}
        self.reader = FrameReader()
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _brace(transport)
        hello = pack({"w": "hello", "b": {"from": self.peers.address}}).unwrap()
        transport.write(hello + b"".join(data for _, data in self.waiting))
        self.waiting.clear()
        self.waiting_size = 0

    def send(self, number: int | None, data: bytes) -> bool:
        if self.over:
            return False
        if self.transport is None:
            if self.waiting_size + len(data) > QUEUED_MOST:
                return False
            self.waiting_size += len(data)
            self.waiting.append((number, data))
            return True
        if self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > QUEUED_MOST:
            self.transport.abort()  # guards against a peer that does not read
            return False
        self.transport.write(data)
        return True

    def data_received(self, data: bytes) -> None:
        try:
            for head, blob in self.reader.feed(data):
                found = self.asked.pop(head.get("n", -1), None)
                if found is not None:
                    then, timer = found
                    timer.cancel()
                    then(Ok(Reply(head.get("b") or {}, blob)))
        except BadFrameError:
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.end(RequestFailure.CONNECTION_LOST)

    def not_up(self) -> None:
        """The dial was given up."""
        # Guards against one that came up just then, as this process was held up: what it wrote may be heard.
        if self.transport is not None:
            self.transport.abort()
        self.end(RequestFailure.NOT_SENT if self.transport is None else RequestFailure.CONNECTION_LOST)

    def end(self, why: RequestFailure) -> None:
        if self.over:
            return
        self.over = True
        self.peers.gone(self)
        unsent = {number for number, _ in self.waiting}
        for number, (then, timer) in list(self.asked.items()):
            timer.cancel()
            then(Err(RequestFailure.NOT_SENT if number in unsent else why))
        self.asked.clear()
        self.peers.on_broken(self.to)


class _Incoming(asyncio.Protocol):
    """A connection that a peer opened: its words are heard and replies go back on it."""

    def __init__(self, peers: PeerTransport) -> None:
        self.peers = peers
        self.transport: asyncio.Transport | None = None
        self.origin = ""
        self.reader = FrameReader(STRANGER_MOST)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _brace(transport)
        self.peers.incoming.add(self)

    def data_received(self, data: bytes) -> None:
        transport = self.transport
        assert transport is not None
        try:
            for head, blob in self.reader.feed(data):
                if not self.origin:
                    self._greet(head)
                    continue
                body = head.get("b")
                word = head.get("w")
                if not isinstance(body, dict) or not isinstance(word, str):
                    raise BadFrameError("no word")
                self.peers.hear(word, body, blob, self.origin, self._respond_to(head.get("n")))
        except BadFrameError:
            self.peers.strangers += 1
            transport.abort()

    def _greet(self, head: dict[str, Any]) -> None:
        body = head.get("b")
        origin = body.get("from") if isinstance(body, dict) else None
        if head.get("w") != "hello" or not isinstance(origin, str) or not origin:
            raise BadFrameError("no hello")
        self.origin = origin
        self.reader.open_up()

    def _respond_to(self, number: object) -> Respond:
        def respond(body: Json, blob: bytes = b"") -> None:
            transport = self.transport
            if number is None or transport is None or transport.is_closing():
                return
            if transport.get_write_buffer_size() > QUEUED_MOST:
                transport.abort()
                return
            data = self.peers.packed({"n": number, "b": body}, blob)
            if data is not None:  # else the asker waits in vain, as for one that is slow
                transport.write(data)

        return respond

    def connection_lost(self, error: Exception | None) -> None:
        self.peers.incoming.discard(self)
        if self.origin:
            self.peers.on_broken(self.origin)


class PeerTransport:
    """All connections to peers of one process."""

    def __init__(self, hear: Hear, on_broken: Callable[[str], None]) -> None:
        self.hear, self.on_broken = hear, on_broken
        self.address = ""
        self.strangers = 0
        self.too_long = 0  # frames that were refused: what makes them must be bounded where it is made
        self.incoming: set[_Incoming] = set()
        self._links: dict[str, _Outgoing] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._dials: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, ports: range) -> None:
        """Take the first port of the range that is free."""
        loop = asyncio.get_running_loop()
        for port in ports:
            try:
                self._server = await loop.create_server(lambda: _Incoming(self), host, port, backlog=256)
            except OSError:
                continue
            self.address = f"{host}:{port}"
            return
        raise OSError(f"no port of {ports} is free at {host}")

    def send(self, to: str, word: str, body: Json, blob: bytes = b"") -> None:
        """Send and forget."""
        data = self.packed({"w": word, "b": body}, blob)
        if data is not None:
            self._link(to).send(None, data)

    def request(
        self, to: str, word: str, body: Json, within: float, then: ReplyCallback, blob: bytes = b""
    ) -> None:
        """Send; `then` hears once what came of it."""
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        data = self.packed({"w": word, "b": body, "n": number}, blob)
        if data is None:
            loop.call_soon(then, Err(RequestFailure.NOT_SENT))
            return
        link = self._link(to)
        if not link.send(number, data):
            loop.call_soon(then, Err(RequestFailure.NOT_SENT))
            return
        link.asked[number] = then, loop.call_later(within, self._late, link, number)

    def packed(self, head: dict[str, Any], blob: bytes) -> bytes | None:
        """A frame; None where it is too long, which is counted, and logged the first time."""
        frame = pack(head, blob)
        if isinstance(frame, Ok):
            return frame.ok_value
        self.too_long += 1
        if self.too_long == 1:
            logging.error("a frame of %d bytes is not sent: %s", frame.err_value, head.get("w", "an answer"))
        return None

    def _late(self, link: _Outgoing, number: int) -> None:
        found = link.asked.pop(number, None)
        if found is not None:
            before = len(link.waiting)
            link.waiting = [it for it in link.waiting if it[0] != number]
            link.waiting_size = sum(len(data) for _, data in link.waiting)
            found[0](Err(RequestFailure.NOT_SENT if len(link.waiting) < before else RequestFailure.TIMED_OUT))

    def _link(self, to: str) -> _Outgoing:
        link = self._links.get(to)
        if link is None:
            link = self._links[to] = _Outgoing(self, to)
            task = asyncio.get_running_loop().create_task(self._dial(link))
            self._dials.add(task)
            task.add_done_callback(self._dials.discard)
        return link

    async def _dial(self, link: _Outgoing) -> None:
        host, _, port = link.to.rpartition(":")
        try:
            async with asyncio.timeout(DIAL_S):
                await asyncio.get_running_loop().create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError, ValueError):
            link.not_up()

    def gone(self, link: _Outgoing) -> None:
        if self._links.get(link.to) is link:
            del self._links[link.to]

    def close(self) -> None:
        """End all connections; what is buffered is still written where the peer reads."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links.values()):
            if link.transport is not None:
                link.transport.close()
        for connection in list(self.incoming):
            if connection.transport is not None:
                connection.transport.close()
