"""Sessions of edge and storage nodes: who is a member, as all control-plane nodes together see it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from amberlug.cluster.control.messages import SessionDescription, SessionDetails, SessionRow
from amberlug.cluster.values import value

EDGE_CLASS, STORAGE_CLASS = "edge", "storage"  # classes of machines that open sessions
HEARTBEAT_INTERVAL_S = 0.25  # between a member's heartbeats
SESSION_TIMEOUT_S = 1.2  # without a heartbeat until a session expires: four intervals and a slow link
# Members of an unresponsive control-plane node have so much longer, since they look for another one.
FAILOVER_GRACE_S = 0.9
REPORT_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.1  # a peer whose report is older is unresponsive
PEER_CONTACT_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.2  # a peer's contact is believed for so long


@dataclass(slots=True)
class Session:
    """A member as one control-plane node sees it; times are this machine's monotonic clock.

    :ivar node: the member as it last described itself.
    """

    node: SessionDescription
    opened_at_s: float
    last_heartbeat_at_s: float

    @property
    def name(self) -> str:
        """The member's name, whatever its incarnation."""
        return self.node.name

    @property
    def id(self) -> str:
        """Name and incarnation: what shards are assigned to."""
        return f"{self.node.name}/{self.node.incarnation}"

    @property
    def address(self) -> str:
        """Where it serves other nodes, `host:port`."""
        return self.node.address

    @property
    def details(self) -> SessionDetails:
        """What only its class of node reports: see `control.session_attributes`."""
        return self.node.details

    @property
    def is_up(self) -> bool:
        """Whether it takes work, and does not stop."""
        return self.node.state == "up"

    def is_more_recent_than(self, other: Session) -> bool:
        """Whether its last heartbeat came later, or with heartbeats at the same time, it was opened later."""
        mine = self.last_heartbeat_at_s, self.opened_at_s
        return mine > (other.last_heartbeat_at_s, other.opened_at_s)

    @property
    def is_edge(self) -> bool:
        """Whether it is the session of an edge node."""
        return self.node.machine_class == EDGE_CLASS

    @property
    def is_storage(self) -> bool:
        """Whether it is the session of a storage node."""
        return self.node.machine_class == STORAGE_CLASS

    def to_row(self, now_s: float) -> SessionRow:
        """The session as it is reported to other control-plane nodes."""
        return SessionRow(
            self.node, round(now_s - self.opened_at_s, 3), round(now_s - self.last_heartbeat_at_s, 3)
        )


@value
class _PeerReport:
    received_at_s: float
    sessions: dict[str, Session]


class Sessions:
    """Sessions of this node, and what other control-plane nodes last reported of theirs."""

    def __init__(self) -> None:
        self.own: dict[str, Session] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._peers_in_contact: set[str] = set()  # those that reported contact with a majority

    def open(self, node: SessionDescription, now_s: float) -> Session:
        """Open a member's session, or replace the one that it has."""
        session = Session(node, now_s, now_s)
        self.own[session.name] = session
        return session

    def renew(self, node: SessionDescription, now_s: float) -> bool:
        """Renew the session of a member whose heartbeat has come.

        :returns: False where there is no such session here, and the member has to open one.
        """
        session = self.own.get(node.name)
        if session is None or session.node.incarnation != node.incarnation:
            return False
        session.node = replace(session.node, state=node.state, details=node.details)
        session.last_heartbeat_at_s = now_s
        return True

    def close_connection(self, address: str) -> list[Session]:
        """End the sessions of a process whose connection ended, until it opens one again."""
        return self._end([session for session in self.own.values() if session.address == address])

    def expire(self, now_s: float) -> list[Session]:
        """End the sessions whose heartbeats stay away."""
        return self._end(
            [
                session
                for session in self.own.values()
                if now_s - session.last_heartbeat_at_s > SESSION_TIMEOUT_S
            ]
        )

    def _end(self, ended: list[Session]) -> list[Session]:
        for session in ended:
            del self.own[session.name]
        return ended

    def report(self, now_s: float) -> Sequence[SessionRow]:
        """Sessions of this node, as other control-plane nodes get them."""
        return [session.to_row(now_s) for session in self.own.values()]

    def receive_report(
        self, peer: str, rows: Sequence[SessionRow], now_s: float, has_contact: bool = True
    ) -> None:
        """Take over another control-plane node's report of its sessions and of its contact."""
        if has_contact:
            self._peers_in_contact.add(peer)
        else:
            self._peers_in_contact.discard(peer)
        sessions = {
            row.node.name: Session(row.node, now_s - row.open_for_s, now_s - row.last_heartbeat_age_s)
            for row in rows
        }
        self._reports[peer] = _PeerReport(now_s, sessions)

    def is_in_contact(self, peer: str, now_s: float) -> bool:
        """Whether another control-plane node responds, and reported contact with a majority."""
        if peer not in self._peers_in_contact:
            return False
        return now_s - self._reports[peer].received_at_s < PEER_CONTACT_TIMEOUT_S

    def members(self, now_s: float) -> dict[str, Session]:
        """The live members by name, each in its newest incarnation."""
        members: dict[str, Session] = {}
        _add_live(members, self.own, now_s, 0.0)
        for report in self._reports.values():
            is_unresponsive = now_s - report.received_at_s > REPORT_TIMEOUT_S
            _add_live(members, report.sessions, now_s, FAILOVER_GRACE_S if is_unresponsive else 0.0)
        return members


def _add_live(
    members: dict[str, Session], sessions: dict[str, Session], now_s: float, grace_s: float
) -> None:
    """Add sessions whose heartbeats have not timed out; of several of one member, the most recent stays."""
    for session in sessions.values():
        if now_s - session.last_heartbeat_at_s > SESSION_TIMEOUT_S + grace_s:
            continue
        other = members.get(session.name)
        # A member that tried several control-plane nodes stays with one: that one has the latest heartbeat.
        if other is None or session.is_more_recent_than(other):
            members[session.name] = session
