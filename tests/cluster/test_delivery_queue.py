"""What waits at an owner, a key at a time."""

import random

from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime


def message(name: str, number: int) -> Message:
    return Message(name, 0, name, "", "GET", "/", "r", "k", 0.0, 0.0, order=SequencePosition(1, number))


def test_one_accepted_before_goes_once_the_call_of_a_later_one_has_failed() -> None:
    clock, chance = Clock(), random.Random(1)
    host = Host("edge", "z", "10.0.0.1:7300")
    life = Incarnation(host, 1, lambda life, error: None)
    ready: list[str] = []
    delivery_queue = DeliveryQueue(
        SimulatedRuntime(Network(clock, chance, 0.001), life, chance, 0.0), lambda it: ready.append(it.id)
    )
    later, before = message("later", 2), message("before", 1)
    delivery_queue.add(later)
    later.in_flight = True
    delivery_queue.add(before)  # its copies took longer
    assert ready == ["later"]
    delivery_queue.requeue(later)
    assert ready == ["later", "before"]
