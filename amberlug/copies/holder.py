"""The replica holder: stores owners' records, promises logs to successors and rejects fenced owners.

No I/O: whatever must survive the process is written through `Store` before it is acknowledged, and replies
are returned by the methods. A log is identified by its `LogMetadata`. A relay may hold a log only with the disk
(incarnation) that the log's ensemble names: one that returns with an empty directory is not a holder of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from amberlug.copies.states import Ballot, Kind, LogMetadata, MessageState, decode_ballot

Wire = list[Any]  # a message to another relay, before framing
SLICE = 200  # states, or message names, per wire message


class Store(Protocol):
    """Durable storage of a holder. Methods raise `OSError` when nothing was written."""

    def promise(self, meta: LogMetadata, ballot: Ballot) -> None:
        """Persist the ballot to which a log is promised, before the promise is sent."""

    def record(self, log: str, name: str, kind: str, ballot: Ballot, told: list[Any]) -> None:
        """Persist one record."""

    def drop(self, log: str) -> None:
        """Delete a log and everything held for it."""


@dataclass(slots=True)
class HeldLog:
    """One log as held by this relay."""

    meta: LogMetadata
    promised: Ballot
    copies: dict[str, MessageState] = field(default_factory=dict)
    owner_left: bool = False  # its owner shut down cleanly: a successor may take over without waiting
    opened_by_owner: bool = False  # its owner has opened it here under the highest promised ballot
    since_us: int = 0  # when last promised; a successor that does not open the log then counts as silent

    @property
    def owner(self) -> tuple[str, str]:
        """Name and incarnation of the relay that the log was last promised to."""
        return self.promised[1], self.promised[2]


class Holder:
    """All logs that this relay holds for other relays."""

    def __init__(self, name: str, incarnation: str, store: Store) -> None:
        self.name, self.incarnation, self._store = name, incarnation, store
        self.logs: dict[str, HeldLog] = {}
        self.incomplete: set[str] = set()  # logs of which this relay failed to persist everything

    # Requests from owners.

    def open(self, meta: LogMetadata, ballot: Ballot) -> Wire:
        """Let an owner start or resume: replies whether this relay accepts its records from now on."""
        if not self._belongs(meta):
            return ["opened", meta.log, list(ballot), "stranger", None]
        of = self.logs.get(meta.log)
        if of is not None and ballot < of.promised:
            return ["opened", meta.log, list(ballot), "followed", list(of.promised)]
        try:
            of = self._promised(meta, ballot)
        except OSError:
            return ["opened", meta.log, list(ballot), "no room", None]
        of.owner_left, of.opened_by_owner = False, True
        return ["opened", meta.log, list(ballot), "", None]

    def _belongs(self, meta: LogMetadata) -> bool:
        """Whether this relay, with its current disk, may hold a log."""
        return meta.incarnation_of(self.name) == self.incarnation and meta.log not in self.incomplete

    def _promised(self, meta: LogMetadata, ballot: Ballot) -> HeldLog:
        of = self.logs.get(meta.log)
        if of is None or ballot > of.promised:
            self._store.promise(meta, ballot)
        if of is None:
            of = self.logs[meta.log] = HeldLog(meta, ballot)
        of.opened_by_owner = of.opened_by_owner and ballot == of.promised
        of.promised = max(of.promised, ballot)
        return of

    def keep(self, meta: LogMetadata, ballot: Ballot, copies: dict[str, MessageState]) -> None:
        """Hold a log of this relay's own that another relay has taken over, with all known state.

        Raises `OSError` as `Store` does. Guards against an origin being read as if it held nothing while the
        quorum counts on its disk.
        """
        try:
            of = self._promised(meta, ballot)
            for name, copy in copies.items():
                self._store.record(meta.log, name, Kind.STATE, meta.origin_ballot, copy.encoded())
                of.copies.setdefault(name, MessageState()).merge(copy)
        except OSError:
            self.incomplete.add(meta.log)
            raise

    def live(self, log: str, ballot: Ballot) -> Iterator[Wire]:
        """Send the owner the names of live messages, in slices; the owner replies which of them ended."""
        of = self.logs[log]
        names = [name for name, copy in of.copies.items() if copy.live]
        for at in range(0, len(names), SLICE):
            yield ["live", log, list(ballot), names[at : at + SLICE]]
        yield ["live", log, list(ballot), None]

    def records(self, log: str, ballot: Ballot, number: int, told: list[Any]) -> Wire:
        """Store a batch of records. The batch is acknowledged only as a whole."""
        of = self.logs.get(log)
        if of is None:
            return ["nack", log, number, "unknown", None]
        if ballot < of.promised:
            return ["nack", log, number, "followed", list(of.promised)]
        if ballot > of.promised:  # a quorum promised this ballot, but the request to this holder was lost
            return ["nack", log, number, "unknown", None]
        try:
            for name, kind, rest in told:
                copy = of.copies.get(name)
                fresh = MessageState() if copy is None else copy
                fresh.add(kind, ballot, rest)  # raises on a malformed record, before anything is stored
                self._store.record(log, name, kind, ballot, rest)
                of.copies[name] = fresh
        except OSError:
            return ["nack", log, number, "no room", None]
        return ["ack", log, number]

    def leave(self, owner: str, incarnation: str, only: str | None) -> None:
        """Note that an owner shuts down cleanly, for one log or for all: successors need not wait."""
        for log, of in self.logs.items():
            if of.owner == (owner, incarnation) and only in (None, log):
                of.owner_left = True

    # Requests from successors.

    def fence(self, meta: LogMetadata, ballot: Ballot, owner_active: bool, now_us: int) -> Iterator[Wire]:
        """Promise a log to a successor and send it everything held, or reply why not.

        `owner_active`: whether this relay has recently heard from the owner. A relay may succeed itself.
        """
        log = meta.log
        if not self._belongs(meta):
            yield ["deny", log, list(ballot), "stranger", None]
            return
        of = self.logs.get(log)
        if of is not None and ballot <= of.promised:
            if ballot == of.promised:  # a repeated request: the first answer was lost
                yield from self._states(of, ballot)
            else:
                yield ["deny", log, list(ballot), "followed", list(of.promised)]
            return
        # Guards against a take-over by a successor that alone has lost contact with an active owner.
        owner, owner_left = (
            (of.owner, of.owner_left) if of is not None else ((meta.origin, meta.incarnation), False)
        )
        if owner_active and owner[0] != ballot[1] and not owner_left:
            yield ["deny", log, list(ballot), "owner is there", None]
            return
        try:
            of = self._promised(meta, ballot)
        except OSError:
            yield ["deny", log, list(ballot), "no room", None]
            return
        of.owner_left, of.since_us = False, now_us
        yield from self._states(of, ballot)

    def _states(self, of: HeldLog, ballot: Ballot) -> Iterator[Wire]:
        names, parts = list(of.copies), 0
        for at in range(0, len(names), SLICE):
            states = [
                [name, of.copies[name].encoded()] for name in names[at : at + SLICE] if name in of.copies
            ]
            yield ["state", of.meta.log, list(ballot), parts, states]
            parts += 1
        yield ["promise", of.meta.log, list(ballot), parts]

    # Time.

    def forget(self, before_ms: int) -> None:
        """Remove messages that ended before a time."""
        for of in self.logs.values():
            ended = ((name, copy.ended) for name, copy in of.copies.items())
            for name in [name for name, end in ended if end is not None and end[1] < before_ms]:
                del of.copies[name]

    def drop(self, log: str) -> None:
        """Delete a log at its owner's request."""
        if self.logs.pop(log, None) is not None:
            self._store.drop(log)


def apply_stored(
    logs: dict[str, HeldLog], meta: LogMetadata | None, log: str, name: str, kind: str, ballot: Any, told: Any
) -> None:
    """Apply one stored entry, in the order written; `ValueError` if it is malformed."""
    if meta is not None:
        of = logs.setdefault(meta.log, HeldLog(meta, decode_ballot(ballot)))
        of.promised = max(of.promised, decode_ballot(ballot))
        return
    of = logs[log]
    of.copies.setdefault(name, MessageState()).add(Kind(kind), decode_ballot(ballot), told)
