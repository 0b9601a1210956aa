"""Membership of the control plane: joining, leaving, and the leader's placement of voters."""

from __future__ import annotations

from absl import logging
from result import Ok

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.raft import ProposalResult, Role
from amberlug.cluster.consensus.voter_selection import (
    ChangeKind,
    MembershipChange,
    MemberStatus,
    loss_margin,
    next_change,
)
from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.peer_messages import AnnounceLeaving, JoinCluster, MemberDescription
from amberlug.cluster.control.quorum_contact import NEVER_S
from amberlug.cluster.rpc.messages import Responder, handles, send
from amberlug.cluster.session_client import seed_addresses

JOIN_INTERVAL_S = 0.3  # between a node's attempts to join
# Time without a message from a leader after which a node asks to join again: it may have been removed.
LEADER_TIMEOUT_S = 1.5
REPLACEMENT_TIMEOUT_S = 0.8  # for another node to replace a voter that is shutting down
LEAVING_INTERVAL_S = 0.05  # between announcements that this node is leaving
LEAVING_TIMEOUT_S = 2.0  # a node counts as leaving for this time after its last announcement


class MembershipService:
    """Maintains this node's own membership and, on the leader, the membership of all nodes."""

    def __init__(self, context: ControlContext) -> None:
        self._runtime, self._raft, self._quorum = context.runtime, context.raft, context.quorum
        self._address, self._settings, self._peers = context.address, context.settings, context.peers
        self._is_changing = False
        self._committed = 0  # the commit index at the last check of the voters
        self._is_short_of_voters = False
        self._leave_deadline_s = 0.0
        self._leaving_announced_at_s: dict[str, float] = {}  # by member: time of its last announcement

    # -- this node's own membership

    def leave(self) -> None:
        """Begin a planned shutdown: hand leadership and vote over to another node, if there is one."""
        members = self._raft.members.values()
        if any(not member.is_voter and not member.is_superseded for member in members):
            self._leave_deadline_s = self._runtime.now() + REPLACEMENT_TIMEOUT_S
        self._raft.transfer_leadership()
        self._announce_leaving()

    @property
    def has_left(self) -> bool:
        """Whether a node that shuts down may stop: it is no voter, or no node replaced it in time."""
        return self._runtime.now() >= self._leave_deadline_s or not self._raft.is_voter

    def _announce_leaving(self) -> None:
        """Ask the current leader repeatedly to replace this voter."""
        if self.has_left:
            return
        leader = self._quorum.leader_address()
        if leader is not None:
            send(self._runtime, leader, AnnounceLeaving(self._raft.member_id))
        self._runtime.call_later(LEAVING_INTERVAL_S, self._announce_leaving)

    def join(self) -> None:
        """Ask periodically to join, if necessary.

        Asks if this node's entry is outdated, or if no leader was heard from: it may have been removed.
        """
        self._runtime.call_later(JOIN_INTERVAL_S, self.join)
        is_leader = self._raft.role is Role.LEADER
        has_leader = is_leader or self._runtime.now() - self._raft.leader_contact_at < LEADER_TIMEOUT_S
        if has_leader and self._is_up_to_date():
            return
        message = JoinCluster(self._raft.member_id, self._description())
        if is_leader:
            self._admit(message)
            return
        addresses = self._join_addresses(has_leader)
        if addresses:
            send(self._runtime, self._runtime.rng.choice(addresses), message)

    def _join_addresses(self, has_leader: bool) -> list[str]:
        leader = self._quorum.leader_address()
        if leader and has_leader:
            return [leader]
        addresses = [*seed_addresses(self._settings()), *self._peers()]
        return [address for address in addresses if address != self._address]

    def _is_up_to_date(self) -> bool:
        """Whether this node's entry in the membership is current, apart from whether it is a voter."""
        member = self._raft.members.get(self._raft.member_id)
        return member is not None and member.with_vote(False) == self._description().as_learner()

    def _description(self) -> MemberDescription:
        settings = self._settings()
        control = f"{settings.control[0]}:{settings.control[1]}" if settings.control else ""
        return MemberDescription(self._address, settings.name, settings.zone, settings.region, control)

    # -- tasks of the leader

    @handles(AnnounceLeaving)
    def on_leaving(self, message: AnnounceLeaving, origin: str, respond: Responder) -> None:
        """Record that a voter is about to stop."""
        self._leaving_announced_at_s[message.member_id] = self._runtime.now()

    @handles(JoinCluster)
    def on_join(self, message: JoinCluster, origin: str, respond: Responder) -> None:
        """Admit a node, or forward its request to the leader."""
        if self._raft.role is Role.LEADER:
            self._admit(message)
        elif (leader := self._quorum.leader_address()) is not None and not message.is_forwarded:
            forwarded = JoinCluster(message.member_id, message.member, is_forwarded=True)
            send(self._runtime, leader, forwarded)

    def _admit(self, message: JoinCluster) -> None:
        """Add a node as a learner, or update its entry and keep its vote.

        Marks other members at its address as superseded.
        """
        joining, current = message.member_id, self._raft.members
        members = current
        for name, member in current.items():
            if name != joining and member.address == message.member.address:
                members = members.with_member(name, member.superseded())
        joined = message.member.as_learner().with_vote(current.is_voter(joining))
        members = members.with_member(joining, joined)
        if members != current:
            self._change(members, f"{joining} joined")

    def _change(self, members: Members, description: str) -> None:
        """Propose a membership if the previous one is committed and no change is in flight; else return."""
        if self._is_changing or not self._raft.is_membership_committed:
            return
        self._is_changing = True

        def receive(result: ProposalResult) -> None:
            """Allow the next change, and log this one if it was committed."""
            self._is_changing = False
            if isinstance(result, Ok):
                logging.info("control-plane membership changed: %s", description)

        self._raft.change_members(members, receive)

    def adjust_voters(self) -> None:
        """Promote a learner, demote a voter, or remove a superseded or unresponsive learner, if necessary."""
        tolerance = self._settings().tolerance
        statuses = self._member_statuses()
        voters = (status for status in statuses if status.is_voter)
        self._report_shortage(loss_margin(voters, tolerance) < 0)
        change = next_change(statuses, tolerance, self._raft.member_id)
        if change is not None:
            self._change(self._members_after(change), f"{change.name} {change.description}")

    def _members_after(self, change: MembershipChange) -> Members:
        members = self._raft.members
        others = members.without(change.name)
        if change.kind is ChangeKind.REMOVE:
            return others
        member = members[change.name].with_vote(change.kind is ChangeKind.PROMOTE)
        return others.with_member(change.name, member)

    def _member_statuses(self) -> list[MemberStatus]:
        raft, now_s = self._raft, self._runtime.now()
        # A member need only have what was committed at the previous check: later entries may be in transit.
        committed, self._committed = self._committed, raft.commit_index
        return [
            MemberStatus(
                name,
                member.is_voter,
                member.zone,
                member.region,
                raft.has_replicated(name, min(committed, raft.commit_index)),
                raft.unresponsive_s(name),
                member.is_superseded,
                now_s - self._leaving_announced_at_s.get(name, NEVER_S) < LEAVING_TIMEOUT_S,
            )
            for name, member in raft.members.items()
        ]

    def _report_shortage(self, is_short: bool) -> None:
        if is_short != self._is_short_of_voters:
            self._is_short_of_voters = is_short
            outcome = "do not meet" if is_short else "meet"
            logging.info("control-plane voters %s the configured failure tolerance", outcome)
