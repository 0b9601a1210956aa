"""A disk in memory that counts its operations, and dies or fails at a chosen one."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable

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
        self.synced: dict[str, int] = {name: len(data) for name, data in self.contents.items()}
        self.lasting = set(self.contents)  # names that a power cut leaves
        self.gone: dict[str, bytearray] = {}  # removed, and a power cut may bring them back
        self.dropped: dict[str, int] = {}  # files of which a failed sync dropped what was not synced
        self.sync_fails: OSError | None = None
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
                for name in names:  # what was written since the last good one may be dropped
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
        """What the next process finds."""
        return FaultyDisk({name: bytes(data) for name, data in self.contents.items()})

    def after_power_cut(self, chance: random.Random | None) -> FaultyDisk:
        """What is left: what was synced, and with `chance` some blocks of the rest, in no order."""
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
        return sorted(name for name in self.contents if number_of(name) is not None)
