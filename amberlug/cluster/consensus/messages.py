"""Messages between the members of the Raft group: one value class per message, with its wire format.

The wire tags and JSON field names are historical. They are part of the protocol between versions, so they
must not change, and appear in this module only.
"""

from __future__ import annotations

from typing import ClassVar

from amberlug.cluster.consensus.persistent_state import Entry
from amberlug.cluster.consensus.snapshot_transfer import TransferHeader
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import Body, Notification, Request
from amberlug.cluster.values import value


@value
class LeaderHeader:
    """The common header of all leader messages: the first arguments of AppendEntries (Raft, figure 2)."""

    term: int
    leader_id: str
    target_id: str  # the incarnation that the message is addressed to; empty if the peer did not send it
    commit_index: int

    def to_wire(self) -> Json:
        """The first fields of the JSON object."""
        return {
            "term": self.term,
            "me": self.leader_id,
            "to": self.target_id,
            "commit": self.commit_index,
        }

    @classmethod
    def from_wire(cls, body: Json) -> LeaderHeader:
        """Read the fields from the JSON object of a message."""
        return cls(body["term"], body["me"], body.get("to", ""), body["commit"])


@value
class AcknowledgedIndexes:
    """The highest log indexes that members are known to have acknowledged: input of the rollback guard."""

    of_target: int = 0
    of_members: dict[str, int] | None = None  # by member; None if only the target's own index is sent

    def to_wire(self) -> Json:
        """The last fields of the JSON object."""
        fields: Json = {"floor": self.of_target}
        if self.of_members is not None:
            fields["floors"] = self.of_members
        return fields

    @classmethod
    def from_wire(cls, body: Json) -> AcknowledgedIndexes:
        """Read the fields from the JSON object of a message."""
        return cls(body.get("floor", 0), body.get("floors"))


@value
class FollowerReply(Body):
    """A follower's reply to AppendEntries, or to a chunk of an entry or a snapshot."""

    success: bool
    term: int
    is_wrong_target: bool | None = None  # whether the message was addressed to another incarnation
    last_index: int | None = None  # if the consistency check failed: the leader retries after this index
    received_bytes: int | None = None  # of the transfer that a chunk belongs to

    def to_wire(self) -> Json:
        """The JSON object; optional fields that are None are omitted."""
        body: Json = {"ok": self.success, "term": self.term}
        if self.is_wrong_target is not None:
            body["stranger"] = self.is_wrong_target
        if self.last_index is not None:
            body["last"] = self.last_index
        if self.received_bytes is not None:
            body["had"] = self.received_bytes
        return body

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> FollowerReply:
        """Read a reply."""
        return cls(
            bool(body.get("ok")),
            body.get("term", 0),
            body.get("stranger"),
            body.get("last"),
            body.get("had"),
        )


@value
class AppendEntries(Request[FollowerReply]):
    """AppendEntries (Raft, section 5.3); without entries it is a heartbeat (section 5.2)."""

    wire_tag: ClassVar[str] = "vise.append"
    reply_type: ClassVar[type[FollowerReply]] = FollowerReply
    header: LeaderHeader
    previous_index: int
    previous_term: int
    entries: list[Entry]
    acknowledged: AcknowledgedIndexes

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        return {
            **self.header.to_wire(),
            "prev": self.previous_index,
            "prev_term": self.previous_term,
            "entries": self.entries,
            **self.acknowledged.to_wire(),
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AppendEntries:
        """Read a message."""
        entries = [Entry(entry[0], entry[1]) for entry in body["entries"]]
        return cls(
            LeaderHeader.from_wire(body),
            body["prev"],
            body["prev_term"],
            entries,
            AcknowledgedIndexes.from_wire(body),
        )


@value
class TransferChunk(Request[FollowerReply]):
    """A chunk of a long entry or of a snapshot (InstallSnapshot, Raft, section 7).

    Without data, it queries how much the follower has received, and also serves as a heartbeat.
    """

    wire_tag: ClassVar[str] = "vise.part"
    reply_type: ClassVar[type[FollowerReply]] = FollowerReply
    header: LeaderHeader
    transfer: TransferHeader
    previous_term: int  # of the entry before the transferred one
    offset_bytes: int
    data: bytes
    acknowledged: AcknowledgedIndexes

    @property
    def payload(self) -> bytes:
        """The bytes of the chunk."""
        return self.data

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        return {
            **self.header.to_wire(),
            **self.transfer.to_wire(),
            "before_term": self.previous_term,
            "offset": self.offset_bytes,
            **self.acknowledged.to_wire(),
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> TransferChunk:
        """Read a message."""
        return cls(
            LeaderHeader.from_wire(body),
            TransferHeader.from_wire(body),
            body["before_term"],
            body["offset"],
            payload,
            AcknowledgedIndexes.from_wire(body),
        )


@value
class VoteReply(Body):
    """The reply to a vote request."""

    granted: bool
    term: int  # the voter's current term; 0 if it is not allowed to vote at all
    election_term: int | None = None  # the term that the vote is for; None in most rejections

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        if self.election_term is None:
            return {"yes": self.granted, "term": self.term}
        return {"yes": self.granted, "of": self.election_term, "term": self.term}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> VoteReply:
        """Read a reply."""
        return cls(bool(body.get("yes")), body.get("term", 0), body.get("of"))


@value
class RequestVote(Request[VoteReply]):
    """RequestVote (Raft, section 5.2), also in the pre-vote phase (dissertation, section 9.6)."""

    wire_tag: ClassVar[str] = "vise.vote"
    reply_type: ClassVar[type[VoteReply]] = VoteReply
    term: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool
    candidate_id: str
    is_leadership_transfer: bool  # the leader requested this election, so the voter ignores the leader lease
    target_id: str
    acknowledged_index: int  # the highest log index that the voter is known to have acknowledged

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        return {
            "term": self.term,
            "last": self.last_log_index,
            "last_term": self.last_log_term,
            "trial": self.is_pre_vote,
            "me": self.candidate_id,
            "forced": self.is_leadership_transfer,
            "to": self.target_id,
            "floor": self.acknowledged_index,
        }

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> RequestVote:
        """Read a message."""
        return cls(
            body["term"],
            body["last"],
            body["last_term"],
            body["trial"],
            body["me"],
            bool(body.get("forced")),
            body.get("to", ""),
            body.get("floor", 0),
        )


@value
class AcknowledgedIndexReply(Body):
    """The highest log index that a member is known to have acknowledged."""

    index: int | None  # None if the request was addressed to another incarnation

    def to_wire(self) -> Json:
        """The JSON object; empty if there is no index."""
        return {} if self.index is None else {"floor": self.index}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgedIndexReply:
        """Read a reply."""
        return cls(body.get("floor"))


@value
class AcknowledgedIndexRequest(Request[AcknowledgedIndexReply]):
    """Sent by a member after startup: asks for the highest log index that it had acknowledged."""

    wire_tag: ClassVar[str] = "vise.floor"
    reply_type: ClassVar[type[AcknowledgedIndexReply]] = AcknowledgedIndexReply
    member_id: str
    target_id: str

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        return {"of": self.member_id, "to": self.target_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> AcknowledgedIndexRequest:
        """Read a message."""
        return cls(body["of"], body["to"])


@value
class TimeoutNow(Notification):
    """Sent by a stopping leader: the target starts an election at once (dissertation, section 3.10)."""

    wire_tag: ClassVar[str] = "vise.now"
    term: int
    target_id: str

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        return {"term": self.term, "to": self.target_id}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> TimeoutNow:
        """Read a message."""
        return cls(body["term"], body.get("to", ""))
