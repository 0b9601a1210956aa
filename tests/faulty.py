"""An in-memory disk for fault injection: it crashes or fails at a chosen operation."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable

from amberlug.core.journal.records import segment_number


class DiedError(BaseException):
    """A simulated process crash. Derived from BaseException so that tested code doesn't catch it."""


class FaultyDisk:
    """Files in memory. The process crashes at writing operation `dies_at`, before or halfway through it."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.contents = {name: bytearray(data) for name, data in (files or {}).items()}
        self.operations = 0
        self.dies_at = 0
        self.torn = False  # the operation that crashes is half done
        self.fails: OSError | None = None  # error raised by each writing operation
        self.short = False  # the next failing write writes half of its data
        self.synced: dict[str, int] = {name: len(data) for name, data in self.contents.items()}
        self.lasting = set(self.contents)  # directory entries that survive a power failure
        self.gone: dict[str, bytearray] = {}  # removed files that a power failure may restore
        self.dropped: dict[str, int] = {}  # files whose unsynced data a failed sync discarded
        self.sync_fails: OSError | None = None
        self.most = 0  # peak disk usage, in whole blocks

    def _counts(self) -> bool:
        """Count a writing operation; return whether the process crashes in it."""
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
        self.gone[name] = self.contents.pop(name)
        if dies:
            raise DiedError

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        def job() -> None:
            if self._counts():
                raise DiedError
            if self.sync_fails is not None:
                for name in names:  # data written since the last successful sync may be lost
                    self.dropped[name] = self.synced.get(name, 0)
                raise self.sync_fails
            for name in names:
                if name in self.contents and name not in self.dropped:
                    self.synced[name] = len(self.contents[name])
            if folder:
                self.lasting = set(self.contents)
                self.gone.clear()

        return job

    def close(self) -> None:
        pass

    def after_death(self) -> FaultyDisk:
        """Return the disk as the next process finds it."""
        return FaultyDisk({name: bytes(data) for name, data in self.contents.items()})

    def after_power_cut(self, chance: random.Random | None) -> FaultyDisk:
        """Return what survives: synced data and, with `chance`, some random blocks of the unsynced data."""
        left: dict[str, bytes] = {}
        for name, data in {**self.gone, **self.contents}.items():
            lasts = name in self.lasting or (chance is not None and chance.random() < 0.5)
            if not lasts or (name in self.gone and chance is not None and chance.random() < 0.5):
                continue
            safe = self.synced.get(name, 0)
            rest = bytearray(data[safe:]) if chance is not None else bytearray()
            if chance is not None:
                rest = rest[: chance.randint(0, len(rest))]
                for at in range(0, len(rest), 64):
                    if chance.random() < 0.4:
                        rest[at : at + 64] = bytes(len(rest[at : at + 64]))
            left[name] = bytes(data[:safe]) + bytes(rest)
        return FaultyDisk(left)

    def segments(self) -> list[str]:
        return sorted(name for name in self.contents if segment_number(name) is not None)
