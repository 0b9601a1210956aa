"""Exclusive lock on a state folder: one process, and one relay within it."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from pathlib import Path


class FolderInUseError(OSError):
    """The folder is in use by another relay, in this process or in another one."""


class ForkedError(RuntimeError):
    """The relay was opened by the parent process; a forked child must open its own."""


class FolderLock:
    """Locks a folder for the lifetime of its relay; the kernel releases the lock when the process exits.

    `alive` reports whether the owning relay can still act. A relay whose event loop was closed cannot, so the
    next relay of the same process takes over its lock. `inode` identifies the folder within the process.
    """

    _locks: dict[tuple[int, int], FolderLock] = {}  # noqa: RUF012 - shared by all locks of the process

    def __init__(self, folder: Path, alive: Callable[[], bool]) -> None:
        self._alive, self._pid = alive, os.getpid()
        self._file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        status = os.fstat(self._file)
        self.inode = status.st_dev, status.st_ino
        before = self._locks.get(self.inode)
        if before is not None and not before._alive():
            before.release()
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._file)
            self._file = -1
            if isinstance(error, BlockingIOError):
                raise FolderInUseError(error.errno, f"another relay has {folder} open") from None
            raise
        self._locks[self.inode] = self

    def check(self) -> None:
        """Raise `ForkedError` in a child of the process that opened the folder."""
        if os.getpid() != self._pid:
            raise ForkedError("this relay belongs to the parent process; open one on another folder")

    def release(self) -> None:
        """Release the lock; does nothing if it was released before."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
            self._locks.pop(self.inode, None)

    @classmethod
    def release_in_child(cls) -> None:
        """Close the parent's lock files in a forked child.

        Otherwise the child would keep the lock after the parent has exited.
        """
        for lock in list(cls._locks.values()):
            lock.release()


os.register_at_fork(after_in_child=FolderLock.release_in_child)
