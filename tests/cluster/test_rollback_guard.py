"""A core machine's folder that is put back as it was before, against one that was away."""

from collections.abc import Callable, Iterator
from copy import deepcopy
from functools import partial
from pathlib import Path

import pytest
from absl import logging

from amberlug.cluster.consensus.log import PersistentState
from amberlug.cluster.consensus.storage import open_raft_storage
from amberlug.cluster.interfaces import WriteFailure
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.machine import BOUNDS, Machine
from amberlug.cluster.simulation.mutations import mutated


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Keep the logs of the machines out of the output."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


class ControlPlane:
    """Three core machines, and what they were told of endpoints that leave."""

    def __init__(self) -> None:
        self.deployment = Deployment(3, 3, 0, 0, 3, [], 1.0)
        for machine in self.deployment.cores:
            machine.start()
        self.run(4.0)
        self.committed: list[str] = []

    def run(self, seconds: float) -> None:
        self.deployment.clock.run(self.deployment.clock.now + seconds)

    def leader(self, *among: Machine) -> Machine | None:
        machines = among or self.deployment.cores
        return next(
            (it for it in machines if it.up and it.part.raft.leader_id == it.part.raft.member_id), None
        )

    def change(self) -> None:
        """Have an entry taken, and heard of by all who are in touch."""
        leader = self.leader()
        assert leader is not None
        assert leader.life is not None
        name = f"e{len(self.committed)}"
        leader.life.do(
            lambda: leader.part.raft.propose({"do": "drain", "ids": [[name, 1, 0]]}, lambda result: None)
        )
        self.run(0.3)
        assert name in leader.part.cluster_state.leaving
        self.committed.append(name)

    def folder(self, machine: Machine) -> Callable[[], None]:
        """What puts a machine's folder back as it is now."""
        disk = machine.disk
        kept = {key: deepcopy(value) for key, value in vars(disk).items() if key in ("_saved", "_rows")}
        return lambda: vars(disk).update(deepcopy(kept))

    def lost(self, leader: Machine) -> list[str]:
        return [it for it in self.committed if it not in leader.part.cluster_state.leaving]


def restore_beside_a_lagging_member() -> list[str]:
    """One follower lags, and another one is put back while the leader is cut off: what is lost then."""
    core = ControlPlane()
    leader = core.leader()
    assert leader is not None
    lags, back = (it for it in core.deployment.cores if it is not leader)
    restore = core.folder(back)
    core.change()
    core.run(1.0)
    core.deployment.net.cut({(leader.name, lags.name), (lags.name, leader.name)})
    core.change()
    back.power_off()
    restore()
    core.deployment.net.cut({(leader.name, back.name), (back.name, leader.name)})
    back.start()
    core.run(4.0)
    newer = core.leader(lags, back)
    return [] if newer is None else core.lost(newer)


def test_a_restored_member_helps_elect_nobody() -> None:
    assert restore_beside_a_lagging_member() == []
    with mutated("put-back-votes"):
        assert restore_beside_a_lagging_member() == ["e1"]


@pytest.mark.parametrize("which", ["leader", "follower"])
def test_a_restored_member_becomes_another_incarnation_and_one_that_was_down_does_not(which: str) -> None:
    core = ControlPlane()
    leader = core.leader()
    machine = next(it for it in core.deployment.cores if (it is leader) == (which == "leader"))
    me, restore = machine.part.raft.member_id, core.folder(machine)
    for _ in range(3):
        core.change()
    machine.power_off()
    core.run(2.0)
    for _ in range(3):
        core.change()
    machine.start()
    core.run(BOUNDS["catchUpS"])
    assert (machine.part.raft.member_id, core.lost(machine)) == (me, [])
    machine.power_off()
    restore()
    machine.start()
    core.run(BOUNDS["catchUpS"])
    raft = machine.part.raft
    assert raft.member_id != me
    assert raft.is_voter
    assert me not in raft.members
    assert core.lost(machine) == []


def test_all_lose_power_and_one_is_restored() -> None:
    for at in range(3):
        core = ControlPlane()
        back = core.deployment.cores[at]
        restore = core.folder(back)
        for _ in range(10):
            core.change()
        core.run(6.0)
        for machine in core.deployment.cores:
            machine.power_off()
        restore()
        for machine in core.deployment.cores:
            machine.start()
        core.run(BOUNDS["catchUpS"])
        leader = core.leader()
        assert leader is not None
        assert core.lost(leader) == []
        assert not back.part.raft.member_id.endswith("/0")


def test_a_new_incarnation_has_an_empty_log(tmp_path: Path) -> None:
    posted: list[Callable[[], None]] = []
    failures: list[WriteFailure | None] = []
    saved, raft_storage, _ = open_raft_storage(
        tmp_path, lambda: PersistentState("ip/0", members={"ip/0": {}}), posted.append
    )
    rows = [("term", (3, "x")), ("entry", (1, 3, None)), ("floors", ({"ip/0": 1},)), ("anew", ("ip/1",))]
    raft_storage.write(rows, failures.append)
    raft_storage.close()
    saved, raft_storage, is_new = open_raft_storage(tmp_path, partial(PersistentState, "ip/2"), posted.append)
    raft_storage.close()
    assert (saved, is_new) == (PersistentState("ip/1"), False)
