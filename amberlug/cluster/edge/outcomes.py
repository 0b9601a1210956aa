"""The outcomes that an edge node itself gives messages, and those that it remembers."""

from __future__ import annotations

from amberlug.cluster.storage.outcomes import MessageOutcome
from amberlug.cluster.values import value

DROPPED = MessageOutcome("dropped")  # its route is no longer configured
EXPIRED = MessageOutcome("expired")  # its retention time is over
NOT_FOUND = MessageOutcome("none")  # never stored: only in answers to lookups


@value
class _RecordedOutcome:
    outcome: MessageOutcome
    recorded_at: float  # monotonic clock, in seconds


class RecentOutcomes:
    """Outcomes of messages that ended of late, by message id, in the order of their first recording."""

    def __init__(self) -> None:
        self._recorded: dict[str, _RecordedOutcome] = {}

    def __contains__(self, message_id: str) -> bool:
        return message_id in self._recorded

    def get(self, message_id: str) -> MessageOutcome | None:
        """The outcome of a message, where it is remembered."""
        recorded = self._recorded.get(message_id)
        return recorded.outcome if recorded is not None else None

    def record(self, message_id: str, outcome: MessageOutcome, now: float) -> None:
        """Remember how a message ended.

        :param now: seconds of the monotonic clock.
        """
        self._recorded[message_id] = _RecordedOutcome(outcome, now)

    def forget_before(self, cutoff: float) -> None:
        """Forget what was recorded before that time of the monotonic clock, in seconds."""
        while self._recorded:
            oldest_id = next(iter(self._recorded))
            if self._recorded[oldest_id].recorded_at >= cutoff:
                return
            del self._recorded[oldest_id]
