"""The wire messages of storage nodes: replica writes, outcomes, fencing and lookups. No I/O.

A shard's owner writes replicas and reads them after a failover; edges look up messages. The fencing token of
a shard is the epoch of its ownership: it increases with each owner, and a storage node rejects replicas from
owners with a smaller one.
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
    """The result of a replica write."""

    STORED = "ok"  # the replica is durable, or the message had already ended
    FENCED = "fenced"  # a later owner has fenced the shard
    STORAGE_FULL = "full"  # the disk could not store it
    NOT_ENROLLED = "early"  # the disk does not know yet which owners to fence


@value
class ReplicaWriteReply(Body):
    """The reply to a `ReplicaWriteRequest`."""

    result: ReplicaWriteResult
    disk_id: str = ""  # the disk that stored it
    outcome: MessageOutcome = OPEN  # of a message that ended under an earlier owner
    fencing_token: int = 0  # the larger token that fenced the write

    def to_wire(self) -> Json:
        """Encode `ok` and the disk, with `end` and `seal` if the message has ended; or else the reason."""
        if self.result is ReplicaWriteResult.FENCED:
            return {"fenced": self.fencing_token}
        if self.result is not ReplicaWriteResult.STORED:
            return {self.result.value: True}
        return {"ok": True, "disk": self.disk_id, **self.outcome.to_fields()}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReplicaWriteReply:
        """Decode the reply; an unknown reason counts as `NOT_ENROLLED`, which is retried soon."""
        if body.get("ok"):
            return cls(ReplicaWriteResult.STORED, body["disk"], MessageOutcome.from_fields(body))
        if body.get("fenced"):
            return cls(ReplicaWriteResult.FENCED, fencing_token=body["fenced"])
        return cls(ReplicaWriteResult.STORAGE_FULL if body.get("full") else ReplicaWriteResult.NOT_ENROLLED)


@value
class ReplicaWriteRequest(Request[ReplicaWriteReply]):
    """Writes a durable replica of a message on behalf of its shard's owner."""

    wire_tag: ClassVar[str] = "put"
    reply_type: ClassVar[type[ReplicaWriteReply]] = ReplicaWriteReply
    message_id: str
    shard: int
    epoch: int  # the writer's fencing token
    # The epoch in which the message was accepted, which for a repaired replica is an earlier one.
    accepted_epoch: int
    sequence: int  # its number in that epoch; both together order the messages of a shard
    metadata: MessageMetadata
    content: bytes  # the message's body

    @property
    def payload(self) -> bytes:
        """The message's body."""
        return self.content

    def to_wire(self) -> Json:
        """Encode the fields in wire order."""
        return {
            "id": self.message_id,
            "shard": self.shard,
            "epoch": self.epoch,
            "order": [self.accepted_epoch, self.sequence],
            "meta": self.metadata,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> ReplicaWriteRequest:
        """Decode the request.

        :raises KeyError: if a field is missing.
        """
        accepted_epoch, sequence = body["order"]
        return cls(body["id"], body["shard"], body["epoch"], accepted_epoch, sequence, body["meta"], payload)


@value
class Acknowledgement:
    """The outcome of an ended message, and how long to retain it, in wall-clock seconds."""

    message_id: str
    shard: int
    outcome: MessageOutcome
    retain_until: float

    def to_wire(self) -> list[object]:
        """Encode as a row."""
        return [self.message_id, self.shard, *self.outcome.to_pair(), self.retain_until]

    @classmethod
    def from_wire(cls, row: list[Any]) -> Acknowledgement:
        """Decode a row.

        :raises ValueError: if it does not have five values.
        """
        message_id, shard, status, receipt, retain_until = row
        return cls(message_id, shard, MessageOutcome(status, receipt), retain_until)


@value
class AcknowledgeReply(Body):
    """The reply to an `AcknowledgeRequest`: whether the outcomes are durable."""

    durable: bool
    disk_id: str = ""  # the replying disk; not sent by storage nodes of earlier versions

    def is_durable_on(self, disk: str) -> bool:
        """Whether they are durable on this disk, and not on one that has replaced it."""
        return self.durable and self.disk_id in ("", disk)

    def to_wire(self) -> Json:
        """Encode `ok`, and the disk if they are durable."""
        return {"ok": self.durable, **({"disk": self.disk_id} if self.durable and self.disk_id else {})}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgeReply:
        """Decode the reply; without `ok` they are not durable."""
        return cls(bool(body.get("ok")), body.get("disk", ""))


@value
class AcknowledgeRequest(Request[AcknowledgeReply]):
    """Records the outcomes of ended messages. An empty request is a probe."""

    wire_tag: ClassVar[str] = "marks"
    reply_type: ClassVar[type[AcknowledgeReply]] = AcknowledgeReply
    acknowledgements: tuple[Acknowledgement, ...] = ()

    def to_wire(self) -> Json:
        """Encode each outcome as a row."""
        return {"marks": [acknowledgement.to_wire() for acknowledgement in self.acknowledgements]}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgeRequest:
        """Decode the request.

        :raises KeyError: if the list is missing.
        """
        return cls(tuple(Acknowledgement.from_wire(row) for row in body["marks"]))


@value
class OpenMessage:
    """An open message as stored on a storage node."""

    message_id: str
    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    size_bytes: int
    content: bytes | None  # None if the reply would be too large; it is then read separately

    def to_wire(self) -> list[object]:
        """Encode as a row of the reply; the body size is -1 if the body is omitted."""
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
    """The open messages of the fenced shards, sent once the fencing tokens are durable."""

    durable: bool
    disk_id: str = ""
    rejected: dict[int, int] = field(default_factory=dict)  # by shard that was not fenced: its larger token
    open_messages: tuple[OpenMessage, ...] = ()

    @property
    def payload(self) -> bytes:
        """The included bodies, concatenated in row order."""
        return b"".join(message.content for message in self.open_messages if message.content is not None)

    def to_wire(self) -> Json:
        """Encode the fields; only `ok` if the tokens are not durable."""
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
        """Decode the reply and split the payload into bodies.

        :raises KeyError: if a field of a durable fence is missing.
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
    """Fences older owners of shards on behalf of a new owner, and requests their open messages."""

    wire_tag: ClassVar[str] = "fence"
    reply_type: ClassVar[type[FenceReply]] = FenceReply
    fencing_tokens: dict[int, int]  # by shard: the epoch of its new owner

    def to_wire(self) -> Json:
        """Encode the tokens; shard numbers become strings because they are JSON object keys."""
        return {"shards": {str(shard): epoch for shard, epoch in self.fencing_tokens.items()}}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FenceRequest:
        """Decode the request.

        :raises KeyError: if the shards are missing.
        """
        return cls({int(shard): epoch for shard, epoch in body["shards"].items()})


@value
class EndedMessagesReply(Body):
    """One page of durable outcomes, ordered by shard and message id."""

    acknowledgements: tuple[Acknowledgement, ...]
    disk_id: str
    has_more: bool

    def to_wire(self) -> Json:
        """Encode the rows, and whether more follow."""
        rows = [acknowledgement.to_wire() for acknowledgement in self.acknowledgements]
        return {"ended": rows, "disk": self.disk_id, "more": self.has_more}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> EndedMessagesReply:
        """Decode the reply.

        :raises KeyError: if a field is missing.
        """
        rows = tuple(Acknowledgement.from_wire(row) for row in body["ended"])
        return cls(rows, body["disk"], body["more"])


@value
class EndedMessagesRequest(Request[EndedMessagesReply]):
    """Reads a page of the outcomes that a disk has for some shards."""

    wire_tag: ClassVar[str] = "ended"
    reply_type: ClassVar[type[EndedMessagesReply]] = EndedMessagesReply
    shards: tuple[int, ...]
    after: tuple[int, str] = (-1, "")  # shard and message id of the previous page's last row

    def to_wire(self) -> Json:
        """Encode the shards and the start of the page."""
        return {"shards": list(self.shards), "after": list(self.after)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> EndedMessagesRequest:
        """Decode the request.

        :raises KeyError: if a field is missing.
        """
        shard, message_id = body["after"]
        return cls(tuple(body["shards"]), (shard, message_id))


@value
class OutcomesReply(Body):
    """The status of messages; messages that are not included are unknown to this disk."""

    outcomes: dict[str, MessageOutcome]
    disk_id: str
    retain_until: dict[str, float] = field(default_factory=dict)  # by ended message: wall-clock seconds
    roster_index: int = 0  # newest roster known to this disk; 0 if the node has an earlier version

    def to_wire(self) -> Json:
        """Encode status and receipt by message; `until` and `roster` are omitted if empty or 0."""
        pairs = {message_id: outcome.to_pair() for message_id, outcome in self.outcomes.items()}
        body: Json = {"found": pairs, "disk": self.disk_id}
        if self.retain_until:
            body["until"] = self.retain_until
        if self.roster_index:
            body["roster"] = self.roster_index
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OutcomesReply:
        """Decode the reply; one without a disk id is from an unknown disk.

        :raises KeyError: if the outcomes are missing.
        """
        outcomes = {
            message_id: MessageOutcome(status, receipt)
            for message_id, (status, receipt) in body["found"].items()
        }
        return cls(outcomes, body.get("disk", ""), body.get("until", {}), body.get("roster", 0))


@value
class OutcomesRequest(Request[OutcomesReply]):
    """Requests the status of messages."""

    wire_tag: ClassVar[str] = "find"
    reply_type: ClassVar[type[OutcomesReply]] = OutcomesReply
    message_ids: tuple[str, ...]

    def to_wire(self) -> Json:
        """Encode the list of message ids."""
        return {"ids": list(self.message_ids)}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> OutcomesRequest:
        """Decode the request.

        :raises KeyError: if the list is missing.
        """
        return cls(tuple(body["ids"]))
