"""The reconciler of a single control-plane node whose proposals are recorded instead of committed."""

from dataclasses import replace
from typing import Any

import pytest

from amberlug.cluster.control.messages import SessionDescription
from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.control.state_entries import ShardEntry, StoreEntry, StoreState
from amberlug.cluster.interfaces import Json, OnWritten
from amberlug.cluster.simulation.clock import Clock
from tests.cluster.fakes import UnresponsiveRuntime, settings

Rows = list[tuple[str, tuple[Any, ...]]]


class InstantDisk:
    """A disk that acknowledges each write at once, and stores nothing."""

    def write(self, rows: Rows, then: OnWritten) -> None:
        then(None)


class Rig:
    """A control-plane node with three storage nodes on its roster, and its proposals."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        of = settings("core")
        self.clock = Clock()
        self.core = ControlNode(
            UnresponsiveRuntime(self.clock), of, "10.0.0.1:7300", InstantDisk(), blank(of, lambda bits: 1)
        )
        self.core.cluster_state.roster = {
            f"disk-{name}": StoreEntry(name, name, "z", "r", StoreState.FULL, state_index=1)
            for name in ("a", "b", "c")
        }
        self.core.cluster_state.shards = [ShardEntry("edge/1", 1, "")]
        self.proposed: list[Json] = []
        monkeypatch.setattr(self.core.raft, "propose", lambda command, then: self.proposed.append(command))

    def session(self, name: str, machine_class: str, **details: object) -> Session:
        node = SessionDescription(name, "1", name, machine_class, "z", "r", "up", details)
        return Session(node, 0.0, 0.0)

    def set_state(self, disk: str, state: StoreState) -> None:
        roster = self.core.cluster_state.roster
        roster[disk] = replace(roster[disk], state=state)

    def reconcile_roster(self, *stores: str) -> None:
        """Reconcile the roster for 5 s with sessions of the given storage nodes."""
        sessions = {
            name: self.session(name, "storage", disk=f"disk-{name}", enrolled=True) for name in stores
        }
        for step in range(50):
            self.core.reconciler.update_roster(sessions, step / 10)

    def drop_disks(self) -> None:
        """Search for disks to drop, with an edge node that reports no missing replicas."""
        edge = self.session("edge", "edge", table=0, loading=0, short=0, roster=9)
        self.core.reconciler.drop_replaced_disks({edge.id: edge})


def test_a_disk_without_a_session_is_lost_and_then_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    rig.reconcile_roster("a", "b")
    assert [list(command["set"]) for command in rig.proposed] == [["disk-c"]]
    rig.set_state("disk-c", StoreState.LOST)
    rig.drop_disks()
    assert rig.proposed[-1]["drop"] == ["disk-c"]


def test_no_disk_is_lost_while_more_are_absent_than_are_tolerated(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    rig.reconcile_roster("a")
    rig.reconcile_roster()
    assert rig.proposed == []


def test_no_disk_is_dropped_while_too_few_are_full(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    for name in ("b", "c"):
        rig.set_state(f"disk-{name}", StoreState.LOST)
    rig.drop_disks()
    assert rig.proposed == []
