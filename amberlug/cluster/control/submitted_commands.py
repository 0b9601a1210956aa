"""Commands that operators and endpoints submit, before the leader turns them into commands of the log.

Names and JSON fields are a protocol between control-plane nodes, and stay as they are.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import ClassVar

from amberlug.cluster.control.state_entries import ConfigDocument, EndpointDrain
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class ConfigCall(Enum):
    """How a configuration changes; the values are names of commands in frames."""

    REPLACE = "replace"  # a whole configuration takes the place of the one in force
    MODIFY = "modify"  # named items of the one in force change


@value
class SubmitRetirement:
    """Have a storage node emptied."""

    name: ClassVar[str] = "retire"
    node_name: str

    def to_wire(self) -> Json:
        """The arguments as a JSON object."""
        return {"name": self.node_name}


@value
class SubmitDrains:
    """Replicate that endpoints leave, or have left."""

    name: ClassVar[str] = "drain"
    drains: Sequence[EndpointDrain]

    def to_wire(self) -> Json:
        """The arguments as a JSON object."""
        return {"ids": [list(drain) for drain in self.drains]}


@value
class ReadState:
    """Read the state that a majority has confirmed."""

    name: ClassVar[str] = "read"

    def to_wire(self) -> Json:
        """An empty JSON object."""
        return {}


@value
class SubmitConfig:
    """Replace or modify the configuration.

    :param base_version: the version that the operator saw.
    :param data: the whole configuration, or what of it changes.
    """

    call: ConfigCall
    base_version: int
    data: ConfigDocument

    @property
    def name(self) -> str:
        """The command's name in frames."""
        return self.call.value

    def to_wire(self) -> Json:
        """The arguments as a JSON object."""
        return {"base": self.base_version, "data": self.data}


SubmittedCommand = SubmitRetirement | SubmitDrains | ReadState | SubmitConfig


def submitted_from_wire(name: str, arguments: Json) -> SubmittedCommand:
    """Read a command of a frame.

    :raises KeyError: where an argument is missing.
    :raises ValueError: where no command has this name.
    """
    if name == SubmitRetirement.name:
        return SubmitRetirement(arguments["name"])
    if name == SubmitDrains.name:
        return SubmitDrains(tuple(EndpointDrain(*row) for row in arguments["ids"]))
    if name == ReadState.name:
        return ReadState()
    return SubmitConfig(ConfigCall(name), arguments["base"], arguments["data"])
