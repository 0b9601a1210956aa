"""Session messages between edge or storage nodes and control-plane nodes, and session reports.

Tags and JSON fields are part of the protocol between versions, so they keep names that the code no longer
uses: `beat` is a heartbeat, and `hello` opens a session.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar, TypeAlias

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value

# Fields required to open a session.
REQUIRED_FIELDS = ("name", "incarnation", "address", "machine_class", "zone", "region", "state")
# Rows of gossip as paged by `GossipStore`; the gossip package defines their format.
GossipRows = list[Any]
SessionDetails: TypeAlias = dict[str, Any]
"""Attributes that only one class of node reports, as a JSON object that is passed on unchanged:
`control.session_attributes` encodes and decodes those of edge and storage nodes."""


@value
class SessionDescription:
    """The description of itself that a node sends to the control-plane node that holds its session.

    :param incarnation: identifies one run of the node's process; it changes with each start.
    :param state: `up`, or `leaving` once a planned shutdown has begun.
    :param details: attributes of this class of node only, for example a storage node's disk.
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
        """Return the JSON object of `hello` and `beat`."""
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
        """Decode a description; a heartbeat needs only name, incarnation and state.

        :raises KeyError: if one of those is missing.
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
    """Whether a control-plane node accepts a session, and how current its own state is.

    :param staleness_s: upper bound in seconds of how far its state lags behind a majority's.
    :param rejection: why a session was not opened; empty in all other replies.
    """

    is_accepted: bool
    staleness_s: float = 0.0
    rejection: str = ""

    def to_wire(self) -> Json:
        """Return the JSON object; a rejection contains no age."""
        if self.rejection:
            return {"ok": self.is_accepted, "cause": self.rejection}
        return {"ok": self.is_accepted, "age": self.staleness_s}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> SessionReply:
        """Decode a reply; a missing age defaults to 0."""
        return cls(bool(body.get("ok")), float(body.get("age", 0.0)), str(body.get("cause", "")))


@value
class OpenSession(Request[SessionReply]):
    """Open a session, or renew it after the connection or the control-plane node was lost."""

    wire_tag: ClassVar[str] = "hello"
    reply_type: ClassVar[type[SessionReply]] = SessionReply
    node: SessionDescription

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return self.node.to_wire()

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OpenSession:
        """Decode a request.

        :raises KeyError: if a field other than the details is missing.
        """
        missing = [field for field in REQUIRED_FIELDS if field not in body]
        if missing:
            raise KeyError(missing[0])
        return cls(SessionDescription.from_wire(body))


@value
class Heartbeat(Request[SessionReply]):
    """Renew a session; to announce a planned shutdown it is sent without waiting for the reply."""

    wire_tag: ClassVar[str] = "beat"
    reply_type: ClassVar[type[SessionReply]] = SessionReply
    node: SessionDescription

    def to_wire(self) -> Json:
        """Return the JSON object, the same as that of `hello`."""
        return self.node.to_wire()

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Heartbeat:
        """Decode a heartbeat.

        :raises KeyError: if name, incarnation or state is missing.
        """
        return cls(SessionDescription.from_wire(body))


@value
class CurrentStateReply(Body):
    """One page of all gossip entries, confirmed to be as recent as a majority's.

    :param is_confirmed: False if no majority answered; the page is empty in that case.
    :param next_key: where the next page starts; empty on the last page.
    """

    is_confirmed: bool
    items: GossipRows
    next_key: str = ""

    def to_wire(self) -> Json:
        """Return the JSON object."""
        if not self.is_confirmed:
            return {"ok": False}
        return {"ok": True, "items": self.items, "next": self.next_key}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CurrentStateReply:
        """Decode a reply.

        :raises KeyError: if a confirmed reply has no items.
        """
        if not body.get("ok"):
            return cls(False, [])
        return cls(True, body["items"], body.get("next") or "")


@value
class ReadCurrentState(Request[CurrentStateReply]):
    """Read one page of all gossip entries once a majority has confirmed them.

    :param after_key: where the page starts; empty for the first page.
    """

    wire_tag: ClassVar[str] = "newest"
    reply_type: ClassVar[type[CurrentStateReply]] = CurrentStateReply
    after_key: str = ""

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return {"after": self.after_key}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReadCurrentState:
        """Decode a request; the default is the first page."""
        return cls(body.get("after", ""))


@value
class SessionRow:
    """A session as one control-plane node reports it to the others.

    It contains ages instead of times, since clocks differ between machines.

    :param open_for_s: seconds since the session was opened.
    :param last_heartbeat_age_s: seconds since its last heartbeat.
    """

    node: SessionDescription
    open_for_s: float
    last_heartbeat_age_s: float

    def to_wire(self) -> list[object]:
        """Return the JSON array."""
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
        """Decode a row.

        :raises ValueError: if the number of columns is wrong.
        """
        name, incarnation, address, machine_class, zone, region, state, open_for_s, last_s, details = row
        assert isinstance(open_for_s, int | float), "open_for_s must be a number"
        assert isinstance(last_s, int | float), "last_heartbeat_age_s must be a number"
        assert isinstance(details, dict), "details must be a JSON object"
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
        """Return the JSON object."""
        return {
            "rows": [row.to_wire() for row in self.rows],
            "seen": list(self.endpoints),
            "contact": self.has_contact,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> SessionReport:
        """Decode a report; a sender that does not report its contact is assumed to be in contact."""
        rows = tuple(SessionRow.from_wire(row) for row in body["rows"])
        return cls(rows, tuple(body["seen"]), bool(body.get("contact", True)))
