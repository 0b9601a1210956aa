"""Maps the result of an endpoint call to its effect on the message. No I/O."""

from __future__ import annotations

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME, DONE_OUTCOME, MessageOutcome
from amberlug.cluster.values import value

MIN_RETRY_S = 0.02  # the duration of a typical call, so that a restarted endpoint is found quickly
MAX_RETRY_S = 0.5  # cap of the exponential backoff; shorter than a typical endpoint restart
MAX_BACKOFF_EXPONENT = 8
STILL_RUNNING_RETRY_S = 0.05  # the endpoint is still executing an earlier call of the same attempt

NOT_EXECUTED_HEADER = "amberlug-not-executed"
ATTEMPT_HEADER = "amberlug-attempt-id"
SEAL_HEADER = "amberlug-server-seal"


@value
class CallOutcome:
    """The effect of one call on its message."""

    end: str = ""  # `done` or `dead`; empty if the message is to be retried
    seal: str = ""  # the receipt that the endpoint returned on success
    is_failure: bool = False  # the call counts as a failed attempt
    retry_delay_s: float = 0.0

    @property
    def message_outcome(self) -> MessageOutcome:
        """The final outcome of the message, or open if it is to be retried."""
        return MessageOutcome(self.end, self.seal)


def evaluate_result(message: Message, result: CallResult, max_attempts: int) -> CallOutcome:
    """Evaluate the result of a call. A response is trusted only if it echoes the message's attempt id.

    :param max_attempts: number of failed attempts after which the message is dead.
    """
    if result.verdict is not CallVerdict.ANSWERED:
        return CallOutcome()
    backoff_s = min(MAX_RETRY_S, MIN_RETRY_S * 2 ** min(message.call_count, MAX_BACKOFF_EXPONENT))
    if result.header(ATTEMPT_HEADER) != message.attempt_id:
        return CallOutcome(retry_delay_s=backoff_s)
    if result.header(NOT_EXECUTED_HEADER) is not None or result.status == 421:
        return CallOutcome(retry_delay_s=backoff_s)
    if 200 <= result.status < 300:
        seal = result.header(SEAL_HEADER)
        return CallOutcome(DONE_OUTCOME, seal) if seal else CallOutcome(retry_delay_s=backoff_s)
    if result.status == 422:
        return CallOutcome(DEAD_OUTCOME)
    if result.status == 500:
        return _failed(message, max_attempts)
    return CallOutcome(retry_delay_s=STILL_RUNNING_RETRY_S if result.status == 409 else backoff_s)


def _failed(message: Message, max_attempts: int) -> CallOutcome:
    is_last = message.failures + 1 >= max_attempts
    retry_delay_s = MIN_RETRY_S * 2**message.failures
    return CallOutcome(DEAD_OUTCOME if is_last else "", is_failure=True, retry_delay_s=retry_delay_s)
