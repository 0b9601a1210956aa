"""Virtual time: what is due happens in order, and nothing else takes time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from functools import partial

SECOND = 1_000_000
START_US = 10**12  # the machine's clock when a play begins
START_MS = 1_790_000_000_000  # and the wall's


class Timer:
    """Something that is to happen."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Time:
    """The one clock of a play. What is due at the same microsecond happens in the order it was asked for."""

    def __init__(self) -> None:
        self.us = START_US
        self._due: list[tuple[int, int, Timer]] = []
        self._order = itertools.count()
        self.happened = 0

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Timer:
        """Call back at that time, at the earliest after what is under way."""
        timer = Timer(partial(callback, *args) if args else callback)
        heapq.heappush(self._due, (max(self.us, when_us), next(self._order), timer))
        return timer

    def after(self, us: float, callback: Callable[..., object], *args: object) -> Timer:
        """Call back after so many microseconds."""
        return self.at(self.us + int(us), callback, *args)

    def run(self, until_us: int) -> None:
        """Have all happen up to that time."""
        while self._due and self._due[0][0] <= until_us:
            when_us, _, timer = heapq.heappop(self._due)
            if timer.callback is not None:
                self.us, callback = when_us, timer.callback
                timer.callback = None
                self.happened += 1
                callback()
        self.us = until_us


class LifeClock:
    """The clock as one life of a relay sees it; its timers end with it."""

    def __init__(self, time: Time) -> None:
        self._time, self.boot, self._ended = time, "lab", False

    def end(self) -> None:
        """Have none of its timers happen any more."""
        self._ended = True

    def now_us(self) -> int:
        return self._time.us

    def wall_ms(self) -> int:
        return START_MS + (self._time.us - START_US) // 1000

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Timer:
        def alive() -> None:
            if not self._ended:
                callback(*args)

        return self._time.at(max(when_us, self._time.us + 1), alive)
