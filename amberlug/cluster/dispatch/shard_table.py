"""The table of shards, as control-plane nodes announce it: who owns a shard, and who did before. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class EdgeAddress(NamedTuple):
    """An edge node that owns shards, or did."""

    node_id: str
    address: str


class ShardRow(NamedTuple):
    """One shard's ownership; owners are indices in the table's list of them, negative for none."""

    owner: int
    epoch: int  # grows with each change of the owner: its fencing token at storage nodes
    previous_owner: int


@value
class ShardTable:
    """Who owns which shard. A shard's number is its place in `rows`."""

    owners: tuple[EdgeAddress, ...] = ()
    rows: tuple[ShardRow, ...] = ()
    roster_index: int = 0  # log index of the roster of storage nodes that the table was agreed on

    @classmethod
    def from_wire(cls, body: Json) -> ShardTable:
        """Read the announced table.

        :raises KeyError: without owners or shards.
        """
        owners = tuple(EdgeAddress(str(node_id), str(row["addr"])) for node_id, row in body["owners"])
        return cls(owners, tuple(ShardRow(*row) for row in body["shards"]), body.get("roster", 0))

    def __len__(self) -> int:
        """The number of shards; an edge that knows no table yet has none."""
        return len(self.rows)

    def owner_of(self, shard: int) -> EdgeAddress | None:
        """The owner of a shard; None for one without an owner and for one that does not exist."""
        return self._edge(self.rows[shard].owner) if 0 <= shard < len(self.rows) else None

    def previous_owner_of(self, shard: int) -> EdgeAddress | None:
        """Who owned an existing shard before, where that one lives."""
        return self._edge(self.rows[shard].previous_owner)

    def _edge(self, index: int) -> EdgeAddress | None:
        return self.owners[index] if index >= 0 else None

    def epochs_of(self, node_id: str) -> dict[int, int]:
        """By shard: the epoch of each one that a node owns."""
        return {
            shard: row.epoch
            for shard, row in enumerate(self.rows)
            if row.owner >= 0 and self.owners[row.owner].node_id == node_id
        }

    def count_owners(self) -> int:
        """How many edges own anything, one at least."""
        return max(1, len({row.owner for row in self.rows}))
