"""A holder's copies on disk: files that only grow, every record under a checksum, made anew when loose.

A file begins with a head (`amberlug.core.journal.records`). What is kept goes to the newest file. To make it
anew a further file is begun: from then on all goes there, with the state of each log and message, some a
slice; then the older one goes. States only add up, so that a death in the middle leaves two files that say
the same. A record that can't be read, but for a torn last one, means that this disk has lost what others
count on.
"""

from __future__ import annotations

import errno
import re
import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from amberlug.copies.holder import Holding, read_back
from amberlug.copies.states import Ballot, Kind, Meta, meta_of
from amberlug.core.journal import records as it
from amberlug.core.journal.disk import Disk
from amberlug.core.log import log as say

PROMISE, RECORD, DROP, SEEN = b"P", b"C", b"D", b"W"
SLACK = 1 << 18  # bytes that a file may be longer than twice what lives
SLICE = 64  # states copied in one slice
SCRUB = 1 << 16  # bytes that are read again in one slice
_NAME = re.compile(r"copies-([0-9]{12})\.log")
_SEQUENCE = struct.Struct(">Q")


class DamagedError(ValueError):
    """The disk has lost what it once kept."""


class CopyStore:
    """All that this relay holds for others; `room_bytes` for all of them, shared out evenly by origin.

    Raises `DamagedError` where it can't be believed, `NewerVersionError` where a newer release wrote it.
    """

    def __init__(self, disk: Disk, room_bytes: int, origins: int) -> None:
        # Half for a file, since two are there while one is made anew; of that half again for new messages, so
        # that what is still to be recorded of them, and a successor's states of all, always finds room.
        self._disk, self._most = disk, room_bytes // 2
        self._share = room_bytes // (4 * max(1, origins))
        self._slack = min(SLACK, room_bytes // 8)
        self.logs: dict[str, Holding] = {}
        self.seen: dict[str, tuple[str, tuple[int, ...]]] = {}
        self.sequence = 0  # of what was ever kept here: it only grows
        self._used: dict[str, int] = {}  # live bytes by origin
        self._size = self._number = 0
        self._old: list[str] = []
        self._todo: Iterator[None] | None = None
        self._scrubbed = 0
        self._copying = False
        for number, name in self._files():
            self._read(number, name)
            self._old.append(name)
        for of in self.logs.values():
            origin = of.meta.origin
            self._used[origin] = self._used.get(origin, 0) + sum(copy.size for copy in of.copies.values())
        self._begin()

    def _files(self) -> list[tuple[int, str]]:
        found = [(int(match[1]), name) for name in self._disk.files() if (match := _NAME.fullmatch(name))]
        return sorted(found)

    def _read(self, number: int, name: str) -> None:
        size = self._disk.files()[name]
        data = self._disk.read(name, 0, size)
        head = it.read_segment_header(data)
        self._number = max(self._number, number)
        if head is None:
            if size >= it.HEADER_SIZE:
                raise DamagedError(f"{name}: its head can't be read")
            return
        for record in it.read_records(data, head.folder, number, size):
            if isinstance(record, it.UnreadableRange):
                if it.is_torn_record(data, record):
                    return
                raise DamagedError(f"{name}: {record.size} bytes at {record.offset} can't be read")
            try:
                self._apply(record)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                raise DamagedError(f"{name}: at {record.offset}: {error!r}") from None

    def _apply(self, record: it.Record) -> None:
        (sequence,) = _SEQUENCE.unpack_from(record.rest)
        self.sequence = max(self.sequence, sequence)
        told = msgpack.unpackb(record.rest[_SEQUENCE.size :])
        if record.kind == PROMISE:
            read_back(self.logs, meta_of(told[0]), "", "", "", told[1], None)
        elif record.kind == DROP:
            self.logs.pop(told[0], None)
        elif record.kind == SEEN:
            self.seen[told[0]] = str(told[1]), tuple(told[2])
        elif told[0] in self.logs:
            read_back(self.logs, None, told[0], record.name, told[1], told[2], told[3])

    # What the holder keeps.

    def promise(self, meta: Meta, ballot: Ballot) -> None:
        self._append(PROMISE, "", [meta.packed(), ballot])

    def record(self, log: str, name: str, kind: str, ballot: Ballot, told: list[Any]) -> None:
        origin = self.logs[log].meta.origin if log in self.logs else log.split(".")[0]
        before = self.logs[log].copies.get(name) if log in self.logs else None
        size = 120 + (len(told[4]) if kind == Kind.TAKEN else 60)
        # Guards against one relay's burst that takes the room of what others have copied here.
        if kind == Kind.TAKEN and before is None and self._used.get(origin, 0) + size > self._share:
            raise OSError(errno.ENOSPC, f"no room for more copies of {origin}")
        self._append(RECORD, name, [log, kind, ballot, told])
        self._used[origin] = self._used.get(origin, 0) + (size if before is None else 60)

    def drop(self, log: str) -> None:
        try:
            self._append(DROP, "", [log])
        except OSError as error:
            say(f"copies: {log} is still kept: {error}")

    def saw(self, name: str, incarnation: str, water: tuple[int, ...]) -> None:
        """Keep how much another relay's disk has kept."""
        self.seen[name] = incarnation, water
        try:
            self._append(SEEN, "", [name, incarnation, water])
        except OSError:
            return  # it is told again with the next message

    def _append(self, kind: bytes, name: str, told: Any) -> None:
        rest = _SEQUENCE.pack(self.sequence + 1) + msgpack.packb(told)
        data = it.encode(kind, name.encode("latin-1"), rest, 0, self._number, self._size)
        if self._size + len(data) > self._most:
            self._make_room()
            data = it.encode(kind, name.encode("latin-1"), rest, 0, self._number, self._size)
            if self._size + len(data) > self._most:
                raise OSError(errno.ENOSPC, "no room for copies")
        written = self._disk.append(self._file, data)
        if written < len(data):
            self._disk.truncate(self._file, self._size)
            raise OSError(errno.ENOSPC, "no room for copies")
        self.sequence += 1
        self._size += len(data)

    def _make_room(self) -> None:
        """Make the file anew at once: it is full before its slices came to it."""
        # Guards against records of what is held that find no room. Could hold the loop up for milliseconds
        # a megabyte; the slices begin long before, unless a burst comes faster.
        if self._copying:
            return
        self._copying = True
        try:
            if self._todo is None:
                self._old.append(self._file)
                self._begin()
            while self._todo is not None:
                self._step()
        finally:
            self._copying = False

    # Making it anew.

    @property
    def _file(self) -> str:
        return f"copies-{self._number:012d}.log"

    def _begin(self) -> None:
        """Begin a further file, and copy to it what lives."""
        self._number += 1
        self._size = 0
        self._disk.create(self._file)
        head = it.SegmentHeader(0, self._number, self._number, 0, 0).encode()
        self._disk.append(self._file, head)
        self._size = len(head)
        self._scrubbed = 0
        self._todo = self._copies()

    def _copies(self) -> Iterator[None]:
        for name, (incarnation, water) in list(self.seen.items()):
            self._append(SEEN, "", [name, incarnation, water])
        for of in list(self.logs.values()):
            self._append(PROMISE, "", [of.meta.packed(), of.promised])
        count = 0
        for log, of in list(self.logs.items()):
            for name, copy in list(of.copies.items()):
                if log in self.logs:
                    self._append(RECORD, name, [log, Kind.STATE, of.meta.first, copy.packed()])
                    count += 1
                    if count % SLICE == 0:
                        yield

    def work(self) -> None:
        """Do a slice of what is due: copies to a newer file, and a look at what was written long ago."""
        try:
            self._work()
        except OSError as error:
            say(f"copies: not made anew: {error}")

    def _work(self) -> None:
        if self._todo is not None:
            self._step()
            return
        live: dict[str, int] = {}
        for of in self.logs.values():
            origin = of.meta.origin
            live[origin] = live.get(origin, 0) + sum(copy.size for copy in of.copies.values())
        self._used = live
        loose = self._size > min(2 * sum(live.values()) + self._slack, self._most - self._slack)
        if loose or (self._size > SCRUB and not self._scrub()):
            self._old.append(self._file)
            self._begin()

    def _step(self) -> None:
        """Copy one slice; once all is copied the older files go."""
        assert self._todo is not None
        try:
            next(self._todo)
        except StopIteration:
            self._todo = None
            for name in self._old:
                self._disk.remove(name)
            self._old = []

    def _scrub(self) -> bool:
        """Read some of the file again: whether it still says what was written."""
        # Guards against a bit that has flipped since: memory still has it, and it is written once more.
        size = self._size
        data = self._disk.read(self._file, 0, it.HEADER_SIZE)
        if it.read_segment_header(data) is None:
            return False
        at = max(self._scrubbed, it.HEADER_SIZE)
        data = self._disk.read(self._file, at, min(size - at, 2 * SCRUB))
        seen = 0
        while seen < len(data):
            claimed = it.stated_record_size(data, seen)
            if claimed and seen + claimed > len(data) and at + len(data) < size:
                break
            if it.record_at(data, seen, 0, self._number, at) is None:
                say(f"copies: {self._file} can't be read at {at + seen}: it is written anew")
                return False
            seen += claimed
        self._scrubbed = at + seen if at + seen < size else 0
        return True

    def close(self) -> None:
        """Let go of the files."""
        self._disk.close()
