"""The process of a node: runs a node of any kind on real sockets, clocks and disks."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import random
import signal
import sys
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from absl import logging
from result import Err

from amberlug.cluster.asyncio_runtime import AsyncioRuntime
from amberlug.cluster.frontends import EdgeFrontend, respond_to_operator
from amberlug.cluster.http.connection import NEVER, RequestHandler, RespondCallback
from amberlug.cluster.http.message import Request
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server
from amberlug.cluster.interfaces import RawMessage, Respond
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.settings import (
    DEFAULT_SETTINGS_FILE,
    SETTINGS_FILE_VARIABLE,
    HostPort,
    Settings,
    read_settings_file,
)

COUNTERS_INTERVAL_S = 10.0  # between log lines with the counters
SETTINGS_CHECK_INTERVAL_S = 2.0
SWEEP_INTERVAL_S = 0.5  # between sweeps of idle endpoint connections
ROUTE_REMOVAL_DELAY_S = 2.6  # after SIGTERM, until the platform no longer routes new clients to this process
# Of client connections: without it, clients would stay on the node they were routed to while other edge nodes
# were down.
MAX_CONNECTION_AGE_S = 6.0
GRACE_MARGIN_S = 0.8  # part of the grace period reserved for process exit
EX_SOFTWARE = 70  # exit code: an invariant is violated
EX_BAD_SETTINGS = 2  # exit code: the settings file is invalid
DRAIN_CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 0.02
CONTROL_LIMITS = Limits(body_bytes=4 << 20)


class Node(Protocol):
    """The interface between a process and its node: an edge, storage or control-plane node."""

    @property
    def handlers(self) -> Mapping[str, Callable[..., None]]:
        """Handlers of peer messages by wire tag: `(body, payload, origin, respond)`."""

    @property
    def counters(self) -> Mapping[str, int]:
        """Metrics by name."""

    @property
    def is_idle(self) -> bool:
        """Whether the process can exit without losing work."""

    def begin(self) -> None:
        """Start the node; called once the process is listening."""

    def begin_shutdown(self) -> None:
        """Announce a planned shutdown."""

    def update_settings(self, settings: Settings) -> None:
        """Apply a changed settings file."""

    def on_peer_disconnected(self, address: str) -> None:
        """Called when a connection to a peer has closed."""


class _FileStamp(NamedTuple):
    """Modification time and size of a file, used to detect changes."""

    modified_at_s: float
    size_bytes: int


class NodeProcess:
    """Builds a node, serves it, drains it and exits.

    :param path: the settings file, which is reloaded when it changes.
    :param transport_type: the transport for peer messages.
    """

    def __init__(
        self, settings: Settings, path: str, transport_type: type[PeerTransport] = PeerTransport
    ) -> None:
        self.settings, self._path = settings, path
        self._node: Node | None = None
        self._servers: list[Server] = []
        self._close_storage: list[Callable[[], None]] = []
        self._exit_requested = asyncio.Event()
        self.transport = transport_type(self._handle_message, self._on_disconnect)
        self._stamp = self._file_stamp()

    def _handle_message(self, message: RawMessage, origin: str, respond: Respond) -> None:
        handler = self._node.handlers.get(message.tag) if self._node is not None else None
        if handler is not None:
            handler(message.body, message.payload, origin, respond)

    def _on_disconnect(self, address: str) -> None:
        if self._node is not None:
            self._node.on_peer_disconnected(address)

    @property
    def node(self) -> Node:
        """The node; available once it has been built."""
        assert self._node is not None, "the node has not been built yet"
        return self._node

    async def run(self) -> int:
        """Serve until a signal stops the process; returns the exit code."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_error)
        await self.transport.listen(self.settings.ip, self.settings.ports)
        await self._build(AsyncioRuntime(self.transport, random.Random()))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        gc.enable()  # disabled while modules were imported
        self.node.begin()
        loop.call_later(COUNTERS_INTERVAL_S, self._log_counters)
        loop.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings_file)
        await self._exit_requested.wait()
        for close in self._close_storage:
            close()
        self.transport.close()
        return 0

    # Each builder imports only the packages of its own kind of node: the others would cost memory.

    async def _build(self, runtime: AsyncioRuntime) -> None:
        if "control_plane" in self.settings.serves:
            await self._build_control_node(runtime)
        elif "storage" in self.settings.serves:
            self._build_storage_node(runtime)
        else:
            await self._build_edge_node(runtime)

    async def _build_control_node(self, runtime: AsyncioRuntime) -> None:
        from amberlug.cluster.consensus.storage import open_raft_storage
        from amberlug.cluster.control.node import ControlNode, blank

        settings, rng = self.settings, runtime.rng
        state, writer, _ = open_raft_storage(
            self._data_dir(), lambda: blank(settings, rng.getrandbits), _post_to_running_loop()
        )
        self._close_storage.append(writer.close)
        node = self._node = ControlNode(runtime, settings, self.transport.address, writer, state)

        def handle(request: Request, respond: RespondCallback) -> None:
            """Pass an operator's request to the node."""
            node.admin_api.handle(request, partial(respond_to_operator, respond))

        await self._serve(settings.control, handle)

    def _build_storage_node(self, runtime: AsyncioRuntime) -> None:
        from amberlug.cluster.storage.message_store import open_message_store
        from amberlug.cluster.storage.node import StorageNode

        rng = runtime.rng
        contents, message_store = open_message_store(
            self._data_dir(), lambda: f"{rng.getrandbits(64):x}", _post_to_running_loop()
        )
        self._close_storage.append(message_store.close)
        self._node = StorageNode(runtime, self.settings, self.transport.address, message_store, contents)

    async def _build_edge_node(self, runtime: AsyncioRuntime) -> None:
        from amberlug.cluster.dispatch.endpoint_client import EndpointClient
        from amberlug.cluster.edge.node import EdgeNode

        endpoint_client = EndpointClient()
        node = self._node = EdgeNode(runtime, self.settings, self.transport.address, endpoint_client)
        frontend = EdgeFrontend(node)

        def sweep() -> None:
            """Close stale idle connections to endpoints, and reschedule the sweep."""
            endpoint_client.sweep()
            runtime.call_later(SWEEP_INTERVAL_S, sweep)

        await self._serve(self.settings.front, frontend.handle, frontend.limits, MAX_CONNECTION_AGE_S)
        await self._serve(self.settings.readiness, frontend.handle_probe)
        sweep()

    def _data_dir(self) -> Path:
        assert self.settings.data_dir is not None, "control-plane and storage nodes need a dataDir"
        return Path(self.settings.data_dir)

    async def _serve(
        self,
        address: HostPort | None,
        handle: RequestHandler,
        limits: Callable[[], Limits] = lambda: CONTROL_LIMITS,
        max_connection_age_s: float = NEVER,
    ) -> None:
        if address is not None:
            server = Server(handle, limits, max_connection_age_s)
            await server.listen(*address)
            self._servers.append(server)

    # -- signals, settings, counters

    def _on_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        logging.error("%s", context.get("message"), exc_info=error)
        if isinstance(error, AssertionError):
            logging.flush()
            os._exit(EX_SOFTWARE)  # an invariant is violated: the state of this process cannot be trusted

    def _on_stop_signal(self) -> None:
        logging.info("stopping on a signal")
        self.node.begin_shutdown()
        loop = asyncio.get_running_loop()
        if self.settings.front is None:
            loop.call_later(IDLE_CHECK_INTERVAL_S, self._exit_when_idle)
            return
        for server in self._servers:
            server.drain()
        now = loop.time()
        self._drain(now + ROUTE_REMOVAL_DELAY_S, now + self.settings.seconds("graceS") - GRACE_MARGIN_S)

    def _exit_when_idle(self) -> None:
        """Exit once idle: at once, unless a control-plane node waits for another one to vote in its place."""
        if self.node.is_idle:
            self._exit_requested.set()
        else:
            asyncio.get_running_loop().call_later(IDLE_CHECK_INTERVAL_S, self._exit_when_idle)

    def _drain(self, routed_until_s: float, deadline_s: float) -> None:
        """Exit at the deadline, or once no request is open and the platform no longer routes clients here."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        open_requests = sum(server.open_requests for server in self._servers)
        is_drained = now >= routed_until_s and open_requests == 0 and self.node.is_idle
        if now >= deadline_s or is_drained:
            for server in self._servers:
                server.stop()
            self._exit_requested.set()
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
        """Apply seeds and bounds from the settings file; an invalid file is ignored."""
        self._stamp = self._file_stamp()
        found = read_settings_file(self._path)
        if isinstance(found, Err):
            logging.error("ignoring the settings file: %s", "; ".join(map(str, found.err_value)))
            return
        self.settings = found.ok_value
        self.node.update_settings(found.ok_value)

    def _log_counters(self) -> None:
        asyncio.get_running_loop().call_later(COUNTERS_INTERVAL_S, self._log_counters)
        counters = self.node.counters
        logging.info(
            "counters: %s", " ".join(f"{key}={value}" for key, value in sorted(counters.items())) or "none"
        )


def _post_to_running_loop() -> Callable[[Callable[[], None]], None]:
    """Return a function that schedules a callback on the running loop from another thread."""
    loop = asyncio.get_running_loop()

    def post(callback: Callable[[], None]) -> None:
        """Schedule a callback on the loop; does nothing if the loop is closed."""
        with contextlib.suppress(RuntimeError):  # the loop is closed: nothing waits for the outcome
            loop.call_soon_threadsafe(callback)

    return post


def main(path: str, transport_type: type[PeerTransport] = PeerTransport) -> int:
    """Read the settings file and run the node.

    :param transport_type: the transport for peer messages.
    :returns: the exit code; `EX_BAD_SETTINGS` if the file is invalid, after printing its errors.
    """
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    found = read_settings_file(path)
    if isinstance(found, Err):
        print("\n".join(map(str, found.err_value)), file=sys.stderr)
        return EX_BAD_SETTINGS
    settings = found.ok_value

    async def serve() -> int:
        """Run the node until it exits; returns the exit code."""
        return await NodeProcess(settings, path, transport_type).run()

    return asyncio.run(serve())


def run_configured_node() -> int:
    """Run the node described by the settings file that the environment names; returns the exit code."""
    return main(os.environ.get(SETTINGS_FILE_VARIABLE, DEFAULT_SETTINGS_FILE))
