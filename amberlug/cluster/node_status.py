"""The status request, with which a control-plane node queries edge and storage nodes for operators. No I/O.

Each role defines its own report: `EdgeStatusReport` in `edge/status.py`, `StorageStatusReport` in
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
    """A node's status report, as received by a control-plane node.

    All fields are passed on, including those that only other versions define. The properties are the fields
    that the deployment status uses; each raises KeyError if the node's role does not report the field.
    """

    fields: Json

    @property
    def counters(self) -> Mapping[str, int]:
        """The node's metrics; reported by every role."""
        counters: Mapping[str, int] = self.fields["counts"]
        return counters

    @property
    def config_version(self) -> int:
        """The version of the node's active configuration; reported by edge nodes."""
        version: int = self.fields["edition"]
        return version

    @property
    def under_replicated_messages(self) -> int:
        """The number of messages with fewer replicas than required; reported by edge nodes."""
        count: int = self.fields["copies short"]
        return count

    def to_wire(self) -> Json:
        """Return the report as received."""
        return self.fields

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusReport:
        """Read a report, keeping all fields."""
        return cls(body)


@value
class NodeStatusRequest(Request[NodeStatusReport]):
    """A control-plane node asks an edge or a storage node for its status."""

    wire_tag: ClassVar[str] = "status"
    reply_type: ClassVar[type[NodeStatusReport]] = NodeStatusReport
    storage_disk_ids: Sequence[str]  # disks in service whose nodes have a session; only their replicas count

    def to_wire(self) -> Json:
        """The JSON object: the list of disks."""
        return {"up": list(self.storage_disk_ids)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusRequest:
        """Read a request; only edge nodes use the disks."""
        return cls(tuple(body.get("up", ())))
