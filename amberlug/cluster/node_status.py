"""What edges and stores tell the operators of themselves, asked by a control relay. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from amberlug.cluster.interfaces import Json, Respond, on
from amberlug.cluster.rpc.messages import Body, Request

if TYPE_CHECKING:
    from amberlug.cluster.edge.node import EdgeNode


@dataclass(frozen=True, slots=True)
class NodeStatusReport(Body):
    """A node's report to its operators; a control-plane node passes on fields that it does not know."""

    fields: Json

    def to_wire(self) -> Json:
        """The report as it came."""
        return self.fields

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusReport:
        """Take the report as it is."""
        return cls(body)


@dataclass(frozen=True, slots=True)
class NodeStatusRequest(Request[NodeStatusReport]):
    """A control-plane node asks an edge or a storage node for its status."""

    wire_tag: ClassVar[str] = "status"
    reply_type: ClassVar[type[NodeStatusReport]] = NodeStatusReport
    storage_disk_ids: tuple[str, ...]  # disks in service whose nodes have a session: their replicas count

    def to_wire(self) -> Json:
        """The list of disks."""
        return {"up": list(self.storage_disk_ids)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> NodeStatusRequest:
        """Read the request; only edges need the disks."""
        return cls(tuple(body.get("up", ())))


class EdgeStatus:
    """An edge, as its operators see it."""

    def __init__(self, edge: EdgeNode) -> None:
        self._edge = edge

    @on("status")
    def on_status(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """How it stands; `up` names the stores that count as holding what was given to them."""
        edge, up = self._edge, set(body["up"])
        messages = edge.delivery_queue.messages.values()
        told = {
            "ready": edge.ready,
            "edition": edge.routes.edition,
            "shards": len(edge.shards.mine),
            "in hand": len(messages),
            "bytes": edge.size,
            "out": sum(len(it.calls) for it in edge.services.values()),
            "copies short": sum(not edge.replicator.enough(it.holders & up) for it in messages),
            "counts": edge.counts,
        }
        respond(told, b"")
