"""Reports the outcomes of messages to the host and keeps them until they are acknowledged."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

from amberlug.core.log import log
from amberlug.core.messages import End
from amberlug.library.taken import Taken

OnEnd = Callable[[End], Awaitable[None]]

MAX_CALLBACKS = 8  # concurrent calls of the host's callback
RETRY_DELAYS_S = 0.5, 60.0  # first and longest delay before a failed callback is retried; doubled each time


class OutcomeReporter:
    """Outcomes that are in the journal and not yet acknowledged, and the tasks that wait for one."""

    def __init__(self, on_end: OnEnd | None, ended: Callable[[End], None]) -> None:
        self._on_end, self._ended = on_end, ended
        self._acknowledged: Callable[[str], None] = _unbound
        self._taken: dict[str, Taken] = {}
        self._unclaimed: dict[str, End] = {}
        self._queue: deque[End] = deque()
        self._retry_delays: dict[str, float] = {}  # current retry delay of outcomes whose callback raised
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    # Unacknowledged outcomes are reported again after the next start, so closing need not wait for them.
    waiting = False

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Set the callback for acknowledged outcomes; its argument is the message's name."""
        self._acknowledged = acknowledged

    @property
    def callback_running(self) -> bool:
        """Whether the host's callback is running."""
        return bool(self._tasks)

    def opened(self, taken: Taken) -> None:
        """Register an accepted message."""
        self._taken[taken.id] = taken

    def find(self, name: str) -> Taken | None:
        """The message with that id, if it has no outcome yet or the outcome is not acknowledged."""
        return self._taken.get(name)

    def unclaimed(self) -> list[End]:
        """All unacknowledged outcomes, oldest first."""
        return list(self._unclaimed.values())

    def owed(self, end: End) -> bool:
        """Whether this outcome must be reported until it is acknowledged: not if the host has waived it."""
        taken = self._taken.get(end.message)
        return taken is None or not taken.waived

    def tell(self, end: End) -> None:
        """Wake the tasks that wait for the outcome and schedule the host's callback."""
        self._ended(end)
        taken = self._taken.get(end.message)
        if self.owed(end):
            self._unclaimed[end.message] = end
            if self._on_end is not None:
                self._queue.append(end)
                self._start_callbacks()
        else:
            self._taken.pop(end.message, None)
        if taken is not None:
            taken.finish(end)

    def send(self) -> None:
        """Do nothing: each outcome is reported as soon as it is known."""

    def acknowledge(self, name: str) -> None:
        """Remove an outcome that the host has acknowledged; unknown names are ignored."""
        if not self._closed and self._unclaimed.pop(name, None) is not None:
            self._taken.pop(name, None)
            self._retry_delays.pop(name, None)
            self._acknowledged(name)

    def close(self) -> None:
        """Wake all waiting tasks; unacknowledged outcomes are reported again after the next start."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        for taken in self._taken.values():
            taken.close()

    def _start_callbacks(self) -> None:
        """Call the host's callback for queued outcomes, up to the concurrency limit."""
        while self._queue and len(self._tasks) < MAX_CALLBACKS and self._on_end is not None:
            end = self._queue.popleft()
            if self._unclaimed.get(end.message) is not end:
                continue
            task = asyncio.get_running_loop().create_task(_run_callback(self._on_end, end))
            self._tasks.add(task)
            task.add_done_callback(partial(self._on_callback_done, end))

    def _on_callback_done(self, end: End, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._closed:
            return
        # If the host's callback raises, the outcome stays unacknowledged and is reported again.
        error = None if task.cancelled() else task.exception()
        if not task.cancelled() and error is None:
            self.acknowledge(end.message)
        else:
            log(f"on_end raised {error!r} for message {end.message}; it will be called again")
            pause = self._retry_delays.get(end.message, RETRY_DELAYS_S[0])
            self._retry_delays[end.message] = min(2 * pause, RETRY_DELAYS_S[1])
            asyncio.get_running_loop().call_later(pause, self._retry, end)
        self._start_callbacks()

    def _retry(self, end: End) -> None:
        if not self._closed:
            self._queue.append(end)
            self._start_callbacks()


async def _run_callback(on_end: OnEnd, end: End) -> None:
    """Call a callback inside its task, so that an error before its first await is caught as well."""
    await on_end(end)


def _unbound(name: str) -> None:
    """Placeholder until the core calls `bind`."""
