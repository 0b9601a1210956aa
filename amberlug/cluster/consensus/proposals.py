"""Commands that a leader has appended and whose callers wait for the outcome."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from result import Err, Result

from amberlug.cluster.consensus.opaque import Outcome
from amberlug.cluster.values import value


class RejectionReason(Enum):
    """Why a command was not committed, or is not known to be; operators are sent the historical values."""

    NOT_LEADER = "elsewhere"  # the command was not appended: it surely has no effect
    CHANGE_NOT_ALLOWED = "not allowed"  # the same, for a membership change that must not begin yet
    OUTCOME_UNKNOWN = "unclear"  # leadership ended meanwhile: the command may or may not be committed


@value
class ProposalRejected:
    """The error of a proposal, and what the member that rejected it knew then."""

    reason: RejectionReason
    member_id: str = ""  # that rejected it; empty where another process passes the reason on
    term: int = 0  # of that member
    leader_id: str = ""  # where to try again; empty where no leader is known


ProposalResult = Result[Outcome, ProposalRejected]
ProposalCallback = Callable[[ProposalResult], None]


@value
class _PendingProposal:
    index: int
    on_outcome: ProposalCallback


class PendingProposals:
    """The callers that wait, in the order of their entries."""

    def __init__(self) -> None:
        self._pending: list[_PendingProposal] = []

    def add(self, index: int, on_outcome: ProposalCallback) -> None:
        """Have a caller notified once the entry at an index is applied, or is known not to be."""
        self._pending.append(_PendingProposal(index, on_outcome))

    def on_applied(self, index: int, outcome: ProposalResult, rejection: ProposalRejected) -> None:
        """Notify the callers up to an applied entry.

        :param outcome: what the state machine returned for it, or the rejection if the entry is of another
            term than that of this leader, thus not the one that was proposed.
        :param rejection: for callers whose entry was replaced by a snapshot.
        """
        while self._pending and self._pending[0].index <= index:
            proposal = self._pending.pop(0)
            proposal.on_outcome(outcome if proposal.index == index else Err(rejection))

    def reject_all(self, rejection: ProposalRejected) -> None:
        """Leadership has ended: another leader may commit the entries, or replace them."""
        for proposal in self._pending:
            proposal.on_outcome(Err(rejection))
        self._pending.clear()
