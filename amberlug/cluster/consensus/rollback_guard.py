"""Detection of a data folder that was restored from a backup.

Raft assumes that what a member has acknowledged stays on its disk (section 5.1: servers update stable
storage before they respond). A folder that was put back breaks that. A leader knows up to which committed
entry each member has acknowledged the log. What is committed is never taken back, so a member whose log ends
before its acknowledged index has lost entries, and perhaps a vote. All members keep these indexes and pass
them on: a leader with its messages, any member when one that has just started asks.

Invariant: a member votes only after so many others have replied as make a majority with it, or after a
leader was heard of. So one that has lost what it acknowledged helps to elect nobody.
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

RETRY_INTERVAL_S = 0.1  # between requests for the own index: a start must not take an election timeout longer
# Between two messages to a member that pass on all indexes which have risen: a fifth of the heartbeats carry
# them, since they have as many fields as there are members.
CHANGED_INTERVAL_S = 0.5
# The same if none has risen, and between writes to disk: each write costs a sync, and members that are up
# repeat what a crash loses.
UNCHANGED_INTERVAL_S = 5.0


class _Copy(NamedTuple):
    """The acknowledged indexes as another member or the disk was last given them.

    Indexes only rise while the members stay the same, so their sum says whether one has.
    """

    index_sum: int
    at: float  # seconds of the steady clock


_NO_COPY = _Copy(-1, NEVER)


class RollbackGuard:
    """The acknowledged indexes that one member knows of, by member."""

    def __init__(self, raft: MemberContext, acknowledged: Mapping[str, int]) -> None:
        self._raft = raft
        self.acknowledged: dict[str, int] = dict(acknowledged)
        self.may_vote = True  # False from a start until it is known that nothing was lost
        self._replied: set[str] = set()  # members that have sent this member's index since the start
        self._sent: dict[str, _Copy] = {}  # by member
        self._saved = _Copy(self._index_sum, NEVER)

    @property
    def _index_sum(self) -> int:
        return sum(self.acknowledged.values())

    def _raise_to(self, indexes: Mapping[str, int]) -> None:
        raft = self._raft
        for name, index in indexes.items():
            if index > self.acknowledged.get(name, 0):
                self.acknowledged[name] = index
        for name in sorted(set(self.acknowledged) - set(raft.members)):
            del self.acknowledged[name]  # it is no member any more, and comes back as another incarnation
        now = raft.runtime.now()
        if self._index_sum != self._saved.index_sum and now - self._saved.at >= UNCHANGED_INTERVAL_S:
            self._saved = _Copy(self._index_sum, now)
            raft.disk.write(raw_rows([AcknowledgedRow(dict(self.acknowledged))]), lambda error: None)

    # -- as a leader

    def on_acknowledged(self, match_indexes: Mapping[str, int], commit_index: int) -> None:
        """Take up to where members have acknowledged the log; only what is committed counts."""
        self._raise_to({name: min(index, commit_index) for name, index in match_indexes.items()})

    def indexes_for(self, name: str) -> AcknowledgedIndexes:
        """What goes along with a message to a member: all indexes now and then, else its own alone."""
        now, index_sum = self._raft.runtime.now(), self._index_sum
        sent = self._sent.get(name, _NO_COPY)
        interval_s = UNCHANGED_INTERVAL_S if sent.index_sum == index_sum else CHANGED_INTERVAL_S
        of_target = self.acknowledged.get(name, 0)
        if now - sent.at < interval_s:
            return AcknowledgedIndexes(of_target)
        self._sent[name] = _Copy(index_sum, now)
        return AcknowledgedIndexes(of_target, self.acknowledged)

    # -- as a member that starts

    def has_lost_entries(self, acknowledged: AcknowledgedIndexes) -> bool:
        """Take the indexes that another member has sent.

        :returns: whether they show that this member's log ends before what it had acknowledged.
        """
        raft = self._raft
        self._raise_to(acknowledged.of_members or {})
        acknowledged_index = max(acknowledged.of_target, self.acknowledged.get(raft.member_id, 0))
        return acknowledged_index > raft.log.last_index

    def start_check(self) -> None:
        """Ask the other voters up to where this member had acknowledged the log, until enough reply."""
        raft = self._raft
        if self.may_vote or raft.rollback_guard is not self or not raft.is_voter:
            return  # one that becomes a voter later learns of it from a leader
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
        """Whether the members that have replied are a majority of the voters together with this one."""
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
