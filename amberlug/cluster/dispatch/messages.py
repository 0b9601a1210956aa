"""The wire messages between edge nodes: submissions, shard handover and status lookups. No I/O."""

from __future__ import annotations

import math
from enum import Enum
from typing import Any, ClassVar

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.storage.content_messages import MessageIdRequest
from amberlug.cluster.storage.messages import Acknowledgement
from amberlug.cluster.storage.outcomes import MessageMetadata, MessageOutcome
from amberlug.cluster.values import value

MS_PER_S = 1000


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
class CallInFlight:
    """A call of a message whose shard has another owner than the caller.

    Earlier versions send only the id of the message.

    :param caller: the address of the node that makes the call; empty if that is the sender.
    :param remaining_s: the longest time for which the call can still run; None if it is not known.
    :param epoch: of the owner that the call is reported to; 0 if it is not known.
    """

    message_id: str
    caller: str = ""
    remaining_s: float | None = None
    epoch: int = 0

    def details_to_wire(self) -> list[Any]:
        """Encode all but the id; the time is rounded up to milliseconds."""
        assert self.remaining_s is not None, "the duration of the call is not known"
        return [self.caller, math.ceil(self.remaining_s * MS_PER_S), self.epoch]

    @classmethod
    def details_from_wire(cls, message_id: str, details: list[Any]) -> CallInFlight:
        """Decode a call from its id and the result of `details_to_wire`."""
        caller, remaining_ms, epoch = details
        return cls(message_id, str(caller), remaining_ms / MS_PER_S, epoch)


@value
class Handover(Notification):
    """Reports calls in flight and recent outcomes to the new owner of shards.

    A previous owner hands shards over with it. Without shards, it reports further calls of messages whose
    shard the recipient owns.
    """

    wire_tag: ClassVar[str] = "handover"
    epochs: dict[int, int]  # by shard that is handed over: the epoch of its new owner
    in_flight: tuple[CallInFlight, ...]
    ended: tuple[Acknowledgement, ...]  # outcomes that some storage node has not acknowledged

    def to_wire(self) -> Json:
        """Encode the fields; shard numbers become strings because they are JSON object keys."""
        body: Json = {
            "shards": {str(shard): epoch for shard, epoch in self.epochs.items()},
            "out": [call.message_id for call in self.in_flight],
            "ended": [acknowledgement.to_wire() for acknowledgement in self.ended],
        }
        if self.in_flight and all(call.remaining_s is not None for call in self.in_flight):
            body["calls"] = [call.details_to_wire() for call in self.in_flight]
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Handover:
        """Decode the handover; earlier versions send no details of calls.

        :raises KeyError: if a field is missing.
        """
        ids = body["out"]
        if "calls" in body:
            calls = tuple(map(CallInFlight.details_from_wire, ids, body["calls"]))
        else:
            calls = tuple(map(CallInFlight, ids))
        return cls(
            {int(shard): epoch for shard, epoch in body["shards"].items()},
            calls,
            tuple(Acknowledgement.from_wire(row) for row in body["ended"]),
        )


@value
class CallEnded(Notification):
    """Reports to the owner of a shard that a call at another node has ended.

    :param outcome: open if the message is to be retried.
    :param is_failure: whether the call counts as a failed attempt.
    :param caller: the address of the node that made the call; empty if that is the sender.
    :param epoch: of the owner that it is reported to; 0 if it is not known.
    """

    wire_tag: ClassVar[str] = "outcome"
    message_id: str
    outcome: MessageOutcome
    is_failure: bool
    caller: str = ""
    epoch: int = 0

    def to_wire(self) -> Json:
        """Encode the fields in wire order; `by` and `epoch` only if they are known."""
        body: Json = {
            "id": self.message_id,
            "end": self.outcome.status,
            "seal": self.outcome.receipt,
            "failed": self.is_failure,
        }
        if self.caller:
            body["by"] = self.caller
        if self.epoch:
            body["epoch"] = self.epoch
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> CallEnded:
        """Decode the notification; earlier versions send neither `by` nor `epoch`.

        :raises KeyError: if a field is missing.
        """
        outcome = MessageOutcome(body["end"], body["seal"])
        return cls(body["id"], outcome, body["failed"], body.get("by", ""), body.get("epoch", 0))


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
