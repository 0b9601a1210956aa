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
from amberlug.cluster.local_deployment.route_changes import SPARE_PREFIX, with_changed_names
from amberlug.cluster.local_deployment.soak import Soak
from amberlug.cluster.local_deployment.trial import TrialLoad


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


def test_nothing_accepted_is_lost_or_forgotten_under_faults_that_overlap(tmp_path: Path) -> None:
    async def run_soak() -> list[str]:
        net_rng = random.Random()  # other tests may start deployments at the same time
        deployment = Deployment(tmp_path, free_net(net_rng, random_net(net_rng)), FAULTY_PROGRAM)
        report = await Soak(deployment, TrialLoad(20.0, 3.0), random.Random(4), print).run()
        assert report.accepted()
        return report.all_failures()

    assert asyncio.run(run_soak()) == []
