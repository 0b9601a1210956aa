"""`python -m amberlug.cluster soak --planned`: real processes under planned changes that overlap.

Edge nodes get SIGTERM in series, shortly after each other and also at once, while each message runs for
longer than the time between two stops; the names of routes change meanwhile. Nothing fails unplanned, so that
no message may run again after its success, and no accepted message may be lost or run out of order.
"""

from __future__ import annotations

import asyncio
import itertools
import signal

from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.local_deployment.deployment import KILL_AFTER_S, Machine, initial_config
from amberlug.cluster.local_deployment.fake_endpoint import EndpointSettings, Run
from amberlug.cluster.local_deployment.route_changes import RouteNameChanger
from amberlug.cluster.local_deployment.trial import Trial
from amberlug.cluster.local_deployment.trial_report import TrialReport

EXPIRY_MS = 2500  # of the routes
WORK_S = {"north": 1.1, "south": 1.9}  # by zone of the endpoint; shorter than a stopping process waits
SLOTS = 40  # of each endpoint: messages of other keys do not wait for each other
STOP_GAPS_S = (0.0, 0.05, 0.4, 0.9, 1.3)  # between two stops of a series
SERIES_INTERVAL_RANGE_S = (0.2, 2.0)  # pause between two series
ROUTE_CHANGE_INTERVAL_RANGE_S = (0.5, 2.0)
RESTART_DELAY_S = 0.3
LOG_ERROR_MARKERS = ("AssertionError", "Traceback")


class PlannedSoak(Trial):
    """One soak without unplanned faults."""

    sequence_keys = 40  # messages of one key run one after the other, and must end in `END_TIMEOUT_S`

    async def run(self) -> TrialReport:
        """Run the soak, and check that nothing ran again after its success."""
        report = await super().run()
        report.failures += repeated_successes(report.runs)
        report.failures += self.deployment.find_in_logs(LOG_ERROR_MARKERS)
        return report

    def _first_config(self) -> ConfigDocument:
        config = initial_config()
        for route in config["routeTable"]:
            route["expiryMs"] = EXPIRY_MS
        return config

    def _endpoint_settings(self, service: str, zone: str) -> EndpointSettings:
        return EndpointSettings(f"{service}-{zone}", service, zone, SLOTS, WORK_S[zone])

    async def _inject_faults(self) -> None:
        deadline = self._time() + self.load.duration_s
        await asyncio.gather(self._stop_in_series(deadline), self._change_route_names(deadline))

    async def _stop_in_series(self, deadline: float) -> None:
        edges = self.deployment.machines_of_class("edge")
        while self._time() < deadline:
            stops: list[asyncio.Task[None]] = []
            for machine in self.rng.sample(edges, len(edges) - 1):  # one remains
                stops.append(asyncio.create_task(self._stop_and_start(machine)))
                await asyncio.sleep(self.rng.choice(STOP_GAPS_S))
            await asyncio.gather(*stops)
            await asyncio.sleep(self.rng.uniform(*SERIES_INTERVAL_RANGE_S))

    async def _stop_and_start(self, machine: Machine) -> None:
        assert machine.process is not None, "the machine was started"
        machine.process.send_signal(signal.SIGTERM)
        ended_by = self._time() + KILL_AFTER_S
        while not machine.has_exited:
            if self._time() > ended_by:
                self.report.failures.append(f"{machine.name}: still runs {KILL_AFTER_S:g} s after SIGTERM")
                self.deployment.kill(machine)
                break
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_DELAY_S)
        self.deployment.start(machine)

    async def _change_route_names(self, deadline: float) -> None:
        changer = RouteNameChanger(self.rng, self.deployment.control_addresses)
        while self._time() < deadline:
            await changer.change()
            await asyncio.sleep(self.rng.uniform(*ROUTE_CHANGE_INTERVAL_RANGE_S))


def repeated_successes(runs: list[Run]) -> list[str]:
    """Describe each message of which another run began after the one that succeeded first."""
    failures: list[str] = []
    ordered = sorted(runs, key=lambda run: (run.attempt_id, run.started_at))
    for attempt_id, group in itertools.groupby(ordered, key=lambda run: run.attempt_id):
        of_message = list(group)
        first = next((run for run in of_message if run.status == 200), None)
        for run in of_message:
            if first is not None and run.started_at > first.started_at:
                lead_s = run.started_at - first.ended_at
                failures.append(f"{attempt_id}: ran again {lead_s:.3f} s after the end of its first success")
    return failures
