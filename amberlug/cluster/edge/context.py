"""The context shared by the components of one edge node."""

from __future__ import annotations

from dataclasses import dataclass, field

from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.routing import RoutingTable
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.session_client import SessionClient
from amberlug.cluster.settings import Settings


@dataclass(slots=True)
class EdgeContext:
    """The runtime, settings and routing table of an edge node.

    Settings and routing table are immutable values that are replaced while the node is running.
    """

    runtime: Runtime
    settings: Settings
    gossip: GossipStore
    session: SessionClient
    replicator: Replicator
    routes: RoutingTable = field(default_factory=RoutingTable)
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def has_routes(self) -> bool:
        """Whether a configuration was received since the process started."""
        return self.routes.index > 0

    def count(self, event: str) -> None:
        """Count an event; event names are published on the counters page and must not change."""
        self.counters[event] = self.counters.get(event, 0) + 1
