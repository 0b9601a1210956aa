"""A short soak: real processes on loopback under random faults, with one seed."""

import asyncio
import random
from pathlib import Path

from amberlug.cluster.control.config_validation import find_errors
from amberlug.cluster.local_deployment.deployment import (
    FAULTY_PROGRAM,
    Deployment,
    free_net,
    initial_config,
    random_net,
)
from amberlug.cluster.local_deployment.fake_endpoint import Run
from amberlug.cluster.local_deployment.planned_soak import PlannedSoak, repeated_successes
from amberlug.cluster.local_deployment.route_changes import SPARE_PREFIX, with_changed_names
from amberlug.cluster.local_deployment.soak import Soak
from amberlug.cluster.local_deployment.trial import Trial, TrialLoad


def test_changes_of_names_leave_where_requests_go() -> None:
    rng, config = random.Random(1), initial_config()
    routed = {(route["pathPrefix"], route["targetService"]) for route in config["routeTable"]}
    paths_of_names: dict[str, set[str]] = {}
    for _ in range(60):
        before, config = config, with_changed_names(config, rng)
        assert find_errors(config) == []
        assert config["edition"] > before["edition"]
        assert config["routeTable"] != before["routeTable"]
        routes = [route for route in config["routeTable"] if route["pathPrefix"] != SPARE_PREFIX]
        assert {(route["pathPrefix"], route["targetService"]) for route in routes} == routed
        for route in config["routeTable"]:
            paths_of_names.setdefault(route["name"], set()).add(route["pathPrefix"])
    assert any(len(paths) == 3 for paths in paths_of_names.values())


def run_soak(soak_type: type[Trial], folder: Path, load: TrialLoad, seed: int) -> list[str]:
    """Run one soak; returns its failures."""

    async def run() -> list[str]:
        net_rng = random.Random()  # other tests may start deployments at the same time
        deployment = Deployment(folder, free_net(net_rng, random_net(net_rng)), FAULTY_PROGRAM)
        report = await soak_type(deployment, load, random.Random(seed), print).run()
        assert report.accepted()
        return report.all_failures()

    return asyncio.run(run())


def test_nothing_accepted_is_lost_or_forgotten_under_faults_that_overlap(tmp_path: Path) -> None:
    assert run_soak(Soak, tmp_path, TrialLoad(20.0, 3.0), seed=4) == []


def test_no_message_runs_again_after_its_success_while_edge_nodes_stop_in_series(tmp_path: Path) -> None:
    # TWICE: the third owner of a shard called what the first one had in flight.
    assert run_soak(PlannedSoak, tmp_path, TrialLoad(12.0, 8.0), seed=1) == []


def test_a_run_that_begins_after_a_success_of_its_message_is_reported() -> None:
    def run(attempt: str, started_at: float, status: int) -> Run:
        return Run(attempt, "", started_at, started_at + 1.0, status, service="s", target="/")

    failed_first = [run("a", 1.0, 500), run("a", 2.0, 200)]
    overlapping = [run("b", 1.0, 200), run("b", 1.5, 200)]
    later = [run("c", 1.0, 200), run("c", 3.0, 0)]
    found = repeated_successes([*failed_first, *overlapping, *later])
    assert [failure.partition(":")[0] for failure in found] == ["b", "c"]
