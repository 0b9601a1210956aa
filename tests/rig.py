"""The real relay as a process, with stand-ins for endpoints, discovery and clients on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from amberlug.core.clock import LoopClock
from amberlug.core.journal import Journal
from amberlug.core.node import Node
from amberlug.http.calls import Caller
from amberlug.http.link import Link, Reply, dial
from amberlug.platform.notices import Notices
from stoatusher.interface import Settings
from tests.conftest import setup

ROOT = Path(__file__).parents[1]
PATIENCE = 20.0  # seconds after which a test that waits for an event has failed

Answer = tuple[int, list[tuple[str, str]], bytes]
OK: Answer = (200, [], b"")


def run(scenario: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE):
            await scenario

    asyncio.run(limited())


@dataclass
class Seen:
    """A request as a stand-in saw it, with the means to answer it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    http: h11.Connection
    at: float

    @property
    def name(self) -> str:
        return self.headers.get("req-id", "")

    def answer(self, answer: Answer) -> None:
        status, headers, body = answer
        self.write(h11.Response(status_code=status, headers=[*headers, ("Content-Length", str(len(body)))]))
        self.write(h11.Data(data=body))
        self.write(h11.EndOfMessage())

    def write(self, event: Any) -> None:
        self.writer.write(self.http.send(event) or b"")

    def reset(self) -> None:
        self.writer.transport.abort()


class StandIn:
    """A peer: `answers` are used up in order, then `usual`; None leaves the request unanswered."""

    def __init__(self, usual: Answer | None = OK, *answers: Answer | None) -> None:
        self.usual, self.answers = usual, list(answers)
        self.seen: list[Seen] = []
        self.dials = 0
        self.closed = 0
        self.on_request: Callable[[Seen], bool] | None = None
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> StandIn:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for seen in self.seen:
            seen.writer.transport.abort()

    async def until(self, true: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE), self._news:
            await self._news.wait_for(true)

    async def requests(self, count: int) -> list[Seen]:
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
                if http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:  # answered meanwhile
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
    """Discovery: holds watches open, takes notices."""

    def __init__(self) -> None:
        super().__init__((204, [], b""))
        self.watches: list[Seen] = []
        self.on_request = self._watch

    def _watch(self, seen: Seen) -> bool:
        if not seen.path.startswith("/discovery/hosts"):
            return False
        seen.write(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        seen.write(h11.Data(data=b"\n"))
        self.watches.append(seen)
        return True

    def tell(self, line: bytes) -> None:
        self.watches[-1].write(h11.Data(data=line + b"\n"))

    async def watched(self, count: int) -> None:
        await self.until(lambda: len(self.watches) == count)

    @property
    def notices(self) -> list[dict[str, Any]]:
        posts = [seen for seen in self.seen if seen.path == "/v1/notices"]
        return [json.loads(line) for seen in posts for line in seen.body.splitlines()]

    async def noticed(self, count: int = 1) -> list[dict[str, Any]]:
        await self.until(lambda: len(self.notices) >= count)
        return self.notices


def member(port: int, name: str = "e", phase: str = "in_service", kind: str = "plain") -> dict[str, Any]:
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "north", "flavor": kind, "cell": 1,
            "phase": phase, "size": 50.0, "up_since_ms": 0}  # fmt: skip


def news(*members: dict[str, Any], revision: int = 2, complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


_ports = itertools.count(20_000 + os.getpid() * 37 % 9_000)


def free_port() -> int:
    """Find a port below the ephemeral ones: no connection takes it while the relay is down."""
    for port in _ports:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no port is free")


@dataclass
class Relay:
    """The relay's process; it may be ended and started again on the same folder."""

    folder: Path
    platform: Platform
    members: list[dict[str, Any]]
    settings: dict[str, Any]
    limits: dict[str, float]
    port: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None

    @property
    def config(self) -> Path:
        return self.folder / "config.json"

    def configure(self) -> None:
        self.config.write_text(json.dumps({
            "name": "n0", "seed": "8c1f30d27a5be964", "limits": self.limits,
            "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.platform.port}",
            "known": {"revision": 1, "complete": True, "members": self.members}, "settings": self.settings,
        }))  # fmt: skip

    async def start(self) -> None:
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        self.configure()
        variables = os.environ | {
            "ROUTER_CONFIG": str(self.config), "ROUTER_STATE": str(state),
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.platform.port}",
        }  # fmt: skip
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", cwd=ROOT, env=variables,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        await self.said("ready on")
        async with asyncio.timeout(PATIENCE):
            assert (await self.ask("GET", "/up")).status == 200

    async def said(self, text: str) -> None:
        """Wait for a line of the relay's log."""
        assert self.process is not None
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while text.encode() not in (line := await self.process.stderr.readline()):
                assert line, f"the relay ended before it said {text!r}"

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        assert self.process is not None
        async with asyncio.timeout(PATIENCE):
            return await self.process.wait()

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.ended()

    async def link(self) -> Link:
        link = await dial("127.0.0.1", self.port, PATIENCE)
        assert link is not None
        return link

    async def ask(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Reply:
        link = await self.link()
        reply = await link.request(method, path, list((headers or {}).items()), body)
        link.close()
        return reply

    async def hand_in(self, name: str, kind: str = "safe", **more: Any) -> Reply:
        return await self.ask("POST", f"/{kind}", hand_in(name, kind, **more), b"hello")


def hand_in(name: str, kind: str = "safe", left_ms: int = 8000, **more: str) -> dict[str, str]:
    headers = {"Req-Id": name, "Req-Kind": kind, "Req-Deadline-Ms": str(left_ms), "Envelope": "dest=1"}
    if kind in ("keyed", "zoned"):
        headers["Idempotency-Key"] = f"key-{name}"
    return headers | {key.replace("_", "-"): value for key, value in more.items()}


def node_in(folder: Path, settings: Settings) -> Node:
    """The daemon's core with its real connections, and nobody to tell its ends to."""
    clock = LoopClock()
    caller, notices = Caller(settings, 9, clock), Notices(("127.0.0.1", 1))
    return Node(settings, 1, Journal(folder, 10**6, 0), caller, notices, clock)


def caller_of(node: Node) -> Caller:
    assert isinstance(node._transport, Caller)
    return node._transport


@asynccontextmanager
async def world(
    folder: Path,
    *endpoints: StandIn,
    kind: str = "plain",
    limits: dict[str, float] | None = None,
    **changes: Any,
) -> AsyncIterator[tuple[Relay, Platform]]:
    """Start the relay, its platform and its endpoints, all of one destination."""
    platform = Platform()
    await platform.start()
    for endpoint in endpoints:
        if not endpoint.port:
            await endpoint.start()
    members = [member(endpoint.port, f"e{at}", kind=kind) for at, endpoint in enumerate(endpoints)]
    settings = setup(**({"Weights": "nominal"} | changes))
    relay = Relay(
        folder,
        platform,
        members,
        settings,
        {"disk_mb": 3.0, "memory_mb": 64, "sockets": 256} | (limits or {}),
    )
    await relay.start()
    try:
        yield relay, platform
    finally:
        if relay.process is not None and relay.process.returncode is None:
            await relay.kill()
        for peer in (platform, *endpoints):
            await peer.stop()
