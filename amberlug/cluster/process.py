"""The one program of all machines: what a machine's part decides, on real sockets, clocks and disks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from absl import logging
from result import Err

from amberlug.cluster import settings as told
from amberlug.cluster.http.api import HttpResponse, pack
from amberlug.cluster.http.server import Answer, Limits, Request, Server
from amberlug.cluster.interfaces import Json, ReplyCallback, Respond, TimerHandle
from amberlug.cluster.metrics import PATH, page
from amberlug.cluster.rpc.framing import RawMessage
from amberlug.cluster.rpc.transport import PeerTransport

COUNTERS_S = 10.0  # between lines of counters
WATCH_S = 2.0  # between looks at the settings file
SWEEP_S = 0.5
STILL_SERVED_S = 2.6  # after SIGTERM until the platform sends nobody here any more
AGE_S = 6.0  # that clients keep a connection: they stay where they were sent when others were down
SPARE_S = 0.8  # of the grace that is left for the end
JSON = (("Content-Type", "application/json"),)
PLAIN = (("Content-Type", "text/plain; charset=utf-8"),)
CONTROL_LIMITS = Limits(body_bytes=4 << 20)


class AsyncioRuntime:
    """The world by asyncio."""

    def __init__(self, transport: PeerTransport, chance: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self.chance, self.now, self.wall_clock = chance, self._loop.time, time.time
        self._transport = transport

    def call_later(self, seconds: float, act: Callable[[], None]) -> TimerHandle:
        return self._loop.call_later(seconds, act)

    def send(self, address: str, tag: str, body: Json, payload: bytes = b"") -> None:
        self._transport.send(address, RawMessage(tag, body, payload))

    def request(
        self,
        address: str,
        tag: str,
        body: Json,
        timeout_s: float,
        on_reply: ReplyCallback,
        payload: bytes = b"",
    ) -> None:
        self._transport.request(address, RawMessage(tag, body, payload), timeout_s, on_reply)


class Program:
    """One process."""

    def __init__(self, settings: told.Settings, path: str) -> None:
        self.settings, self.path = settings, path
        self.machine: Any = None
        self.servers: list[Server] = []
        self.closers: list[Callable[[], None]] = []
        self.ended = asyncio.Event()
        self.transport = PeerTransport(self._handle_message, self._broken)
        self._stamp = self._file_stamp()

    def _handle_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        handler = self.machine.handlers.get(message.tag) if self.machine is not None else None
        if handler is not None:
            handler(message.body, message.payload, origin, respond)

    def _broken(self, address: str) -> None:
        if self.machine is not None:
            self.machine.broken(address)

    async def run(self) -> int:
        """Serve until told to end."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._failed)
        await self.transport.listen(self.settings.ip, self.settings.ports)
        world = AsyncioRuntime(self.transport, random.Random())
        await self._build(world, loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._term)
        loop.add_signal_handler(signal.SIGHUP, self._reread)
        self.machine.begin()
        loop.call_later(COUNTERS_S, self._counters)
        loop.call_later(WATCH_S, self._watch)
        await self.ended.wait()
        for close in self.closers:
            close()
        self.transport.close()
        return 0

    async def _build(self, world: AsyncioRuntime, loop: asyncio.AbstractEventLoop) -> None:
        settings, address = self.settings, self.transport.address

        def post(act: Callable[[], None]) -> None:
            with contextlib.suppress(RuntimeError):  # the loop has ended: nobody waits any more
                loop.call_soon_threadsafe(act)

        folder = Path(settings.data_dir) if settings.data_dir else None
        if "control_plane" in settings.serves:
            from amberlug.cluster.consensus.storage import open_raft_storage
            from amberlug.cluster.control.node import ControlNode, blank

            assert folder is not None, "a control relay needs a dataDir"
            saved, writer, _ = open_raft_storage(
                folder, lambda: blank(settings, world.chance.getrandbits), post
            )
            self.closers.append(writer.close)
            core = self.machine = ControlNode(world, settings, address, writer, saved)
            await self._serve(
                settings.control, lambda asked, answer: core.counter.take(asked, _saying(answer))
            )
        elif "storage" in settings.serves:
            from amberlug.cluster.storage.message_store import open_message_store
            from amberlug.cluster.storage.node import StorageNode

            assert folder is not None, "a store needs a dataDir"
            contents, message_store = open_message_store(
                folder, lambda: f"{world.chance.getrandbits(64):x}", post
            )
            self.closers.append(message_store.close)
            self.machine = StorageNode(world, settings, address, message_store, contents)
        else:
            await self._build_edge(world)

    async def _build_edge(self, world: AsyncioRuntime) -> None:
        from amberlug.cluster.dispatch.endpoint_client import EndpointClient
        from amberlug.cluster.edge.node import EdgeNode

        caller = EndpointClient()
        edge = self.machine = EdgeNode(world, self.settings, self.transport.address, caller)

        def limits() -> Limits:
            routes = edge.routes
            return Limits(routes.header_bytes, routes.body_bytes, routes.header_s, routes.idle_s)

        def handle(asked: Request, answer: Callable[[Answer], None]) -> None:
            def finish(
                status: int, body: Json | None, headers: tuple[tuple[str, str], ...], blob: bytes
            ) -> None:
                if body is not None:
                    answer(Answer(status, headers + JSON, pack(body)))
                else:
                    answer(Answer(status, headers, blob))

            edge.handle(asked, finish)

        def readiness(asked: Request, answer: Callable[[Answer], None]) -> None:
            path = asked.target.partition("?")[0]
            if path == PATH:
                answer(Answer(200, PLAIN, page(edge.counts)))
                return
            here = path == "/-/readiness"
            answer(Answer((200 if edge.ready else 503) if here else 404, JSON, b"{}"))

        def sweep() -> None:
            caller.sweep()
            world.call_later(SWEEP_S, sweep)

        await self._serve(self.settings.front, handle, limits, AGE_S)
        await self._serve(self.settings.readiness, readiness)
        sweep()

    async def _serve(
        self,
        at: tuple[str, int] | None,
        handle: Callable[[Request, Callable[[Answer], None]], None],
        limits: Callable[[], Limits] = lambda: CONTROL_LIMITS,
        age_s: float = float("inf"),
    ) -> None:
        if at is not None:
            server = Server(handle, limits, age_s)
            await server.listen(*at)
            self.servers.append(server)

    # -- ends and changes

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        logging.error("%s", context.get("message"), exc_info=error)
        if isinstance(error, AssertionError):
            logging.flush()
            os._exit(70)  # a broken invariant: what this process believes can't be trusted

    def _term(self) -> None:
        logging.info("told to end")
        self.machine.leave()
        loop = asyncio.get_running_loop()
        if self.settings.front is None:
            loop.call_later(0.02, self._end_when_idle)
            return
        for server in self.servers:
            server.leave()
        now = loop.time()
        self._wind_up(now + STILL_SERVED_S, now + self.settings.seconds("graceS") - SPARE_S)

    def _end_when_idle(self) -> None:
        """A core machine ends once another one votes in its place, a store at once."""
        if self.machine.idle:
            self.ended.set()
        else:
            asyncio.get_running_loop().call_later(0.02, self._end_when_idle)

    def _wind_up(self, served_until: float, until: float) -> None:
        """End once nothing is owed, and the platform sends nobody here any more."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        owed = sum(it.open_requests for it in self.servers)
        if now >= until or (now >= served_until and owed == 0 and self.machine.idle):
            for server in self.servers:
                server.stop()
            self.ended.set()
        else:
            loop.call_later(0.05, self._wind_up, served_until, until)

    def _file_stamp(self) -> tuple[float, int]:
        try:
            state = os.stat(self.path)
        except OSError:
            return 0.0, 0
        return state.st_mtime, state.st_size

    def _watch(self) -> None:
        asyncio.get_running_loop().call_later(WATCH_S, self._watch)
        if self._file_stamp() != self._stamp:
            self._reread()

    def _reread(self) -> None:
        """The settings file has changed: seeds and bounds count from now on; a bad file is passed over."""
        self._stamp = self._file_stamp()
        read = told.read_settings_file(self.path)
        if isinstance(read, Err):
            logging.error("the settings file is passed over: %s", "; ".join(map(str, read.err_value)))
            return
        self.settings = read.ok_value
        self.machine.settings_are(read.ok_value)

    def _counters(self) -> None:
        asyncio.get_running_loop().call_later(COUNTERS_S, self._counters)
        counts = self.machine.counts
        logging.info(
            "counters: %s", " ".join(f"{key}={value}" for key, value in sorted(counts.items())) or "none"
        )


def _saying(answer: Callable[[Answer], None]) -> Callable[[HttpResponse], None]:
    def say(said: HttpResponse) -> None:
        again = (("Retry-After", str(said.retry_after)),) if said.retry_after is not None else ()
        if said.page is not None:
            answer(Answer(said.status, PLAIN + again, said.page))
        else:
            answer(Answer(said.status, JSON + again, pack(said.body)))

    return say


def main(path: str) -> int:
    """Read the settings file and serve; 2 where the file is bad."""
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    read = told.read_settings_file(path)
    if isinstance(read, Err):
        print("\n".join(map(str, read.err_value)), file=sys.stderr)
        return 2
    settings = read.ok_value

    async def serve() -> int:
        return await Program(settings, path).run()

    return asyncio.run(serve())
