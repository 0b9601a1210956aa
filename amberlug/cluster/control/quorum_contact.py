"""A control-plane node's contact with a majority: how old its state may be, and who leads."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from result import Ok, Result

from amberlug.cluster.consensus.raft import RaftNode, Role
from amberlug.cluster.control.peer_messages import ConfirmedIndex, ConfirmIndex
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import Responder, handles, request
from amberlug.cluster.values import value

CONTACT_TIMEOUT_S = 1.2  # since a majority last confirmed its commit index: longer than an election takes
CONFIRM_TIMEOUT_S = 0.9  # for the leader to confirm its commit index: callers wait for a second
NEVER_S = -1e9  # a time before any


@value
class _WaitingCall:
    """A call that is made once the log is applied up to an index."""

    index: int
    action: Callable[[], None]


class QuorumContact:
    """Whether a majority's commit index was confirmed, and applied here, of late.

    A node without contact keeps no sessions and takes no heartbeats, acknowledges no announcement and sends
    no endpoint to itself: what it knows may be old, and what reaches it goes no further.

    :param on_regained: called when contact is there again.
    """

    def __init__(self, runtime: Runtime, raft: RaftNode, on_regained: Callable[[], None]) -> None:
        self._runtime, self._raft, self._on_regained = runtime, raft, on_regained
        self._confirmed_at_s = NEVER_S  # when the newest confirmation that succeeded was requested
        self._had_contact = False
        self._waiting: list[_WaitingCall] = []

    def staleness_s(self) -> float:
        """For how many seconds at most the state that is applied here may be older than a majority's."""
        return self._runtime.now() - self._confirmed_at_s

    @property
    def is_in_contact(self) -> bool:
        """Whether a majority confirmed its commit index of late."""
        return self.staleness_s() <= CONTACT_TIMEOUT_S

    def leader_address(self) -> str | None:
        """The address of the leader; None where this node leads itself or knows of no leader."""
        member = self._raft.members.get(self._raft.leader_id)
        return None if member is None or self._raft.leader_id == self._raft.member_id else member.address

    def confirm_index(self, on_confirmed: Callable[[int | None], None]) -> None:
        """Have the leader confirm its commit index with a majority (ReadIndex: Raft dissertation, 6.4).

        :param on_confirmed: called once with the index, or with None where no majority confirmed it.
        """
        if self._raft.role is Role.LEADER:
            self._raft.confirm_read(on_confirmed)
            return
        leader = self.leader_address()
        if leader is None:
            on_confirmed(None)
            return

        def receive(reply: Result[ConfirmedIndex, RequestFailure]) -> None:
            on_confirmed(reply.ok_value.index if isinstance(reply, Ok) else None)

        request(self._runtime, leader, ConfirmIndex(), CONFIRM_TIMEOUT_S, receive)

    @handles(ConfirmIndex)
    def on_confirm_index(self, message: ConfirmIndex, origin: str, respond: Responder) -> None:
        """Confirm the commit index for another control-plane node."""
        self._raft.confirm_read(lambda index: respond(ConfirmedIndex(index)))

    def refresh(self) -> None:
        """Confirm again; the time of the request counts, since the state may be as old as that."""
        requested_at_s = self._runtime.now()

        def receive(index: int | None) -> None:
            if index is not None:
                self.call_when_applied(index, lambda: self._renew(requested_at_s))

        self.confirm_index(receive)

    def _renew(self, requested_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, requested_at_s)
        self.check()

    def check(self) -> None:
        """Notice that contact is there, or is lost, since the last call."""
        if self.is_in_contact == self._had_contact:
            return
        self._had_contact = self.is_in_contact
        if self.is_in_contact:
            self._on_regained()
        logging.info("contact with a majority %s", "established" if self.is_in_contact else "lost")

    def call_when_applied(self, index: int, action: Callable[[], None]) -> None:
        """Call once the log is applied here up to an index, at once where it is already."""
        if index <= self._raft.last_applied:
            action()
        else:
            self._waiting.append(_WaitingCall(index, action))

    def on_applied(self) -> None:
        """Make the calls that waited for what has been applied by now."""
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.call_when_applied(call.index, call.action)
