"""Virtual time: events run in order of their due time, and running them takes no time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timer:
    """A callback that runs once, unless it is cancelled first."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self.act: Callable[[], None] | None = act

    def cancel(self) -> None:
        """Cancel the callback; has no effect if it has already run."""
        self.act = None

    def fire(self) -> None:
        """Run the callback, unless it has already run or was cancelled."""
        act, self.act = self.act, None
        if act is not None:
            act()


class Clock:
    """The event queue of a run. Events with the same due time run in the order of their scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, seconds: float, act: Callable[[], None]) -> None:
        """Schedule `act` in so many seconds of virtual time."""
        heapq.heappush(self._due, (self.now + max(0.0, seconds), next(self._numbers), act))

    def run(self, until: float) -> None:
        """Run all events that are due up to a time, and advance the clock to it."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, act = heapq.heappop(due)
            act()
        self.now = until
