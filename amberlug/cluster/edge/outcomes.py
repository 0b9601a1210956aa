"""Outcomes assigned by an edge node itself, and a memory of recent outcomes."""

from __future__ import annotations

from amberlug.cluster.storage.outcomes import MessageOutcome
from amberlug.cluster.values import value

DROPPED = MessageOutcome("dropped")  # the message's route is no longer configured
EXPIRED = MessageOutcome("expired")  # the retention time of the message has passed
NOT_FOUND = MessageOutcome("none")  # never stored; used only in answers to lookups


@value
class _RecordedOutcome:
    outcome: MessageOutcome
    recorded_at: float  # monotonic clock, in seconds


class RecentOutcomes:
    """Outcomes of recently ended messages by message id, in the order in which they were first recorded."""

    def __init__(self) -> None:
        self._recorded: dict[str, _RecordedOutcome] = {}

    def __contains__(self, message_id: str) -> bool:
        return message_id in self._recorded

    def get(self, message_id: str) -> MessageOutcome | None:
        """The outcome of a message; None if it is not remembered."""
        recorded = self._recorded.get(message_id)
        return recorded.outcome if recorded is not None else None

    def record(self, message_id: str, outcome: MessageOutcome, now: float) -> None:
        """Remember the outcome of a message.

        :param now: monotonic time in seconds.
        """
        self._recorded[message_id] = _RecordedOutcome(outcome, now)

    def forget_before(self, cutoff: float) -> None:
        """Forget the outcomes recorded before a monotonic time in seconds."""
        while self._recorded:
            oldest_id = next(iter(self._recorded))
            if self._recorded[oldest_id].recorded_at >= cutoff:
                return
            del self._recorded[oldest_id]
