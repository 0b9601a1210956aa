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
from amberlug.core.ports import Earlier, Held, Seen, Tried, Wait
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
UNKNOWN = ""  # endpoint of an attempt that may have been made but whose record was lost


@dataclass(frozen=True, slots=True)
class Damage:
    """A damaged range: where it is, how many bytes, and a description."""

    segment: int
    offset: int
    size: int
    what: str

    def __str__(self) -> str:
        return f"segment {self.segment} offset {self.offset}: {self.size} bytes {self.what}"


Place = int  # segment, offset and size in one int: the garbage collector need not visit 100,000 tuples
_SIZE = (1 << 32) - 1


def place_of(segment: int, offset: int, size: int) -> Place:
    """Pack a record's position."""
    return segment << 72 | offset << 32 | size


def parts_of(place: Place) -> tuple[int, int, int]:
    """Unpack a position into segment, offset and size."""
    return place >> 72, place >> 32 & (1 << 40) - 1, place & _SIZE


def sizes(places: Iterable[Place]) -> int:
    """Return the total size of some records in bytes."""
    total = 0
    for place in places:  # sum() of a generator takes three times as long for the few records of a message
        total += place & _SIZE
    return total


@dataclass(slots=True)
class Raw:
    """A message assembled from its records, which compaction may have reordered."""

    take: bytes | None = None
    tried: dict[int, Tried] = field(default_factory=dict)
    end: End | None = None
    until_ms: int = 0
    reply: tuple[int, bool, bytes] = (0, True, b"")
    places: tuple[Place, ...] = ()  # positions of its records

    @property
    def size(self) -> int:
        """Total size of its records in bytes."""
        return sizes(self.places)

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
class Found:
    """Everything recovered from a folder."""

    folder: int = 0
    segments: list[Segment] = field(default_factory=list)
    stray: list[str] = field(default_factory=list)  # files that can be deleted
    messages: dict[str, Raw] = field(default_factory=dict)
    # Per ended message: when its name expires, when it ended, the segment of its ENDED record, its outcome.
    ended: dict[str, tuple[int, int, int, End | None]] = field(default_factory=dict)
    earlier: Earlier = field(default_factory=Earlier)  # state of partners from earlier releases
    damage: list[Damage] = field(default_factory=list)
    # Number, name and size of each segment without a valid header.
    unread: list[tuple[int, str, int]] = field(default_factory=list)
    left: int = 0  # bytes in unusable files, which are kept for an operator to inspect
    last: int = 0  # the highest segment number seen
    order: int = 0
    doubt: int = 0  # messages up to this sequence number may have lost attempt records


def read_folder(disk: Disk) -> Found:
    """Read all segments, oldest first. Raises `NewerVersionError` before it reads any records."""
    found = Found()
    headers = _read_headers(disk, found)
    first = _first(disk, found, headers)
    found.stray += [headers.pop(number)[1] for number in sorted(headers) if number < first]
    numbers = sorted(headers)
    for at, number in enumerate(numbers):
        header, name, size = headers[number]
        before = found.segments[-1].number if found.segments else first - 1
        lost = header.previous > before
        if lost and not _synced_beyond(disk, headers, header, (before + 1, 0)):
            found.stray += [headers[later][1] for later in numbers[at:]]
            break
        if lost:
            what = f"missing, up to segment {header.previous}"
            _broken(found, Damage(before + 1, 0, 0, what))
        after = headers[numbers[at + 1]][0] if at + 1 < len(numbers) else None
        sealed = after.before if after is not None and after.previous == number else None
        if not _read_segment(disk, found, headers, header, name, size, sealed):
            found.stray += [headers[later][1] for later in numbers[at + 1 :]]
            break
        if lost:  # it may hold copies of messages whose attempts were recorded in the missing segments
            found.doubt = max(found.doubt, found.order)
    _unread(found, any(header.synced for header, *_ in headers.values()))
    return found


def _unread(found: Found, synced: bool) -> None:
    """Report segments without a valid header.

    A newest segment that was never synced is discarded instead: nothing in it has been confirmed to anybody.
    """
    newest = found.segments[-1].number if found.segments else 0
    for number, name, size in found.unread:
        if synced and number > newest:
            found.stray.append(name)
        else:
            found.damage.append(Damage(number, 0, size, "unreadable: its header is damaged"))
            found.left += size


def _synced_beyond(
    disk: Disk, headers: SegmentHeaders, header: records.SegmentHeader, place: tuple[int, int]
) -> bool:
    """Whether an unreadable range was synced: then it is damage, not a tail lost to a power failure."""
    if not header.synced:
        return True  # without syncs only process exits are covered, and those lose no completed write
    for number, (other, name, size) in headers.items():
        if number >= place[0]:
            for record in records.read_records(disk.read(name, 0, size), other.folder, number, size):
                if isinstance(record, records.UnreadableRange) or record.kind != records.SYNCED:
                    continue
                if SYNCED.unpack(record.rest) > place:
                    return True
    return False


SegmentHeaders = dict[int, tuple[records.SegmentHeader, str, int]]


def _read_headers(disk: Disk, found: Found) -> SegmentHeaders:
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
            found.stray.append(name)  # the process exited while creating it, before any record was written
        elif header is None:
            found.unread.append((number, name, size))
        elif header.number != number or header.folder != found.folder:
            found.damage.append(Damage(number, 0, size, f"a copy of segment {header.number}: ignored"))
            found.left += size
        else:
            headers[number] = header, name, size
    return headers


def _first(disk: Disk, found: Found, headers: SegmentHeaders) -> int:
    """Return the oldest segment needed, from the newest segment's header and its DROPPED records."""
    if not headers:
        return 1
    header, name, size = headers[max(headers)]
    first = header.first
    for record in records.read_records(disk.read(name, 0, size), header.folder, header.number, size):
        if isinstance(record, records.Record) and record.kind == records.DROPPED:
            first = max(first, DROPPED.unpack(record.rest)[0] + 1)
    return first


def _broken(found: Found, damage: Damage) -> None:
    found.damage.append(damage)
    found.doubt = found.order


def _read_segment(
    disk: Disk,
    found: Found,
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
            if not _synced_beyond(disk, headers, header, (header.number, record.offset)):
                found.segments.append(Segment(header.number, name, holds))
                return False
            _broken(found, Damage(header.number, record.offset, record.size, "unreadable: skipped"))
            continue
        holds = record.offset + record.size
        try:
            _apply(found, record, header.number)
        except (ValueError, KeyError, TypeError, IndexError, struct.error) as error:
            _broken(found, Damage(header.number, record.offset, record.size, f"can't be parsed: {error!r}"))
    if sealed is not None and size < sealed:
        if not _synced_beyond(disk, headers, header, (header.number, size)):
            found.segments.append(Segment(header.number, name, holds))
            return False
        _broken(found, Damage(header.number, size, sealed - size, "cut off"))
    found.segments.append(Segment(header.number, name, end if sealed is not None else holds))
    return True


def _apply(found: Found, record: records.Record, segment: int) -> None:
    kind, name, rest = record.kind, record.name, record.rest
    if kind == records.ENDED:
        found.messages.pop(name, None)
        until_ms, ended_ms = ENDED.unpack_from(rest)
        found.ended[name] = until_ms, ended_ms, segment, _how(name, rest[ENDED.size :])
    elif kind == records.MEMORY:
        found.earlier = _earlier(rest, found.earlier.waits)
    elif kind == records.WAIT:
        found.earlier = replace(found.earlier, waits=(*found.earlier.waits, _wait(rest)))
    elif kind in (records.DROPPED, records.SYNCED):
        pass  # evaluated before
    elif name not in found.ended:
        raw = found.messages.setdefault(name, Raw())
        _apply_to(found, raw, record)
        raw.places += (place_of(segment, record.offset, record.size),)


def _apply_to(found: Found, raw: Raw, record: records.Record) -> None:
    kind, rest = record.kind, record.rest
    if kind == records.TAKEN:
        raw.take = rest
        found.order = max(found.order, raw.order)
    elif kind == records.ATTEMPT:
        number, at_ms = ATTEMPT.unpack_from(rest)
        tried = raw.tried.setdefault(number, Tried(UNKNOWN, 0))
        tried.endpoint, tried.at_ms = rest[ATTEMPT.size :].decode(), at_ms
    elif kind == records.OUTCOME:
        (number,) = OUTCOME.unpack_from(rest)
        raw.tried.setdefault(number, Tried(UNKNOWN, 0)).result = api.Result(rest[OUTCOME.size :].decode())
    elif kind == records.OWED:
        outcome, retry_ms, raw.until_ms = OWED.unpack_from(rest)
        if told := rest[OWED.size :]:
            raw.reply = reply_of(told)
        _, noticed, reply = raw.reply
        raw.end = End(record.name, OUTCOMES[outcome], retry_ms, reply=reply, noticed=noticed)
        raw.take, raw.tried, raw.places = None, {}, ()
    elif kind == records.REPLY:
        raw.reply = max(raw.reply, reply_of(rest))  # compaction may have reordered the records
    else:
        raise ValueError(f"unknown record kind {kind!r}")


def _how(name: str, rest: bytes) -> End | None:
    if not rest:
        return None
    outcome, retry_ms = HOW.unpack(rest)
    return End(name, OUTCOMES[outcome], retry_ms)


def reply_of(rest: bytes) -> tuple[int, bool, bytes]:
    """Parse a reply address: number of changes, whether the platform is notified, and the address."""
    count, noticed = REPLY.unpack_from(rest)
    return count, noticed, rest[REPLY.size :]


def _earlier(rest: bytes, waits: tuple[Wait, ...]) -> Earlier:
    fields: dict[str, Any] = json.loads(rest)
    return Earlier(fields["wall"], fields["clock"], tuple(Seen(*row) for row in fields["seen"]), waits)


def _wait(rest: bytes) -> Wait:
    boot, _, route = rest[WAIT.size :].decode().partition("\0")
    destination, length_us, until_us = WAIT.unpack_from(rest)
    return Wait(destination, route, length_us, until_us, boot)


def held(found: Found, now_ms: int) -> dict[str, Held]:
    """Return what must be resumed: unacknowledged outcomes, then messages in the order of acceptance."""
    owed: dict[str, Held] = {}
    going: list[tuple[int, Held]] = []
    for name, raw in found.messages.items():
        if raw.take is not None:
            going.append((raw.order, _going(found, name, raw, raw.take)))
            continue
        # A message whose body was lost can't be delivered: its sender is told that it was given up.
        replies, noticed, reply = raw.reply
        end = raw.end or End(name, Outcome.GIVEN_UP, reply=reply, noticed=noticed)
        until_ms = raw.until_ms or now_ms
        message = Message(name, "", None, 0, None, b"", until_ms, taken=True, over=True)
        message.replies, message.noticed, message.reply = replies, noticed, reply
        owed[name] = Held(message, end=end)
    going.sort(key=lambda pair: pair[0])
    return owed | {one.message.name: one for _, one in going}


def _going(found: Found, name: str, raw: Raw, take: bytes) -> Held:
    order, taken_ms, until_ms, destination = TAKE.unpack_from(take)
    header, _, body = take[TAKE.size :].partition(b"\n")
    message_class, tenant, key, *told = json.loads(header)
    for count, noticed, reply in told:
        raw.reply = max(raw.reply, (count, noticed, reply.encode("latin-1")))
    message = Message(name, message_class, tenant, destination, key, body, until_ms, taken=True)
    message.replies, message.noticed, message.reply = raw.reply
    one = Held(message, raw.tried, taken_ms=taken_ms)
    if order <= found.doubt:
        # An attempt whose record was lost may have been executed at any time since acceptance; assume
        # that it was, so that an unsafe message does not take effect twice.
        one.tried[max(one.tried, default=-1) + 1] = Tried(UNKNOWN, taken_ms)
    return one
