"""Reads a folder of segments into what is held, owed and known, and tells what is damaged; writes nothing."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from amberlug.core.journal import records as it
from amberlug.core.journal.disk import Disk
from amberlug.core.messages import End, Message, Outcome
from amberlug.core.ports import Earlier, Held, Seen, Tried, Wait
from amberlug.policy import interface as api

TAKE = struct.Struct(">QQQI")  # order, wall clock when taken and when its time is up, destination
ATTEMPT = struct.Struct(">HQ")
OUTCOME = struct.Struct(">H")
OWED = struct.Struct(">BIQ")
ENDED = struct.Struct(">QQ")
HOW = struct.Struct(">BI")  # behind that, where it is known: how it ended, and when to come again
REPLY = struct.Struct(">H?")  # how often it was changed, whether the platform is told; the address follows
WAIT = struct.Struct(">qQQ")  # destination, length and until when by the boot's clock; boot and route follow
DROPPED = struct.Struct(">Q")
SYNCED = struct.Struct(">QQ")
OUTCOMES = (Outcome.DELIVERED, Outcome.HANDED_BACK, Outcome.GIVEN_UP)  # by their number in a record
UNKNOWN = ""  # the endpoint of an attempt that may have been made and is not known


@dataclass(frozen=True, slots=True)
class Damage:
    """What can't be read: where, how many bytes, and what it is."""

    segment: int
    offset: int
    size: int
    what: str

    def __str__(self) -> str:
        return f"segment {self.segment} offset {self.offset}: {self.size} bytes {self.what}"


Place = int  # a record's segment, offset and size in one number: of 100,000, the collector need look at none
_SIZE = (1 << 32) - 1


def place_of(segment: int, offset: int, size: int) -> Place:
    """Where a record stands."""
    return segment << 72 | offset << 32 | size


def parts_of(place: Place) -> tuple[int, int, int]:
    """Its segment, offset and size."""
    return place >> 72, place >> 32 & (1 << 40) - 1, place & _SIZE


def sizes(places: Iterable[Place]) -> int:
    """How many bytes some records have together."""
    total = 0
    for place in places:  # a sum() over a generator takes thrice as long for the few that a message has
        total += place & _SIZE
    return total


@dataclass(slots=True)
class Raw:
    """One message as its records tell it, in whatever order copies of them come."""

    take: bytes | None = None
    tried: dict[int, Tried] = field(default_factory=dict)
    end: End | None = None
    until_ms: int = 0
    reply: tuple[int, bool, bytes] = (0, True, b"")
    places: tuple[Place, ...] = ()  # of its records

    @property
    def size(self) -> int:
        """Bytes of its records."""
        return sizes(self.places)

    @property
    def order(self) -> int:
        """Its place in the order of hand-ins."""
        return int(TAKE.unpack_from(self.take)[0]) if self.take is not None else 0


@dataclass(slots=True)
class Segment:
    """One file that holds, and how many of its bytes do."""

    number: int
    name: str
    size: int
    names: dict[str, None] = field(default_factory=dict)  # of messages with records in it
    ends: list[str] = field(default_factory=list)  # of messages whose end stands in it


@dataclass(slots=True)
class Found:
    """All that a folder holds."""

    folder: int = 0
    segments: list[Segment] = field(default_factory=list)
    stray: list[str] = field(default_factory=list)  # files that are not needed
    messages: dict[str, Raw] = field(default_factory=dict)
    # Until when the name of an ended message counts, when it ended, in which segment that stands, and how.
    ended: dict[str, tuple[int, int, int, End | None]] = field(default_factory=dict)
    earlier: Earlier = field(default_factory=Earlier)  # what earlier releases kept here of partners
    damage: list[Damage] = field(default_factory=list)
    unread: list[tuple[int, str, int]] = field(default_factory=list)  # number, name and size: no head
    left: int = 0  # bytes in files that are of no use, and are left for an operator to look at
    last: int = 0  # the highest number of a segment that was ever there
    order: int = 0
    doubt: int = 0  # messages up to this order may have had attempts that were lost


def read_folder(disk: Disk) -> Found:
    """Read all segments, the oldest first; `NewerVersionError` before anything else is done."""
    found = Found()
    heads = _heads(disk, found)
    first = _first(disk, found, heads)
    found.stray += [heads.pop(number)[1] for number in sorted(heads) if number < first]
    numbers = sorted(heads)
    for at, number in enumerate(numbers):
        head, name, size = heads[number]
        before = found.segments[-1].number if found.segments else first - 1
        lost = head.previous > before
        if lost and not _synced_beyond(disk, heads, head, (before + 1, 0)):
            found.stray += [heads[later][1] for later in numbers[at:]]
            break
        if lost:
            what = f"missing, with what may have stood up to segment {head.previous}"
            _broken(found, Damage(before + 1, 0, 0, what))
        after = heads[numbers[at + 1]][0] if at + 1 < len(numbers) else None
        sealed = after.before if after is not None and after.previous == number else None
        if not _read_segment(disk, found, heads, head, name, size, sealed):
            found.stray += [heads[later][1] for later in numbers[at + 1 :]]
            break
        if lost:  # copies in it may be of messages whose attempts stood in what is missing
            found.doubt = max(found.doubt, found.order)
    _unread(found, any(head.synced for head, *_ in heads.values()))
    return found


def _unread(found: Found, synced: bool) -> None:
    """Tell segments without a head; a last one that no sync had reached was never promised to anybody."""
    newest = found.segments[-1].number if found.segments else 0
    for number, name, size in found.unread:
        if synced and number > newest:
            found.stray.append(name)
        else:
            found.damage.append(Damage(number, 0, size, "unreadable: its head is damaged"))
            found.left += size


def _synced_beyond(disk: Disk, heads: Heads, head: it.Head, place: tuple[int, int]) -> bool:
    """Whether what can't be read there had been synced: it is damage, and no tail that a power cut took."""
    if not head.synced:
        return True  # only the end of a process was to be outlasted, and that takes nothing back
    for number, (other, name, size) in heads.items():
        if number >= place[0]:
            for record in it.records(disk.read(name, 0, size), other.folder, number, size):
                if isinstance(record, it.Hole) or record.kind != it.SYNCED:
                    continue
                if SYNCED.unpack(record.rest) > place:
                    return True
    return False


Heads = dict[int, tuple[it.Head, str, int]]


def _heads(disk: Disk, found: Found) -> Heads:
    """All segments whose head holds, of the folder that most of them belong to; others are told."""
    read: list[tuple[it.Head | None, int, str, int]] = []
    for name, size in sorted(disk.files().items()):
        if (number := it.number_of(name)) is not None:
            read.append((it.read_head(disk.read(name, 0, it.HEAD_SIZE)), number, name, size))
    own = [head.folder for head, *_ in read if head is not None]
    found.folder = max(own, key=own.count, default=0)
    heads: Heads = {}
    for head, number, name, size in read:
        found.last = max(found.last, number)
        if head is None and size < it.HEAD_SIZE:
            found.stray.append(name)  # the process ended while it was made: nothing was written to it
        elif head is None:
            found.unread.append((number, name, size))
        elif head.number != number or head.folder != found.folder:
            found.damage.append(Damage(number, 0, size, f"a copy of segment {head.number}: passed over"))
            found.left += size
        else:
            heads[number] = head, name, size
    return heads


def _first(disk: Disk, found: Found, heads: Heads) -> int:
    """The oldest segment that is needed: the newest one's head tells, or what it tells of later drops."""
    if not heads:
        return 1
    head, name, size = heads[max(heads)]
    first = head.first
    for record in it.records(disk.read(name, 0, size), head.folder, head.number, size):
        if isinstance(record, it.Record) and record.kind == it.DROPPED:
            first = max(first, DROPPED.unpack(record.rest)[0] + 1)
    return first


def _broken(found: Found, damage: Damage) -> None:
    found.damage.append(damage)
    found.doubt = found.order


def _read_segment(
    disk: Disk, found: Found, heads: Heads, head: it.Head, name: str, size: int, sealed: int | None
) -> bool:
    """Read one segment up to where it was sealed; the last one may end in a record that was torn.

    Whether the log goes on behind it: it ends where a power cut took what had not been synced.
    """
    data = disk.read(name, 0, size)
    end = min(size, sealed) if sealed is not None else size
    holds = it.HEAD_SIZE
    for record in it.records(data, head.folder, head.number, end):
        if isinstance(record, it.Hole):
            if sealed is None and it.is_torn(data, record):
                break  # by the end of the process
            if not _synced_beyond(disk, heads, head, (head.number, record.offset)):
                found.segments.append(Segment(head.number, name, holds))
                return False
            _broken(found, Damage(head.number, record.offset, record.size, "unreadable: skipped"))
            continue
        holds = record.offset + record.size
        try:
            _apply(found, record, head.number)
        except (ValueError, KeyError, TypeError, IndexError, struct.error) as error:
            _broken(found, Damage(head.number, record.offset, record.size, f"not understood: {error!r}"))
    if sealed is not None and size < sealed:
        if not _synced_beyond(disk, heads, head, (head.number, size)):
            found.segments.append(Segment(head.number, name, holds))
            return False
        _broken(found, Damage(head.number, size, sealed - size, "cut off"))
    found.segments.append(Segment(head.number, name, end if sealed is not None else holds))
    return True


def _apply(found: Found, record: it.Record, segment: int) -> None:
    kind, name, rest = record.kind, record.name, record.rest
    if kind == it.ENDED:
        found.messages.pop(name, None)
        until_ms, ended_ms = ENDED.unpack_from(rest)
        found.ended[name] = until_ms, ended_ms, segment, _how(name, rest[ENDED.size :])
    elif kind == it.MEMORY:
        found.earlier = _earlier(rest, found.earlier.waits)
    elif kind == it.WAIT:
        found.earlier = replace(found.earlier, waits=(*found.earlier.waits, _wait(rest)))
    elif kind in (it.DROPPED, it.SYNCED):
        pass  # seen before
    elif name not in found.ended:
        raw = found.messages.setdefault(name, Raw())
        _apply_to(found, raw, record)
        raw.places += (place_of(segment, record.offset, record.size),)


def _apply_to(found: Found, raw: Raw, record: it.Record) -> None:
    kind, rest = record.kind, record.rest
    if kind == it.TAKEN:
        raw.take = rest
        found.order = max(found.order, raw.order)
    elif kind == it.ATTEMPT:
        number, at_ms = ATTEMPT.unpack_from(rest)
        tried = raw.tried.setdefault(number, Tried(UNKNOWN, 0))
        tried.endpoint, tried.at_ms = rest[ATTEMPT.size :].decode(), at_ms
    elif kind == it.OUTCOME:
        (number,) = OUTCOME.unpack_from(rest)
        raw.tried.setdefault(number, Tried(UNKNOWN, 0)).result = api.Result(rest[OUTCOME.size :].decode())
    elif kind == it.OWED:
        outcome, retry_ms, raw.until_ms = OWED.unpack_from(rest)
        if told := rest[OWED.size :]:
            raw.reply = reply_of(told)
        _, noticed, reply = raw.reply
        raw.end = End(record.name, OUTCOMES[outcome], retry_ms, reply=reply, noticed=noticed)
        raw.take, raw.tried, raw.places = None, {}, ()
    elif kind == it.REPLY:
        raw.reply = max(raw.reply, reply_of(rest))  # copies of records may come in another order
    else:
        raise ValueError(f"kind {kind!r}")


def _how(name: str, rest: bytes) -> End | None:
    if not rest:
        return None
    outcome, retry_ms = HOW.unpack(rest)
    return End(name, OUTCOMES[outcome], retry_ms)


def reply_of(rest: bytes) -> tuple[int, bool, bytes]:
    """How often the address was changed, whether the platform is told, and the address."""
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
    """What is to go on: messages in the order in which they were taken, after ends that are owed."""
    owed: dict[str, Held] = {}
    going: list[tuple[int, Held]] = []
    for name, raw in found.messages.items():
        if raw.take is not None:
            going.append((raw.order, _going(found, name, raw, raw.take)))
            continue
        # One whose body was lost can't go on: whoever waits for it is told so.
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
    head, _, body = take[TAKE.size :].partition(b"\n")
    message_class, tenant, key, *told = json.loads(head)
    for count, noticed, reply in told:
        raw.reply = max(raw.reply, (count, noticed, reply.encode("latin-1")))
    message = Message(name, message_class, tenant, destination, key, body, until_ms, taken=True)
    message.replies, message.noticed, message.reply = raw.reply
    one = Held(message, raw.tried, taken_ms=taken_ms)
    if order <= found.doubt:
        # Guards against a second effect: an attempt whose record was lost may have run, at any time since.
        one.tried[max(one.tried, default=-1) + 1] = Tried(UNKNOWN, taken_ms)
    return one
