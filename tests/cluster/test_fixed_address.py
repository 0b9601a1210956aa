"""Services that get a configured address, move to another one, and return to announced endpoints."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.dispatch.call_outcome import ATTEMPT_HEADER, SEAL_HEADER
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.http.routing import RoutingTable, build
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall, Json
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.operator import route, service
from amberlug.cluster.simulation.scenarios import play
from amberlug.cluster.simulation.seed_search import run_seed
from tests.cluster.fakes import UnresponsiveRuntime, settings

ANNOUNCED, FIXED, OTHER_FIXED = "10.0.0.8:80", "10.0.0.9:80", "10.0.0.10:80"
INSTANCE = "i-1"
INSTANCE_HEADER = "Amberlug-Target-Instance"


class HeldCalls:
    """Endpoints at any address, which answer when they are told to."""

    def __init__(self) -> None:
        self.calls: list[EndpointCall] = []
        self._answers: list[Callable[[CallResult], None]] = []

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        self.calls.append(call)
        self._answers.append(on_result)

    def answer(self, status: int) -> None:
        """Answer the latest call."""
        headers = ((ATTEMPT_HEADER, self.calls[-1].attempt_id), (SEAL_HEADER, "seal"))
        self._answers[-1](CallResult(CallVerdict.ANSWERED, status, headers))

    def available_connections(self, address: str) -> int:
        return 0

    def close_idle_connections(self, address: str) -> None:
        pass


def table(index: int, *services: Json) -> RoutingTable:
    routes = [route("/plain/", "alpha")]
    return build(index, {"edition": index, "routeTable": routes, "serviceTable": list(services)})


def alpha(address: str | None) -> Json:
    return {**service("alpha"), "fixedAddress": address}


class Edge:
    """An edge node that knows one announced endpoint of the service `alpha`."""

    def __init__(self, address: str | None = None) -> None:
        self.clock, self.endpoints = Clock(), HeldCalls()
        runtime = UnresponsiveRuntime(self.clock)
        self.node = EdgeNode(runtime, settings("edge"), "10.0.0.1:7300", self.endpoints)
        self.configurations = 0
        self.configure(address)
        self.announce("ready")

    def configure(self, address: str | None) -> None:
        self.configurations += 1
        self.node.apply_routes(table(self.configurations, alpha(address)))

    def announce(self, condition: str) -> None:
        published = PublishedEndpoint("alpha", ANNOUNCED, "z0", 9, "", 0, condition)
        self.node.delivery.dispatchers.update_endpoint(INSTANCE, published)

    def send(self) -> None:
        number = len(self.node.delivery_queue.messages)
        attempt = f"m{number}"
        self.node.delivery.add(
            Message(
                f"0-{attempt}",
                0,
                attempt,
                HOST,
                "POST",
                "/plain/1",
                "r-plain",
                "",
                self.clock.now,
                self.clock.now,
                body=b"x",
                position=SequencePosition(1, number),
            )
        )

    def calls(self) -> list[tuple[str, str | None]]:
        """Address of each call, and the instance that it names."""
        return [(call.address, dict(call.headers).get(INSTANCE_HEADER)) for call in self.endpoints.calls]


def test_a_service_with_a_configured_address_is_called_there_alone() -> None:
    # ROUTE: announced endpoints were called too, without being named, also after their addresses were reused.
    edge = Edge()
    edge.configure(FIXED)
    for _ in range(20):
        edge.send()
    assert edge.calls() == [(FIXED, None)] * 20


def test_a_call_of_an_announced_endpoint_always_names_it() -> None:
    edge = Edge()
    edge.send()
    edge.configure(FIXED)
    edge.configure(None)
    edge.send()
    assert edge.calls() == [(ANNOUNCED, INSTANCE)] * 2


def test_a_waiting_message_goes_to_the_address_that_is_configured_meanwhile() -> None:
    edge = Edge()
    edge.announce("lost")
    edge.send()
    assert edge.calls() == []
    edge.configure(FIXED)
    assert edge.calls() == [(FIXED, None)]


def test_a_retry_goes_to_the_address_that_is_configured_meanwhile() -> None:
    edge = Edge()
    edge.send()
    edge.configure(FIXED)
    edge.endpoints.answer(500)
    edge.clock.run(1.0)
    assert edge.calls() == [(ANNOUNCED, INSTANCE), (FIXED, None)]


def test_a_service_moves_from_one_configured_address_to_another() -> None:
    edge = Edge(FIXED)
    edge.configure(OTHER_FIXED)
    edge.send()
    assert edge.calls() == [(OTHER_FIXED, None)]


def test_a_service_that_returns_from_a_configured_address_waits_for_announced_endpoints() -> None:
    edge = Edge(FIXED)
    edge.announce("gone")
    edge.configure(None)
    edge.send()
    assert edge.calls() == []
    edge.announce("ready")
    assert edge.calls() == [(ANNOUNCED, INSTANCE)]


def test_the_address_of_a_service_that_was_removed_is_forgotten() -> None:
    edge = Edge(FIXED)
    edge.configurations += 1
    edge.node.apply_routes(table(edge.configurations, service("beta")))
    edge.configure(None)
    edge.send()
    assert edge.calls() == [(ANNOUNCED, INSTANCE)]


def test_a_configured_address_that_answers_421_is_called_again() -> None:
    edge = Edge(FIXED)
    edge.send()
    edge.endpoints.answer(421)
    edge.clock.run(5.0)
    assert edge.calls() == [(FIXED, None)] * 2


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_other_service_runs_messages_after_a_service_has_moved(seed: int) -> None:
    assert play(seed, "addresses") == []


@pytest.mark.usefixtures("suppressed_logs")
def test_a_call_without_the_name_of_its_endpoint_is_found() -> None:
    assert any(run_seed(seed, "addresses", "listed-beside-fixed")[1] for seed in range(1, 21))
