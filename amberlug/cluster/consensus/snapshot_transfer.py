"""What is too long for one message goes in parts, paced by acknowledgements and checked as a whole. No I/O.

Beats share the connection with what is large, and a link of 15 Mbit/s takes 35 ms for a part: so parts are
small, few are under way, and each is a word of the leader's by itself. How many are under way follows from
how long acknowledgements take beyond the shortest time seen: a queue of parts stays about as long as a beat.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

PART = 64 << 10  # bytes of one part, and of the entries in one message
WINDOW = 8  # parts under way at most
QUEUE_S = 0.1  # that an acknowledgement may take beyond the shortest until fewer parts are under way
ANSWER_S = 0.4  # for a member to answer something small
SLOWEST = 250_000  # bytes a second of a link that is still waited for


def patience(size: int) -> float:
    """How long to wait for the answer to so many bytes until they count as lost, in seconds."""
    return ANSWER_S + size / SLOWEST


@dataclass(frozen=True, slots=True)
class TransferHeader:
    """What goes in parts: an entry or a snapshot, up to which entry it goes, and its bytes' sum."""

    kind: str
    last: int
    last_term: int
    total: int
    sum: str


def whole_of(kind: str, last: int, last_term: int, data: bytes) -> TransferHeader:
    """Name some bytes."""
    return TransferHeader(kind, last, last_term, len(data), hashlib.blake2b(data, digest_size=12).hexdigest())


@dataclass(slots=True)
class SendWindow:
    """How many parts may be under way to a peer."""

    window: int = 1
    least: float = 1e9  # the shortest time that an acknowledgement took

    def took(self, seconds: float) -> None:
        self.least = min(self.least, seconds)
        if seconds <= self.least + QUEUE_S:
            self.window = min(WINDOW, self.window + 1)
        else:
            self.window = max(1, self.window // 2)


@dataclass(frozen=True, slots=True)
class Chunk:
    """One part as it is sent, and how many seconds to wait for its answer."""

    number: int
    offset: int
    data: bytes
    within: float


@dataclass(slots=True)
class OutgoingTransfer:
    """The sender's end: what the peer has, and what is under way to it."""

    whole: TransferHeader
    data: bytes
    pace: SendWindow
    before_term: int = 0  # of the entry before the one that it is
    had: int = 0  # bytes that the peer is known to have
    sent: int = 0
    _number: int = 0
    _out: dict[int, tuple[int, float, float]] = field(default_factory=dict)  # offset, when, until when

    def part(self, now: float) -> Chunk | None:
        """The next part that may go now."""
        if any(now >= until for _, _, until in self._out.values()):
            self.lost()
        if len(self._out) >= self.pace.window or self.sent >= self.whole.total:
            return None
        offset, data = self.sent, self.data[self.sent : self.sent + PART]
        self.sent += len(data)
        within = patience(self.sent - self.had)
        self._number += 1
        self._out[self._number] = offset, now, now + within
        return Chunk(self._number, offset, data, within)

    def took(self, number: int, had: int, now: float) -> bool:
        """The peer has so much; False where it lacks what it had, so that it is sent again."""
        out = self._out.pop(number, None)
        if out is not None:
            self.pace.took(now - out[1])
        if out is not None and had < out[0]:
            self.had = had
            self.lost()
            return False
        self.had = max(self.had, had)
        self.sent = max(self.sent, self.had)
        return True

    def stands_at(self, had: int) -> None:
        """The peer was asked, and has so much: less than before where it began anew."""
        if had < self.had:
            self.had = had
            self.lost()
        self.had = max(self.had, had)
        self.sent = max(self.sent, self.had)

    def lost(self, number: int = 0) -> None:
        """What is under way came to nothing, if this part still is: go on from where the peer stands."""
        if number and number not in self._out:
            return
        self._out.clear()
        self.sent, self.pace.window = self.had, 1


@dataclass(slots=True)
class IncomingTransfer:
    """The receiver's end: what came until now, in order and without gaps."""

    whole: TransferHeader
    data: bytearray = field(default_factory=bytearray)

    def take(self, offset: int, data: bytes) -> None:
        """Take a part; one that came before, or before its turn, changes nothing."""
        if offset == len(self.data):
            self.data += data

    @property
    def full(self) -> bool:
        return len(self.data) >= self.whole.total

    def verified(self) -> bytes | None:
        """All of it, if it is what was sent; else it begins anew."""
        data = bytes(self.data)
        it = self.whole
        if whole_of(it.kind, it.last, it.last_term, data) == it:
            return data
        self.data.clear()
        return None
