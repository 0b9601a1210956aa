"""Results of commands, and their JSON form in replies between control-plane nodes.

The names of the JSON fields are part of the protocol between versions and must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

from amberlug.cluster.control.state_entries import (
    ConfigDocument,
    Retirement,
    retirements_from_wire,
    retirements_to_wire,
)
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


@value
class CommandResult:
    """The result of applying or checking a command.

    :param is_repeat: whether the same command was applied before.
    :param status: the HTTP status of a rejection; 0 if the command was accepted.
    :param cause: why it was rejected, for the operator.
    :param epoch: the fencing token of a shard assignment; 0 for other commands.
    """

    is_repeat: bool = False
    status: int = 0
    cause: str = ""
    epoch: int = 0

    @property
    def is_rejected(self) -> bool:
        """Whether the command was finally rejected."""
        return self.status != 0

    @classmethod
    def rejected(cls, status: int, cause: str) -> CommandResult:
        """Return a rejection with its HTTP status."""
        return cls(status=status, cause=cause)

    def to_wire(self) -> Json:
        """Return the JSON object."""
        if self.is_rejected:
            return {"status": self.status, "cause": self.cause}
        if self.is_repeat:
            return {"again": True}
        return {"ok": True, "epoch": self.epoch} if self.epoch else {"ok": True}

    @classmethod
    def from_wire(cls, body: Json) -> CommandResult:
        """Decode a result; one without a status was accepted."""
        if "status" in body:
            return cls.rejected(body["status"], body["cause"])
        return cls(is_repeat=bool(body.get("again")), epoch=body.get("epoch", 0))


ACCEPTED = CommandResult()
REPEATED = CommandResult(is_repeat=True)


@value
class ConfirmedState:
    """The part of the replicated state that operators read, confirmed by a majority.

    :param config: None if no configuration is in force yet.
    :param retirements: progress of storage node retirements, by node name.
    """

    config: ConfigDocument | None
    retirements: Mapping[str, Retirement]

    def to_wire(self) -> Json:
        """Return the JSON object."""
        return {"config": self.config, "retired": retirements_to_wire(self.retirements)}

    @classmethod
    def from_wire(cls, body: Json) -> ConfirmedState:
        """Decode a reply.

        :raises KeyError: if a field is missing.
        """
        return cls(body["config"], retirements_from_wire(body["retired"]))


CommandOutcome: TypeAlias = CommandResult | ConfirmedState
"""The outcome of a submitted command: the state for a read, a result for all others."""


def outcome_from_wire(body: Json) -> CommandOutcome:
    """Decode an outcome; only a state has a configuration."""
    return ConfirmedState.from_wire(body) if "config" in body else CommandResult.from_wire(body)
