"""Runs long jobs on the event loop in short time slices, first in, first out."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

SLICE_SECONDS = 0.003  # seconds that one iteration of the loop may take, delaying all other callbacks
Job = Iterator[None]


class SlicedQueue:
    """Runs jobs, each an iterator of short steps; a `ValueError` ends its job and is passed to `on_error`.

    If the queue is empty, `add` runs as much of the job as fits into one slice before it returns.
    """

    def __init__(self, on_error: Callable[[ValueError], None]) -> None:
        self._on_error = on_error
        self._jobs: deque[Job] = deque()
        self._handle: asyncio.Handle | None = None
        self._running = False

    def add(self, job: Job) -> None:
        """Enqueue a job."""
        self._jobs.append(job)
        if self._handle is None and not self._running:
            self._run_slice()

    def clear(self) -> None:
        """Discard all remaining work."""
        self._jobs.clear()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run_slice(self) -> None:
        self._handle, self._running = None, True
        loop = asyncio.get_running_loop()
        until = loop.time() + SLICE_SECONDS
        try:
            while self._jobs and loop.time() < until:
                self._step(self._jobs[0])
        finally:
            self._running = False
        if self._jobs:
            self._handle = loop.call_soon(self._run_slice)

    def _step(self, job: Job) -> None:
        try:
            next(job)
            return
        except StopIteration:
            pass
        except ValueError as error:
            self._on_error(error)
        if self._jobs and self._jobs[0] is job:  # `on_error` may have cleared them
            self._jobs.popleft()
