"""What a leader knows of another member: nextIndex and matchIndex (Raft, figure 2), and what is in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from amberlug.cluster.consensus.messages import AppendEntries, FollowerReply, TransferChunk
from amberlug.cluster.consensus.snapshot_transfer import OutgoingTransfer, SendWindow
from amberlug.cluster.values import value

NEVER = -1e9  # a time before any other, in seconds of the steady clock


class RequestKind(Enum):
    """The kinds of requests to a peer; of the first two one is in flight at a time."""

    ENTRIES = "entries"
    HEARTBEAT = "heartbeat"
    CHUNK = "chunk"


@value
class LeaderRequest:
    """A request of the leader to a peer, and what its outcome means."""

    kind: RequestKind
    message: AppendEntries | TransferChunk
    timeout_s: float
    on_reply: Callable[[FollowerReply], bool]  # returns whether more may be sent at once
    on_lost: Callable[[], None] = lambda: None


@value
class PendingRequest:
    """A request without a reply yet."""

    number: int
    expires_at: float


@dataclass(slots=True)
class PeerProgress:
    """A leader's state of one peer; times are seconds of the steady clock."""

    next_index: int
    match_index: int = 0
    pending: dict[RequestKind, PendingRequest] = field(default_factory=dict)  # the newest of each kind
    replied_at: float = NEVER
    acknowledged_read: int = 0  # the newest read whose leader it has confirmed
    is_unresponsive: bool = False  # its last request failed: it gets heartbeats, and nothing large
    sent_at: float = NEVER  # when it was last sent something
    transfer: OutgoingTransfer | None = None
    window: SendWindow = field(default_factory=SendWindow)

    def is_waiting(self, kind: RequestKind, now: float) -> bool:
        """Whether a request of a kind is in flight that may still be answered."""
        return kind in self.pending and now < self.pending[kind].expires_at

    def acknowledge(self, index: int) -> None:
        """The peer has the log on disk up to an index, and matches the leader's there."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)

    def step_back(self, last_index: int) -> None:
        """The consistency check failed: try an earlier entry, at least one (Raft, section 5.3).

        :param last_index: the last one that may match, by what the peer has replied.
        """
        self.transfer = None
        self.next_index = max(1, min(self.next_index - 1, last_index + 1))
