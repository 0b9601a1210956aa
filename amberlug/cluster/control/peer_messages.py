"""Messages between control-plane nodes: membership, confirmed reads, forwarded commands and status.

Tags and JSON fields are a protocol between versions, so they keep names that the code has given up: the
`core` is the set of control-plane nodes, and an `order` is a command.
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
    """A voter is about to stop, and the leader is to put another one in its place."""

    wire_tag: ClassVar[str] = "core.leaving"
    member_id: str

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"id": self.member_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AnnounceLeaving:
        """Read a message."""
        return cls(body["id"])


@value
class ConfirmedIndex(Body):
    """The commit index that a majority has confirmed; None where the receiver does not lead one."""

    index: int | None

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"index": self.index}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ConfirmedIndex:
        """Read a reply."""
        return cls(body.get("index"))


@value
class ConfirmIndex(Request[ConfirmedIndex]):
    """Have the leader confirm its commit index with a majority (ReadIndex)."""

    wire_tag: ClassVar[str] = "core.confirm"
    reply_type: ClassVar[type[ConfirmedIndex]] = ConfirmedIndex

    def to_wire(self) -> Json:
        """An empty JSON object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ConfirmIndex:
        """Read a request, which has no fields."""
        return cls()


@value
class MemberDescription:
    """A control-plane node as it describes itself to the leader.

    :param address: where it serves other nodes, `host:port`.
    :param control_address: where it serves the control API, `host:port`; empty where it serves none.
    """

    address: str
    name: str
    zone: str
    region: str
    control_address: str

    def as_learner(self) -> Member:
        """The node as a member; who joins does not vote yet."""
        return Member.from_wire(self.to_wire())

    def to_wire(self) -> Json:
        """The JSON object, which has the form of a member in the membership."""
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
        """Read a description.

        :raises KeyError: where the address is missing.
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
    """A control-plane node asks to become a member, or to have its description brought up to date.

    :param is_forwarded: whether a follower has passed it on; it is passed on once only.
    """

    wire_tag: ClassVar[str] = "core.join"
    member_id: str
    member: MemberDescription
    is_forwarded: bool = False

    def to_wire(self) -> Json:
        """The JSON object."""
        body: Json = {"id": self.member_id, "member": self.member.to_wire()}
        return {**body, "passed": True} if self.is_forwarded else body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> JoinCluster:
        """Read a message."""
        return cls(body["id"], MemberDescription.from_wire(body["member"]), bool(body.get("passed")))


@value
class CommandReply(Body):
    """What came of a forwarded command; None where its receiver does not lead, or could not commit it."""

    outcome: CommandOutcome | None

    def to_wire(self) -> Json:
        """The JSON object, which is empty where there is no outcome."""
        return {} if self.outcome is None else {"said": self.outcome.to_wire()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CommandReply:
        """Read a reply."""
        outcome = body.get("said")
        return cls(None if outcome is None else outcome_from_wire(outcome))


@value
class ForwardCommand(Request[CommandReply]):
    """Have the leader carry out a command."""

    wire_tag: ClassVar[str] = "core.order"
    reply_type: ClassVar[type[CommandReply]] = CommandReply
    command: SubmittedCommand

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"word": self.command.name, "body": self.command.to_wire()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ForwardCommand:
        """Read a request.

        :raises KeyError: where the command or one of its arguments is missing.
        """
        return cls(submitted_from_wire(body["word"], body["body"]))


@value
class ControlStatusReport(Body):
    """A control-plane node as its operators see it.

    :param role: the node's role in the Raft group.
    :param leader_id: the leader that it knows; empty for none.
    """

    role: str
    term: int
    leader_id: str
    commit_index: int
    config_version: int
    counters: Mapping[str, int]

    def to_wire(self) -> Json:
        """The fields in the order in which operators read them; their names are historical."""
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
        """Read the report.

        :raises KeyError: where a field is missing.
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
    """Read another control-plane node's status, which it reports as a `ControlStatusReport`."""

    wire_tag: ClassVar[str] = "core.status"
    reply_type: ClassVar[type[NodeStatusReport]] = NodeStatusReport

    def to_wire(self) -> Json:
        """An empty JSON object."""
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReadControlStatus:
        """Read a request, which has no fields."""
        return cls()
