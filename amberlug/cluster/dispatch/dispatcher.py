"""One service's dispatch at one edge, over the design's account: c + r + u <= M, else a timer. No I/O."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.cluster.dispatch.endpoint_pool import FULL_S, Endpoint, EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall, Endpoints, Runtime, TimerHandle
from amberlug.core.usual import message_class, settings
from amberlug.policy.account import SECOND, WINDOW_US, Account
from amberlug.policy.interface import Effect

SLOTS = 1024  # calls that one edge has out at most
SLACK_S = 0.15  # beyond the time that an endpoint is given until it counts as silent
PAUSE_S = (0.02, 0.5)  # before a message is tried again, doubled each time
BUSY_S = 0.05  # before one is tried again whose first run is still under way
_MESSAGE = message_class("deferred", Effect.UNSAFE, deadline=2.0)
_SETTINGS = settings([_MESSAGE], slots=SLOTS)  # one relay: what others spend is reckoned outside


@dataclass(slots=True, eq=False)
class Out:
    """A call that is under way."""

    message: Message
    endpoint: Endpoint
    start_us: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a call did to its message: `end` is done, dead or empty."""

    end: str = ""
    seal: str = ""
    failed: bool = False  # an attempt that counts
    again_s: float = 0.0


def judge(message: Message, called: CallResult, max_attempts: int) -> Outcome:
    """Read an endpoint's answer. Only what names this attempt is believed."""
    pause = min(PAUSE_S[1], PAUSE_S[0] * 2 ** min(message.call_count, 8))
    if called.verdict is not CallVerdict.ANSWERED or called.header("amberlug-attempt-id") != message.attempt:
        return Outcome(again_s=pause if called.verdict is CallVerdict.ANSWERED else 0.0)
    if called.header("amberlug-not-executed") is not None or called.status == 421:
        return Outcome(again_s=pause)
    if 200 <= called.status < 300:
        seal = called.header("amberlug-server-seal")
        return Outcome("done", seal) if seal else Outcome(again_s=pause)
    if called.status == 422:
        return Outcome("dead")
    if called.status == 500:
        over = message.failures + 1 >= max_attempts
        return Outcome("dead" if over else "", failed=True, again_s=PAUSE_S[0] * 2**message.failures)
    return Outcome(again_s=BUSY_S if called.status == 409 else pause)


class Dispatcher:
    """Due messages of one service, in line for its account and endpoints."""

    def __init__(
        self,
        name: str,
        world: Runtime,
        pool: EndpointPool,
        endpoints: Endpoints,
        timeout_s: Callable[[Message], float],
        finished: Callable[[Message, CallResult], None],
    ) -> None:
        self.name, self.world, self.pool, self.endpoints = name, world, pool, endpoints
        self._timeout_s, self._finished = timeout_s, finished
        self.account = Account(_SETTINGS, None)
        self.line: list[tuple[int, float, int, Message]] = []  # rank, due, number
        self.calls: dict[Out, None] = {}
        self.fixed = False
        self._numbers = itertools.count()
        self._timer: TimerHandle | None = None
        self.refused = 0
        self.held = 0  # times that the account made a message wait

    def rate_is(self, rate: float, part: float) -> None:
        """A service's own rate: this edge spends its part of it, so that all together keep it."""
        units = rate * part if rate > 0 else float("inf")
        account = self.account
        account.window = WINDOW_US
        if 1.0 < units < float("inf"):
            # Only whole units are spent: 1.6 in a window would be one, so the window holds two of 1.25 s.
            account.window = int(WINDOW_US * math.ceil(units) / units)
            units = math.ceil(units)
        account.units = units
        account.stretched = int(account.window / min(1.0, units))

    def add(self, message: Message) -> None:
        """A message is due and the first of its key."""
        heapq.heappush(self.line, (message.rank, message.due_at, next(self._numbers), message))
        self.pump()

    def _now_us(self) -> int:
        return int(self.world.now() * SECOND)

    def pump(self) -> None:
        """Send what may be sent now; the rest at the account's opening, or once something changes."""
        while self.line:
            message = self.line[0][3]
            if message.ended or message.out or message.service != self.name:
                heapq.heappop(self.line)
                continue
            now_us = self._now_us()
            opening = self.account.opening(now_us)
            if opening > now_us:
                self.held += 1
                self._at((opening - now_us) / SECOND)
                return
            now = self.world.now()
            endpoint = self.pool.pick(self.name, now, message.last)
            if endpoint is None or len(self.calls) >= SLOTS:
                chance = self.pool.next_chance(self.name, now)
                if chance is not None:
                    self._at(chance - now + 0.001)
                return
            heapq.heappop(self.line)
            self._call(message, endpoint, now_us)

    def _at(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.world.call_later(max(0.001, seconds), self._opened)

    def _opened(self) -> None:
        self._timer = None
        self.pump()

    def _call(self, message: Message, endpoint: Endpoint, now_us: int) -> None:
        assert message.body is not None, "a call has a body"
        seconds = self._timeout_s(message)
        out = Out(message, endpoint, now_us, seconds)
        self.account.reserved[out] = None
        self.calls[out] = None
        message.out, message.call_count, message.last = True, message.call_count + 1, endpoint.id
        endpoint.out += 1
        headers = [
            ("Host", message.host),
            *message.headers,
            ("Amberlug-Attempt-Id", message.attempt),
            ("Amberlug-Time-Remaining", str(max(1, int(seconds * 1000)))),
        ]
        if not self.fixed:
            headers.append(("Amberlug-Target-Instance", endpoint.id))
        delivery = EndpointCall(
            endpoint.address,
            endpoint.id,
            message.attempt,
            message.method,
            message.target,
            tuple(headers),
            message.body,
            seconds + SLACK_S,
        )
        self.endpoints.call(delivery, lambda called: self._ended(out, called))

    def _ended(self, out: Out, called: CallResult) -> None:
        """An answer turns its reservation into a consumption, in the bucket of its start."""
        now, now_us = self.world.now(), self._now_us()
        endpoint, message = out.endpoint, out.message
        del self.calls[out]
        del self.account.reserved[out]
        endpoint.out -= 1
        took_on = called.verdict is CallVerdict.ANSWERED and called.header("amberlug-not-executed") is None
        reached = called.verdict is not CallVerdict.NOT_CONNECTED
        self.account.buckets.add(out.start_us, 1 if reached else 0, took_on)
        if called.verdict is CallVerdict.ANSWERED:
            endpoint.answered()
            self._learn(out, called, now, now_us)
        elif called.verdict is not CallVerdict.CONNECTION_LOST or endpoint.doubts == 0:
            if called.verdict is not CallVerdict.CONNECTION_LOST:
                endpoint.doubt(now)
        self._finished(message, called)
        self.pump()

    def _learn(self, out: Out, called: CallResult, now: float, now_us: int) -> None:
        endpoint, account = out.endpoint, self.account
        if called.status == 421:
            endpoint.state = "gone"  # another life has its address
            self.endpoints.forget(endpoint.address)
        elif called.status in (429, 503):
            self.refused += 1
            endpoint.doubt_until = now + FULL_S
            # A full endpoint (503) tells of its slots at that moment, which `Endpoint` keeps; a rate that is
            # refused (429) is what the account learns from. Guards against a limit of a few units learned
            # in the burst after a start, which held edges back for ten seconds.
            if called.status == 429 and out.start_us > account.learned_us:
                account.refused(now_us, 1.0)
            wait = called.header("retry-after")
            if called.status == 429 and wait is not None and wait.isdigit():
                account.blocked_until = max(account.blocked_until, now_us + int(wait) * SECOND)
        else:
            account.usual_us += (now_us - out.start_us - account.usual_us) // 8
