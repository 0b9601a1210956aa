"""The rate limit of a service, of which each edge uses a share."""

import random
from collections.abc import Callable
from functools import partial

from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.dispatch.dispatcher import DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime
from tests.cluster.fakes import ROUTE_TO_S


class OneEndpoint:
    """An endpoint that responds to each call after 10 ms."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls = 0

    def available_connections(self, address: str) -> int:
        return 1

    def close_idle_connections(self, address: str) -> None:
        pass

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        self.calls += 1
        self.clock.call_later(0.01, partial(on_result, CallResult(CallVerdict.ANSWERED, 200)))


def test_a_fractional_rate_share_is_used_in_full() -> None:
    clock, rng = Clock(), random.Random(1)
    network = Network(clock, rng, 0.001)
    runtime = SimulatedRuntime(
        network, Incarnation(Host("edge", "z", "10.0.0.1:7300"), 1, lambda incarnation, error: None), rng, 0.0
    )
    pool, endpoints = EndpointPool("z", rng, lambda address: 1), OneEndpoint(clock)
    pool.update("i", PublishedEndpoint("s", "a", "z", 9, "", 0, "ready"), 0.0)
    callbacks = DispatchCallbacks(lambda message: 1.0, lambda message, result: None)
    service = Dispatcher("s", runtime, pool, endpoints, callbacks)
    service.set_rate(8.0, 0.2)
    for number in range(100):
        service.add(
            Message(f"m{number}", 0, f"{number}", "", "GET", "/", "r", "", 0.0, 0.0, route=ROUTE_TO_S)
        )
    clock.run(20.0)
    assert 30 <= endpoints.calls <= 34  # 1.6 per second for 20 s
