"""The clock of a relay that runs in an asyncio loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

SECOND = 1_000_000


class LoopClock:
    """Reads and sets timers by the running loop; one for the life of a relay."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._last_us = 0

    def now_us(self) -> int:
        """Read the loop's clock, which never goes back."""
        self._last_us = max(self._last_us, int(self._loop.time() * SECOND))
        return self._last_us

    def wall_ms(self) -> int:
        return int(time.time() * 1000)

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        # Guards against a float that falls short of its microsecond, and a timer that is due before its time.
        return self._loop.call_at(when_us / SECOND + 1e-6, callback, *args)
