"""The status request, by which operators look at edge and storage nodes through a control-plane node. No I/O.

Each role has a report of its own: `EdgeStatusReport` in `edge/status.py`, `StorageStatusReport` in
`storage/operator_messages.py` and `ControlStatusReport` in `control/peer_messages.py`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import ClassVar

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Request
from amberlug.cluster.values import value


@value
class NodeStatusReport(Body):
    """A node's report to its operators, as a control-plane node receives it.

    All fields are passed on, also those of other versions. The properties are what the deployment's status
    needs of them; each raises a KeyError where the node's role has no such field.
    """

    fields: Json

    @property
    def counters(self) -> Mapping[str, int]:
        """The node's metrics; of every role."""
        counters: Mapping[str, int] = self.fields["counts"]
        return counters

    @property
    def config_version(self) -> int:
        """The version of the configuration in force there; of edge nodes."""
        version: int = self.fields["edition"]
        return version

    @property
    def under_replicated_messages(self) -> int:
        """How many messages have fewer replicas than they need; of edge nodes."""
        count: int = self.fields["copies short"]
        return count

    def to_wire(self) -> Json:
        """The report as it came."""
        return self.fields

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusReport:
        """Take the report as it is."""
        return cls(body)


@value
class NodeStatusRequest(Request[NodeStatusReport]):
    """A control-plane node asks an edge or a storage node for its status."""

    wire_tag: ClassVar[str] = "status"
    reply_type: ClassVar[type[NodeStatusReport]] = NodeStatusReport
    storage_disk_ids: Sequence[str]  # disks in service whose nodes have a session: their replicas count

    def to_wire(self) -> Json:
        """The list of disks."""
        return {"up": list(self.storage_disk_ids)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusRequest:
        """Read the request; only edges need the disks."""
        return cls(tuple(body.get("up", ())))
