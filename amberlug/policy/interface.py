"""Settings, events and actions of the decision module, in the field's own terms.

All times are integer microseconds. Clock times count from no particular moment and only grow.
Nothing here decides anything.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a message may do at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which endpoints of a destination drop a repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the list says of an endpoint; it tells nothing of its health."""

    IN = "in"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a piece of news of the list is to be read."""

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
    SPOILT = "spoilt"  # an answer that can't be read: it may have run, and tells nothing of the endpoint
    CALLED_OFF = "called off"
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of message: its times, its worth and what its repeats may do."""

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
    """One tenant and the messages a second, over all relays, that are within its share."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination."""

    name: str
    bundle_max: int
    apart: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a relay is told at its start."""

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
    """One endpoint in a list; `where` is its address, which decides nothing."""

    endpoint: str
    zone: str
    kind: str
    destination: int
    state: State
    rate: float
    where: str = ""
    up_since_ms: int = 0  # when it last started, Unix time; 0 for long ago


@dataclass(frozen=True, slots=True)
class Listed:
    """News of the list of endpoints."""

    kind: ListKind
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Current:
    """The list is the newest that there is; calls may go by it for `for_us` from now, until it is again."""

    for_us: int


@dataclass(frozen=True, slots=True)
class Taken:
    """A new message that this relay now answers for; it may have waited to be read for `waited_us`."""

    ref: int
    destination: int
    message_class: str
    tenant: str | None
    key: str | None
    left_us: int
    waited_us: int = 0


@dataclass(frozen=True, slots=True)
class Earlier:
    """An attempt made before a restart; without a result where none was recorded."""

    endpoint: str
    ago_us: int
    result: Result | None


@dataclass(frozen=True, slots=True)
class Resumed:
    """A message that this relay had taken before its restart and still answers for."""

    taken: Taken
    attempts: int
    earlier: tuple[Earlier, ...]


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """What is known of an endpoint's health; times by the relay's clock. `entry` is what was listed of it."""

    entry: Entry
    cold: bool  # in an outage, or back and not yet warm
    since_us: int
    failed_us: int
    done_us: int
    back_us: int | None
    failure_rate: float
    swallows: bool  # its last failure may have run
    spread: float
    starts: tuple[int, ...]  # of late calls to a cold one, the oldest first


@dataclass(frozen=True, slots=True)
class KnownRoute:
    """What is known of a destination's limit, pace and told waits.

    `route` names the endpoint where the destination's are routes apart, else it is empty.
    """

    route: str
    usual_us: int
    pace: float
    pace_us: int
    learned: float  # infinite without a limit
    learned_us: int
    blocked_until_us: int = 0
    told_us: int = 0  # the last told wait, however long ago: another may be as long


@dataclass(frozen=True, slots=True)
class Known:
    """What is known of a destination from before, or to be kept for later; times by the relay's clock."""

    destination: int
    routes: tuple[KnownRoute, ...] = ()
    endpoints: tuple[KnownEndpoint, ...] = ()


Recall = Callable[[int, tuple[Entry, ...]], Known | None]
"""Asked when a destination wakes of which nothing is kept: what is believed of it, as it is listed now."""


@dataclass(frozen=True, slots=True)
class Closing:
    """The relay is about to end and starts no more calls; it comes back with what it holds."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended; `report` holds the values named in the settings, if any came.

    `reused` tells that its connection had carried another call before.
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
class Probed:
    """How a probe ended."""

    endpoint: str
    result: Result
    took_us: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody wants this message any more."""

    ref: int


@dataclass(frozen=True, slots=True)
class Due:
    """A timer came due."""

    label: int


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A note from another relay."""

    peer: int
    data: bytes


Event = Listed | Current | Taken | Resumed | Closing | Outcome | Probed | Withdrawn | Due | PeerNote


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message; the attempt is abandoned at `until_us`.

    Sends of a round to one endpoint with the same `call` travel together, and have the same time. A `fresh`
    one goes on a new connection, in place of one that idles.
    """

    ref: int
    endpoint: str
    until_us: int
    call: int
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a message undelivered; its client may safely come again."""

    ref: int
    advice_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message without a promise; its client does not come again."""

    ref: int


@dataclass(frozen=True, slots=True)
class CallOff:
    """Stop waiting for one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Ask for a `Due` event after a while."""

    label: int
    after_us: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint; it counts there as a call."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a note to one relay, or to every one (`None`)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask once for the whole list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for those on call."""

    text: str


Action = Send | Refuse | Fail | CallOff | Timer | Probe | CloseIdle | Tell | Subscribe | Fetch | Log
