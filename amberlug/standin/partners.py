"""Test partners with different behaviors; every call is reported to the checker."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.standin.checker import Call, Checker, Execution
from amberlug.standin.wire import OK, Answer, Seen, StandIn

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Behavior:
    """How a partner behaves; shares are fractions of its calls."""

    name: str
    seconds: tuple[float, float] = (0.01, 0.04)  # shortest and longest response time
    drops: float = 0.0  # share of calls reset without a response, whether or not they took effect
    errors: float = 0.0  # share of calls answered 500
    per_second: float = 0.0  # rate limit above which calls are refused with a retry delay; 0 for no limit
    wait_ms: int = 0


STEADY = Behavior("steady")
SLOW = Behavior("slow", seconds=(0.2, 0.5))
LIMITED = Behavior("limited", per_second=8.0, wait_ms=300)
DROPPING = Behavior("dropping", drops=0.12, errors=0.05)
DRAINING = Behavior("draining")


class Partner(StandIn):
    """One endpoint."""

    def __init__(
        self, endpoint: str, destination: int, behavior: Behavior, checker: Checker, clock: Clock
    ) -> None:
        super().__init__(None)
        self.endpoint, self.destination, self.behavior = endpoint, destination, behavior
        self.calls = self.waits = 0
        self._checker, self._clock = checker, clock
        self._rng = random.Random(endpoint)
        self._out: dict[asyncio.StreamWriter, Call] = {}
        self._window: tuple[float, int] = 0.0, 0
        self.on_request, self.on_close = self._called, self._closed

    def _called(self, seen: Seen) -> bool:
        self.calls += 1
        call = self._checker.began(seen.name, self.endpoint, self._clock())
        if call is None:
            seen.answer((400, [], b""))
            return True
        self._out[seen.writer] = call
        if self._over_limit():
            self.waits += 1
            self._checker.retry_delay_sent(self.destination, self._clock(), self.behavior.wait_ms / 1000)
            self._answer(seen, (429, [("Wait-Ms", str(self.behavior.wait_ms))], b""), Execution.NEVER)
            return True
        drawn = self._rng.random()
        seconds = self._rng.uniform(*self.behavior.seconds)
        loop = asyncio.get_running_loop()
        if drawn < self.behavior.drops:
            loop.call_later(seconds, self._drop, seen)
        elif drawn < self.behavior.drops + self.behavior.errors:
            loop.call_later(seconds, self._answer, seen, (500, [], b""), Execution.MAY)
        else:
            loop.call_later(seconds, self._answer, seen, OK, Execution.YES)
        return True

    def _over_limit(self) -> bool:
        if not self.behavior.per_second:
            return False
        second, count = self._window
        now = self._clock()
        self._window = (second, count + 1) if now < second + 1 else (now, 1)
        return self._window[1] > self.behavior.per_second

    def _answer(self, seen: Seen, answer: Answer, ran: Execution) -> None:
        call = self._out.pop(seen.writer, None)
        if call is None:
            return  # connection closed meanwhile
        self._checker.ended(call, self._clock(), ran, delivered=ran is Execution.YES)
        seen.answer(answer)

    def _drop(self, seen: Seen) -> None:
        seen.reset()

    def _closed(self, writer: asyncio.StreamWriter) -> None:
        call = self._out.pop(writer, None)
        if call is not None:
            self._checker.ended(call, self._clock(), Execution.MAY)
