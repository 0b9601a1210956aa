"""The delivery queue delivers messages of one sequence key in order, one at a time."""

import random

from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime


def new_message(message_id: str, number: int) -> Message:
    return Message(
        message_id, 0, message_id, "", "GET", "/", "r", "k", 0.0, 0.0, position=SequencePosition(1, number)
    )


def test_an_earlier_message_is_ready_once_the_call_of_a_later_one_of_its_key_failed() -> None:
    clock, rng = Clock(), random.Random(1)
    host = Host("edge", "z", "10.0.0.1:7300")
    incarnation = Incarnation(host, 1, lambda incarnation, error: None)
    ready: list[str] = []
    delivery_queue = DeliveryQueue(
        SimulatedRuntime(Network(clock, rng, 0.001), incarnation, rng, 0.0),
        lambda message: ready.append(message.id),
    )
    later, earlier = new_message("later", 2), new_message("earlier", 1)
    delivery_queue.add(later)
    later.in_flight = True
    delivery_queue.add(earlier)  # admitted later, because its replica writes took longer
    assert ready == ["later"]
    delivery_queue.requeue(later)
    assert ready == ["later", "earlier"]
