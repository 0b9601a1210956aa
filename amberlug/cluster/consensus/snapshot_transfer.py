"""Transfer of long entries and snapshots in chunks, paced by acknowledgements. No I/O.

Raft, section 7, also sends snapshots in chunks. Heartbeats share the connection with them, and a link of
15 Mbit/s takes 35 ms per chunk. Therefore chunks are small, few are in flight, and each chunk counts as a
message of the leader. The number in flight depends on how much longer acknowledgements take than the shortest
time observed, so that the queueing delay in front of a slow link stays at about one heartbeat interval.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

CHUNK_BYTES = 64 << 10  # of a chunk, and of the entries in one message; a heartbeat waits for at most one
MAX_WINDOW = 8  # chunks in flight: 512 KiB fill a link of 40 Mbit/s with a delay of 100 ms
# Acknowledgement delay, in excess of the shortest, beyond which the window shrinks: one heartbeat interval.
MAX_QUEUEING_S = 0.1
REPLY_TIMEOUT_S = 0.4  # for a small message; below the election timeout, so that a lost one is resent in time
SLOWEST_LINK_BYTES_PER_S = 250_000  # 2 Mbit/s; transfers over slower links time out
CHECKSUM_BYTES = 12  # 96 bits: detects damage and mixed-up chunks, not tampering
# The kinds of transfers, as named in headers.
ENTRY = "entry"
SNAPSHOT = "snapshot"


def reply_timeout_s(size_bytes: int) -> float:
    """Return the timeout, in seconds, for the reply to a message of this size."""
    return REPLY_TIMEOUT_S + size_bytes / SLOWEST_LINK_BYTES_PER_S


@value
class TransferHeader:
    """Identifies a transfer; equal headers mean equal bytes."""

    kind: str  # `ENTRY` or `SNAPSHOT`
    last_index: int  # of the entry, or of the last entry that the snapshot covers
    last_term: int
    size_bytes: int
    checksum: str  # blake2b, in hex

    @classmethod
    def describe(cls, kind: str, last_index: int, last_term: int, data: bytes) -> TransferHeader:
        """Create the header for the given data."""
        checksum = hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest()
        return cls(kind, last_index, last_term, len(data), checksum)

    def is_for(self, kind: str, last_index: int, last_term: int) -> bool:
        """Whether this is the header of the given entry or snapshot.

        Log Matching (Raft, section 5.3): index and term determine an entry and all entries before it.
        """
        return (self.kind, self.last_index, self.last_term) == (kind, last_index, last_term)

    def to_wire(self) -> Json:
        """The fields included in each chunk, in the order in which they are sent."""
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
    """The number of chunks that may be in flight to a peer: additive increase, multiplicative decrease."""

    chunks: int = 1
    shortest_s: float = 1e9  # shortest acknowledgement time observed

    def on_acknowledged(self, elapsed_s: float) -> None:
        """Adapt the window to the time that an acknowledgement took."""
        self.shortest_s = min(self.shortest_s, elapsed_s)
        if elapsed_s <= self.shortest_s + MAX_QUEUEING_S:
            self.chunks = min(MAX_WINDOW, self.chunks + 1)
        else:
            self.chunks = max(1, self.chunks // 2)


@value
class Chunk:
    """A chunk to send."""

    number: int
    offset_bytes: int
    data: bytes
    timeout_s: float  # for its reply


@value
class _InFlight:
    """A chunk that awaits its reply."""

    offset_bytes: int
    sent_at: float
    expires_at: float


@dataclass(slots=True)
class OutgoingTransfer:
    """The sending side: what the peer has received, and what is in flight."""

    header: TransferHeader
    data: bytes
    window: SendWindow
    previous_term: int = 0  # of the entry before the transferred one
    received_bytes: int = 0  # known to be at the peer
    sent_bytes: int = 0
    _number: int = 0
    _in_flight: dict[int, _InFlight] = field(default_factory=dict)

    def next_chunk(self, now: float) -> Chunk | None:
        """Return the next chunk, or None if the window is full or everything has been sent."""
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
        """Handle the reply to a chunk.

        :returns: False if the peer lost data that it had received; sending resumes from there.
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
        """Handle the reply to a status request; the value decreases if the peer has restarted."""
        if received_bytes < self.received_bytes:
            self.received_bytes = received_bytes
            self.on_lost()
        self._advance(received_bytes)

    def on_lost(self, number: int = 0) -> None:
        """Resend everything that is unacknowledged, with the minimum window.

        :param number: the chunk that received no reply, ignored unless it is still in flight; 0: any chunk.
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
    """The receiving side: the bytes received so far, in order and without gaps."""

    header: TransferHeader
    data: bytearray = field(default_factory=bytearray)

    def add(self, offset_bytes: int, data: bytes) -> None:
        """Add a chunk; duplicates and chunks out of order are ignored."""
        if offset_bytes == len(self.data):
            self.data += data

    @property
    def is_complete(self) -> bool:
        """Whether all bytes stated by the header were received."""
        return len(self.data) >= self.header.size_bytes

    def verified(self) -> bytes | None:
        """Return the data if its checksum matches; otherwise, restart the transfer and return None."""
        data = bytes(self.data)
        header = self.header
        if TransferHeader.describe(header.kind, header.last_index, header.last_term, data) == header:
            return data
        self.data.clear()
        return None
