"""Run one relay: wire its parts, reread the configuration on SIGHUP, end well on SIGTERM."""

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
from amberlug.core.ports import Clock, Ends, Transport
from amberlug.http.calls import HttpTransport
from amberlug.http.server import Server
from amberlug.learning import SHARE, open_learning
from amberlug.platform.config import Config, read_config
from amberlug.platform.discovery import ASK_FOR, Watch
from amberlug.platform.heard import Heard
from amberlug.platform.memory import give_back
from amberlug.platform.notices import Notices
from amberlug.platform.pauses import Pauses
from amberlug.platform.trace import Trace
from amberlug.platform.turns import Turns
from amberlug.policy.interface import Settings

OPEN_FOR = 0.6  # seconds after SIGTERM that connections are still taken: they go on coming for 0.4 s
COLLECT_FOR = 3.0  # seconds after SIGTERM for calls that are out: SIGKILL comes at 3.7 s
LOOK_AGAIN = 0.02
BACKLOG = 512
DISK_SHARE = 0.9  # of the folder's room for the journal; over it the relay is ended
YOUNG = 10_000  # new objects between looks for garbage in cycles, of which a message leaves few
ACCEPTS = 16  # connections accepted in one turn of the loop


class Front(Protocol):
    """A further way in and out, beside HTTP."""

    def transport(self, others: Transport) -> Transport:
        """Take the place of the transport; what is not for this front is passed on."""

    def ends(self, notices: Ends) -> Ends:
        """Take the place of the notices; what is not for this front is passed on."""

    async def start(self, node: Node) -> None:
        """Begin to take messages on; `OSError` where that can't be."""

    def close(self) -> None:
        """Take nothing on any more."""

    def stop(self) -> None:
        """Let go of everything."""


class Guard(Protocol):
    """What has others hold what is taken on here."""

    def journal(self, inner: Journal) -> ports.Journal:
        """Take the place of the journal."""

    async def start(self, node: Node) -> None:
        """Begin to talk to others; `OSError` where that can't be."""

    async def stop(self) -> None:
        """Tell them that this relay goes, and let go of everything."""


MakeFront = Callable[[Settings, Clock], Front]
MakeGuard = Callable[[Path, Settings, Clock], Guard]


async def serve(
    config: Config, turns: Turns, make_front: MakeFront | None = None, make_guard: MakeGuard | None = None
) -> None:
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    stop, moved = asyncio.Event(), asyncio.Event()
    # Guards against a signal that comes before there is a watch to move, which would end the process.
    loop.add_signal_handler(signal.SIGHUP, moved.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    away = any(config.state.iterdir())  # an earlier process was here
    lock = FolderLock(config.state, lambda: not loop.is_closed())
    clock = LoopClock()
    room = int(config.limits.disk_bytes * DISK_SHARE)
    own = open_journal(config.state, room - room // SHARE, clock, config.durability)
    guard = None if make_guard is None else make_guard(config.state, config.settings, clock)
    journal = own if guard is None else guard.journal(own)
    learning = open_learning(config.state, room // SHARE, clock, config.durability, config.learning_key)
    pauses = Pauses(config.settings.relays, config.settings.drain_grace_us / SECOND)
    caller, notices = HttpTransport(config.settings, config.limits.links, clock), Notices(config.discovery)
    front = None if make_front is None else make_front(config.settings, clock)
    transport = caller if front is None else front.transport(caller)
    ends = notices if front is None else front.ends(notices)
    observer = Trace(config.settings) if os.environ.get("AMBERLUG_TRACE") == "log" else None
    node = Node(config.settings, config.seed, journal, learning, transport, ends, clock, observer)
    node.listed(config.known)
    heard = Heard(config.state, clock)
    node.current(pauses.good_at_first(away, heard.age_s()))

    def confirmed() -> None:
        node.current(pauses.good_for())
        heard.note()

    watch = Watch(
        config.discovery, config.settings.kinds, config.known.revision, node.listing, pauses, confirmed
    )
    watch.start()
    # Guards against first calls to what began to drain while no process was here.
    await watch.tried(ASK_FOR)
    if guard is not None:
        await guard.start(node)
    node.restore()
    server = Server(config.settings, node, clock.wall_ms, turns.waited_us, config.limits.clients)
    sock = socket.create_server(
        config.listen, family=socket.AF_INET6 if ":" in config.listen[0] else socket.AF_INET
    )
    # asyncio accepts as many in one turn as its backlog tells, before one of them can be given up again.
    listener = await loop.create_server(server, sock=sock, backlog=ACCEPTS)
    sock.listen(BACKLOG)
    loop.add_signal_handler(signal.SIGHUP, reread, watch, notices)
    notices.start()
    if moved.is_set():
        reread(watch, notices)
    # Guards against collections that look through all modules again and again, and hold up the loop.
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG)
    if front is not None:
        await front.start(node)
    log(f"ready on {config.listen[0]}:{config.listen[1]}")
    await stop.wait()
    server.closing = True
    node.close()
    if front is not None:
        front.close()
    started = loop.time()
    while loop.time() < started + OPEN_FOR or (node.busy and loop.time() < started + COLLECT_FOR):
        await asyncio.sleep(LOOK_AGAIN)
    listener.close()
    server.close_idle()
    await asyncio.sleep(LOOK_AGAIN)  # a request that is being read is answered first
    watch.stop()
    notices.stop()
    if front is not None:
        front.stop()
    if guard is not None:
        await guard.stop()
    node.keep()
    learning.close()
    lock.release()


def reread(watch: Watch, notices: Notices) -> None:
    """Go on at the address that the file names now, with all that is held; limits wait for the next start."""
    try:
        config = read_config(os.environ)
    except (ValueError, OSError) as error:
        # Guards against ending on a file that is bad or half written: the old configuration serves.
        log(f"configuration not reread: {plain(error)}")
        return
    watch.move(config.discovery)
    notices.move(config.discovery)


def plain(error: Exception) -> str:
    """Say an error in one line."""
    return str(error).replace("\n", " ")


def main(make_front: MakeFront | None = None, make_guard: MakeGuard | None = None) -> int:
    """Run the relay; 0 after SIGTERM, 2 after one plain line on what it can't be started with."""
    logging.basicConfig(stream=sys.stderr, format="%(message)s")
    LOGGER.setLevel(logging.INFO)
    give_back()
    try:
        config, turns = read_config(os.environ), Turns()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
            runner.run(serve(config, turns, make_front, make_guard))
    except (ValueError, OSError) as error:
        print(f"amberlug: {plain(error)}", file=sys.stderr)
        return 2
    return 0
