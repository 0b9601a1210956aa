"""Test HTTP servers on loopback for the relay's peers: endpoints and the platform."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

PATIENCE = 20.0  # timeout in seconds for an expected event

Answer = tuple[int, list[tuple[str, str]], bytes]
OK: Answer = (200, [], b"")


@dataclass
class Seen:
    """A received request, with methods to answer it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    http: h11.Connection
    at: float

    @property
    def name(self) -> str:
        """Return the message id from the `Req-Id` header, or an empty string without one."""
        return self.headers.get("req-id", "")

    def answer(self, answer: Answer) -> None:
        """Send a complete response."""
        status, headers, body = answer
        self.write(h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))]))
        self.write(h11.Data(data=body))
        self.write(h11.EndOfMessage())

    def write(self, event: Any) -> None:
        """Send one h11 event, for example a part of a response."""
        self.writer.write(self.http.send(event) or b"")

    def reset(self) -> None:
        """Abort the connection without a response."""
        self.writer.transport.abort()


class StandIn:
    """A test HTTP server: sends each of `answers` once, in order, then `usual`; None sends no response."""

    def __init__(self, usual: Answer | None = OK, *answers: Answer | None) -> None:
        self.usual, self.answers = usual, list(answers)
        self.seen: list[Seen] = []
        self.dials = 0
        self.closed = 0
        self.on_request: Callable[[Seen], bool] | None = None
        self.on_close: Callable[[asyncio.StreamWriter], None] | None = None
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> StandIn:
        """Listen on `port` of 127.0.0.1; 0 picks a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Close the port and all connections."""
        assert self._server is not None
        self._server.close()
        for seen in self.seen:
            seen.writer.transport.abort()

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait until the condition holds; raises `TimeoutError` after `PATIENCE` seconds."""
        async with asyncio.timeout(PATIENCE), self._news:
            await self._news.wait_for(true)

    async def requests(self, count: int) -> list[Seen]:
        """Wait until at least `count` requests have been received; return all of them."""
        await self.until(lambda: len(self.seen) >= count)
        return self.seen

    async def _told(self) -> None:
        async with self._news:
            self._news.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.dials += 1
        http = h11.Connection(h11.SERVER)
        try:
            while (seen := await self._request(reader, writer, http)) is not None:
                self.seen.append(seen)
                if self.on_request is None or not self.on_request(seen):
                    answer = self.answers.pop(0) if self.answers else self.usual
                    if answer is not None:
                        seen.answer(answer)
                await self._told()
                if http.our_state is h11.DONE:
                    http.start_next_cycle()
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            self.closed += 1
            writer.close()
            if self.on_close is not None:
                self.on_close(writer)
            await self._told()

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, http: h11.Connection
    ) -> Seen | None:
        head, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                data = await reader.read(65536)
                if not data and http.their_state is not h11.SEND_BODY:
                    return None
                http.receive_data(data)
                if http.states == {
                    h11.CLIENT: h11.DONE,
                    h11.SERVER: h11.DONE,
                }:  # the response was sent meanwhile
                    http.start_next_cycle()
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {name.decode(): value.decode() for name, value in head.headers}
                target, method = head.target.decode(), head.method.decode()
                return Seen(method, target, headers, body, writer, http, time.monotonic())
            elif isinstance(event, h11.ConnectionClosed):
                return None


class Platform(StandIn):
    """The platform: keeps discovery watches open, and accepts notices."""

    def __init__(self) -> None:
        super().__init__((204, [], b""))
        self.watches: list[Seen] = []
        self.first = b""  # first line of each watch; by default an empty update
        self.on_request = self._watch

    def _watch(self, seen: Seen) -> bool:
        if not seen.path.startswith("/discovery/hosts"):
            return False
        seen.write(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        since = int(seen.path.rpartition("since=")[2])
        unchanged = b'{"revision":%d,"complete":false,"members":[]}' % since
        seen.write(h11.Data(data=(self.first or unchanged) + b"\n"))
        self.watches.append(seen)
        return True

    def silent(self, seen: Seen) -> bool:
        """Leave a request unanswered, as if discovery were down."""
        return True

    def tell(self, line: bytes) -> None:
        """Send one line on the latest discovery watch."""
        self.watches[-1].write(h11.Data(data=line + b"\n"))

    async def watched(self, count: int) -> None:
        """Wait until exactly `count` discovery watches have been opened."""
        await self.until(lambda: len(self.watches) == count)

    @property
    def notices(self) -> list[dict[str, Any]]:
        """Return all notices received so far, decoded."""
        posts = [seen for seen in self.seen if seen.path == "/v1/notices"]
        return [json.loads(line) for seen in posts for line in seen.body.splitlines()]

    async def noticed(self, count: int = 1) -> list[dict[str, Any]]:
        """Wait until at least `count` notices have been received; return all of them."""
        await self.until(lambda: len(self.notices) >= count)
        return self.notices
