"""What waits: messages until they are due, keys one message at a time, and who is next. No I/O."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Runtime, TimerHandle


class DeliveryQueue:
    """Messages in hand: gives each to `ready` once it is due and the first of its key."""

    def __init__(self, world: Runtime, ready: Callable[[Message], None]) -> None:
        self.world, self._ready = world, ready
        self.messages: dict[str, Message] = {}
        self.keys: dict[str, list[Message]] = {}  # by sequence key: those that have not ended, in their order
        self._due: list[tuple[float, int, Message]] = []
        self._numbers = itertools.count()
        self._timer: TimerHandle | None = None

    def add(self, message: Message) -> None:
        """Take one in hand."""
        assert message.id not in self.messages, "a message is in hand twice"
        self.messages[message.id] = message
        if message.key:
            line = self.keys.setdefault(message.key, [])
            bisect.insort(line, message, key=lambda it: it.order)
            if line[0] is not message:
                return
        self._when_due(message)

    def _when_due(self, message: Message) -> None:
        if message.out:
            return
        wait = message.due_at - self.world.wall_clock()
        if wait <= 0:
            self._offer(message)
            return
        heapq.heappush(self._due, (message.due_at, next(self._numbers), message))
        if self._due[0][2] is message:
            self._wake(wait)

    def _wake(self, wait: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.world.call_later(max(0.0, wait), self._fall_due)

    def _fall_due(self) -> None:
        self._timer = None
        now = self.world.wall_clock()
        while self._due and self._due[0][0] <= now:
            message = heapq.heappop(self._due)[2]
            self._offer(message)
        if self._due:
            self._wake(self._due[0][0] - now)

    def _offer(self, message: Message) -> None:
        if self.messages.get(message.id) is not message or message.ended or message.out:
            return
        line = self.keys.get(message.key, []) if message.key else []
        if line and (line[0] is not message or any(it.out for it in line)):
            return  # it is offered once those before it have ended
        self._ready(message)

    def again(self, message: Message) -> None:
        """One whose call did not end it is offered once more."""
        message.out = False
        if self.messages.get(message.id) is message and not message.ended:
            # One that was accepted before it may have come in hand meanwhile, and waited for this call's end.
            self._when_due(self.keys[message.key][0] if message.key else message)

    def end(self, message: Message) -> None:
        """One has ended: the next of its key may begin."""
        message.ended = True
        self.drop(message)

    def drop(self, message: Message) -> None:
        """It is no longer in hand."""
        if self.messages.get(message.id) is not message:
            return
        del self.messages[message.id]
        if message.key:
            line = self.keys[message.key]
            line.remove(message)
            if not line:
                del self.keys[message.key]
            elif message.ended:
                self._when_due(line[0])
