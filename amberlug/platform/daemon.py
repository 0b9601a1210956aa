"""Runs one relay: wires its components, reloads the configuration on SIGHUP, stops gracefully on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from amberlug.core import ports
from amberlug.core.clock import SECOND, LoopClock
from amberlug.core.journal import Journal, open_journal
from amberlug.core.lock import FolderLock
from amberlug.core.log import LOGGER, log
from amberlug.core.node import Node
from amberlug.core.ports import Clock, OutcomeNotifier, Transport
from amberlug.http.calls import HttpTransport
from amberlug.http.server import Server
from amberlug.learning import DISK_SHARE_DIVISOR, open_learning
from amberlug.platform.backoff import DiscoveryBackoff
from amberlug.platform.config import Config, read_config
from amberlug.platform.confirmation import ListConfirmation
from amberlug.platform.discovery import STARTUP_WAIT_S, Watch
from amberlug.platform.loop_lag import LoopLagSelector
from amberlug.platform.memory import return_freed_memory
from amberlug.platform.notices import NoticeSender
from amberlug.platform.trace import Trace
from amberlug.policy.interface import Settings

ACCEPT_AFTER_STOP_S = 0.6  # seconds after SIGTERM to keep accepting connections: new ones arrive for 0.4 s
CALLS_TIMEOUT_S = 3.0  # seconds after SIGTERM for calls in flight to end: SIGKILL follows at 3.7 s
STOP_POLL_S = 0.02  # seconds between checks while stopping
BACKLOG = 512
USABLE_DISK_FRACTION = 0.9  # of the disk limit; the deployment ends a relay that exceeds the limit
GC_THRESHOLD = 10_000  # new objects between runs of the cycle collector; messages create few cycles
ACCEPTS_PER_ITERATION = 16  # connections accepted in one iteration of the event loop


class ProtocolFrontend(Protocol):
    """A further protocol for messages in and out, beside HTTP."""

    def transport(self, others: Transport) -> Transport:
        """Wrap the transport; calls that are not for this protocol are passed to `others`."""

    def ends(self, notices: OutcomeNotifier) -> OutcomeNotifier:
        """Wrap the notices; those that are not for this protocol are passed on."""

    async def start(self, node: Node) -> None:
        """Start accepting messages; raises `OSError` if that fails."""

    def close(self) -> None:
        """Stop accepting messages."""

    def stop(self) -> None:
        """Close all connections and release all resources."""


class Replicator(Protocol):
    """Replicates accepted messages to other relays."""

    def journal(self, inner: Journal) -> ports.Journal:
        """Wrap the journal."""

    async def start(self, node: Node) -> None:
        """Start communicating with the other relays; raises `OSError` if that fails."""

    async def stop(self) -> None:
        """Announce to the others that this relay leaves, and release all resources."""


FrontendFactory = Callable[[Settings, Clock], ProtocolFrontend]
ReplicatorFactory = Callable[[Path, Settings, Clock], Replicator]


async def serve(
    config: Config,
    selector: LoopLagSelector,
    make_frontend: FrontendFactory | None = None,
    make_replicator: ReplicatorFactory | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop, reload_requested = asyncio.Event(), asyncio.Event()
    # A SIGHUP that arrives before the watch exists would otherwise end the process.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    restarted = any(config.state.iterdir())  # an earlier process used this directory
    lock = FolderLock(config.state, lambda: not loop.is_closed())
    clock = LoopClock()
    disk_bytes = int(config.limits.disk_bytes * USABLE_DISK_FRACTION)
    local_journal = open_journal(
        config.state, disk_bytes - disk_bytes // DISK_SHARE_DIVISOR, clock, config.durability
    )
    replicator = None if make_replicator is None else make_replicator(config.state, config.settings, clock)
    journal = local_journal if replicator is None else replicator.journal(local_journal)
    learning = open_learning(
        config.state, disk_bytes // DISK_SHARE_DIVISOR, clock, config.durability, config.learning_key
    )
    backoff = DiscoveryBackoff(config.settings.relays, config.settings.drain_grace_us / SECOND)
    caller = HttpTransport(config.settings, config.limits.endpoint_connections, clock)
    notices = NoticeSender(config.discovery)
    frontend = None if make_frontend is None else make_frontend(config.settings, clock)
    transport = caller if frontend is None else frontend.transport(caller)
    end_receiver = notices if frontend is None else frontend.ends(notices)
    observer = Trace(config.settings) if os.environ.get("AMBERLUG_TRACE") == "log" else None
    node = Node(config.settings, config.seed, journal, learning, transport, end_receiver, clock, observer)
    node.listed(config.known)
    confirmation = ListConfirmation(config.state, clock)
    node.current(backoff.initial_list_validity_s(restarted, confirmation.age_s()))

    def confirmed() -> None:
        """Extend the validity of the list and store the time of its confirmation."""
        node.current(backoff.list_validity_s())
        confirmation.record()

    watch = Watch(
        config.discovery, config.settings.kinds, config.known.revision, node.listing, backoff, confirmed
    )
    watch.start()
    # Avoids first calls to endpoints that began to drain while no process was running.
    await watch.wait_attempted(STARTUP_WAIT_S)
    if replicator is not None:
        await replicator.start(node)
    node.restore()
    server = Server(
        config.settings, node, clock.wall_ms, selector.waited_us, config.limits.client_connections
    )
    listen_socket = socket.create_server(
        config.listen, family=socket.AF_INET6 if ":" in config.listen[0] else socket.AF_INET
    )
    # In one iteration asyncio accepts up to `backlog` connections, before any of them can be closed again.
    listener = await loop.create_server(server, sock=listen_socket, backlog=ACCEPTS_PER_ITERATION)
    listen_socket.listen(BACKLOG)
    loop.add_signal_handler(signal.SIGHUP, reload_config, watch, notices)
    notices.start()
    if reload_requested.is_set():
        reload_config(watch, notices)
    # Keeps the collector from repeatedly scanning all loaded modules, which blocks the event loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    if frontend is not None:
        await frontend.start(node)
    log(f"ready on {config.listen[0]}:{config.listen[1]}")
    await stop.wait()
    server.closing = True
    node.close()
    if frontend is not None:
        frontend.close()
    started = loop.time()
    accept_until, calls_until = started + ACCEPT_AFTER_STOP_S, started + CALLS_TIMEOUT_S
    while loop.time() < accept_until or (node.busy and loop.time() < calls_until):
        await asyncio.sleep(STOP_POLL_S)
    listener.close()
    server.close_idle()
    await asyncio.sleep(STOP_POLL_S)  # lets a request that is being read be answered first
    watch.stop()
    notices.stop()
    if frontend is not None:
        frontend.stop()
    if replicator is not None:
        await replicator.stop()
    node.save_learned()
    learning.close()
    lock.release()


def reload_config(watch: Watch, notices: NoticeSender) -> None:
    """Switch to discovery's address in the file and keep all state; new limits apply from the next start."""
    try:
        config = read_config(os.environ)
    except (ValueError, OSError) as error:
        # An invalid or partially written file must not end the process: the old configuration stays in use.
        log(f"configuration not reloaded, the previous one stays in use: {one_line(error)}")
        return
    watch.change_address(config.discovery)
    notices.change_address(config.discovery)


def one_line(error: Exception) -> str:
    """Format an error as a single line."""
    return str(error).replace("\n", " ")


def main(
    make_frontend: FrontendFactory | None = None, make_replicator: ReplicatorFactory | None = None
) -> int:
    """Run the relay; returns 0 after SIGTERM, 2 after a one-line message if it can't be started."""
    logging.basicConfig(stream=sys.stderr, format="%(message)s")
    LOGGER.setLevel(logging.INFO)
    return_freed_memory()
    try:
        config, selector = read_config(os.environ), LoopLagSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(serve(config, selector, make_frontend, make_replicator))
    except (ValueError, OSError) as error:
        print(f"amberlug: {one_line(error)}", file=sys.stderr)
        return 2
    return 0
