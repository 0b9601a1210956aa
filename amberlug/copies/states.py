"""What is known of a message at a holder: a state that records only add to, in whatever order they come.

Records may be lost, doubled or come in any order: `Copy.add` and `Copy.merge` are idempotent, and
commute. Each is made under a ballot; a whole state that a successor records (`Kind.STATE`) outweighs what
earlier ballots said of an end, since that was never told: an end is told only once enough holders have it,
and one that they had the successor would have read. Attempts are never outweighed: one may have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

Ballot = tuple[int, str, str]  # number, and whose: a relay's name and incarnation
FIRST = 0  # the number under which a log's origin owns it


class Kind(StrEnum):
    """What a record adds."""

    TAKEN = "T"  # class, tenant, destination, key, body, deadline and when it was taken on (wall, ms)
    ATTEMPT = "A"  # number, when (wall, ms), endpoint
    OUTCOME = "O"  # number, result
    REPLY = "R"  # how often it was changed, whether the platform is told, the address
    OWED = "N"  # outcome, when to come again (ms): an end that is still to be acknowledged
    ENDED = "E"  # until when its name counts (wall, ms): nothing more is owed
    STATE = "S"  # all of it


Tries = dict[tuple[int, str, int], list[Any]]  # by ballot's number and owner, and the attempt's own


@dataclass(slots=True)
class Copy:
    """One message as its records tell it."""

    base: Ballot = (FIRST, "", "")  # of the newest whole state
    taken: list[Any] | None = None
    tried: Tries = field(default_factory=dict)  # endpoint, when (wall, ms), result or ""
    reply: list[Any] = field(default_factory=lambda: [0, True, b""])
    owed: tuple[Ballot, list[Any]] | None = None
    ended: tuple[Ballot, int] | None = None

    @property
    def live(self) -> bool:
        """Whether something is still owed for the message."""
        return self.ended is None

    @property
    def size(self) -> int:
        """Bytes, about, that it takes in memory and on disk."""
        body = len(self.taken[4]) if self.taken is not None else 0
        return 120 + body + 60 * len(self.tried) + len(self.reply[2])

    def add(self, kind: str, ballot: Ballot, told: list[Any]) -> None:
        """Add what a record tells; `ValueError` where it is none."""
        try:
            self._add(kind, ballot, told)
        except (IndexError, TypeError, KeyError) as error:
            raise ValueError(f"a record {kind!r} that can't be read: {error!r}") from None

    def _add(self, kind: str, ballot: Ballot, told: list[Any]) -> None:
        number, owner, _ = ballot
        match kind:
            case Kind.TAKEN:
                if len(told) != 7 or not isinstance(told[4], bytes):
                    raise ValueError("a message that can't be read")
                if self.ended is None:
                    self.taken = self.taken or list(told)
            case Kind.ATTEMPT:
                tried = self.tried.setdefault((number, owner, int(told[0])), ["", 0, ""])
                tried[0], tried[1] = str(told[2]), int(told[1])
            case Kind.OUTCOME:
                tried = self.tried.setdefault((number, owner, int(told[0])), ["", 0, ""])
                tried[2] = str(told[1])
            case Kind.REPLY:
                self.reply = max(self.reply, list(told), key=lambda it: int(it[0]))
            case Kind.OWED:
                self._end(owed=(ballot, [str(told[0]), int(told[1])]))
            case Kind.ENDED:
                self._end(ended=(ballot, int(told[0])))
            case Kind.STATE:
                self.merge(unpacked(told))
            case _:
                raise ValueError(f"a record of kind {kind!r}")

    def _end(
        self, owed: tuple[Ballot, list[Any]] | None = None, ended: tuple[Ballot, int] | None = None
    ) -> None:
        """Take an end in, unless a newer owner has gone on without it; the newest one counts."""
        over = self.ended is not None
        if owed is not None and owed[0] >= self.base and not over and (self.owed is None or owed > self.owed):
            self.owed = owed
        if ended is not None and ended[0] >= self.base and (self.ended is None or ended > self.ended):
            self.ended = ended
            self.taken, self.owed = None, None  # its body is of no use any more

    def merge(self, other: Copy) -> None:
        """Add all that another copy tells."""
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

    def packed(self) -> list[Any]:
        """The state as it goes into frames and files."""
        tried = [[*key, *told] for key, told in sorted(self.tried.items())]
        return [list(self.base), self.taken, tried, self.reply, self.owed, self.ended]

    def rebased(self, ballot: Ballot) -> Copy:
        """A copy of it as its new owner records it."""
        found = unpacked([list(ballot), *self.packed()[1:]])
        if found.owed is not None:
            found.owed = ballot, found.owed[1]
        return found


def unpacked(told: list[Any]) -> Copy:
    """Read a state; `ValueError` where it is none."""
    try:
        base, taken, tried, reply, owed, ended = told
        return Copy(
            ballot_of(base),
            None if taken is None else list(taken),
            {(int(it[0]), str(it[1]), int(it[2])): [str(it[3]), int(it[4]), str(it[5])] for it in tried},
            [int(reply[0]), bool(reply[1]), bytes(reply[2])],
            None if owed is None else (ballot_of(owed[0]), [str(owed[1][0]), int(owed[1][1])]),
            None if ended is None else (ballot_of(ended[0]), int(ended[1])),
        )
    except (TypeError, IndexError, KeyError) as error:
        raise ValueError(f"a state that can't be read: {error!r}") from None


def ballot_of(told: Any) -> Ballot:
    """Read a ballot; `ValueError` where it is none."""
    try:
        number, owner, incarnation = told
    except TypeError:
        raise ValueError(f"no ballot: {told!r}") from None
    if not isinstance(number, int) or not isinstance(owner, str) or not isinstance(incarnation, str):
        raise ValueError(f"no ballot: {told!r}")
    return number, owner, incarnation


@dataclass(frozen=True, slots=True)
class Meta:
    """What a log is: whose, which of its origin's, how many must hold a record, and who may."""

    origin: str
    incarnation: str
    serial: int
    need: int  # how many of the ensemble have a record before it counts
    ensemble: tuple[tuple[str, str], ...]  # names and incarnations of those that may, the origin first

    @property
    def log(self) -> str:
        """Its name."""
        return f"{self.origin}.{self.incarnation}.{self.serial}"

    @property
    def first(self) -> Ballot:
        """The ballot under which its origin owns it."""
        return FIRST, self.origin, self.incarnation

    @property
    def reads(self) -> int:
        """How many of the ensemble meet any `need` of it: as many must promise before another owns it."""
        return len(self.ensemble) - self.need + 1

    def incarnation_of(self, name: str) -> str | None:
        """With which disk a relay may hold this log; None where it may not."""
        return dict(self.ensemble).get(name)

    def packed(self) -> list[Any]:
        """As it goes into frames and files."""
        return [self.origin, self.incarnation, self.serial, self.need, [list(it) for it in self.ensemble]]


def meta_of(told: Any) -> Meta:
    """Read what a log is; `ValueError` where that can't be."""
    try:
        origin, incarnation, serial, need, ensemble = told
        meta = Meta(
            str(origin),
            str(incarnation),
            int(serial),
            int(need),
            tuple((str(name), str(own)) for name, own in ensemble),
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"no log: {error!r}") from None
    names = [name for name, _ in meta.ensemble]
    first = (meta.origin, meta.incarnation)
    if not 1 <= meta.need <= len(names) or len(set(names)) != len(names) or meta.ensemble[0] != first:
        raise ValueError(f"no log: {meta!r}")
    return meta
