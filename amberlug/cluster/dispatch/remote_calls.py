"""The calls of messages that edge nodes other than the owner of the message have in flight. No I/O."""

from __future__ import annotations

from collections.abc import Callable, MutableMapping
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

from amberlug.cluster.dispatch.message import shard_of_message
from amberlug.cluster.dispatch.messages import CallEnded

MAX_ENTRIES = 10_000  # reports that wait for a shard to be recovered; the oldest are evicted
OWN_CALLER = ""  # stands for this node in place of the address of the caller

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def evict_oldest(entries: MutableMapping[KeyT, ValueT]) -> None:
    """Remove the oldest entries until at most `MAX_ENTRIES` remain."""
    while len(entries) > MAX_ENTRIES:
        del entries[next(iter(entries))]


@dataclass(slots=True)
class RemoteCall:
    """A call that the owner of its message waits for.

    :param ends_by: the latest time at which it can still run; monotonic clock, in seconds.
    :param epoch: of the ownership in which the shard's owner was last told of it.
    :param is_presumed: whether the previous owner has not said yet which calls it has in flight.
    """

    ends_by: float
    epoch: int
    is_presumed: bool = False


class CallKey(NamedTuple):
    """Identifies a call: a message has at most one at each node."""

    message_id: str
    caller: str


class RemoteCalls:
    """Calls by message and address of the caller, and the ends that were reported before recovery."""

    def __init__(self) -> None:
        self._calls: dict[str, dict[str, RemoteCall]] = {}
        self._early_ends: dict[str, list[CallEnded]] = {}  # of messages that were not recovered yet

    def add(self, key: CallKey, call: RemoteCall) -> bool:
        """Note a call; the later end counts if it is known already.

        :returns: whether it is new.
        """
        callers = self._calls.setdefault(key.message_id, {})
        known = callers.get(key.caller)
        if known is None or known.is_presumed:
            callers[key.caller] = call
        elif not call.is_presumed:
            known.ends_by, known.epoch = max(known.ends_by, call.ends_by), max(known.epoch, call.epoch)
        return known is None

    def get(self, key: CallKey) -> RemoteCall | None:
        """The call with that key; None if it is not known, or has ended."""
        return self._calls.get(key.message_id, {}).get(key.caller)

    def has_calls_of(self, message_id: str) -> bool:
        """Whether a call of the message may still run."""
        return message_id in self._calls

    def remove(self, key: CallKey) -> bool:
        """Remove a call that has ended.

        :returns: whether it was known.
        """
        callers = self._calls.get(key.message_id, {})
        if callers.pop(key.caller, None) is None:
            return False
        if not callers:
            del self._calls[key.message_id]
        return True

    def forget_message(self, message_id: str) -> None:
        """Remove all calls of a message that has ended."""
        self._calls.pop(message_id, None)

    def select(self, predicate: Callable[[CallKey, RemoteCall], bool]) -> list[tuple[CallKey, RemoteCall]]:
        """The calls for which the predicate is true, the oldest first."""
        return [
            (key, call)
            for message_id, callers in self._calls.items()
            for caller, call in callers.items()
            if predicate(key := CallKey(message_id, caller), call)
        ]

    # -- ends of calls, reported before their messages were recovered

    def add_early_end(self, ended: CallEnded) -> None:
        """Store the end of a call until its message is recovered."""
        self._early_ends.setdefault(ended.message_id, []).append(ended)
        evict_oldest(self._early_ends)

    def pop_early_ends(self, message_id: str) -> list[CallEnded]:
        """Remove and return the ends of a message's calls that were reported before its recovery."""
        return self._early_ends.pop(message_id, [])

    def pop_early_ends_if(self, predicate: Callable[[int, int], bool]) -> list[CallEnded]:
        """Remove and return the early ends whose shard and epoch fulfil the predicate."""
        selected = [
            ended
            for ends in self._early_ends.values()
            for ended in ends
            if predicate(shard_of_message(ended.message_id), ended.epoch)
        ]
        for ended in selected:
            self._early_ends[ended.message_id].remove(ended)
            if not self._early_ends[ended.message_id]:
                del self._early_ends[ended.message_id]
        return selected
