"""One process: a node of any kind on real sockets, clocks and disks."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from absl import logging
from result import Err

from amberlug.cluster.asyncio_runtime import AsyncioRuntime
from amberlug.cluster.http.api import HttpResponse, pack
from amberlug.cluster.http.server import Answer, Limits, Request, Server
from amberlug.cluster.interfaces import Respond
from amberlug.cluster.metrics import PATH, page
from amberlug.cluster.rpc.framing import RawMessage
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.settings import HostPort, Settings, read_settings_file

COUNTERS_INTERVAL_S = 10.0  # between log lines with the counters
SETTINGS_CHECK_INTERVAL_S = 2.0
SWEEP_S = 0.5
STILL_ROUTED_S = 2.6  # after SIGTERM until the platform routes no new client to this process
MAX_CONNECTION_AGE_S = 6.0  # of clients: else they stay where they were routed while other edges were down
GRACE_MARGIN_S = 0.8  # of the grace period that is kept for the end of the process
JSON = (("Content-Type", "application/json"),)
PLAIN = (("Content-Type", "text/plain; charset=utf-8"),)
EX_SOFTWARE = 70  # exit code: an invariant does not hold
EX_BAD_SETTINGS = 2  # exit code
DRAIN_CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.02
CONTROL_LIMITS = Limits(body_bytes=4 << 20)


class Node(Protocol):
    """What a process needs of the node that it runs: an edge, storage or control-plane node."""

    @property
    def handlers(self) -> Mapping[str, Callable[..., None]]:
        """Handlers of peers' messages by wire tag: `(body, payload, origin, respond)`."""

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters for operators, by name."""

    @property
    def idle(self) -> bool:
        """Whether the process may end without loss."""

    def begin(self) -> None:
        """Start, once the process listens."""

    def leave(self) -> None:
        """Announce a planned stop."""

    def settings_are(self, settings: Settings) -> None:
        """Take the settings of a file that has changed."""

    def broken(self, address: str) -> None:
        """A connection with a peer has ended."""


class _FileStamp(NamedTuple):
    """By which a change of a file is noticed."""

    modified_at_s: float
    size_bytes: int


class NodeProcess:
    """A node in its process: it is built, served, drained and ended here.

    :param path: of the settings file, which is read again when it changes.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        self.settings, self._path = settings, path
        self._node: Node | None = None
        self._servers: list[Server] = []
        self._close_storage: list[Callable[[], None]] = []
        self._ended = asyncio.Event()
        self.transport = PeerTransport(self._handle_message, self._on_disconnect)
        self._stamp = self._file_stamp()

    def _handle_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        handler = self._node.handlers.get(message.tag) if self._node is not None else None
        if handler is not None:
            handler(message.body, message.payload, origin, respond)

    def _on_disconnect(self, address: str) -> None:
        if self._node is not None:
            self._node.broken(address)

    @property
    def node(self) -> Node:
        """The node, once it was built."""
        assert self._node is not None, "the node is built before anything is asked of it"
        return self._node

    async def run(self) -> int:
        """Serve until a signal ends the process; returns its exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_error)
        await self.transport.listen(self.settings.ip, self.settings.ports)
        world = AsyncioRuntime(self.transport, random.Random())
        await self._build(world, loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self.node.begin()
        loop.call_later(COUNTERS_INTERVAL_S, self._log_counters)
        loop.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings_file)
        await self._ended.wait()
        for close in self._close_storage:
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
            self._close_storage.append(writer.close)
            core = self._node = ControlNode(world, settings, address, writer, saved)
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
            self._close_storage.append(message_store.close)
            self._node = StorageNode(world, settings, address, message_store, contents)
        else:
            await self._build_edge(world)

    async def _build_edge(self, world: AsyncioRuntime) -> None:
        from amberlug.cluster.dispatch.endpoint_client import EndpointClient
        from amberlug.cluster.edge.intake import ClientResponse
        from amberlug.cluster.edge.node import EdgeNode

        caller = EndpointClient()
        edge = self._node = EdgeNode(world, self.settings, self.transport.address, caller)

        def limits() -> Limits:
            routes = edge.routes
            return Limits(routes.header_bytes, routes.body_bytes, routes.header_s, routes.idle_s)

        def handle(asked: Request, answer: Callable[[Answer], None]) -> None:
            def respond(response: ClientResponse) -> None:
                if response.body is not None:
                    answer(Answer(response.status, response.headers + JSON, pack(response.body)))
                else:
                    answer(Answer(response.status, response.headers, response.payload))

            edge.handle(asked, respond)

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

        await self._serve(self.settings.front, handle, limits, MAX_CONNECTION_AGE_S)
        await self._serve(self.settings.readiness, readiness)
        sweep()

    async def _serve(
        self,
        address: HostPort | None,
        handle: Callable[[Request, Callable[[Answer], None]], None],
        limits: Callable[[], Limits] = lambda: CONTROL_LIMITS,
        age_s: float = float("inf"),
    ) -> None:
        if address is not None:
            server = Server(handle, limits, age_s)
            await server.listen(*address)
            self._servers.append(server)

    # -- signals, settings, counters

    def _on_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        logging.error("%s", context.get("message"), exc_info=error)
        if isinstance(error, AssertionError):
            logging.flush()
            os._exit(EX_SOFTWARE)  # an invariant is broken: the state of this process can not be trusted

    def _on_stop_signal(self) -> None:
        logging.info("stopping on a signal")
        self.node.leave()
        loop = asyncio.get_running_loop()
        if self.settings.front is None:
            loop.call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)
            return
        for server in self._servers:
            server.leave()
        now = loop.time()
        self._drain(now + STILL_ROUTED_S, now + self.settings.seconds("graceS") - GRACE_MARGIN_S)

    def _end_when_idle(self) -> None:
        """End at once, but for a control-plane node, which is idle once another one votes in its place."""
        if self.node.idle:
            self._ended.set()
        else:
            asyncio.get_running_loop().call_later(IDLE_CHECK_INTERVAL_S, self._end_when_idle)

    def _drain(self, routed_until_s: float, deadline_s: float) -> None:
        """End at the deadline, or once no request is open and the platform routes no client here."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        open_requests = sum(server.open_requests for server in self._servers)
        is_drained = now >= routed_until_s and open_requests == 0 and self.node.idle
        if now >= deadline_s or is_drained:
            for server in self._servers:
                server.stop()
            self._ended.set()
        else:
            loop.call_later(DRAIN_CHECK_INTERVAL_S, self._drain, routed_until_s, deadline_s)

    def _file_stamp(self) -> _FileStamp:
        try:
            state = os.stat(self._path)
        except OSError:
            return _FileStamp(0.0, 0)
        return _FileStamp(state.st_mtime, state.st_size)

    def _check_settings_file(self) -> None:
        asyncio.get_running_loop().call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings_file)
        if self._file_stamp() != self._stamp:
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Take seeds and bounds from the settings file; a bad file is ignored."""
        self._stamp = self._file_stamp()
        found = read_settings_file(self._path)
        if isinstance(found, Err):
            logging.error("ignoring the settings file: %s", "; ".join(map(str, found.err_value)))
            return
        self.settings = found.ok_value
        self.node.settings_are(found.ok_value)

    def _log_counters(self) -> None:
        asyncio.get_running_loop().call_later(COUNTERS_INTERVAL_S, self._log_counters)
        counts = self.node.counts
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
    """Read the settings file and serve.

    :returns: the exit code: `EX_BAD_SETTINGS` where the file has errors, which are printed.
    """
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    found = read_settings_file(path)
    if isinstance(found, Err):
        print("\n".join(map(str, found.err_value)), file=sys.stderr)
        return EX_BAD_SETTINGS
    settings = found.ok_value

    async def serve() -> int:
        return await NodeProcess(settings, path).run()

    return asyncio.run(serve())
