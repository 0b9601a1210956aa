"""The wire messages with which edges and operators read a message's body. No I/O."""

from __future__ import annotations

from typing import ClassVar, Self

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, ReplyT, Request
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome
from amberlug.cluster.values import value


@value
class ContentReply(Body):
    """The body of a message if the storage node has it, and its outcome if it has ended."""

    content: bytes | None
    outcome: MessageOutcome = OPEN
    disk_id: str = ""  # the replying disk; not sent by storage nodes of earlier versions

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content or b""

    def to_wire(self) -> Json:
        """Encode `found`, then `end` and `seal` if the message has ended."""
        body = {"found": self.content is not None, **self.outcome.to_fields()}
        return {**body, "disk": self.disk_id} if self.disk_id else body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ContentReply:
        """Decode the reply; missing fields mean no body and an open message."""
        content = payload if body.get("found") else None
        return cls(content, MessageOutcome.from_fields(body), body.get("disk", ""))


@value
class MessageIdRequest(Request[ReplyT]):
    """Base class of requests whose only field is a message id."""

    message_id: str

    def to_wire(self) -> Json:
        """Encode the message id."""
        return {"id": self.message_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Decode the request.

        :raises KeyError: if the id is missing.
        """
        return cls(body["id"])


@value
class ContentRequest(MessageIdRequest[ContentReply]):
    """Requests the body of a message that is open or dead."""

    wire_tag: ClassVar[str] = "body"
    reply_type: ClassVar[type[ContentReply]] = ContentReply
