"""The owner's side of one log: records go to holders, and count once enough of them have answered. No I/O.

A record counts once `need` of the log's ensemble have it; which of them does not matter. So any `reads`
of the ensemble know of it, and these must have promised the log to a successor before that goes on. An
owner that was followed meets at least one of them with each record, and stops.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from amberlug.copies.holder import Wire
from amberlug.copies.states import Ballot, Copy, Kind, Meta

HEDGE_US = 60_000  # after which a record goes to one more holder: many times a turn on a local network
FULL_US = 1_000_000  # how long a holder without room is not asked
LOST_US = 1_000_000  # after which a holder that is there is sent a record once more
WINDOW = 1 << 20  # bytes that may be out to one holder, so that a slow one costs a bounded queue
FRAME = 64 << 10  # bytes of records in one message


class State(Enum):
    """Whether an owner may still record."""

    OPENING = "opening"  # not enough holders have said yet that nobody has followed
    OPEN = "open"
    FOLLOWED = "followed"  # by another relay; or its own folder is older than what holders saw


@dataclass(slots=True, eq=False)
class Entry:
    """One record on its way."""

    name: str
    kind: Kind
    told: list[Any]
    at_us: int
    sent: set[str] = field(default_factory=set)
    had: set[str] = field(default_factory=set)
    must: frozenset[str] | None = None  # who has to have it, where not any will do

    def lacks(self, need: int) -> int:
        """How many more have to be sent it."""
        if self.must is not None:
            return len(self.must - self.sent - self.had)
        return need - len(self.sent | self.had)

    def counts(self, need: int) -> bool:
        """Whether enough have it."""
        return self.must <= self.had if self.must is not None else len(self.had) >= need

    def fits(self, holder: str) -> bool:
        """Whether it may go to a holder."""
        wanted = self.must is None or holder in self.must
        return wanted and holder not in self.sent and holder not in self.had

    @property
    def size(self) -> int:
        """Bytes, about."""
        body = self.told[4] if self.kind is Kind.TAKEN else b""
        if self.kind is Kind.STATE and self.told[1] is not None:
            body = self.told[1][4]
        return 80 + len(body)


@dataclass(slots=True, eq=False)
class Batch:
    """Records in one message to one holder, which answers for all of them."""

    entries: list[Entry]
    size: int
    at_us: int


@dataclass(slots=True)
class Peer:
    """A holder as its owner sees it."""

    rank: int
    opened: bool = False  # it said that it keeps records from this owner
    settled: bool = False  # and all that is live there
    full_until_us: int = 0
    away_since_us: int | None = 0  # None while there is a link
    out: dict[int, Batch] = field(default_factory=dict)

    @property
    def out_bytes(self) -> int:
        """What it has not answered for."""
        return sum(it.size for it in self.out.values())


class Owner:
    """One log that this relay owns.

    `send` takes a message for a holder, `held` is told the name of a message whose every record counts, and
    `followed` that nothing recorded here will, with the ballot that stands against it. `kept` is this relay's
    name where it keeps each record by itself before it comes here, as an origin does in its own journal.
    """

    def __init__(
        self,
        meta: Meta,
        ballot: Ballot,
        kept: str | None,
        send: Callable[[str, Wire], None],
        held: Callable[[str], None],
        followed: Callable[[Owner, Ballot], None],
    ) -> None:
        self.meta, self.ballot, self.state = meta, ballot, State.OPENING
        self._kept = frozenset() if kept is None else frozenset([kept])
        self._send, self._held, self._followed = send, held, followed
        self.peers = {name: Peer(rank) for rank, (name, _) in enumerate(meta.ensemble) if name != kept}
        self.copies: dict[str, Copy] = {}  # live messages, as records have told them here
        self.ended: dict[
            str, int
        ] = {}  # until when names count that ended here: who reads this log asks for them
        self.where: dict[str, set[str]] = {}  # who has all that is told of a live message
        self._waiting: dict[str, list[Entry]] = {}  # by message, what does not count yet
        self._unsent: list[Entry] = []  # to fewer holders than must have it
        self._number = 0

    @property
    def done(self) -> bool:
        """Whether nothing is owed in this log any more."""
        return not self.copies and not self._waiting

    @property
    def short(self) -> bool:
        """Whether too few holders are there to have a record counted now."""
        return self.state is not State.OPEN or len(self._able(0)) + len(self._kept) < self.meta.need

    def waits(self, name: str) -> bool:
        """Whether something told of a message does not count yet."""
        return name in self._waiting

    def reached(self, name: str) -> set[str]:
        """Whom anything of a message's records that don't count yet was sent to."""
        return {peer for entry in self._waiting.get(name, ()) for peer in entry.sent}

    # What is recorded.

    def record(self, name: str, kind: Kind, told: list[Any], now_us: int) -> None:
        """Have one record held; `held` is told once it is, with all before it of the same message."""
        if self.state is State.FOLLOWED:
            return
        copy = self.copies.get(name)
        if copy is None:
            copy = self.copies[name] = Copy(base=self.ballot)
        copy.add(kind, self.ballot, told)
        if copy.ended is not None:
            del self.copies[name]
            self.where.pop(name, None)
            self.ended[name] = copy.ended[1]
        entry = Entry(name, kind, told, now_us, had=set(self._kept))
        self._waiting.setdefault(name, []).append(entry)
        self._unsent.append(entry)

    def withdraw(self, name: str, until_ms: int, now_us: int) -> None:
        """Have nobody hold a message any more that was not taken on; `held` is told once nobody does."""
        reached = (frozenset(self.reached(name)) | frozenset(self.where.pop(name, ()))) - self._kept
        self.copies.pop(name, None)
        for entry in self._waiting.pop(name, ()):
            if entry in self._unsent:
                self._unsent.remove(entry)
        if not reached:
            self._held(name)
            return
        entry = Entry(name, Kind.ENDED, [until_ms], now_us, must=reached)
        self._waiting[name] = [entry]
        self._unsent.append(entry)

    def adopt(self, name: str, copy: Copy, now_us: int) -> None:
        """Have a state held that was read from others, under this owner's ballot."""
        self.record(name, Kind.STATE, copy.rebased(self.ballot).packed(), now_us)

    def flush(self, now_us: int) -> None:
        """Send what this turn has brought, and what waits for a holder; together where it goes together."""
        if self.state is not State.OPEN:
            return
        self._unsent = [entry for entry in self._unsent if not entry.counts(self.meta.need)]
        batches: dict[str, list[Entry]] = {}
        room = {name: WINDOW - self.peers[name].out_bytes for name in self._able(now_us)}
        later = []
        for entry in self._unsent:
            wanted = entry.lacks(self.meta.need)
            for name in self._order(entry.name, room):
                if wanted <= 0:
                    break
                if entry.fits(name) and room[name] > 0:
                    entry.sent.add(name)
                    room[name] -= entry.size
                    batches.setdefault(name, []).append(entry)
                    wanted -= 1
            if wanted > 0:
                later.append(entry)
        self._unsent = later
        for name, entries in batches.items():
            self._send_batch(name, entries, now_us)

    def _order(self, name: str, able: Iterable[str]) -> list[str]:
        """Whom a message's records go to first: those that have it, then the log's first ones."""
        has = self.where.get(name, ())
        return sorted(able, key=lambda it: (it not in has, self.peers[it].rank))

    def _able(self, now_us: int) -> list[str]:
        """Holders that can be asked, the first ones first."""
        return [
            name
            for name, it in self.peers.items()
            if it.opened and it.away_since_us is None and it.full_until_us <= now_us
        ]

    def _send_batch(self, name: str, entries: list[Entry], now_us: int) -> None:
        part: list[Entry] = []
        size = 0
        for entry in [*entries, None]:
            if part and (entry is None or size + entry.size > FRAME):
                self._number += 1
                self.peers[name].out[self._number] = Batch(part, size, now_us)
                told = [[it.name, it.kind.value, it.told] for it in part]
                self._send(name, ["recs", self.meta.log, list(self.ballot), self._number, told])
                part, size = [], 0
            if entry is not None:
                part.append(entry)
                size += entry.size

    # What holders say.

    def linked(self, name: str) -> None:
        """There is a link to a holder that has the disk this log counts on."""
        peer = self.peers[name]
        peer.away_since_us, peer.opened, peer.settled = None, False, False
        self._ask(name)

    def _ask(self, name: str) -> None:
        self._send(name, ["open", self.meta.packed(), list(self.ballot)])

    def lost(self, name: str, now_us: int) -> None:
        """The link to a holder is gone: what it has not answered for goes to others, or to it once more."""
        peer = self.peers[name]
        if peer.away_since_us is None:
            peer.away_since_us = now_us
        peer.opened = peer.settled = False
        out, peer.out = peer.out, {}
        for batch in out.values():
            self._again(name, batch)

    def _again(self, name: str, batch: Batch) -> None:
        for entry in batch.entries:
            entry.sent.discard(name)
            if not entry.counts(self.meta.need) and entry not in self._unsent:
                self._unsent.append(entry)

    def opened(self, name: str, why: str, by: Ballot | None, now_us: int) -> None:
        """A holder keeps this owner's records from now on, or says why not."""
        peer = self.peers.get(name)
        if peer is None or self.state is State.FOLLOWED or peer.away_since_us is not None:
            return
        if why == "followed" and by is not None:
            self._stop(by)
        elif why == "no room":
            peer.full_until_us = now_us + FULL_US
        elif not why:
            peer.opened = True
            able = sum(it.opened for it in self.peers.values()) + len(self._kept)
            if self.state is State.OPENING and able >= self.meta.need:
                self.state = State.OPEN

    def acknowledged(self, name: str, number: int) -> None:
        """A holder has what a message brought."""
        peer = self.peers.get(name)
        batch = peer.out.pop(number, None) if peer is not None else None
        if batch is None:
            return  # answered before, or of an earlier link
        for entry in batch.entries:
            entry.had.add(name)
            if entry.kind in (Kind.TAKEN, Kind.STATE) and entry.name in self.copies:
                self.where.setdefault(entry.name, set(self._kept)).add(name)
            if entry.counts(self.meta.need):
                self._counts(entry)

    def _counts(self, entry: Entry) -> None:
        waiting = self._waiting.get(entry.name)
        if waiting is None or entry not in waiting:
            return
        waiting.remove(entry)
        if not waiting:
            del self._waiting[entry.name]
            self._held(entry.name)

    def refused(self, name: str, number: int, why: str, by: Ballot | None, now_us: int) -> None:
        """A holder does not keep what a message brought."""
        peer = self.peers.get(name)
        if peer is None or self.state is State.FOLLOWED:
            return
        if why == "followed" and by is not None:
            self._stop(by)
            return
        if (batch := peer.out.pop(number, None)) is not None:
            self._again(name, batch)
        if why == "no room":
            peer.full_until_us = now_us + FULL_US
        elif why == "unknown":
            peer.opened = False
            self._ask(name)

    def _stop(self, by: Ballot) -> None:
        self.state = State.FOLLOWED
        self._followed(self, by)

    def known(self) -> dict[str, Copy]:
        """All that is known here of messages, also of those that have ended, which others may not know."""
        found = dict(self.copies)
        for name, until_ms in self.ended.items():
            found[name] = Copy(base=self.ballot, ended=(self.ballot, until_ms))
        for name, entries in self._waiting.items():
            copy = found.setdefault(name, Copy(base=self.ballot))
            for entry in entries:
                copy.add(entry.kind, self.ballot, entry.told)
        return found

    # Time.

    def tick(self, now_us: int) -> None:
        """Have what a holder is slow to answer for go to one more."""
        if self.state is State.FOLLOWED:
            return
        for name, peer in self.peers.items():
            if peer.away_since_us is None and not peer.opened and peer.full_until_us <= now_us:
                self._ask(name)  # it had no room, or its answer went astray
            for number in [number for number, it in peer.out.items() if it.at_us + LOST_US <= now_us]:
                self._again(name, peer.out.pop(number))
        late = [
            entry
            for entries in self._waiting.values()
            for entry in entries
            if entry.at_us + HEDGE_US <= now_us and entry not in self._unsent
        ]
        for entry in late:
            spare = [it for it in self._order(entry.name, self._able(now_us)) if entry.fits(it)]
            if spare and self.state is State.OPEN:
                entry.sent.add(spare[0])
                entry.at_us = now_us
                self._send_batch(spare[0], [entry], now_us)
        self.flush(now_us)

    def forget(self, before_ms: int) -> None:
        """Forget names that ended long ago; the oldest stand first."""
        for name in [name for name, until_ms in self.ended.items() if until_ms < before_ms]:
            del self.ended[name]

    @property
    def settled(self) -> bool:
        """Whether all that may hold the log are there, and have said what is live with them."""
        return all(it.opened and it.settled for it in self.peers.values())

    def settle(self, names: list[str], until_ms: Callable[[str], int], now_us: int) -> None:
        """A holder told what is live there: what has ended here is told it, and the others it has."""
        for name in names:
            if name not in self.copies and name not in self._waiting:
                entry = Entry(name, Kind.ENDED, [until_ms(name)], now_us, had=set(self._kept))
                self._waiting.setdefault(name, []).append(entry)
                self._unsent.append(entry)
