"""The replica holder: stores owners' records, promises logs to successors and rejects fenced owners.

No I/O: whatever must survive the process is written through `Store` before it is acknowledged, and replies
are returned by the methods. A log is identified by its `LogMetadata`. A relay may hold a log only with the
disk (incarnation) that the log's ensemble names: one that returns with an empty directory is not a holder.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from amberlug.copies.states import Ballot, Kind, LogMetadata, MessageState, decode_ballot

WireMessage = list[Any]  # a message to another relay, before framing
ITEMS_PER_MESSAGE = 200  # states, or message names, per wire message


class Store(Protocol):
    """Durable storage of a holder. Methods raise `OSError` when nothing was written."""

    def promise(self, meta: LogMetadata, ballot: Ballot) -> None:
        """Persist the ballot to which a log is promised, before the promise is sent."""

    def record(self, log: str, name: str, kind: str, ballot: Ballot, fields: list[Any]) -> None:
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

    def open(self, meta: LogMetadata, ballot: Ballot) -> WireMessage:
        """Let an owner start or resume: replies whether this relay accepts its records from now on."""
        if not self._may_hold(meta):
            return ["opened", meta.log, list(ballot), "stranger", None]
        held_log = self.logs.get(meta.log)
        if held_log is not None and ballot < held_log.promised:
            return ["opened", meta.log, list(ballot), "followed", list(held_log.promised)]
        try:
            held_log = self._promised(meta, ballot)
        except OSError:
            return ["opened", meta.log, list(ballot), "no room", None]
        held_log.owner_left, held_log.opened_by_owner = False, True
        return ["opened", meta.log, list(ballot), "", None]

    def _may_hold(self, meta: LogMetadata) -> bool:
        """Whether this relay, with its current disk, may hold a log."""
        return meta.incarnation_of(self.name) == self.incarnation and meta.log not in self.incomplete

    def _promised(self, meta: LogMetadata, ballot: Ballot) -> HeldLog:
        held_log = self.logs.get(meta.log)
        if held_log is None or ballot > held_log.promised:
            self._store.promise(meta, ballot)
        if held_log is None:
            held_log = self.logs[meta.log] = HeldLog(meta, ballot)
        held_log.opened_by_owner = held_log.opened_by_owner and ballot == held_log.promised
        held_log.promised = max(held_log.promised, ballot)
        return held_log

    def hold_superseded(self, meta: LogMetadata, ballot: Ballot, copies: dict[str, MessageState]) -> None:
        """Hold a log of this relay's own that another relay has taken over, with all known state.

        Raises `OSError` as `Store` does. Guards against an origin being read as if it held nothing while the
        quorum counts on its disk.
        """
        try:
            held_log = self._promised(meta, ballot)
            for name, copy in copies.items():
                self._store.record(meta.log, name, Kind.STATE, meta.origin_ballot, copy.encoded())
                held_log.copies.setdefault(name, MessageState()).merge(copy)
        except OSError:
            self.incomplete.add(meta.log)
            raise

    def live(self, log: str, ballot: Ballot) -> Iterator[WireMessage]:
        """Send the owner the names of live messages, in slices; the owner replies which of them ended."""
        held_log = self.logs[log]
        names = [name for name, copy in held_log.copies.items() if copy.live]
        for at in range(0, len(names), ITEMS_PER_MESSAGE):
            yield ["live", log, list(ballot), names[at : at + ITEMS_PER_MESSAGE]]
        yield ["live", log, list(ballot), None]

    def records(self, log: str, ballot: Ballot, number: int, batch: list[Any]) -> WireMessage:
        """Store a batch of records. The batch is acknowledged only as a whole."""
        held_log = self.logs.get(log)
        if held_log is None:
            return ["nack", log, number, "unknown", None]
        if ballot < held_log.promised:
            return ["nack", log, number, "followed", list(held_log.promised)]
        if ballot > held_log.promised:  # a quorum promised it, but the request to this holder was lost
            return ["nack", log, number, "unknown", None]
        try:
            for name, kind, fields in batch:
                copy = held_log.copies.get(name)
                fresh = MessageState() if copy is None else copy
                fresh.add(kind, ballot, fields)  # raises on a malformed record, before anything is stored
                self._store.record(log, name, kind, ballot, fields)
                held_log.copies[name] = fresh
        except OSError:
            return ["nack", log, number, "no room", None]
        return ["ack", log, number]

    def leave(self, owner: str, incarnation: str, only: str | None) -> None:
        """Note that an owner shuts down cleanly, for one log or for all: successors need not wait."""
        for log, held_log in self.logs.items():
            if held_log.owner == (owner, incarnation) and only in (None, log):
                held_log.owner_left = True

    # Requests from successors.

    def fence(
        self, meta: LogMetadata, ballot: Ballot, owner_active: bool, now_us: int
    ) -> Iterator[WireMessage]:
        """Promise a log to a successor and send it everything held, or reply why not.

        `owner_active`: whether this relay has recently heard from the owner. A relay may succeed itself.
        """
        log = meta.log
        if not self._may_hold(meta):
            yield ["deny", log, list(ballot), "stranger", None]
            return
        held_log = self.logs.get(log)
        if held_log is not None and ballot <= held_log.promised:
            if ballot == held_log.promised:  # a repeated request: the first answer was lost
                yield from self._state_parts(held_log, ballot)
            else:
                yield ["deny", log, list(ballot), "followed", list(held_log.promised)]
            return
        # Guards against a take-over by a successor that alone has lost contact with an active owner.
        owner, owner_left = (
            (held_log.owner, held_log.owner_left)
            if held_log is not None
            else ((meta.origin, meta.incarnation), False)
        )
        if owner_active and owner[0] != ballot[1] and not owner_left:
            yield ["deny", log, list(ballot), "owner is there", None]
            return
        try:
            held_log = self._promised(meta, ballot)
        except OSError:
            yield ["deny", log, list(ballot), "no room", None]
            return
        held_log.owner_left, held_log.since_us = False, now_us
        yield from self._state_parts(held_log, ballot)

    def _state_parts(self, held_log: HeldLog, ballot: Ballot) -> Iterator[WireMessage]:
        names, parts = list(held_log.copies), 0
        for at in range(0, len(names), ITEMS_PER_MESSAGE):
            states = [
                [name, held_log.copies[name].encoded()]
                for name in names[at : at + ITEMS_PER_MESSAGE]
                if name in held_log.copies
            ]
            yield ["state", held_log.meta.log, list(ballot), parts, states]
            parts += 1
        yield ["promise", held_log.meta.log, list(ballot), parts]

    # Time.

    def expire(self, before_ms: int) -> None:
        """Remove messages that ended before a time."""
        for held_log in self.logs.values():
            ended = ((name, copy.ended) for name, copy in held_log.copies.items())
            for name in [name for name, end in ended if end is not None and end[1] < before_ms]:
                del held_log.copies[name]

    def drop(self, log: str) -> None:
        """Delete a log at its owner's request."""
        if self.logs.pop(log, None) is not None:
            self._store.drop(log)


def apply_stored(
    logs: dict[str, HeldLog],
    meta: LogMetadata | None,
    log: str,
    name: str,
    kind: str,
    ballot: Any,
    fields: Any,
) -> None:
    """Apply one stored entry, in the order written; `ValueError` if it is malformed."""
    if meta is not None:
        held_log = logs.setdefault(meta.log, HeldLog(meta, decode_ballot(ballot)))
        held_log.promised = max(held_log.promised, decode_ballot(ballot))
        return
    held_log = logs[log]
    held_log.copies.setdefault(name, MessageState()).add(Kind(kind), decode_ballot(ballot), fields)
