"""The state that control-plane nodes publish to all nodes by gossip: its keys, and a type for each value.

Gossip forwards the values without decoding them. Publisher and readers share the codecs of this module, so
that the format of each value is defined in one place. The names of keys and fields are historical and must
not change, since they are part of the protocol between versions. Two values have their codecs elsewhere: that
of `CONFIG_KEY` is the operators' document itself, which `http.routing.build` reads, and that of
`CONTROL_NODES_KEY` is `consensus.membership.Members`.
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

NO_OWNER = -1  # stands for the index of an owner in a row without one

_KNOWN_STORE_STATES = frozenset(state.value for state in StoreState)


def published_index(items: Mapping[str, VersionedValue], key: str) -> int:
    """Return the log index at which the newest known value of a key was committed; 0 if none is known.

    :param items: the gossip entries, by key.
    """
    return items[key].version[0] if key in items else 0


@value
class StorageRoster:
    """The disks that replicas are written to.

    :param index: the log index at which it was committed.
    :param stores: by disk id: a machine that lost its disk counts as a different storage node.
    """

    index: int = 0
    stores: Mapping[str, StoreEntry] = field(default_factory=dict)

    def to_wire(self) -> Json:
        """Return the value to publish; the index is its version in gossip."""
        return roster_to_wire(self.stores)

    @classmethod
    def from_wire(cls, index: int, body: Json) -> StorageRoster:
        """Decode the published value; disks published by early versions lack `table_index`.

        :raises KeyError: if a disk lacks any other field.
        """
        return cls(index, {disk: _store_from_wire(row) for disk, row in body.items()})


def _store_from_wire(row: Json) -> StoreEntry:
    """Decode a disk; one in a state unknown to this version counts as retiring.

    Thus it takes no new replicas, and those that it has do not count.
    """
    if row["state"] not in _KNOWN_STORE_STATES:
        row = {**row, "state": StoreState.RETIRING.value}
    return StoreEntry.from_wire(row)


class TableOwner(NamedTuple):
    """A current or previous owner of shards, which is an edge node.

    :param node_id: its name and incarnation.
    """

    node_id: str
    entry: OwnerEntry

    @property
    def address(self) -> str:
        """The address at which peers reach it, `host:port`."""
        return self.entry.address

    @classmethod
    def from_wire(cls, node_id: str, row: Json) -> TableOwner:
        """Decode an owner; readers need only its address.

        :raises KeyError: if the address is missing.
        """
        entry = OwnerEntry(row.get("name", ""), str(row["addr"]), row.get("zone", ""), row.get("region", ""))
        return cls(str(node_id), entry)


class ShardRow(NamedTuple):
    """The ownership of one shard; owners are indices into the table's list of owners, or `NO_OWNER`."""

    owner: int
    epoch: int  # increases with each change of owner: the owner's fencing token at storage nodes
    previous_owner: int


@value
class ShardTable:
    """The current and previous owner of each shard. A shard's number is its index in `rows`.

    :param index: the log index at which it was committed; 0 if no table is known.
    :param roster_index: the log index of the storage roster that was in force when it was committed.
    """

    index: int = 0
    owners: tuple[TableOwner, ...] = ()
    rows: tuple[ShardRow, ...] = ()
    roster_index: int = 0

    def to_wire(self) -> Json:
        """Return the value to publish; the index is its version in gossip."""
        return {
            "owners": [[owner.node_id, owner.entry.to_wire()] for owner in self.owners],
            "shards": [list(row) for row in self.rows],
            "roster": self.roster_index,
        }

    @classmethod
    def from_wire(cls, index: int, body: Json) -> ShardTable:
        """Decode the published value; tables published by early versions lack `roster_index`.

        :raises KeyError: if owners or shards are missing.
        """
        owners = tuple(TableOwner.from_wire(node_id, row) for node_id, row in body["owners"])
        return cls(index, owners, tuple(ShardRow(*row) for row in body["shards"]), body.get("roster", 0))

    def __len__(self) -> int:
        """Return the number of shards, which is 0 on an edge node that knows no table yet."""
        return len(self.rows)

    def owner_of(self, shard: int) -> TableOwner | None:
        """Return the owner of a shard; None if it has no owner or does not exist."""
        return self._owner_at(self.rows[shard].owner) if 0 <= shard < len(self.rows) else None

    def previous_owner_of(self, shard: int) -> TableOwner | None:
        """Return the previous owner of an existing shard, if that node is still alive."""
        return self._owner_at(self.rows[shard].previous_owner)

    def _owner_at(self, index: int) -> TableOwner | None:
        return self.owners[index] if index >= 0 else None

    def epochs_of(self, node_id: str) -> dict[int, int]:
        """Return the epochs of the shards that a node owns, by shard."""
        return {
            shard: row.epoch
            for shard, row in enumerate(self.rows)
            if row.owner >= 0 and self.owners[row.owner].node_id == node_id
        }

    def count_owners(self) -> int:
        """Return the number of edge nodes that own shards, at least 1."""
        return max(1, len({row.owner for row in self.rows}))


class EndpointCondition:
    """Conditions of an endpoint, which gets calls only in `READY`.

    They are plain strings, since later versions may add others.
    """

    READY: Final = "ready"
    DRAINING: Final = "draining"
    GONE: Final = "gone"  # has left permanently: this incarnation does not return
    LOST: Final = "lost"  # has timed out, and may return


@value
class PublishedEndpoint:
    """One incarnation of an endpoint.

    :param version: the endpoint's own version, as it reports it.
    :param capacity: maximum number of concurrent calls.
    :param warm_up_ms: remaining time for which the endpoint is slow after its start.
    :param condition: one of `EndpointCondition`, or a condition that a later version has added.
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
        """Return the value to publish."""
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
        """Decode the published value; the version is optional, since no reader needs it.

        :raises KeyError: if any other field is missing.
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
    """Return the condition of a published endpoint without decoding the rest, for searches over all."""
    return str(body["cond"])


def with_condition(body: Json, condition: str) -> Json:
    """Return a published endpoint in another condition; fields of other versions are preserved."""
    return {**body, "cond": condition}
