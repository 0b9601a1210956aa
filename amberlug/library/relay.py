"""The relay as a library: the daemon's core in a host's own loop."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import threading
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from types import TracebackType
from typing import Self

from amberlug.core import messages as core
from amberlug.core.clock import LoopClock
from amberlug.core.journal import Durability, open_journal
from amberlug.core.lock import FolderLock
from amberlug.core.log import log
from amberlug.core.messages import End, Outcome, Reason, Refusal
from amberlug.core.node import CLOSED_RETRY_US, Node
from amberlug.core.ports import Observer, PendingMessage
from amberlug.http.calls import Caller
from amberlug.learning import DISK_SHARE_DIVISOR, open_learning
from amberlug.library.claims import CLAIMS, Claim
from amberlug.library.desk import Desk, OnEnd
from amberlug.library.endpoints import Discovery, Endpoints
from amberlug.library.lag import Lag
from amberlug.library.messages import (
    AcknowledgedError,
    BadMessageError,
    Message,
    RefusedError,
    RelayClosedError,
)
from amberlug.library.observers import Shielded
from amberlug.library.taken import Taken
from amberlug.library.transport import Deliver, HostTransport
from amberlug.platform.confirmation import ListConfirmation
from amberlug.platform.discovery import STARTUP_WAIT_S
from amberlug.policy.interface import Settings

GRACE = 3.0  # seconds that `close` waits for calls that are out
LOOK_AGAIN = 0.01
Tell = Callable[[Refusal | None], None]


class _Phase(Enum):
    NEW = "not open yet"
    OPEN = "open"
    CLOSED = "closed"


class HandIn:
    """One hand-in that waits to hear whether its message was taken on."""

    def __init__(self, relay: Relay, claim: Claim | None, message: core.Message, tell: Tell) -> None:
        self._relay, self._claim, self._tell = relay, claim, tell
        self.message = message
        self.settled = False

    def settle(self, refusal: Refusal | None) -> None:
        """Hear it from the core."""
        self.settled = True
        if self._claim is not None:
            CLAIMS.settle(self._claim, None if refusal is not None else self._relay.opened(self.message))
        self._tell(refusal)

    def withdraw(self) -> None:
        """Leave before it was heard."""
        if self._claim is not None:
            CLAIMS.withdraw(self._claim)


class Relay:
    """A relay in this process, on a folder of its own; it belongs to the loop that opens it.

    It decides, journals and calls as the daemon does, and keeps the same rules. `settings` tell classes,
    kinds and limits; `folder` outlasts the process; `endpoints` tell where messages go. Without a `transport`
    of the host's own it calls over HTTP/1.1, on `connections` at most. `on_end` is awaited with each end,
    which counts as acknowledged when it returns; one that raises is called again later. `disk_bytes` bounds
    the folder; `durability` tells what a message that was taken on outlasts. An `observer` is shown each
    event and decision, a turn of the loop later.
    """

    def __init__(
        self,
        settings: Settings,
        folder: Path | str,
        endpoints: Endpoints,
        *,
        transport: Deliver | None = None,
        on_end: OnEnd | None = None,
        seed: int | None = None,
        connections: int = 256,
        disk_bytes: int = 64_000_000,
        durability: Durability = Durability.PROCESS,
        observer: Observer | None = None,
    ) -> None:
        self.settings = settings
        self._folder, self._endpoints = Path(folder), endpoints
        self._deliver, self._on_end = transport, on_end
        self._seed = secrets.randbits(64) if seed is None else seed
        self._connections, self._disk_bytes, self._observer = connections, disk_bytes, observer
        self._durability = durability
        self._phase = _Phase.NEW

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def open(self) -> None:
        """Open the folder and go on with what it holds; one that was closed may be opened again.

        Raises `FolderInUseError` where another relay has it, in any process, `OSError` where it can't be
        used, and `ValueError` where the list of endpoints is bad.
        """
        if self._phase is _Phase.OPEN:
            raise RuntimeError("the relay is open already")
        self._loop, self._thread = asyncio.get_running_loop(), threading.get_ident()
        loop = self._loop
        self._folder.mkdir(parents=True, exist_ok=True)
        with contextlib.ExitStack() as stack:
            self._lock = FolderLock(self._folder, lambda: not loop.is_closed())
            stack.callback(self._lock.release)
            self._clock = LoopClock()
            part = self._disk_bytes // DISK_SHARE_DIVISOR
            self._journal = open_journal(self._folder, self._disk_bytes - part, self._clock, self._durability)
            stack.callback(self._journal.close)
            self._learning = open_learning(self._folder, part, self._clock, self._durability)
            stack.callback(self._learning.close)
            self._desk = Desk(self._on_end, self._ended)
            self._transport = (
                Caller(self.settings, self._connections, self._clock)
                if self._deliver is None
                else HostTransport(self._deliver, self._clock)
            )
            observer = None if self._observer is None else Shielded(self._observer)
            self._node = Node(
                self.settings,
                self._seed,
                self._journal,
                self._learning,
                self._transport,
                self._desk,
                self._clock,
                observer,
            )
            if isinstance(self._endpoints, Discovery):
                self._endpoints.confirms(self._node.current, ListConfirmation(self._folder, self._clock))
            self._endpoints.start(self.settings, self._node.listing)
            stack.callback(self._endpoints.stop)
            if isinstance(self._endpoints, Discovery):
                # Guards against first calls to what began to drain while no process was here.
                await self._endpoints.tried(STARTUP_WAIT_S)
            for held in list(self._journal.held.values()):
                self._claim_held(held)
            self._lag = Lag()
            stack.callback(self._lag.stop)
            self._phase = _Phase.OPEN
            self._node.restore()
            stack.pop_all()

    async def close(self, grace: float = GRACE) -> None:
        """Take nothing on and start no calls; wait for those that are out, `grace` seconds at most.

        What would lose too much by waiting is handed back. The rest goes on when the folder is opened again.
        No harm where the relay is not open. Cancelling it closes at once.
        """
        if self._phase is not _Phase.OPEN:
            return
        self._lock.check()
        try:
            if not self._node.closing:
                self._node.close()
            until = self._loop.time() + grace
            while (self._transport.busy or self._desk.calling) and self._loop.time() < until:
                await asyncio.sleep(LOOK_AGAIN)
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Close at once: calls that are out are given up, and may have run."""
        if self._phase is not _Phase.OPEN:
            return
        self._lock.check()
        if not self._node.closing:
            self._node.close()
        self._node.stop()
        self._phase = _Phase.CLOSED
        self._transport.abandon()
        self._endpoints.stop()
        self._lag.stop()
        self._desk.close()
        self._learning.close()
        self._journal.close()
        self._lock.release()

    async def hand_in(self, message: Message) -> Taken:
        """Hand a message in; returns once it is in the journal, and so owed its end.

        Raises `RefusedError` where it was not taken on, with the seconds after which to come again;
        `BadMessageError` where it never can be; `AcknowledgedError` where it was, and its end is
        acknowledged. A message that this process has handed in already, here or to another relay, by its id
        or by its key in its class, is not taken on twice: what is returned belongs to the first. Where this
        is cancelled, the message was withdrawn, unless `find` has it: then it was taken on.
        """
        self._check()
        now_ms = self._clock.wall_ms()
        held, left_us = message.checked(self.settings, now_ms)
        if not self._node.serves(held.destination):
            raise BadMessageError(f"no endpoint of destination {held.destination!r} was ever listed")
        if (taken := self._known(held, now_ms)) is not None:
            return taken
        told: asyncio.Future[Refusal | None] = self._loop.create_future()

        def tell(refusal: Refusal | None) -> None:
            if not told.done():  # cancelled, and not yet withdrawn: what was taken on stays
                told.set_result(refusal)

        hand_in = self.admit(held, left_us, tell)
        try:
            refusal = await told
        except asyncio.CancelledError:
            self.withdraw(hand_in)
            raise
        if refusal is not None:
            raise RefusedError(refusal.reason, refusal.retry_us / 1e6)
        return self.opened(held)

    def find(self, name: str) -> Taken | None:
        """The message with that id, if it is held or its end not acknowledged; also of an earlier life."""
        self._check()
        return self._desk.find(name)

    def unclaimed(self) -> list[End]:
        """All ends that nobody has acknowledged, those of earlier lives first."""
        self._check()
        return self._desk.unclaimed()

    def acknowledge(self, name: str) -> None:
        """Say that the end of the message with that id was seen; one that is not known is passed over."""
        self._check()
        self._desk.acknowledge(name)

    # For fronts, which hand in what they read from a wire.

    def serves(self, destination: int) -> bool:
        """Whether a list has named that destination."""
        return self._node.serves(destination)

    def wall_ms(self) -> int:
        """Unix time in milliseconds, by the relay's clock."""
        return self._clock.wall_ms()

    @property
    def is_open(self) -> bool:
        return self._phase is _Phase.OPEN

    def admit(self, message: core.Message, left_us: int, tell: Tell) -> HandIn:
        """Hand a message in that was checked; `tell` hears once what becomes of it, unless it is withdrawn.

        The id of one that was taken on before is told as taken on, as by the daemon.
        """
        claim = None
        if not self._node.knows(message.name):
            claim = CLAIMS.claim(message, self._lock.inode, self._clock.wall_ms())
            if claim is None:
                hand_in = HandIn(self, None, message, tell)
                hand_in.settle(Refusal(Reason.ELSEWHERE, CLOSED_RETRY_US))
                return hand_in
        hand_in = HandIn(self, claim, message, tell)
        self._node.hand_in(message, left_us, self._lag.waited_us(), hand_in)
        return hand_in

    def withdraw(self, hand_in: HandIn) -> None:
        """Take a hand-in back; one that has been settled stays."""
        if hand_in.settled or self._phase is not _Phase.OPEN:
            return
        if self._node.knows(hand_in.message.name):  # in the journal already, and only waiting for its sync
            self.opened(hand_in.message)
            return
        self._node.client_disconnected(hand_in)
        hand_in.withdraw()

    def opened(self, message: core.Message) -> Taken:
        """What stands for a message that was taken on."""
        taken = self._desk.find(message.name)
        if taken is None:
            taken = Taken(message.name, self._acknowledge)
            self._desk.opened(taken)
        return taken

    def _check(self) -> None:
        if self._phase is not _Phase.OPEN:
            raise RelayClosedError(f"the relay is {self._phase.value}")
        self._lock.check()
        if threading.get_ident() != self._thread:
            raise RuntimeError("the relay belongs to another thread; see BlockingRelay")

    def check_process(self) -> None:
        """Raise `ForkedError` in a child of the process that opened the relay."""
        if self._phase is _Phase.OPEN:
            self._lock.check()

    def _known(self, message: core.Message, now_ms: int) -> Taken | None:
        """What stands for a message that this process has had before."""
        holder = CLAIMS.holder(message, now_ms)
        if holder is not None and holder.taken is not None and not holder.taken.closed:
            return holder.taken
        if not self._node.knows(message.name):
            return None
        if (taken := self._desk.find(message.name)) is not None:
            return taken
        raise AcknowledgedError(f"message {message.name!r} was taken on before, and its end acknowledged")

    def _claim_held(self, held: PendingMessage) -> None:
        """Claim what an earlier life took on; what another relay has meanwhile is given up untried."""
        message = held.message
        taken = self.opened(message)
        if held.end is not None and held.end.outcome is Outcome.HANDED_BACK:
            return
        claim = CLAIMS.claim(message, self._lock.inode, self._clock.wall_ms())
        if claim is not None:
            CLAIMS.settle(claim, taken)
        elif held.end is None:
            log(f"message {message.name} was handed to another relay meanwhile: given up here")
            held.end = End(message.name, Outcome.GIVEN_UP)
            self._journal.owe(message, held.end)

    def _ended(self, end: End) -> None:
        CLAIMS.ended(self._lock.inode, end)

    def _acknowledge(self, name: str) -> None:
        """Acknowledge from whichever thread waits."""
        if threading.get_ident() == self._thread:
            self._desk.acknowledge(name)
        elif not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._desk.acknowledge, name)
