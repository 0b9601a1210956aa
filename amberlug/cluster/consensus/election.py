"""Elections: timeouts and votes (Raft, sections 5.2, 5.4.1), pre-votes (dissertation, section 9.6).

A member whose election timeout has elapsed first asks whether it would win (pre-vote), so that a formerly
partitioned member does not disrupt the group with a higher term. A member in contact with a leader grants no
vote, so that a member that merely receives no messages cannot depose the leader (dissertation, section
4.2.3).

Requests from unknown members are answered too: this member's membership may be older than the candidate's
(dissertation, section 4.1). Candidates count only the votes of voters.

Invariant (Election Safety; Raft, section 5.2): a member votes at most once per term, and its vote is on disk
before it is sent. Any two majorities share a voter, so two members never win the same term.
"""

from __future__ import annotations

from functools import partial

from result import Ok, Result

from amberlug.cluster.consensus.context import MemberContext
from amberlug.cluster.consensus.messages import AcknowledgedIndexes, RequestVote, VoteReply
from amberlug.cluster.consensus.roles import Role
from amberlug.cluster.consensus.snapshot_transfer import REPLY_TIMEOUT_S
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import Responder, request

# Time without a message from a leader before a member starts an election: several heartbeat intervals, with a
# spread that lets one candidate win before the next one times out (Raft, sections 5.2, 9.3).
MIN_ELECTION_TIMEOUT_S = 0.5
MAX_ELECTION_TIMEOUT_S = 0.9
# The timeout right after startup: shorter, since there may be no leader, and a pre-vote does not disrupt an
# existing one.
MIN_STARTUP_TIMEOUT_S = 0.05
MAX_STARTUP_TIMEOUT_S = 0.3


class Election:
    """The candidate's and the voter's side of elections."""

    def __init__(self, raft: MemberContext) -> None:
        self._raft = raft
        self.started_count = 0  # of elections, excluding pre-votes

    # -- as a candidate

    def campaign_soon(self) -> None:
        """Start an election after a short random delay, unless a leader is heard from."""
        raft = self._raft
        if raft.leader_id == "":
            delay_s = raft.runtime.rng.uniform(MIN_STARTUP_TIMEOUT_S, MAX_STARTUP_TIMEOUT_S)
            raft.schedule(delay_s, self._on_timeout)

    def restart_timer(self) -> None:
        """Restart the election timeout, randomized so that split votes are rare (Raft, section 5.2)."""
        raft = self._raft
        delay_s = raft.runtime.rng.uniform(MIN_ELECTION_TIMEOUT_S, MAX_ELECTION_TIMEOUT_S)
        raft.schedule(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        """Start a pre-vote when no leader was heard from (dissertation, section 9.6)."""
        raft = self._raft
        self.restart_timer()
        if not raft.is_voter or not raft.rollback_guard.may_vote:
            return
        if raft.is_leader or raft.since_leader_contact_s < MIN_ELECTION_TIMEOUT_S:
            return
        raft.leader_id = ""
        self._request_votes(raft.term + 1, is_pre_vote=True)

    def start(self, term: int, is_leadership_transfer: bool = False) -> None:
        """Become a candidate in a new term (Raft, section 5.2).

        The vote for itself is persisted before votes are requested from others.
        """
        raft = self._raft
        raft.role = Role.CANDIDATE
        self.started_count += 1
        raft.term, raft.voted_for = term, raft.member_id

        def on_saved() -> None:
            """Request votes once the own vote is durable, unless the term has changed."""
            if raft.term == term:
                self._request_votes(term, is_pre_vote=False, is_leadership_transfer=is_leadership_transfer)

        raft.save_term(on_saved)

    def _request_votes(self, term: int, is_pre_vote: bool, is_leadership_transfer: bool = False) -> None:
        """Request the votes of the other voters, in membership order."""
        raft = self._raft
        count = _VoteCount(raft, term, is_pre_vote)
        last_index = raft.log.last_index
        for name in raft.members.voters:
            if name == raft.member_id:
                continue
            message = RequestVote(
                term=term,
                last_log_index=last_index,
                last_log_term=raft.log.term_at(last_index),
                is_pre_vote=is_pre_vote,
                candidate_id=raft.member_id,
                is_leadership_transfer=is_leadership_transfer,
                target_id=name,
                acknowledged_index=raft.rollback_guard.acknowledged.get(name, 0),
            )
            address = raft.members[name].address
            request(raft.runtime, address, message, REPLY_TIMEOUT_S, partial(count.on_reply, name))
        count.conclude()

    # -- as a voter

    def on_vote_request(self, message: RequestVote, respond: Responder) -> None:
        """Handle a vote request; a vote is sent once it is on disk."""
        raft = self._raft
        is_right_target = message.target_id == raft.member_id and not raft.is_stopped
        acknowledged = AcknowledgedIndexes(message.acknowledged_index)
        if is_right_target and raft.rollback_guard.has_lost_entries(acknowledged):
            raft.restart_as_new_incarnation()
        if not is_right_target or raft.is_stopped or not raft.rollback_guard.may_vote:
            # The vote of another incarnation, or one that this member may have lost, must not be cast again.
            respond(VoteReply(granted=False, term=0))
        elif message.is_pre_vote:
            would_vote = message.term > raft.term and self._is_up_to_date(message) and not self._has_leader
            respond(VoteReply(would_vote, raft.term, election_term=message.term))
        elif self._has_leader and message.term > raft.term and not message.is_leadership_transfer:
            # The candidate's higher term is not adopted either: the current leader would have to step down
            # (dissertation, section 4.2.3).
            respond(VoteReply(granted=False, term=raft.term))
        else:
            self._vote(message, respond)

    def _vote(self, message: RequestVote, respond: Responder) -> None:
        """Vote for the first candidate of a term whose log is up to date (Raft, sections 5.2, 5.4.1)."""
        raft = self._raft
        term = message.term
        is_up_to_date = self._is_up_to_date(message)
        raft.observe_term(term)
        may_vote = raft.role is Role.FOLLOWER and raft.voted_for in ("", message.candidate_id)
        if term != raft.term or not is_up_to_date or not may_vote:
            respond(VoteReply(granted=False, term=raft.term))
            return
        raft.voted_for = message.candidate_id
        raft.leader_contact_at = raft.runtime.now()
        self.restart_timer()
        raft.save_term(lambda: respond(VoteReply(granted=True, term=term, election_term=term)))

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Whether the candidate's log is at least as up to date as this one (Raft, section 5.4.1).

        Logs are compared by their last terms, then by their lengths.

        Invariant (Leader Completeness; Raft, section 5.4.3): each committed entry is on disk at a majority,
        so a candidate that wins the votes of a majority has all of them.
        """
        log = self._raft.log
        own_last_term = log.term_at(log.last_index)
        return (message.last_log_term, message.last_log_index) >= (own_last_term, log.last_index)

    @property
    def _has_leader(self) -> bool:
        """Whether a leader was heard from within the minimum election timeout (dissertation, 4.2.3)."""
        raft = self._raft
        if raft.is_leader:
            return True
        return raft.leader_id != "" and raft.since_leader_contact_s < MIN_ELECTION_TIMEOUT_S


class _VoteCount:
    """The votes that a candidate has received in an election or pre-vote."""

    def __init__(self, raft: MemberContext, term: int, is_pre_vote: bool) -> None:
        self._raft, self._term, self._is_pre_vote = raft, term, is_pre_vote
        self._granted_by = {raft.member_id}
        self._is_won = False

    def on_reply(self, name: str, reply: Result[VoteReply, RequestFailure]) -> None:
        """Handle a voter's reply."""
        if not isinstance(reply, Ok):
            return
        vote = reply.ok_value
        if vote.term > self._raft.term and not vote.granted:
            self._raft.observe_term(vote.term)
        if vote.granted and vote.election_term == self._term:
            self._granted_by.add(name)
            self.conclude()

    def conclude(self) -> None:
        """Proceed to the election or to leadership once a majority has granted its vote in time."""
        raft = self._raft
        if self._is_won or not raft.has_majority(self._granted_by) or raft.is_stopped:
            return
        if self._is_pre_vote and raft.term + 1 == self._term and not raft.is_leader:
            self._is_won = True
            raft.election.start(self._term)
        elif not self._is_pre_vote and raft.term == self._term and raft.role is Role.CANDIDATE:
            self._is_won = True
            raft.become_leader()
