"""Entries of the replicated state: storage nodes, shard owners, shards, and departures of endpoints.

The JSON keys are used in snapshots, in commands of the log and in gossip, and must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from enum import Enum
from typing import Any, Final, NamedTuple, TypeAlias

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

ConfigDocument: TypeAlias = dict[str, Any]
"""A configuration or a change of one, as the JSON object that operators send. `config_validation` validates
it, and the routing tables of edge nodes read it; components in between pass it on with all its fields."""


class StoreState(Enum):
    """Whether the replicas on a storage node count, and whether it takes new ones."""

    FULL = "full"  # its replicas count, and it takes new ones
    RETIRING = "retiring"  # being retired by an operator: its replicas do not count, and it takes no new ones
    LOST = "lost"  # the disk is considered lost


class Retirement(Enum):
    """Progress of the retirement of a storage node."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"


class EndpointRank:
    """Progress of an endpoint's departure, which never decreases. Plain integers, as in gossip."""

    READY: Final = 0
    LEAVING: Final = 1
    GONE: Final = 2


@value
class StoreEntry:
    """A disk on the roster of storage nodes.

    :param state_index: log index at which the state was entered; None in an entry that is only proposed.
    :param table_index: log index of the shard table in force when the disk was added; None likewise.
    """

    name: str
    address: str
    zone: str
    region: str
    state: StoreState
    state_index: int | None = None
    table_index: int | None = None

    def with_state(self, state: StoreState) -> StoreEntry:
        """Return the same disk in another state."""
        return replace(self, state=state)

    def is_same_node(self, other: StoreEntry) -> bool:
        """Whether both are of the same node at the same address and in the same failure domain."""
        mine = (self.name, self.address, self.zone, self.region)
        return mine == (other.name, other.address, other.zone, other.region)

    def to_wire(self) -> Json:
        """Return the JSON object; unknown indices are omitted."""
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
        """Decode an entry.

        :raises KeyError: if a field other than the indices is missing.
        :raises ValueError: if the state is unknown.
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
        """Return the JSON object."""
        return {"name": self.name, "addr": self.address, "zone": self.zone, "region": self.region}

    @classmethod
    def from_wire(cls, body: Json) -> OwnerEntry:
        """Decode an entry.

        :raises KeyError: if a field is missing.
        """
        return cls(body["name"], body["addr"], body["zone"], body["region"])


class ShardEntry(NamedTuple):
    """The ownership of a shard, in the order of its JSON array.

    :param owner: the owner's incarnation; empty if there is none.
    :param epoch: the fencing token, which is the log index of the assignment.
    :param previous_owner: incarnation of the previous owner if that is still an owner; else empty.
    """

    owner: str
    epoch: int
    previous_owner: str


class ConfigHash(NamedTuple):
    """The hash of the call that set a configuration version, in the order of its JSON array.

    :param applied_at_s: time at which it was applied, in seconds of the replicated clock.
    """

    call_hash: str
    applied_at_s: float


class Departure(NamedTuple):
    """An endpoint's departure, in the order of its JSON array.

    :param applied_at_s: time at which it was applied, in seconds of the replicated clock.
    :param sequence: the endpoint's sequence number of its announcement.
    """

    applied_at_s: float
    sequence: int


class DepartureRank(NamedTuple):
    """Progress of an endpoint's departure; a later one compares as greater."""

    rank: int
    sequence: int


class EndpointDrain(NamedTuple):
    """A departure to replicate, in the order of its JSON array."""

    name: str
    rank: int
    sequence: int


Roster = Mapping[str, StoreEntry]  # by disk id


def roster_to_wire(roster: Roster) -> Json:
    """Return the JSON object of a roster, by disk id."""
    return {disk: store.to_wire() for disk, store in roster.items()}


def roster_from_wire(body: Json) -> dict[str, StoreEntry]:
    """Decode a roster.

    :raises KeyError: if an entry lacks a field.
    """
    return {disk: StoreEntry.from_wire(store) for disk, store in body.items()}


def retirements_to_wire(retirements: Mapping[str, Retirement]) -> Json:
    """Return the JSON object of retirements, by name of the storage node."""
    return {name: retirement.value for name, retirement in retirements.items()}


def retirements_from_wire(body: Json) -> dict[str, Retirement]:
    """Decode retirements.

    :raises ValueError: if one has a state unknown to this version.
    """
    return {name: Retirement(retirement) for name, retirement in body.items()}


def shards_from_wire(rows: list[Any]) -> list[ShardEntry]:
    """Decode the shards of a snapshot."""
    return [ShardEntry(str(owner), epoch, str(previous)) for owner, epoch, previous in rows]
