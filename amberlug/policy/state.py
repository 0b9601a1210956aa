"""What a relay remembers of endpoints, calls and messages. Nothing here decides anything."""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from amberlug.policy.account import Account
from amberlug.policy.interface import Action, Entry, MessageClass, Timer
from amberlug.policy.membership import Members

NEVER = -(1 << 62)
TURNS = 64  # of those that wait for a slot, so many are weighed against each other at once: a turn each


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint: connections at hand, health, and what the bound on a cold one needs."""

    entry: Entry
    account: Account
    starts: deque[int] = field(default_factory=deque)  # starts of late calls
    out: int = 0
    idle: deque[int] = field(default_factory=deque)  # when each idle connection was last used
    table: int = 0  # connections it had when it would take no more, believed until `table_until`
    table_until: int = NEVER
    unmet: int = 0  # full tables met in a row
    keep_us: int = 0  # how long an idle connection is kept where many relays share a table
    closing: bool = False  # whether a timer looks after what idles
    failed_us: int = NEVER
    done_us: int = NEVER
    swallows: bool = False  # its last failure may have run
    failure_rate: float = 0.0  # of late outcomes
    cold: bool = False  # down, or back and not yet warm
    since_us: int = NEVER  # when it came to look like an outage
    spread: float = 1.0  # drawn at each failure
    back_us: int | None = None  # first success since the last failure, while cold

    def forget_idle(self, until_us: int) -> None:
        """Forget connections that have been closed for being idle since then."""
        while self.idle and self.idle[0] <= until_us:
            self.idle.popleft()


@dataclass(slots=True, eq=False)
class Call:
    """One call out: one reservation, one slot (a probe needs none), `left` messages unanswered."""

    endpoint: Endpoint
    start_us: int
    left: int
    slot: int


@dataclass(slots=True, eq=False)
class Message:
    """A message this relay answers for; `worth` is what it brings within its aim."""

    ref: int
    kind: MessageClass
    destination: Destination
    key: str | None
    deadline_us: int
    worth: float
    attempts: int = 0
    out: dict[int, Call] = field(default_factory=dict)
    ran: list[Call] = field(default_factory=list)  # attempts that may have run

    @property
    def aim_us(self) -> int:
        """When the time in which it is worth most is over."""
        return self.deadline_us - self.kind.deadline_us + self.kind.aim_us

    def worth_at(self, at_us: int, halving: bool) -> float:
        """Worth still to be had by an answer at that time."""
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

    def exposed(self) -> list[Call]:
        """Attempts that may have run, those still out among them."""
        return [*self.ran, *self.out.values()]


@dataclass(slots=True, eq=False)
class Destination:
    """What waits for one destination, common to its routes' accounts, and its one timer."""

    number: int
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    waiting: dict[int, Message] = field(default_factory=dict)
    timer_us: int = 0
    held: int = 0  # messages held for it, and calls out to it
    used_us: int = NEVER  # when one of those last began or ended
    look_us: int = NEVER  # when it is next looked at whether it sleeps
    gone: bool = False  # no endpoint is listed there any more
    awaited: set[str] = field(default_factory=set)  # endpoints of which something is believed, not yet listed


@dataclass(slots=True, eq=False)
class Records:
    """All that a relay keeps of one round to the next."""

    now: int = 0
    slots_out: int = 0
    actions: list[Action] = field(default_factory=list)
    members: Members = field(default_factory=Members)
    destinations: dict[int, Destination] = field(default_factory=dict)  # that are awake
    endpoints: dict[str, Endpoint] = field(default_factory=dict)  # theirs
    looks: deque[tuple[int, int]] = field(default_factory=deque)  # when each is looked at, and its number
    folded: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # what is kept of those asleep
    folded_looks: deque[tuple[int, int]] = field(default_factory=deque)
    news: dict[int, None] = field(default_factory=dict)  # of which something was learned that is not kept yet
    turns: dict[int, None] = field(default_factory=dict)  # of those, where it would be missed at once
    messages: dict[int, Message] = field(default_factory=dict)
    calls: dict[tuple[int, int], tuple[Message, Call]] = field(default_factory=dict)
    probes: dict[str, Call] = field(default_factory=dict)
    touched: dict[Destination, None] = field(default_factory=dict)  # to be served in this round
    past_us: dict[str, int] = field(default_factory=dict)  # quickest answer past a table, by zone
    small_tables: set[str] = field(default_factory=set)  # kinds of which a table was met full
    rested: dict[Endpoint, None] = field(default_factory=dict)  # had a connection come free in this round
    starved: OrderedDict[Destination, None] = field(default_factory=OrderedDict)  # wait for a slot
    overdue_us: int | None = None  # when the next call will be overdue, once this round has looked
    timers: dict[int, Message | Endpoint | int | None] = field(default_factory=dict)
    labels: Iterator[int] = field(default_factory=itertools.count)
    lanes: dict[str, list[Message]] = field(default_factory=dict)  # of each key, in the order taken
    rests: dict[str, int] = field(default_factory=dict)  # until when a key rests, the earliest first
    shares: dict[str, int] = field(default_factory=dict)  # until when each tenant's share is used up

    def timer(self, at_us: int, target: Message | Endpoint | int | None) -> None:
        """Have a message, a destination by its number, or the list (None) dealt with at that time."""
        label = next(self.labels)
        self.timers[label] = target
        self.actions.append(Timer(label, max(1, at_us - self.now)))

    def wake(self, destination: Destination, at_us: int) -> None:
        """Set a destination's one timer, unless it comes due before."""
        if not self.now < destination.timer_us <= at_us:
            destination.timer_us = max(at_us, self.now + 1)
            self.timer(destination.timer_us, destination.number)

    def start_call(self, endpoint: Endpoint, messages: int, slot: int) -> Call:
        """Reserve for a call that goes out now, on an idle connection if there is one."""
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
        """Free what a call held; its connection idles if it is still good."""
        call.endpoint.out -= 1
        to = self.destinations[call.endpoint.entry.destination]
        to.held, to.used_us = to.held - 1, self.now
        if reusable:
            call.endpoint.idle.append(self.now)
            self.rested[call.endpoint] = None
        self.slots_out -= call.slot
        for _ in range(min(TURNS, len(self.starved))):
            self.touched[self.starved.popitem(last=False)[0]] = None

    def leave(self, name: str) -> None:
        """Forget what is known of an endpoint that wants nothing new."""
        if (endpoint := self.endpoints.pop(name, None)) is not None:
            to = self.destinations[endpoint.entry.destination]
            del to.endpoints[name]
            to.accounts.pop(name, None)  # a route's account goes with it, a shared one keeps what it learned

    def hold(self, message: Message) -> None:
        """Keep a message that was taken; it waits at the end of its key's lane."""
        to = message.destination
        self.messages[message.ref] = to.waiting[message.ref] = message
        to.held, to.used_us = to.held + 1, self.now
        if message.key is not None:
            self.lanes.setdefault(message.key, []).append(message)
        self.touched[to] = None

    def drop(self, message: Message) -> None:
        """Forget a message that has ended; its key passes on once none of its attempts is out."""
        if self.messages.pop(message.ref, None) is not None:
            message.destination.held -= 1
            message.destination.used_us = self.now
        message.destination.waiting.pop(message.ref, None)
        if not message.out:
            self.touched.update((other.destination, None) for other in self.leave_lane(message))

    def leave_lane(self, message: Message) -> list[Message]:
        """Take a message out of its key's lane; what is left there."""
        if message.key is None:
            return []
        self.lanes[message.key].remove(message)
        return self.lanes[message.key] or self.lanes.pop(message.key)

    def rest(self, key: str, until_us: int) -> None:
        """Let a key rest; rests that are over are forgotten."""
        self.rests = {other: until for other, until in self.rests.items() if until > self.now}
        self.rests[key] = until_us
