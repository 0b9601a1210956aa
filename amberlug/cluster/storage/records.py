"""What a storage node keeps, in memory and row by row on its disk. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.cluster.interfaces import OnWritten
from amberlug.cluster.storage.outcomes import OPEN, MessageMetadata, MessageOutcome
from amberlug.cluster.values import value


@dataclass(slots=True)
class StoredMessage:
    """What a storage node knows of a message, without its body.

    A message whose outcome came here without a replica has neither a position nor metadata.
    """

    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    size_bytes: int
    outcome: MessageOutcome = OPEN
    retain_until: float = 0.0  # wall-clock seconds: the outcome of an ended message is known until then
    is_durable: bool = True  # False while its row is being written
    is_outcome_durable: bool = True  # False until the row of its outcome is synced

    @property
    def has_replica(self) -> bool:
        """Whether the message itself came here, not only its outcome: epochs begin at 1."""
        return self.accepted_epoch > 0

    @property
    def durable_outcome(self) -> MessageOutcome:
        """The outcome as it would be after a restart: what others may be told."""
        return self.outcome if self.is_outcome_durable else OPEN


@dataclass(slots=True)
class StoredContents:
    """The state of one disk: what a storage node reads at its start, and then keeps up to date.

    :param fencing_tokens: by shard, the largest epoch of an owner that has fenced it.
    :param enrolled_index: the index of the newest roster that this disk was seen in; 0 while replicas may not
        be written to it.
    :param corrupt_ids: messages whose checksum is wrong; they are not among `messages`.
    """

    disk_id: str
    fencing_tokens: dict[int, int] = field(default_factory=dict)
    messages: dict[str, StoredMessage] = field(default_factory=dict)
    enrolled_index: int = 0
    corrupt_ids: list[str] = field(default_factory=list)

    def is_fenced(self, shard: int, epoch: int) -> bool:
        """Whether a later owner of the shard has been here."""
        return epoch < self.fencing_tokens.get(shard, 0)


@value
class ReplicaRow:
    """A message that is open, in place of what the disk has of it."""

    message_id: str
    shard: int
    accepted_epoch: int
    sequence: int
    metadata: MessageMetadata
    content: bytes


@value
class OutcomeRow:
    """A message has ended; its body is deleted unless it is dead."""

    message_id: str
    shard: int
    outcome: MessageOutcome
    retain_until: float  # wall-clock seconds


@value
class FenceRow:
    """The fencing token of a shard."""

    shard: int
    epoch: int


@value
class EnrollmentRow:
    """The newest roster that the disk was seen in."""

    roster_index: int


@value
class NewDiskRow:
    """The disk is emptied and continues under another name. Fencing tokens stay: they can only grow."""

    disk_id: str


@value
class DeletionRow:
    """An ended message is forgotten."""

    message_id: str


StorageRow = ReplicaRow | OutcomeRow | FenceRow | EnrollmentRow | NewDiskRow | DeletionRow


class DurableStore(Protocol):
    """A disk of messages as the decisions use it. Writes and reads take effect in the order of the calls."""

    def write(self, rows: Sequence[StorageRow], on_written: OnWritten, /) -> None:
        """Write rows in one transaction.

        :param on_written: called once they are synced, or with the reason why none of them is there.
        """

    def read(self, message_ids: Sequence[str], on_read: Callable[[dict[str, bytes]], None], /) -> None:
        """Read bodies; messages without an intact one are left out of what `on_read` is given."""
