"""The wire messages between edge nodes: submissions, shard handover and status lookups. No I/O."""

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
    """The result of submitting a message to a shard's owner. The values are part of the wire format."""

    ACCEPTED = "held"  # enough replicas are durable
    NOT_OWNER = "elsewhere"  # another edge owns the shard
    OUTCOME_UNKNOWN = "unclear"  # some replica may exist
    REJECTED = "refused"  # no replica exists


@value
class OfferReply(Body):
    """The reply to an `Offer`."""

    outcome: AdmissionOutcome
    is_unavailable: bool = False  # too few storage nodes respond, so the owner did not try to write

    def to_wire(self) -> Json:
        """Encode `taken`, and `dark` only if the owner is unavailable."""
        body: Json = {"taken": self.outcome.value}
        if self.is_unavailable:
            body["dark"] = True
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OfferReply:
        """Decode the reply.

        :raises KeyError: if the outcome is missing.
        :raises ValueError: if the outcome is unknown to this version.
        """
        return cls(AdmissionOutcome(body["taken"]), bool(body.get("dark")))


@value
class Offer(Request[OfferReply]):
    """Submits a client's message to the owner of its shard."""

    wire_tag: ClassVar[str] = "offer"
    reply_type: ClassVar[type[OfferReply]] = OfferReply
    message_id: str
    shard: int
    metadata: MessageMetadata
    content: bytes  # the message's body

    @classmethod
    def of(cls, message: Message) -> Offer:
        """Create the submission of a message; its body must be in memory."""
        assert message.body is not None, "body of the message is not loaded"
        return cls(message.id, message.shard, message.encode_metadata(), message.body)

    def to_message(self) -> Message:
        """The message that the owner is to admit."""
        return Message.decode(self.message_id, self.shard, self.metadata, self.content, len(self.content))

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content

    def to_wire(self) -> Json:
        """Encode the fields in wire order."""
        return {"id": self.message_id, "shard": self.shard, "meta": self.metadata}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Offer:
        """Decode the submission.

        :raises KeyError: if a field is missing.
        """
        return cls(body["id"], body["shard"], body["meta"], payload)


@value
class Handover(Notification):
    """Reports calls in flight and recent outcomes from the previous owner of shards to the new one."""

    wire_tag: ClassVar[str] = "handover"
    epochs: dict[int, int]  # by shard: the epoch of its new owner
    in_flight: tuple[str, ...]  # ids of messages with a call in flight at the previous owner
    ended: tuple[Acknowledgement, ...]  # outcomes that some storage node has not acknowledged

    def to_wire(self) -> Json:
        """Encode the fields; shard numbers become strings because they are JSON object keys."""
        return {
            "shards": {str(shard): epoch for shard, epoch in self.epochs.items()},
            "out": list(self.in_flight),
            "ended": [acknowledgement.to_wire() for acknowledgement in self.ended],
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Handover:
        """Decode the handover.

        :raises KeyError: if a field is missing.
        """
        return cls(
            {int(shard): epoch for shard, epoch in body["shards"].items()},
            tuple(body["out"]),
            tuple(Acknowledgement.from_wire(row) for row in body["ended"]),
        )


@value
class CallEnded(Notification):
    """Reports to the new owner of a shard that a call at the previous owner has ended."""

    wire_tag: ClassVar[str] = "outcome"
    message_id: str
    outcome: MessageOutcome  # open if the message is to be retried
    is_failure: bool  # the call counts as a failed attempt

    def to_wire(self) -> Json:
        """Encode the fields in wire order."""
        return {
            "id": self.message_id,
            "end": self.outcome.status,
            "seal": self.outcome.receipt,
            "failed": self.is_failure,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CallEnded:
        """Decode the notification.

        :raises KeyError: if a field is missing.
        """
        return cls(body["id"], MessageOutcome(body["end"], body["seal"]), body["failed"])


@value
class StandingReply(Body):
    """The status of a message at the replying edge; None if that edge does not know it."""

    outcome: MessageOutcome | None

    def to_wire(self) -> Json:
        """Encode `known` as a pair or null."""
        return {"known": self.outcome.to_pair() if self.outcome is not None else None}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> StandingReply:
        """Decode the reply; a missing field means that the message is not known."""
        pair = body.get("known")
        return cls(MessageOutcome(*pair) if pair else None)


@value
class StandingRequest(MessageIdRequest[StandingReply]):
    """Asks the owner of a shard for the status of a message."""

    wire_tag: ClassVar[str] = "standing"
    reply_type: ClassVar[type[StandingReply]] = StandingReply
