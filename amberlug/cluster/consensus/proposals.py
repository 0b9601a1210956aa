"""Pending proposals: commands that a leader has appended and whose callers await the outcome."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from result import Err, Result

from amberlug.cluster.consensus.opaque import Outcome
from amberlug.cluster.values import value


class RejectionReason(Enum):
    """Why a proposal was rejected. The values are historical, and are sent to operators."""

    NOT_LEADER = "elsewhere"  # not appended, so the command certainly has no effect
    CHANGE_NOT_ALLOWED = "not allowed"  # not appended: a membership change that must not begin yet
    OUTCOME_UNKNOWN = "unclear"  # leadership was lost: the command may or may not be committed


@value
class ProposalRejected:
    """The error of a rejected proposal, with the state of the rejecting member at that time."""

    reason: RejectionReason
    member_id: str = ""  # the rejecting member; empty if the reason was relayed by another process
    term: int = 0  # of that member
    leader_id: str = ""  # where to retry; empty if no leader is known


ProposalResult = Result[Outcome, ProposalRejected]
ProposalCallback = Callable[[ProposalResult], None]


@value
class _PendingProposal:
    index: int
    on_outcome: ProposalCallback


class PendingProposals:
    """The waiting callers, in the order of their entries."""

    def __init__(self) -> None:
        self._pending: list[_PendingProposal] = []

    def add(self, index: int, on_outcome: ProposalCallback) -> None:
        """Notify a caller once the entry at an index has been applied or rejected."""
        self._pending.append(_PendingProposal(index, on_outcome))

    def on_applied(self, index: int, outcome: ProposalResult, rejection: ProposalRejected) -> None:
        """Notify the callers up to an applied entry.

        :param outcome: the result of the state machine, or the rejection if the entry has a different term
            than this leader and thus is not the proposed one.
        :param rejection: for callers whose entry was replaced by a snapshot.
        """
        while self._pending and self._pending[0].index <= index:
            proposal = self._pending.pop(0)
            proposal.on_outcome(outcome if proposal.index == index else Err(rejection))

    def reject_all(self, rejection: ProposalRejected) -> None:
        """Reject all proposals once leadership is lost: another leader may commit or replace the entries."""
        for proposal in self._pending:
            proposal.on_outcome(Err(rejection))
        self._pending.clear()
