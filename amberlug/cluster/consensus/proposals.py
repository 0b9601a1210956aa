"""Commands that a leader has appended and whose callers wait for the outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json


class ProposalRejected(Enum):
    """Why a command was not committed."""

    NOT_LEADER = "elsewhere"  # this member is not the leader: the command was not appended
    OUTCOME_UNKNOWN = "unclear"  # leadership ended meanwhile: the command may or may not be committed


ProposalCallback = Callable[[Result[Json, ProposalRejected]], None]


@dataclass(frozen=True, slots=True)
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

    def on_applied(self, index: int, is_own_term: bool, outcome: Json) -> None:
        """Notify the callers up to an applied entry.

        :param is_own_term: whether the entry is of the term of this leader, thus the one that was proposed.
        :param outcome: what the state machine returned for it.
        """
        while self._pending and self._pending[0].index <= index:
            proposal = self._pending.pop(0)
            if proposal.index == index and is_own_term:
                proposal.on_outcome(Ok(outcome))
            else:
                proposal.on_outcome(Err(ProposalRejected.OUTCOME_UNKNOWN))

    def reject_all(self) -> None:
        """Leadership has ended: another leader may commit the entries, or replace them."""
        for proposal in self._pending:
            proposal.on_outcome(Err(ProposalRejected.OUTCOME_UNKNOWN))
        self._pending.clear()
