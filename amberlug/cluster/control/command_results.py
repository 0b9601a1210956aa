"""What comes of a command, and its JSON form in replies between control-plane nodes.

Names of JSON fields are a protocol between versions, and stay as they are.
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
    """What applying a command, or checking it, came to.

    :param is_repeat: whether the same command had been applied before.
    :param status: the HTTP status of a rejection; 0 where the command was accepted.
    :param cause: why it was rejected, for the operator.
    :param epoch: the fencing token of a shard assignment; 0 for other commands.
    """

    is_repeat: bool = False
    status: int = 0
    cause: str = ""
    epoch: int = 0

    @property
    def is_rejected(self) -> bool:
        """Whether the command was rejected for good."""
        return self.status != 0

    @classmethod
    def rejected(cls, status: int, cause: str) -> CommandResult:
        """A rejection with its HTTP status."""
        return cls(status=status, cause=cause)

    def to_wire(self) -> Json:
        """The JSON object."""
        if self.is_rejected:
            return {"status": self.status, "cause": self.cause}
        if self.is_repeat:
            return {"again": True}
        return {"ok": True, "epoch": self.epoch} if self.epoch else {"ok": True}

    @classmethod
    def from_wire(cls, body: Json) -> CommandResult:
        """Read a result; one without a status was accepted."""
        if "status" in body:
            return cls.rejected(body["status"], body["cause"])
        return cls(is_repeat=bool(body.get("again")), epoch=body.get("epoch", 0))


ACCEPTED = CommandResult()
REPEATED = CommandResult(is_repeat=True)


@value
class ConfirmedState:
    """What an operator's reads need of the replicated state, confirmed by a majority.

    :param config: None where no configuration is in force yet.
    :param retirements: by name of the storage node, how far its emptying has come.
    """

    config: ConfigDocument | None
    retirements: Mapping[str, Retirement]

    def to_wire(self) -> Json:
        """The JSON object."""
        return {"config": self.config, "retired": retirements_to_wire(self.retirements)}

    @classmethod
    def from_wire(cls, body: Json) -> ConfirmedState:
        """Read a reply.

        :raises KeyError: where a field is missing.
        """
        return cls(body["config"], retirements_from_wire(body["retired"]))


CommandOutcome: TypeAlias = CommandResult | ConfirmedState
"""What comes of a submitted command: the state for a read, a result for all others."""


def outcome_from_wire(body: Json) -> CommandOutcome:
    """Read an outcome; only a state has a configuration."""
    return ConfirmedState.from_wire(body) if "config" in body else CommandResult.from_wire(body)
