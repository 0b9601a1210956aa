"""Sessions of edge and storage nodes, and the live members according to all control-plane nodes together."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from amberlug.cluster.control.messages import SessionDescription, SessionDetails, SessionRow
from amberlug.cluster.values import value

EDGE_CLASS, STORAGE_CLASS = "edge", "storage"  # machine classes that open sessions
HEARTBEAT_INTERVAL_S = 0.25  # between a member's heartbeats
SESSION_TIMEOUT_S = 1.2  # without a heartbeat until a session expires: four intervals and a slow link
# Additional time for members of an unresponsive control-plane node, in which they switch to another one.
FAILOVER_GRACE_S = 0.9
REPORT_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.1  # age of the last report at which a peer is unresponsive
PEER_CONTACT_TIMEOUT_S = 2 * HEARTBEAT_INTERVAL_S + 0.2  # how long a peer's report of its contact is valid


@dataclass(slots=True)
class Session:
    """A member as one control-plane node sees it; times are from this machine's monotonic clock.

    :ivar node: the member's latest description of itself.
    """

    node: SessionDescription
    opened_at_s: float
    last_heartbeat_at_s: float

    @property
    def name(self) -> str:
        """The member's name, which is the same for all its incarnations."""
        return self.node.name

    @property
    def id(self) -> str:
        """Name and incarnation, to which shards are assigned."""
        return f"{self.node.name}/{self.node.incarnation}"

    @property
    def address(self) -> str:
        """The address at which other nodes reach it, `host:port`."""
        return self.node.address

    @property
    def details(self) -> SessionDetails:
        """Attributes specific to its class of node: see `control.session_attributes`."""
        return self.node.details

    @property
    def is_up(self) -> bool:
        """Whether it accepts work, rather than shutting down."""
        return self.node.state == "up"

    def is_more_recent_than(self, other: Session) -> bool:
        """Whether its last heartbeat is later, or its opening if the heartbeats are equally late."""
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
        """Return the session as reported to other control-plane nodes."""
        return SessionRow(
            self.node, round(now_s - self.opened_at_s, 3), round(now_s - self.last_heartbeat_at_s, 3)
        )


@value
class _PeerReport:
    received_at_s: float
    sessions: dict[str, Session]


class Sessions:
    """The sessions at this node, and the last reported ones of other control-plane nodes."""

    def __init__(self) -> None:
        self.own: dict[str, Session] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._peers_in_contact: set[str] = set()  # those that last reported contact with a majority

    def open(self, node: SessionDescription, now_s: float) -> Session:
        """Open a session for a member, replacing any existing one."""
        session = Session(node, now_s, now_s)
        self.own[session.name] = session
        return session

    def renew(self, node: SessionDescription, now_s: float) -> bool:
        """Renew the session of a member that sent a heartbeat.

        :returns: False if there is no such session here, so that the member has to open one.
        """
        session = self.own.get(node.name)
        if session is None or session.node.incarnation != node.incarnation:
            return False
        session.node = replace(session.node, state=node.state, details=node.details)
        session.last_heartbeat_at_s = now_s
        return True

    def close_connection(self, address: str) -> list[Session]:
        """End the sessions of a process whose connection was closed; it may open new ones."""
        return self._end([session for session in self.own.values() if session.address == address])

    def expire(self, now_s: float) -> list[Session]:
        """End the sessions whose heartbeats have timed out."""
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
        """Return the sessions at this node as reported to other control-plane nodes."""
        return [session.to_row(now_s) for session in self.own.values()]

    def receive_report(
        self, peer: str, rows: Sequence[SessionRow], now_s: float, has_contact: bool = True
    ) -> None:
        """Record another control-plane node's report of its sessions and its contact."""
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
        """Whether another control-plane node recently reported, and was in contact with a majority."""
        if peer not in self._peers_in_contact:
            return False
        return now_s - self._reports[peer].received_at_s < PEER_CONTACT_TIMEOUT_S

    def members(self, now_s: float) -> dict[str, Session]:
        """Return the live members by name, each with its most recent session."""
        members: dict[str, Session] = {}
        _add_live(members, self.own, now_s, 0.0)
        for report in self._reports.values():
            is_unresponsive = now_s - report.received_at_s > REPORT_TIMEOUT_S
            _add_live(members, report.sessions, now_s, FAILOVER_GRACE_S if is_unresponsive else 0.0)
        return members


def _add_live(
    members: dict[str, Session], sessions: dict[str, Session], now_s: float, grace_s: float
) -> None:
    """Add sessions whose heartbeats have not timed out, keeping the most recent one of each member."""
    for session in sessions.values():
        if now_s - session.last_heartbeat_at_s > SESSION_TIMEOUT_S + grace_s:
            continue
        other = members.get(session.name)
        # A member that tried several control-plane nodes keeps one of them, which has the latest heartbeat.
        if other is None or session.is_more_recent_than(other):
            members[session.name] = session
