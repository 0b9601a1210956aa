"""One process, and one relay in it, to a state folder."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from pathlib import Path


class FolderInUseError(OSError):
    """Another relay has the folder open, in this process or in another."""


class ForkedError(RuntimeError):
    """The relay was opened by a parent process; its child must open one of its own."""


class FolderLock:
    """Holds a folder for its relay's life; the kernel frees it with the process.

    `alive` tells whether its relay can still act: one whose event loop was closed under it can't, and gives
    way to the next relay of the same process. `inode` names the folder, for the life of the process.
    """

    _held: dict[tuple[int, int], FolderLock] = {}  # noqa: RUF012 - one record for the process

    def __init__(self, folder: Path, alive: Callable[[], bool]) -> None:
        self._alive, self._pid = alive, os.getpid()
        self._file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        status = os.fstat(self._file)
        self.inode = status.st_dev, status.st_ino
        before = self._held.get(self.inode)
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
        self._held[self.inode] = self

    def check(self) -> None:
        """Raise `ForkedError` in a child of the process that opened the folder."""
        if os.getpid() != self._pid:
            raise ForkedError("this relay belongs to the parent process; open one on another folder")

    def release(self) -> None:
        """Give the folder up; no harm if it was given up before."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
            self._held.pop(self.inode, None)

    @classmethod
    def let_go(cls) -> None:
        """Close, in a child of a fork, what the parent holds: else it would outlive the parent there."""
        for lock in list(cls._held.values()):
            lock.release()


os.register_at_fork(after_in_child=FolderLock.let_go)
