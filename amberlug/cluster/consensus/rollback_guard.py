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

from result import Ok, Result

from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.consensus.messages import (
    AcknowledgedIndexes,
    AcknowledgedIndexReply,
    AcknowledgedIndexRequest,
)
from amberlug.cluster.consensus.peer_progress import NEVER
from amberlug.cluster.consensus.rows import AcknowledgedRow, raw_rows
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import request

RETRY_INTERVAL_S = 0.1  # between requests for the own index: a start must not take an election timeout longer
REPLY_TIMEOUT_S = 0.4
CHANGED_INTERVAL_S = 0.5  # between two messages that pass on indexes which have risen
UNCHANGED_INTERVAL_S = 5.0  # between such messages if none has risen; also between writes to disk


class RollbackGuard:
    """The acknowledged indexes that one member knows of, by member."""

    def __init__(self, raft: MemberContext, acknowledged: Mapping[str, int]) -> None:
        self._raft = raft
        self.acknowledged: dict[str, int] = dict(acknowledged)
        self.may_vote = True  # False from a start until it is known that nothing was lost
        self._replied: set[str] = set()  # members that have sent this member's index since the start
        self._sent: dict[str, tuple[int, float]] = {}  # by member: the sum of the indexes sent last, and when
        self._saved = sum(self.acknowledged.values()), NEVER  # the same of what is on disk

    def _raise_to(self, indexes: Mapping[str, int]) -> None:
        raft = self._raft
        for name, index in indexes.items():
            if index > self.acknowledged.get(name, 0):
                self.acknowledged[name] = index
        for name in sorted(set(self.acknowledged) - set(raft.members)):
            del self.acknowledged[name]  # it is no member any more, and comes back as another incarnation
        total, now = sum(self.acknowledged.values()), raft.runtime.now()
        if total != self._saved[0] and now - self._saved[1] >= UNCHANGED_INTERVAL_S:
            self._saved = total, now
            raft.disk.write(raw_rows([AcknowledgedRow(dict(self.acknowledged))]), lambda error: None)

    # -- as a leader

    def on_acknowledged(self, match_indexes: Mapping[str, int], commit_index: int) -> None:
        """Take up to where members have acknowledged the log; only what is committed counts."""
        self._raise_to({name: min(index, commit_index) for name, index in match_indexes.items()})

    def indexes_for(self, name: str) -> AcknowledgedIndexes:
        """What goes along with a message to a member: all indexes now and then, else its own alone."""
        now, total = self._raft.runtime.now(), sum(self.acknowledged.values())
        sent_total, sent_at = self._sent.get(name, (-1, NEVER))
        interval_s = UNCHANGED_INTERVAL_S if sent_total == total else CHANGED_INTERVAL_S
        own = self.acknowledged.get(name, 0)
        if now - sent_at < interval_s:
            return AcknowledgedIndexes(own)
        self._sent[name] = total, now
        return AcknowledgedIndexes(own, self.acknowledged)

    # -- as a member that starts

    def has_lost_entries(self, acknowledged: AcknowledgedIndexes) -> bool:
        """Take the indexes that another member has sent.

        :returns: whether they show that this member's log ends before what it had acknowledged.
        """
        raft = self._raft
        self._raise_to(acknowledged.of_members or {})
        own = max(acknowledged.of_target, self.acknowledged.get(raft.member_id, 0))
        return own > raft.log.last_index

    def start_check(self) -> None:
        """Ask the other voters up to where this member had acknowledged the log, until enough reply."""
        raft = self._raft
        if self.may_vote or raft.rollback_guard is not self or not raft.is_voter:
            return  # one that becomes a voter later hears of it from a leader
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
