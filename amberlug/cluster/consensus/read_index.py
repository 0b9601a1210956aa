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
    """Reads that wait until a majority confirms that this leader is still the leader.

    Invariant: a confirmed index is at least the commit index at the time of the request (dissertation,
    section 6.4, step 2). The majority replied to messages sent after the request (step 3), so no other leader
    had been elected by then. Who reads waits itself until the index is applied (step 4).
    """

    def __init__(self, raft: MemberContext) -> None:
        self._raft = raft
        self._pending: list[_PendingRead] = []
        self.sequence = 0  # of the newest read; messages to peers carry it implicitly, by when they are sent

    def request(self, on_confirmed: ReadCallback) -> None:
        """Have the commit index confirmed by a majority: a state applied up to there is the newest.

        The commit index of a new leader may lag behind that of its predecessor: the read waits until an
        entry of its own term is committed (dissertation, section 6.4, step 1).

        :param on_confirmed: called once, with the index, or with None where this member does not lead.
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
        """Confirm the reads that a majority has acknowledged, in their order."""
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
        """Leadership has ended: nothing can be confirmed."""
        for read in self._pending:
            read.on_confirmed(None)
        self._pending.clear()
