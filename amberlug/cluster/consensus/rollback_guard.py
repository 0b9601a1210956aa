"""Detection of a data folder that was restored from a backup.

Raft assumes that whatever a member has acknowledged stays on its disk (section 5.1: servers update stable
storage before they respond). Restoring a folder violates that assumption. A leader knows up to which
committed entry each member has acknowledged the log. Committed entries are never truncated from the end of a
log, so a member whose log ends before its acknowledged index has lost entries, and perhaps a vote. All
members store these indexes and share them: a leader with its messages, candidates with vote requests, other
members when a member that has just started asks.

Invariant: after a start, a member votes only once it has replies from enough members to form a majority with
it, or has heard from a leader. A member that has lost acknowledged entries thus helps to elect no leader.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial
from typing import NamedTuple

from result import Ok, Result

from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.consensus.messages import (
    AcknowledgedIndexes,
    AcknowledgedIndexReply,
    AcknowledgedIndexRequest,
)
from amberlug.cluster.consensus.peer_progress import NEVER
from amberlug.cluster.consensus.rows import AcknowledgedRow, raw_rows
from amberlug.cluster.consensus.snapshot_transfer import REPLY_TIMEOUT_S
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import request

RETRY_INTERVAL_S = 0.1  # between requests for its own index; must not delay startup by an election timeout
# Interval between messages to a member that carry all indexes, while they change: one in five heartbeats
# carries them, since they have as many fields as there are members.
CHANGED_INTERVAL_S = 0.5
# The same interval while no index changes, and between writes to disk: each write costs a sync, and the
# other members send again what a crash lost.
UNCHANGED_INTERVAL_S = 5.0


class _LastRecorded(NamedTuple):
    """The acknowledged indexes as last sent to a member or written to disk.

    Indexes only increase while the membership stays the same, so their sum shows whether any has changed.
    """

    index_sum: int
    at: float  # seconds of the monotonic clock


_NEVER_RECORDED = _LastRecorded(-1, NEVER)


class RollbackGuard:
    """Keeps the acknowledged index of each member, and whether this member may vote."""

    def __init__(self, raft: MemberContext, acknowledged: Mapping[str, int]) -> None:
        self._raft = raft
        self.acknowledged: dict[str, int] = dict(acknowledged)
        # False after a start, until a majority (with this member) or a leader has reported this member's
        # index.
        self.may_vote = True
        self._replied: set[str] = set()  # members that have reported this member's index since the start
        self._sent: dict[str, _LastRecorded] = {}  # by member
        self._saved = _LastRecorded(self._index_sum, NEVER)

    @property
    def _index_sum(self) -> int:
        return sum(self.acknowledged.values())

    def _merge_indexes(self, indexes: Mapping[str, int]) -> None:
        raft = self._raft
        for name, index in indexes.items():
            if index > self.acknowledged.get(name, 0):
                self.acknowledged[name] = index
        for name in sorted(set(self.acknowledged) - set(raft.members)):
            del self.acknowledged[name]  # removed from the group; it can only return as another incarnation
        now = raft.runtime.now()
        if self._index_sum != self._saved.index_sum and now - self._saved.at >= UNCHANGED_INTERVAL_S:
            self._saved = _LastRecorded(self._index_sum, now)
            raft.disk.write(raw_rows([AcknowledgedRow(dict(self.acknowledged))]), lambda error: None)

    # -- as a leader

    def on_acknowledged(self, match_indexes: Mapping[str, int], commit_index: int) -> None:
        """Record the indexes that members have acknowledged, limited to the commit index."""
        self._merge_indexes({name: min(index, commit_index) for name, index in match_indexes.items()})

    def indexes_for(self, name: str) -> AcknowledgedIndexes:
        """Return the indexes to send with a message: periodically all of them, else only the target's."""
        now, index_sum = self._raft.runtime.now(), self._index_sum
        sent = self._sent.get(name, _NEVER_RECORDED)
        interval_s = UNCHANGED_INTERVAL_S if sent.index_sum == index_sum else CHANGED_INTERVAL_S
        of_target = self.acknowledged.get(name, 0)
        if now - sent.at < interval_s:
            return AcknowledgedIndexes(of_target)
        self._sent[name] = _LastRecorded(index_sum, now)
        return AcknowledgedIndexes(of_target, self.acknowledged)

    # -- as a follower or voter

    def has_lost_entries(self, acknowledged: AcknowledgedIndexes) -> bool:
        """Merge the indexes that another member has sent, and check this member's log against its own.

        :returns: whether this member's log ends before an index that it had acknowledged.
        """
        raft = self._raft
        self._merge_indexes(acknowledged.of_members or {})
        acknowledged_index = max(acknowledged.of_target, self.acknowledged.get(raft.member_id, 0))
        return acknowledged_index > raft.log.last_index

    def start_check(self) -> None:
        """Ask the other voters for this member's acknowledged index until enough have replied."""
        raft = self._raft
        if self.may_vote or raft.rollback_guard is not self or not raft.is_voter:
            return  # a member that becomes a voter later receives its index from a leader
        if self._has_enough_replies:
            self.may_vote = True
            raft.election.campaign_soon()
            return
        for name in raft.members.voters:
            if name != raft.member_id and name not in self._replied:
                message = AcknowledgedIndexRequest(raft.member_id, name)
                address = raft.members[name].address
                request(raft.runtime, address, message, REPLY_TIMEOUT_S, partial(self._on_reply, name))
        raft.runtime.call_later(RETRY_INTERVAL_S, self.start_check)

    @property
    def _has_enough_replies(self) -> bool:
        """Whether the members that have replied form a majority of the voters together with this one."""
        return len(self._replied) >= len(self._raft.members.voters) // 2

    def _on_reply(self, name: str, reply: Result[AcknowledgedIndexReply, RequestFailure]) -> None:
        raft = self._raft
        if not isinstance(reply, Ok) or raft.rollback_guard is not self:
            return
        index = reply.ok_value.index
        if index is None:
            return
        self._replied.add(name)
        if self.has_lost_entries(AcknowledgedIndexes(index)):
            raft.restart_as_new_incarnation()
        elif not self.may_vote and self._has_enough_replies:
            self.start_check()
