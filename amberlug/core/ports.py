"""Interfaces between the core and its environment: clock, transport, outcome delivery and durable journal.

Each of them belongs to one `Node` and is used from that node's thread only. No method may block.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.core.messages import Attempt, AttemptResult, End, Message, Refusal
from amberlug.policy import interface as api

Address = tuple[str, int]


class Handle(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback; does nothing if it has already run."""


class Clock(Protocol):
    """The monotonic clock and timers."""

    def now_us(self) -> int:
        """Monotonic time in microseconds, from an arbitrary epoch."""

    def wall_ms(self) -> int:
        """Unix time in milliseconds, used only for times that must remain valid across restarts."""

    @property
    def boot(self) -> str:
        """ID of the machine boot that `now_us` counts from; empty if unknown."""

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Handle:
        """Run a callback at or shortly after that time, never earlier and never synchronously."""


class Calls(Protocol):
    """Callbacks from a transport to the core."""

    def clear(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Record and return the attempts that may still be sent; from now on they count as made."""

    @property
    def waits(self) -> bool:
        """Whether records become durable only some time after they were written."""

    def after(self, callback: Callable[[], object], attempts: Sequence[Attempt]) -> None:
        """Run a callback once all records of these are durable or can't become so.

        In the second case none of the attempts may be sent.
        """

    def left_s(self, attempts: Sequence[Attempt]) -> float:
        """Seconds until the earliest time limit among these attempts."""

    def may_still_send(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Return which of these recorded attempts may be sent now."""

    def ended(self, attempt: Attempt, how: AttemptResult) -> None:
        """Report how an attempt ended, exactly once."""


class Transport(Protocol):
    """Makes calls to endpoints and reports exactly one result for each attempt."""

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""

    def bind(self, calls: Calls) -> None:
        """Set the callbacks; called before any other method."""

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Make one call with one or more messages, on a new connection if `fresh`."""

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its result is reported like any other."""

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Check an endpoint's health."""

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Set an endpoint's address and kind; None if it accepts no new calls."""

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections to an endpoint."""


class OutcomeNotifier(Protocol):
    """Delivers final outcomes to the senders of messages."""

    @property
    def waiting(self) -> bool:
        """Whether an acknowledgement is outstanding and may arrive soon."""

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Set the callback for acknowledged outcomes; its argument is the message's name."""

    def owed(self, end: End) -> bool:
        """Whether this outcome must be repeated until it is acknowledged."""

    def tell(self, end: End) -> None:
        """Queue an outcome that is in the journal, to be sent with the others of its round."""

    def send(self) -> None:
        """Send the queued outcomes now."""


class Observer(Protocol):
    """Observes events and decisions. It must neither raise nor modify its arguments."""

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Called with the delivery policy's input events and the resulting actions."""

    def taken(self, message: Message) -> None:
        """Called when a message has been written to the journal; it will get an outcome."""

    def attempt(self, attempt: Attempt) -> None:
        """Called when an attempt has been recorded and is about to be sent."""

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Called when an attempt has ended."""

    def ended(self, message: Message, end: End) -> None:
        """Called once for each message, with its final outcome."""


@dataclass(slots=True)
class PreviousAttempt:
    """An attempt made before the restart, with its result if that was recorded."""

    endpoint: str
    at_ms: int
    result: api.Result | None = None


@dataclass(slots=True)
class PendingMessage:
    """A message recovered from the journal: undelivered, or with an unacknowledged outcome."""

    message: Message
    tried: dict[int, PreviousAttempt] = field(default_factory=dict)
    end: End | None = None
    taken_ms: int = 0  # Unix time of acceptance; 0 if unknown

    def left_ms(self, now_ms: int) -> int:
        """Milliseconds until the deadline, at most the original time limit even if the clock was set back."""
        left = self.message.deadline_ms - now_ms
        return min(left, self.message.deadline_ms - self.taken_ms) if self.taken_ms else left


@dataclass(frozen=True, slots=True)
class RequestedPause:
    """A pause that an endpoint asked for: its scope, length, and end by the monotonic clock of a boot."""

    destination: int
    route: str  # the endpoint if the destination's endpoints are separate routes; otherwise empty
    length_us: int
    until_us: int
    boot: str

    def left_us(self, now_us: int, boot: str) -> int:
        """Remaining length; the full length if `now_us` does not continue the clock of that boot."""
        # The wall clock is not used: a change to it could cut a pause short or extend it to a week. The
        # cost is that after a reboot of the machine a pause that had already passed is observed once more.
        if not boot or boot != self.boot:
            return self.length_us
        return min(self.length_us, max(0, self.until_us - now_us))


@dataclass(frozen=True, slots=True)
class LegacyEndpointState:
    """State of an endpoint outage or limit, as saved by an earlier release; times by that release's clock."""

    endpoint: str
    cold: bool
    since_us: int
    failed_us: int
    done_us: int
    back_us: int | None
    failure_rate: float
    swallows: bool
    learned: float
    learned_us: int


@dataclass(frozen=True, slots=True)
class LegacyState:
    """Outages, limits and requested pauses in a journal of an earlier release, and when they were saved."""

    wall_ms: int = 0
    clock_us: int = 0
    seen: tuple[LegacyEndpointState, ...] = ()
    waits: tuple[RequestedPause, ...] = ()


class LearningStore(Protocol):
    """Persists what was learned about partners. Failed writes are retried later; no method raises."""

    def recall(self, destination: int, entries: tuple[api.Entry, ...]) -> api.KnownDestination | None:
        """Return what is known about a destination, given its current endpoint list."""

    def take_over(self, earlier: LegacyState, listed: Callable[[str], api.Entry | None]) -> None:
        """Import the state of an earlier release, unless newer state exists; `listed` finds endpoints."""

    def observe(self, known: Sequence[api.KnownDestination]) -> None:
        """Save what was learned about some destinations."""

    def answered(self, destination: int, took_us: int) -> None:
        """Count a response time; it is saved with the destination's next observation."""

    def reused(self, destination: int, endpoint: str, idle_us: int, reset: bool) -> None:
        """Count a call on a reused connection, its idle time, and whether it was reset."""

    def sent(self, tenant: str | None) -> None:
        """Count a message submitted by a tenant."""

    def told(self, wait: RequestedPause) -> None:
        """Save a requested pause immediately: it also applies after a restart."""

    def free_disk_space(self) -> None:
        """Free disk space for the journal, which has run out of it."""

    def work(self) -> int | None:
        """Do a millisecond of what is due: in how many microseconds to be called again, if at all."""


class Journal(Protocol):
    """The durable log. A failed write raises `OSError` where the operation must not go ahead without it."""

    @property
    def held(self) -> dict[str, PendingMessage]:
        """Messages recovered at startup, until the core has resumed them."""

    @property
    def earlier(self) -> LegacyState:
        """State of partners that an earlier release kept in the journal."""

    def knows(self, name: str) -> bool:
        """Whether a message with that name was accepted and may not have reached its deadline."""

    def fits(self, size: int) -> bool:
        """Whether there is space for a message with a body of that size."""

    def retry_us(self, size: int) -> int:
        """Microseconds after which a message that did not fit may be retried."""

    def take(self, message: Message, now_ms: int) -> None:
        """Record a message before its acceptance is confirmed; `OSError` if it was not recorded."""

    def reply(self, message: Message) -> None:
        """Record a message's reply address; `OSError` if it was not recorded."""

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        """Record an attempt before its first byte is sent; `OSError` if it was not recorded."""

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Record how an attempt ended."""

    def owe(self, message: Message, end: End) -> None:
        """Record an outcome that has yet to be acknowledged."""

    def end(self, name: str, until_ms: int, now_ms: int, how: End | None = None) -> None:
        """Record that a message is complete, and its outcome."""

    def ended(self, name: str) -> End | None:
        """The outcome of a completed message whose name is still remembered, if known."""

    @property
    def waits(self) -> bool:
        """Whether records become durable only some time after they were written."""

    def after(
        self, callback: Callable[[], object], name: str, never: Callable[[], object] | None = None
    ) -> None:
        """Run a callback once all records of a message are durable; synchronously if they already are.

        If they can't become durable because another relay has taken the message over, `never` runs instead.
        """

    def refuses(self, message: Message) -> Refusal | None:
        """Why a message can't be stored with the configured durability; None if it can."""

    def promise(self, message: Message, kept: Callable[[], object], broken: Callable[[bool], object]) -> None:
        """Run `kept` once an accepted message is durable, so that the client can be told.

        Otherwise run `broken`, with whether the client may be told that the message was not accepted; the
        journal no longer holds the message then.
        """

    def work(self) -> int | None:
        """Do a millisecond of what is due: in how many microseconds to be called again, if at all."""


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list, whose entries may be parsed lazily; each has its address.

    `revision` and `whole` (a full list instead of changes) are set once all entries have been read. Reading
    them may raise `ValueError`; the whole update is then invalid.
    """

    entries: Iterable[api.Entry]
    revision: int = 0
    whole: bool = False
