"""What the services of one control-plane node share."""

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
    """The state and the surroundings that services of one node are made with.

    :param address: where this node serves other nodes, `host:port`.
    :param settings: the settings as they are now; operators change them while the node runs.
    :param peers: addresses of the other control-plane nodes.
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
