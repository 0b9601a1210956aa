"""Messages between control-plane nodes: membership, confirmed reads, forwarded commands and status.

Tags and JSON fields are part of the protocol between versions, so they keep names that the code no longer
uses: `core` is the set of control-plane nodes, and an `order` is a command.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import ClassVar

from amberlug.cluster.consensus.membership import Member
from amberlug.cluster.control.command_results import CommandOutcome, outcome_from_wire
from amberlug.cluster.control.submitted_commands import SubmittedCommand, submitted_from_wire
from amberlug.cluster.interfaces import Json
from amberlug.cluster.node_status import NodeStatusReport
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value


@value
class AnnounceLeaving(Notification):
    """Announce that a voter is about to stop, so that the leader replaces it."""

    wire_tag: ClassVar[str] = "core.leaving"
    member_id: str

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return {"id": self.member_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AnnounceLeaving:
        """Decode a message."""
        return cls(body["id"])


@value
class ConfirmedIndex(Body):
    """The commit index as confirmed by a majority; None if the receiver is not the leader of a majority."""

    index: int | None

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return {"index": self.index}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ConfirmedIndex:
        """Decode a reply."""
        return cls(body.get("index"))


@value
class ConfirmIndex(Request[ConfirmedIndex]):
    """Ask the leader to confirm its commit index with a majority (ReadIndex)."""

    wire_tag: ClassVar[str] = "core.confirm"
    reply_type: ClassVar[type[ConfirmedIndex]] = ConfirmedIndex

    def to_wire(self) -> Json:
        """Return an empty JSON object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ConfirmIndex:
        """Decode a request, which has no fields."""
        return cls()


@value
class MemberDescription:
    """The description of itself that a control-plane node sends to the leader.

    :param address: the address at which other nodes reach it, `host:port`.
    :param control_address: the address of its control API, `host:port`; empty if it has none.
    """

    address: str
    name: str
    zone: str
    region: str
    control_address: str

    def as_learner(self) -> Member:
        """Return the node as a member; a joining node is not a voter yet."""
        return Member.from_wire(self.to_wire())

    def to_wire(self) -> Json:
        """Return the JSON object, in the format of a member of the membership."""
        return {
            "addr": self.address,
            "voter": False,
            "name": self.name,
            "zone": self.zone,
            "region": self.region,
            "control": self.control_address,
        }

    @classmethod
    def from_wire(cls, body: Json) -> MemberDescription:
        """Decode a description.

        :raises KeyError: if the address is missing.
        """
        return cls(
            body["addr"],
            body.get("name", ""),
            body.get("zone", ""),
            body.get("region", ""),
            body.get("control", ""),
        )


@value
class JoinCluster(Notification):
    """Ask to become a member, or to have the description of a member updated.

    :param is_forwarded: whether a follower has forwarded it; it is forwarded only once.
    """

    wire_tag: ClassVar[str] = "core.join"
    member_id: str
    member: MemberDescription
    is_forwarded: bool = False

    def to_wire(self) -> Json:
        """Return the JSON object."""
        body: Json = {"id": self.member_id, "member": self.member.to_wire()}
        return {**body, "passed": True} if self.is_forwarded else body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> JoinCluster:
        """Decode a message."""
        return cls(body["id"], MemberDescription.from_wire(body["member"]), bool(body.get("passed")))


@value
class CommandReply(Body):
    """The outcome of a forwarded command; None if the receiver is not the leader, or could not commit it."""

    outcome: CommandOutcome | None

    def to_wire(self) -> Json:
        """Return the JSON object, which is empty without an outcome."""
        return {} if self.outcome is None else {"said": self.outcome.to_wire()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CommandReply:
        """Decode a reply."""
        outcome = body.get("said")
        return cls(None if outcome is None else outcome_from_wire(outcome))


@value
class ForwardCommand(Request[CommandReply]):
    """Ask the leader to execute a command."""

    wire_tag: ClassVar[str] = "core.order"
    reply_type: ClassVar[type[CommandReply]] = CommandReply
    command: SubmittedCommand

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return {"word": self.command.name, "body": self.command.to_wire()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ForwardCommand:
        """Decode a request.

        :raises KeyError: if the command or one of its arguments is missing.
        """
        return cls(submitted_from_wire(body["word"], body["body"]))


@value
class ControlStatusReport(Body):
    """The status of a control-plane node, for operators.

    :param role: the node's role in the Raft group.
    :param leader_id: the leader known to the node; empty if there is none.
    """

    role: str
    term: int
    leader_id: str
    commit_index: int
    config_version: int
    counters: Mapping[str, int]

    def to_wire(self) -> Json:
        """Return the JSON object in the order shown to operators; the names of its fields are historical."""
        return {
            "role": self.role,
            "term": self.term,
            "leader": self.leader_id,
            "commit": self.commit_index,
            "edition": self.config_version,
            "counts": self.counters,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ControlStatusReport:
        """Decode a report.

        :raises KeyError: if a field is missing.
        """
        return cls(
            body["role"],
            body["term"],
            body["leader"],
            body["commit"],
            body["edition"],
            body["counts"],
        )


@value
class ReadControlStatus(Request[NodeStatusReport]):
    """Read the status of another control-plane node, which replies with a `ControlStatusReport`."""

    wire_tag: ClassVar[str] = "core.status"
    reply_type: ClassVar[type[NodeStatusReport]] = NodeStatusReport

    def to_wire(self) -> Json:
        """Return an empty JSON object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReadControlStatus:
        """Decode a request, which has no fields."""
        return cls()
