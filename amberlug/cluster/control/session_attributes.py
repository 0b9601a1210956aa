"""Session attributes that only one class of node reports; the names of fields on the wire are historical."""

from __future__ import annotations

from typing import Protocol

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class SessionAttributes(Protocol):
    """Attributes that a node reports in addition to those of all nodes."""

    def to_wire(self) -> Json:
        """Return the JSON object sent in session requests."""


@value
class EdgeAttributes:
    """An edge node's progress, which the leader waits for before it drops a disk.

    :param roster_index: index of the roster that it has applied; 0 for none.
    :param shard_table_index: index of the shard table that it uses; 0 for none.
    :param recovering_shards: number of shards whose messages it is still reading from storage nodes.
    :param under_replicated_messages: number of messages with fewer replicas than required.
    """

    roster_index: int
    shard_table_index: int
    recovering_shards: int
    under_replicated_messages: int

    @property
    def is_complete(self) -> bool:
        """Whether it has recovered all its shards, and every message has enough replicas."""
        return not self.recovering_shards and not self.under_replicated_messages

    def to_wire(self) -> Json:
        """Return the JSON object sent in session requests."""
        return {
            "roster": self.roster_index,
            "table": self.shard_table_index,
            "loading": self.recovering_shards,
            "short": self.under_replicated_messages,
        }

    @classmethod
    def from_wire(cls, body: Json) -> EdgeAttributes:
        """Decode the attributes.

        :raises KeyError: if one is missing.
        """
        return cls(body["roster"], body["table"], body["loading"], body["short"])


@value
class StorageAttributes:
    """A storage node's disk.

    :param is_enrolled: whether it has been on the roster before, so that it is not taken for a new disk.
    """

    disk_id: str
    is_enrolled: bool

    def to_wire(self) -> Json:
        """Return the JSON object sent in session requests."""
        return {"disk": self.disk_id, "enrolled": self.is_enrolled}

    @classmethod
    def from_wire(cls, body: Json) -> StorageAttributes:
        """Decode the attributes.

        :raises KeyError: if the disk id is missing.
        """
        return cls(str(body["disk"]), bool(body.get("enrolled", False)))
