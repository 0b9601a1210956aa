"""The owner of one log: sends records to holders and commits them by quorum. No I/O.

A record is committed once `write_quorum` relays of the log's ensemble store it, whichever they are. So among
any `read_quorum` relays of the ensemble at least one stores it, and a successor needs the promise of that
many before it proceeds. If an owner was replaced, each new record of it reaches at least one relay that
promised to the successor and rejects it; the owner then stops.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from amberlug.copies.holder import WireMessage
from amberlug.copies.states import Ballot, Kind, LogMetadata, MessageState

HEDGE_US = 60_000  # an unanswered record then goes to one more holder; many turns on a local network
FULL_HOLDER_BACKOFF_US = 1_000_000  # how long a holder that reported a full disk is not asked again
RESEND_US = 1_000_000  # a batch unanswered for so long by a reachable holder is queued again, for any holder
WINDOW_BYTES = 1 << 20  # bytes in flight to one holder; bounds the queue for a slow one
MESSAGE_BYTES = 64 << 10  # bytes of records per wire message


class State(Enum):
    """Whether an owner may send records."""

    OPENING = "opening"  # too few holders have confirmed yet that no other relay has taken over
    OPEN = "open"
    FENCED = "fenced"  # another relay took over


@dataclass(slots=True, eq=False)
class PendingRecord:
    """One record until it is committed."""

    name: str
    kind: Kind
    fields: list[Any]
    at_us: int
    sent_to: set[str] = field(default_factory=set)
    acked_by: set[str] = field(default_factory=set)
    required: frozenset[str] | None = None  # the holders that must all store it; None: any quorum

    def missing(self, write_quorum: int) -> int:
        """How many more holders it has to be sent to."""
        if self.required is not None:
            return len(self.required - self.sent_to - self.acked_by)
        return write_quorum - len(self.sent_to | self.acked_by)

    def is_committed(self, write_quorum: int) -> bool:
        """Whether enough holders store it."""
        return (
            self.required <= self.acked_by
            if self.required is not None
            else len(self.acked_by) >= write_quorum
        )

    def may_go_to(self, holder: str) -> bool:
        """Whether it may be sent to a holder."""
        wanted = self.required is None or holder in self.required
        return wanted and holder not in self.sent_to and holder not in self.acked_by

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        body = self.fields[4] if self.kind is Kind.TAKEN else b""
        if self.kind is Kind.STATE and self.fields[1] is not None:
            body = self.fields[1][4]
        return 80 + len(body)


@dataclass(slots=True, eq=False)
class Batch:
    """Records sent to one holder in one message, which is acknowledged as a whole."""

    entries: list[PendingRecord]
    size: int
    at_us: int


@dataclass(slots=True)
class HolderState:
    """A holder as seen by the owner."""

    rank: int
    opened: bool = False  # it accepts records from this owner
    settled: bool = False  # it has also listed all messages that are live there
    full_until_us: int = 0
    away_since_us: int | None = 0  # None while the link is up
    in_flight: dict[int, Batch] = field(default_factory=dict)

    @property
    def in_flight_bytes(self) -> int:
        """Bytes sent and not acknowledged."""
        return sum(batch.size for batch in self.in_flight.values())


class Owner:
    """One log owned by this relay.

    Callbacks: `send` queues a message for a holder; `on_committed` gets the name of a message once all its
    records are committed; `on_superseded` gets this owner and the ballot of the relay that took over, after
    which nothing recorded here is committed. `kept` is this relay's name if it stores each record itself
    before recording it here, as an origin does in its own journal.
    """

    def __init__(
        self,
        meta: LogMetadata,
        ballot: Ballot,
        kept: str | None,
        send: Callable[[str, WireMessage], None],
        on_committed: Callable[[str], None],
        on_superseded: Callable[[Owner, Ballot], None],
    ) -> None:
        self.meta, self.ballot, self.state = meta, ballot, State.OPENING
        self._kept = frozenset() if kept is None else frozenset([kept])
        self._send, self._on_committed, self._on_superseded = send, on_committed, on_superseded
        self.holders = {
            name: HolderState(rank) for rank, (name, _) in enumerate(meta.ensemble) if name != kept
        }
        self.copies: dict[str, MessageState] = {}  # live messages, by their records so far
        # Messages that ended here, with their expiry: a successor that reads this log needs them.
        self.ended: dict[str, int] = {}
        self.stored_at: dict[str, set[str]] = {}  # by live message: the holders that store its full state
        self._waiting: dict[str, list[PendingRecord]] = {}  # by message: records not committed yet
        self._unsent: list[PendingRecord] = []  # records sent to fewer holders than needed
        self._number = 0

    @property
    def done(self) -> bool:
        """Whether the log has no live messages and no pending records."""
        return not self.copies and not self._waiting

    @property
    def short(self) -> bool:
        """Whether too few holders are reachable for a record to be committed now."""
        return (
            self.state is not State.OPEN
            or len(self._reachable_holders(0)) + len(self._kept) < self.meta.write_quorum
        )

    def waits(self, name: str) -> bool:
        """Whether a message has records that are not committed yet."""
        return name in self._waiting

    def holders_sent(self, name: str) -> set[str]:
        """The holders to which uncommitted records of a message were sent."""
        return {holder for entry in self._waiting.get(name, ()) for holder in entry.sent_to}

    # Recording.

    def record(self, name: str, kind: Kind, fields: list[Any], now_us: int) -> None:
        """Replicate one record; `on_committed` is called once all records of the message are committed."""
        if self.state is State.FENCED:
            return
        copy = self.copies.get(name)
        if copy is None:
            copy = self.copies[name] = MessageState(base=self.ballot)
        copy.add(kind, self.ballot, fields)
        if copy.ended is not None:
            del self.copies[name]
            self.stored_at.pop(name, None)
            self.ended[name] = copy.ended[1]
        entry = PendingRecord(name, kind, fields, now_us, acked_by=set(self._kept))
        self._waiting.setdefault(name, []).append(entry)
        self._unsent.append(entry)

    def withdraw(self, name: str, until_ms: int, now_us: int) -> None:
        """Record a message that was not accepted as ended at every holder it may have reached.

        `on_committed` is called once all of them store that; at once if there are none.
        """
        reached = (frozenset(self.holders_sent(name)) | frozenset(self.stored_at.pop(name, ()))) - self._kept
        self.copies.pop(name, None)
        for entry in self._waiting.pop(name, ()):
            if entry in self._unsent:
                self._unsent.remove(entry)
        if not reached:
            self._on_committed(name)
            return
        entry = PendingRecord(name, Kind.ENDED, [until_ms], now_us, required=reached)
        self._waiting[name] = [entry]
        self._unsent.append(entry)

    def adopt(self, name: str, copy: MessageState, now_us: int) -> None:
        """Replicate a state read from holders under this owner's ballot."""
        self.record(name, Kind.STATE, copy.under_ballot(self.ballot).encoded(), now_us)

    def flush(self, now_us: int) -> None:
        """Send new records and those that wait for a holder, batched by holder."""
        if self.state is not State.OPEN:
            return
        self._unsent = [entry for entry in self._unsent if not entry.is_committed(self.meta.write_quorum)]
        batches: dict[str, list[PendingRecord]] = {}
        room = {
            name: WINDOW_BYTES - self.holders[name].in_flight_bytes
            for name in self._reachable_holders(now_us)
        }
        unassigned = []
        for entry in self._unsent:
            wanted = entry.missing(self.meta.write_quorum)
            for name in self._preferred(entry.name, room):
                if wanted <= 0:
                    break
                if entry.may_go_to(name) and room[name] > 0:
                    entry.sent_to.add(name)
                    room[name] -= entry.size
                    batches.setdefault(name, []).append(entry)
                    wanted -= 1
            if wanted > 0:
                unassigned.append(entry)
        self._unsent = unassigned
        for name, entries in batches.items():
            self._send_batch(name, entries, now_us)

    def _preferred(self, name: str, reachable: Iterable[str]) -> list[str]:
        """Holders in order of preference for a message: those that store it, then by rank in the ensemble."""
        storing = self.stored_at.get(name, ())
        return sorted(reachable, key=lambda holder: (holder not in storing, self.holders[holder].rank))

    def _reachable_holders(self, now_us: int) -> list[str]:
        """Holders that can be sent records, in order of rank."""
        return [
            name
            for name, holder in self.holders.items()
            if holder.opened and holder.away_since_us is None and holder.full_until_us <= now_us
        ]

    def _send_batch(self, name: str, entries: list[PendingRecord], now_us: int) -> None:
        batch: list[PendingRecord] = []
        size = 0
        for entry in [*entries, None]:
            if batch and (entry is None or size + entry.size > MESSAGE_BYTES):
                self._number += 1
                self.holders[name].in_flight[self._number] = Batch(batch, size, now_us)
                records = [[entry.name, entry.kind.value, entry.fields] for entry in batch]
                self._send(name, ["recs", self.meta.log, list(self.ballot), self._number, records])
                batch, size = [], 0
            if entry is not None:
                batch.append(entry)
                size += entry.size

    # Replies from holders.

    def linked(self, name: str) -> None:
        """A link is up to a holder with the state directory that this log names."""
        holder = self.holders[name]
        holder.away_since_us, holder.opened, holder.settled = None, False, False
        self._send_open(name)

    def _send_open(self, name: str) -> None:
        self._send(name, ["open", self.meta.encoded(), list(self.ballot)])

    def lost(self, name: str, now_us: int) -> None:
        """The link to a holder is down: unacknowledged records go to other holders, or to it again later."""
        holder = self.holders[name]
        if holder.away_since_us is None:
            holder.away_since_us = now_us
        holder.opened = holder.settled = False
        in_flight, holder.in_flight = holder.in_flight, {}
        for batch in in_flight.values():
            self._requeue(name, batch)

    def _requeue(self, name: str, batch: Batch) -> None:
        for entry in batch.entries:
            entry.sent_to.discard(name)
            if not entry.is_committed(self.meta.write_quorum) and entry not in self._unsent:
                self._unsent.append(entry)

    def opened(self, name: str, why: str, by: Ballot | None, now_us: int) -> None:
        """A holder accepts this owner's records from now on, or replies why not."""
        holder = self.holders.get(name)
        if holder is None or self.state is State.FENCED or holder.away_since_us is not None:
            return
        if why == "followed" and by is not None:  # promised to a higher ballot
            self._fence(by)
        elif why == "no room":
            holder.full_until_us = now_us + FULL_HOLDER_BACKOFF_US
        elif not why:
            holder.opened = True
            reachable = sum(holder.opened for holder in self.holders.values()) + len(self._kept)
            if self.state is State.OPENING and reachable >= self.meta.write_quorum:
                self.state = State.OPEN

    def acknowledged(self, name: str, number: int) -> None:
        """A holder stores a batch."""
        holder = self.holders.get(name)
        batch = holder.in_flight.pop(number, None) if holder is not None else None
        if batch is None:
            return  # a duplicate, or a reply from an earlier link
        for entry in batch.entries:
            entry.acked_by.add(name)
            if entry.kind in (Kind.TAKEN, Kind.STATE) and entry.name in self.copies:
                self.stored_at.setdefault(entry.name, set(self._kept)).add(name)
            if entry.is_committed(self.meta.write_quorum):
                self._commit(entry)

    def _commit(self, entry: PendingRecord) -> None:
        waiting = self._waiting.get(entry.name)
        if waiting is None or entry not in waiting:
            return
        waiting.remove(entry)
        if not waiting:
            del self._waiting[entry.name]
            self._on_committed(entry.name)

    def refused(self, name: str, number: int, why: str, by: Ballot | None, now_us: int) -> None:
        """A holder rejects a batch."""
        holder = self.holders.get(name)
        if holder is None or self.state is State.FENCED:
            return
        if why == "followed" and by is not None:  # promised to a higher ballot
            self._fence(by)
            return
        if (batch := holder.in_flight.pop(number, None)) is not None:
            self._requeue(name, batch)
        if why == "no room":
            holder.full_until_us = now_us + FULL_HOLDER_BACKOFF_US
        elif why == "unknown":
            holder.opened = False
            self._send_open(name)

    def _fence(self, by: Ballot) -> None:
        self.state = State.FENCED
        self._on_superseded(self, by)

    def known(self) -> dict[str, MessageState]:
        """Everything known of messages, including ended ones that other relays may not know of."""
        found = dict(self.copies)
        for name, until_ms in self.ended.items():
            found[name] = MessageState(base=self.ballot, ended=(self.ballot, until_ms))
        for name, entries in self._waiting.items():
            copy = found.setdefault(name, MessageState(base=self.ballot))
            for entry in entries:
                copy.add(entry.kind, self.ballot, entry.fields)
        return found

    # Time.

    def tick(self, now_us: int) -> None:
        """Repeat unanswered requests, and hedge records that a holder is slow to acknowledge."""
        if self.state is State.FENCED:
            return
        for name, holder in self.holders.items():
            if holder.away_since_us is None and not holder.opened and holder.full_until_us <= now_us:
                self._send_open(name)  # it had no room, or its reply was lost
            for number in [
                number for number, batch in holder.in_flight.items() if batch.at_us + RESEND_US <= now_us
            ]:
                self._requeue(name, holder.in_flight.pop(number))
        overdue = [
            entry
            for entries in self._waiting.values()
            for entry in entries
            if entry.at_us + HEDGE_US <= now_us and entry not in self._unsent
        ]
        for entry in overdue:
            spare = [
                holder
                for holder in self._preferred(entry.name, self._reachable_holders(now_us))
                if entry.may_go_to(holder)
            ]
            if spare and self.state is State.OPEN:
                entry.sent_to.add(spare[0])
                entry.at_us = now_us
                self._send_batch(spare[0], [entry], now_us)
        self.flush(now_us)

    def expire(self, before_ms: int) -> None:
        """Forget ended messages whose names expired before a time."""
        for name in [name for name, until_ms in self.ended.items() if until_ms < before_ms]:
            del self.ended[name]

    @property
    def settled(self) -> bool:
        """Whether every other relay of the ensemble is reachable and has listed its live messages."""
        return all(holder.opened and holder.settled for holder in self.holders.values())

    def settle(self, names: list[str], until_ms: Callable[[str], int], now_us: int) -> None:
        """Handle a holder's list of live messages: any not live here are reported to it as ended."""
        for name in names:
            if name not in self.copies and name not in self._waiting:
                entry = PendingRecord(name, Kind.ENDED, [until_ms(name)], now_us, acked_by=set(self._kept))
                self._waiting.setdefault(name, []).append(entry)
                self._unsent.append(entry)
