"""What the parts of one edge node have in common."""

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
    """Environment, settings and routing table of an edge node.

    Settings and routing table are immutable values, which are replaced while the node is in operation.
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
        """Whether a configuration has arrived since the process began."""
        return self.routes.index > 0

    def count(self, event: str) -> None:
        """Count an event; the names of events are published on the counters page and stay as they are."""
        self.counters[event] = self.counters.get(event, 0) + 1
