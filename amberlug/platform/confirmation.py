"""Stores when discovery last confirmed the list: the next process starts with the same list."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from amberlug.core.clock import SECOND
from amberlug.core.ports import Clock

FILE_NAME = "heard"
WRITE_INTERVAL_US = SECOND // 2  # the next process takes the list to be older by at most this
_FORMAT = struct.Struct(">Q40sI")


class ListConfirmation:
    """The time of the last confirmation, by the machine's monotonic clock.

    If it can't be written, the list only appears to be older than it is.
    """

    def __init__(self, folder: Path, clock: Clock) -> None:
        self._path, self._clock = folder / FILE_NAME, clock
        self._written_us: int | None = None

    def age_s(self) -> float | None:
        """Return the seconds since then; None if that is unknown, as after a reboot."""
        try:
            data = self._path.read_bytes()
        except OSError:
            return None
        if len(data) != _FORMAT.size or not self._clock.boot:
            return None
        at_us, boot, check = _FORMAT.unpack(data)
        own = boot.rstrip(b"\0") == self._clock.boot.encode()
        if not own or check != zlib.crc32(data[:-4]):
            return None
        return max(0, self._clock.now_us() - int(at_us)) / SECOND

    def record(self) -> None:
        """Store that the list has just been confirmed."""
        now_us, boot = self._clock.now_us(), self._clock.boot.encode()
        if not boot or (self._written_us is not None and now_us - self._written_us < WRITE_INTERVAL_US):
            return
        body = _FORMAT.pack(now_us, boot, 0)[:-4]
        try:
            file = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o600)
            try:
                os.pwrite(file, body + struct.pack(">I", zlib.crc32(body)), 0)
            finally:
                os.close(file)
        except OSError:
            return
        self._written_us = now_us
