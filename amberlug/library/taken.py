"""The host's handle to an accepted message: waits for the outcome and acknowledges it."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

from amberlug.core.messages import End
from amberlug.library.messages import RelayClosedError


class Taken:
    """A message that a relay is responsible for; it may be awaited from any event loop of the process."""

    def __init__(self, name: str, acknowledge: Callable[[str], None]) -> None:
        self.id = name
        self.waived = False  # the host does not want the outcome
        self._acknowledge = acknowledge
        self._lock = threading.Lock()
        self._end: End | None = None
        self._closed = False
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def ended(self) -> End | None:
        """The final outcome, or None while there is none."""
        return self._end

    @property
    def closed(self) -> bool:
        """Whether its relay closed before there was an outcome."""
        return self._closed

    async def end(self, *, acknowledge: bool = True) -> End:
        """Wait for the final outcome and acknowledge it.

        Cancelling this does not cancel the message. A host that must store the outcome first passes
        `acknowledge=False` and calls `acknowledge()` afterwards; until then the outcome is reported again
        after each restart. Raises `RelayClosedError` if the relay closes first: the message is resumed when
        its folder is opened again.
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
        """Acknowledge the outcome; before there is one, declare that nobody will ask for it."""
        self.waived = True
        if self._end is not None:
            self._acknowledge(self.id)

    def finish(self, end: End) -> None:
        """Set the outcome; called by the relay only."""
        with self._lock:
            self._end = end
        self._wake()

    def close(self) -> None:
        """Wake the waiting tasks, because the closed relay can report no outcome."""
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
