"""The wire messages with which operators query a storage node through a control-plane node. No I/O."""

from __future__ import annotations

from typing import ClassVar

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Request
from amberlug.cluster.storage.outcomes import MessageMetadata
from amberlug.cluster.values import value

DEAD_MESSAGES_PER_PAGE = 200  # keeps a reply far below the maximum frame size


@value
class DeadMessage:
    """A message that ended without success; metadata is empty if only its outcome was stored."""

    message_id: str
    metadata: MessageMetadata
    size_bytes: int
    retain_until: float  # wall-clock seconds

    def to_wire(self) -> list[object]:
        """Encode as a row of the reply."""
        return [self.message_id, self.metadata, self.size_bytes, self.retain_until]


@value
class DeadMessagesReply(Body):
    """One page of dead messages, ordered by id."""

    messages: tuple[DeadMessage, ...]
    has_more: bool

    def to_wire(self) -> Json:
        """Encode the rows, and whether more follow."""
        return {"rows": [message.to_wire() for message in self.messages], "more": self.has_more}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DeadMessagesReply:
        """Decode the reply.

        :raises KeyError: if a field is missing.
        """
        return cls(tuple(DeadMessage(*row) for row in body["rows"]), body["more"])


@value
class DeadMessagesRequest(Request[DeadMessagesReply]):
    """Requests dead messages: the one with `message_id`, or the page that follows `after`."""

    wire_tag: ClassVar[str] = "dead"
    reply_type: ClassVar[type[DeadMessagesReply]] = DeadMessagesReply
    message_id: str | None = None
    after: str = ""
    limit: int = DEAD_MESSAGES_PER_PAGE  # maximum number of messages per page

    def includes(self, message_id: str) -> bool:
        """Whether a message matches the request."""
        if self.message_id is not None:
            return message_id == self.message_id
        return message_id > self.after

    def to_wire(self) -> Json:
        """Encode either the message id, or the start and maximum length of the page."""
        if self.message_id is not None:
            return {"id": self.message_id}
        return {"after": self.after, "most": self.limit}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> DeadMessagesRequest:
        """Decode the request; the default limit is one page.

        :raises KeyError: if it has neither `id` nor `after`.
        """
        limit = int(body.get("most", DEAD_MESSAGES_PER_PAGE))
        if "id" in body:
            return cls(message_id=body["id"], limit=limit)
        return cls(after=body["after"], limit=limit)


@value
class StorageStatusReport(Body):
    """The status of a storage node; the reply to a `NodeStatusRequest`."""

    disk_id: str
    is_full: bool
    open_messages: int
    open_bytes: int
    dead_messages: int
    ended_messages: int  # including dead ones
    counters: dict[str, int]

    def to_wire(self) -> Json:
        """Encode the fields in display order."""
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
        """Decode the report.

        :raises KeyError: if a field is missing.
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
