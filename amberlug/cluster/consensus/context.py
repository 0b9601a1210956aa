"""What the parts of a Raft member know of it and of each other: its state, and what they may have it do."""

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
    """The replicated state machine, and who is notified of changes."""

    apply: Callable[[int, Command], Outcome]  # a command at its index; returns the outcome for its proposer
    snapshot: Callable[[], MachineState]
    restore: Callable[[MachineState], None]  # from a snapshot
    on_change: Callable[[], None] = lambda: None  # the leader, the commit index or the membership has changed


class ElectionControl(Protocol):
    """Elections, as far as other parts begin them."""

    def campaign_soon(self) -> None:
        """Begin an election after a short random delay."""

    def restart_timer(self) -> None:
        """Restart the election timeout."""

    def start(self, term: int, is_leadership_transfer: bool = False) -> None:
        """Begin an election in a term."""


class ReplicationControl(Protocol):
    """The leader's replication, as far as other parts use it."""

    @property
    def peers(self) -> Mapping[str, PeerProgress]:
        """The progress of each other member, by name."""

    def send_to_all(self) -> None:
        """Send each peer what it lacks, or a heartbeat."""

    def header_for(self, name: str) -> LeaderHeader:
        """What each message of a leader says of it."""

    def on_matched(self, peer: PeerProgress, index: int) -> None:
        """A peer has the log up to an index on its disk."""

    def send_request(self, name: str, peer: PeerProgress, leader_request: LeaderRequest) -> None:
        """Send a message as the leader."""


class ReadControl(Protocol):
    """Pending reads, as far as replication resolves them."""

    sequence: int

    def resolve(self) -> None:
        """Complete the reads that a majority has confirmed."""


class GuardControl(Protocol):
    """Detection of restored backups, as far as elections, leaders and followers use it."""

    may_vote: bool
    acknowledged: dict[str, int]  # index by member

    def indexes_for(self, name: str) -> AcknowledgedIndexes:
        """What a message to a member says of acknowledged indexes."""

    def has_lost_entries(self, acknowledged: AcknowledgedIndexes) -> bool:
        """Whether this member has less than it acknowledged."""

    def on_acknowledged(self, match_indexes: Mapping[str, int], commit_index: int) -> None:
        """Keep what members have on their disks."""


class MemberContext(Protocol):
    """One member of the group, as its parts see it: the state of Raft, figure 2, and what it has besides.

    Times are seconds of the steady clock.
    """

    runtime: Runtime
    disk: Disk
    log: Log
    membership: Membership  # the newest in the log, committed or not
    member_id: str  # its name: `host/incarnation`
    term: int  # the newest that it has seen
    voted_for: str  # in this term; empty where it may vote for any candidate
    role: Role
    leader_id: str  # the leader of this term; empty where none is known
    leader_contact_at: float  # when it last heard from a leader, or voted
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
        """What it sends as a leader."""

    @property
    def reads(self) -> ReadControl:
        """Its pending linearizable reads."""

    @property
    def rollback_guard(self) -> GuardControl:
        """Its detection of restored backups."""

    @property
    def is_leader(self) -> bool:
        """Whether it leads in its term, as far as it knows."""

    @property
    def members(self) -> Members:
        """All members of the group, by name."""

    @property
    def is_voter(self) -> bool:
        """Whether it votes."""

    @property
    def since_leader_contact_s(self) -> float:
        """Seconds since the last contact with a leader."""

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these members are a majority of the voters."""

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Set the one timer."""

    def save_term(self, on_saved: Callable[[], None]) -> None:
        """Write the term and the vote."""

    def observe_term(self, term: int) -> None:
        """Become a follower where a message has a higher term."""

    def step_down(self) -> None:
        """Become a follower."""

    def become_leader(self) -> None:
        """Lead in the current term."""

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries as the leader."""

    def refresh_membership(self) -> None:
        """Use the newest membership in the log."""

    def commit_to(self, index: int) -> None:
        """Commit and apply entries up to an index."""

    def restart_as_new_incarnation(self) -> None:
        """Go on with an empty log under another name."""
