"""File access of the journal, behind an interface small enough for tests to inject faults."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """A folder of append-only files. Every method may raise `OSError`."""

    def files(self) -> dict[str, int]:
        """Return the sizes of all files in bytes, by name."""

    def create(self, name: str) -> None:
        """Create an empty file; fails if it exists."""

    def append(self, name: str, data: bytes) -> int:
        """Append to a file; return the number of bytes written, which may be smaller than requested."""

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes; fewer at the end of the file."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        """Return a job for another thread that syncs files and, if `folder`, the folder's entries."""

    def close(self) -> None:
        """Close all open files."""


class FolderDisk:
    """A folder of the file system; completed writes survive SIGKILL without a sync."""

    def __init__(self, folder: Path, writable: bool = True) -> None:
        self._folder = folder
        self._flags = os.O_RDWR | os.O_APPEND if writable else os.O_RDONLY
        self._open: dict[str, int] = {}

    def files(self) -> dict[str, int]:
        """Return the sizes of all files in bytes, by name."""
        return {entry.name: entry.stat().st_size for entry in os.scandir(self._folder) if entry.is_file()}

    def create(self, name: str) -> None:
        """Create an empty file; `FileExistsError` if it exists."""
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_EXCL
        self._open[name] = os.open(self._folder / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> int:
        """Append to a file; return the number of bytes written, which may be smaller than requested."""
        file = self._open.get(name)
        return os.write(self._file(name) if file is None else file, data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read up to `size` bytes; fewer at the end of the file."""
        return os.pread(self._file(name), size, offset)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(self._file(name), size)

    def remove(self, name: str) -> None:
        """Close and delete a file."""
        if (file := self._open.pop(name, None)) is not None:
            os.close(file)
        os.unlink(self._folder / name)

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        """Return a job for another thread that syncs files and, if `folder`, the folder's entries."""
        # Duplicated descriptors, so that a file may be closed here during the sync.
        files = [os.dup(self._file(name)) for name in names]
        if folder:
            files.append(os.open(self._folder, os.O_RDONLY))

        def job() -> None:
            """Sync the files, then close their duplicated descriptors."""
            try:
                for file in files:
                    os.fsync(file)
            finally:
                for file in files:
                    os.close(file)

        return job

    def close(self) -> None:
        """Close all open files."""
        for file in self._open.values():
            os.close(file)
        self._open.clear()

    def _file(self, name: str) -> int:
        """Return a cached descriptor. Only a few are kept: one segment is written, one compacted."""
        if (file := self._open.get(name)) is None:
            while len(self._open) > 2:  # recovery reads all segments: don't keep a descriptor for each
                os.close(self._open.pop(next(iter(self._open))))
            file = self._open[name] = os.open(self._folder / name, self._flags)
        return file
