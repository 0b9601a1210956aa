"""The durable log: segments of records, compacted in slices while traffic flows."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

from amberlug.core.journal.disk import Disk, FolderDisk
from amberlug.core.journal.log import Journal
from amberlug.core.journal.threads import ThreadSyncer
from amberlug.core.ports import Clock

__all__ = ["Disk", "Durability", "FolderDisk", "Journal", "open_journal"]

INTERVAL_US = 1_000_000  # between two syncs


class Durability(Enum):
    """What an answer that a message was taken on outlasts."""

    PROCESS = "process"  # the process, also SIGKILL; a power cut may take the last writes
    INTERVAL = "interval"  # a power cut, but for the last second
    GROUP = "group"  # a power cut: the answer waits for a sync, which many share


def open_journal(folder: Path, room_bytes: int, clock: Clock, durability: Durability) -> Journal:
    """Open a folder's journal in a running loop; errors as `Journal` raises."""
    syncer = None if durability is Durability.PROCESS else ThreadSyncer()
    interval_us = INTERVAL_US if durability is Durability.INTERVAL else None
    return Journal(FolderDisk(folder), room_bytes, clock.wall_ms(), clock.now_us, syncer, interval_us)
