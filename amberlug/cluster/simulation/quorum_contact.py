"""When machines were in contact and the control plane was stable; checks with a time bound need both."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass

from amberlug.cluster.simulation.history import History, What
from amberlug.cluster.simulation.machine import BOUNDS

CONTACT_S = BOUNDS["contactMs"] / 1000
SLACK_S = 0.02  # margin around a time window, for events that nearly coincide
DISTURBING_KINDS = frozenset(("core", "store"))  # kinds of machines whose faults disturb the control plane


@dataclass(frozen=True, slots=True)
class _Period:
    """A period without any event at machines or links; it ends where the next one begins."""

    at: float
    running: frozenset[str]
    cut: frozenset[tuple[str, str]]
    nodes_with_majority: frozenset[str]  # control-plane nodes that reach a majority


class ContactTimeline:
    """The state of the machines and links of one run over time."""

    def __init__(self, history: History) -> None:
        self.history = history
        self._core = {name for name, it in history.machine_infos.items() if it.kind == "core"}
        self._disturbance_times: list[float] = []
        self._event_times: dict[str, list[float]] = {name: [] for name in history.machine_infos}
        for event in history.events:
            self._event_times[event.machine].append(event.at)
            # What machines do as the day begins is no trouble.
            if history.machine_infos[event.machine].kind in DISTURBING_KINDS:
                self._disturbance_times.append(event.at)
        self._periods = self._build_periods()
        self._starts = [it.at for it in self._periods]
        self._disturbance_times.sort()

    def _build_periods(self) -> list[_Period]:
        running: set[str] = set()
        cut: frozenset[tuple[str, str]] = frozenset()
        periods: list[_Period] = []
        steps = [(it.at, 0, it) for it in self.history.events] + [(it[0], 1, it) for it in self.history.cuts]
        for at, _, it in sorted(steps, key=lambda step: step[:2]):
            if isinstance(it, tuple):
                among = {pair for pair in cut ^ it[1] if self._core >= set(pair)}
                cut = it[1]
                if among:
                    self._disturbance_times.append(at)
            elif it.what in (What.START, What.THAW):
                running.add(it.machine)
            elif it.what in (What.END, What.FREEZE):
                running.discard(it.machine)
            periods.append(_Period(at, frozenset(running), cut, self._nodes_with_majority(running, cut)))
        return periods

    def _nodes_with_majority(self, running: set[str], cut: frozenset[tuple[str, str]]) -> frozenset[str]:
        here = self._core & running

        def reached(name: str) -> int:
            """Count the running control-plane nodes in contact with a node both ways, itself included."""
            return sum(1 for it in here if (name, it) not in cut and (it, name) not in cut)

        return frozenset(name for name in here if 2 * reached(name) > len(self._core))

    def _between(self, since: float, until: float) -> list[_Period]:
        first = max(0, bisect_right(self._starts, since) - 1)
        return self._periods[first : bisect_right(self._starts, until)]

    def _has_unrecorded_fault(self, since: float, until: float) -> bool:
        """Whether there was a fault that the events do not fully record."""
        return self.history.lossy or any(
            it.at <= until + SLACK_S and it.until >= since - SLACK_S
            for it in self.history.disturbances
            if not it.is_in_events
        )

    @staticmethod
    def _any_within(times: list[float], since: float, until: float) -> bool:
        return bisect_left(times, since - SLACK_S) < bisect_right(times, until + SLACK_S)

    def had_majority(self, since: float, until: float) -> bool:
        """Whether a majority of the control plane was running and connected throughout."""
        return not self._has_unrecorded_fault(since, until) and all(
            it.nodes_with_majority for it in self._between(since, until)
        )

    def is_stable(self, since: float, until: float) -> bool:
        """Whether the control plane was stable throughout."""
        before = since - CONTACT_S
        return self.had_majority(before, until) and not self._any_within(
            self._disturbance_times, before, until
        )

    def reaches(self, machine: str, since: float, until: float) -> bool:
        """Whether a machine had no faults, and reached every control-plane node that reached a majority."""
        before = since - CONTACT_S
        if self._any_within(self._event_times.get(machine, []), before, until) or self._has_unrecorded_fault(
            before, until
        ):
            return False
        for period in self._between(before, until):
            if machine not in period.running:
                return False
            if any(
                (machine, it) in period.cut or (it, machine) in period.cut
                for it in period.nodes_with_majority
            ):
                return False
        return True

    def in_contact(self, machine: str, since: float, until: float) -> bool:
        """Whether a machine was in contact with a stable control plane throughout."""
        return self.reaches(machine, since, until) and self.is_stable(since, until)
