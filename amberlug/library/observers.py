"""Isolates the relay from errors in a host's observer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from amberlug.core.messages import Attempt, AttemptResult, End, Message
from amberlug.core.ports import Observer
from amberlug.policy import interface as api


class IsolatedObserver:
    """Forwards all events to an observer in a later iteration of the loop, in order.

    An error that the observer raises thus goes to the loop's exception handler and does not interrupt the
    relay's round. Objects that it is passed may have changed state by then; numbers and results never change.
    """

    def __init__(self, observer: Observer) -> None:
        self._observer, self._call_soon = observer, asyncio.get_running_loop().call_soon

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        """Forward the delivery policy's input events and the resulting actions."""
        self._call_soon(self._observer.round, now_us, events, actions)

    def taken(self, message: Message) -> None:
        """Forward that a message has been written to the journal."""
        self._call_soon(self._observer.taken, message)

    def attempt(self, attempt: Attempt) -> None:
        """Forward that an attempt has been recorded and is about to be sent."""
        self._call_soon(self._observer.attempt, attempt)

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        """Forward that an attempt has ended."""
        self._call_soon(self._observer.outcome, attempt, how)

    def ended(self, message: Message, end: End) -> None:
        """Forward the final outcome of a message."""
        self._call_soon(self._observer.ended, message, end)
