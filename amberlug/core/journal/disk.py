"""The files of a journal, behind an interface small enough that tests can have each operation fail."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """One folder of files that only grow at their end. Every method may raise `OSError`."""

    def files(self) -> dict[str, int]:
        """All files' sizes in bytes, by name."""

    def create(self, name: str) -> None:
        """Make an empty file; an error where there is one."""

    def append(self, name: str, data: bytes) -> int:
        """Write at a file's end; how many bytes were, which may be fewer than there are."""

    def read(self, name: str, offset: int, size: int) -> bytes:
        """Read bytes, fewer at the end of the file."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file off."""

    def remove(self, name: str) -> None:
        """Take a file away."""

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        """A job for another thread: make files outlast a power cut, and new names of the folder."""

    def close(self) -> None:
        """Let go of all files."""


class FolderDisk:
    """A folder of the file system; `write()` outlasts SIGKILL with no sync."""

    def __init__(self, folder: Path, writable: bool = True) -> None:
        self._folder = folder
        self._flags = os.O_RDWR | os.O_APPEND if writable else os.O_RDONLY
        self._open: dict[str, int] = {}

    def files(self) -> dict[str, int]:
        return {entry.name: entry.stat().st_size for entry in os.scandir(self._folder) if entry.is_file()}

    def create(self, name: str) -> None:
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_EXCL
        self._open[name] = os.open(self._folder / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> int:
        file = self._open.get(name)
        return os.write(self._file(name) if file is None else file, data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        return os.pread(self._file(name), size, offset)

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._file(name), size)

    def remove(self, name: str) -> None:
        if (file := self._open.pop(name, None)) is not None:
            os.close(file)
        os.unlink(self._folder / name)

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        # Copies, so that a file may be closed here meanwhile.
        files = [os.dup(self._file(name)) for name in names]
        if folder:
            files.append(os.open(self._folder, os.O_RDONLY))

        def job() -> None:
            try:
                for file in files:
                    os.fsync(file)
            finally:
                for file in files:
                    os.close(file)

        return job

    def close(self) -> None:
        for file in self._open.values():
            os.close(file)
        self._open.clear()

    def _file(self, name: str) -> int:
        """Open a file once; only the last ones are kept, of which one is written and one compacted."""
        if (file := self._open.get(name)) is None:
            while len(self._open) > 2:  # guards against a descriptor for each segment at the start
                os.close(self._open.pop(next(iter(self._open))))
            file = self._open[name] = os.open(self._folder / name, self._flags)
        return file
