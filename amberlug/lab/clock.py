"""Virtual time: callbacks run in order of their due time, and running code takes no time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from functools import partial

SECOND = 1_000_000
START_US = 10**12  # monotonic clock at the start of a simulation
START_MS = 1_790_000_000_000  # wall clock at the start of a simulation


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], object]) -> None:
        self.callback: Callable[[], object] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; no effect once it has started."""
        self.callback = None


class EventQueue:
    """Event queue of a simulation. Callbacks due at the same microsecond run in the order of scheduling."""

    def __init__(self) -> None:
        self.now_us = START_US
        self._due: list[tuple[int, int, Timer]] = []
        self._order = itertools.count()
        self.executed = 0

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Timer:
        """Schedule a callback at a time; one in the past runs after the current callback."""
        timer = Timer(partial(callback, *args) if args else callback)
        heapq.heappush(self._due, (max(self.now_us, when_us), next(self._order), timer))
        return timer

    def after(self, us: float, callback: Callable[..., object], *args: object) -> Timer:
        """Schedule a callback after a delay in microseconds."""
        return self.at(self.now_us + int(us), callback, *args)

    def run(self, until_us: int) -> None:
        """Run all callbacks that are due up to a time, and advance the clock to it."""
        while self._due and self._due[0][0] <= until_us:
            when_us, _, timer = heapq.heappop(self._due)
            if timer.callback is not None:
                self.now_us, callback = when_us, timer.callback
                timer.callback = None
                self.executed += 1
                callback()
        self.now_us = until_us


class ProcessClock:
    """Clock of one process lifetime of a relay; its pending timers are dropped when the process ends."""

    def __init__(self, time: EventQueue) -> None:
        self._time, self.boot, self._ended = time, "lab", False

    def end(self) -> None:
        """Suppress all pending timers of this process."""
        self._ended = True

    def now_us(self) -> int:
        """Return the monotonic time in microseconds."""
        return self._time.now_us

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return START_MS + (self._time.now_us - START_US) // 1000

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Timer:
        """Schedule a callback at a time in microseconds, at least one microsecond from now."""

        def alive() -> None:
            """Run the callback, unless the process has ended."""
            if not self._ended:
                callback(*args)

        return self._time.at(max(when_us, self._time.now_us + 1), alive)
