"""Linearizable reads without log entries: ReadIndex (dissertation, section 6.4)."""

from __future__ import annotations

from collections.abc import Callable

from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.values import value

ReadCallback = Callable[[int | None], None]


@value
class _PendingRead:
    sequence: int
    on_confirmed: ReadCallback


class ReadIndex:
    """Reads that wait until a majority confirms that this member is still the leader.

    Invariant: a confirmed index is at least the commit index at the time of the request (dissertation,
    section 6.4, step 2). The majority replied to messages sent after the request (step 3), so no other leader
    had been elected at that time. The reader is responsible for waiting until the index is applied (step 4).
    """

    def __init__(self, raft: MemberContext) -> None:
        self._raft = raft
        self._pending: list[_PendingRead] = []
        self.sequence = 0  # of the newest read; a message confirms the reads requested before it was sent

    def request(self, on_confirmed: ReadCallback) -> None:
        """Have a majority confirm the commit index: a state applied up to it is current.

        The commit index of a new leader may lag behind that of its predecessor, so the read waits until an
        entry of the leader's own term is committed (dissertation, section 6.4, step 1).

        :param on_confirmed: called once, with the index, or with None if this member is not the leader.
        """
        raft = self._raft
        if not raft.is_leader:
            on_confirmed(None)
            return
        self.sequence += 1
        self._pending.append(_PendingRead(self.sequence, on_confirmed))
        raft.replication.send_to_all()
        self.resolve()

    def resolve(self) -> None:
        """Confirm, in order, the reads that a majority has acknowledged."""
        raft = self._raft
        if raft.log.term_at(raft.commit_index) != raft.term:
            return
        acknowledged = {name: peer.acknowledged_read for name, peer in raft.replication.peers.items()}
        acknowledged[raft.member_id] = self.sequence
        while self._pending:
            read = self._pending[0]
            names = {name for name, sequence in acknowledged.items() if sequence >= read.sequence}
            if not raft.has_majority(names):
                return
            self._pending.pop(0)
            read.on_confirmed(raft.commit_index)

    def reject_all(self) -> None:
        """Reject all pending reads once leadership is lost."""
        for read in self._pending:
            read.on_confirmed(None)
        self._pending.clear()
