"""The messages by which operators, through a control-plane node, look at a storage node. No I/O."""

from __future__ import annotations

from typing import ClassVar

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Request
from amberlug.cluster.storage.outcomes import MessageMetadata
from amberlug.cluster.values import value

DEAD_MESSAGES_PER_PAGE = 200  # an answer of so many rows stays far below the largest frame


@value
class DeadMessage:
    """A message that ended without success; metadata is empty where only its outcome came here."""

    message_id: str
    metadata: MessageMetadata
    size_bytes: int
    retain_until: float  # wall-clock seconds

    def to_wire(self) -> list[object]:
        """One row of the reply."""
        return [self.message_id, self.metadata, self.size_bytes, self.retain_until]


@value
class DeadMessagesReply(Body):
    """One page, in the order of their names."""

    messages: tuple[DeadMessage, ...]
    has_more: bool

    def to_wire(self) -> Json:
        """The rows, and whether others follow."""
        return {"rows": [message.to_wire() for message in self.messages], "more": self.has_more}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DeadMessagesReply:
        """Read the reply.

        :raises KeyError: where a field is missing.
        """
        return cls(tuple(DeadMessage(*row) for row in body["rows"]), body["more"])


@value
class DeadMessagesRequest(Request[DeadMessagesReply]):
    """Ask for messages that ended without success: the one of `message_id`, or a page beyond `after`."""

    wire_tag: ClassVar[str] = "dead"
    reply_type: ClassVar[type[DeadMessagesReply]] = DeadMessagesReply
    message_id: str | None = None
    after: str = ""
    limit: int = DEAD_MESSAGES_PER_PAGE  # messages on the page

    def includes(self, message_id: str) -> bool:
        """Whether a message is one of those that are asked for."""
        if self.message_id is not None:
            return message_id == self.message_id
        return message_id > self.after

    def to_wire(self) -> Json:
        """Either the one name, or where the page begins and how long it may be."""
        if self.message_id is not None:
            return {"id": self.message_id}
        return {"after": self.after, "most": self.limit}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DeadMessagesRequest:
        """Read the request; without a limit it is that of a page.

        :raises KeyError: where it has neither `id` nor `after`.
        """
        limit = int(body.get("most", DEAD_MESSAGES_PER_PAGE))
        if "id" in body:
            return cls(message_id=body["id"], limit=limit)
        return cls(after=body["after"], limit=limit)


@value
class StorageStatusReport(Body):
    """A storage node as its operators see it; the reply to a `NodeStatusRequest`."""

    disk_id: str
    is_full: bool
    open_messages: int
    open_bytes: int
    dead_messages: int
    ended_messages: int  # with the dead ones
    counters: dict[str, int]

    def to_wire(self) -> Json:
        """The fields in the order in which operators read them."""
        return {
            "disk": self.disk_id,
            "full": self.is_full,
            "open": self.open_messages,
            "bytes": self.open_bytes,
            "dead": self.dead_messages,
            "ended": self.ended_messages,
            "counts": self.counters,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> StorageStatusReport:
        """Read the report.

        :raises KeyError: where a field is missing.
        """
        return cls(
            body["disk"],
            body["full"],
            body["open"],
            body["bytes"],
            body["dead"],
            body["ended"],
            body["counts"],
        )
