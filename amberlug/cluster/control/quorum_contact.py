"""A control-plane node's contact with a majority: how stale its state may be, and who the leader is."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from result import Ok, Result

from amberlug.cluster.consensus.raft import RaftNode, Role
from amberlug.cluster.control.peer_messages import ConfirmedIndex, ConfirmIndex
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import Responder, handles, request
from amberlug.cluster.values import value

CONTACT_TIMEOUT_S = 1.2  # since the last confirmation by a majority; longer than an election takes
CONFIRM_TIMEOUT_S = 0.9  # for the leader to confirm its commit index: callers wait for one second
NEVER_S = -1e9  # earlier than any time of the monotonic clock


@value
class _WaitingCall:
    """A callback to run once the log is applied up to an index."""

    index: int
    action: Callable[[], None]


class QuorumContact:
    """Tracks whether a commit index confirmed by a majority was recently applied here.

    A node without contact opens and renews no sessions, accepts no heartbeats, acknowledges no announcements
    and directs no endpoint to itself: its state may be stale, and what it receives may not reach other nodes.

    :param on_regained: called when contact is established again.
    """

    def __init__(self, runtime: Runtime, raft: RaftNode, on_regained: Callable[[], None]) -> None:
        self._runtime, self._raft, self._on_regained = runtime, raft, on_regained
        self._confirmed_at_s = NEVER_S  # request time of the latest successful confirmation
        self._had_contact = False
        self._waiting: list[_WaitingCall] = []

    def staleness_s(self) -> float:
        """Return an upper bound in seconds of how far the state applied here lags behind a majority's."""
        return self._runtime.now() - self._confirmed_at_s

    @property
    def is_in_contact(self) -> bool:
        """Whether a majority recently confirmed its commit index."""
        return self.staleness_s() <= CONTACT_TIMEOUT_S

    def leader_address(self) -> str | None:
        """Return the address of the leader; None if this node is the leader or knows of none."""
        member = self._raft.members.get(self._raft.leader_id)
        return None if member is None or self._raft.leader_id == self._raft.member_id else member.address

    def confirm_index(self, on_confirmed: Callable[[int | None], None]) -> None:
        """Have the leader confirm its commit index with a majority (ReadIndex: Raft dissertation, sec. 6.4).

        :param on_confirmed: called once with the index, or with None if no majority confirmed it.
        """
        if self._raft.role is Role.LEADER:
            self._raft.confirm_read(on_confirmed)
            return
        leader = self.leader_address()
        if leader is None:
            on_confirmed(None)
            return

        def receive(reply: Result[ConfirmedIndex, RequestFailure]) -> None:
            """Report the confirmed index, or None if the request failed."""
            on_confirmed(reply.ok_value.index if isinstance(reply, Ok) else None)

        request(self._runtime, leader, ConfirmIndex(), CONFIRM_TIMEOUT_S, receive)

    @handles(ConfirmIndex)
    def on_confirm_index(self, message: ConfirmIndex, origin: str, respond: Responder) -> None:
        """Confirm the commit index for another control-plane node."""
        self._raft.confirm_read(lambda index: respond(ConfirmedIndex(index)))

    def refresh(self) -> None:
        """Request a new confirmation, dated by the time of the request, since the state may be that old."""
        requested_at_s = self._runtime.now()

        def receive(index: int | None) -> None:
            """Renew the contact once the confirmed index is applied here."""
            if index is not None:
                self.call_when_applied(index, lambda: self._renew(requested_at_s))

        self.confirm_index(receive)

    def _renew(self, requested_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, requested_at_s)
        self.check()

    def check(self) -> None:
        """Detect whether contact was established or lost since the last call."""
        if self.is_in_contact == self._had_contact:
            return
        self._had_contact = self.is_in_contact
        if self.is_in_contact:
            self._on_regained()
        logging.info("contact with a majority %s", "established" if self.is_in_contact else "lost")

    def call_when_applied(self, index: int, action: Callable[[], None]) -> None:
        """Run an action once the log is applied here up to an index, or immediately if it is already."""
        if index <= self._raft.last_applied:
            action()
        else:
            self._waiting.append(_WaitingCall(index, action))

    def on_applied(self) -> None:
        """Run the actions that waited for entries which are now applied."""
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.call_when_applied(call.index, call.action)
