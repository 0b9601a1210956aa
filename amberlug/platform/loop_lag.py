"""Measures event loop iterations, and so how long received data may have waited to be read."""

import selectors
import time


class LoopLagSelector(selectors.DefaultSelector):
    """A selector that measures how long the event loop works between two polls of the sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._last_poll = time.monotonic()
        self._work_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll the sockets, and measure the seconds that the loop worked since the poll before."""
        self._work_s = time.monotonic() - self._last_poll
        ready = super().select(timeout)
        self._last_poll = time.monotonic()
        return ready

    def waited_us(self) -> int:
        """Return how long data read now may have waited: it may have arrived right after the last poll."""
        return int((self._work_s + time.monotonic() - self._last_poll) * 1e6)
