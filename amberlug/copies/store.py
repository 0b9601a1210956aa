"""A holder's disk storage: append-only files of checksummed records, compacted in the background.

A file begins with a header (`amberlug.core.journal.records`). Records are appended to the newest file.
Compaction begins a new file, which receives all records from then on, and copies the state of each log and
message to it in slices; then it deletes the older files. Applying a state twice is harmless, so a crash in
between leaves two files with the same meaning. An unreadable record, other than a torn one at the end, means
that this disk has lost data that other relays count on.
"""

from __future__ import annotations

import errno
import re
import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from amberlug.copies.holder import HeldLog, apply_stored
from amberlug.copies.states import Ballot, Kind, LogMetadata, decode_metadata
from amberlug.core.journal import records as journal_records
from amberlug.core.journal.disk import Disk
from amberlug.core.log import log as log_line

PROMISE, RECORD, DROP, WATERMARK = b"P", b"C", b"D", b"W"
COMPACTION_SLACK_BYTES = 1 << 18  # bytes by which a file may exceed twice its live data
STATES_PER_STEP = 64  # states copied per step
SCRUB_BYTES = 1 << 16  # bytes checked per step
_FILE_NAME = re.compile(r"copies-([0-9]{12})\.log")
_SEQUENCE = struct.Struct(">Q")


class DamagedError(ValueError):
    """The disk has lost data that it once stored."""


class CopyStore:
    """Everything this relay holds for others. `room_bytes` is divided evenly among origins.

    Raises `DamagedError` if stored data is damaged, `NewerVersionError` if a newer release wrote it.
    """

    def __init__(self, disk: Disk, room_bytes: int, origins: int) -> None:
        # Half for each file, since compaction needs two. Half of that for new messages, so that later
        # records of held messages, and a successor's states of them all, always find room.
        self._disk, self._max_file_bytes = disk, room_bytes // 2
        self._origin_share = room_bytes // (4 * max(1, origins))
        self._slack = min(COMPACTION_SLACK_BYTES, room_bytes // 8)
        self.logs: dict[str, HeldLog] = {}
        self.peer_watermarks: dict[str, tuple[str, tuple[int, ...]]] = {}
        self.sequence = 0  # of the last record ever stored here; never decreases
        self._live_bytes: dict[str, int] = {}  # live bytes by origin
        self._size = self._number = 0
        self._old_files: list[str] = []
        self._compaction: Iterator[None] | None = None
        self._verified_until = 0
        self._copying_all = False
        for number, name in self._files():
            self._read(number, name)
            self._old_files.append(name)
        for held_log in self.logs.values():
            origin = held_log.meta.origin
            self._live_bytes[origin] = self._live_bytes.get(origin, 0) + sum(
                copy.size for copy in held_log.copies.values()
            )
        self._begin_compaction()

    def _files(self) -> list[tuple[int, str]]:
        found = [
            (int(match[1]), name) for name in self._disk.files() if (match := _FILE_NAME.fullmatch(name))
        ]
        return sorted(found)

    def _read(self, number: int, name: str) -> None:
        size = self._disk.files()[name]
        data = self._disk.read(name, 0, size)
        head = journal_records.read_segment_header(data)
        self._number = max(self._number, number)
        if head is None:
            if size >= journal_records.HEADER_SIZE:
                raise DamagedError(f"{name}: unreadable header")
            return
        for record in journal_records.read_records(data, head.folder, number, size):
            if isinstance(record, journal_records.UnreadableRange):
                if journal_records.is_torn_record(data, record):
                    return
                raise DamagedError(f"{name}: {record.size} unreadable bytes at offset {record.offset}")
            try:
                self._apply(record)
            except (ValueError, TypeError, KeyError, IndexError) as error:
                raise DamagedError(f"{name}: malformed record at offset {record.offset}: {error!r}") from None

    def _apply(self, record: journal_records.Record) -> None:
        (sequence,) = _SEQUENCE.unpack_from(record.rest)
        self.sequence = max(self.sequence, sequence)
        payload = msgpack.unpackb(record.rest[_SEQUENCE.size :])
        if record.kind == PROMISE:
            apply_stored(self.logs, decode_metadata(payload[0]), "", "", "", payload[1], None)
        elif record.kind == DROP:
            self.logs.pop(payload[0], None)
        elif record.kind == WATERMARK:
            self.peer_watermarks[payload[0]] = str(payload[1]), tuple(payload[2])
        elif payload[0] in self.logs:
            apply_stored(self.logs, None, payload[0], record.name, payload[1], payload[2], payload[3])

    # Storage for `Holder`.

    def promise(self, meta: LogMetadata, ballot: Ballot) -> None:
        """Persist the ballot to which a log is promised; `OSError` if nothing was written."""
        self._append(PROMISE, "", [meta.encoded(), ballot])

    def record(self, log: str, name: str, kind: str, ballot: Ballot, fields: list[Any]) -> None:
        """Persist one record; `OSError` if nothing was written or its origin's space is used up."""
        origin = self.logs[log].meta.origin if log in self.logs else log.split(".")[0]
        before = self.logs[log].copies.get(name) if log in self.logs else None
        size = 120 + (len(fields[4]) if kind == Kind.TAKEN else 60)
        # Guards against a burst of one relay's messages taking the room of other relays' replicas.
        if (
            kind == Kind.TAKEN
            and before is None
            and self._live_bytes.get(origin, 0) + size > self._origin_share
        ):
            raise OSError(errno.ENOSPC, f"no room for more copies of {origin}")
        self._append(RECORD, name, [log, kind, ballot, fields])
        self._live_bytes[origin] = self._live_bytes.get(origin, 0) + (size if before is None else 60)

    def drop(self, log: str) -> None:
        """Delete a log and everything held for it; a failure is logged."""
        try:
            self._append(DROP, "", [log])
        except OSError as error:
            log_line(f"copies: could not delete log {log}: {error}")

    def watermark_observed(self, name: str, incarnation: str, watermark: tuple[int, ...]) -> None:
        """Persist another relay's watermark."""
        self.peer_watermarks[name] = incarnation, watermark
        try:
            self._append(WATERMARK, "", [name, incarnation, watermark])
        except OSError:
            return  # the next message repeats it

    def _append(self, kind: bytes, name: str, payload: Any) -> None:
        rest = _SEQUENCE.pack(self.sequence + 1) + msgpack.packb(payload)
        data = journal_records.encode(kind, name.encode("latin-1"), rest, 0, self._number, self._size)
        if self._size + len(data) > self._max_file_bytes:
            self._compact_now()
            data = journal_records.encode(kind, name.encode("latin-1"), rest, 0, self._number, self._size)
            if self._size + len(data) > self._max_file_bytes:
                raise OSError(errno.ENOSPC, "no room for copies")
        written = self._disk.append(self._file, data)
        if written < len(data):
            self._disk.truncate(self._file, self._size)
            raise OSError(errno.ENOSPC, "no room for copies")
        self.sequence += 1
        self._size += len(data)

    def _compact_now(self) -> None:
        """Compact to completion at once: the file filled up before background compaction was done."""
        # Guards against rejecting records of held messages. May block the event loop for milliseconds per
        # megabyte; background compaction starts long before this is needed, unless a burst is faster.
        if self._copying_all:
            return
        self._copying_all = True
        try:
            if self._compaction is None:
                self._old_files.append(self._file)
                self._begin_compaction()
            while self._compaction is not None:
                self._compact_step()
        finally:
            self._copying_all = False

    # Compaction.

    @property
    def _file(self) -> str:
        return f"copies-{self._number:012d}.log"

    def _begin_compaction(self) -> None:
        """Begin a new file and the copying of live data to it."""
        self._number += 1
        self._size = 0
        self._disk.create(self._file)
        head = journal_records.SegmentHeader(0, self._number, self._number, 0, 0).encode()
        self._disk.append(self._file, head)
        self._size = len(head)
        self._verified_until = 0
        self._compaction = self._copy_live_data()

    def _copy_live_data(self) -> Iterator[None]:
        for name, (incarnation, watermark) in list(self.peer_watermarks.items()):
            self._append(WATERMARK, "", [name, incarnation, watermark])
        for held_log in list(self.logs.values()):
            self._append(PROMISE, "", [held_log.meta.encoded(), held_log.promised])
        count = 0
        for log, held_log in list(self.logs.items()):
            for name, copy in list(held_log.copies.items()):
                if log in self.logs:
                    self._append(RECORD, name, [log, Kind.STATE, held_log.meta.origin_ballot, copy.encoded()])
                    count += 1
                    if count % STATES_PER_STEP == 0:
                        yield

    def work(self) -> None:
        """Do one step of background work: compaction, or checking data written earlier."""
        try:
            self._background_step()
        except OSError as error:
            log_line(f"copies: compaction failed: {error}")

    def _background_step(self) -> None:
        if self._compaction is not None:
            self._compact_step()
            return
        live: dict[str, int] = {}
        for held_log in self.logs.values():
            origin = held_log.meta.origin
            live[origin] = live.get(origin, 0) + sum(copy.size for copy in held_log.copies.values())
        self._live_bytes = live
        oversized = self._size > min(2 * sum(live.values()) + self._slack, self._max_file_bytes - self._slack)
        if oversized or (self._size > SCRUB_BYTES and not self._verify_slice()):
            self._old_files.append(self._file)
            self._begin_compaction()

    def _compact_step(self) -> None:
        """Copy one slice; delete the older files once everything is copied."""
        assert self._compaction is not None
        try:
            next(self._compaction)
        except StopIteration:
            self._compaction = None
            for name in self._old_files:
                self._disk.remove(name)
            self._old_files = []

    def _verify_slice(self) -> bool:
        """Read back a part of the file; False if it does not match what was written."""
        # Guards against bits that flipped on disk: the data is still in memory and is written again.
        size = self._size
        data = self._disk.read(self._file, 0, journal_records.HEADER_SIZE)
        if journal_records.read_segment_header(data) is None:
            return False
        at = max(self._verified_until, journal_records.HEADER_SIZE)
        data = self._disk.read(self._file, at, min(size - at, 2 * SCRUB_BYTES))
        offset = 0
        while offset < len(data):
            claimed = journal_records.stated_record_size(data, offset)
            if claimed and offset + claimed > len(data) and at + len(data) < size:
                break
            if journal_records.record_at(data, offset, 0, self._number, at) is None:
                log_line(
                    f"copies: {self._file}: unreadable record at offset {at + offset}; rewriting the file"
                )
                return False
            offset += claimed
        self._verified_until = at + offset if at + offset < size else 0
        return True

    def close(self) -> None:
        """Close the files."""
        self._disk.close()
