"""A message as the owner of its shard keeps it in memory, and the codec of its stored metadata."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from amberlug.cluster.interfaces import Headers
from amberlug.cluster.storage.outcomes import OPEN, MessageMetadata, MessageOutcome

MAX_SHARD_DIGITS = 4  # hexadecimal digits of a shard's number in a message id


class SequencePosition(NamedTuple):
    """Where a message stands among the messages of its sequence key; positions compare in that order."""

    epoch: int  # of the owner that admitted the message
    number: int  # counts what that owner admitted in the shard during its epoch


FIRST_POSITION = SequencePosition(0, 0)  # of a message that no owner has admitted yet


@dataclass(slots=True, eq=False)
class Message:
    """One message that was admitted, or is about to be. Times are seconds of the wall clock."""

    id: str
    shard: int
    attempt_id: str
    host: str
    method: str
    target: str
    route: str
    sequence_key: str  # the sequence key; empty where no order is asked for
    accepted_at: float  # when it arrived at an edge
    due_at: float  # no delivery before it
    headers: Headers = ()
    body: bytes | None = b""  # None while it has to be read from a replica
    body_bytes: int = 0
    position: SequencePosition = FIRST_POSITION
    holders: set[str] = field(default_factory=set)  # disks that acknowledged their replica
    possible_holders: set[str] = field(default_factory=set)  # disks that may have one
    keep_until: float = 0.0  # its outcome is kept until then at least
    failures: int = 0  # responses that count as failed attempts
    call_count: int = 0
    in_flight: bool = False  # a call of it is in flight, here or at the previous owner
    ended: bool = False
    service: str = ""
    rank: int = 0  # the route's precedence
    outcome: MessageOutcome = OPEN
    config_index: int = 0  # log index of the newest configuration at the edge that admitted it
    last_endpoint_id: str = ""  # where it was called last

    def encode_metadata(self) -> MessageMetadata:
        """Encode what is stored beside the body; the keys are the format of the stored rows."""
        return {
            "a": self.attempt_id,
            "h": self.host,
            "m": self.method,
            "t": self.target,
            "r": self.route,
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
        """Decode a message from what `encode_metadata` encoded.

        :param body: the body, or None where it was not sent along.
        :param body_bytes: bytes of the body, also where it was not sent along.
        :raises KeyError: where a field is missing.
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
    """The shard of a sequence key, out of so many."""
    return zlib.crc32(sequence_key.encode()) % count


def name_of(shard: int, attempt_id: str) -> str:
    """The id of a message. It carries the shard, so that any edge finds the owner without a lookup."""
    return f"{shard:x}-{attempt_id}"


def shard_in(message_id: str) -> int:
    """The shard that a message id carries; -1 where the id is none that `name_of` made."""
    digits, separator, _ = message_id.partition("-")
    try:
        return int(digits, 16) if separator and len(digits) <= MAX_SHARD_DIGITS else -1
    except ValueError:
        return -1
