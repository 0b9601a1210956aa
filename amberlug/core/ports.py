"""What the core wants of the world around it: time, calls, somebody to tell ends to, a durable log.

Each port has one owner, the `Node`, and is used from its one thread. None of these methods may block.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.core.messages import Attempt, End, Ending, Message, Refusal
from amberlug.policy import interface as api

Address = tuple[str, int]


class Handle(Protocol):
    """Something that is to happen later."""

    def cancel(self) -> None:
        """Have it not happen; no harm once it has."""


class Clock(Protocol):
    """The one clock: it never goes back."""

    def now_us(self) -> int:
        """Microseconds from no particular moment."""

    def wall_ms(self) -> int:
        """Unix time in milliseconds: only what must hold across restarts counts by it."""

    @property
    def boot(self) -> str:
        """Which run of the machine `now_us` counts from the start of; empty where that is not known."""

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Handle:
        """Call back at that time or soon after, never before and never at once."""


class Calls(Protocol):
    """What a transport tells the core."""

    def clear(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Which of these may still leave; they are recorded, and count as made from now on."""

    @property
    def waits(self) -> bool:
        """Whether records outlast what they should only some time after they were made."""

    def after(self, callback: Callable[[], object], attempts: Sequence[Attempt]) -> None:
        """Call back once all records of these do, or never will: then none of them may leave."""

    def left_s(self, attempts: Sequence[Attempt]) -> float:
        """Seconds until the first of these is out of time."""

    def still(self, attempts: Sequence[Attempt]) -> list[Attempt]:
        """Which of these, that were recorded, may leave now."""

    def ended(self, attempt: Attempt, how: Ending) -> None:
        """Report an attempt's one end."""


class Transport(Protocol):
    """Makes calls to endpoints: each attempt gets one end, whatever happens."""

    @property
    def busy(self) -> bool:
        """Whether a call is out."""

    def bind(self, calls: Calls) -> None:
        """Learn whom to ask and to tell, before anything else."""

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Make one call with one or more messages; a fresh one on a new connection."""

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its end is reported as any other."""

    def probe(self, endpoint: str, ended: Callable[[Ending], None]) -> None:
        """Ask an endpoint whether it is well."""

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Learn where an endpoint is and of which kind, or that it wants nothing new."""

    def close_idle(self, endpoint: str) -> None:
        """Close the connections to an endpoint that carry no call."""


class Ends(Protocol):
    """Whom the ends of messages are told to."""

    @property
    def waiting(self) -> bool:
        """Whether an end is still to be acknowledged, and may be soon."""

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Learn whom to tell, by the message's name, that an end has arrived."""

    def owed(self, end: End) -> bool:
        """Whether this end must be acknowledged, and be told again until it is."""

    def tell(self, end: End) -> None:
        """Take an end that is in the journal, to be told with others of its round."""

    def send(self) -> None:
        """Tell now what this round has brought."""


class Observer(Protocol):
    """Sees each event and decision. It must neither raise nor change what it is shown."""

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """See what the module was told, and what it decided."""

    def taken(self, message: Message) -> None:
        """See a message that is in the journal from now on, and owed an end."""

    def attempt(self, attempt: Attempt) -> None:
        """See an attempt that is recorded and about to leave."""

    def outcome(self, attempt: Attempt, how: Ending) -> None:
        """See how an attempt ended."""

    def ended(self, message: Message, end: End) -> None:
        """See the one end of a message."""


@dataclass(slots=True)
class Tried:
    """An attempt before the restart, with its result if that was recorded."""

    endpoint: str
    at_ms: int
    result: api.Result | None = None


@dataclass(slots=True)
class Held:
    """A message that the journal holds: to be sent on, or with its end still to be acknowledged."""

    message: Message
    tried: dict[int, Tried] = field(default_factory=dict)
    end: End | None = None
    taken_ms: int = 0  # wall clock when it was taken on; 0 where that is not known

    def left_ms(self, now_ms: int) -> int:
        """How long it has left: never longer than it had, also where the clock was set back meanwhile."""
        left = self.message.deadline_ms - now_ms
        return min(left, self.message.deadline_ms - self.taken_ms) if self.taken_ms else left


@dataclass(frozen=True, slots=True)
class Wait:
    """A wait that an endpoint told: whom it binds, how long it was, and until when by the clock of a boot."""

    destination: int
    route: str  # the endpoint where its destination's are routes apart; else empty
    length_us: int
    until_us: int
    boot: str

    def left_us(self, now_us: int, boot: str) -> int:
        """How long it still runs; the whole of it where this clock does not go on with that one."""
        # Guards against a wall clock that was set: by it a wait could be cut short, or last for a week.
        # Could do harm after the machine itself started again: a wait that is over by then runs once more.
        if not boot or boot != self.boot:
            return self.length_us
        return min(self.length_us, max(0, self.until_us - now_us))


@dataclass(frozen=True, slots=True)
class Seen:
    """What an earlier release kept of an endpoint in an outage or of a limit; times by its clock."""

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
class Earlier:
    """What a journal of an earlier release tells of outages, limits and told waits, and when that was."""

    wall_ms: int = 0
    clock_us: int = 0
    seen: tuple[Seen, ...] = ()
    waits: tuple[Wait, ...] = ()


class Learning(Protocol):
    """What is kept of partners beyond a life. What it can't keep it keeps later; it raises nothing."""

    def recall(self, destination: int, entries: tuple[api.Entry, ...]) -> api.KnownDestination | None:
        """What is believed of a destination, whose endpoints are listed like this now."""

    def take_over(self, earlier: Earlier, listed: Callable[[str], api.Entry | None]) -> None:
        """Go on with what an earlier release kept, unless something is known; by what is listed now."""

    def observe(self, known: Sequence[api.KnownDestination]) -> None:
        """Keep what was learned of some destinations."""

    def answered(self, destination: int, took_us: int) -> None:
        """Count an answer time, which is kept with what is next observed there."""

    def reused(self, destination: int, endpoint: str, idle_us: int, reset: bool) -> None:
        """Count a call on a connection that had idled for so long, and whether it was reset."""

    def sent(self, tenant: str | None) -> None:
        """Count a message that a tenant handed in."""

    def told(self, wait: Wait) -> None:
        """Keep a told wait, at once: it binds the next life too."""

    def give_way(self) -> None:
        """Leave the disk to the journal, which has no room."""

    def work(self) -> int | None:
        """Do a millisecond of what is due: in how many microseconds to be called again, if at all."""


class Journal(Protocol):
    """The durable log. What it can't record raises `OSError` where that must stop what follows."""

    @property
    def held(self) -> dict[str, Held]:
        """What an earlier life left, until the core has gone on with it."""

    @property
    def earlier(self) -> Earlier:
        """What an earlier release kept here of partners."""

    def knows(self, name: str) -> bool:
        """Whether a message with that name was taken on, and its time may not be up."""

    def fits(self, size: int) -> bool:
        """Whether a message with a body of that size can be held."""

    def retry_us(self, size: int) -> int:
        """When a message that does not fit may come again."""

    def take(self, message: Message, now_ms: int) -> None:
        """Record a message before it is answered for; `OSError` where it is not recorded."""

    def reply(self, message: Message) -> None:
        """Record where a message's end is to be told; `OSError` where it is not recorded."""

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        """Record an attempt before its first byte goes out; `OSError` where it is not recorded."""

    def outcome(self, attempt: Attempt, how: Ending) -> None:
        """Record how an attempt ended."""

    def owe(self, message: Message, end: End) -> None:
        """Record an end that is still to be acknowledged."""

    def end(self, name: str, until_ms: int, now_ms: int, how: End | None = None) -> None:
        """Record that nothing more is owed for a message, and how it ended."""

    def ended(self, name: str) -> End | None:
        """How a message ended whose name still counts, where that is known."""

    @property
    def waits(self) -> bool:
        """Whether what is recorded outlasts what it should only later."""

    def after(
        self, callback: Callable[[], object], name: str, never: Callable[[], object] | None = None
    ) -> None:
        """Call back once all that was recorded of a message does; at once where it does already.

        Where it never will, since another relay goes on with that message, `never` is called if it is given.
        """

    def refuses(self, message: Message) -> Refusal | None:
        """Why a message can't be held as it should; None where it can."""

    def promise(self, message: Message, kept: Callable[[], object], broken: Callable[[bool], object]) -> None:
        """Call `kept` once a message that was taken outlasts what it should: its client may be told so.

        Else `broken`, with whether its client may be told that it was not taken on; it is forgotten here.
        """

    def work(self) -> int | None:
        """Do a millisecond of what is due: in how many microseconds to be called again, if at all."""


@dataclass(slots=True)
class News:
    """Entries of the list, which may be read as they are asked for; each has its address.

    `revision`, and whether the list is whole, are known once all entries have been read. Reading them may
    raise `ValueError`: then nothing of the news counts.
    """

    entries: Iterable[api.Entry]
    revision: int = 0
    whole: bool = False
