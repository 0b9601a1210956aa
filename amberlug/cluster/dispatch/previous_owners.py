"""What previous owners of shards announce: calls that they have in flight, and how these ended. No I/O."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import TypeVar

from amberlug.cluster.dispatch.messages import CallEnded, Handover
from amberlug.cluster.values import value

MAX_ANNOUNCED = 10_000  # entries of each kind that wait for their shard to be read; the oldest are dropped

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def evict_oldest(entries: MutableMapping[KeyT, ValueT]) -> None:
    """Drop the entries that came first until no more than `MAX_ANNOUNCED` are left."""
    while len(entries) > MAX_ANNOUNCED:
        del entries[next(iter(entries))]


@value
class ReceivedHandover:
    """What one previous owner has in flight."""

    in_flight: tuple[str, ...]
    address: str


class PreviousOwners:
    """Announcements of previous owners, until the shard that they belong to is read and after."""

    def __init__(self) -> None:
        self._handovers: dict[tuple[int, int], ReceivedHandover] = {}  # by shard and epoch of the new owner
        self._early_ends: dict[str, CallEnded] = {}  # by message: it was not read yet
        self._calls: dict[str, str] = {}  # by message that has a call in flight there: the owner's address

    def add_handover(self, handover: Handover, address: str) -> None:
        """Keep a handover until its shards are read."""
        received = ReceivedHandover(handover.in_flight, address)
        for shard, epoch in handover.epochs.items():
            self._handovers[shard, epoch] = received

    def evict_handovers(self) -> None:
        """Drop the oldest handovers where too many wait."""
        evict_oldest(self._handovers)

    def has_handover(self, shard: int, epoch: int) -> bool:
        """Whether a shard's handover for that epoch has come."""
        return (shard, epoch) in self._handovers

    def pop_handover(self, shard: int, epoch: int) -> dict[str, str]:
        """By message that its previous owner has in flight: that owner's address. It is given once."""
        received = self._handovers.pop((shard, epoch), None)
        return dict.fromkeys(received.in_flight, received.address) if received is not None else {}

    def add_early_end(self, ended: CallEnded) -> None:
        """Keep the end of a call until its message is read."""
        self._early_ends[ended.message_id] = ended
        evict_oldest(self._early_ends)

    def pop_early_end(self, message_id: str) -> CallEnded | None:
        """The end of a call that came before its message was read. It is given once."""
        return self._early_ends.pop(message_id, None)

    def add_call(self, message_id: str, address: str) -> None:
        """Wait for a call at a previous owner to end."""
        self._calls[message_id] = address

    def has_call(self, message_id: str) -> bool:
        """Whether a call is waited for."""
        return message_id in self._calls

    def remove_call(self, message_id: str) -> bool:
        """Wait for a call no longer.

        :returns: whether it was waited for.
        """
        return self._calls.pop(message_id, None) is not None

    def calls_at(self, address: str) -> list[str]:
        """The messages whose calls at the owner with an address are waited for, the oldest first."""
        return [message_id for message_id, owner in self._calls.items() if owner == address]
