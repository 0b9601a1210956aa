"""A host's observer, kept at a distance."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from amberlug.core.messages import Attempt, AttemptResult, End, Message
from amberlug.core.ports import Observer
from amberlug.policy import interface as api


class Shielded:
    """Shows all to an observer in a later turn of the loop, in order.

    Guards against one that raises: its error goes to the loop's handler, and the relay's round is not broken.
    What it is shown may have gone on by then; numbers and results never change.
    """

    def __init__(self, observer: Observer) -> None:
        self._observer, self._soon = observer, asyncio.get_running_loop().call_soon

    def round(self, now_us: int, events: Sequence[api.Event], actions: Sequence[api.Action]) -> None:
        self._soon(self._observer.round, now_us, events, actions)

    def taken(self, message: Message) -> None:
        self._soon(self._observer.taken, message)

    def attempt(self, attempt: Attempt) -> None:
        self._soon(self._observer.attempt, attempt)

    def outcome(self, attempt: Attempt, how: AttemptResult) -> None:
        self._soon(self._observer.outcome, attempt, how)

    def ended(self, message: Message, end: End) -> None:
        self._soon(self._observer.ended, message, end)
