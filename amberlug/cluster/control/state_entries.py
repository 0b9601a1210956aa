"""Entries of the replicated state: storage nodes, shard owners, shards, and endpoints that leave.

JSON keys are those of snapshots, of commands in the log and of gossip, and stay as they are.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from enum import Enum
from typing import Any, Final, NamedTuple, TypeAlias

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

ConfigDocument: TypeAlias = dict[str, Any]
"""A configuration, or a change of one, as the JSON object that operators send: `config_validation` checks it,
and the routing tables of edge nodes read it. Everything between passes it on with all its fields."""


class StoreState(Enum):
    """What a storage node's replicas count for."""

    FULL = "full"  # they count, and it takes new ones
    RETIRING = "retiring"  # an operator empties it: none counts, and it takes no new ones
    LOST = "lost"  # its disk is gone for good


class Retirement(Enum):
    """How far the emptying of a storage node has come."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"


class EndpointRank:
    """How far an endpoint's departure has come; it never goes back. Plain integers, as gossip has them."""

    READY: Final = 0
    LEAVING: Final = 1
    GONE: Final = 2


@value
class StoreEntry:
    """A disk on the roster of storage nodes.

    :param state_index: log index at which the state was entered; None in an entry that is only proposed.
    :param table_index: log index of the shard table that was in force when the disk came; None likewise.
    """

    name: str
    address: str
    zone: str
    region: str
    state: StoreState
    state_index: int | None = None
    table_index: int | None = None

    def with_state(self, state: StoreState) -> StoreEntry:
        """The same disk in another state."""
        return replace(self, state=state)

    def is_same_node(self, other: StoreEntry) -> bool:
        """Whether both name the same node at the same address and failure domain."""
        mine = (self.name, self.address, self.zone, self.region)
        return mine == (other.name, other.address, other.zone, other.region)

    def to_wire(self) -> Json:
        """The JSON object; indices that are not known are left out."""
        body: Json = {
            "name": self.name,
            "addr": self.address,
            "zone": self.zone,
            "region": self.region,
            "state": self.state.value,
        }
        if self.state_index is not None:
            body["at"] = self.state_index
        if self.table_index is not None:
            body["table"] = self.table_index
        return body

    @classmethod
    def from_wire(cls, body: Json) -> StoreEntry:
        """Read an entry.

        :raises KeyError: where a field other than the indices is missing.
        :raises ValueError: where the state is none of those known.
        """
        return cls(
            body["name"],
            body["addr"],
            body["zone"],
            body["region"],
            StoreState(body["state"]),
            body.get("at"),
            body.get("table"),
        )


@value
class OwnerEntry:
    """An edge node that owns shards."""

    name: str
    address: str
    zone: str
    region: str

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"name": self.name, "addr": self.address, "zone": self.zone, "region": self.region}

    @classmethod
    def from_wire(cls, body: Json) -> OwnerEntry:
        """Read an entry.

        :raises KeyError: where a field is missing.
        """
        return cls(body["name"], body["addr"], body["zone"], body["region"])


class ShardEntry(NamedTuple):
    """Who owns a shard, in the order of its JSON array.

    :param owner: the owner's incarnation; empty for none.
    :param epoch: the fencing token: the log index of the assignment.
    :param previous_owner: who owned it before, where that one is still known; empty otherwise.
    """

    owner: str
    epoch: int
    previous_owner: str


class ConfigHash(NamedTuple):
    """The hash of the call that brought a configuration version, in the order of its JSON array.

    :param applied_at_s: when it was applied, in seconds of the replicated clock.
    """

    call_hash: str
    applied_at_s: float


class Departure(NamedTuple):
    """An endpoint's departure, in the order of its JSON array.

    :param applied_at_s: when it was applied, in seconds of the replicated clock.
    :param sequence: the endpoint's own number of its announcement.
    """

    applied_at_s: float
    sequence: int


class DepartureRank(NamedTuple):
    """How far an endpoint's departure has come; a later one compares as greater."""

    rank: int
    sequence: int


class EndpointDrain(NamedTuple):
    """A departure to be replicated, in the order of its JSON array."""

    name: str
    rank: int
    sequence: int


Roster = Mapping[str, StoreEntry]  # by disk


def roster_to_wire(roster: Roster) -> Json:
    """The JSON object of a roster, by disk."""
    return {disk: store.to_wire() for disk, store in roster.items()}


def roster_from_wire(body: Json) -> dict[str, StoreEntry]:
    """Read a roster.

    :raises KeyError: where an entry lacks a field.
    """
    return {disk: StoreEntry.from_wire(store) for disk, store in body.items()}


def retirements_to_wire(retirements: Mapping[str, Retirement]) -> Json:
    """The JSON object of retirements, by name of the storage node."""
    return {name: retirement.value for name, retirement in retirements.items()}


def retirements_from_wire(body: Json) -> dict[str, Retirement]:
    """Read retirements.

    :raises ValueError: where one is in a state that this version does not know.
    """
    return {name: Retirement(retirement) for name, retirement in body.items()}


def shards_from_wire(rows: list[Any]) -> list[ShardEntry]:
    """Read the shards of a snapshot."""
    return [ShardEntry(str(owner), epoch, str(previous)) for owner, epoch, previous in rows]
