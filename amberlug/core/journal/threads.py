"""Runs syncs in a worker thread, for a relay running in an asyncio event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor


class ThreadSyncer:
    """A single worker thread, started with the first sync."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, "amberlug-sync")

    def start(self, job: Callable[[], None], done: Callable[[OSError | None], None]) -> None:
        """Run a job in the thread, then call `done` in the event loop with its error, if any."""
        future = self._loop.run_in_executor(self._executor, _run_job, job)
        future.add_done_callback(lambda it: None if it.cancelled() else done(it.result()))

    def close(self) -> None:
        """Wait for the running job and stop the thread."""
        self._executor.shutdown(wait=True)


def _run_job(job: Callable[[], None]) -> OSError | None:
    try:
        job()
    except OSError as error:
        return error
    return None
