"""Many relays sending to one shared destination: the decision module alone, in virtual time.

The real module decides for each relay; journal, sockets and CPU are left out, so that a run takes about a
second and hundreds of seeds can be compared. The destination is a token bucket that holds half a second of
its rate, from which rejected calls may be deducted too (down to the same amount below zero), and a connection
table that includes idle connections.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count, groupby

import numpy as np

from amberlug.policy import interface as api
from amberlug.policy.interface import Effect, Group, Result
from amberlug.policy.lasting import LastingSender

SECOND = 1_000_000
NETWORK_US = 50_000  # network round trip to an endpoint
HANDSHAKE_US = 100_000  # additional time of the first call on a new connection
BUCKET_S = 0.5  # bucket capacity in seconds of the rate, and the largest debt from rejected calls


@dataclass(frozen=True, slots=True)
class SharedDestination:
    """One destination, its callers and its faults; times in seconds from the start."""

    relays: int = 40
    seconds: float = 30.0
    rate: float = 40.0  # listed rate limit in calls per second
    load: float = 0.7  # offered messages per second as a fraction of the rate limit
    burst_share: float = 0.1  # fraction that arrives in bursts, each of two seconds of the rate
    uneven: float = 0.5  # standard deviation of the logarithm of each relay's share of the load
    refused_count: bool = True  # whether rejected calls count towards the limit
    tells_wait: float = 0.3  # fraction of rejections that carry a Retry-After
    wait_s: float = 0.6
    answer_ms: float = 60.0
    table: int = 0  # size of the connection table; 0 for unlimited
    bundle: int = 1
    cut: tuple[float, float, float] = (0.0, 0.0, 1.0)  # start, duration, fraction of the rate left
    down: tuple[float, float] = (0.0, 0.0)  # start, duration; rejects all, Retry-After points to the end
    restarted: tuple[float, int] = (0.0, 0)  # time, and how many relays restart and lose their learned state
    returns: int = 3


@dataclass(slots=True)
class RunTotals:
    """Results of a run over all relays."""

    offered: int = 0
    worth: float = 0.0  # total value of the offered messages if all were delivered in time
    earned: float = 0.0
    calls: int = 0
    refused: int = 0  # by the rate limit
    ends: Counter[str] = field(default_factory=Counter)
    accepted_by_second: Counter[int] = field(default_factory=Counter)  # accepted calls per second of the run
    rejected_by_second: Counter[int] = field(default_factory=Counter)  # by the rate limit, per second

    @property
    def share(self) -> float:
        """Fraction of the total value that was earned."""
        return self.earned / self.worth if self.worth else 1.0


@dataclass(slots=True)
class _ClientMessage:
    """A client's message, which may be resubmitted under a new reference."""

    kind: api.MessageClass
    at_us: int
    returns: int


_KINDS = {
    it.name: it
    for it in (
        api.MessageClass("result", Effect.SAFE, SECOND, 6 * SECOND, 2.0, 0.1, Group.ALL, 0, False),
        api.MessageClass(
            "entry", Effect.KEYED, 4 * SECOND, 16 * SECOND, 1.0, 0.5, Group.ALL, 15 * SECOND, False
        ),
        api.MessageClass("payment", Effect.UNSAFE, 2 * SECOND, 20 * SECOND, 4.0, 0.4, Group.ALL, 0, False),
    )
}
_CLASS_SHARES = {"result": 0.56, "entry": 0.22, "payment": 0.22}


def settings(relays: int, bundle: int = 1) -> api.Settings:
    """Settings of a relay in this simulation."""
    return api.Settings(
        relays=relays,
        ordinal=0,
        zone="here",
        classes=_KINDS,
        tenants={},
        kinds={"plain": api.Kind("plain", bundle, False)},
        fees={"here": 0.0},
        slots=12,
        max_open=60,
        most_attempts=12,
        second_copies=False,
        may_cancel=True,
        may_probe=True,
        may_tell_peers=False,
        may_advise=True,
        max_advice_us=2 * SECOND,
        idle_us=10 * SECOND,
        dial_us=3 * SECOND // 2,
        asks=False,
        rates_listed=True,
        rates_rough=False,
        halving=False,
        over_share_worth=1.0,
        refusal_cost=0.05,
        report_names=(),
        answer_slack_us=20_000,
        ask_within_us=1 << 62,
        drain_grace_us=2 * SECOND,
        cold_share=0.15,
        warm_us=12 * SECOND,
        overload_factor=2.5,
        overload_us=2 * SECOND,
        key_quiet_us=0,
        granularity_us=5000,
    )


class _Limit:
    """The destination's rate limit as a token bucket."""

    def __init__(self, told: SharedDestination) -> None:
        self._told, self._most = told, max(1.0, told.rate * BUCKET_S)
        self._held, self._at = self._most, 0

    def rate(self, at_us: int) -> float:
        """Calls per second that the destination accepts now."""
        start, lasts, part = self._told.cut
        cut = start <= at_us / SECOND < start + lasts
        return self._told.rate * (part if cut else 1.0)

    def takes(self, at_us: int) -> bool:
        """Whether one more call is accepted; rejected calls may be deducted too."""
        gained = self.rate(at_us) * (at_us - self._at) / SECOND
        self._held, self._at = min(self._most, self._held + gained), at_us
        taken = self._held >= 1
        if taken or self._told.refused_count:
            self._held = max(-self._most, self._held - 1)
        return taken

    def wait_us(self) -> int:
        """Time until a token is available, if nobody else takes it."""
        return int(max(self._told.wait_s, (1 - self._held) / self.rate(self._at)) * SECOND)


class _Relay:
    """One relay with its timers and connections; each event is processed at once."""

    def __init__(self, of: _Run, seed: int) -> None:
        self._of, self._refs = of, count(1)
        self.begin(seed)

    def begin(self, seed: int) -> None:
        """Start with no state but the endpoint list."""
        self.sender = LastingSender(settings(self._of.told.relays, self._of.told.bundle), seed)
        self.held: dict[int, _ClientMessage] = {}
        self.attempts: Counter[int] = Counter()
        self.idle = 0
        entry = api.Entry("it", "here", "plain", 1, api.State.IN, self._of.told.rate)
        self.step(api.Listed(api.ListKind.WHOLE, (entry,)))

    def hand_in(self, wanted: _ClientMessage) -> None:
        """Accept a message."""
        ref, left_us = next(self._refs), wanted.at_us + wanted.kind.deadline_us - self._of.now
        self.held[ref] = wanted
        self.step(api.Taken(ref, 1, wanted.kind.name, None, None, left_us))

    def step(self, *events: api.Event) -> None:
        """Pass events to the decision module and carry out its actions."""
        sender, sends = self.sender, list[api.Send]()
        for action in sender.step(self._of.now, events):
            match action:
                case api.Timer(label, after_us):
                    self._of.at(self._of.now + after_us, self._due, sender, label)
                case api.Send():
                    sends.append(action)
                case api.Refuse(ref, advice_us):
                    self._of.handed_back(self.held.pop(ref, None), advice_us)
                case api.Fail(ref):
                    self._of.tally.ends["given up" if self.held.pop(ref, None) else "twice"] += 1
                case api.Probe(endpoint):
                    self._of.at(self._of.now + NETWORK_US, self._probed, sender, endpoint)
                case api.CloseIdle():
                    self._of.connections -= self.idle
                    self.idle = 0
        for _, group in groupby(sends, lambda it: it.call):
            self._call(list(group))

    def _probed(self, sender: LastingSender, endpoint: str) -> None:
        if sender is self.sender:
            result, _, _ = self._of.arrive(True)
            self.step(api.ProbeResult(endpoint, result, NETWORK_US, ()))

    def _due(self, sender: LastingSender, label: int) -> None:
        if sender is self.sender:
            self.step(api.TimerExpired(label))

    def _call(self, sends: list[api.Send]) -> None:
        reused = self.idle > 0
        self.idle -= reused
        self._of.connections += not reused
        result, took_us, wait_us = self._of.arrive(reused)
        self._of.at(self._of.now + took_us, self._ended, self.sender, sends, result, took_us, wait_us, reused)

    def _ended(
        self,
        sender: LastingSender,
        sends: list[api.Send],
        result: Result,
        took_us: int,
        wait_us: int,
        reused: bool,
    ) -> None:
        if sender is not self.sender:  # restarted in the meantime: the result is dropped
            self._of.connections -= 1
            return
        if result is Result.REFUSED and took_us == NETWORK_US and not reused:
            self._of.connections -= 1  # the connection table was full
        else:
            self.idle += 1
        outcomes = []
        for send in sends:
            attempt, done = self.attempts[send.ref], result is Result.DONE
            self.attempts[send.ref] += 1
            outcomes.append(api.Outcome(send.ref, attempt, "it", result, done, took_us, wait_us, (), reused))
            if done and (wanted := self.held.pop(send.ref, None)) is not None:
                self._of.delivered(wanted)
        self.step(*outcomes)

    def restart(self, seed: int) -> None:
        """Restart with the pending messages and no learned state."""
        kept, self._of.connections = list(self.held.values()), self._of.connections - self.idle
        self.begin(seed)
        for wanted in kept:
            if wanted.at_us + wanted.kind.deadline_us > self._of.now:
                self.hand_in(wanted)


class _Run:
    def __init__(self, told: SharedDestination, seed: int) -> None:
        self.told, self.now, self.tally = told, 0, RunTotals()
        self.connections = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._order = count()
        self._limit = _Limit(told)
        # Separate random streams, so that one's draws do not affect the others.
        clients, partner, relays = np.random.SeedSequence(seed).spawn(3)
        self._clients, self._partner = np.random.default_rng(clients), np.random.default_rng(partner)
        seeds = [int(it) for it in np.random.default_rng(relays).integers(1 << 60, size=2 * told.relays)]
        weights = np.exp(self._clients.normal(0, told.uneven, told.relays))
        self._weights = weights / weights.sum()
        self.relays = [_Relay(self, seeds[number]) for number in range(told.relays)]
        at_s, many = told.restarted
        for number in range(many):
            later_s = at_s + float(self._partner.random())
            self.at(int(later_s * SECOND), self.relays[number].restart, seeds[told.relays + number])
        self._arrivals()

    def at(self, at_us: int, what: Callable[..., None], *arguments: object) -> None:
        """Schedule a call."""
        heapq.heappush(self._queue, (at_us, next(self._order), what, arguments))

    def _arrivals(self) -> None:
        told = self.told
        pace = told.rate * told.load
        size = max(1, int(told.rate * 2))
        for rate, batch, span in (
            (pace * (1 - told.burst_share), 1, 0.0),
            (pace * told.burst_share / size, size, 1.0),
        ):
            for at_s in self._clients.uniform(0, told.seconds, self._clients.poisson(rate * told.seconds)):
                for later in self._clients.uniform(0, span, batch):
                    name = str(self._clients.choice(list(_CLASS_SHARES), p=list(_CLASS_SHARES.values())))
                    at_us = int((at_s + later) * SECOND)
                    self.at(at_us, self._hand_in, _ClientMessage(_KINDS[name], at_us, told.returns), True)

    def _hand_in(self, wanted: _ClientMessage, first: bool) -> None:
        if first:
            self.tally.offered += 1
            self.tally.worth += wanted.kind.worth
        if self.now < wanted.at_us + wanted.kind.deadline_us:
            number = int(self._clients.choice(self.told.relays, p=self._weights))
            self.relays[number].hand_in(wanted)

    def handed_back(self, wanted: _ClientMessage | None, advice_us: int) -> None:
        """Count a rejected message and let its client retry; one already ended counts as ended twice."""
        self.tally.ends["handed back" if wanted else "twice"] += 1
        if wanted and wanted.returns:
            wanted.returns -= 1
            later_us = max(advice_us, int(self._clients.uniform(0.4, 2.0) * SECOND))
            self.at(self.now + later_us, self._hand_in, wanted, False)

    def delivered(self, wanted: _ClientMessage) -> None:
        """Count a delivery and its value."""
        self.tally.ends["delivered"] += 1
        kind, over = wanted.kind, self.now - wanted.at_us - wanted.kind.aim_us
        late = min(1.0, max(0.0, over / (kind.deadline_us - kind.aim_us)))
        self.tally.earned += kind.worth * (1 - (1 - kind.late_worth) * late)

    def arrive(self, reused: bool) -> tuple[Result, int, int]:
        """Decide a call: its result, the time until the relay learns it, and the Retry-After or 0."""
        told, tally = self.told, self.tally
        tally.calls += 1
        if told.table and not reused and self.connections > told.table:
            return Result.REFUSED, NETWORK_US, 0
        took_us = NETWORK_US + HANDSHAKE_US * (not reused) + int(self._partner.integers(5000)) + 1
        second, (down_s, lasts_s) = self.now // SECOND, told.down
        down = down_s <= self.now / SECOND < down_s + lasts_s
        if not down and self._limit.takes(self.now):
            tally.accepted_by_second[second] += 1
            return Result.DONE, took_us + int(self._partner.exponential(told.answer_ms) * 1000), 0
        tally.refused += 1
        tally.rejected_by_second[second] += 1
        tells = self._partner.random() < told.tells_wait
        wait_us = int((down_s + lasts_s) * SECOND) - self.now if down else self._limit.wait_us()
        return Result.REFUSED, took_us, wait_us if tells else 0

    def run(self) -> RunTotals:
        """Run until 25 seconds after the last arrival, or until no event is left."""
        until_us = int((self.told.seconds + 25) * SECOND)
        while self._queue and self._queue[0][0] <= until_us:
            self.now, _, what, arguments = heapq.heappop(self._queue)
            what(*arguments)
        return self.tally


def play(told: SharedDestination, seed: int) -> RunTotals:
    """Run the simulation; it is deterministic for a seed."""
    return _Run(told, seed).run()
