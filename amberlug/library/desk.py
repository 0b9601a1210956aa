"""Where the ends of messages wait until their host acknowledges them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

from amberlug.core.log import log
from amberlug.core.messages import End
from amberlug.library.taken import Taken

OnEnd = Callable[[End], Awaitable[None]]

TELLING_MOST = 8  # calls of the host's callback that run at once
PAUSE = 0.5, 60.0  # seconds until an end is told again whose callback raised, doubled up to the second


class Desk:
    """Ends that are in the journal and not yet acknowledged, and whoever waits for one."""

    def __init__(self, on_end: OnEnd | None, ended: Callable[[End], None]) -> None:
        self._on_end, self._ended = on_end, ended
        self._acknowledged: Callable[[str], None] = _nobody
        self._taken: dict[str, Taken] = {}
        self._unclaimed: dict[str, End] = {}
        self._queue: deque[End] = deque()
        self._pauses: dict[str, float] = {}  # of ends whose callback raised
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    waiting = False  # an end that is not acknowledged is told to the next life, so nobody need stay for it

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        self._acknowledged = acknowledged

    @property
    def calling(self) -> bool:
        """Whether a call of the host's callback runs."""
        return bool(self._tasks)

    def opened(self, taken: Taken) -> None:
        """Note a message that was taken on."""
        self._taken[taken.id] = taken

    def find(self, name: str) -> Taken | None:
        """The message with that id, if it is held or its end is not acknowledged."""
        return self._taken.get(name)

    def unclaimed(self) -> list[End]:
        """All ends that are not acknowledged, the oldest first."""
        return list(self._unclaimed.values())

    def owed(self, end: End) -> bool:
        taken = self._taken.get(end.message)
        return taken is None or not taken.waived

    def tell(self, end: End) -> None:
        """Let whoever waits for it go on, and the host's callback be called."""
        self._ended(end)
        taken = self._taken.get(end.message)
        if self.owed(end):
            self._unclaimed[end.message] = end
            if self._on_end is not None:
                self._queue.append(end)
                self._call()
        else:
            self._taken.pop(end.message, None)
        if taken is not None:
            taken.finish(end)

    def send(self) -> None:
        """Nothing is kept back: each end was told as it came."""

    def acknowledge(self, name: str) -> None:
        """Take the host's word that it has seen an end; one that is not waiting is passed over."""
        if not self._closed and self._unclaimed.pop(name, None) is not None:
            self._taken.pop(name, None)
            self._pauses.pop(name, None)
            self._acknowledged(name)

    def close(self) -> None:
        """Let go of all who wait; what is not acknowledged is told to the next life."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        for taken in self._taken.values():
            taken.close()

    def _call(self) -> None:
        """Call the host's callback for the next ends, a few at once."""
        while self._queue and len(self._tasks) < TELLING_MOST and self._on_end is not None:
            end = self._queue.popleft()
            if self._unclaimed.get(end.message) is not end:
                continue
            task = asyncio.get_running_loop().create_task(_told(self._on_end, end))
            self._tasks.add(task)
            task.add_done_callback(partial(self._called, end))

    def _called(self, end: End, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._closed:
            return
        # Guards against a host's callback that raises: the end stays, and is told again.
        error = None if task.cancelled() else task.exception()
        if not task.cancelled() and error is None:
            self.acknowledge(end.message)
        else:
            log(f"on_end raised for message {end.message}: {error!r}; it will be told again")
            pause = self._pauses.get(end.message, PAUSE[0])
            self._pauses[end.message] = min(2 * pause, PAUSE[1])
            asyncio.get_running_loop().call_later(pause, self._again, end)
        self._call()

    def _again(self, end: End) -> None:
        if not self._closed:
            self._queue.append(end)
            self._call()


async def _told(on_end: OnEnd, end: End) -> None:
    """Call a callback inside its task: also one that raises before its first await."""
    await on_end(end)


def _nobody(name: str) -> None:
    """Stand in until the core has bound itself."""
