"""Commands of the replicated log, which the leader proposes and every replica applies.

`do` is the name of a command in the log. Its values and the JSON fields must not change, since replicas of
other versions read them.
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
    """Return the seconds by which a command advances the replicated clock; it never goes backward."""
    return max(0.0, float(body.get("after", 0.0)))


@value
class ReplaceConfig:
    """Put a configuration in force.

    :param base_version: the version that the operator based the change on; under any other one the command is
        rejected.
    :param call_hash: distinguishes a repeated call from a different one with the same version.
    :param elapsed_s: seconds by which the replicated clock advances.
    """

    do: ClassVar[str] = "config"
    base_version: int
    version: int
    call_hash: str
    config: ConfigDocument
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """Return the JSON object of the log."""
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
        """Decode a command of the log."""
        return cls(body["base"], body["edition"], body["sum"], body["config"], _elapsed_s(body))


@value
class UpdateRoster:
    """Add disks to the roster of storage nodes, change their state, or drop them."""

    do: ClassVar[str] = "roster"
    entries: Mapping[str, StoreEntry] = field(default_factory=dict)
    dropped: tuple[str, ...] = ()
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """Return the JSON object of the log; a leader sends either entries or dropped disks."""
        if self.dropped:
            return {"do": self.do, "drop": list(self.dropped)}
        return {"do": self.do, "set": roster_to_wire(self.entries)}

    @classmethod
    def from_wire(cls, body: Json) -> UpdateRoster:
        """Decode a command of the log."""
        return cls(
            roster_from_wire(body.get("set", {})),
            tuple(body.get("drop", ())),
            _elapsed_s(body),
        )


@value
class RetireStore:
    """Start the retirement of a storage node."""

    do: ClassVar[str] = "retire"
    name: str
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """Return the JSON object of the log."""
        return {"do": self.do, "name": self.name}

    @classmethod
    def from_wire(cls, body: Json) -> RetireStore:
        """Decode a command of the log."""
        return cls(body["name"], _elapsed_s(body))


@value
class AssignShards:
    """Assign shards to owners.

    :param owners: all owners after the command, by incarnation.
    :param assignments: numbers of the shards that change owner, by their new owner.
    """

    do: ClassVar[str] = "give"
    owners: Mapping[str, OwnerEntry]
    assignments: Mapping[str, list[int]]
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """Return the JSON object of the log."""
        return {
            "do": self.do,
            "owners": {name: owner.to_wire() for name, owner in self.owners.items()},
            "give": dict(self.assignments),
        }

    @classmethod
    def from_wire(cls, body: Json) -> AssignShards:
        """Decode a command of the log."""
        owners = {name: OwnerEntry.from_wire(owner) for name, owner in body["owners"].items()}
        return cls(owners, body["give"], _elapsed_s(body))


@value
class DrainEndpoints:
    """Record that endpoints are leaving or have left.

    :param elapsed_s: seconds by which the replicated clock advances.
    """

    do: ClassVar[str] = "drain"
    drains: Sequence[EndpointDrain]
    elapsed_s: float = 0.0

    def to_wire(self) -> Json:
        """Return the JSON object of the log."""
        return {"do": self.do, "ids": [list(drain) for drain in self.drains], "after": self.elapsed_s}

    @classmethod
    def from_wire(cls, body: Json) -> DrainEndpoints:
        """Decode a command of the log."""
        drains = tuple(EndpointDrain(*row) for row in body["ids"])
        return cls(drains, _elapsed_s(body))


Command = ReplaceConfig | UpdateRoster | RetireStore | AssignShards | DrainEndpoints
TimedCommand = ReplaceConfig | DrainEndpoints  # commands that advance the replicated clock

_COMMAND_DECODERS: Mapping[str, Callable[[Json], Command]] = {
    ReplaceConfig.do: ReplaceConfig.from_wire,
    UpdateRoster.do: UpdateRoster.from_wire,
    RetireStore.do: RetireStore.from_wire,
    AssignShards.do: AssignShards.from_wire,
    DrainEndpoints.do: DrainEndpoints.from_wire,
}


def command_from_wire(body: Json) -> Command:
    """Decode a command of the log.

    :raises KeyError: if the command is unknown, or a field is missing.
    """
    return _COMMAND_DECODERS[body["do"]](body)


def with_elapsed(command: TimedCommand, elapsed_s: float) -> TimedCommand:
    """Return the command with the seconds by which it advances the replicated clock."""
    return replace(command, elapsed_s=elapsed_s)
