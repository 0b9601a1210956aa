"""The status of an edge node that operators query through a control-plane node. No I/O."""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

from amberlug.cluster.interfaces import Json
from amberlug.cluster.node_status import NodeStatusRequest
from amberlug.cluster.rpc.messages import Body, Responder, handles
from amberlug.cluster.values import value


@value
class EdgeStatusReport(Body):
    """The status of an edge node; the reply to a `NodeStatusRequest`."""

    is_ready: bool
    config_version: int
    owned_shards: int
    queued_messages: int
    queued_bytes: int
    active_calls: int  # calls to endpoints in flight
    under_replicated_messages: int
    counters: dict[str, int]

    def to_wire(self) -> Json:
        """Encode the fields in display order; the wire names are historical."""
        return {
            "ready": self.is_ready,
            "edition": self.config_version,
            "shards": self.owned_shards,
            "in hand": self.queued_messages,
            "bytes": self.queued_bytes,
            "out": self.active_calls,
            "copies short": self.under_replicated_messages,
            "counts": self.counters,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> EdgeStatusReport:
        """Decode the report.

        :raises KeyError: if a field is missing.
        """
        return cls(
            body["ready"],
            body["edition"],
            body["shards"],
            body["in hand"],
            body["bytes"],
            body["out"],
            body["copies short"],
            body["counts"],
        )


class EdgeStatusSource(Protocol):
    """The part of an edge node that reports its status."""

    def status_report(self, live_disk_ids: Set[str]) -> EdgeStatusReport:
        """Build the status report.

        :param live_disk_ids: the disks whose replicas count.
        """


class EdgeStatus:
    """Handles status requests for an edge node."""

    def __init__(self, edge: EdgeStatusSource) -> None:
        self._edge = edge

    @handles(NodeStatusRequest)
    def on_status(self, request: NodeStatusRequest, origin: str, respond: Responder) -> None:
        """Reply with the node's status; only replicas on the disks named in the request count."""
        respond(self._edge.status_report(frozenset(request.storage_disk_ids)))
