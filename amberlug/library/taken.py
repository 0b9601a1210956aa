"""A message that was taken on, as its host sees it: it can wait for the end, and acknowledge it."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

from amberlug.core.messages import End
from amberlug.library.messages import RelayClosedError


class Taken:
    """A message that a relay answers for. It may be waited for from any loop of the process."""

    def __init__(self, name: str, acknowledge: Callable[[str], None]) -> None:
        self.id = name
        self.waived = False  # nobody wants to hear its end
        self._acknowledge = acknowledge
        self._lock = threading.Lock()
        self._end: End | None = None
        self._closed = False
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def ended(self) -> End | None:
        """The end, once there is one."""
        return self._end

    @property
    def closed(self) -> bool:
        """Whether its relay closed before it ended."""
        return self._closed

    async def end(self, *, acknowledge: bool = True) -> End:
        """Wait for the one end, and acknowledge that it was seen.

        Cancelling this does not cancel the message. A host that must first store what it learned passes
        `acknowledge=False`, and calls `acknowledge()` after that; until then the end is told again to each
        next life. Raises `RelayClosedError` where the relay closes first: the message goes on with its
        folder.
        """
        while self._end is None:
            waiter = asyncio.get_running_loop().create_future()
            with self._lock:
                if self._closed:
                    raise RelayClosedError(f"the relay closed before message {self.id} ended")
                if self._end is None:
                    self._waiters.add(waiter)
                else:
                    break
            try:
                await waiter
            finally:
                self._waiters.discard(waiter)
        if acknowledge:
            self.acknowledge()
        return self._end

    def acknowledge(self) -> None:
        """Say that the end was seen; before there is one, that nobody will ask for it."""
        self.waived = True
        if self._end is not None:
            self._acknowledge(self.id)

    def finish(self, end: End) -> None:
        """Take the end in; the relay's own call."""
        with self._lock:
            self._end = end
        self._wake()

    def close(self) -> None:
        """Let go of whoever waits: the relay can tell no more."""
        with self._lock:
            self._closed = self._end is None
        self._wake()

    def _wake(self) -> None:
        try:
            here: asyncio.AbstractEventLoop | None = asyncio.get_running_loop()
        except RuntimeError:
            here = None
        for waiter in list(self._waiters):
            loop = waiter.get_loop()
            if loop is here:
                _settle(waiter)
            elif not loop.is_closed():
                loop.call_soon_threadsafe(_settle, waiter)


def _settle(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
