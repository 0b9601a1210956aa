"""The state of a storage node: its in-memory form and the rows on its disk. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.cluster.interfaces import OnWritten
from amberlug.cluster.storage.outcomes import OPEN, MessageMetadata, MessageOutcome
from amberlug.cluster.values import value


@dataclass(slots=True)
class StoredMessage:
    """A message on a storage node, without its body.

    A message of which only the outcome was stored has neither a position nor metadata.
    """

    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    size_bytes: int
    outcome: MessageOutcome = OPEN
    retain_until: float = 0.0  # end of the outcome's retention, in wall-clock seconds
    is_durable: bool = True  # False while its row is being written
    is_outcome_durable: bool = True  # False while the row of its outcome is not synced

    @property
    def has_replica(self) -> bool:
        """Whether a replica was stored, and not only the outcome; epochs start at 1."""
        return self.accepted_epoch > 0

    @property
    def durable_outcome(self) -> MessageOutcome:
        """The outcome as it would be after a restart; only this may be reported to others."""
        return self.outcome if self.is_outcome_durable else OPEN


@dataclass(slots=True)
class StoredContents:
    """The state of one disk, which a storage node reads at startup and then keeps up to date.

    :param fencing_tokens: by shard, the largest epoch of an owner that has fenced it.
    :param enrolled_index: the index of the newest roster that contains this disk; 0 while it does not accept
        replicas.
    :param corrupt_ids: messages with a wrong checksum; they are not in `messages`.
    """

    disk_id: str
    fencing_tokens: dict[int, int] = field(default_factory=dict)
    messages: dict[str, StoredMessage] = field(default_factory=dict)
    enrolled_index: int = 0
    corrupt_ids: list[str] = field(default_factory=list)

    def is_fenced(self, shard: int, epoch: int) -> bool:
        """Whether a later owner has fenced the shard against this epoch."""
        return epoch < self.fencing_tokens.get(shard, 0)


@value
class ReplicaRow:
    """Stores an open message, replacing any earlier row of it."""

    message_id: str
    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    content: bytes


@value
class OutcomeRow:
    """Stores the outcome of a message; its body is deleted unless the message is dead."""

    message_id: str
    shard: int
    outcome: MessageOutcome
    retain_until: float  # wall-clock seconds


@value
class FenceRow:
    """Stores the fencing token of a shard."""

    shard: int
    epoch: int


@value
class EnrollmentRow:
    """Stores the newest roster that contains the disk."""

    roster_index: int


@value
class NewDiskRow:
    """Wipes the disk and assigns a new id. Fencing tokens are kept because they must never decrease."""

    disk_id: str


@value
class DeletionRow:
    """Deletes an ended message."""

    message_id: str


StorageRow = ReplicaRow | OutcomeRow | FenceRow | EnrollmentRow | NewDiskRow | DeletionRow


class DurableStore(Protocol):
    """The disk as the I/O-free code uses it. Writes and reads take effect in call order."""

    def write(self, rows: Sequence[StorageRow], on_written: OnWritten, /) -> None:
        """Write rows in one transaction.

        :param on_written: called once they are synced, or with the reason why none of them is stored.
        """

    def read(self, message_ids: Sequence[str], on_read: Callable[[dict[str, bytes]], None], /) -> None:
        """Read bodies; messages without an intact body are omitted from the result."""
