"""How long the event loop's turns take, and so how long what comes may have waited to be read."""

import selectors
import time


class Turns(selectors.DefaultSelector):
    """The loop's selector; the time between two looks at the sockets is a turn's work."""

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
        """Tell how long at most what is read now has waited: it may have come just after the last look."""
        return int((self._worked + time.monotonic() - self._looked) * 1e6)
