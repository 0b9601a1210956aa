"""The messages that a storage node answers: replicas, acknowledged outcomes, fencing, look-ups. No I/O.

A shard's owner writes replicas and reads them after a failover, edges look messages up. The fencing token of
a shard is the epoch of its ownership: it grows with each owner, and a storage node rejects replicas of owners
with a smaller one.
"""

from __future__ import annotations

from dataclasses import field
from enum import Enum
from typing import Any, ClassVar

from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Request
from amberlug.cluster.storage.outcomes import OPEN, MessageMetadata, MessageOutcome
from amberlug.cluster.values import value


class ReplicaWriteResult(Enum):
    """What a storage node did with a replica."""

    STORED = "ok"  # it is durable here, or the message had ended before
    FENCED = "fenced"  # a later owner of the shard has been here
    STORAGE_FULL = "full"  # the disk did not take it
    NOT_ENROLLED = "early"  # this disk does not know yet which owners came before it


@value
class ReplicaWriteReply(Body):
    """The end of a `ReplicaWriteRequest`."""

    result: ReplicaWriteResult
    disk_id: str = ""  # where it was stored
    outcome: MessageOutcome = OPEN  # of a message that had ended under an earlier owner
    fencing_token: int = 0  # the one that the replica was rejected for

    def to_wire(self) -> Json:
        """`ok` and the disk, with `end` and `seal` where it has ended; else the one reason."""
        if self.result is ReplicaWriteResult.FENCED:
            return {"fenced": self.fencing_token}
        if self.result is not ReplicaWriteResult.STORED:
            return {self.result.value: True}
        return {"ok": True, "disk": self.disk_id, **self.outcome.to_fields()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReplicaWriteReply:
        """Read the reply; one without a known reason counts as `NOT_ENROLLED`: it is tried again soon."""
        if body.get("ok"):
            return cls(ReplicaWriteResult.STORED, body["disk"], MessageOutcome.from_fields(body))
        if body.get("fenced"):
            return cls(ReplicaWriteResult.FENCED, fencing_token=body["fenced"])
        return cls(ReplicaWriteResult.STORAGE_FULL if body.get("full") else ReplicaWriteResult.NOT_ENROLLED)


@value
class ReplicaWriteRequest(Request[ReplicaWriteReply]):
    """A shard's owner has a message stored durably."""

    wire_tag: ClassVar[str] = "put"
    reply_type: ClassVar[type[ReplicaWriteReply]] = ReplicaWriteReply
    message_id: str
    shard: int
    epoch: int  # the writer's fencing token
    # The epoch in which the message was accepted; an earlier one in a replica that is repaired.
    accepted_epoch: int
    sequence: int  # its number in that epoch: both together order the messages of a shard
    metadata: MessageMetadata
    content: bytes  # the message's body

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content

    def to_wire(self) -> Json:
        """The fields in their order."""
        return {
            "id": self.message_id,
            "shard": self.shard,
            "epoch": self.epoch,
            "order": [self.accepted_epoch, self.sequence],
            "meta": self.metadata,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReplicaWriteRequest:
        """Read the request.

        :raises KeyError: where a field is missing.
        """
        accepted_epoch, sequence = body["order"]
        return cls(body["id"], body["shard"], body["epoch"], accepted_epoch, sequence, body["meta"], payload)


@value
class Acknowledgement:
    """That a message ended, and until when its outcome is to be known; wall-clock seconds."""

    message_id: str
    shard: int
    outcome: MessageOutcome
    retain_until: float

    def to_wire(self) -> list[object]:
        """One row of the request."""
        return [self.message_id, self.shard, *self.outcome.to_pair(), self.retain_until]

    @classmethod
    def from_wire(cls, row: list[Any]) -> Acknowledgement:
        """Read one row of the request.

        :raises ValueError: where it does not have five values.
        """
        message_id, shard, status, receipt, retain_until = row
        return cls(message_id, shard, MessageOutcome(status, receipt), retain_until)


@value
class AcknowledgeReply(Body):
    """Whether the acknowledgements are durable."""

    durable: bool
    disk_id: str = ""  # where; storage nodes of earlier versions do not say

    def is_durable_on(self, disk: str) -> bool:
        """Whether they are durable on the disk that is meant, and not on one that has taken its place."""
        return self.durable and self.disk_id in ("", disk)

    def to_wire(self) -> Json:
        """`ok`, and the disk where they are durable."""
        return {"ok": self.durable, **({"disk": self.disk_id} if self.durable and self.disk_id else {})}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgeReply:
        """Read the reply; without `ok` they are not durable."""
        return cls(bool(body.get("ok")), body.get("disk", ""))


@value
class AcknowledgeRequest(Request[AcknowledgeReply]):
    """Messages have ended. Without any it asks whether the node answers."""

    wire_tag: ClassVar[str] = "marks"
    reply_type: ClassVar[type[AcknowledgeReply]] = AcknowledgeReply
    acknowledgements: tuple[Acknowledgement, ...] = ()

    def to_wire(self) -> Json:
        """A row each."""
        return {"marks": [acknowledgement.to_wire() for acknowledgement in self.acknowledgements]}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgeRequest:
        """Read the request.

        :raises KeyError: without the list.
        """
        return cls(tuple(Acknowledgement.from_wire(row) for row in body["marks"]))


@value
class OpenMessage:
    """A message that has not ended, as a storage node has it."""

    message_id: str
    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    size_bytes: int
    content: bytes | None  # None where the reply would have become too large: it is read on its own

    def to_wire(self) -> list[object]:
        """One row of the reply; -1 for a body that is left out."""
        return [
            self.message_id,
            self.shard,
            self.accepted_epoch,
            self.sequence,
            self.metadata,
            self.size_bytes,
            len(self.content) if self.content is not None else -1,
        ]


@value
class FenceReply(Body):
    """What is open in the shards, once the fencing tokens are durable."""

    durable: bool
    disk_id: str = ""
    rejected: dict[int, int] = field(default_factory=dict)  # by shard: the larger token that it has
    open_messages: tuple[OpenMessage, ...] = ()

    @property
    def payload(self) -> bytes:
        """The bodies that are included, one after the other in the order of the rows."""
        return b"".join(message.content for message in self.open_messages if message.content is not None)

    def to_wire(self) -> Json:
        """Only `ok` where the tokens are not durable."""
        if not self.durable:
            return {"ok": False}
        return {
            "ok": True,
            "disk": self.disk_id,
            "refused": {str(shard): token for shard, token in self.rejected.items()},
            "open": [message.to_wire() for message in self.open_messages],
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FenceReply:
        """Read the reply and take the bodies apart.

        :raises KeyError: where a field of a durable fence is missing.
        """
        if not body.get("ok"):
            return cls(False)
        messages, offset = [], 0
        for message_id, shard, epoch, sequence, metadata, size_bytes, included_bytes in body["open"]:
            content = None
            if included_bytes >= 0:
                content = payload[offset : offset + included_bytes]
                offset += included_bytes
            messages.append(OpenMessage(message_id, shard, epoch, sequence, metadata, size_bytes, content))
        rejected = {int(shard): token for shard, token in body["refused"].items()}
        return cls(True, body["disk"], rejected, tuple(messages))


@value
class FenceRequest(Request[FenceReply]):
    """A new owner has older owners of its shards rejected, and asks for what is open in them."""

    wire_tag: ClassVar[str] = "fence"
    reply_type: ClassVar[type[FenceReply]] = FenceReply
    fencing_tokens: dict[int, int]  # by shard: the epoch of its new owner

    def to_wire(self) -> Json:
        """The shards' numbers are texts: they are keys of a JSON object."""
        return {"shards": {str(shard): epoch for shard, epoch in self.fencing_tokens.items()}}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FenceRequest:
        """Read the request.

        :raises KeyError: without the shards.
        """
        return cls({int(shard): epoch for shard, epoch in body["shards"].items()})


@value
class EndedMessagesReply(Body):
    """One page of durable outcomes, in the order of shards and message ids."""

    acknowledgements: tuple[Acknowledgement, ...]
    disk_id: str
    has_more: bool

    def to_wire(self) -> Json:
        """A row each, and whether others follow."""
        rows = [acknowledgement.to_wire() for acknowledgement in self.acknowledgements]
        return {"ended": rows, "disk": self.disk_id, "more": self.has_more}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> EndedMessagesReply:
        """Read the reply.

        :raises KeyError: where a field is missing.
        """
        rows = tuple(Acknowledgement.from_wire(row) for row in body["ended"])
        return cls(rows, body["disk"], body["more"])


@value
class EndedMessagesRequest(Request[EndedMessagesReply]):
    """A shard's owner reads how messages of its shards ended, as far as this disk knows."""

    wire_tag: ClassVar[str] = "ended"
    reply_type: ClassVar[type[EndedMessagesReply]] = EndedMessagesReply
    shards: tuple[int, ...]
    after: tuple[int, str] = (-1, "")  # shard and message id of the last row of the page before

    def to_wire(self) -> Json:
        """The shards, and where the page begins."""
        return {"shards": list(self.shards), "after": list(self.after)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> EndedMessagesRequest:
        """Read the request.

        :raises KeyError: where a field is missing.
        """
        shard, message_id = body["after"]
        return cls(tuple(body["shards"]), (shard, message_id))


@value
class OutcomesReply(Body):
    """What is known of messages; those that are not here are unknown to this disk."""

    outcomes: dict[str, MessageOutcome]
    disk_id: str
    retain_until: dict[str, float] = field(default_factory=dict)  # by message that has ended: wall-clock s
    roster_index: int = 0  # the newest roster that this disk knows; 0 from an earlier version

    def to_wire(self) -> Json:
        """By message: its status and its receipt; `until` and `roster` only where they say something."""
        pairs = {message_id: outcome.to_pair() for message_id, outcome in self.outcomes.items()}
        body: Json = {"found": pairs, "disk": self.disk_id}
        if self.retain_until:
            body["until"] = self.retain_until
        if self.roster_index:
            body["roster"] = self.roster_index
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OutcomesReply:
        """Read the reply; without a disk it comes from none that is meant.

        :raises KeyError: without the outcomes.
        """
        outcomes = {
            message_id: MessageOutcome(status, receipt)
            for message_id, (status, receipt) in body["found"].items()
        }
        return cls(outcomes, body.get("disk", ""), body.get("until", {}), body.get("roster", 0))


@value
class OutcomesRequest(Request[OutcomesReply]):
    """Ask how messages ended, or whether they are open."""

    wire_tag: ClassVar[str] = "find"
    reply_type: ClassVar[type[OutcomesReply]] = OutcomesReply
    message_ids: tuple[str, ...]

    def to_wire(self) -> Json:
        """The list of them."""
        return {"ids": list(self.message_ids)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OutcomesRequest:
        """Read the request.

        :raises KeyError: without the list.
        """
        return cls(tuple(body["ids"]))
