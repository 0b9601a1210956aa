"""Queue of messages that wait for their due time or for earlier messages of their sequence key. No I/O."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Runtime, TimerHandle


class DeliveryQueue:
    """The open messages of the shards owned by this edge.

    Invariant: among messages with the same sequence key, only the first one is passed to `on_ready`, and only
    while no call of another one is in flight.

    :param on_ready: called with each message once it is due and is the first of its key.
    """

    def __init__(self, runtime: Runtime, on_ready: Callable[[Message], None]) -> None:
        self._runtime, self._on_ready = runtime, on_ready
        self.messages: dict[str, Message] = {}  # by id
        self._by_key: dict[str, list[Message]] = {}  # by sequence key: the open messages in order
        self._scheduled: list[tuple[float, int, Message]] = []  # a heap: due time, tie-breaker, message
        self._tie_breakers = itertools.count()
        self._timer: TimerHandle | None = None

    def add(self, message: Message) -> None:
        """Add a message that is not in the queue yet."""
        assert message.id not in self.messages, "message is already queued"
        self.messages[message.id] = message
        if message.sequence_key:
            same_key = self._by_key.setdefault(message.sequence_key, [])
            bisect.insort(same_key, message, key=lambda queued: queued.position)
            if same_key[0] is not message:
                return
        self._schedule(message)

    def _schedule(self, message: Message) -> None:
        if message.in_flight:
            return
        delay_s = message.due_at - self._runtime.wall_clock()
        if delay_s <= 0:
            self._offer(message)
            return
        heapq.heappush(self._scheduled, (message.due_at, next(self._tie_breakers), message))
        if self._scheduled[0][2] is message:
            self._set_timer(delay_s)

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._runtime.call_later(max(0.0, delay_s), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now = self._runtime.wall_clock()
        while self._scheduled and self._scheduled[0][0] <= now:
            message = heapq.heappop(self._scheduled)[2]
            self._offer(message)
        if self._scheduled:
            self._set_timer(self._scheduled[0][0] - now)

    def _offer(self, message: Message) -> None:
        """Pass a due message to `on_ready` unless it has left the queue or is not the first of its key."""
        if self.messages.get(message.id) is not message or message.ended or message.in_flight:
            return
        same_key = self._by_key.get(message.sequence_key, []) if message.sequence_key else []
        if same_key and (same_key[0] is not message or any(queued.in_flight for queued in same_key)):
            return  # offered again once the earlier messages of its key have ended
        self._on_ready(message)

    def requeue(self, message: Message) -> None:
        """Offer a message again after a call that did not end it."""
        message.in_flight = False
        if self.messages.get(message.id) is message and not message.ended:
            # A message with an earlier position may have been added during the call and waits for its end.
            self._schedule(self._by_key[message.sequence_key][0] if message.sequence_key else message)

    def end(self, message: Message) -> None:
        """Remove a message that has ended, and offer the next one of its key."""
        message.ended = True
        self.drop(message)

    def drop(self, message: Message) -> None:
        """Remove a message if it is in the queue."""
        if self.messages.get(message.id) is not message:
            return
        del self.messages[message.id]
        if not message.sequence_key:
            return
        same_key = self._by_key[message.sequence_key]
        same_key.remove(message)
        if not same_key:
            del self._by_key[message.sequence_key]
        elif message.ended:
            self._schedule(same_key[0])
