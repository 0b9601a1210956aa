"""Scenarios in which a control-plane node is partitioned while commands go to both sides."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from unittest.mock import patch

import pytest

from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.history import History, MachineInfo, Violation, What
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.quorum_contact import ContactTimeline
from amberlug.cluster.simulation.scenarios import Scenario, play

pytestmark = pytest.mark.usefixtures("suppressed_logs")

Plan = Callable[[Scenario, float, float], None]


def play_with_plan(seed: int, plan: Plan) -> list[Violation]:
    """Run a scenario with a plan in place of random faults; returns the violations.

    All endpoints send heartbeats to one control-plane node, and snapshots of the Raft logs are frequent.
    """
    day = Scenario(seed, "control")
    day.home, day.compact = day.deployment.cores[0].zone, 20
    with patch.object(day.control, "begin", partial(plan, day)):
        return day.play()


def control_node_partitioned(day: Scenario, start: float, end: float, form: str = "silent") -> None:
    """One control-plane node is partitioned for 20 s; the others and the storage nodes are restarted."""
    control, later, first = day.control, day.clock.call_later, day.deployment.cores[0]
    later(start - day.clock.now, partial(control.partition, first, 20.0, form, False))
    for machine in day.deployment.cores[1:] + day.deployment.stores:
        later(start + 9.0 - day.clock.now, partial(control.restart, machine))
    for number in range(24):
        later(start + 2.0 + number - day.clock.now, day.operator.order)
        later(start + 2.1 + number - day.clock.now, day.use_recent_routes)


def edges_start_during_partitions(day: Scenario, start: float, end: float) -> None:
    """Edge nodes repeatedly start just as a control-plane node is partitioned, during changes."""

    def act() -> None:
        day.control.partition(day.control.choose_node(), 2.0, "silent", False)
        day.control.restart_some_edges()
        day.clock.call_later(3.2, act if day.clock.now < end else lambda: None)

    day.clock.call_later(start - day.clock.now, act)


def leader_partitioned(day: Scenario, start: float, end: float) -> None:
    """The leader is repeatedly partitioned; commands go to it and to its successor."""

    def act() -> None:
        leader = day.leader()
        if leader is not None:
            day.control.partition(leader, 2.5, "silent", False)
            day.control.send_burst(day.clock.now + 3.5)
            for number in range(8):
                day.clock.call_later(0.3 * number, partial(day.operator.order, to=leader))
        day.clock.call_later(4.0, act if day.clock.now < end else lambda: None)

    day.clock.call_later(start - day.clock.now, act)


def repeats_after_snapshots(day: Scenario, start: float, end: float) -> None:
    """All changes are repeated, at control-plane nodes that have restarted from a snapshot since."""
    day.operator.repeats = 1.0

    def act(number: int) -> None:
        day.operator.order()
        if number % 20 == 0:
            day.control.restart(day.deployment.cores[number // 20 % len(day.deployment.cores)])
        day.clock.call_later(0.15, partial(act, number + 1) if day.clock.now < end else lambda: None)

    day.clock.call_later(start - day.clock.now, partial(act, 1))


@pytest.mark.parametrize("form", ["silent", "from", "refuse"])
def test_acknowledged_changes_reach_edges_while_a_control_node_is_partitioned(form: str) -> None:
    assert play_with_plan(7, partial(control_node_partitioned, form=form)) == []


@pytest.mark.parametrize("plan", [edges_start_during_partitions, leader_partitioned, repeats_after_snapshots])
def test_commands_and_starts_around_partitions_break_no_invariant(plan: Plan) -> None:
    assert play_with_plan(3, plan) == []


@pytest.mark.parametrize("seed", [2, 6])
def test_random_days_with_control_plane_partitions_break_no_invariant(seed: int) -> None:
    assert play(seed, "control") == []


@pytest.mark.parametrize(
    ("name", "plan"),
    [
        ("session-alone", control_node_partitioned),
        ("announce-alone", control_node_partitioned),
        ("unconfirmed-edge", edges_start_during_partitions),
        ("unconfirmed-refusal", leader_partitioned),
        ("old-read", leader_partitioned),
        ("repeat-refused", repeats_after_snapshots),
    ],
)
def test_a_mutation_of_a_control_node_without_quorum_is_detected(name: str, plan: Plan) -> None:
    # One run detects each of them with a probability of at least one half.
    with mutated(name):
        assert any(play_with_plan(seed, plan) for seed in range(1, 11))


def test_two_configurations_under_one_version_are_detected() -> None:
    with mutated("same-number"):
        assert any("on top of" in it.what for it in play(2, "control"))


def test_which_nodes_are_in_contact_while_a_control_node_is_partitioned() -> None:
    clock = Clock()
    history = History(clock)
    for name in ("edge-0", "edge-1", "core-0", "core-1", "core-2"):
        history.machine_infos[name] = MachineInfo(name, name[:4])
        history.record_event(name, What.START)
    clock.run(10.0)
    cut = {(a, b) for a in ("core-0",) for b in ("core-1", "core-2", "edge-1")}
    history.record_partitions(frozenset(cut))
    clock.run(16.0)
    history.record_event("core-2", What.END)
    history.record_event("core-2", What.START)
    clock.run(30.0)
    contact = ContactTimeline(history)
    assert contact.in_contact("edge-0", 5.0, 9.9)
    assert not contact.in_contact("edge-0", 13.0, 13.5)  # the partition is too recent
    assert contact.in_contact("edge-0", 14.1, 15.9)
    assert contact.in_contact("edge-1", 14.1, 15.9)  # the node that it can't reach reaches no majority either
    assert not contact.in_contact("core-0", 14.1, 15.9)
    assert contact.in_contact("core-1", 14.1, 15.9)
    assert not contact.in_contact("edge-0", 18.0, 19.0)  # a control-plane node was restarted
    assert contact.reaches("edge-0", 18.0, 19.0)
    assert contact.in_contact("edge-0", 20.1, 21.0)
