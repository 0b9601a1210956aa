"""The messages between edge nodes: submissions to a shard's owner, handover of shards, look-ups. No I/O."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.storage.content_messages import MessageIdRequest
from amberlug.cluster.storage.messages import Acknowledgement
from amberlug.cluster.storage.outcomes import MessageMetadata, MessageOutcome
from amberlug.cluster.values import value


class AdmissionOutcome(Enum):
    """What a shard's owner did with a message that was submitted to it. The values stand in frames."""

    ACCEPTED = "held"  # enough replicas are durable
    NOT_OWNER = "elsewhere"  # another edge owns the shard
    OUTCOME_UNKNOWN = "unclear"  # some replica may exist
    REJECTED = "refused"  # no replica exists


@value
class OfferReply(Body):
    """What the owner did with a submitted message."""

    outcome: AdmissionOutcome
    is_unavailable: bool = False  # too few storage nodes respond: the owner did not try to write

    def to_wire(self) -> Json:
        """`taken`, with `dark` only where the owner is unavailable."""
        body: Json = {"taken": self.outcome.value}
        if self.is_unavailable:
            body["dark"] = True
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OfferReply:
        """Read the reply.

        :raises KeyError: without an outcome.
        :raises ValueError: for an outcome that this version does not know.
        """
        return cls(AdmissionOutcome(body["taken"]), bool(body.get("dark")))


@value
class Offer(Request[OfferReply]):
    """An edge submits a client's message to the owner of its shard."""

    wire_tag: ClassVar[str] = "offer"
    reply_type: ClassVar[type[OfferReply]] = OfferReply
    message_id: str
    shard: int
    metadata: MessageMetadata
    content: bytes  # the message's body

    @classmethod
    def of(cls, message: Message) -> Offer:
        """The submission of a message whose body is here."""
        assert message.body is not None, "a message that is submitted has its body"
        return cls(message.id, message.shard, message.encode_metadata(), message.body)

    def to_message(self) -> Message:
        """The message, as its owner is to admit it."""
        return Message.decode(self.message_id, self.shard, self.metadata, self.content, len(self.content))

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content

    def to_wire(self) -> Json:
        """The fields in their order."""
        return {"id": self.message_id, "shard": self.shard, "meta": self.metadata}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Offer:
        """Read the submission.

        :raises KeyError: where a field is missing.
        """
        return cls(body["id"], body["shard"], body["meta"], payload)


@value
class Handover(Notification):
    """What the previous owner of shards reports to the new one: calls in flight, and recent outcomes."""

    wire_tag: ClassVar[str] = "handover"
    epochs: dict[int, int]  # by shard: the epoch of its new owner
    in_flight: tuple[str, ...]  # ids of messages with a call in flight at the previous owner
    ended: tuple[Acknowledgement, ...]  # some storage node has not acknowledged these outcomes

    def to_wire(self) -> Json:
        """The shards' numbers are texts: they are keys of a JSON object."""
        return {
            "shards": {str(shard): epoch for shard, epoch in self.epochs.items()},
            "out": list(self.in_flight),
            "ended": [acknowledgement.to_wire() for acknowledgement in self.ended],
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Handover:
        """Read the handover.

        :raises KeyError: where a field is missing.
        """
        return cls(
            {int(shard): epoch for shard, epoch in body["shards"].items()},
            tuple(body["out"]),
            tuple(Acknowledgement.from_wire(row) for row in body["ended"]),
        )


@value
class CallEnded(Notification):
    """A call of a shard that was handed over has ended: the previous owner reports it to the new one."""

    wire_tag: ClassVar[str] = "outcome"
    message_id: str
    outcome: MessageOutcome  # open where the message is to be called again
    is_failure: bool  # the call counts as a failed attempt

    def to_wire(self) -> Json:
        """The fields in their order."""
        return {
            "id": self.message_id,
            "end": self.outcome.status,
            "seal": self.outcome.receipt,
            "failed": self.is_failure,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CallEnded:
        """Read the notification.

        :raises KeyError: where a field is missing.
        """
        return cls(body["id"], MessageOutcome(body["end"], body["seal"]), body["failed"])


@value
class StandingReply(Body):
    """The status of a message at the edge that replies; None where that edge does not know of it."""

    outcome: MessageOutcome | None

    def to_wire(self) -> Json:
        """`known`: a pair, or null."""
        return {"known": self.outcome.to_pair() if self.outcome is not None else None}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> StandingReply:
        """Read the reply; without the field nothing is known."""
        pair = body.get("known")
        return cls(MessageOutcome(*pair) if pair else None)


@value
class StandingRequest(MessageIdRequest[StandingReply]):
    """A request to the owner of a shard for the status of a message."""

    wire_tag: ClassVar[str] = "standing"
    reply_type: ClassVar[type[StandingReply]] = StandingReply
