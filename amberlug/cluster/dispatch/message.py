"""The in-memory representation of a message at its shard's owner, and the codec of its stored metadata."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from amberlug.cluster.http.routing import Route
from amberlug.cluster.interfaces import Headers
from amberlug.cluster.storage.outcomes import OPEN, MessageMetadata, MessageOutcome

MAX_SHARD_DIGITS = 4  # hexadecimal digits of a shard's number in a message id


class SequencePosition(NamedTuple):
    """The position of a message in the order of its sequence key; positions are comparable."""

    epoch: int  # of the owner that admitted the message
    number: int  # counts the messages that this owner admitted to the shard in its epoch


FIRST_POSITION = SequencePosition(0, 0)  # of a message that has not been admitted yet


@dataclass(slots=True, eq=False)
class Message:
    """A message that is admitted or being admitted. Times are wall-clock, in seconds."""

    id: str
    shard: int
    attempt_id: str
    host: str
    method: str
    target: str
    accepted_route: str  # the name of its route when it was accepted; stored, but not used for routing
    sequence_key: str  # empty if no ordering is requested
    accepted_at: float  # when it arrived at an edge
    due_at: float  # it is not delivered earlier
    headers: Headers = ()
    body: bytes | None = b""  # None until it is read from a replica
    body_bytes: int = 0
    position: SequencePosition = FIRST_POSITION
    holders: set[str] = field(default_factory=set)  # disks that acknowledged a replica
    possible_holders: set[str] = field(default_factory=set)  # disks that may have a replica
    keep_until: float = 0.0  # the earliest time at which its outcome may be deleted
    failures: int = 0  # number of failed attempts
    call_count: int = 0
    in_flight: bool = False  # it is not to be called now: a call is in flight, here or at another edge
    call_ends_by: float | None = None  # when the call that is in flight here ends at the latest; monotonic
    ended: bool = False
    route: Route | None = None  # by the newest configuration here; None if that has none for it
    outcome: MessageOutcome = OPEN
    config_index: int = 0  # log index of the configuration by which an edge accepted it
    last_endpoint_id: str = ""  # the endpoint of the latest call

    @property
    def service(self) -> str:
        """The service that it is delivered to; empty without a route."""
        return self.route.service if self.route is not None else ""

    @property
    def rank(self) -> int:
        """The precedence of its route."""
        return self.route.rank if self.route is not None else 0

    def encode_metadata(self) -> MessageMetadata:
        """Encode the metadata stored with the body; the keys are part of the storage format."""
        return {
            "a": self.attempt_id,
            "h": self.host,
            "m": self.method,
            "t": self.target,
            "r": self.accepted_route,
            "k": self.sequence_key,
            "w": round(self.accepted_at, 4),
            "d": round(self.due_at, 4),
            "x": self.headers,
            "c": self.config_index,
        }

    @classmethod
    def decode(
        cls, message_id: str, shard: int, metadata: MessageMetadata, body: bytes | None, body_bytes: int
    ) -> Self:
        """Decode a message from the result of `encode_metadata`.

        :param body: the body, or None if it was not included.
        :param body_bytes: the size of the body, also if it was not included.
        :raises KeyError: if a field is missing.
        """
        return cls(
            message_id,
            shard,
            metadata["a"],
            metadata["h"],
            metadata["m"],
            metadata["t"],
            metadata["r"],
            metadata["k"],
            metadata["w"],
            metadata["d"],
            tuple((name, value) for name, value in metadata["x"]),
            body,
            body_bytes,
            config_index=metadata["c"],
        )


def shard_of(sequence_key: str, count: int) -> int:
    """The shard that a sequence key belongs to, out of `count` shards."""
    return zlib.crc32(sequence_key.encode()) % count


def message_id_of(shard: int, attempt_id: str) -> str:
    """The id of a message. It contains the shard so that any edge finds the owner without a lookup."""
    return f"{shard:x}-{attempt_id}"


def shard_of_message(message_id: str) -> int:
    """The shard number contained in a message id; -1 if the id is malformed."""
    digits, separator, _ = message_id.partition("-")
    try:
        return int(digits, 16) if separator and len(digits) <= MAX_SHARD_DIGITS else -1
    except ValueError:
        return -1
