"""What only one class of node reports with its session; names of fields on the wire are historical."""

from __future__ import annotations

from typing import Protocol

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class SessionAttributes(Protocol):
    """What a node reports beside what all nodes do."""

    def to_wire(self) -> Json:
        """The JSON object in the requests of a session."""


@value
class EdgeAttributes:
    """An edge node's progress, which the leader waits for before it drops a disk for good.

    :param roster_index: the roster that it has acted upon; 0 for none.
    :param shard_table_index: the shard table that it acts under; 0 for none.
    :param recovering_shards: shards whose messages it still reads from storage nodes.
    :param under_replicated_messages: messages with fewer replicas than they need.
    """

    roster_index: int
    shard_table_index: int
    recovering_shards: int
    under_replicated_messages: int

    @property
    def is_complete(self) -> bool:
        """Whether it has read all its shards, and each message has enough replicas."""
        return not self.recovering_shards and not self.under_replicated_messages

    def to_wire(self) -> Json:
        """The JSON object in the requests of a session."""
        return {
            "roster": self.roster_index,
            "table": self.shard_table_index,
            "loading": self.recovering_shards,
            "short": self.under_replicated_messages,
        }

    @classmethod
    def from_wire(cls, body: Json) -> EdgeAttributes:
        """Read the attributes.

        :raises KeyError: where one is missing.
        """
        return cls(body["roster"], body["table"], body["loading"], body["short"])


@value
class StorageAttributes:
    """A storage node's disk.

    :param is_enrolled: whether it was once on the roster, so that it does not count as a new one.
    """

    disk_id: str
    is_enrolled: bool

    def to_wire(self) -> Json:
        """The JSON object in the requests of a session."""
        return {"disk": self.disk_id, "enrolled": self.is_enrolled}

    @classmethod
    def from_wire(cls, body: Json) -> StorageAttributes:
        """Read the attributes.

        :raises KeyError: without the id of a disk.
        """
        return cls(str(body["disk"]), bool(body.get("enrolled", False)))
