"""In-memory state of a relay: endpoints, calls, messages and destinations. Contains no decisions."""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from amberlug.policy.account import Account
from amberlug.policy.interface import Action, Entry, MessageClass, Timer
from amberlug.policy.membership import Members

NEVER = -(1 << 62)
MAX_COMPETING = 64  # destinations waiting for a slot that compete for it at a time, in turn


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint: its connections, its health and the state of its cold-start limit."""

    entry: Entry
    account: Account
    starts: deque[int] = field(default_factory=deque)  # start times of recent calls
    out: int = 0
    idle: deque[int] = field(default_factory=deque)  # last use of each idle connection
    table_size: int = 0  # connections it had when it accepted no more; assumed until `table_full_until`
    table_full_until: int = NEVER
    full_tables: int = 0  # consecutive refusals by a full connection table
    idle_keep_us: int = 0  # how long an idle connection is kept if many relays share the connection table
    close_timer_set: bool = False  # whether a timer to close idle connections is set
    last_failure_us: int = NEVER
    last_success_us: int = NEVER
    may_have_run: bool = False  # the call that failed last may have been executed
    failure_rate: float = 0.0  # moving average over recent outcomes
    cold: bool = False  # down, or recovered and not yet warmed up
    outage_since_us: int = NEVER  # when the outage was detected
    jitter: float = 1.0  # random jitter factor, drawn at each failure
    recovered_us: int | None = None  # first success since the last failure, while cold

    def forget_idle(self, until_us: int) -> None:
        """Drop connections last used at that time or before: they were closed as idle."""
        while self.idle and self.idle[0] <= until_us:
            self.idle.popleft()


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: one reservation, one slot (none for a probe), `left` messages unanswered."""

    endpoint: Endpoint
    start_us: int
    left: int
    slot: int


@dataclass(slots=True, eq=False)
class Message:
    """A message this relay is responsible for; `worth` is its value if delivered within its target time."""

    ref: int
    kind: MessageClass
    destination: Destination
    key: str | None
    deadline_us: int
    worth: float
    attempts: int = 0
    out: dict[int, Call] = field(default_factory=dict)
    ran: list[Call] = field(default_factory=list)  # attempts that may have been executed

    @property
    def aim_us(self) -> int:
        """End of the target time, within which it has its full value."""
        return self.deadline_us - self.kind.deadline_us + self.kind.aim_us

    def worth_at(self, at_us: int, halving: bool) -> float:
        """Value of the message if it is answered at that time."""
        if at_us >= self.deadline_us:
            return 0.0
        kind = self.kind
        late_for, over = (
            kind.deadline_us - kind.aim_us,
            at_us - self.deadline_us + kind.deadline_us - kind.aim_us,
        )
        if over <= 0:
            return self.worth
        if halving:
            return float(self.worth * max(kind.late_worth, 0.5 ** (over / max(1, kind.aim_us))))
        return self.worth * (1 - (1 - kind.late_worth) * over / max(1, late_for))

    def possibly_executed(self) -> list[Call]:
        """Attempts that may have been executed, including those in flight."""
        return [*self.ran, *self.out.values()]


@dataclass(slots=True, eq=False)
class Destination:
    """State of one destination: endpoints, rate limit accounts, queued messages and its only timer."""

    number: int
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    waiting: dict[int, Message] = field(default_factory=dict)
    timer_us: int = 0
    held: int = 0  # number of its messages and of its calls in flight
    used_us: int = NEVER  # when one of those last began or ended
    eviction_check_us: int = NEVER  # time of the next check whether it can be evicted
    gone: bool = False  # whether no endpoint is listed for it any more
    # endpoints with restored state that are not listed yet
    restored_unlisted: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class RelayState:
    """State that a relay keeps from one step to the next."""

    now: int = 0
    slots_out: int = 0
    actions: list[Action] = field(default_factory=list)
    members: Members = field(default_factory=Members)
    destinations: dict[int, Destination] = field(default_factory=dict)  # those in use
    endpoints: dict[str, Endpoint] = field(default_factory=dict)  # of the destinations in use
    # times of eviction checks, with the number
    eviction_checks: deque[tuple[int, int]] = field(default_factory=deque)
    summaries: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # summaries of evicted destinations
    summary_expiries: deque[tuple[int, int]] = field(default_factory=deque)
    unsaved: dict[int, None] = field(default_factory=dict)  # destinations with unsaved state
    # those of them to save soon, after a health change
    unsaved_urgent: dict[int, None] = field(default_factory=dict)
    messages: dict[int, Message] = field(default_factory=dict)
    calls: dict[tuple[int, int], tuple[Message, Call]] = field(default_factory=dict)
    probes: dict[str, Call] = field(default_factory=dict)
    affected: dict[Destination, None] = field(default_factory=dict)  # to be served in this step
    fastest_new_us: dict[str, int] = field(default_factory=dict)  # fastest answer with a handshake, by zone
    small_table_kinds: set[str] = field(default_factory=set)  # kinds with a connection table found full
    # endpoints whose connection became idle now
    newly_idle: dict[Endpoint, None] = field(default_factory=dict)
    waiting_for_slot: OrderedDict[Destination, None] = field(default_factory=OrderedDict)
    overdue_us: int | None = None  # when the next call becomes overdue, once computed in this step
    timers: dict[int, Message | Endpoint | int | None] = field(default_factory=dict)
    labels: Iterator[int] = field(default_factory=itertools.count)
    key_queues: dict[str, list[Message]] = field(default_factory=dict)  # messages of each ordering key, FIFO
    # end of each key's quiet time, earliest first
    key_quiet_until: dict[str, int] = field(default_factory=dict)
    # until when each tenant's quota is used up
    quota_used_until: dict[str, int] = field(default_factory=dict)

    def set_timer(self, at_us: int, target: Message | Endpoint | int | None) -> None:
        """Set a timer for a message, an endpoint, a destination's number or the endpoint list (None)."""
        label = next(self.labels)
        self.timers[label] = target
        self.actions.append(Timer(label, max(1, at_us - self.now)))

    def set_destination_timer(self, destination: Destination, at_us: int) -> None:
        """Set a destination's timer, unless it expires earlier already."""
        if not self.now < destination.timer_us <= at_us:
            destination.timer_us = max(at_us, self.now + 1)
            self.set_timer(destination.timer_us, destination.number)

    def start_call(self, endpoint: Endpoint, messages: int, slot: int) -> Call:
        """Register a call that starts now, on an idle connection if there is one."""
        call = Call(endpoint, self.now, messages, slot)
        endpoint.account.reserved[call] = None
        endpoint.starts.append(self.now)
        endpoint.out += 1
        to = self.destinations[endpoint.entry.destination]
        to.held, to.used_us = to.held + 1, self.now
        self.slots_out += slot
        if endpoint.idle:
            endpoint.idle.pop()
        return call

    def end_call(self, call: Call, reusable: bool) -> None:
        """Release the resources of a call; its connection becomes idle if it is reusable."""
        call.endpoint.out -= 1
        to = self.destinations[call.endpoint.entry.destination]
        to.held, to.used_us = to.held - 1, self.now
        if reusable:
            call.endpoint.idle.append(self.now)
            self.newly_idle[call.endpoint] = None
        self.slots_out -= call.slot
        for _ in range(min(MAX_COMPETING, len(self.waiting_for_slot))):
            self.affected[self.waiting_for_slot.popitem(last=False)[0]] = None

    def discard_endpoint(self, name: str) -> None:
        """Discard the state of an endpoint that accepts no new calls."""
        if (endpoint := self.endpoints.pop(name, None)) is not None:
            to = self.destinations[endpoint.entry.destination]
            del to.endpoints[name]
            to.accounts.pop(name, None)  # a route's own account goes with it, a shared account stays

    def register_message(self, message: Message) -> None:
        """Register an accepted message and append it to the queue of its key."""
        to = message.destination
        self.messages[message.ref] = to.waiting[message.ref] = message
        to.held, to.used_us = to.held + 1, self.now
        if message.key is not None:
            self.key_queues.setdefault(message.key, []).append(message)
        self.affected[to] = None

    def discard_message(self, message: Message) -> None:
        """Discard a finished message; the next one of its key may go once no attempt is in flight."""
        if self.messages.pop(message.ref, None) is not None:
            message.destination.held -= 1
            message.destination.used_us = self.now
        message.destination.waiting.pop(message.ref, None)
        if not message.out:
            self.affected.update((other.destination, None) for other in self.leave_key_queue(message))

    def leave_key_queue(self, message: Message) -> list[Message]:
        """Remove a message from the queue of its key; returns the messages left in it."""
        if message.key is None:
            return []
        self.key_queues[message.key].remove(message)
        return self.key_queues[message.key] or self.key_queues.pop(message.key)

    def start_key_quiet_time(self, key: str, until_us: int) -> None:
        """Start the quiet time of a key, and discard quiet times that have ended."""
        self.key_quiet_until = {
            other: until for other, until in self.key_quiet_until.items() if until > self.now
        }
        self.key_quiet_until[key] = until_us
