"""A leader's view of another member: nextIndex and matchIndex (Raft, figure 2), and requests in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from amberlug.cluster.consensus.messages import AppendEntries, FollowerReply, TransferChunk
from amberlug.cluster.consensus.snapshot_transfer import OutgoingTransfer, SendWindow
from amberlug.cluster.values import value

NEVER = -1e9  # earlier than any other time, in seconds of the monotonic clock


class RequestKind(Enum):
    """The kinds of requests to a peer; at most one each of ENTRIES and HEARTBEAT is in flight."""

    ENTRIES = "entries"
    HEARTBEAT = "heartbeat"
    CHUNK = "chunk"


@value
class LeaderRequest:
    """A leader's request to a peer, with the handlers of its outcome."""

    kind: RequestKind
    message: AppendEntries | TransferChunk
    timeout_s: float
    on_reply: Callable[[FollowerReply], bool]  # returns whether more may be sent immediately
    on_lost: Callable[[], None] = lambda: None


@value
class PendingRequest:
    """A request that awaits its reply."""

    number: int
    expires_at: float


@dataclass(slots=True)
class PeerProgress:
    """A leader's state for one peer; times are seconds of the monotonic clock."""

    next_index: int
    match_index: int = 0
    pending: dict[RequestKind, PendingRequest] = field(default_factory=dict)  # the newest of each kind
    replied_at: float = NEVER
    acknowledged_read: int = 0  # the newest read for which it has confirmed this leader
    is_unresponsive: bool = False  # its last request failed: only heartbeats are sent to it
    sent_at: float = NEVER  # time of the last message to it
    transfer: OutgoingTransfer | None = None
    window: SendWindow = field(default_factory=SendWindow)

    def is_waiting(self, kind: RequestKind, now: float) -> bool:
        """Whether a request of this kind is in flight and has not expired."""
        return kind in self.pending and now < self.pending[kind].expires_at

    def acknowledge(self, index: int) -> None:
        """Record that the peer has the leader's log on disk up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def decrement_next_index(self, last_index: int) -> None:
        """Decrement the next index after a failed consistency check (Raft, section 5.3).

        :param last_index: the last index that may match, according to the peer's reply.
        """
        self.transfer = None
        self.next_index = max(1, min(self.next_index - 1, last_index + 1))
