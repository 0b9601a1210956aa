"""Network side of sessions: members open and renew them, and control-plane nodes exchange reports of them."""

from __future__ import annotations

from absl import logging

from amberlug.cluster.control.context import ControlContext
from amberlug.cluster.control.messages import (
    CurrentStateReply,
    Heartbeat,
    OpenSession,
    ReadCurrentState,
    SessionReply,
    SessionReport,
)
from amberlug.cluster.control.sessions import HEARTBEAT_INTERVAL_S
from amberlug.cluster.rpc.messages import Responder, handles, raw_message

MAX_STALENESS_S = 1e6  # upper bound of what is reported, for a node that never had contact


class SessionService:
    """Maintains sessions, and reports them to the other control-plane nodes."""

    def __init__(self, context: ControlContext) -> None:
        self._runtime, self._quorum, self._peers = context.runtime, context.quorum, context.peers
        self._sessions, self._registry = context.sessions, context.registry
        self._gossip, self._counters = context.gossip, context.counters

    def begin(self) -> None:
        """Maintain sessions, contact and endpoints now and in each heartbeat interval."""
        self._runtime.call_later(HEARTBEAT_INTERVAL_S, self.begin)
        for session in self._sessions.expire(self._runtime.now()):
            logging.info("session of %s expired", session.id)
        self._report()
        self._quorum.refresh()
        self._quorum.check()
        if self._quorum.is_in_contact:  # without contact, heartbeats may fail to reach this node
            self._registry.expire(lambda name: logging.info("endpoint %s timed out", name))

    def close_connection(self, address: str) -> None:
        """End the sessions of a process whose connection was closed."""
        ended = self._sessions.close_connection(address)
        for session in ended:
            logging.info("session of %s ended: connection closed", session.id)
        if ended:
            self._report()

    @handles(OpenSession)
    def on_open_session(self, message: OpenSession, origin: str, respond: Responder) -> None:
        """Open a session if this node is in contact with a majority, else reject it."""
        if not self._quorum.is_in_contact:
            self._counters.increment("sessions rejected")
            respond(SessionReply(False, rejection="no contact with a majority"))
            return
        session = self._sessions.open(message.node, self._runtime.now())
        logging.info("session of %s opened", session.id)
        respond(SessionReply(True, round(self._quorum.staleness_s(), 3)))
        self._report()

    @handles(Heartbeat)
    def on_heartbeat(self, message: Heartbeat, origin: str, respond: Responder) -> None:
        """Renew a session, but not without contact, so that the member switches to another node."""
        session = self._sessions.own.get(message.node.name)
        previous_state = session.node.state if session is not None else ""
        is_renewed = self._quorum.is_in_contact and self._sessions.renew(message.node, self._runtime.now())
        staleness_s = min(self._quorum.staleness_s(), MAX_STALENESS_S)
        respond(SessionReply(is_renewed, round(staleness_s, 3)))
        if is_renewed and previous_state != message.node.state:
            self._report()

    @handles(ReadCurrentState)
    def on_read_current_state(self, message: ReadCurrentState, origin: str, respond: Responder) -> None:
        """Reply with a page of all gossip entries once they are confirmed to be as recent as a majority's."""

        def reply() -> None:
            """Reply with the page of gossip entries."""
            items, next_key = self._gossip.page_after(message.after_key)
            respond(CurrentStateReply(True, items, next_key))

        def receive(index: int | None) -> None:
            """Reply once the confirmed index is applied here; without entries if no majority confirmed it."""
            if index is None:
                respond(CurrentStateReply(False, []))
            else:
                self._quorum.call_when_applied(index, reply)

        self._quorum.confirm_index(receive)

    def _report(self) -> None:
        report = SessionReport(
            self._sessions.report(self._runtime.now()),
            self._registry.pop_unreported_heartbeats(),
            self._quorum.is_in_contact,
        )
        message = raw_message(report)  # encoded once for all peers, since its size grows with the deployment
        for address in self._peers():
            self._runtime.send(address, message)

    @handles(SessionReport)
    def on_session_report(self, message: SessionReport, origin: str, respond: Responder) -> None:
        """Apply the report of another control-plane node."""
        self._sessions.receive_report(origin, message.rows, self._runtime.now(), message.has_contact)
        self._registry.receive_report(message.endpoints)
