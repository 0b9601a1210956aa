"""Checks the answers of one edge node to clients against its earlier ones. No I/O.

Invariants that clients observe at one node:

- A message that was accepted with 202 is known until its outcome may be deleted.
- A message that was reported as ended is never reported as pending again.

An answer that would violate one is counted, logged, and replaced by "it can't be known now". Any of these
counters above 0 is a bug in the system, whatever the apparent cause: keep the logs of all nodes.
"""

from __future__ import annotations

from absl import logging

from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.outcomes import NOT_FOUND
from amberlug.cluster.storage.outcomes import MessageOutcome

VIOLATION_PREFIX = "invariant violated: "  # in counter names and log messages
ACCEPTED_IS_KNOWN = "accepted message unknown"
ENDED_STAYS_ENDED = "ended message open"
MAX_REMEMBERED = 8_000  # messages of each kind; the oldest are evicted
# Fraction of the outcome retention time: clocks of nodes differ, and outcomes are deleted in sweeps.
REMEMBERED_SHARE = 0.9


class AnswerHistory:
    """The latest answers of one edge node by message; times are monotonic."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context
        self._accepted_at: dict[str, float] = {}
        self._reported_ended_at: dict[str, float] = {}

    def accepted(self, message_id: str) -> None:
        """Record that a message was reported to a client as accepted."""
        self._remember(self._accepted_at, message_id)

    def checked(self, message_id: str, outcome: MessageOutcome | None) -> MessageOutcome | None:
        """Check the answer to a lookup; return it, or None if it contradicts an earlier one.

        :param outcome: the answer to check; None if the status can't be determined.
        """
        if outcome is None:
            return None
        violated = self._violated_by(message_id, outcome)
        if violated:
            self._context.count(f"invariant violated: {violated}")
            logging.error("invariant violated: %s: %s", violated, message_id)
            return None
        if not outcome.is_open and outcome != NOT_FOUND:
            self._remember(self._reported_ended_at, message_id)
        return outcome

    def _violated_by(self, message_id: str, outcome: MessageOutcome) -> str:
        """The invariant that an answer would violate; empty if none."""
        if outcome == NOT_FOUND and self._was_accepted(message_id):
            return ACCEPTED_IS_KNOWN
        if outcome.is_open and message_id in self._reported_ended_at:
            return ENDED_STAYS_ENDED
        return ""

    def _was_accepted(self, message_id: str) -> bool:
        accepted_at = self._accepted_at.get(message_id)
        if accepted_at is None:
            return False
        age_s = self._context.runtime.now() - accepted_at
        return age_s < REMEMBERED_SHARE * self._context.settings.seconds("statusTtlS")

    def _remember(self, times: dict[str, float], message_id: str) -> None:
        times.setdefault(message_id, self._context.runtime.now())
        if len(times) > MAX_REMEMBERED:
            del times[next(iter(times))]
