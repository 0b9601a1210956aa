"""Recovers the journal's state from a folder of segments and reports damage; read-only."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from amberlug.core.journal import records
from amberlug.core.journal.disk import Disk
from amberlug.core.messages import End, Message, Outcome
from amberlug.core.ports import (
    LegacyEndpointState,
    LegacyState,
    PendingMessage,
    PreviousAttempt,
    RequestedPause,
)
from amberlug.policy import interface as api

TAKE = struct.Struct(">QQQI")  # sequence number, acceptance time and deadline (Unix time), destination
ATTEMPT = struct.Struct(">HQ")
OUTCOME = struct.Struct(">H")
OWED = struct.Struct(">BIQ")
ENDED = struct.Struct(">QQ")
HOW = struct.Struct(">BI")  # follows ENDED if known: the outcome and its retry delay
REPLY = struct.Struct(">H?")  # number of changes, whether the platform is notified; the address follows
WAIT = struct.Struct(">qQQ")  # destination, length and end by the boot's clock; boot and route follow
DROPPED = struct.Struct(">Q")
SYNCED = struct.Struct(">QQ")
OUTCOMES = (Outcome.DELIVERED, Outcome.HANDED_BACK, Outcome.GIVEN_UP)  # indexed by their number in a record
UNKNOWN_ENDPOINT = ""  # endpoint of an attempt that may have been made but whose record was lost


@dataclass(frozen=True, slots=True)
class Damage:
    """A damaged range: where it is, how many bytes, and a description."""

    segment: int
    offset: int
    size: int
    what: str

    def __str__(self) -> str:
        return f"segment {self.segment} offset {self.offset}: {self.size} bytes {self.what}"


RecordPosition = (
    int  # segment, offset and size in one int: the garbage collector need not visit 100,000 tuples
)
_SIZE = (1 << 32) - 1


def pack_position(segment: int, offset: int, size: int) -> RecordPosition:
    """Pack a record's position."""
    return segment << 72 | offset << 32 | size


def unpack_position(position: RecordPosition) -> tuple[int, int, int]:
    """Unpack a position into segment, offset and size."""
    return position >> 72, position >> 32 & (1 << 40) - 1, position & _SIZE


def total_size(positions: Iterable[RecordPosition]) -> int:
    """Return the total size of some records in bytes."""
    total = 0
    for (
        position
    ) in positions:  # sum() of a generator takes three times as long for the few records of a message
        total += position & _SIZE
    return total


@dataclass(slots=True)
class RecoveredMessage:
    """A message assembled from its records, which compaction may have reordered."""

    take: bytes | None = None
    tried: dict[int, PreviousAttempt] = field(default_factory=dict)
    end: End | None = None
    until_ms: int = 0
    reply: tuple[int, bool, bytes] = (0, True, b"")
    positions: tuple[RecordPosition, ...] = ()  # positions of its records

    @property
    def size(self) -> int:
        """Total size of its records in bytes."""
        return total_size(self.positions)

    @property
    def order(self) -> int:
        """Its sequence number in the order of acceptance."""
        return int(TAKE.unpack_from(self.take)[0]) if self.take is not None else 0


@dataclass(slots=True)
class Segment:
    """A valid segment file and its valid size in bytes."""

    number: int
    name: str
    size: int
    names: dict[str, None] = field(default_factory=dict)  # messages with records in this segment
    ends: list[str] = field(default_factory=list)  # messages whose ENDED record is in this segment


@dataclass(slots=True)
class RecoveredJournal:
    """Everything recovered from a folder."""

    folder: int = 0
    segments: list[Segment] = field(default_factory=list)
    obsolete_files: list[str] = field(default_factory=list)  # files that can be deleted
    messages: dict[str, RecoveredMessage] = field(default_factory=dict)
    # Per ended message: when its name expires, when it ended, the segment of its ENDED record, its outcome.
    ended: dict[str, tuple[int, int, int, End | None]] = field(default_factory=dict)
    earlier: LegacyState = field(default_factory=LegacyState)  # state of partners from earlier releases
    damage: list[Damage] = field(default_factory=list)
    # Number, name and size of each segment without a valid header.
    headerless: list[tuple[int, str, int]] = field(default_factory=list)
    left: int = 0  # bytes in unusable files, which are kept for an operator to inspect
    last: int = 0  # the highest segment number seen
    order: int = 0
    uncertain_up_to: int = 0  # messages up to this sequence number may have lost attempt records


def recover_folder(disk: Disk) -> RecoveredJournal:
    """Read all segments, oldest first. Raises `NewerVersionError` before it reads any records."""
    found = RecoveredJournal()
    headers = _read_headers(disk, found)
    first = _oldest_needed(disk, found, headers)
    found.obsolete_files += [headers.pop(number)[1] for number in sorted(headers) if number < first]
    numbers = sorted(headers)
    for at, number in enumerate(numbers):
        header, name, size = headers[number]
        before = found.segments[-1].number if found.segments else first - 1
        lost = header.previous > before
        if lost and not _is_synced_beyond(disk, headers, header, (before + 1, 0)):
            found.obsolete_files += [headers[later][1] for later in numbers[at:]]
            break
        if lost:
            what = f"missing, up to segment {header.previous}"
            _report_damage(found, Damage(before + 1, 0, 0, what))
        after = headers[numbers[at + 1]][0] if at + 1 < len(numbers) else None
        sealed = after.before if after is not None and after.previous == number else None
        if not _read_segment(disk, found, headers, header, name, size, sealed):
            found.obsolete_files += [headers[later][1] for later in numbers[at + 1 :]]
            break
        if lost:  # it may hold copies of messages whose attempts were recorded in the missing segments
            found.uncertain_up_to = max(found.uncertain_up_to, found.order)
    _report_unread_segments(found, any(header.synced for header, *_ in headers.values()))
    return found


def _report_unread_segments(found: RecoveredJournal, synced: bool) -> None:
    """Report segments without a valid header.

    A newest segment that was never synced is discarded instead: nothing in it has been confirmed to anybody.
    """
    newest = found.segments[-1].number if found.segments else 0
    for number, name, size in found.headerless:
        if synced and number > newest:
            found.obsolete_files.append(name)
        else:
            found.damage.append(Damage(number, 0, size, "unreadable: its header is damaged"))
            found.left += size


def _is_synced_beyond(
    disk: Disk, headers: SegmentHeaders, header: records.SegmentHeader, position: tuple[int, int]
) -> bool:
    """Whether an unreadable range was synced: then it is damage, not a tail lost to a power failure."""
    if not header.synced:
        return True  # without syncs only process exits are covered, and those lose no completed write
    for number, (other, name, size) in headers.items():
        if number >= position[0]:
            for record in records.read_records(disk.read(name, 0, size), other.folder, number, size):
                if isinstance(record, records.UnreadableRange) or record.kind != records.SYNCED:
                    continue
                if SYNCED.unpack(record.rest) > position:
                    return True
    return False


SegmentHeaders = dict[int, tuple[records.SegmentHeader, str, int]]


def _read_headers(disk: Disk, found: RecoveredJournal) -> SegmentHeaders:
    """Return the segments with a valid header and the most common folder ID; report all others."""
    read: list[tuple[records.SegmentHeader | None, int, str, int]] = []
    for name, size in sorted(disk.files().items()):
        if (number := records.segment_number(name)) is not None:
            read.append(
                (records.read_segment_header(disk.read(name, 0, records.HEADER_SIZE)), number, name, size)
            )
    own = [header.folder for header, *_ in read if header is not None]
    found.folder = max(own, key=own.count, default=0)
    headers: SegmentHeaders = {}
    for header, number, name, size in read:
        found.last = max(found.last, number)
        if header is None and size < records.HEADER_SIZE:
            found.obsolete_files.append(
                name
            )  # the process exited while creating it, before any record was written
        elif header is None:
            found.headerless.append((number, name, size))
        elif header.number != number or header.folder != found.folder:
            found.damage.append(Damage(number, 0, size, f"a copy of segment {header.number}: ignored"))
            found.left += size
        else:
            headers[number] = header, name, size
    return headers


def _oldest_needed(disk: Disk, found: RecoveredJournal, headers: SegmentHeaders) -> int:
    """Return the oldest segment needed, from the newest segment's header and its DROPPED records."""
    if not headers:
        return 1
    header, name, size = headers[max(headers)]
    first = header.first
    for record in records.read_records(disk.read(name, 0, size), header.folder, header.number, size):
        if isinstance(record, records.Record) and record.kind == records.DROPPED:
            first = max(first, DROPPED.unpack(record.rest)[0] + 1)
    return first


def _report_damage(found: RecoveredJournal, damage: Damage) -> None:
    found.damage.append(damage)
    found.uncertain_up_to = found.order


def _read_segment(
    disk: Disk,
    found: RecoveredJournal,
    headers: SegmentHeaders,
    header: records.SegmentHeader,
    name: str,
    size: int,
    sealed: int | None,
) -> bool:
    """Read one segment up to its sealed size; the last segment may end with a torn record.

    Return whether the log continues after it: it ends where a power failure lost data that was not synced.
    """
    data = disk.read(name, 0, size)
    end = min(size, sealed) if sealed is not None else size
    holds = records.HEADER_SIZE
    for record in records.read_records(data, header.folder, header.number, end):
        if isinstance(record, records.UnreadableRange):
            if sealed is None and records.is_torn_record(data, record):
                break  # torn when the process exited
            if not _is_synced_beyond(disk, headers, header, (header.number, record.offset)):
                found.segments.append(Segment(header.number, name, holds))
                return False
            _report_damage(found, Damage(header.number, record.offset, record.size, "unreadable: skipped"))
            continue
        holds = record.offset + record.size
        try:
            _apply(found, record, header.number)
        except (ValueError, KeyError, TypeError, IndexError, struct.error) as error:
            _report_damage(
                found, Damage(header.number, record.offset, record.size, f"can't be parsed: {error!r}")
            )
    if sealed is not None and size < sealed:
        if not _is_synced_beyond(disk, headers, header, (header.number, size)):
            found.segments.append(Segment(header.number, name, holds))
            return False
        _report_damage(found, Damage(header.number, size, sealed - size, "cut off"))
    found.segments.append(Segment(header.number, name, end if sealed is not None else holds))
    return True


def _apply(found: RecoveredJournal, record: records.Record, segment: int) -> None:
    kind, name, rest = record.kind, record.name, record.rest
    if kind == records.ENDED:
        found.messages.pop(name, None)
        until_ms, ended_ms = ENDED.unpack_from(rest)
        found.ended[name] = until_ms, ended_ms, segment, _parse_outcome(name, rest[ENDED.size :])
    elif kind == records.MEMORY:
        found.earlier = _parse_legacy_state(rest, found.earlier.waits)
    elif kind == records.WAIT:
        found.earlier = replace(found.earlier, waits=(*found.earlier.waits, _parse_pause(rest)))
    elif kind in (records.DROPPED, records.SYNCED):
        pass  # evaluated before
    elif name not in found.ended:
        recovered = found.messages.setdefault(name, RecoveredMessage())
        _apply_to(found, recovered, record)
        recovered.positions += (pack_position(segment, record.offset, record.size),)


def _apply_to(found: RecoveredJournal, recovered: RecoveredMessage, record: records.Record) -> None:
    kind, rest = record.kind, record.rest
    if kind == records.TAKEN:
        recovered.take = rest
        found.order = max(found.order, recovered.order)
    elif kind == records.ATTEMPT:
        number, at_ms = ATTEMPT.unpack_from(rest)
        tried = recovered.tried.setdefault(number, PreviousAttempt(UNKNOWN_ENDPOINT, 0))
        tried.endpoint, tried.at_ms = rest[ATTEMPT.size :].decode(), at_ms
    elif kind == records.OUTCOME:
        (number,) = OUTCOME.unpack_from(rest)
        recovered.tried.setdefault(number, PreviousAttempt(UNKNOWN_ENDPOINT, 0)).result = api.Result(
            rest[OUTCOME.size :].decode()
        )
    elif kind == records.OWED:
        outcome, retry_ms, recovered.until_ms = OWED.unpack_from(rest)
        if told := rest[OWED.size :]:
            recovered.reply = parse_reply(told)
        _, noticed, reply = recovered.reply
        recovered.end = End(record.name, OUTCOMES[outcome], retry_ms, reply=reply, noticed=noticed)
        recovered.take, recovered.tried, recovered.positions = None, {}, ()
    elif kind == records.REPLY:
        recovered.reply = max(recovered.reply, parse_reply(rest))  # compaction may have reordered the records
    else:
        raise ValueError(f"unknown record kind {kind!r}")


def _parse_outcome(name: str, rest: bytes) -> End | None:
    if not rest:
        return None
    outcome, retry_ms = HOW.unpack(rest)
    return End(name, OUTCOMES[outcome], retry_ms)


def parse_reply(rest: bytes) -> tuple[int, bool, bytes]:
    """Parse a reply address: number of changes, whether the platform is notified, and the address."""
    count, noticed = REPLY.unpack_from(rest)
    return count, noticed, rest[REPLY.size :]


def _parse_legacy_state(rest: bytes, waits: tuple[RequestedPause, ...]) -> LegacyState:
    fields: dict[str, Any] = json.loads(rest)
    return LegacyState(
        fields["wall"], fields["clock"], tuple(LegacyEndpointState(*row) for row in fields["seen"]), waits
    )


def _parse_pause(rest: bytes) -> RequestedPause:
    boot, _, route = rest[WAIT.size :].decode().partition("\0")
    destination, length_us, until_us = WAIT.unpack_from(rest)
    return RequestedPause(destination, route, length_us, until_us, boot)


def resumable_messages(found: RecoveredJournal, now_ms: int) -> dict[str, PendingMessage]:
    """Return what must be resumed: unacknowledged outcomes, then messages in the order of acceptance."""
    owed: dict[str, PendingMessage] = {}
    resumable: list[tuple[int, PendingMessage]] = []
    for name, recovered in found.messages.items():
        if recovered.take is not None:
            resumable.append((recovered.order, _resumable_message(found, name, recovered, recovered.take)))
            continue
        # A message whose body was lost can't be delivered: its sender is told that it was given up.
        replies, noticed, reply = recovered.reply
        end = recovered.end or End(name, Outcome.GIVEN_UP, reply=reply, noticed=noticed)
        until_ms = recovered.until_ms or now_ms
        message = Message(name, "", None, 0, None, b"", until_ms, taken=True, over=True)
        message.replies, message.noticed, message.reply = replies, noticed, reply
        owed[name] = PendingMessage(message, end=end)
    resumable.sort(key=lambda pair: pair[0])
    return owed | {one.message.name: one for _, one in resumable}


def _resumable_message(
    found: RecoveredJournal, name: str, recovered: RecoveredMessage, take: bytes
) -> PendingMessage:
    order, taken_ms, until_ms, destination = TAKE.unpack_from(take)
    header, _, body = take[TAKE.size :].partition(b"\n")
    message_class, tenant, key, *told = json.loads(header)
    for count, noticed, reply in told:
        recovered.reply = max(recovered.reply, (count, noticed, reply.encode("latin-1")))
    message = Message(name, message_class, tenant, destination, key, body, until_ms, taken=True)
    message.replies, message.noticed, message.reply = recovered.reply
    one = PendingMessage(message, recovered.tried, taken_ms=taken_ms)
    if order <= found.uncertain_up_to:
        # An attempt whose record was lost may have been executed at any time since acceptance; assume
        # that it was, so that an unsafe message does not take effect twice.
        one.tried[max(one.tried, default=-1) + 1] = PreviousAttempt(UNKNOWN_ENDPOINT, taken_ms)
    return one
