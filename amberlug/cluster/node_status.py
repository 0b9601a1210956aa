"""What edges and stores tell the operators of themselves, asked by a control relay. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from amberlug.cluster.interfaces import Json, Respond, on
from amberlug.cluster.rpc.messages import Body, Request

if TYPE_CHECKING:
    from amberlug.cluster.edge.node import EdgeNode
    from amberlug.cluster.storage.node import StorageNode

DEAD_MOST = 200  # messages on one page


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
            "shards": len(edge.shards.owned),
            "in hand": len(messages),
            "bytes": edge.size,
            "out": sum(len(it.calls) for it in edge.services.values()),
            "copies short": sum(not edge.replicator.enough(it.holders & up) for it in messages),
            "counts": edge.counts,
        }
        respond(told, b"")


class StorageStatus:
    """A store, as its operators see it."""

    def __init__(self, store: StorageNode) -> None:
        self._store = store

    @on("status")
    def on_status(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """How it stands."""
        store = self._store
        still = [it for it in store.kept.values() if not it.end]
        told = {
            "disk": store.disk,
            "full": store.full,
            "open": len(still),
            "bytes": sum(it.size for it in still),
            "dead": sum(it.end == "dead" for it in store.kept.values()),
            "ended": len(store.kept) - len(still),
            "counts": store.counts,
        }
        respond(told, b"")

    @on("dead")
    def on_dead(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Messages that ended without success, by name: those behind `after`, or the one called `id`."""
        kept = self._store.kept
        if "id" in body:
            names = [body["id"]] if body["id"] in kept else []
        else:
            names = [name for name in kept if name > body["after"]]
        names = sorted(name for name in names if kept[name].end == "dead")
        most = min(int(body.get("most", DEAD_MOST)), DEAD_MOST)
        rows = [
            [name, kept[name].meta, kept[name].size, round(kept[name].keep_until, 3)] for name in names[:most]
        ]
        respond({"rows": rows, "more": len(names) > most}, b"")
