"""State and interfaces that the services of one control-plane node share."""

from __future__ import annotations

from collections.abc import Callable

from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.endpoint_registry import EndpointRegistry
from amberlug.cluster.control.quorum_contact import QuorumContact
from amberlug.cluster.control.sessions import Sessions
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.metrics import Counters
from amberlug.cluster.settings import Settings
from amberlug.cluster.values import value


@value
class ControlContext:
    """Dependencies of the services of one node.

    :param address: the address at which other nodes reach this one, `host:port`.
    :param settings: returns the current settings; operators change them while the node runs.
    :param peers: returns the addresses of the other control-plane nodes.
    """

    runtime: Runtime
    raft: RaftNode
    quorum: QuorumContact
    cluster_state: ClusterState
    sessions: Sessions
    registry: EndpointRegistry
    gossip: GossipStore
    counters: Counters
    address: str
    settings: Callable[[], Settings]
    peers: Callable[[], list[str]]
