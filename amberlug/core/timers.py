"""Timers of the delivery policy, multiplexed onto one event loop timer."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from amberlug.core.ports import Clock, Handle


class Timers:
    """A heap of labelled timers; `due` is called for expired labels that `stale` does not report obsolete."""

    def __init__(self, clock: Clock, stale: Callable[[int], bool], due: Callable[[int], None]) -> None:
        self._clock, self._stale, self._tell = clock, stale, due
        self._heap: list[tuple[int, int]] = []  # due time and label
        self._handle: Handle | None = None
        self._at_us = 0  # due time of `_handle`

    def set(self, at_us: int, label: int) -> None:
        """Add a timer; the caller must call `reschedule` afterwards."""
        heapq.heappush(self._heap, (at_us, label))

    def reschedule(self) -> None:
        """Schedule the event loop timer for the earliest timer that is not obsolete."""
        # Most messages end before their timers expire; skipping those saves a wake-up and a round for each.
        while self._heap and self._stale(self._heap[0][1]):
            heapq.heappop(self._heap)
        due_us = self._heap[0][0] if self._heap else 0
        if self._handle is not None and due_us != self._at_us:
            self._handle.cancel()
            self._handle = None
        if self._handle is None and due_us:
            self._handle, self._at_us = self._clock.at(due_us, self._due), due_us

    def stop(self) -> None:
        """Cancel the event loop timer."""
        if self._handle is not None:
            self._handle.cancel()

    def _due(self) -> None:
        self._handle = None
        now = self._clock.now_us()
        while self._heap and self._heap[0][0] <= now:
            _, label = heapq.heappop(self._heap)
            if not self._stale(label):
                self._tell(label)
        self.reschedule()
