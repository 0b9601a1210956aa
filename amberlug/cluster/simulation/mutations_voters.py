"""Mutations of Raft membership, and of what the cluster state keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.consensus import voter_selection
from amberlug.cluster.consensus.log import Log
from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.raft import ProposalCallback, RaftNode
from amberlug.cluster.consensus.replication import Replication
from amberlug.cluster.consensus.rollback_guard import RollbackGuard
from amberlug.cluster.consensus.voter_selection import MemberStatus
from amberlug.cluster.control import cluster_state
from amberlug.cluster.interfaces import Json
from amberlug.cluster.settings import Tolerance


def _voters_in_one_zone() -> AbstractContextManager[Any]:
    """Voters are chosen by name, whatever their zones."""

    def by_name(members: Iterable[MemberStatus], tolerance: Tolerance, leader: str) -> list[MemberStatus]:
        """Choose voters by name, whatever their zones; the leader and present voters come first."""
        candidates = [it for it in members if (it.is_alive if it.is_voter else it.is_eligible)]
        wanted = max(3, 2 * max(tolerance.machines, tolerance.zones, tolerance.regions) + 1)
        ordered = sorted(candidates, key=lambda it: (it.name != leader, not it.is_voter, it.name))
        return ordered[:wanted]

    return patch.object(voter_selection, "best_voters", by_name)


@contextmanager
def _learner_votes() -> Iterator[None]:
    """Learners count as voters, both in elections and for commits."""

    def majority(self: RaftNode, names: set[str]) -> bool:
        """Count learners that agree, against a majority of the voters."""
        return 2 * sum(1 for it in self.members if it in names) > len(self.members.voters)

    def advance(self: Replication) -> None:
        """Commit an entry of the current term that enough members have, learners included."""
        raft = self.raft
        matched = self.match_indexes()
        indexes = sorted((matched.get(name, 0) for name in raft.members), reverse=True)
        index = indexes[len(raft.members.voters) // 2]
        if index > raft.commit_index and raft.log.term_at(index) == raft.term:
            raft.commit_to(index)
            self.send_to_all()

    counted = patch.object(RaftNode, "has_majority", majority)
    with counted, patch.object(Replication, "advance_commit_index", advance):
        yield


def _any_change(self: RaftNode, members: Members, on_outcome: ProposalCallback) -> None:
    self.propose(members.to_command(), on_outcome)


@contextmanager
def _removal_before_copy() -> Iterator[None]:
    """A member is removed as soon as its leader has written the removal, whoever has its state."""
    agreed = patch.object(RaftNode, "is_membership_committed", property(lambda self: True))
    with agreed, patch.object(RaftNode, "change_members", _any_change):
        yield


def _two_at_once() -> AbstractContextManager[Any]:
    """A second membership change starts before the first is committed."""
    return patch.object(RaftNode, "change_members", _any_change)


def _snapshot_old_members() -> AbstractContextManager[Any]:
    """A snapshot omits the newest membership that it covers."""
    compact = Log.compact

    def forget(self: Log, index: int, state: Json) -> None:
        """Compact the log, but keep the membership of the previous snapshot."""
        members = self.snapshot_members
        compact(self, index, state)
        self.snapshot_members = members

    return patch.object(Log, "compact", forget)


def _put_back_votes() -> AbstractContextManager[Any]:
    """A member whose data folder was restored from an older copy continues as the same member."""
    return patch.object(RollbackGuard, "has_lost_entries", lambda self, acknowledged: False)


def _editions_by_count() -> AbstractContextManager[Any]:
    """Only the hashes of the newest 256 configuration changes are kept, whatever their age."""
    return patch.multiple(cluster_state, MIN_CONFIG_HASHES=256, MAX_CONFIG_HASHES=256)


FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "voters-in-one-zone": (_voters_in_one_zone, "storage"),
    "learner-votes": (_learner_votes, "storage"),
    "removal-before-copy": (_removal_before_copy, "storage"),
    "two-at-once": (_two_at_once, "storage"),
    "put-back-votes": (_put_back_votes, "storage"),
    "editions-by-count": (_editions_by_count, "config"),
    "snapshot-old-members": (_snapshot_old_members, "storage"),
}
