"""The clock of a relay running in an asyncio event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

SECOND = 1_000_000
_BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
_SAME_US = 100_000  # largest difference between two readings of the same clock


def boot_of(now_us: int) -> str:
    """Return the kernel boot ID if a clock counts from boot; empty if it does not or the ID is unknown."""
    # An event loop's clock may have another epoch than the monotonic clock that all processes share.
    if abs(now_us - time.monotonic_ns() // 1000) > _SAME_US:
        return ""
    try:
        return _BOOT_ID.read_text().strip()
    except OSError:
        return ""


class LoopClock:
    """Clock and timers of the running event loop; one instance per relay."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._last_us = 0
        self.boot = boot_of(self.now_us())

    def now_us(self) -> int:
        """Return the loop's time in microseconds; it never decreases."""
        self._last_us = max(self._last_us, int(self._loop.time() * SECOND))
        return self._last_us

    def wall_ms(self) -> int:
        """Unix time in milliseconds."""
        return int(time.time() * 1000)

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Run a callback at or shortly after that time in microseconds, never earlier."""
        # Add one microsecond: the division may round down, and the timer must never fire early.
        return self._loop.call_at(when_us / SECOND + 1e-6, callback, *args)
