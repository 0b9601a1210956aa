"""The durable journal: segments of records, compacted incrementally during operation."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

from amberlug.core.journal.disk import Disk, FolderDisk
from amberlug.core.journal.log import Journal
from amberlug.core.journal.threads import ThreadSyncer
from amberlug.core.ports import Clock

__all__ = ["Disk", "Durability", "FolderDisk", "Journal", "open_journal"]

INTERVAL_US = 1_000_000  # interval between syncs


class Durability(Enum):
    """The kind of failure that a confirmed message survives."""

    PROCESS = "process"  # process exit, also by SIGKILL; a power failure may lose the last writes
    INTERVAL = "interval"  # a power failure, except for the last second
    GROUP = "group"  # a power failure: the response waits for a sync, shared by many (group commit)


def open_journal(folder: Path, max_bytes: int, clock: Clock, durability: Durability) -> Journal:
    """Open the journal in a folder; needs a running event loop. Raises the same errors as `Journal`."""
    syncer = None if durability is Durability.PROCESS else ThreadSyncer()
    interval_us = INTERVAL_US if durability is Durability.INTERVAL else None
    return Journal(FolderDisk(folder), max_bytes, clock.wall_ms(), clock.now_us, syncer, interval_us)
