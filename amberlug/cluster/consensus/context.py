"""Interfaces through which the components of a Raft member access its state and each other."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence, Set
from typing import Protocol

from amberlug.cluster.consensus.log import Log
from amberlug.cluster.consensus.membership import Members, Membership
from amberlug.cluster.consensus.messages import AcknowledgedIndexes, LeaderHeader
from amberlug.cluster.consensus.opaque import Command, MachineState, Outcome
from amberlug.cluster.consensus.peer_progress import LeaderRequest, PeerProgress
from amberlug.cluster.consensus.persistent_state import Entry
from amberlug.cluster.consensus.roles import Role
from amberlug.cluster.interfaces import Disk, Runtime
from amberlug.cluster.values import value


@value
class StateMachine:
    """The replicated state machine and its change callback."""

    apply: Callable[[int, Command], Outcome]  # applies the command at an index; returns its outcome
    snapshot: Callable[[], MachineState]
    restore: Callable[[MachineState], None]  # from a snapshot
    on_change: Callable[[], None] = lambda: None  # the leader, the commit index or the membership has changed


class ElectionControl(Protocol):
    """The interface of elections to other components."""

    def campaign_soon(self) -> None:
        """Start an election after a short random delay."""

    def restart_timer(self) -> None:
        """Restart the election timeout."""

    def start(self, term: int, is_leadership_transfer: bool = False) -> None:
        """Start an election in a term."""


class ReplicationControl(Protocol):
    """The interface of the leader's replication to other components."""

    @property
    def peers(self) -> Mapping[str, PeerProgress]:
        """The replication progress of each other member, by name."""

    def send_to_all(self) -> None:
        """Send each peer its missing entries or a heartbeat."""

    def header_for(self, name: str) -> LeaderHeader:
        """Return the header for leader messages to a peer."""

    def on_matched(self, peer: PeerProgress, index: int) -> None:
        """Handle that a peer has the log on disk up to an index."""

    def send_request(self, name: str, peer: PeerProgress, leader_request: LeaderRequest) -> None:
        """Send a leader message to a peer."""


class ReadControl(Protocol):
    """The interface of pending reads to replication."""

    sequence: int

    def resolve(self) -> None:
        """Complete the reads that a majority has confirmed."""


class GuardControl(Protocol):
    """The interface of the rollback guard to elections, leaders and followers."""

    may_vote: bool
    acknowledged: dict[str, int]  # index by member

    def indexes_for(self, name: str) -> AcknowledgedIndexes:
        """Return the acknowledged indexes to send along with a message to a member."""

    def has_lost_entries(self, acknowledged: AcknowledgedIndexes) -> bool:
        """Whether this member's log ends before the index that it acknowledged."""

    def on_acknowledged(self, match_indexes: Mapping[str, int], commit_index: int) -> None:
        """Record the indexes that members have on disk."""


class MemberContext(Protocol):
    """A member of the group as its components see it: the state of Raft, figure 2, and additional state.

    Times are seconds of the monotonic clock.
    """

    runtime: Runtime
    disk: Disk
    log: Log
    membership: Membership  # the newest in the log, committed or not
    member_id: str  # `host/incarnation`
    term: int  # the highest term that it has seen
    voted_for: str  # in this term; empty if it may still vote for any candidate
    role: Role
    leader_id: str  # the leader of this term; empty if unknown
    leader_contact_at: float  # time of the last message from a leader, or of its last vote
    commit_index: int
    last_applied: int
    is_stopped: bool
    state_machine: StateMachine
    on_change: Callable[[], None]

    @property
    def election(self) -> ElectionControl:
        """The elections of the member."""

    @property
    def replication(self) -> ReplicationControl:
        """The replication to other members while it is the leader."""

    @property
    def reads(self) -> ReadControl:
        """Its pending linearizable reads."""

    @property
    def rollback_guard(self) -> GuardControl:
        """Its detection of restored backups."""

    @property
    def is_leader(self) -> bool:
        """Whether it believes itself to be the leader of its term."""

    @property
    def members(self) -> Members:
        """All members of the group, by name."""

    @property
    def is_voter(self) -> bool:
        """Whether it is a voter."""

    @property
    def since_leader_contact_s(self) -> float:
        """Seconds since the last contact with a leader."""

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these members contain a majority of the voters."""

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Set the member's single timer, replacing the previous one."""

    def save_term(self, on_saved: Callable[[], None]) -> None:
        """Persist the term and the vote."""

    def observe_term(self, term: int) -> None:
        """Become a follower if a message has a higher term."""

    def step_down(self) -> None:
        """Become a follower."""

    def become_leader(self) -> None:
        """Become the leader of the current term."""

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries as the leader."""

    def refresh_membership(self) -> None:
        """Use the newest membership in the log."""

    def commit_to(self, index: int) -> None:
        """Commit and apply entries up to an index."""

    def restart_as_new_incarnation(self) -> None:
        """Restart with an empty log under a new member ID."""
