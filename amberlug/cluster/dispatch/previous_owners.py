"""Tracks what previous owners of shards report: their calls in flight and how these ended. No I/O."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import TypeVar

from amberlug.cluster.dispatch.messages import CallEnded, Handover
from amberlug.cluster.values import value

MAX_ENTRIES_PER_KIND = 10_000  # entries that wait for a shard to be read; the oldest are evicted

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def evict_oldest(entries: MutableMapping[KeyT, ValueT]) -> None:
    """Remove the oldest entries until at most `MAX_ENTRIES_PER_KIND` remain."""
    while len(entries) > MAX_ENTRIES_PER_KIND:
        del entries[next(iter(entries))]


@value
class ReceivedHandover:
    """The calls that one previous owner has in flight, and its address."""

    in_flight: tuple[str, ...]
    address: str


class PreviousOwners:
    """The reports of previous owners, kept until and after the recovery of their shards."""

    def __init__(self) -> None:
        self._handovers: dict[tuple[int, int], ReceivedHandover] = {}  # by shard and epoch of the new owner
        self._early_ends: dict[str, CallEnded] = {}  # by message that was not read yet
        self._calls: dict[str, str] = {}  # by message: address of the previous owner that is calling it

    def add_handover(self, handover: Handover, address: str) -> None:
        """Store a handover until its shards are read."""
        received = ReceivedHandover(handover.in_flight, address)
        for shard, epoch in handover.epochs.items():
            self._handovers[shard, epoch] = received

    def evict_handovers(self) -> None:
        """Remove the oldest handovers if there are too many."""
        evict_oldest(self._handovers)

    def has_handover(self, shard: int, epoch: int) -> bool:
        """Whether the handover of a shard for that epoch was received."""
        return (shard, epoch) in self._handovers

    def pop_handover(self, shard: int, epoch: int) -> dict[str, str]:
        """Remove a handover; return the previous owner's address by each message that it has in flight."""
        received = self._handovers.pop((shard, epoch), None)
        return dict.fromkeys(received.in_flight, received.address) if received is not None else {}

    def add_early_end(self, ended: CallEnded) -> None:
        """Store the end of a call until its message is read."""
        self._early_ends[ended.message_id] = ended
        evict_oldest(self._early_ends)

    def pop_early_end(self, message_id: str) -> CallEnded | None:
        """Remove and return the end of a call that was reported before its message was read."""
        return self._early_ends.pop(message_id, None)

    def add_call(self, message_id: str, address: str) -> None:
        """Note that a previous owner has a call of a message in flight."""
        self._calls[message_id] = address

    def has_call(self, message_id: str) -> bool:
        """Whether the end of a message's call is awaited."""
        return message_id in self._calls

    def remove_call(self, message_id: str) -> bool:
        """Stop waiting for the end of a message's call.

        :returns: whether it was awaited.
        """
        return self._calls.pop(message_id, None) is not None

    def calls_at(self, address: str) -> list[str]:
        """The messages whose calls at the owner with this address are awaited, the oldest first."""
        return [message_id for message_id, owner in self._calls.items() if owner == address]
