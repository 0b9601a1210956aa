"""How long a loop that belongs to somebody else holds things up."""

from __future__ import annotations

import asyncio

TICK = 0.05  # seconds between two looks


class Lag:
    """Looks at the loop's clock now and then: what is read after a long turn has waited as long."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time()
        self._late = self._looked = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._look()

    def waited_us(self) -> int:
        """Tell how long at most what is read now has waited, in microseconds.

        A long turn counts while it lasts; afterwards its weight falls with the time, as what waited is read.
        """
        now = self._loop.time()
        return int(max(0.0, now - self._due, self._late - (now - self._looked)) * 1e6)

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        now = self._loop.time()
        self._late, self._looked = max(0.0, now - self._due), now
        self._due = now + TICK
        self._timer = self._loop.call_at(self._due, self._look)
