"""Scenarios in which edge nodes are stopped in series, while calls outlast the time between the stops."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.machine import Machine

SERIES_S = 9.0  # from the first stop of a series until all its machines are back
LONGEST_GAP_S = 1.6  # between two stops


@dataclass(frozen=True, slots=True)
class CallLength:
    """How long the calls of a scenario run, and how many of them there are.

    :param work_s: the run time that endpoints vary around.
    :param expiry_ms: the timeout of the routes.
    :param rate: messages per second.
    """

    work_s: float
    expiry_ms: int
    rate: float


# Below, near and above the time that a stopping process has for the calls in flight.
CALL_LENGTHS = (CallLength(1.0, 2500, 8.0), CallLength(2.0, 4000, 4.0), CallLength(3.2, 6000, 2.5))


def draw_call_length(seed: int) -> CallLength:
    """Draw how long the calls of a scenario run."""
    return random.Random(f"{seed} call length").choice(CALL_LENGTHS)


class StopSeries:
    """Stops several edge nodes one shortly after the other; the first ones may still have calls in flight.

    :param stop: stops a machine as planned, and starts it again.
    """

    def __init__(
        self, rng: random.Random, clock: Clock, edges: list[Machine], stop: Callable[[Machine], object]
    ) -> None:
        self._rng, self._clock, self._edges, self._stop = rng, clock, edges, stop

    def begin(self) -> float:
        """Begin a series that leaves at least one edge node; returns its duration in seconds."""
        most = max(1, len(self._edges) - 1)
        chosen = self._rng.sample(self._edges, self._rng.randint(min(2, most), most))
        after_s = 0.0
        for machine in chosen:
            self._clock.call_later(after_s, partial(self._stop_if_up, machine))
            after_s += self._rng.choice((0.0, 0.02, self._rng.uniform(0.0, LONGEST_GAP_S)))
        return SERIES_S

    def _stop_if_up(self, machine: Machine) -> None:
        if machine.up:
            self._stop(machine)
