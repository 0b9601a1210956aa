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
from collections.abc import AsyncIterator, Coroutine, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from amberlug.core.clock import LoopClock
from amberlug.core.journal import FolderDisk, Journal
from amberlug.core.node import Node
from amberlug.http.calls import HttpTransport
from amberlug.http.link import OutgoingConnection, Reply, dial
from amberlug.learning import Learner
from amberlug.learning.store import Store
from amberlug.platform.notices import NoticeSender
from amberlug.policy.interface import Settings
from amberlug.standin.wire import PATIENCE, Platform, StandIn
from tests.conftest import setup

ROOT = Path(__file__).parents[1]


def run(scenario: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE):
            await scenario

    asyncio.run(limited())


def member(port: int, name: str = "e", phase: str = "in_service", kind: str = "plain") -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "north",
        "flavor": kind,
        "cell": 1,
        "phase": phase,
        "size": 50.0,
        "up_since_ms": 0,
    }


def news(*members: dict[str, Any], revision: int = 2, complete: bool = False) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode()


_ports = itertools.count(20_000 + os.getpid() * 37 % 9_000)
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Find a port below the ephemeral ones: no connection takes it while the relay is down."""
    for port in _ports:
        # Guards against another test process that takes it while the relay is down: each keeps the UDP side.
        reserved = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as sock:
            try:
                reserved.bind(("127.0.0.1", port))
                sock.bind(("127.0.0.1", port))
            except OSError:
                reserved.close()
                continue
            _reserved.append(reserved)
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
    options: dict[str, Any] = field(default_factory=dict)  # of an operator, in the configuration
    blocks: int = 0  # of 512 bytes, that a file of the relay's may have; 0 for any number
    environ: dict[str, str] = field(default_factory=dict)  # further variables
    process: asyncio.subprocess.Process | None = None

    @property
    def config(self) -> Path:
        return self.folder / "config.json"

    def configure(self) -> None:
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "seed": "8c1f30d27a5be964",
                    "limits": self.limits,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{self.platform.port}",
                    "known": {"revision": 1, "complete": True, "members": self.members},
                    "settings": self.settings,
                    **self.options,
                }
            )
        )

    async def start(self) -> None:
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        self.configure()
        variables = os.environ | {
            "ROUTER_CONFIG": str(self.config),
            "ROUTER_STATE": str(state),
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.platform.port}",
            **self.environ,
        }
        command = [sys.executable, "-m", "amberlug"]
        if self.blocks:
            command = ["/bin/sh", "-c", f'ulimit -f {self.blocks}; exec "$0" "$@"', *command]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=variables,
            stderr=asyncio.subprocess.PIPE,
        )
        await self.said("ready on")
        async with asyncio.timeout(PATIENCE):
            assert (await self.ask("GET", "/up")).status == 200

    async def said(self, text: str) -> None:
        """Wait for a line of the relay's log."""
        assert self.process is not None
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            heard = b""
            while text.encode() not in (line := await self.process.stderr.readline()):
                heard += line
                assert line, f"the relay ended before it said {text!r}; it said {heard!r}"

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

    async def link(self) -> OutgoingConnection:
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


def journal_in(folder: Path) -> Journal:
    return Journal(FolderDisk(folder), 10**6, 0, lambda: time.monotonic_ns() // 1000)


def node_in(folder: Path, settings: Settings) -> Node:
    """The daemon's core with its real connections, and nobody to tell its ends to."""
    clock = LoopClock()
    caller, notices = HttpTransport(settings, 9, clock), NoticeSender(("127.0.0.1", 1))
    learning = Learner(Store(FolderDisk(folder), 10**5, clock.now_us), clock)
    return Node(settings, 1, journal_in(folder), learning, caller, notices, clock)


def caller_of(node: Node) -> HttpTransport:
    assert isinstance(node._transport, HttpTransport)
    return node._transport


@asynccontextmanager
async def world(
    folder: Path,
    *endpoints: StandIn,
    kind: str = "plain",
    limits: dict[str, float] | None = None,
    also: Sequence[dict[str, Any]] = (),
    **changes: Any,
) -> AsyncIterator[tuple[Relay, Platform]]:
    """Start the relay, its platform and its endpoints, all of one destination; `also` is listed as it is."""
    platform = Platform()
    await platform.start()
    for endpoint in endpoints:
        if not endpoint.port:
            await endpoint.start()
    members = [member(endpoint.port, f"e{at}", kind=kind) for at, endpoint in enumerate(endpoints)]
    members += also
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
