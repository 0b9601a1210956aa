"""A short soak: real processes on loopback under random faults, with one seed."""

import asyncio
import random
from pathlib import Path

from amberlug.cluster.local_deployment.deployment import FAULTY_PROGRAM, Deployment, free_net, random_net
from amberlug.cluster.local_deployment.soak import Soak
from amberlug.cluster.local_deployment.trial import TrialLoad


def test_nothing_accepted_is_lost_or_forgotten_under_faults_that_overlap(tmp_path: Path) -> None:
    async def run_soak() -> list[str]:
        net_rng = random.Random()  # other tests may start deployments at the same time
        deployment = Deployment(tmp_path, free_net(net_rng, random_net(net_rng)), FAULTY_PROGRAM)
        report = await Soak(deployment, TrialLoad(20.0, 3.0), random.Random(4), print).run()
        assert report.accepted()
        return report.all_failures()

    assert asyncio.run(run_soak()) == []
