"""The check of TWICE: a message that has succeeded runs again."""

from __future__ import annotations

from collections import defaultdict

from .clients import Sent
from .deployment import Record
from .endpoints import Endpoint, Run

MARGIN_S = 0.05  # a success counts if it was complete this long before the route's timeout
LATER_S = 0.01  # the second run began this long after the answer of the first, at least


def repeated(record: Record, sent: list[Sent], servers: list[Endpoint], expiry_s: float) -> int:
    """Count the accepted messages that ran again after a success whose answer the sender has read."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for server in servers:
        for run in server.runs:
            runs[run.attempt].append(run)
    count = 0
    for message in sent:
        line = sorted(runs[message.attempt], key=lambda run: run.began)
        first = next((run for run in line if is_read_success(run, expiry_s)), None)
        again = [run for run in line if first is not None and run.began > first.ended + LATER_S]
        if message.is_accepted and again and first is not None:
            count += 1
            record.write(
                "twice",
                attempt=message.attempt,
                succeeded=round(first.ended, 3),
                at=first.endpoint,
                again=round(again[0].began, 3),
                where=again[0].endpoint,
            )
    return count


def is_read_success(run: Run, expiry_s: float) -> bool:
    """Whether a run succeeded in time and its whole answer was taken by its caller."""
    return run.status == 200 and run.answered and run.ended - run.arrived <= expiry_s - MARGIN_S
