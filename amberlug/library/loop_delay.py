"""Measures how long the host's event loop delays input."""

from __future__ import annotations

import asyncio

INTERVAL_S = 0.05  # time between two measurements


class LoopDelay:
    """Measures the delay of a periodic timer: input read after a long loop iteration has waited that long."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time()
        self._last_delay = self._measured_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._measure()

    def waited_us(self) -> int:
        """Upper bound for how long input that is read now has waited, in microseconds.

        A long iteration counts in full while it lasts. Afterwards the bound falls with time, as the backlog
        is read.
        """
        now = self._loop.time()
        return int(max(0.0, now - self._due, self._last_delay - (now - self._measured_at)) * 1e6)

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def _measure(self) -> None:
        now = self._loop.time()
        self._last_delay, self._measured_at = max(0.0, now - self._due), now
        self._due = now + INTERVAL_S
        self._timer = self._loop.call_at(self._due, self._measure)
