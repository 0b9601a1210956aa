"""Regressions of faults that benchmarks found; each test fails without the fix."""

import asyncio
import random

import pytest

from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.control.shard_assignment import assign_shards
from amberlug.cluster.dispatch.dispatcher import DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.http.message import Response
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime
from tests.cluster.fakes import ROUTE_TO_S
from tests.cluster.test_rates import OneEndpoint


class FullAtFirst(OneEndpoint):
    """Endpoints that reject the first calls as full, and succeed after that."""

    full = 12

    def call(self, delivery: EndpointCall, then: object) -> None:
        self.calls += 1
        attempt = ("amberlug-attempt-id", delivery.attempt_id)
        turned_away = CallResult(CallVerdict.ANSWERED, 503, (attempt, ("amberlug-not-executed", "1")))
        done = CallResult(CallVerdict.ANSWERED, 200, (attempt, ("amberlug-server-seal", "s")))
        assert callable(then)
        result = turned_away if self.calls <= self.full else done
        self.clock.call_later(0.01 if result is turned_away else 0.1, lambda: then(result))


def dispatch(endpoints: OneEndpoint, clock: Clock, slots: int) -> tuple[Dispatcher, list[str]]:
    """Create the dispatcher of a service with one endpoint, and the list of completed message ids."""
    net = Network(clock, random.Random(1), 0.001)
    host = Host("edge", "z", "10.0.0.1:7300")
    world = SimulatedRuntime(net, Incarnation(host, 1, lambda incarnation, error: None), net.rng, 0.0)
    pool = EndpointPool("z", net.rng, lambda address: 1)
    pool.update("i", PublishedEndpoint("s", "a", "z", slots, "", 0, "ready"), 0.0)
    done: list[str] = []

    def finished(message: Message, called: CallResult) -> None:
        message.in_flight = False
        if called.status == 200:
            message.ended = True
            done.append(message.id)
        else:
            clock.call_later(0.02, lambda: service.add(message))

    service = Dispatcher("s", world, pool, endpoints, DispatchCallbacks(lambda message: 1.0, finished))
    return service, done


def test_full_endpoints_after_a_start_do_not_lower_the_learned_rate() -> None:
    clock = Clock()
    endpoints = FullAtFirst(clock)
    service, done = dispatch(endpoints, clock, 8)
    for number in range(200):
        service.add(
            Message(f"m{number}", 0, f"{number}", "", "GET", "/", "r", "", 0.0, 0.0, route=ROUTE_TO_S)
        )
    clock.run(4.0)
    assert len(done) == 200  # 8 slots serve 80 per second; a limit learned from 12 refusals let 100 through


@pytest.mark.parametrize(
    ("owners", "live", "keep", "moved"),
    [
        (["a", "a", "b", "b"], ["a", "b"], [], {}),
        (["a", "a", "b", "b"], ["b"], [], {"b": [0, 1]}),
        (["a", "a", "b", "b"], ["b", "c"], ["a"], {"c": [3]}),  # shards of kept owners count for no one
        (["", "", "", ""], ["a", "b"], [], {"a": [0, 1], "b": [2, 3]}),
    ],
)
def test_shards_move_only_where_they_must(
    owners: list[str], live: list[str], keep: list[str], moved: dict[str, list[int]]
) -> None:
    assert {name: it for name, it in assign_shards(owners, live, 4, keep).items() if it} == moved


def test_an_old_connection_closes_with_its_next_response() -> None:
    async def play() -> list[bytes]:
        server = Server(lambda asked, answer: answer(Response(200)), Limits, max_connection_age_s=100.0)
        await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        heads, clock = [], asyncio.get_running_loop().time
        for late in (0.0, 200.0):
            server.time = lambda late=late: clock() + late  # type: ignore[misc]
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()
        server.stop()
        return heads

    young, old = asyncio.run(play())
    assert b"Connection: close" not in young
    assert b"Connection: close" in old
