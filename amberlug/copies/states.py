"""The state of a message at a holder: a join of its records that does not depend on their order.

Records may be lost, duplicated or reordered: `MessageState.add` and `MessageState.merge` are idempotent and
commutative. Each record is made under a ballot. A full state recorded by a successor (`Kind.STATE`) overrides
ends that earlier ballots recorded: such an end was never reported, since an end is reported only once a
quorum holds it, and the successor would have read one that a quorum held. Attempts are never overridden: one
may have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

Ballot = tuple[int, str, str]  # number, and the relay's name and incarnation
ORIGIN_BALLOT_NUMBER = 0  # the ballot number under which a log's origin owns it


class Kind(StrEnum):
    """Type of a record. The comments list the fields."""

    TAKEN = "T"  # class, tenant, destination, key, body, deadline, time of acceptance (wall clock, ms)
    ATTEMPT = "A"  # attempt number, time (wall clock, ms), endpoint
    OUTCOME = "O"  # attempt number, result
    REPLY = "R"  # revision, whether the platform was notified, the address
    OWED = "N"  # outcome, retry delay (ms): an end that the platform has not acknowledged
    ENDED = "E"  # expiry of the name (wall clock, ms): nothing is owed any more
    STATE = "S"  # the full state


Attempts = dict[tuple[int, str, int], list[Any]]  # key: ballot number, ballot's relay, attempt number


@dataclass(slots=True)
class MessageState:
    """One message as reconstructed from its records."""

    base: Ballot = (ORIGIN_BALLOT_NUMBER, "", "")  # of the newest full state
    taken: list[Any] | None = None
    tried: Attempts = field(default_factory=dict)  # endpoint, time (wall clock, ms), result or ""
    reply: list[Any] = field(default_factory=lambda: [0, True, b""])
    owed: tuple[Ballot, list[Any]] | None = None
    ended: tuple[Ballot, int] | None = None

    @property
    def live(self) -> bool:
        """Whether the message has not ended."""
        return self.ended is None

    @property
    def size(self) -> int:
        """Approximate size in memory and on disk, in bytes."""
        body = len(self.taken[4]) if self.taken is not None else 0
        return 120 + body + 60 * len(self.tried) + len(self.reply[2])

    def add(self, kind: str, ballot: Ballot, fields: list[Any]) -> None:
        """Apply a record; `ValueError` if it is malformed."""
        try:
            self._add(kind, ballot, fields)
        except (IndexError, TypeError, KeyError) as error:
            raise ValueError(f"malformed record of kind {kind!r}: {error!r}") from None

    def _add(self, kind: str, ballot: Ballot, fields: list[Any]) -> None:
        number, owner, _ = ballot
        match kind:
            case Kind.TAKEN:
                if len(fields) != 7 or not isinstance(fields[4], bytes):
                    raise ValueError("malformed record of an accepted message")
                if self.ended is None:
                    self.taken = self.taken or list(fields)
            case Kind.ATTEMPT:
                tried = self.tried.setdefault((number, owner, int(fields[0])), ["", 0, ""])
                tried[0], tried[1] = str(fields[2]), int(fields[1])
            case Kind.OUTCOME:
                tried = self.tried.setdefault((number, owner, int(fields[0])), ["", 0, ""])
                tried[2] = str(fields[1])
            case Kind.REPLY:
                self.reply = max(self.reply, list(fields), key=lambda it: int(it[0]))
            case Kind.OWED:
                self._end(owed=(ballot, [str(fields[0]), int(fields[1])]))
            case Kind.ENDED:
                self._end(ended=(ballot, int(fields[0])))
            case Kind.STATE:
                self.merge(decode_state(fields))
            case _:
                raise ValueError(f"unknown record kind {kind!r}")

    def _end(
        self, owed: tuple[Ballot, list[Any]] | None = None, ended: tuple[Ballot, int] | None = None
    ) -> None:
        """Apply an end unless a newer owner has continued without it; the highest ballot wins."""
        over = self.ended is not None
        if owed is not None and owed[0] >= self.base and not over and (self.owed is None or owed > self.owed):
            self.owed = owed
        if ended is not None and ended[0] >= self.base and (self.ended is None or ended > self.ended):
            self.ended = ended
            self.taken, self.owed = None, None  # the body is not needed any more

    def merge(self, other: MessageState) -> None:
        """Apply everything that another copy contains."""
        if other.base > self.base:
            self.base = other.base
            if self.owed is not None and self.owed[0] < self.base:
                self.owed = None
            if self.ended is not None and self.ended[0] < self.base:
                self.ended = None
        if other.ended is not None:
            self._end(ended=other.ended)
        if self.ended is None:
            self.taken = self.taken or other.taken
        for key, (endpoint, at_ms, result) in other.tried.items():
            tried = self.tried.setdefault(key, ["", 0, ""])
            tried[:] = [tried[0] or endpoint, tried[1] or at_ms, tried[2] or result]
        self.reply = max(self.reply, other.reply, key=lambda it: int(it[0]))
        if other.owed is not None and self.ended is None:
            self._end(owed=other.owed)

    def encoded(self) -> list[Any]:
        """The state as it is encoded in frames and files."""
        tried = [[*key, *fields] for key, fields in sorted(self.tried.items())]
        return [list(self.base), self.taken, tried, self.reply, self.owed, self.ended]

    def under_ballot(self, ballot: Ballot) -> MessageState:
        """A copy of the state for recording under its new owner's ballot."""
        found = decode_state([list(ballot), *self.encoded()[1:]])
        if found.owed is not None:
            found.owed = ballot, found.owed[1]
        return found


def decode_state(encoded: list[Any]) -> MessageState:
    """Decode a state; `ValueError` if it is malformed."""
    try:
        base, taken, tried, reply, owed, ended = encoded
        return MessageState(
            decode_ballot(base),
            None if taken is None else list(taken),
            {
                (int(attempt[0]), str(attempt[1]), int(attempt[2])): [
                    str(attempt[3]),
                    int(attempt[4]),
                    str(attempt[5]),
                ]
                for attempt in tried
            },
            [int(reply[0]), bool(reply[1]), bytes(reply[2])],
            None if owed is None else (decode_ballot(owed[0]), [str(owed[1][0]), int(owed[1][1])]),
            None if ended is None else (decode_ballot(ended[0]), int(ended[1])),
        )
    except (TypeError, IndexError, KeyError) as error:
        raise ValueError(f"malformed message state: {error!r}") from None


def decode_ballot(encoded: Any) -> Ballot:
    """Decode a ballot; `ValueError` if it is malformed."""
    try:
        number, owner, incarnation = encoded
    except TypeError:
        raise ValueError(f"malformed ballot: {encoded!r}") from None
    if not isinstance(number, int) or not isinstance(owner, str) or not isinstance(incarnation, str):
        raise ValueError(f"malformed ballot: {encoded!r}")
    return number, owner, incarnation


@dataclass(frozen=True, slots=True)
class LogMetadata:
    """Metadata of a log: its origin, its serial number, its write quorum and its possible holders."""

    origin: str
    incarnation: str
    serial: int
    write_quorum: int  # how many of the ensemble must store a record
    ensemble: tuple[tuple[str, str], ...]  # names and incarnations of the possible holders, the origin first

    @property
    def log(self) -> str:
        """The log's name."""
        return f"{self.origin}.{self.incarnation}.{self.serial}"

    @property
    def origin_ballot(self) -> Ballot:
        """The ballot under which the origin owns the log."""
        return ORIGIN_BALLOT_NUMBER, self.origin, self.incarnation

    @property
    def read_quorum(self) -> int:
        """The read quorum, which intersects every write quorum: a take-over needs that many promises."""
        return len(self.ensemble) - self.write_quorum + 1

    def incarnation_of(self, name: str) -> str | None:
        """The disk with which a relay may hold this log; None if it may not."""
        return dict(self.ensemble).get(name)

    def encoded(self) -> list[Any]:
        """The metadata as encoded in frames and files."""
        return [
            self.origin,
            self.incarnation,
            self.serial,
            self.write_quorum,
            [list(member) for member in self.ensemble],
        ]


def decode_metadata(encoded: Any) -> LogMetadata:
    """Decode log metadata; `ValueError` if it is malformed."""
    try:
        origin, incarnation, serial, write_quorum, ensemble = encoded
        meta = LogMetadata(
            str(origin),
            str(incarnation),
            int(serial),
            int(write_quorum),
            tuple((str(name), str(own)) for name, own in ensemble),
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed log metadata: {error!r}") from None
    names = [name for name, _ in meta.ensemble]
    origin = (meta.origin, meta.incarnation)
    if (
        not 1 <= meta.write_quorum <= len(names)
        or len(set(names)) != len(names)
        or meta.ensemble[0] != origin
    ):
        raise ValueError(f"invalid log metadata: {meta!r}")
    return meta
