"""A service's own rate, spent in parts."""

import random
from collections.abc import Callable
from functools import partial

from amberlug.cluster.dispatch.dispatcher import DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_pool import EndpointAnnouncement, EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime


class OneEndpoint:
    """Endpoints that answer at once."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls = 0

    def idle(self, address: str) -> int:
        return 1

    def forget(self, address: str) -> None:
        pass

    def call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None:
        self.calls += 1
        self.clock.call_later(0.01, partial(then, CallResult(CallVerdict.ANSWERED, 200)))


def test_a_part_of_a_rate_is_spent_whole() -> None:
    clock, chance = Clock(), random.Random(1)
    net = Network(clock, chance, 0.001)
    world = SimulatedRuntime(
        net, Incarnation(Host("edge", "z", "10.0.0.1:7300"), 1, lambda life, error: None), chance, 0.0
    )
    pool, endpoints = EndpointPool("z", chance, lambda address: 1), OneEndpoint(clock)
    pool.update("i", EndpointAnnouncement("s", "a", "z", 9, 0.0, "ready"), 0.0)
    callbacks = DispatchCallbacks(lambda message: 1.0, lambda message, result: None)
    service = Dispatcher("s", world, pool, endpoints, callbacks)
    service.set_rate(8.0, 0.2)
    for number in range(100):
        service.add(Message(f"m{number}", 0, f"{number}", "", "GET", "/", "r", "", 0.0, 0.0, service="s"))
    clock.run(20.0)
    assert 30 <= endpoints.calls <= 34  # 1.6 a second
