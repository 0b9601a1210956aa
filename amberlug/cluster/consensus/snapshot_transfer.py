"""Transfer of long entries and of snapshots in chunks, paced by acknowledgements. No I/O.

Raft, section 7, sends a snapshot in chunks as well. Heartbeats share the connection with them, and a link of
15 Mbit/s takes 35 ms for a chunk: so chunks are small, few are in flight, and each is a message of the
leader by itself. The number in flight follows from how long acknowledgements take beyond the shortest time
seen, so that the queue in front of a slow link stays about as long as a heartbeat interval.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

CHUNK_BYTES = 64 << 10  # of one chunk, and of the entries in one message: a heartbeat waits for one at most
MAX_WINDOW = 8  # chunks in flight: 512 KiB fill a link of 40 Mbit/s and 100 ms
MAX_QUEUEING_S = 0.1  # of an acknowledgement beyond the shortest until fewer are in flight: one heartbeat
REPLY_TIMEOUT_S = 0.4  # of a small message: below the election timeout, so that a lost one is sent again
SLOWEST_LINK_BYTES_PER_S = 250_000  # 2 Mbit/s: on a slower link a transfer times out
CHECKSUM_BYTES = 12  # 96 bits: against damage and mixed-up chunks, not against an adversary
# The kinds of transfers, as headers name them.
ENTRY = "entry"
SNAPSHOT = "snapshot"


def reply_timeout_s(size_bytes: int) -> float:
    """How long to wait for the reply to a message of this size until it counts as lost, in seconds."""
    return REPLY_TIMEOUT_S + size_bytes / SLOWEST_LINK_BYTES_PER_S


@value
class TransferHeader:
    """What is transferred; the same header means the same bytes."""

    kind: str  # `ENTRY` or `SNAPSHOT`
    last_index: int  # of the entry, or the last one that the snapshot covers
    last_term: int
    size_bytes: int
    checksum: str  # blake2b, in hex

    @classmethod
    def describe(cls, kind: str, last_index: int, last_term: int, data: bytes) -> TransferHeader:
        """The header of some bytes."""
        checksum = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest()
        return cls(kind, last_index, last_term, len(data), checksum)

    def is_for(self, kind: str, last_index: int, last_term: int) -> bool:
        """Whether this is the header of an entry, or of a snapshot.

        Log Matching (Raft, section 5.3): the index and the term determine an entry and all before it.
        """
        return (self.kind, self.last_index, self.last_term) == (kind, last_index, last_term)

    def to_wire(self) -> Json:
        """The fields that each chunk carries, in the order in which they are sent."""
        return {
            "kind": self.kind,
            "last": self.last_index,
            "last_term": self.last_term,
            "total": self.size_bytes,
            "sum": self.checksum,
        }

    @classmethod
    def from_wire(cls, body: Json) -> TransferHeader:
        """Read the fields from the JSON object of a chunk."""
        return cls(body["kind"], body["last"], body["last_term"], body["total"], body["sum"])


@dataclass(slots=True)
class SendWindow:
    """How many chunks may be in flight to a peer: additive increase, multiplicative decrease."""

    chunks: int = 1
    shortest_s: float = 1e9  # the shortest time that an acknowledgement took

    def on_acknowledged(self, elapsed_s: float) -> None:
        """Adapt the window to the time that an acknowledgement took."""
        self.shortest_s = min(self.shortest_s, elapsed_s)
        if elapsed_s <= self.shortest_s + MAX_QUEUEING_S:
            self.chunks = min(MAX_WINDOW, self.chunks + 1)
        else:
            self.chunks = max(1, self.chunks // 2)


@value
class Chunk:
    """One chunk as it is sent."""

    number: int
    offset_bytes: int
    data: bytes
    timeout_s: float  # for its reply


@value
class _InFlight:
    """A chunk without a reply yet."""

    offset_bytes: int
    sent_at: float
    expires_at: float


@dataclass(slots=True)
class OutgoingTransfer:
    """The sender's end: what the peer has received, and what is in flight to it."""

    header: TransferHeader
    data: bytes
    window: SendWindow
    previous_term: int = 0  # of the entry before the one that is transferred
    received_bytes: int = 0  # that the peer is known to have
    sent_bytes: int = 0
    _number: int = 0
    _in_flight: dict[int, _InFlight] = field(default_factory=dict)

    def next_chunk(self, now: float) -> Chunk | None:
        """The next chunk, or None where the window is full or all is sent."""
        if any(now >= chunk.expires_at for chunk in self._in_flight.values()):
            self.on_lost()
        if len(self._in_flight) >= self.window.chunks or self.sent_bytes >= self.header.size_bytes:
            return None
        offset = self.sent_bytes
        data = self.data[offset : offset + CHUNK_BYTES]
        self.sent_bytes += len(data)
        timeout_s = reply_timeout_s(self.sent_bytes - self.received_bytes)
        self._number += 1
        self._in_flight[self._number] = _InFlight(offset, now, now + timeout_s)
        return Chunk(self._number, offset, data, timeout_s)

    def on_acknowledged(self, number: int, received_bytes: int, now: float) -> bool:
        """Take the reply to a chunk.

        :returns: False where the peer lacks what it had: sending resumes there.
        """
        chunk = self._in_flight.pop(number, None)
        if chunk is not None:
            self.window.on_acknowledged(now - chunk.sent_at)
        if chunk is not None and received_bytes < chunk.offset_bytes:
            self.received_bytes = received_bytes
            self.on_lost()
            return False
        self._advance(received_bytes)
        return True

    def on_status(self, received_bytes: int) -> None:
        """Take the reply to a chunk without data; it is less than before where the peer has restarted."""
        if received_bytes < self.received_bytes:
            self.received_bytes = received_bytes
            self.on_lost()
        self._advance(received_bytes)

    def on_lost(self, number: int = 0) -> None:
        """Send again, with the smallest window, what the peer has not acknowledged.

        :param number: the chunk that got no reply, which changes nothing unless it is in flight; 0: any.
        """
        if number and number not in self._in_flight:
            return
        self._in_flight.clear()
        self.sent_bytes, self.window.chunks = self.received_bytes, 1

    def _advance(self, received_bytes: int) -> None:
        self.received_bytes = max(self.received_bytes, received_bytes)
        self.sent_bytes = max(self.sent_bytes, self.received_bytes)


@dataclass(slots=True)
class IncomingTransfer:
    """The receiver's end: the bytes received until now, in order and without gaps."""

    header: TransferHeader
    data: bytearray = field(default_factory=bytearray)

    def add(self, offset_bytes: int, data: bytes) -> None:
        """Take a chunk; a duplicate, or one that came out of order, changes nothing."""
        if offset_bytes == len(self.data):
            self.data += data

    @property
    def is_complete(self) -> bool:
        """Whether as many bytes were received as the header names."""
        return len(self.data) >= self.header.size_bytes

    def verified(self) -> bytes | None:
        """All bytes if their checksum is right; else None, and the transfer restarts."""
        data = bytes(self.data)
        header = self.header
        if TransferHeader.describe(header.kind, header.last_index, header.last_term, data) == header:
            return data
        self.data.clear()
        return None
