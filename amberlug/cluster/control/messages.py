"""Messages of sessions: between edge or storage nodes and a control-plane node, and reports of sessions.

Tags and JSON fields are a protocol between versions, so they keep names that the code has given up: `beat` is
a heartbeat, and `hello` opens a session.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar, TypeAlias

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value

# Fields without which no session is opened.
REQUIRED_FIELDS = ("name", "incarnation", "address", "machine_class", "zone", "region", "state")
# Rows of gossip as `GossipStore` pages them; their form is the gossip package's.
GossipRows = list[Any]
SessionDetails: TypeAlias = dict[str, Any]
"""What only one class of node reports of itself, as a JSON object, which is passed on as it came:
`control.session_attributes` reads and writes those of edge and storage nodes."""


@value
class SessionDescription:
    """A node as it describes itself to the control-plane node that keeps its session.

    :param incarnation: names one run of the node's process; it changes with each start.
    :param state: `up`, or `leaving` once a planned stop has begun.
    :param details: what only this class of node reports, for example a storage node's disk.
    """

    name: str
    incarnation: str
    address: str
    machine_class: str
    zone: str
    region: str
    state: str
    details: SessionDetails

    def to_wire(self) -> Json:
        """The JSON object of `hello` and `beat`."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "address": self.address,
            "machine_class": self.machine_class,
            "zone": self.zone,
            "region": self.region,
            "state": self.state,
            "extra": self.details,
        }

    @classmethod
    def from_wire(cls, body: Json) -> SessionDescription:
        """Read a description; only name, incarnation and state are needed of a heartbeat.

        :raises KeyError: where one of those is missing.
        """
        return cls(
            name=str(body["name"]),
            incarnation=str(body["incarnation"]),
            address=str(body.get("address", "")),
            machine_class=str(body.get("machine_class", "")),
            zone=str(body.get("zone", "")),
            region=str(body.get("region", "")),
            state=str(body["state"]),
            details=body.get("extra") or {},
        )


@value
class SessionReply(Body):
    """Whether a control-plane node keeps the session, and how current its own state is.

    :param staleness_s: by how many seconds at most its state may be older than a majority's.
    :param rejection: why a session was not opened; empty in every other reply.
    """

    is_accepted: bool
    staleness_s: float = 0.0
    rejection: str = ""

    def to_wire(self) -> Json:
        """The JSON object; a rejection states no age."""
        if self.rejection:
            return {"ok": self.is_accepted, "cause": self.rejection}
        return {"ok": self.is_accepted, "age": self.staleness_s}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> SessionReply:
        """Read a reply; a missing age counts as none."""
        return cls(bool(body.get("ok")), float(body.get("age", 0.0)), str(body.get("cause", "")))


@value
class OpenSession(Request[SessionReply]):
    """Open a session, or renew it after the connection or the control-plane node was lost."""

    wire_tag: ClassVar[str] = "hello"
    reply_type: ClassVar[type[SessionReply]] = SessionReply
    node: SessionDescription

    def to_wire(self) -> Json:
        """The JSON object."""
        return self.node.to_wire()

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OpenSession:
        """Read a request.

        :raises KeyError: where a field other than the details is missing.
        """
        missing = [field for field in REQUIRED_FIELDS if field not in body]
        if missing:
            raise KeyError(missing[0])
        return cls(SessionDescription.from_wire(body))


@value
class Heartbeat(Request[SessionReply]):
    """Renew a session; sent without waiting for the reply to announce a planned stop."""

    wire_tag: ClassVar[str] = "beat"
    reply_type: ClassVar[type[SessionReply]] = SessionReply
    node: SessionDescription

    def to_wire(self) -> Json:
        """The JSON object, the same as that of `hello`."""
        return self.node.to_wire()

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Heartbeat:
        """Read a heartbeat.

        :raises KeyError: where name, incarnation or state is missing.
        """
        return cls(SessionDescription.from_wire(body))


@value
class CurrentStateReply(Body):
    """One page of all gossip entries, confirmed to be as new as a majority's.

    :param is_confirmed: False where no majority answered; the page is empty then.
    :param next_key: where the next page begins; empty after the last one.
    """

    is_confirmed: bool
    items: GossipRows
    next_key: str = ""

    def to_wire(self) -> Json:
        """The JSON object."""
        if not self.is_confirmed:
            return {"ok": False}
        return {"ok": True, "items": self.items, "next": self.next_key}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CurrentStateReply:
        """Read a reply.

        :raises KeyError: where a confirmed reply has no items.
        """
        if not body.get("ok"):
            return cls(False, [])
        return cls(True, body["items"], body.get("next") or "")


@value
class ReadCurrentState(Request[CurrentStateReply]):
    """Read one page of all gossip entries once a majority has confirmed them.

    :param after_key: where the page begins; empty for the first one.
    """

    wire_tag: ClassVar[str] = "newest"
    reply_type: ClassVar[type[CurrentStateReply]] = CurrentStateReply
    after_key: str = ""

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"after": self.after_key}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReadCurrentState:
        """Read a request; the first page is the default."""
        return cls(body.get("after", ""))


@value
class SessionRow:
    """A session as one control-plane node reports it to the others.

    Ages stand in place of times, since clocks differ between machines.

    :param open_for_s: seconds since the session was opened.
    :param last_heartbeat_age_s: seconds since its last heartbeat.
    """

    node: SessionDescription
    open_for_s: float
    last_heartbeat_age_s: float

    def to_wire(self) -> list[object]:
        """The JSON array."""
        node = self.node
        return [
            node.name,
            node.incarnation,
            node.address,
            node.machine_class,
            node.zone,
            node.region,
            node.state,
            self.open_for_s,
            self.last_heartbeat_age_s,
            node.details,
        ]

    @classmethod
    def from_wire(cls, row: list[Any]) -> SessionRow:
        """Read a row.

        :raises ValueError: where it has another number of columns.
        """
        name, incarnation, address, machine_class, zone, region, state, open_for_s, last_s, details = row
        assert isinstance(open_for_s, int | float), "ages are numbers"
        assert isinstance(last_s, int | float), "ages are numbers"
        assert isinstance(details, dict), "details are an object"
        node = SessionDescription(
            str(name),
            str(incarnation),
            str(address),
            str(machine_class),
            str(zone),
            str(region),
            str(state),
            details,
        )
        return cls(node, open_for_s, last_s)


@value
class SessionReport(Notification):
    """A control-plane node's sessions, and the endpoints whose heartbeats it has received.

    :param has_contact: whether the sender is in contact with a majority.
    """

    wire_tag: ClassVar[str] = "sessions"
    rows: Sequence[SessionRow]
    endpoints: Sequence[str]
    has_contact: bool

    def to_wire(self) -> Json:
        """The JSON object."""
        return {
            "rows": [row.to_wire() for row in self.rows],
            "seen": list(self.endpoints),
            "contact": self.has_contact,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> SessionReport:
        """Read a report; a sender that does not state its contact is taken to have it."""
        rows = tuple(SessionRow.from_wire(row) for row in body["rows"])
        return cls(rows, tuple(body["seen"]), bool(body.get("contact", True)))
