"""Publishes the replicated state as gossip to all nodes, whenever it changes."""

from __future__ import annotations

from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.endpoint_registry import EndpointRegistry
from amberlug.cluster.control.state_entries import roster_to_wire
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Json

# Keys of gossip; the names are historical.
CONFIG_KEY, SHARDS_KEY, ROSTER_KEY, MEMBERS_KEY = "config", "shards", "roster", "cores"
NO_OWNER = -1  # in the place of an owner's position


class StatePublisher:
    """Offers each part of the state to gossip, with the log index that it changed at as its version."""

    def __init__(
        self,
        raft: RaftNode,
        cluster_state: ClusterState,
        gossip: GossipStore,
        registry: EndpointRegistry,
    ) -> None:
        self._raft, self._cluster_state = raft, cluster_state
        self._gossip, self._registry = gossip, registry

    def publish(self) -> None:
        """Offer what has changed; gossip ignores what is no newer than what it has."""
        state, offer = self._cluster_state, self._gossip.offer
        if state.config is not None:
            offer(CONFIG_KEY, [state.config_index], state.config)
        if state.shards and self._is_newer(SHARDS_KEY, state.shards_index):
            offer(SHARDS_KEY, [state.shards_index], self._shard_table())
        if state.roster and self._is_newer(ROSTER_KEY, state.roster_index):
            offer(ROSTER_KEY, [state.roster_index], roster_to_wire(state.roster))
        if self._raft.membership.index <= self._raft.commit_index:
            offer(MEMBERS_KEY, [self._raft.membership.index], self._raft.members.to_wire())
        for name, departure in state.take_changed_departures().items():
            self._registry.apply_departure(name, departure)

    def _is_newer(self, key: str, index: int) -> bool:
        """Whether gossip has no such version yet; large values are encoded only then."""
        known = self._gossip.items.get(key)
        return known is None or known[0] < [index]

    def _shard_table(self) -> Json:
        """The shard table as nodes get it: owners once, and by their position in each shard."""
        state = self._cluster_state
        names = sorted(state.owners)
        positions = {name: position for position, name in enumerate(names)}
        return {
            "owners": [[name, state.owners[name].to_wire()] for name in names],
            "shards": [
                [
                    positions.get(shard.owner, NO_OWNER),
                    shard.epoch,
                    positions.get(shard.previous_owner, NO_OWNER),
                ]
                for shard in state.shards
            ],
            "roster": state.shards_roster_index,
        }
