"""A member of the Raft group. No I/O.

Implements Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm (Extended Version)",
2014, cited in this package as Raft. Pre-votes (section 9.6), ReadIndex (6.4), single-server membership
changes (chapter 4) and leadership transfer (3.10) follow Ongaro's dissertation, "Consensus: Bridging Theory
and Practice", 2014.

This module holds the state of a member. Its behavior is divided by concern into `election`, `replication` and
`chunk_sender` (the leader's side), `follower`, `read_index`, `proposals` and `rollback_guard`.

Invariants (Raft, figure 3) and how they are maintained:

- Election Safety, at most one leader per term: a member votes once per term, and its vote is on disk before
  it is sent (`election`).
- Leader Append-Only: a leader only appends to its log; only `follower` truncates.
- Log Matching: entries are appended only after an entry that matches the leader's log (`follower`).
- Leader Completeness: no member votes for a candidate with an older log (`election`), and a leader commits by
  counting replicas only for entries of its own term (`replication`).
- State Machine Safety: committed entries are applied in order (`RaftNode.commit_to`); `follower` asserts that
  no committed entry is replaced.

Votes and entries are acknowledged once they are on disk (Raft, figure 2). A leader sends entries while its
own disk is still writing them, and counts itself as a replica only after that (dissertation, section 10.2.1).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence, Set

from absl import logging
from result import Err, Ok

from amberlug.cluster.consensus.context import StateMachine
from amberlug.cluster.consensus.election import Election
from amberlug.cluster.consensus.follower import Follower
from amberlug.cluster.consensus.log import WRITE_RETRY_S, Log
from amberlug.cluster.consensus.membership import Members, new_member_id
from amberlug.cluster.consensus.messages import (
    AcknowledgedIndexReply,
    AcknowledgedIndexRequest,
    AppendEntries,
    RequestVote,
    TimeoutNow,
    TransferChunk,
)
from amberlug.cluster.consensus.opaque import Command, Outcome
from amberlug.cluster.consensus.peer_progress import NEVER
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState
from amberlug.cluster.consensus.proposals import (
    PendingProposals,
    ProposalCallback,
    ProposalRejected,
    ProposalResult,
    RejectionReason,
)
from amberlug.cluster.consensus.read_index import ReadCallback, ReadIndex
from amberlug.cluster.consensus.replication import Replication
from amberlug.cluster.consensus.roles import Role
from amberlug.cluster.consensus.rollback_guard import RollbackGuard
from amberlug.cluster.consensus.rows import NewIncarnationRow, TermRow, raw_rows
from amberlug.cluster.interfaces import Disk, Runtime, TimerHandle, WriteFailure
from amberlug.cluster.rpc.messages import Responder, handles

__all__ = [
    "ProposalCallback",
    "ProposalRejected",
    "ProposalResult",
    "RaftNode",
    "RejectionReason",
    "Role",
    "StateMachine",
]


class RaftNode:
    """A member of the group; its fields are documented in `context.MemberContext`.

    :param runtime: clock, timers, random numbers and peers.
    :param disk: stable storage.
    :param saved: the content of the disk at startup.
    :param state_machine: the state machine to which committed commands are applied.
    """

    def __init__(
        self, runtime: Runtime, disk: Disk, saved: PersistentState, state_machine: StateMachine
    ) -> None:
        self.runtime, self.disk, self.state_machine = runtime, disk, state_machine
        self.on_change = state_machine.on_change
        self._initial_state = dict(state_machine.snapshot())
        self._load(saved)

    def _load(self, saved: PersistentState) -> None:
        """Initialize the member from its persistent state."""
        self.member_id, self.term, self.voted_for = saved.member_id, saved.term, saved.voted_for
        self.log = Log(self.runtime, self.disk, saved, self._on_log_synced)
        newest_term = self.log.term_at(self.log.last_index)
        if newest_term > self.term:
            # The disk stored entries of a term, but the write of the term itself failed. Leaders of older
            # terms are not accepted, since they could replace acknowledged entries. The vote in this term is
            # unknown, so the member must not vote again.
            self.term, self.voted_for = newest_term, self.member_id
        self.role, self.leader_id = Role.FOLLOWER, ""
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.leader_contact_at = self.runtime.now()
        self.leader_since = 0.0
        self.is_stopped = False
        self._timer: TimerHandle | None = None  # the election timeout, or the next heartbeats of a leader
        self.proposals = PendingProposals()
        self.reads = ReadIndex(self)
        self.election = Election(self)
        self.replication = Replication(self)
        self.follower = Follower(self)
        self.rollback_guard = RollbackGuard(self, saved.acknowledged)
        if self.log.snapshot_state is not None:
            self.state_machine.restore(self.log.snapshot_state)
        self.refresh_membership()

    # -- state

    @property
    def is_leader(self) -> bool:
        """Whether this member believes itself to be the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter."""
        return self.members.is_voter(self.member_id)

    @property
    def members(self) -> Members:
        """All members of the group, by name."""
        return self.membership.members

    @property
    def is_membership_committed(self) -> bool:
        """Whether the newest membership is committed, which is required before the next change."""
        return self.membership.index <= self.commit_index

    @property
    def since_leader_contact_s(self) -> float:
        """Seconds since the last contact with a leader."""
        return self.runtime.now() - self.leader_contact_at

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index; -1 if it is unknown."""
        return self.log.term_at(index)

    def has_majority(self, names: Set[str]) -> bool:
        """Whether these members contain a majority of the voters."""
        return self.members.has_majority(names)

    # -- starting and stopping

    def start(self) -> None:
        """Join the group; voting is disabled until it is known that the disk has lost nothing."""
        self.leader_contact_at = NEVER  # so that after a failure of all members none waits for a leader
        self.rollback_guard.may_vote = False
        self.election.campaign_soon()
        self.rollback_guard.start_check()

    def stop(self) -> None:
        """Stop participating in the group."""
        self.is_stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def restart_as_new_incarnation(self) -> None:
        """Restart with an empty log under a new member ID, after the data folder was restored from a backup.

        The log ends before an index that this member had acknowledged. What else was lost is unknown, so the
        member cannot vote safely. Like a machine that has lost its disk, it must be admitted to the group
        again.
        """
        if self.is_stopped:
            return
        host = self.member_id.rpartition("/")[0]
        member_id = new_member_id(host, self.runtime.rng.getrandbits)
        logging.warning(
            "%s has less on disk than it acknowledged: it goes on as %s", self.member_id, member_id
        )
        self.step_down()
        self.stop()
        self.log.close()

        def on_written(failure: WriteFailure | None) -> None:
            """Restart with an empty log once the new incarnation is durable; retry if the write failed."""
            if failure is not None:
                self.runtime.call_later(WRITE_RETRY_S, write)
                return
            self.state_machine.restore(self._initial_state)
            self._load(PersistentState(member_id))
            self.on_change()
            self.start()

        def write() -> None:
            """Persist the new incarnation."""
            self.disk.write(raw_rows([NewIncarnationRow(member_id)]), on_written)

        write()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Set the single timer: the election timeout of a follower or the heartbeat interval of a leader."""
        if self._timer is not None:
            self._timer.cancel()
        if not self.is_stopped:
            self._timer = self.runtime.call_later(delay_s, action)

    # -- terms and roles

    def save_term(self, on_saved: Callable[[], None]) -> None:
        """Persist the term and the vote (Raft, figure 2); `on_saved` is not called if the write fails."""
        row = TermRow(self.term, self.voted_for)
        self.disk.write(raw_rows([row]), lambda error: None if error else on_saved())

    def observe_term(self, term: int) -> None:
        """Adopt a higher term and become a follower (Raft, section 5.1); other terms have no effect."""
        if term <= self.term:
            return
        self.term, self.voted_for = term, ""
        self.step_down()
        # Nothing waits for this write: votes and entries of the term are written after it, and `_load`
        # handles the case that this write failed and that of an entry succeeded.
        self.save_term(lambda: None)

    def step_down(self) -> None:
        """Become a follower; pending proposals and reads are rejected if this member was the leader."""
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        if was_leader:
            self.leader_id = ""
            self.proposals.reject_all(self.rejection(RejectionReason.OUTCOME_UNKNOWN))
            self.reads.reject_all()
            self.on_change()
        self.election.restart_timer()

    def become_leader(self) -> None:
        """Become the leader of the current term, after a majority has voted for this member (section 5.2)."""
        self.role, self.leader_id, self.leader_since = Role.LEADER, self.member_id, self.runtime.now()
        self.replication.start()
        self.on_change()
        self.replication.send_heartbeats()

    # -- the log

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries as the leader; a new membership takes effect at once (dissertation, section 4.1).

        Invariant (Leader Append-Only; Raft, section 5.3): no entry of the log is replaced.
        """
        self.log.append(entries)
        if any(entry.members is not None for entry in entries):
            self.refresh_membership()
            self.replication.track_members()

    def refresh_membership(self) -> None:
        """Use the newest membership in the log, committed or not (dissertation, section 4.1).

        After its entry has been truncated, this is the previous membership again.
        """
        self.membership = self.log.newest_membership()

    def commit_to(self, index: int) -> None:
        """Commit entries up to an index and apply them in order (Raft, section 5.3).

        Invariant (State Machine Safety; Raft, section 5.4.3): the commit index never decreases, and only
        committed entries are applied, so all members apply the same entry at each index.
        """
        if index > self.commit_index:
            self.commit_index = index
            self._apply_committed()

    def _apply_committed(self) -> None:
        needs_snapshot = False
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            index = self.last_applied
            entry = self.log.entry_at(index)
            needs_snapshot = self.log.record_applied(index) or needs_snapshot
            outcome: Outcome = {}
            if entry.command is not None and entry.members is None:
                outcome = self.state_machine.apply(index, entry.command)
            rejection = self.rejection(RejectionReason.OUTCOME_UNKNOWN)
            is_own = entry.term == self.term
            self.proposals.on_applied(index, Ok(outcome) if is_own else Err(rejection), rejection)
        if needs_snapshot:
            self.log.compact(self.last_applied, self.state_machine.snapshot())
        self.on_change()

    def _on_log_synced(self) -> None:
        if self.is_stopped:
            return
        self.follower.on_synced()
        if self.is_leader:
            self.replication.advance_commit_index()

    # -- requests from this process

    def rejection(self, reason: RejectionReason) -> ProposalRejected:
        """Create the error for a proposal that this member rejects."""
        return ProposalRejected(reason, self.member_id, self.term, self.leader_id)

    def propose(self, command: Command, on_outcome: ProposalCallback) -> None:
        """Propose a command, to be committed and applied.

        :param on_outcome: called once, with the result of the state machine or the rejection.
        """
        if not self.is_leader or self.is_stopped:
            on_outcome(Err(self.rejection(RejectionReason.NOT_LEADER)))
            return
        self.append([Entry(self.term, command)])
        self.proposals.add(self.log.last_index, on_outcome)
        self.replication.send_new_entries()

    def change_members(self, members: Members, on_outcome: ProposalCallback) -> None:
        """Change the membership: one change at a time, and at most one voter per change.

        Invariant: every majority before the change shares a voter with every majority after it (dissertation,
        section 4.1). Therefore a change requires that the previous change and an entry of this leader's term
        are committed; otherwise, the majorities of two leaders could be disjoint. The second condition is not
        in the dissertation: Ongaro added it later ("bug in single-server membership changes", raft-dev,
        2015). A majority of the new voters must also have all committed entries, so that a removal leaves
        enough replicas.

        :param members: all members after the change.
        """
        up_to_date = {
            name for name in members.voters if self.replication.has_replicated(name, self.commit_index)
        }
        if (
            not self.is_leader
            or not self.is_membership_committed
            or self.term_at(self.commit_index) != self.term
            or not members.has_majority(up_to_date)
        ):
            on_outcome(Err(self.rejection(RejectionReason.CHANGE_NOT_ALLOWED)))
            return
        assert len(set(members.voters) ^ set(self.members.voters)) <= 1, "more than one voter changes at once"
        self.propose(members.to_command(), on_outcome)

    def confirm_read(self, on_confirmed: ReadCallback) -> None:
        """Confirm the commit index with a majority for a linearizable read: see `ReadIndex.request`."""
        self.reads.request(on_confirmed)

    def transfer_leadership(self) -> None:
        """Transfer leadership to another voter before a planned stop, if this member is the leader."""
        if self.is_leader:
            self.replication.transfer_leadership()

    def has_replicated(self, name: str, index: int) -> bool:
        """Whether a member is known to have the log on disk up to an index."""
        return self.replication.has_replicated(name, index)

    def unresponsive_s(self, name: str) -> float:
        """Return the seconds since a member last replied to this leader."""
        return self.replication.unresponsive_s(name)

    # -- messages from peers

    @handles(RequestVote)
    def on_request_vote(self, message: RequestVote, origin: str, respond: Responder) -> None:
        """Handle a candidate's vote request."""
        self.election.on_vote_request(message, respond)

    @handles(AppendEntries)
    def on_append_entries(self, message: AppendEntries, origin: str, respond: Responder) -> None:
        """Handle entries or a heartbeat from a leader."""
        self.follower.on_append_entries(message, respond)

    @handles(TransferChunk)
    def on_transfer_chunk(self, message: TransferChunk, origin: str, respond: Responder) -> None:
        """Handle a chunk of a long entry or of a snapshot from a leader."""
        self.follower.on_chunk(message, respond)

    @handles(AcknowledgedIndexRequest)
    def on_acknowledged_index_request(
        self, message: AcknowledgedIndexRequest, origin: str, respond: Responder
    ) -> None:
        """Tell a member that has just started which log index it is known to have acknowledged."""
        if message.target_id == self.member_id and not self.is_stopped:
            acknowledged = self.rollback_guard.acknowledged.get(message.member_id, 0)
            respond(AcknowledgedIndexReply(acknowledged))
        else:
            respond(AcknowledgedIndexReply(None))

    @handles(TimeoutNow)
    def on_timeout_now(self, message: TimeoutNow, origin: str, respond: Responder) -> None:
        """Start an election at once, without a pre-vote, as the leader is stopping (dissertation, 3.10)."""
        is_current = message.target_id == self.member_id and message.term == self.term
        if is_current and self.is_voter and self.role is Role.FOLLOWER:
            self.leader_id, self.leader_contact_at = "", NEVER
            self.election.start(self.term + 1, is_leadership_transfer=True)
