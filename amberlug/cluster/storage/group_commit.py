"""A sqlite3 file written by a thread of its own: what has piled up is committed together and synced once."""

from __future__ import annotations

import queue
import sqlite3
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

Row = tuple[str, tuple[Any, ...]]
Work = Callable[[sqlite3.Connection, list[Row]], None]
Done = Callable[[str | None], None]

GATHER = 256  # writes of one commit


def open_file(path: Path, schema: str) -> sqlite3.Connection:
    """Open or make it; WAL without shared memory, and every commit synced."""
    base = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    base.execute("pragma locking_mode=exclusive")  # before the first access: no shared-memory file is made
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("pragma wal_autocheckpoint=400")
    base.executescript(schema)
    return base


class GroupCommitWriter:
    """Takes writes and looks in order; `post` brings each one's end back to the thread that wrote."""

    def __init__(
        self, base: sqlite3.Connection, work: Work, post: Callable[[Callable[[], None]], None]
    ) -> None:
        self._base, self._work, self._post = base, work, post
        self._queue: queue.SimpleQueue[tuple[list[Row], Done] | Callable[[], None] | None] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(target=self._run, name="group-commit", daemon=True)
        self._thread.start()
        self.commits = 0

    def write(self, rows: list[Row], then: Done) -> None:
        """Write; `then` is called once it is synced, or with what hindered it."""
        self._queue.put((rows, then))

    def look(self, query: Callable[[sqlite3.Connection], Any], then: Callable[[Any], None]) -> None:
        """Run a query behind what was written before it; `then` hears what it found."""

        def run() -> None:
            found = query(self._base)
            self._post(lambda: then(found))

        self._queue.put(run)

    def _run(self) -> None:
        while True:
            batch: list[tuple[list[Row], Done]] = []
            item = self._queue.get()
            while isinstance(item, tuple):
                batch.append(item)
                if len(batch) >= GATHER or self._queue.empty():
                    break
                item = self._queue.get()
            if batch:
                self._commit(batch)
            if item is None:
                return
            if not isinstance(item, tuple):
                item()

    def _commit(self, batch: list[tuple[list[Row], Done]]) -> None:
        error: str | None = None
        rows = [row for more, _ in batch for row in more]
        if rows:
            try:
                self._base.execute("begin immediate")
                self._work(self._base, rows)
                self._base.execute("commit")
                self.commits += 1
            except sqlite3.Error as problem:
                error = f"{type(problem).__name__}: {problem}"
                if self._base.in_transaction:
                    self._base.execute("rollback")
        if error is not None and len(batch) > 1:
            for one in batch:  # one write that can't be done must not fail its neighbours
                self._commit([one])
            return
        ends = [then for _, then in batch]

        def tell() -> None:
            for then in ends:
                then(error)

        self._post(tell)

    def close(self) -> None:
        """Write what is queued, then end."""
        self._queue.put(None)
        self._thread.join()
        self._base.close()
