"""Long work on the event loop, a slice at a time, in the order in which it came."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

SLICE = 0.003  # seconds that one turn of the loop may take: others wait as long
Job = Iterator[None]


class Slices:
    """Runs jobs, each an iterator of short steps; `failed` is told the `ValueError` of one, which ends it.

    What fits into one slice is done before `add` returns, if nothing is waiting.
    """

    def __init__(self, failed: Callable[[ValueError], None]) -> None:
        self._failed = failed
        self._jobs: deque[Job] = deque()
        self._handle: asyncio.Handle | None = None
        self._running = False

    def add(self, job: Job) -> None:
        """Run a job after all that came before."""
        self._jobs.append(job)
        if self._handle is None and not self._running:
            self._work()

    def clear(self) -> None:
        """Drop what has not been done."""
        self._jobs.clear()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _work(self) -> None:
        self._handle, self._running = None, True
        loop = asyncio.get_running_loop()
        until = loop.time() + SLICE
        try:
            while self._jobs and loop.time() < until:
                self._step(self._jobs[0])
        finally:
            self._running = False
        if self._jobs:
            self._handle = loop.call_soon(self._work)

    def _step(self, job: Job) -> None:
        try:
            next(job)
            return
        except StopIteration:
            pass
        except ValueError as error:
            self._failed(error)
        if self._jobs and self._jobs[0] is job:  # `failed` may have cleared them
            self._jobs.popleft()
