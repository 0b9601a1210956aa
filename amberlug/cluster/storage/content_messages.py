"""The request for a message's body, which edges and operators make of storage nodes. No I/O."""

from __future__ import annotations

from typing import ClassVar, Self

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, ReplyT, Request
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome
from amberlug.cluster.values import value


@value
class ContentReply(Body):
    """A message's body, where it is here, and how the message ended where it has."""

    content: bytes | None
    outcome: MessageOutcome = OPEN
    disk_id: str = ""  # which disk answers; storage nodes of earlier versions do not say

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content or b""

    def to_wire(self) -> Json:
        """Whether it is here, then `end` and `seal` where the message has ended."""
        body = {"found": self.content is not None, **self.outcome.to_fields()}
        return {**body, "disk": self.disk_id} if self.disk_id else body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ContentReply:
        """Read the reply; without its fields the body is not there and the message is open."""
        content = payload if body.get("found") else None
        return cls(content, MessageOutcome.from_fields(body), body.get("disk", ""))


@value
class MessageIdRequest(Request[ReplyT]):
    """The form of requests that only name a message."""

    message_id: str

    def to_wire(self) -> Json:
        """The message's id."""
        return {"id": self.message_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Read the request.

        :raises KeyError: without the id.
        """
        return cls(body["id"])


@value
class ContentRequest(MessageIdRequest[ContentReply]):
    """Ask for the body of a message that is open or dead."""

    wire_tag: ClassVar[str] = "body"
    reply_type: ClassVar[type[ContentReply]] = ContentReply
