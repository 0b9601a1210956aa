"""An in-memory disk for fault injection: it crashes or fails at a chosen operation."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable

from amberlug.core.journal.records import segment_number


class SimulatedCrashError(BaseException):
    """A simulated process crash. Derived from BaseException so that tested code doesn't catch it."""


class FaultyDisk:
    """Files in memory. The process crashes at writing operation `crash_at`, before or halfway through it."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.contents = {name: bytearray(data) for name, data in (files or {}).items()}
        self.operations = 0
        self.crash_at = 0
        self.torn = False  # the operation that crashes is half done
        self.write_error: OSError | None = None  # error raised by each writing operation
        self.short_write = False  # the next failing write writes half of its data
        self.synced: dict[str, int] = {name: len(data) for name, data in self.contents.items()}
        self.durable_names = set(self.contents)  # directory entries that survive a power failure
        self.removed: dict[str, bytearray] = {}  # removed files that a power failure may restore
        self.dropped: dict[str, int] = {}  # files whose unsynced data a failed sync discarded
        self.sync_error: OSError | None = None
        self.peak_usage = 0  # peak disk usage, in whole blocks

    def _count_operation(self) -> bool:
        """Count a writing operation; return whether the process crashes in it."""
        self.operations += 1
        return self.operations == self.crash_at

    def used(self) -> int:
        return sum(-(-len(data) // 512) * 512 for data in self.contents.values())

    def files(self) -> dict[str, int]:
        return {name: len(data) for name, data in self.contents.items()}

    def create(self, name: str) -> None:
        crashes = self._count_operation()
        if self.write_error is not None:
            raise self.write_error
        if crashes and not self.torn:
            raise SimulatedCrashError
        if name in self.contents:
            raise FileExistsError(name)
        self.contents[name] = bytearray()
        if crashes:
            raise SimulatedCrashError

    def append(self, name: str, data: bytes) -> int:
        crashes, file = self._count_operation(), self.contents[name]
        half = data[: len(data) // 2]
        if crashes:
            file += half if self.torn else b""
            raise SimulatedCrashError
        if self.write_error is not None:
            if self.short_write and half:
                self.short_write = False
                file += half
                return len(half)
            raise self.write_error
        file += data
        self.peak_usage = max(self.peak_usage, self.used())
        return len(data)

    def read(self, name: str, offset: int, size: int) -> bytes:
        return bytes(self.contents[name][offset : offset + size])

    def truncate(self, name: str, size: int) -> None:
        if self._count_operation():
            raise SimulatedCrashError
        if self.write_error is not None and self.write_error.errno == errno.EROFS:
            raise self.write_error
        del self.contents[name][size:]

    def remove(self, name: str) -> None:
        crashes = self._count_operation()
        if crashes and not self.torn:
            raise SimulatedCrashError
        self.removed[name] = self.contents.pop(name)
        if crashes:
            raise SimulatedCrashError

    def syncs(self, names: list[str], folder: bool) -> Callable[[], None]:
        def job() -> None:
            if self._count_operation():
                raise SimulatedCrashError
            if self.sync_error is not None:
                for name in names:  # data written since the last successful sync may be lost
                    self.dropped[name] = self.synced.get(name, 0)
                raise self.sync_error
            for name in names:
                if name in self.contents and name not in self.dropped:
                    self.synced[name] = len(self.contents[name])
            if folder:
                self.durable_names = set(self.contents)
                self.removed.clear()

        return job

    def close(self) -> None:
        pass

    def after_crash(self) -> FaultyDisk:
        """Return the disk as the next process finds it."""
        return FaultyDisk({name: bytes(data) for name, data in self.contents.items()})

    def after_power_failure(self, chance: random.Random | None) -> FaultyDisk:
        """Return what survives: synced data and, with `chance`, some random blocks of the unsynced data."""
        left: dict[str, bytes] = {}
        for name, data in {**self.removed, **self.contents}.items():
            survives = name in self.durable_names or (chance is not None and chance.random() < 0.5)
            if not survives or (name in self.removed and chance is not None and chance.random() < 0.5):
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
