"""Persistent statistics on a relay's partners: the records, how they decay, and their storage."""

from __future__ import annotations

from pathlib import Path

from amberlug.core.journal import Durability, FolderDisk
from amberlug.core.journal.threads import ThreadSyncer
from amberlug.core.ports import Clock
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store

__all__ = ["Learner", "open_learning"]

DISK_SHARE_DIVISOR = 16  # one such part of the disk limit is for learned data, the rest for the journal
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 4096


def read_key(path: Path) -> bytes:
    """Read a key from a file; raises `ValueError` if it is too short or too long."""
    key = path.read_bytes().strip()
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(f"{path}: a key must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    return key


def open_learning(
    folder: Path,
    max_bytes: int,
    clock: Clock,
    durability: Durability = Durability.PROCESS,
    key: bytes = b"",
) -> Learner:
    """Open the learned data in a directory, within a running loop; invalid data is logged and ignored."""
    syncer = None if durability is Durability.PROCESS else ThreadSyncer()
    return Learner(Store(FolderDisk(folder), max_bytes, clock.now_us, key, syncer), clock)
