"""Publishes changes of the replicated state to all nodes by gossip."""

from __future__ import annotations

from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.endpoint_registry import EndpointRegistry
from amberlug.cluster.control.published_state import (
    CONFIG_KEY,
    CONTROL_NODES_KEY,
    NO_OWNER,
    ROSTER_KEY,
    SHARD_TABLE_KEY,
    ShardRow,
    ShardTable,
    StorageRoster,
    TableOwner,
)
from amberlug.cluster.gossip.store import GossipStore


class StatePublisher:
    """Offers each part of the state to gossip, versioned by the log index of its last change."""

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
        """Offer what has changed; gossip ignores versions that are not newer than its own."""
        state, offer = self._cluster_state, self._gossip.offer
        if state.config is not None:
            offer(CONFIG_KEY, [state.config_index], state.config)
        if state.shards and self._is_newer(SHARD_TABLE_KEY, state.shards_index):
            offer(SHARD_TABLE_KEY, [state.shards_index], self._shard_table().to_wire())
        if state.roster and self._is_newer(ROSTER_KEY, state.roster_index):
            roster = StorageRoster(state.roster_index, state.roster)
            offer(ROSTER_KEY, [roster.index], roster.to_wire())
        if self._raft.membership.index <= self._raft.commit_index:
            offer(CONTROL_NODES_KEY, [self._raft.membership.index], self._raft.members.to_wire())
        for name, departure in state.take_changed_departures().items():
            self._registry.apply_departure(name, departure)

    def _is_newer(self, key: str, index: int) -> bool:
        """Whether gossip does not have this version yet; large values are encoded only in that case."""
        published = self._gossip.items.get(key)
        return published is None or published.version < [index]

    def _shard_table(self) -> ShardTable:
        """Return the shard table to publish, which lists each owner once and refers to owners by position."""
        state = self._cluster_state
        names = sorted(state.owners)
        positions = {name: position for position, name in enumerate(names)}
        return ShardTable(
            index=state.shards_index,
            owners=tuple(TableOwner(name, state.owners[name]) for name in names),
            rows=tuple(
                ShardRow(
                    positions.get(shard.owner, NO_OWNER),
                    shard.epoch,
                    positions.get(shard.previous_owner, NO_OWNER),
                )
                for shard in state.shards
            ),
            roster_index=state.shards_roster_index,
        )
