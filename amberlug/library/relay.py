"""The relay as a library: the daemon's core in the host's event loop."""

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
from amberlug.http.calls import HttpTransport
from amberlug.learning import DISK_SHARE_DIVISOR, open_learning
from amberlug.library.claims import CLAIMS, Claim
from amberlug.library.endpoints import Discovery, Endpoints
from amberlug.library.loop_delay import LoopDelay
from amberlug.library.messages import (
    AcknowledgedError,
    BadMessageError,
    Message,
    RefusedError,
    RelayClosedError,
)
from amberlug.library.observers import IsolatedObserver
from amberlug.library.outcomes import OnEnd, OutcomeReporter
from amberlug.library.taken import Taken
from amberlug.library.transport import Deliver, HostTransport
from amberlug.platform.confirmation import ListConfirmation
from amberlug.platform.discovery import STARTUP_WAIT_S
from amberlug.policy.interface import Settings

CLOSE_GRACE_S = 3.0  # time that `close` waits for outstanding calls
CLOSE_POLL_S = 0.01  # interval between two checks for them
DecisionCallback = Callable[[Refusal | None], None]


class _State(Enum):
    NEW = "not open yet"
    OPEN = "open"
    CLOSED = "closed"


class Submission:
    """A pending submission, until its message is accepted or refused."""

    def __init__(
        self, relay: Relay, claim: Claim | None, message: core.Message, tell: DecisionCallback
    ) -> None:
        self._relay, self._claim, self._on_decision = relay, claim, tell
        self.message = message
        self.settled = False

    def settle(self, refusal: Refusal | None) -> None:
        """Record the decision; called by the core."""
        self.settled = True
        if self._claim is not None:
            CLAIMS.settle(self._claim, None if refusal is not None else self._relay.opened(self.message))
        self._on_decision(refusal)

    def withdraw(self) -> None:
        """Release the claim before there is a decision."""
        if self._claim is not None:
            CLAIMS.withdraw(self._claim)


class Relay:
    """A relay in this process, on its own folder; it is bound to the event loop that opens it.

    It decides, journals and calls like the daemon, with the same guarantees. `settings` define classes, kinds
    and limits; `folder` must persist across restarts; `endpoints` provide the endpoints. Without a custom
    `transport` it calls over HTTP/1.1, on at most `connections` connections. `on_end` is awaited with each
    outcome, which counts as acknowledged when it returns; if it raises, it is called again later.
    `disk_bytes` bounds the size of the folder; `durability` determines which failures an accepted message
    survives. An `observer` is passed each event and decision, in a later iteration of the loop.
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
        self._state = _State.NEW

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def open(self) -> None:
        """Open the folder and resume its messages; a closed relay may be opened again.

        Raises `FolderInUseError` if another relay of any process has the folder open, `OSError` if it cannot
        be used, and `ValueError` if the list of endpoints is invalid.
        """
        if self._state is _State.OPEN:
            raise RuntimeError("the relay is already open")
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
            self._outcomes = OutcomeReporter(self._on_end, self._ended)
            self._transport = (
                HttpTransport(self.settings, self._connections, self._clock)
                if self._deliver is None
                else HostTransport(self._deliver, self._clock)
            )
            observer = None if self._observer is None else IsolatedObserver(self._observer)
            self._node = Node(
                self.settings,
                self._seed,
                self._journal,
                self._learning,
                self._transport,
                self._outcomes,
                self._clock,
                observer,
            )
            if isinstance(self._endpoints, Discovery):
                self._endpoints.confirms(self._node.current, ListConfirmation(self._folder, self._clock))
            self._endpoints.start(self.settings, self._node.listing)
            stack.callback(self._endpoints.stop)
            if isinstance(self._endpoints, Discovery):
                # Prevents first calls to endpoints that began to drain while the process was down.
                await self._endpoints.tried(STARTUP_WAIT_S)
            for held in list(self._journal.held.values()):
                self._claim_restored(held)
            self._loop_delay = LoopDelay()
            stack.callback(self._loop_delay.stop)
            self._state = _State.OPEN
            self._node.restore()
            stack.pop_all()

    async def close(self, grace: float = CLOSE_GRACE_S) -> None:
        """Accept no messages and start no calls; wait at most `grace` seconds for outstanding calls.

        Messages that would lose too much value by waiting are handed back. The rest are resumed when the
        folder is opened again. Does nothing if the relay is not open. Cancelling it closes the relay at once.
        """
        if self._state is not _State.OPEN:
            return
        self._lock.check()
        try:
            if not self._node.closing:
                self._node.close()
            until = self._loop.time() + grace
            while (self._transport.busy or self._outcomes.callback_running) and self._loop.time() < until:
                await asyncio.sleep(CLOSE_POLL_S)
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Close at once: outstanding calls are abandoned and may have been executed."""
        if self._state is not _State.OPEN:
            return
        self._lock.check()
        if not self._node.closing:
            self._node.close()
        self._node.stop()
        self._state = _State.CLOSED
        self._transport.abandon()
        self._endpoints.stop()
        self._loop_delay.stop()
        self._outcomes.close()
        self._learning.close()
        self._journal.close()
        self._lock.release()

    async def hand_in(self, message: Message) -> Taken:
        """Submit a message; returns once it is in the journal and thus guaranteed an outcome.

        Raises `RefusedError` if it was not accepted, with the seconds after which to retry; `BadMessageError`
        if it is invalid; `AcknowledgedError` if it was accepted before and its outcome is acknowledged. A
        message that this process has submitted before, to this or another relay, is identified by its id or
        by its key within its class and not accepted twice: the handle of the first submission is returned. If
        this is cancelled, the message is withdrawn, unless `find` returns it: then it was accepted.
        """
        self._check_usable()
        now_ms = self._clock.wall_ms()
        held, left_us = message.checked(self.settings, now_ms)
        if not self._node.serves(held.destination):
            raise BadMessageError(
                f"destination {held.destination!r} is unknown: no endpoint of it was ever listed"
            )
        if (taken := self._find_accepted(held, now_ms)) is not None:
            return taken
        told: asyncio.Future[Refusal | None] = self._loop.create_future()

        def tell(refusal: Refusal | None) -> None:
            """Wake the submitter with the refusal, or with None if the message was accepted."""
            if not told.done():  # done if cancelled and not yet withdrawn: an accepted message stays
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
        """The message with that id, also from before a restart, until its outcome is acknowledged."""
        self._check_usable()
        return self._outcomes.find(name)

    def unclaimed(self) -> list[End]:
        """All unacknowledged outcomes, those from before a restart first."""
        self._check_usable()
        return self._outcomes.unclaimed()

    def acknowledge(self, name: str) -> None:
        """Acknowledge the outcome of the message with that id; unknown ids are ignored."""
        self._check_usable()
        self._outcomes.acknowledge(name)

    # For protocol front ends such as the ASGI middleware, which submit decoded requests.

    def serves(self, destination: int) -> bool:
        """Whether an endpoint of that destination was ever listed."""
        return self._node.serves(destination)

    def wall_ms(self) -> int:
        """Unix time in milliseconds, by the relay's clock."""
        return self._clock.wall_ms()

    @property
    def is_open(self) -> bool:
        """Whether the relay is open."""
        return self._state is _State.OPEN

    def admit(self, message: core.Message, left_us: int, tell: DecisionCallback) -> Submission:
        """Submit a validated message; `tell` is called once, unless the submission is withdrawn.

        The id of a message that was accepted before is reported as accepted, as by the daemon.
        """
        claim = None
        if not self._node.knows(message.name):
            claim = CLAIMS.claim(message, self._lock.inode, self._clock.wall_ms())
            if claim is None:
                hand_in = Submission(self, None, message, tell)
                hand_in.settle(Refusal(Reason.ELSEWHERE, CLOSED_RETRY_US))
                return hand_in
        hand_in = Submission(self, claim, message, tell)
        self._node.hand_in(message, left_us, self._loop_delay.waited_us(), hand_in)
        return hand_in

    def withdraw(self, hand_in: Submission) -> None:
        """Withdraw a submission; does nothing once it is settled."""
        if hand_in.settled or self._state is not _State.OPEN:
            return
        if self._node.knows(hand_in.message.name):  # already in the journal, waiting for its sync only
            self.opened(hand_in.message)
            return
        self._node.client_disconnected(hand_in)
        hand_in.withdraw()

    def opened(self, message: core.Message) -> Taken:
        """The handle of an accepted message; created if there is none."""
        taken = self._outcomes.find(message.name)
        if taken is None:
            taken = Taken(message.name, self._acknowledge)
            self._outcomes.opened(taken)
        return taken

    def _check_usable(self) -> None:
        if self._state is not _State.OPEN:
            raise RelayClosedError(f"the relay is {self._state.value}")
        self._lock.check()
        if threading.get_ident() != self._thread:
            raise RuntimeError("the relay belongs to another thread; use BlockingRelay")

    def check_process(self) -> None:
        """Raise `ForkedError` in a child of the process that opened the relay."""
        if self._state is _State.OPEN:
            self._lock.check()

    def _find_accepted(self, message: core.Message, now_ms: int) -> Taken | None:
        """The handle of a message that was accepted before, or None."""
        claim = CLAIMS.find(message, now_ms)
        if claim is not None and claim.taken is not None and not claim.taken.closed:
            return claim.taken
        if not self._node.knows(message.name):
            return None
        if (taken := self._outcomes.find(message.name)) is not None:
            return taken
        raise AcknowledgedError(
            f"message {message.name!r} was accepted before, and its outcome is acknowledged"
        )

    def _claim_restored(self, held: PendingMessage) -> None:
        """Claim a message from before a restart; give it up untried if another relay has claimed it."""
        message = held.message
        taken = self.opened(message)
        if held.end is not None and held.end.outcome is Outcome.HANDED_BACK:
            return
        claim = CLAIMS.claim(message, self._lock.inode, self._clock.wall_ms())
        if claim is not None:
            CLAIMS.settle(claim, taken)
        elif held.end is None:
            log(f"message {message.name} was submitted to another relay in the meantime; given up here")
            held.end = End(message.name, Outcome.GIVEN_UP)
            self._journal.owe(message, held.end)

    def _ended(self, end: End) -> None:
        CLAIMS.ended(self._lock.inode, end)

    def _acknowledge(self, name: str) -> None:
        """Acknowledge an outcome; may be called from any thread."""
        if threading.get_ident() == self._thread:
            self._outcomes.acknowledge(name)
        elif not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._outcomes.acknowledge, name)
