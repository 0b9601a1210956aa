"""A core machine alone, as the leader of a log that is only looked at."""

from collections.abc import Callable
from typing import Any

import pytest

from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.control.sessions import Session
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock
from tests.cluster.fakes import Alone, settings

Rows = list[tuple[str, tuple[Any, ...]]]


class Fast:
    """A disk that keeps nothing."""

    def write(self, rows: Rows, then: Callable[[str | None], None]) -> None:
        then(None)


class Rig:
    """A leader, the stores on its roster, and what it proposes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        of = settings("core")
        self.clock = Clock()
        self.core = ControlNode(Alone(self.clock), of, "10.0.0.1:7300", Fast(), blank(of, lambda bits: 1))
        self.core.cluster_state.roster = {
            f"disk-{it}": {"name": it, "addr": it, "zone": "z", "region": "r", "state": "full", "at": 1}
            for it in ("a", "b", "c")
        }
        self.core.cluster_state.shards = [["edge/1", 1, ""]]
        self.proposed: list[Json] = []
        monkeypatch.setattr(self.core.raft, "propose", lambda command, then: self.proposed.append(command))

    def session(self, name: str, kind: str, **extra: object) -> Session:
        return Session(name, "1", name, kind, "z", "r", "up", 0.0, 0.0, extra)

    def keep(self, *stores: str) -> None:
        """Look at the roster for 5 s, with sessions of these stores."""
        here = {it: self.session(it, "storage", disk=f"disk-{it}", enrolled=True) for it in stores}
        for step in range(50):
            self.core._keep_roster(here, step / 10)

    def drop(self) -> None:
        """Look for disks to drop, with an edge that lacks no copy."""
        edge = self.session("edge", "edge", table=0, loading=0, short=0, roster=9)
        self.core._drop_disks({edge.id: edge})


def test_a_store_that_is_silent_is_lost_and_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    rig.keep("a", "b")
    assert [list(it["set"]) for it in rig.proposed] == [["disk-c"]]
    rig.core.cluster_state.roster["disk-c"]["state"] = "lost"
    rig.drop()
    assert rig.proposed[-1]["drop"] == ["disk-c"]


def test_more_stores_than_may_be_lost_are_not_lost_but_unheard(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    rig.keep("a")
    rig.keep()
    assert rig.proposed == []


def test_nothing_is_dropped_while_too_few_stores_are_full(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Rig(monkeypatch)
    for name in ("b", "c"):
        rig.core.cluster_state.roster[f"disk-{name}"]["state"] = "lost"
    rig.drop()
    assert rig.proposed == []
