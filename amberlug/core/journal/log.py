"""The journal: appends records to the newest segment and compacts the oldest in time slices."""

from __future__ import annotations

import contextlib
import errno
import json
import secrets
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from itertools import islice
from json.encoder import encode_basestring_ascii
from typing import NamedTuple

from amberlug.core.journal import legacy, records
from amberlug.core.journal.disk import Disk
from amberlug.core.journal.recovery import (
    ATTEMPT,
    DROPPED,
    ENDED,
    HOW,
    OUTCOME,
    OUTCOMES,
    OWED,
    REPLY,
    SYNCED,
    TAKE,
    RecordPosition,
    RecoveredJournal,
    Segment,
    pack_position,
    recover_folder,
    resumable_messages,
    total_size,
    unpack_position,
)
from amberlug.core.journal.space import SLICE_US, DiskUsage, SpacePolicy, round_up_to_blocks
from amberlug.core.journal.sync_scheduler import RecordEntry, Syncer, SyncScheduler
from amberlug.core.log import log
from amberlug.core.messages import Attempt, AttemptResult, End, Message, Refusal
from amberlug.core.ports import LegacyState, PendingMessage

_encode_json = json.JSONEncoder(separators=(",", ":")).encode  # dumps() creates an encoder for each call
EXPIRY_CHECKS = 2  # names of ended messages checked for expiry with each ENDED record
MAX_NAME_AGE_US = 3_600_000_000  # longest time a recovered name is remembered, whatever the clocks say


class _EndedMessage(NamedTuple):
    """An ended message: when its name expires, by the monotonic and by the wall clock, and when it ended."""

    until_us: int
    until_ms: int
    ended_ms: int
    end: End | None = None  # its outcome, if known


class Journal:
    """The segments of the journal and an index of their records.

    `clock_us` is a monotonic clock; `now_ms` is the wall clock at startup. Raises `OSError` if the folder
    can't be read and `ValueError` if a newer release wrote it. A folder that can't be written is opened
    nevertheless; no messages are accepted until it is writable.
    """

    def __init__(
        self,
        disk: Disk,
        max_bytes: int,
        now_ms: int,
        clock_us: Callable[[], int],
        syncer: Syncer | None = None,
        interval_us: int | None = None,
    ) -> None:
        self._sync_scheduler = (
            SyncScheduler(syncer, disk, clock_us, interval_us, self._rewrite, self._record_synced_position)
            if syncer is not None
            else None
        )
        self._awaiting_deletion = (
            False  # whether the oldest segment is compacted and waits for a sync to be deleted
        )
        self._disk, self._space, self._clock_us = disk, SpacePolicy(max_bytes), clock_us
        found = recover_folder(disk)
        old = legacy.read(disk)
        self.damage = found.damage
        for damage in found.damage:
            log(f"journal: {damage}")
        self.held = resumable_messages(found, now_ms)
        if old is not None:
            self.held = legacy.merge(old, self.held, found.ended)
        self.earlier: LegacyState = (
            found.earlier if found.earlier != LegacyState() or old is None else old.earlier
        )
        self._load(found, now_ms)
        if old is not None:
            self._migrate_legacy(old, now_ms)
        if self._sync_scheduler is not None:  # records of the previous process may not be synced yet
            for segment in self._segments:
                self._sync_scheduler.record_written(segment.name, (segment.number, segment.size), None)
            self._sync_scheduler.synced_end = self._sync_scheduler.end

    def _load(self, found: RecoveredJournal, now_ms: int) -> None:
        """Initialize the index from the recovered state; writing starts in a new segment."""
        self._folder_id = found.folder or secrets.randbits(63)
        self._segments = deque(found.segments)
        self._last_number = found.last
        self._order = found.order
        self._positions = {name: recovered.positions for name, recovered in found.messages.items()}
        self._owed = {name for name, one in self.held.items() if one.end is not None}
        segments = {segment.number: segment for segment in self._segments}
        for name, positions in self._positions.items():
            for number in {unpack_position(position)[0] for position in positions} & segments.keys():
                segments[number].names[name] = None
        now_us = self._clock_us()
        # Not a plain dict, whose iteration skips all entries deleted at its front again and again.
        self._ended: OrderedDict[str, _EndedMessage] = OrderedDict()
        for name, (until_ms, ended_ms, number, end) in found.ended.items():
            # Expiry uses the monotonic clock because the wall clock may be changed. No name outlives the
            # time that its message had left when it ended.
            left_ms = max(0, min(until_ms - now_ms, until_ms - ended_ms))
            until_us = now_us + min(left_ms * 1000, MAX_NAME_AGE_US)
            self._ended[name] = _EndedMessage(until_us, until_ms, ended_ms, end)
            if number in segments:
                segments[number].ends.append(name)
        self._active: Segment | None = None
        # Names whose records in the oldest segment must still be copied; True for an ENDED record.
        self._to_copy: deque[tuple[str, bool]] | None = None
        self._deferred: deque[RecordEntry] = deque()  # records of past events that could not be written yet
        live = sum(recovered.size for recovered in found.messages.values())
        self._usage = DiskUsage(
            used=round_up_to_blocks(found.left), live=live, held_messages=len(self._positions)
        )
        for segment in self._segments:
            self._usage.add_file(segment.size)
        self._delete_files(found.obsolete_files)

    def _delete_files(self, names: list[str]) -> None:
        for name in names:
            try:
                self._disk.remove(name)
            except OSError as error:
                log(f"journal: {name}: {error}")

    def _migrate_legacy(self, old: legacy.LegacyJournal, now_ms: int) -> None:
        """Migrate the journal of an earlier release to segments, then delete its files."""
        both = [one for name, one in self.held.items() if name in old.held]
        try:
            self.import_messages(both, old.ended, now_ms)
        except OSError as error:
            log(f"journal: the journal of the earlier release was not migrated: {error}")
            return
        self._delete_files(old.files)

    def import_messages(self, ones: Iterable[PendingMessage], ended: Mapping[str, int], now_ms: int) -> None:
        """Write messages and names from another source; `OSError` if not all could be written."""
        for one in ones:
            self._import_message(one)
        for name, until_ms in ended.items():
            until_us = self._clock_us() + max(0, until_ms - now_ms) * 1000
            self._ended[name] = _EndedMessage(until_us, until_ms, now_ms)
            self._write(records.ENDED, name, ENDED.pack(until_ms, now_ms))

    def _import_message(self, one: PendingMessage) -> None:
        message = one.message
        if one.end is not None:
            self._owe(message, one.end)
            return
        self._write(records.TAKEN, message.name, self._take_record(message, one.taken_ms))
        for number, tried in one.tried.items():
            self._write(
                records.ATTEMPT, message.name, ATTEMPT.pack(number, tried.at_ms) + tried.endpoint.encode()
            )
            if tried.result is not None:
                result = tried.result.value.encode()
                self._write(records.OUTCOME, message.name, OUTCOME.pack(number) + result)

    def close(self) -> None:
        """Close the files; nothing is written afterwards."""
        if self._sync_scheduler is not None:
            self._sync_scheduler.close()
        self._disk.close()

    # The interface for the core.

    @property
    def waits(self) -> bool:
        """Whether records become durable only some time after they were written."""
        return self._sync_scheduler is not None and self._sync_scheduler.waits

    def refuses(self, message: Message) -> Refusal | None:
        """Return None: the local journal needs nothing but space, which `fits` checks."""
        return None

    def promise(self, message: Message, kept: Callable[[], object], broken: Callable[[bool], object]) -> None:
        """Run `kept` once an accepted message is durable."""
        self.after(kept)

    @property
    def water(self) -> tuple[int, int]:
        """The newest segment's number and size, a measure of all data ever written; it only grows."""
        newest = self._segments[-1] if self._segments else None
        return (newest.number, newest.size) if newest is not None else (0, 0)

    def known(self) -> dict[str, int]:
        """Return the expiry time of each ended message's name (Unix time, ms)."""
        return {name: ended.until_ms for name, ended in self._ended.items()}

    def after(
        self, callback: Callable[[], object], name: str = "", never: Callable[[], object] | None = None
    ) -> None:
        """Run a callback once everything recorded so far is durable; synchronously if it already is."""
        if self._sync_scheduler is not None and self._sync_scheduler.waits:
            self._sync_scheduler.after(callback)
        else:
            callback()

    def knows(self, name: str) -> bool:
        """Whether a message with that name was accepted and may not have reached its deadline."""
        return name in self._positions or self._is_remembered(name)

    def _is_remembered(self, name: str) -> bool:
        """Whether the name of an ended message must still be remembered."""
        ended = self._ended.get(name)
        return ended is not None and ended.until_us > self._clock_us()

    def ended(self, name: str) -> End | None:
        """Return the outcome of an ended message whose name is still remembered, if known."""
        return self._ended[name].end if self._is_remembered(name) else None

    def fits(self, size: int) -> bool:
        """Whether there is space for a message with a body of that size and all its later records."""
        failed = self._sync_scheduler is not None and self._sync_scheduler.failed
        return not (self._deferred or failed) and self._space.accepts_message(self._usage, size)

    def retry_us(self, size: int) -> int:
        """Microseconds after which a message that does not fit may be retried."""
        return self._space.retry_us(self._usage, size)

    def take(self, message: Message, now_ms: int) -> None:
        """Record a message before its acceptance is confirmed; `OSError` if it was not recorded."""
        self._write(records.TAKEN, message.name, self._take_record(message, now_ms))

    def reply(self, message: Message) -> None:
        """Record a message's reply address; `OSError` if it does not fit or was not recorded."""
        if not self.fits(len(message.reply)):  # must not use the space reserved for held messages
            raise OSError(errno.ENOSPC, "no room in the journal")
        self._write(records.REPLY, message.name, _reply_record(message))

    def _take_record(self, message: Message, now_ms: int) -> bytes:
        self._order += 1
        header = TAKE.pack(self._order, now_ms, max(0, message.deadline_ms), message.destination)
        fields = (
            f"[{_json_text(message.message_class)},{_json_text(message.tenant)},{_json_text(message.key)}"
        )
        if message.replies:
            told = message.replies, message.noticed, message.reply.decode("latin-1")
            fields += f",{_encode_json(told)}"
        return header + fields.encode() + b"]\n" + message.body

    def attempt(self, attempt: Attempt, now_ms: int) -> None:
        """Record an attempt before its first byte is sent; `OSError` if it was not recorded."""
        rest = ATTEMPT.pack(attempt.number, now_ms) + attempt.endpoint.encode()
        self._write(records.ATTEMPT, attempt.message.name, rest)

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Record how an attempt ended."""
        rest = OUTCOME.pack(attempt.number) + how.result.value.encode()
        self._record_event(records.OUTCOME, attempt.message.name, rest)

    def owe(self, message: Message, end: End) -> None:
        """Record an outcome that has yet to be acknowledged; deferred if the write fails."""
        try:
            self._owe(message, end)
        except OSError as error:
            self._defer(error, records.OWED, message.name, self._owed_record(message, end))

    def _owe(self, message: Message, end: End) -> None:
        self._remove_message(message.name)
        self._owed.add(message.name)
        self._positions[message.name] = ()
        self._usage.held_messages += 1
        self._write(records.OWED, message.name, self._owed_record(message, end))

    def _owed_record(self, message: Message, end: End) -> bytes:
        record = OWED.pack(OUTCOMES.index(end.outcome), end.retry_ms, max(0, message.deadline_ms))
        return record + (_reply_record(message) if message.replies else b"")

    def end(self, name: str, until_ms: int, now_ms: int, how: End | None = None) -> None:
        """Record that a message has ended; its name is remembered until `until_ms` (Unix time)."""
        self._remove_message(name)
        now_us, until_ms = self._clock_us(), max(0, until_ms)
        ended = _EndedMessage(now_us + max(0, until_ms - now_ms) * 1000, until_ms, now_ms, how)
        self._ended[name] = ended
        self._record_event(records.ENDED, name, _ended_record(ended))
        self._forget_expired_names(now_us)

    def _forget_expired_names(self, now_us: int) -> None:
        """Remove expired names, checking the oldest few on each call."""
        for _ in range(min(EXPIRY_CHECKS, len(self._ended))):
            name, ended = self._ended.popitem(last=False)
            if ended.until_us > now_us:
                self._ended[name] = ended  # checked again after all others

    def _remove_message(self, name: str) -> None:
        positions = self._positions.pop(name, None)
        if positions is not None:
            self._usage.live -= total_size(positions)
            self._usage.held_messages -= 1
        self._owed.discard(name)

    # Writing.

    def _record_event(self, kind: bytes, name: str, rest: bytes) -> None:
        """Record something that has already happened; if that fails it is written later."""
        try:
            if self._deferred:
                self._write_deferred()
            self._append(kind, name, rest)
        except OSError as error:
            self._defer(error, kind, name, rest)

    def _defer(self, error: OSError, kind: bytes, name: str, rest: bytes) -> None:
        if not self._deferred:
            log(f"journal: {error}; refusing messages until writes succeed again")
        self._deferred.append((kind, name, rest))

    def _write_deferred(self) -> None:
        """Write the records that could not be written before."""
        while self._deferred:
            kind, name, rest = self._deferred[0]
            if kind == records.ENDED or name in self._positions:
                self._append(kind, name, rest)
            self._deferred.popleft()
            if not self._deferred:
                log("journal: writes succeed again")

    def _write(self, kind: bytes, name: str, rest: bytes) -> None:
        if self._deferred:
            self._write_deferred()
        self._append(kind, name, rest)

    def _append(self, kind: bytes, name: str, rest: bytes) -> None:
        """Write one record, completely or not at all."""
        size = records.RECORD_HEADER_SIZE + len(name) + len(rest)
        segment = self._active
        if segment is None or (
            segment.size > records.HEADER_SIZE and self._space.needs_new_segment(segment.size, size)
        ):
            segment = self._start_segment()
        if not self._space.fits_record(self._usage, size):
            raise OSError(errno.ENOSPC, "no room in the journal")
        try:
            self._append_to_segment(segment, kind, name, rest)
        except OSError as error:
            # The file size limit may be below the segment size: continue in a new segment.
            if error.errno != errno.EFBIG or segment.size == records.HEADER_SIZE:
                raise
            self._active = None
            segment = self._start_segment()
            self._append_to_segment(segment, kind, name, rest)
        if self._sync_scheduler is not None:
            self._sync_scheduler.record_written(
                segment.name, (segment.number, segment.size), (kind, name, rest)
            )

    def _append_to_segment(self, segment: Segment, kind: bytes, name: str, rest: bytes) -> None:
        """Append a record to a segment and index its position if it will be needed."""
        offset = segment.size
        data = records.encode(kind, name.encode("latin-1"), rest, self._folder_id, segment.number, offset)
        self._write_data(segment, data)
        if kind == records.ENDED:
            segment.ends.append(name)
        elif kind in records.MESSAGE_KINDS:
            positions = self._positions.get(name)
            if positions is None:
                self._usage.held_messages += 1
                positions = ()
            size = len(data)
            self._positions[name] = (*positions, pack_position(segment.number, offset, size))
            segment.names[name] = None
            self._usage.live += size

    def _write_data(self, segment: Segment, data: bytes) -> None:
        """Append data to a segment. A partial write is truncated; if that fails, the segment is abandoned."""
        size = len(data)
        if (written := self._disk.append(segment.name, data)) < size:
            self._write_remaining(segment, data, written)
        before, after = segment.size, segment.size + size
        self._usage.used += round_up_to_blocks(after) - round_up_to_blocks(before)
        segment.size = after

    def _write_remaining(self, segment: Segment, data: bytes, written: int) -> None:
        try:
            while written < len(data):
                count = self._disk.append(segment.name, data[written:])
                if count == 0:
                    raise OSError(errno.ENOSPC, "write returned 0 bytes")
                written += count
        except OSError:
            if written:
                self._truncate(segment)
            raise

    def _truncate(self, segment: Segment) -> None:
        try:
            self._disk.truncate(segment.name, segment.size)
        except OSError as error:
            log(f"journal: {segment.name} can't be truncated to {segment.size} bytes: {error}")
            self._active = None  # the next segment's header records the valid size of this one

    def _start_segment(self) -> Segment:
        """Start a new segment."""
        if not self._space.fits_record(self._usage, records.HEADER_SIZE):
            raise OSError(errno.ENOSPC, "no room in the journal")
        number = self._last_number + 1
        segment = Segment(number, records.segment_file_name(number), 0)
        first = self._segments[0].number if self._segments else number
        tail = self._segments[-1] if self._segments else Segment(0, "", 0)
        header = records.SegmentHeader(
            self._folder_id, number, first, tail.number, tail.size, self._sync_scheduler is not None
        )
        self._disk.create(segment.name)
        try:
            self._write_data(segment, header.encode())
        except OSError:
            self._delete_files([segment.name])
            raise
        self._last_number = number
        self._segments.append(segment)
        self._usage.files += 1
        self._active = segment
        if self._sync_scheduler is not None:
            self._sync_scheduler.record_written(segment.name, (number, segment.size), None)
        return segment

    def _rewrite(self, entries: list[RecordEntry]) -> None:
        """Rewrite records that a failed sync may have lost to a new segment and delete the untrusted ones."""
        unsynced = self._discard_unsynced()
        self._active = None
        self._start_segment()
        for kind, name, rest in entries:
            if self._is_needed(kind, name):
                self._append(kind, name, rest)
        self._delete_files([segment.name for segment in unsynced])

    def _discard_unsynced(self) -> list[Segment]:
        """Remove all unsynced data from the log; return the segments that were not synced at all."""
        assert self._sync_scheduler is not None
        number, offset = self._sync_scheduler.synced_end
        unsynced = []
        while self._segments and self._segments[-1].number > number:
            segment = self._segments.pop()
            self._usage.remove_file(segment.size)
            unsynced.append(segment)
        for affected in [*unsynced, *islice(reversed(self._segments), 1)]:
            for name in affected.names:
                self._keep_synced_positions(name, (number, offset))
        if not self._segments:
            self._to_copy, self._awaiting_deletion = None, False
        elif self._segments[-1].number == number and self._segments[-1].size > offset:
            segment = self._segments[-1]
            self._usage.used -= round_up_to_blocks(segment.size) - round_up_to_blocks(offset)
            segment.size = offset  # the next segment's header records that no more of it is valid
            with contextlib.suppress(OSError):
                self._disk.truncate(segment.name, offset)
        return unsynced

    def _keep_synced_positions(self, name: str, synced_end: tuple[int, int]) -> None:
        """Drop the positions of a message's records that are not synced."""
        positions = self._positions.get(name)
        if positions is not None:
            kept = tuple(position for position in positions if _end_of(position) <= synced_end)
            self._usage.live -= total_size(positions) - total_size(kept)
            self._positions[name] = kept

    def _record_synced_position(self, end: tuple[int, int]) -> None:
        """Record the synced position for recovery; losing this record does no harm."""
        with contextlib.suppress(OSError):
            self._append(records.SYNCED, "", SYNCED.pack(*end))

    # Compaction.

    def work(self) -> int | None:
        """Run one slice of background work, which takes about a millisecond at most.

        Return the microseconds until the next call, or None.
        """
        next_call_us = self._sync_scheduler.work() if self._sync_scheduler is not None else None
        if not self._deferred and not self._needs_compaction():
            return next_call_us
        until_us = self._clock_us() + SLICE_US
        try:
            self._write_deferred()
            while self._needs_compaction():
                self._compact_slice(until_us)
                if self._clock_us() >= until_us:
                    return SLICE_US
        except OSError:
            return next_call_us  # retried after the next round; new messages are refused meanwhile
        return next_call_us

    def _needs_compaction(self) -> bool:
        return (
            not self._awaiting_deletion
            and len(self._segments) > 1
            and self._space.should_compact(self._usage)
        )

    def _compact_slice(self, until_us: int) -> None:
        """Copy live records of the oldest segment forward until the time is up; dead ones cost no time."""
        oldest = self._segments[0]
        if self._to_copy is None:
            self._to_copy = deque([(name, False) for name in oldest.names if name in self._positions])
            self._to_copy.extend([(name, True) for name in oldest.ends if name in self._ended])
        while self._to_copy:
            name, ended = self._to_copy[0]
            if ended:
                self._copy_ended_record(name)
            else:
                self._copy_records(name, oldest)
            self._to_copy.popleft()
            if self._clock_us() >= until_us:
                return
        self._retire_segment(oldest)

    def _copy_ended_record(self, name: str) -> None:
        if self._is_remembered(name):
            self._append(records.ENDED, name, _ended_record(self._ended[name]))

    def _copy_records(self, name: str, oldest: Segment) -> None:
        """Copy one message's records from the oldest segment, unless the message has ended."""
        for position in self._positions.get(name, ()):
            segment, offset, size = unpack_position(position)
            if segment != oldest.number:
                continue
            data = self._disk.read(oldest.name, offset, size)
            record = records.record_at(data, 0, self._folder_id, segment, offset)
            if record is None:
                log(f"journal: segment {segment} offset {offset}: record damaged after it was written")
            else:
                self._append(record.kind, record.name, record.rest)
            self._positions[name] = tuple(other for other in self._positions[name] if other != position)
            self._usage.live -= size

    def _is_needed(self, kind: bytes, name: str) -> bool:
        """Whether records of that kind are still needed for that message."""
        if kind == records.ENDED:
            return self._is_remembered(name)
        if kind == records.OWED:
            return name in self._owed
        return kind in records.MESSAGE_KINDS and name in self._positions and name not in self._owed

    def _retire_segment(self, oldest: Segment) -> None:
        """Delete a compacted segment once its copies and its DROPPED record are synced."""
        self._awaiting_deletion = True
        if self._sync_scheduler is None:
            self._record_dropped(oldest)
            self._delete_segment(oldest)
        else:
            self._sync_scheduler.after(lambda: self._record_dropped(oldest))

    def _record_dropped(self, oldest: Segment) -> None:
        if not self._segments or self._segments[0] is not oldest:
            return  # it was removed after a failed sync
        try:
            self._append(records.DROPPED, "", DROPPED.pack(oldest.number))
        except OSError:
            self._awaiting_deletion = False  # compacted again, which only costs reading it
            if self._sync_scheduler is None:
                raise
            return
        if self._sync_scheduler is not None:
            self._sync_scheduler.after(lambda: self._delete_segment(oldest))

    def _delete_segment(self, oldest: Segment) -> None:
        if not self._segments or self._segments[0] is not oldest:
            return
        self._awaiting_deletion = False
        self._delete_files([oldest.name])
        self._segments.popleft()
        self._to_copy = None
        self._usage.remove_file(oldest.size)
        self._space.record_freed_segment(round_up_to_blocks(oldest.size), self._clock_us())


def _json_text(value: str | None) -> str:
    """Encode a string as JSON; a general encoder takes as long as building the rest of the record."""
    return "null" if value is None else encode_basestring_ascii(value)


def _ended_record(ended: _EndedMessage) -> bytes:
    record, end = ENDED.pack(ended.until_ms, ended.ended_ms), ended.end
    return record if end is None else record + HOW.pack(OUTCOMES.index(end.outcome), end.retry_ms)


def _reply_record(message: Message) -> bytes:
    return REPLY.pack(message.replies, message.noticed) + message.reply


def _end_of(position: RecordPosition) -> tuple[int, int]:
    segment, offset, size = unpack_position(position)
    return segment, offset + size
