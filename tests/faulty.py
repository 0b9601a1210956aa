"""A disk in memory that counts its operations, and dies or fails at a chosen one."""

from __future__ import annotations

import errno

from amberlug.core.journal.records import number_of


class DiedError(BaseException):
    """The process has ended here; nothing may catch it."""


class FaultyDisk:
    """Files as bytes. `dies_at` ends the process at that operation, of which half may have been done."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.contents = {name: bytearray(data) for name, data in (files or {}).items()}
        self.operations = 0
        self.dies_at = 0
        self.torn = False  # the operation at which it dies is half done
        self.fails: OSError | None = None  # what each writing operation raises
        self.short = False  # a write that fails has written half
        self.room: int | None = None
        self.most = 0  # the most room that was ever taken, in whole blocks

    def _counts(self) -> bool:
        """Count a writing operation; whether the process dies in it."""
        self.operations += 1
        return self.operations == self.dies_at

    def used(self) -> int:
        return sum(-(-len(data) // 512) * 512 for data in self.contents.values())

    def files(self) -> dict[str, int]:
        return {name: len(data) for name, data in self.contents.items()}

    def create(self, name: str) -> None:
        dies = self._counts()
        if self.fails is not None:
            raise self.fails
        if dies and not self.torn:
            raise DiedError
        if name in self.contents:
            raise FileExistsError(name)
        self.contents[name] = bytearray()
        if dies:
            raise DiedError

    def append(self, name: str, data: bytes) -> int:
        dies, file = self._counts(), self.contents[name]
        half = data[: len(data) // 2]
        if dies:
            file += half if self.torn else b""
            raise DiedError
        if self.fails is not None:
            if self.short and half:
                self.short = False
                file += half
                return len(half)
            raise self.fails
        if self.room is not None and self.used() + len(data) > self.room:
            raise OSError(errno.ENOSPC, "disk full")
        file += data
        self.most = max(self.most, self.used())
        return len(data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self.contents[name][offset : offset + size])

    def truncate(self, name: str, size: int) -> None:
        if self._counts():
            raise DiedError
        if self.fails is not None and self.fails.errno == errno.EROFS:
            raise self.fails
        del self.contents[name][size:]

    def remove(self, name: str) -> None:
        dies = self._counts()
        if dies and not self.torn:
            raise DiedError
        del self.contents[name]
        if dies:
            raise DiedError

    def close(self) -> None:
        pass

    def after_death(self) -> FaultyDisk:
        """What the next process finds."""
        return FaultyDisk({name: bytes(data) for name, data in self.contents.items()})

    def segments(self) -> list[str]:
        return sorted(name for name in self.contents if number_of(name) is not None)
