"""Settings, events and actions of the sender state machine.

All times are integer microseconds. Clock times are monotonic with an arbitrary origin. This module defines
data only and has no logic.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a message may be sent again: always, while its idempotency key is remembered, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which endpoints of a destination deduplicate a repeated keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """Listing state of an endpoint; independent of its health."""

    IN = "in"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Type of an endpoint list update."""

    PATCH = "patch"
    WHOLE = "whole"
    STALE = "stale"
    BROKEN = "broken"


class Result(Enum):
    """How an attempt or a probe ended."""

    DONE = "done"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    RESET = "reset"
    SPOILT = "spoilt"  # unreadable answer: the message may have been executed; no health signal
    CALLED_OFF = "called off"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One message class: its time limits, its value and whether it may be repeated."""

    name: str
    effect: Effect
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float
    group: Group
    key_life_us: int
    keep_order: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quota in messages per second, over all relays."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination: its batch size and whether its endpoints have separate limits."""

    name: str
    bundle_max: int
    apart: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a relay, fixed at its start."""

    relays: int
    ordinal: int
    zone: str
    classes: Mapping[str, MessageClass]
    tenants: Mapping[str, Tenant]
    kinds: Mapping[str, Kind]
    fees: Mapping[str, float]
    slots: int
    max_open: int
    most_attempts: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    may_tell_peers: bool
    may_advise: bool
    max_advice_us: int
    idle_us: int
    dial_us: int
    asks: bool
    rates_listed: bool
    rates_rough: bool
    halving: bool
    over_share_worth: float
    refusal_cost: float
    report_names: tuple[str, ...]
    answer_slack_us: int
    ask_within_us: int
    drain_grace_us: int
    cold_share: float
    warm_us: int
    overload_factor: float
    overload_us: int
    key_quiet_us: int
    granularity_us: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One listed endpoint; `where` is its address, which no decision uses."""

    endpoint: str
    zone: str
    kind: str
    destination: int
    state: State
    rate: float
    where: str = ""
    up_since_ms: int = 0  # last start as Unix time; 0 if long ago


@dataclass(frozen=True, slots=True)
class Listed:
    """An update of the endpoint list."""

    kind: ListKind
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ListConfirmed:
    """Confirmation that the endpoint list is up to date; it stays valid for `for_us` from now."""

    for_us: int


@dataclass(frozen=True, slots=True)
class Taken:
    """A new message that this relay is now responsible for; it was queued for `waited_us` before."""

    ref: int
    destination: int
    message_class: str
    tenant: str | None
    key: str | None
    left_us: int
    waited_us: int = 0


@dataclass(frozen=True, slots=True)
class Earlier:
    """An attempt made before a restart; `result` is None if none was recorded."""

    endpoint: str
    ago_us: int
    result: Result | None


@dataclass(frozen=True, slots=True)
class Resumed:
    """A message accepted before a restart that this relay is still responsible for."""

    taken: Taken
    attempts: int
    earlier: tuple[Earlier, ...]


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """Known health of an endpoint, with times on the relay's clock; `entry` is its last list entry."""

    entry: Entry
    cold: bool  # in an outage, or recovered and not yet warmed up
    outage_since_us: int
    last_failure_us: int
    last_success_us: int
    recovered_us: int | None
    failure_rate: float
    may_have_run: bool  # the call that failed last may have been executed
    jitter: float
    starts: tuple[int, ...]  # start times of recent calls to a cold endpoint, oldest first


@dataclass(frozen=True, slots=True)
class KnownRoute:
    """Known rate limit, throughput and Retry-After waits of a destination or of one of its routes.

    `route` is the endpoint's name if the endpoints of the destination have separate limits, else it is empty.
    """

    route: str
    usual_us: int
    throughput: float
    throughput_us: int
    learned: float  # infinite if no limit is known
    learned_us: int
    blocked_until_us: int = 0
    last_retry_after_us: int = 0  # length of the last Retry-After wait, however old: the next may be as long


@dataclass(frozen=True, slots=True)
class KnownDestination:
    """Known state of a destination, restored or to be persisted; times on the relay's clock."""

    destination: int
    routes: tuple[KnownRoute, ...] = ()
    endpoints: tuple[KnownEndpoint, ...] = ()


KnownStateLookup = Callable[[int, tuple[Entry, ...]], KnownDestination | None]
"""Looks up persisted state for a destination that has none in memory, given its current list entries."""


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The relay is shutting down and starts no more calls; it keeps its messages over the restart."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt; `report` holds the load values named in the settings, if any were sent.

    `reused` is set if its connection had carried another call before.
    """

    ref: int
    attempt: int
    endpoint: str
    result: Result
    ended: bool
    took_us: int
    wait_us: int
    report: tuple[float, ...]
    reused: bool = False


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe."""

    endpoint: str
    result: Result
    took_us: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has withdrawn this message."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer expired."""

    label: int


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A note from another relay."""

    peer: int
    data: bytes


Event = (
    Listed
    | ListConfirmed
    | Taken
    | Resumed
    | ShutdownStarted
    | Outcome
    | ProbeResult
    | Withdrawn
    | TimerExpired
    | PeerNote
)


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message; the attempt is abandoned at `until_us`.

    Sends of one step to the same endpoint with the same `call` form one batch and share `until_us`. A `fresh`
    send uses a new connection instead of an idle one.
    """

    ref: int
    endpoint: str
    until_us: int
    call: int
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a message undelivered; its client may safely retry."""

    ref: int
    advice_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message whose outcome is unknown; its client must not retry."""

    ref: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Request a `TimerExpired` event after `after_us`."""

    label: int
    after_us: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an endpoint; the endpoint counts it as a call."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a note to one relay, or to all relays (`None`)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request the whole endpoint list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for operators."""

    text: str


Action = (
    Send | Refuse | Fail | CancelAttempt | Timer | Probe | CloseIdle | SendToPeer | Subscribe | Fetch | Log
)
