"""Queue of messages that wait for their due time or for earlier messages of their sequence key. No I/O."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Runtime, TimerHandle


class DeliveryQueue:
    """The open messages of the shards owned by this edge.

    Invariant: among messages with the same sequence key, only the first one is passed to `on_ready`, and only
    while no call of another one is in flight.

    Invariant: `on_ready` is not called while an earlier call of it has not returned, nor inside `batch`. It
    may end messages, which makes others ready: these are passed on afterwards, one by one.

    :param on_ready: called with each message once it is due and is the first of its key.
    """

    def __init__(self, runtime: Runtime, on_ready: Callable[[Message], None]) -> None:
        self._runtime, self._on_ready = runtime, on_ready
        self.messages: dict[str, Message] = {}  # by id
        self._by_key: dict[str, list[Message]] = {}  # by sequence key: the open messages in order
        self._scheduled: list[tuple[float, int, Message]] = []  # a heap: due time, tie-breaker, message
        self._tie_breakers = itertools.count()
        self._timer: TimerHandle | None = None
        self._ready: deque[Message] = deque()  # to be passed to `on_ready`
        self._is_offering = False

    @contextmanager
    def batch(self) -> Iterator[None]:
        """Offer no message before the block ends, which thus sees no other changes than its own."""
        was_offering, self._is_offering = self._is_offering, True
        try:
            yield
        finally:
            self._is_offering = was_offering
        self._offer_ready()

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
        self._ready.append(message)
        self._offer_ready()

    def _offer_ready(self) -> None:
        """Pass ready messages to `on_ready`, also those that become ready meanwhile."""
        if self._is_offering:
            return  # by the caller, once it is done with the present message
        self._is_offering = True
        try:
            while self._ready:
                message = self._ready.popleft()
                if self._is_ready(message):
                    self._on_ready(message)
        finally:
            self._is_offering = False

    def _is_ready(self, message: Message) -> bool:
        """Whether a due message is in the queue, not in flight, and the first of its key."""
        if self.messages.get(message.id) is not message or message.ended or message.in_flight:
            return False
        same_key = self._by_key.get(message.sequence_key, []) if message.sequence_key else []
        # It is offered again once the earlier messages of its key have ended.
        return not same_key or (same_key[0] is message and not any(queued.in_flight for queued in same_key))

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
