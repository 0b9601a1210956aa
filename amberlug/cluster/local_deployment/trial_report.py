"""The result of a trial, and checks of the service's guarantees."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from amberlug.cluster.interfaces import Json
from amberlug.cluster.local_deployment.fake_endpoint import Run

PENDING, COMPLETED, FAILED = "pending", "completed", "failed"  # conditions as reported by edge nodes
PERCENTILES = (50, 99)

RunsByAttempt = Mapping[str, Sequence[Run]]


@dataclass(slots=True)
class SentMessage:
    """A message that a client sent; times are those of the event loop's clock.

    :param is_unprocessable: whether endpoints reject it permanently.
    :param sent_at: start of its last attempt.
    :param accepted_at: 0 until it is accepted.
    """

    sequence_key: str
    is_unprocessable: bool
    sent_at: float = 0.0
    attempt_id: str = ""
    name: str = ""
    accepted_at: float = 0.0
    is_outcome_unknown: bool = False
    condition: str = PENDING
    receipt: str = ""
    delay_ms: int = 0  # after arrival, before which it is not delivered


@dataclass(slots=True)
class TrialReport:
    """The result of a trial."""

    sent: list[SentMessage] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)  # other than broken guarantees

    def accepted(self) -> list[SentMessage]:
        """The messages that were accepted."""
        return [message for message in self.sent if message.accepted_at]

    def all_failures(self) -> list[str]:
        """List all failures, including broken guarantees."""
        runs: dict[str, list[Run]] = {}
        for run in self.runs:
            runs.setdefault(run.attempt_id, []).append(run)
        accepted = self.accepted()
        failures = list(self.failures)
        for message in accepted:
            failures += _outcome_failures(message, runs.get(message.attempt_id, ()))
        if not accepted:
            failures.append("no message was accepted")
        return [*failures, *_order_failures(accepted, runs), *_route_failures(self.runs)]

    def figures(self) -> Json:
        """The summary as a JSON object, with the keys that the command prints."""
        started_at: dict[str, float] = {}
        for run in self.runs:
            started_at[run.attempt_id] = min(run.started_at, started_at.get(run.attempt_id, run.started_at))
        accepted = self.accepted()
        acceptance_s = [message.accepted_at - message.sent_at for message in accepted]
        first_run_s = [
            started_at[message.attempt_id] - message.sent_at
            for message in accepted
            if message.attempt_id in started_at
        ]
        unknown = sum(message.is_outcome_unknown for message in self.sent)
        return {
            "sent": len(self.sent),
            "accepted": len(accepted),
            "unclear": unknown,
            "refused": len(self.sent) - len(accepted) - unknown,
            "delivered": sum(message.condition == COMPLETED for message in accepted),
            "ended": sum(message.condition != PENDING for message in accepted),
            "runs": len(self.runs),
            "accept_ms": _percentiles_ms(acceptance_s),
            "first_run_ms": _percentiles_ms(first_run_s),
            "wrong": self.all_failures(),
        }


def _outcome_failures(message: SentMessage, runs: Sequence[Run]) -> Iterator[str]:
    if message.is_unprocessable:
        if message.condition != FAILED or not any(run.status == 422 for run in runs):
            yield f"{message.name}: unprocessable, but {message.condition} after {len(runs)} runs"
    elif message.condition != COMPLETED:
        yield f"{message.name}: accepted, but {message.condition} after {len(runs)} runs"
    elif message.receipt not in {run.receipt for run in runs if run.status == 200}:
        yield f"{message.name}: completed with the seal {message.receipt!r}, which none of its runs returned"


def _order_failures(accepted: Sequence[SentMessage], runs: RunsByAttempt) -> Iterator[str]:
    """Find messages whose first run began before an earlier message with the same key had ended.

    A message is earlier if it was accepted before the other one was sent.
    """
    for key in sorted({message.sequence_key for message in accepted if message.sequence_key}):
        same_key = [message for message in accepted if message.sequence_key == key]
        for message in same_key:
            started_at = min((run.started_at for run in runs.get(message.attempt_id, ())), default=None)
            for earlier in same_key:
                if started_at is None or earlier is message or earlier.accepted_at >= message.sent_at:
                    continue
                ends = [run.ended_at for run in runs.get(earlier.attempt_id, ()) if run.status]
                if not ends or min(ends) > started_at:
                    yield f"{message.name}: began before {earlier.name} with the same key had ended"


def _route_failures(runs: Sequence[Run]) -> Iterator[str]:
    """Find runs at a service that no configuration gives for their path, which names its service."""
    for run in runs:
        if not run.target.startswith(f"/{run.service}/"):
            yield f"{run.attempt_id}: {run.target} ran at {run.service}"


def _percentiles_ms(durations_s: Sequence[float]) -> dict[str, float | None]:
    ranked = sorted(durations_s)
    if not ranked:
        return {f"p{percent}": None for percent in PERCENTILES}
    last = len(ranked) - 1
    return {
        f"p{percent}": round(1000 * ranked[min(last, len(ranked) * percent // 100)], 1)
        for percent in PERCENTILES
    }
