"""Commands submitted by operators and endpoints, which the leader converts to commands of the log.

Names and JSON fields are part of the protocol between control-plane nodes and must not change.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import ClassVar

from amberlug.cluster.control.state_entries import ConfigDocument, EndpointDrain
from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class ConfigCall(Enum):
    """Ways to change the configuration; the values are the names of commands in frames."""

    REPLACE = "replace"  # replaces the configuration in force as a whole
    MODIFY = "modify"  # changes individual items of the configuration in force


@value
class SubmitRetirement:
    """Start the retirement of a storage node."""

    name: ClassVar[str] = "retire"
    node_name: str

    def to_wire(self) -> Json:
        """Return the arguments as a JSON object."""
        return {"name": self.node_name}


@value
class SubmitDrains:
    """Replicate that endpoints are leaving or have left."""

    name: ClassVar[str] = "drain"
    drains: Sequence[EndpointDrain]

    def to_wire(self) -> Json:
        """Return the arguments as a JSON object."""
        return {"ids": [list(drain) for drain in self.drains]}


@value
class ReadState:
    """Read the state as confirmed by a majority."""

    name: ClassVar[str] = "read"

    def to_wire(self) -> Json:
        """Return an empty JSON object."""
        return {}


@value
class SubmitConfig:
    """Replace or modify the configuration.

    :param base_version: the version that the operator based the change on.
    :param data: the complete configuration, or the change of it.
    """

    call: ConfigCall
    base_version: int
    data: ConfigDocument

    @property
    def name(self) -> str:
        """The command's name in frames."""
        return self.call.value

    def to_wire(self) -> Json:
        """Return the arguments as a JSON object."""
        return {"base": self.base_version, "data": self.data}


SubmittedCommand = SubmitRetirement | SubmitDrains | ReadState | SubmitConfig


def submitted_from_wire(name: str, arguments: Json) -> SubmittedCommand:
    """Decode a command from a frame.

    :raises KeyError: if an argument is missing.
    :raises ValueError: if there is no command with this name.
    """
    if name == SubmitRetirement.name:
        return SubmitRetirement(arguments["name"])
    if name == SubmitDrains.name:
        return SubmitDrains(tuple(EndpointDrain(*row) for row in arguments["ids"]))
    if name == ReadState.name:
        return ReadState()
    return SubmitConfig(ConfigCall(name), arguments["base"], arguments["data"])
