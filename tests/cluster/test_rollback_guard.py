"""Tests of control-plane nodes whose data folder is restored from a backup, or that were only down."""

from collections.abc import Callable
from copy import deepcopy
from functools import partial
from pathlib import Path

import pytest

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.consensus.storage import open_raft_storage
from amberlug.cluster.interfaces import WriteFailure
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.machine import BOUNDS, Machine
from amberlug.cluster.simulation.mutations import mutated

pytestmark = pytest.mark.usefixtures("suppressed_logs")


class ControlPlane:
    """Three control-plane nodes, and the endpoints for which they have committed a drain command."""

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
        for machine in machines:
            if machine.up and machine.part.raft.leader_id == machine.part.raft.member_id:
                return machine
        return None

    def commit_entry(self) -> None:
        """Commit an entry and give all connected nodes time to receive it."""
        leader = self.leader()
        assert leader is not None
        assert leader.incarnation is not None
        name = f"e{len(self.committed)}"
        leader.incarnation.do(
            lambda: leader.part.raft.propose({"do": "drain", "ids": [[name, 1, 0]]}, lambda result: None)
        )
        self.run(0.3)
        assert name in leader.part.cluster_state.leaving
        self.committed.append(name)

    def backup(self, machine: Machine) -> Callable[[], None]:
        """Back up a node's data folder; returns a function that restores it."""
        disk = machine.disk
        saved = {key: deepcopy(value) for key, value in vars(disk).items() if key in ("_saved", "_rows")}
        return lambda: vars(disk).update(deepcopy(saved))

    def missing_entries(self, machine: Machine) -> list[str]:
        """The committed entries that are missing from a node's state."""
        return [name for name in self.committed if name not in machine.part.cluster_state.leaving]


def restore_beside_a_lagging_member() -> list[str]:
    """Entries lost if one follower lags and the other is restored while the leader is partitioned."""
    control_plane = ControlPlane()
    leader = control_plane.leader()
    assert leader is not None
    lagging, restored = (machine for machine in control_plane.deployment.cores if machine is not leader)
    restore = control_plane.backup(restored)
    control_plane.commit_entry()
    control_plane.run(1.0)
    control_plane.deployment.net.cut({(leader.name, lagging.name), (lagging.name, leader.name)})
    control_plane.commit_entry()
    restored.power_off()
    restore()
    control_plane.deployment.net.cut({(leader.name, restored.name), (restored.name, leader.name)})
    restored.start()
    control_plane.run(4.0)
    new_leader = control_plane.leader(lagging, restored)
    return [] if new_leader is None else control_plane.missing_entries(new_leader)


def test_a_member_restored_from_a_backup_elects_no_leader_without_committed_entries() -> None:
    assert restore_beside_a_lagging_member() == []
    with mutated("put-back-votes"):
        assert restore_beside_a_lagging_member() == ["e1"]


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_a_restored_member_becomes_a_new_incarnation_and_one_that_was_down_does_not(role: str) -> None:
    control_plane = ControlPlane()
    leader = control_plane.leader()
    is_leader = role == "leader"
    machine = next(node for node in control_plane.deployment.cores if (node is leader) is is_leader)
    member_id, restore = machine.part.raft.member_id, control_plane.backup(machine)
    for _ in range(3):
        control_plane.commit_entry()
    machine.power_off()
    control_plane.run(2.0)
    for _ in range(3):
        control_plane.commit_entry()
    machine.start()
    control_plane.run(BOUNDS["catchUpS"])
    assert (machine.part.raft.member_id, control_plane.missing_entries(machine)) == (member_id, [])
    machine.power_off()
    restore()
    machine.start()
    control_plane.run(BOUNDS["catchUpS"])
    raft = machine.part.raft
    assert raft.member_id != member_id
    assert raft.is_voter
    assert member_id not in raft.members
    assert control_plane.missing_entries(machine) == []


def test_committed_entries_survive_a_restart_of_all_members_with_one_restored() -> None:
    for position in range(3):
        control_plane = ControlPlane()
        restored = control_plane.deployment.cores[position]
        restore = control_plane.backup(restored)
        for _ in range(10):
            control_plane.commit_entry()
        control_plane.run(6.0)
        for machine in control_plane.deployment.cores:
            machine.power_off()
        restore()
        for machine in control_plane.deployment.cores:
            machine.start()
        control_plane.run(BOUNDS["catchUpS"])
        leader = control_plane.leader()
        assert leader is not None
        assert control_plane.missing_entries(leader) == []
        assert not restored.part.raft.member_id.endswith("/0")


def test_a_new_incarnation_has_an_empty_log(tmp_path: Path) -> None:
    posted: list[Callable[[], None]] = []
    failures: list[WriteFailure | None] = []
    saved, raft_storage, _ = open_raft_storage(
        tmp_path, lambda: PersistentState("ip/0", members=Members.from_wire({"ip/0": {}})), posted.append
    )
    rows = [("term", (3, "x")), ("entry", (1, 3, None)), ("floors", ({"ip/0": 1},)), ("anew", ("ip/1",))]
    raft_storage.write(rows, failures.append)
    raft_storage.close()
    saved, raft_storage, is_new = open_raft_storage(tmp_path, partial(PersistentState, "ip/2"), posted.append)
    raft_storage.close()
    assert (saved, is_new) == (PersistentState("ip/1"), False)
