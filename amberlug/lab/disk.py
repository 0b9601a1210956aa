"""An in-memory directory of limited size that survives restarts of a relay."""

from __future__ import annotations

import errno
from collections.abc import Callable

BLOCK = 512


class MemoryDisk:
    """Files as byte arrays. Written data survives the process; with `full` set, every write fails."""

    def __init__(self, room_bytes: int) -> None:
        self._room, self.full = room_bytes, False
        self._files: dict[str, bytearray] = {}
        self.written = 0

    def _check(self, more: int) -> None:
        used = sum(-(-len(data) // BLOCK) * BLOCK for data in self._files.values())
        if self.full or used + more > self._room:
            raise OSError(errno.ENOSPC, "the disk is full")

    def files(self) -> dict[str, int]:
        """Return the size of each file in bytes."""
        return {name: len(data) for name, data in self._files.items()}

    def create(self, name: str) -> None:
        """Create an empty file; raises `FileExistsError`, or `OSError` if the disk is full."""
        self._check(0)
        if name in self._files:
            raise FileExistsError(name)
        self._files[name] = bytearray()

    def append(self, name: str, data: bytes) -> int:
        """Append to a file and return the number of bytes; raises `OSError` if the disk is full."""
        self._check(len(data))
        self._files[name] += data
        self.written += len(data)
        return len(data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes from an offset."""
        return bytes(self._files[name][offset : offset + size])

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes."""
        del self._files[name][size:]

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._files[name]

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        """Return a sync that does nothing: written data already survives the process."""
        return lambda: None

    def close(self) -> None:
        """Keep the files for the next process."""
