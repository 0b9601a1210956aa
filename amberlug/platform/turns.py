"""Measures event loop iterations, and so how long received data may have waited to be read."""

import selectors
import time


class Turns(selectors.DefaultSelector):
    """A selector that measures how long the event loop works between two polls of the sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._looked = time.monotonic()
        self._worked = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self._worked = time.monotonic() - self._looked
        found = super().select(timeout)
        self._looked = time.monotonic()
        return found

    def waited_us(self) -> int:
        """Return how long data read now may have waited: it may have arrived right after the last poll."""
        return int((self._worked + time.monotonic() - self._looked) * 1e6)
