"""The state that control-plane nodes publish to all nodes by gossip: its keys, and a type for each value.

Gossip passes the values on unread. Publisher and readers share the codecs of this module, so that the form of
a value stands in one place. Names of keys and fields are historical: they are a protocol between versions.
Two values have their codec elsewhere: that of `CONFIG_KEY` is the operators' document itself, which
`http.routing.build` reads, and that of `CONTROL_NODES_KEY` is `consensus.membership.Members`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from typing import Final, NamedTuple

from amberlug.cluster.control.state_entries import OwnerEntry, StoreEntry, StoreState, roster_to_wire
from amberlug.cluster.gossip.announcements import VersionedValue
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

CONFIG_KEY = "config"
SHARD_TABLE_KEY = "shards"
ROSTER_KEY = "roster"
CONTROL_NODES_KEY = "cores"
ENDPOINT_KEY_PREFIX = "ep/"  # the endpoint's id follows

NO_OWNER = -1  # in the place of an owner's index

_KNOWN_STORE_STATES = frozenset(state.value for state in StoreState)


def published_index(items: Mapping[str, VersionedValue], key: str) -> int:
    """The log index at which the newest known value of a key was agreed; 0 where none is known.

    :param items: what gossip knows, by key.
    """
    return items[key].version[0] if key in items else 0


@value
class StorageRoster:
    """The disks that replicas are written to.

    :param index: the log index at which it was agreed.
    :param stores: by disk: a machine that lost its disk is another storage node.
    """

    index: int = 0
    stores: Mapping[str, StoreEntry] = field(default_factory=dict)

    def to_wire(self) -> Json:
        """The value that is published; the index is its version in gossip."""
        return roster_to_wire(self.stores)

    @classmethod
    def from_wire(cls, index: int, body: Json) -> StorageRoster:
        """Read the published value; disks of early versions lack the index of a table.

        :raises KeyError: where a disk lacks another field.
        """
        return cls(index, {disk: _store_from_wire(row) for disk, row in body.items()})


def _store_from_wire(row: Json) -> StoreEntry:
    """Read a disk; in a state that only later versions know it takes no new replicas, and none counts."""
    if row["state"] not in _KNOWN_STORE_STATES:
        row = {**row, "state": StoreState.RETIRING.value}
    return StoreEntry.from_wire(row)


class TableOwner(NamedTuple):
    """An edge node that owns shards, or did.

    :param node_id: its name and incarnation.
    """

    node_id: str
    entry: OwnerEntry

    @property
    def address(self) -> str:
        """Where peers reach it, `host:port`."""
        return self.entry.address

    @classmethod
    def from_wire(cls, node_id: str, row: Json) -> TableOwner:
        """Read an owner; readers need only its address.

        :raises KeyError: without an address.
        """
        entry = OwnerEntry(row.get("name", ""), str(row["addr"]), row.get("zone", ""), row.get("region", ""))
        return cls(str(node_id), entry)


class ShardRow(NamedTuple):
    """One shard's ownership; owners are indices in the table's list of them, or `NO_OWNER`."""

    owner: int
    epoch: int  # grows with each change of the owner: its fencing token at storage nodes
    previous_owner: int


@value
class ShardTable:
    """Who owns which shard, and who did before. A shard's number is its place in `rows`.

    :param index: the log index at which it was agreed; 0 where none is known.
    :param roster_index: the log index of the roster of storage nodes that it was agreed on.
    """

    index: int = 0
    owners: tuple[TableOwner, ...] = ()
    rows: tuple[ShardRow, ...] = ()
    roster_index: int = 0

    def to_wire(self) -> Json:
        """The value that is published; the index is its version in gossip."""
        return {
            "owners": [[owner.node_id, owner.entry.to_wire()] for owner in self.owners],
            "shards": [list(row) for row in self.rows],
            "roster": self.roster_index,
        }

    @classmethod
    def from_wire(cls, index: int, body: Json) -> ShardTable:
        """Read the published value; tables of early versions lack the index of a roster.

        :raises KeyError: without owners or shards.
        """
        owners = tuple(TableOwner.from_wire(node_id, row) for node_id, row in body["owners"])
        return cls(index, owners, tuple(ShardRow(*row) for row in body["shards"]), body.get("roster", 0))

    def __len__(self) -> int:
        """The number of shards; an edge node that knows no table yet has none."""
        return len(self.rows)

    def owner_of(self, shard: int) -> TableOwner | None:
        """The owner of a shard; None for one without an owner and for one that does not exist."""
        return self._owner_at(self.rows[shard].owner) if 0 <= shard < len(self.rows) else None

    def previous_owner_of(self, shard: int) -> TableOwner | None:
        """Who owned an existing shard before, where that one lives."""
        return self._owner_at(self.rows[shard].previous_owner)

    def _owner_at(self, index: int) -> TableOwner | None:
        return self.owners[index] if index >= 0 else None

    def epochs_of(self, node_id: str) -> dict[int, int]:
        """By shard: the epoch of each one that a node owns."""
        return {
            shard: row.epoch
            for shard, row in enumerate(self.rows)
            if row.owner >= 0 and self.owners[row.owner].node_id == node_id
        }

    def count_owners(self) -> int:
        """How many edge nodes own anything, one at least."""
        return max(1, len({row.owner for row in self.rows}))


class EndpointCondition:
    """Whether an endpoint gets calls: only in `READY`. Plain strings: later versions may have others."""

    READY: Final = "ready"
    DRAINING: Final = "draining"
    GONE: Final = "gone"  # for good: its incarnation does not come back
    LOST: Final = "lost"  # it has timed out, and may come back


@value
class PublishedEndpoint:
    """One incarnation of an endpoint.

    :param version: the endpoint's own, as it states it.
    :param capacity: how many calls it takes at a time.
    :param warm_up_ms: for which it is slow after its start, from now on.
    :param condition: one of `EndpointCondition`, or of a later version's.
    """

    service: str
    address: str
    zone: str
    capacity: int
    version: str | int | float
    warm_up_ms: float
    condition: str

    @property
    def warm_up_s(self) -> float:
        """`warm_up_ms` in seconds."""
        return self.warm_up_ms / 1000

    def to_wire(self) -> Json:
        """The value that is published."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "slots": self.capacity,
            "edition": self.version,
            "warm_ms": self.warm_up_ms,
            "cond": self.condition,
        }

    @classmethod
    def from_wire(cls, body: Json) -> PublishedEndpoint:
        """Read the published value; no reader needs the endpoint's version.

        :raises KeyError: where another field is missing.
        """
        return cls(
            body["service"],
            body["addr"],
            body["zone"],
            body["slots"],
            body.get("edition", ""),
            body["warm_ms"],
            body["cond"],
        )


def condition_of(body: Json) -> str:
    """The condition of a published endpoint, for searches over all of them."""
    return str(body["cond"])


def with_condition(body: Json, condition: str) -> Json:
    """A published endpoint in another condition; fields of other versions of this program stay in it."""
    return {**body, "cond": condition}
