"""Schedules syncs and handles failed ones. No I/O.

A failed fsync may have discarded dirty pages, and a second fsync of the same file may then succeed without
having written them. It is therefore never retried on the same data: all records that were not synced are
rewritten to a new segment.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from amberlug.core.journal.disk import Disk
from amberlug.core.journal.records import SYNCED
from amberlug.core.log import log

RETRY_US = 1_000_000  # delay between a failed sync and rewriting the records that it may have lost

RecordEntry = tuple[bytes, str, bytes]  # kind, name and remaining payload of a record
Callback = Callable[[], object]


class Syncer(Protocol):
    """Runs one blocking job at a time outside the event loop."""

    def start(self, job: Callable[[], None], done: Callable[[OSError | None], None]) -> None:
        """Run a job, then call `done` in the event loop with its error, if any."""

    def close(self) -> None:
        """Wait for the running job."""


class SyncScheduler:
    """Combines pending requests into one sync at a time (group commit).

    With `interval_us`, a sync follows each write within that time and no caller waits; without it, callers
    wait for the next sync. `rewrite` writes records to a new segment; `record_synced` stores the synced
    position.
    """

    def __init__(
        self,
        syncer: Syncer,
        disk: Disk,
        clock_us: Callable[[], int],
        interval_us: int | None,
        rewrite: Callable[[list[RecordEntry]], None],
        record_synced: Callable[[tuple[int, int]], None],
    ) -> None:
        self._syncer, self._disk, self._clock_us, self._interval_us = syncer, disk, clock_us, interval_us
        self._rewrite, self._record_synced = rewrite, record_synced
        self.waits = interval_us is None
        self.failed = False
        self.end = (0, 0)  # segment and offset of the end of the newest record
        self.synced_end = (0, 0)  # the same for the newest synced record
        self._dirty: dict[str, None] = {}
        self._created = False
        self._written_since: list[RecordEntry] = []  # written since the last sync started
        self._lost: list[RecordEntry] = []  # possibly lost in a failed sync
        self._waiting: list[Callback] = []
        self._running: tuple[list[Callback], list[RecordEntry], tuple[int, int]] | None = None
        self._due_us: int | None = None
        self._closed = False

    def close(self) -> None:
        """Wait for the running sync; nothing is written after it."""
        # The completion of that sync must not write a mark: the folder may belong to another relay by then.
        self._closed = True
        self._syncer.close()

    def record_written(self, name: str, end: tuple[int, int], entry: RecordEntry | None) -> None:
        """Register a written record, or the header of a new segment if `entry` is None."""
        self._dirty[name] = None
        self._created |= entry is None
        self.end = end
        if entry is not None:
            self._written_since.append(entry)
        # The mark written after each sync does not trigger another sync, which would go on forever.
        if self._due_us is None and (entry is None or entry[0] != SYNCED):
            self._due_us = self._clock_us() + (self._interval_us or 0)

    def after(self, callback: Callback) -> None:
        """Run a callback once everything written so far is synced."""
        self._waiting.append(callback)
        if self.waits:
            self._start()

    def work(self) -> int | None:
        """Do what is due; return the microseconds until the next call, or None."""
        now_us = self._clock_us()
        if self._running is not None or self._due_us is None:
            return None
        if self._due_us > now_us:
            return self._due_us - now_us
        if self.failed and self._lost:
            try:
                lost, self._lost, self._written_since = self._lost + self._written_since, [], []
                self._rewrite(lost)
            except OSError as error:
                self._written_since = []
                self._on_failure(error, lost)
                return RETRY_US
        self._start(retrying=True)
        return None

    def _start(self, retrying: bool = False) -> None:
        if self._closed or self._running is not None or (self.failed and not retrying):
            return
        names, created = list(self._dirty), self._created
        self._running = self._waiting, self._written_since, self.end
        self._waiting, self._written_since, self._dirty, self._created, self._due_us = [], [], {}, False, None
        try:
            job = self._disk.syncs(names, created)
        except OSError as error:
            self._on_done(error)
        else:
            self._syncer.start(job, self._on_done)

    def _on_done(self, error: OSError | None) -> None:
        if self._closed:
            return
        assert self._running is not None
        waiting, entries, end = self._running
        self._running = None
        if error is not None:
            self._waiting = waiting + self._waiting
            lost, self._written_since = entries + self._written_since, []
            self._on_failure(error, lost)
            return
        if self.failed:
            self.failed = False
            log("journal: syncs succeed again, in a new segment")
        self.synced_end = end
        self._record_synced(end)
        for callback in waiting:
            callback()
        if self._waiting and self.waits:
            self._start()

    def _on_failure(self, error: OSError, lost: list[RecordEntry]) -> None:
        if not self.failed:
            log(f"journal: a sync failed: {error}; refusing messages until unsynced records are rewritten")
        self.failed = True
        self._lost = lost + self._lost
        self._due_us = self._clock_us() + RETRY_US
