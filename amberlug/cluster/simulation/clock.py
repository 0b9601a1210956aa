"""Virtual time: what is due happens in order, and nothing else takes time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Timer:
    """Something that is to happen, unless it is called off."""

    __slots__ = ("act",)

    def __init__(self, act: Callable[[], None]) -> None:
        self.act: Callable[[], None] | None = act

    def cancel(self) -> None:
        self.act = None

    def fire(self) -> None:
        """Have it happen, once."""
        act, self.act = self.act, None
        if act is not None:
            act()


class Clock:
    """The one clock of a play. What is due at one moment happens in the order it was asked for."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, seconds: float, act: Callable[[], None]) -> None:
        """Call `act` so many seconds from now."""
        heapq.heappush(self._due, (self.now + max(0.0, seconds), next(self._numbers), act))

    def run(self, until: float) -> None:
        """Have all happen up to that time."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, act = heapq.heappop(due)
            act()
        self.now = until
