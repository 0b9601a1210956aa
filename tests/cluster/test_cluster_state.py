"""What the replicated state keeps, and what it forgets when."""

import json
from typing import Any

from amberlug.cluster.control.cluster_state import (
    CONFIG_HASH_RETENTION_S,
    GONE_RETENTION_S,
    LEAVING_RETENTION_S,
    MAX_CONFIG_HASHES,
    MIN_CONFIG_HASHES,
    ClusterState,
)
from amberlug.cluster.control.state_entries import EndpointRank, StoreState
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.mutations import mutated

LEAVING, GONE = EndpointRank.LEAVING, EndpointRank.GONE


class Log:
    """A replica, and commands for it as a leader proposes them."""

    def __init__(self) -> None:
        self.cluster_state = ClusterState()
        self.index = 0

    def give(self, do: str, after: float = 0.0, **command: Any) -> Json:
        self.index += 1
        return self.cluster_state.apply(self.index, {"do": do, "after": after, **command})

    def change(self, edition: int, base: int, sum_: str, after: float = 0.0) -> Json:
        return self.give("config", after, base=base, edition=edition, sum=sum_, config={"edition": edition})

    def move(self) -> None:
        """Another member goes on, from a snapshot."""
        text = json.dumps(self.cluster_state.to_json())
        self.cluster_state = ClusterState()
        self.cluster_state.from_json(json.loads(text))


def test_of_two_changes_under_one_number_one_is_taken_and_its_repeats_are_known() -> None:
    log = Log()
    assert log.change(1, 0, "first") == {"ok": True}
    assert log.change(5, 1, "mine") == {"ok": True}
    assert log.change(5, 1, "yours")["status"] == 412
    for _ in range(2):
        assert log.cluster_state.check_config(1, 5, "mine").to_wire() == {"again": True}
        assert log.change(5, 1, "mine") == {"again": True}
        assert log.change(5, 1, "yours")["status"] == 412
        assert log.change(5, 5, "yours")["status"] == 400
        log.move()
    assert log.change(6, 5, "next") == {"ok": True}
    assert log.cluster_state.check_config(1, 5, "mine").to_wire() == {"again": True}
    assert log.cluster_state.config == {"edition": 6}


def forgets(changes: int, seconds: float) -> Json:
    """What is said to a repeat of the first edition after so many changes, each so many seconds apart."""
    log = Log()
    for it in range(1, changes + 1):
        assert log.change(it, it - 1, f"sum {it}", seconds) == {"ok": True}
    log.move()
    return log.cluster_state.check_config(0, 1, "sum 1").to_wire()


def test_a_repeat_is_known_after_an_hour_and_after_a_thousand_changes_and_never_refused() -> None:
    assert forgets(MIN_CONFIG_HASHES, CONFIG_HASH_RETENTION_S) == {"again": True}
    assert forgets(3000, CONFIG_HASH_RETENTION_S / 3001) == {"again": True}
    assert forgets(MIN_CONFIG_HASHES + 2, 2 * CONFIG_HASH_RETENTION_S)["status"] == 503
    assert forgets(MAX_CONFIG_HASHES + 2, 0.0)["status"] == 503
    with mutated("editions-by-count"):
        assert forgets(400, 0.0) != {"again": True}


def test_endpoints_that_leave_are_kept_by_time_whatever_their_number() -> None:
    log = Log()
    log.give("drain", ids=[["first", LEAVING, 7], ["second", LEAVING, 1]])
    for it in range(20):
        log.give("drain", 1.0, ids=[[f"e{it}-{at}", LEAVING, 1] for at in range(500)])
    log.move()
    assert log.cluster_state.departure("first") == (LEAVING, 7)
    log.give(
        "drain",
        ids=[
            ["first", GONE, 0],
            ["second", GONE, 2],
            ["second", LEAVING, 3],
        ],
    )
    assert (log.cluster_state.departure("first"), log.cluster_state.departure("second")) == (
        (GONE, 0),
        (GONE, 2),
    )
    log.give("drain", GONE_RETENTION_S - 1, ids=[])
    assert log.cluster_state.departure("first") == (GONE, 0)
    log.give("drain", 2.0, ids=[])
    assert log.cluster_state.departure("first") == (0, 0)
    assert log.cluster_state.departure("e0-0") == (LEAVING, 1)
    log.give("drain", LEAVING_RETENTION_S, ids=[])
    assert (log.cluster_state.leaving, log.cluster_state.gone) == ({}, {})


def test_what_has_changed_of_endpoints_is_told_once_and_all_of_it_after_a_snapshot() -> None:
    log = Log()
    log.give("drain", ids=[["a", LEAVING, 1], ["b", GONE, 2]])
    log.give("drain", ids=[["a", LEAVING, 1]])
    assert log.cluster_state.take_changed_departures() == {
        "a": (LEAVING, 1),
        "b": (GONE, 2),
    }
    assert log.cluster_state.take_changed_departures() == {}
    log.move()
    assert log.cluster_state.take_changed_departures() == {
        "a": (LEAVING, 1),
        "b": (GONE, 2),
    }


def test_a_snapshot_of_the_version_before_is_read() -> None:
    cluster_state = ClusterState()
    before = {"edition": 3, "hashes": {"2": "x", "3": "y"}, "drains": {"a": [1, 7], "b": [2, 0]}}
    cluster_state.from_json(before)
    assert cluster_state.check_config(1, 2, "x").to_wire() == {"again": True}
    assert (cluster_state.departure("a"), cluster_state.departure("b")) == (
        (LEAVING, 7),
        (GONE, 0),
    )


def test_a_store_that_is_away_is_known_to_an_order_to_empty_it() -> None:
    log = Log()
    place = {"name": "store-1", "addr": "a", "zone": "z", "region": "r"}
    log.give("roster", set={"disk": {**place, "state": "full"}})
    log.give("roster", set={"disk": {**place, "state": "lost"}})
    assert log.give("retire", name="store-2")["status"] == 404
    assert log.give("retire", name="store-1") == {"ok": True}
    assert log.cluster_state.roster["disk"].state is StoreState.RETIRING
    assert log.give("retire", name="store-1") == {"again": True}
    log.give("roster", drop=["disk"])
    assert log.cluster_state.retirements == {"store-1": "completed"}
