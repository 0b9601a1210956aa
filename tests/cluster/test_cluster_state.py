"""Retention of entries in the replicated state: configuration hashes, departures and retirements."""

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
from amberlug.cluster.control.state_entries import EndpointRank, Retirement, StoreState
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.mutations import mutated

LEAVING, GONE = EndpointRank.LEAVING, EndpointRank.GONE


class Log:
    """A replica of the state, to which commands are applied in their log format."""

    def __init__(self) -> None:
        self.cluster_state = ClusterState()
        self.index = 0

    def apply(self, do: str, after: float = 0.0, **command: Any) -> Json:
        self.index += 1
        return self.cluster_state.apply_entry(self.index, {"do": do, "after": after, **command})

    def replace_config(self, edition: int, base: int, sum_: str, after: float = 0.0) -> Json:
        return self.apply("config", after, base=base, edition=edition, sum=sum_, config={"edition": edition})

    def restore_from_snapshot(self) -> None:
        """Replace the replica by a new one, restored from its snapshot."""
        text = json.dumps(self.cluster_state.to_json())
        self.cluster_state = ClusterState()
        self.cluster_state.from_json(json.loads(text))


def test_one_of_two_changes_of_the_same_version_is_accepted_and_its_repeats_are_recognized() -> None:
    log = Log()
    assert log.replace_config(1, 0, "first") == {"ok": True}
    assert log.replace_config(5, 1, "mine") == {"ok": True}
    assert log.replace_config(5, 1, "yours")["status"] == 412
    for _ in range(2):
        assert log.cluster_state.check_config(1, 5, "mine").to_wire() == {"again": True}
        assert log.replace_config(5, 1, "mine") == {"again": True}
        assert log.replace_config(5, 1, "yours")["status"] == 412
        assert log.replace_config(5, 5, "yours")["status"] == 400
        log.restore_from_snapshot()
    assert log.replace_config(6, 5, "next") == {"ok": True}
    assert log.cluster_state.check_config(1, 5, "mine").to_wire() == {"again": True}
    assert log.cluster_state.config == {"edition": 6}


def answer_to_repeat(changes: int, seconds: float) -> Json:
    """Return the answer to a repeat of the first call after `changes` changes that are `seconds` apart."""
    log = Log()
    for version in range(1, changes + 1):
        assert log.replace_config(version, version - 1, f"sum {version}", seconds) == {"ok": True}
    log.restore_from_snapshot()
    return log.cluster_state.check_config(0, 1, "sum 1").to_wire()


def test_a_repeat_is_recognized_for_an_hour_and_a_thousand_changes_and_then_answered_503() -> None:
    assert answer_to_repeat(MIN_CONFIG_HASHES, CONFIG_HASH_RETENTION_S) == {"again": True}
    assert answer_to_repeat(3000, CONFIG_HASH_RETENTION_S / 3001) == {"again": True}
    assert answer_to_repeat(MIN_CONFIG_HASHES + 2, 2 * CONFIG_HASH_RETENTION_S)["status"] == 503
    assert answer_to_repeat(MAX_CONFIG_HASHES + 2, 0.0)["status"] == 503
    with mutated("editions-by-count"):
        assert answer_to_repeat(400, 0.0) != {"again": True}


def test_departures_of_endpoints_are_retained_by_time_whatever_their_number() -> None:
    log = Log()
    log.apply("drain", ids=[["first", LEAVING, 7], ["second", LEAVING, 1]])
    for batch in range(20):
        log.apply("drain", 1.0, ids=[[f"e{batch}-{number}", LEAVING, 1] for number in range(500)])
    log.restore_from_snapshot()
    assert log.cluster_state.departure("first") == (LEAVING, 7)
    log.apply(
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
    log.apply("drain", GONE_RETENTION_S - 1, ids=[])
    assert log.cluster_state.departure("first") == (GONE, 0)
    log.apply("drain", 2.0, ids=[])
    assert log.cluster_state.departure("first") == (0, 0)
    assert log.cluster_state.departure("e0-0") == (LEAVING, 1)
    log.apply("drain", LEAVING_RETENTION_S, ids=[])
    assert (log.cluster_state.leaving, log.cluster_state.gone) == ({}, {})


def test_changed_departures_are_returned_once_and_all_of_them_after_a_snapshot() -> None:
    log = Log()
    log.apply("drain", ids=[["a", LEAVING, 1], ["b", GONE, 2]])
    log.apply("drain", ids=[["a", LEAVING, 1]])
    assert log.cluster_state.take_changed_departures() == {
        "a": (LEAVING, 1),
        "b": (GONE, 2),
    }
    assert log.cluster_state.take_changed_departures() == {}
    log.restore_from_snapshot()
    assert log.cluster_state.take_changed_departures() == {
        "a": (LEAVING, 1),
        "b": (GONE, 2),
    }


def test_a_snapshot_of_an_earlier_version_is_restored() -> None:
    cluster_state = ClusterState()
    before = {"edition": 3, "hashes": {"2": "x", "3": "y"}, "drains": {"a": [1, 7], "b": [2, 0]}}
    cluster_state.from_json(before)
    assert cluster_state.check_config(1, 2, "x").to_wire() == {"again": True}
    assert (cluster_state.departure("a"), cluster_state.departure("b")) == (
        (LEAVING, 7),
        (GONE, 0),
    )


def test_a_lost_storage_node_can_still_be_retired() -> None:
    log = Log()
    placement = {"name": "store-1", "addr": "a", "zone": "z", "region": "r"}
    log.apply("roster", set={"disk": {**placement, "state": "full"}})
    log.apply("roster", set={"disk": {**placement, "state": "lost"}})
    assert log.apply("retire", name="store-2")["status"] == 404
    assert log.apply("retire", name="store-1") == {"ok": True}
    assert log.cluster_state.roster["disk"].state is StoreState.RETIRING
    assert log.apply("retire", name="store-1") == {"again": True}
    log.apply("roster", drop=["disk"])
    assert log.cluster_state.retirements == {"store-1": Retirement.COMPLETED}
    assert log.cluster_state.to_json()["retired"] == {"store-1": "completed"}
