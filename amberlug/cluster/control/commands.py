"""Commands of the replicated log: what the leader proposes and each replica applies.

`do` names the command in the log; its values and the JSON fields are kept for replicas of other versions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import field, replace
from typing import ClassVar

from amberlug.cluster.control.state_entries import (
    ConfigDocument,
    EndpointDrain,
    OwnerEntry,
    StoreEntry,
    roster_from_wire,
    roster_to_wire,
)
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


def _elapsed_s(body: Json) -> float:
    """By how many seconds a command of the log advances the replicated clock; it never goes back."""
    return max(0.0, float(body.get("after", 0.0)))


@value
class ReplaceConfig:
    """Put a configuration in force.

    :param base_version: the version that the operator saw; the command is void under any other.
    :param call_hash: tells a repeated call from another one with the same version.
    :param elapsed_s: by how many seconds the replicated clock advances.
    """

    do: ClassVar[str] = "config"
    base_version: int
    version: int
    call_hash: str
    config: ConfigDocument
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """The JSON object of the log."""
        return {
            "do": self.do,
            "base": self.base_version,
            "edition": self.version,
            "sum": self.call_hash,
            "config": self.config,
            "after": self.elapsed_s,
        }

    @classmethod
    def from_wire(cls, body: Json) -> ReplaceConfig:
        """Read a command of the log."""
        return cls(body["base"], body["edition"], body["sum"], body["config"], _elapsed_s(body))


@value
class UpdateRoster:
    """Put disks on the roster of storage nodes, change their state, or drop them."""

    do: ClassVar[str] = "roster"
    entries: Mapping[str, StoreEntry] = field(default_factory=dict)
    dropped: tuple[str, ...] = ()
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """The JSON object of the log; a leader sends either entries or dropped disks."""
        if self.dropped:
            return {"do": self.do, "drop": list(self.dropped)}
        return {"do": self.do, "set": roster_to_wire(self.entries)}

    @classmethod
    def from_wire(cls, body: Json) -> UpdateRoster:
        """Read a command of the log."""
        return cls(
            roster_from_wire(body.get("set", {})),
            tuple(body.get("drop", ())),
            _elapsed_s(body),
        )


@value
class RetireStore:
    """Have a storage node emptied."""

    do: ClassVar[str] = "retire"
    name: str
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """The JSON object of the log."""
        return {"do": self.do, "name": self.name}

    @classmethod
    def from_wire(cls, body: Json) -> RetireStore:
        """Read a command of the log."""
        return cls(body["name"], _elapsed_s(body))


@value
class AssignShards:
    """Give shards to owners.

    :param owners: every owner from now on, by incarnation.
    :param assignments: the numbers of the shards that change hands, by their new owner.
    """

    do: ClassVar[str] = "give"
    owners: Mapping[str, OwnerEntry]
    assignments: Mapping[str, list[int]]
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """The JSON object of the log."""
        return {
            "do": self.do,
            "owners": {name: owner.to_wire() for name, owner in self.owners.items()},
            "give": dict(self.assignments),
        }

    @classmethod
    def from_wire(cls, body: Json) -> AssignShards:
        """Read a command of the log."""
        owners = {name: OwnerEntry.from_wire(owner) for name, owner in body["owners"].items()}
        return cls(owners, body["give"], _elapsed_s(body))


@value
class DrainEndpoints:
    """Endpoints leave, or have left.

    :param elapsed_s: by how many seconds the replicated clock advances.
    """

    do: ClassVar[str] = "drain"
    drains: Sequence[EndpointDrain]
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """The JSON object of the log."""
        return {"do": self.do, "ids": [list(drain) for drain in self.drains], "after": self.elapsed_s}

    @classmethod
    def from_wire(cls, body: Json) -> DrainEndpoints:
        """Read a command of the log."""
        drains = tuple(EndpointDrain(*row) for row in body["ids"])
        return cls(drains, _elapsed_s(body))


Command = ReplaceConfig | UpdateRoster | RetireStore | AssignShards | DrainEndpoints
TimedCommand = ReplaceConfig | DrainEndpoints  # those that advance the replicated clock

_READERS: Mapping[str, Callable[[Json], Command]] = {
    ReplaceConfig.do: ReplaceConfig.from_wire,
    UpdateRoster.do: UpdateRoster.from_wire,
    RetireStore.do: RetireStore.from_wire,
    AssignShards.do: AssignShards.from_wire,
    DrainEndpoints.do: DrainEndpoints.from_wire,
}


def command_from_wire(body: Json) -> Command:
    """Read a command of the log.

    :raises KeyError: where no version of this program knows the command, or a field is missing.
    """
    return _READERS[body["do"]](body)


def with_elapsed(command: TimedCommand, elapsed_s: float) -> TimedCommand:
    """The command, advancing the replicated clock by so many seconds."""
    return replace(command, elapsed_s=elapsed_s)
