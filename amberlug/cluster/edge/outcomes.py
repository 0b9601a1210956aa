"""How messages stand and ended, and the outcomes that an edge node remembers."""

from __future__ import annotations

from amberlug.cluster.storage.messages import MessageOutcome
from amberlug.cluster.values import value

# Values of `end` in frames and in storage nodes' rows.
END_OPEN = ""
END_COMPLETED = "done"
END_DROPPED = "dropped"  # its route is no longer configured
END_EXPIRED = "expired"  # its retention time is over
NOT_FOUND = "none"  # never stored: only in answers to lookups


@value
class MessageStatus:
    """How a message stands: an `END_` value or `NOT_FOUND`, and the endpoint's seal of a completed one."""

    end: str = END_OPEN
    seal: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the message is stored and has not ended."""
        return self.end == END_OPEN

    @property
    def is_completed(self) -> bool:
        """Whether an endpoint has run it with success."""
        return self.end == END_COMPLETED

    @property
    def is_found(self) -> bool:
        """Whether the message was ever stored."""
        return self.end != NOT_FOUND

    def to_outcome(self) -> MessageOutcome:
        """The form in messages between nodes."""
        return MessageOutcome(self.end, self.seal)

    @classmethod
    def from_outcome(cls, outcome: MessageOutcome) -> MessageStatus:
        """The status that another node has reported."""
        return cls(outcome.status, outcome.receipt)


@value
class _RecordedOutcome:
    status: MessageStatus
    recorded_at: float  # monotonic clock, in seconds


class RecentOutcomes:
    """Outcomes of messages that ended of late, by message id, in the order of their first recording."""

    def __init__(self) -> None:
        self._recorded: dict[str, _RecordedOutcome] = {}

    def __contains__(self, message_id: str) -> bool:
        return message_id in self._recorded

    def get(self, message_id: str) -> MessageStatus | None:
        """The outcome of a message, where it is remembered."""
        recorded = self._recorded.get(message_id)
        return recorded.status if recorded is not None else None

    def record(self, message_id: str, status: MessageStatus, now: float) -> None:
        """Remember how a message ended.

        :param now: seconds of the monotonic clock.
        """
        self._recorded[message_id] = _RecordedOutcome(status, now)

    def forget_before(self, cutoff: float) -> None:
        """Forget what was recorded before that time of the monotonic clock, in seconds."""
        while self._recorded:
            oldest_id = next(iter(self._recorded))
            if self._recorded[oldest_id].recorded_at >= cutoff:
                return
            del self._recorded[oldest_id]
