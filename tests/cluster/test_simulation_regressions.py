"""Regressions of faults that the simulation found, each in the smallest scenario that reproduces it."""

from dataclasses import replace
from functools import partial

import pytest

from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.messages import CallEnded
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.simulation.history import Violation
from amberlug.cluster.simulation.scenarios import TRAFFIC_S, Scenario
from amberlug.cluster.storage.outcomes import MessageOutcome

pytestmark = pytest.mark.usefixtures("suppressed_logs")


def rules(broken: list[Violation]) -> set[str]:
    return {it.invariant for it in broken}


class CutThenDark(Scenario):
    """An edge node is partitioned for longer than writes are retried; later all machines lose power."""

    def _plan(self, start: float, end: float) -> None:
        deployment = self.deployment
        pairs = {
            pair
            for it in deployment.machines
            for pair in ((deployment.edges[1].name, it.name), (it.name, deployment.edges[1].name))
        }
        self.history.record_disturbance(f"{deployment.edges[1].name} is to be cut off", 3.0)
        self.clock.call_later(start - TRAFFIC_S, partial(deployment.net.cut, pairs))
        self.clock.call_later(start - TRAFFIC_S + 1.9, partial(deployment.net.heal, pairs))
        self.clock.call_later(end - TRAFFIC_S, self._dark)

    def _dark(self) -> None:
        self.history.record_disturbance("all machines lose power", 1.0)
        for machine in self.deployment.machines:
            machine.power_off()
            self.clock.call_later(1.0, machine.start)


@pytest.mark.parametrize("seed", [2, 6])
def test_a_resubmitted_message_is_not_recorded_as_dropped(seed: int) -> None:
    assert rules(CutThenDark(seed).play()) == set()


class Calm(Scenario):
    """A scenario without faults."""

    def _plan(self, start: float, end: float) -> None:
        pass


def test_a_message_that_is_replicated_again_keeps_its_position() -> None:
    day = Calm(1)
    day.play()
    edge = day.deployment.edges[0].part
    number, shard = next(iter(edge.shard_owner.owned.items()))
    message = Message(
        f"{number:x}-again",
        number,
        "again",
        "",
        "GET",
        "/",
        "r",
        "k",
        0.0,
        0.0,
        position=SequencePosition(3, 7),
    )
    edge.replicator.replicate(message, shard.epoch, lambda put: None)
    day.clock.run(day.clock.now + 0.5)
    stored = [it.part.contents.messages.get(message.id) for it in day.deployment.stores]
    positions = {(it.shard, it.accepted_epoch, it.sequence) for it in stored if it is not None}
    assert positions == {(number, 3, 7)}


def call_in_flight(day: Scenario) -> tuple[EdgeNode, Message]:
    """Run a scenario and send a message; returns the edge node with its call in flight, and the message."""
    day.play()
    day.clients.send("/plain/")
    edges: list[EdgeNode] = [machine.part for machine in day.deployment.edges]
    while True:
        for edge in edges:
            for message in edge.delivery_queue.messages.values():
                if message.in_flight:
                    return edge, message
        day.clock.run(day.clock.now + 0.001)


def test_a_late_report_of_the_previous_owner_does_not_repeat_a_call() -> None:
    day = Calm(1)
    edge, message = call_in_flight(day)
    edge.shard_owner.handover.on_outcome(
        CallEnded(message.id, MessageOutcome(), False), "", lambda reply: None
    )
    day.clock.run(day.clock.now + 1.0)
    assert sum(run.attempt == message.attempt_id for run in day.history.runs) == 1


def test_the_outcome_of_a_call_is_recorded_after_its_route_changed_service() -> None:
    day = Calm(1)
    edge, message = call_in_flight(day)
    assert message.route is not None
    message.route = replace(message.route, service="beta")
    assert [it.call_ends_by is not None for it in edge.delivery.release_shard(message.shard)] == [True]
