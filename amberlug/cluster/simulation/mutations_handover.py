"""Mutations of what owners of shards tell each other of calls in flight."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from amberlug.cluster.dispatch.handover import ShardHandover
from amberlug.cluster.dispatch.messages import CallInFlight

SHORT_WAIT_S = 4.0  # shorter than the longest calls of the family `handovers`


def _calls_reported_once() -> AbstractContextManager[Any]:
    """A call is reported to the first new owner alone: neither that one nor the caller reports it again."""
    calls_to_report = ShardHandover._calls_to_report

    def report_once(self: ShardHandover) -> dict[str, list[CallInFlight]]:
        """Leave out the calls of other nodes, and calls that were reported before."""
        reported: set[str] = self.__dict__.setdefault("reported", set())
        new = {
            address: [call for call in calls if not call.caller and call.message_id not in reported]
            for address, calls in calls_to_report(self).items()
        }
        reported.update(call.message_id for calls in new.values() for call in calls)
        return new

    return patch.object(ShardHandover, "_calls_to_report", report_once)


def _short_wait() -> AbstractContextManager[Any]:
    """A new owner takes a call for over after some seconds, whatever its timeout is."""
    call_reported = ShardHandover._call_reported

    def shorten(self: ShardHandover, call: CallInFlight, origin: str, epochs: Mapping[int, int]) -> None:
        """Shorten the time for which a call is said to run."""
        remaining_s = min(SHORT_WAIT_S, call.remaining_s or 0.0)
        call_reported(self, replace(call, remaining_s=remaining_s), origin, epochs)

    return patch.object(ShardHandover, "_call_reported", shorten)


# By name: the mutation, and the scenario family in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "calls-reported-once": (_calls_reported_once, "handovers"),
    "short-wait": (_short_wait, "handovers"),
}
