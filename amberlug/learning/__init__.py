"""Persistent statistics on a relay's partners: the records, how they decay, and their storage."""

from __future__ import annotations

from pathlib import Path

from amberlug.core.journal import Durability, FolderDisk
from amberlug.core.journal.threads import ThreadSyncer
from amberlug.core.ports import Clock
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store

__all__ = ["Learner", "open_learning"]

SHARE = 16  # one part in so many of the disk limit is for learned data, the rest for the journal
KEY_LEAST, KEY_MOST = 16, 4096  # bytes in a key file


def read_key(path: Path) -> bytes:
    """Read a key from a file; raises `ValueError` if it is too short or too long."""
    key = path.read_bytes().strip()
    if not KEY_LEAST <= len(key) <= KEY_MOST:
        raise ValueError(f"{path}: a key must have {KEY_LEAST} to {KEY_MOST} bytes")
    return key


def open_learning(
    folder: Path,
    room_bytes: int,
    clock: Clock,
    durability: Durability = Durability.PROCESS,
    key: bytes = b"",
) -> Learner:
    """Open the learned data in a directory, within a running loop; invalid data is logged and ignored."""
    syncer = None if durability is Durability.PROCESS else ThreadSyncer()
    return Learner(Store(FolderDisk(folder), room_bytes, clock.now_us, key, syncer), clock)
