"""Configurations that drop, rename, swap and reuse the names of routes while messages wait.

A message is routed by its host and target alone, by the newest configuration that its owner knows.
"""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.dispatch.call_outcome import ATTEMPT_HEADER, SEAL_HEADER
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.edge.outcomes import DROPPED
from amberlug.cluster.http.routing import RoutingTable, build
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall, Json
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.operator import route, service
from amberlug.cluster.simulation.scenarios import play
from amberlug.cluster.simulation.seed_search import run_seed
from tests.cluster.fakes import UnresponsiveRuntime, settings

DELAY_S = 5.0
PLAIN, OTHER = route("/plain/", "alpha"), route("/other/", "beta")
NAME = PLAIN["name"]
SERVICE_OF_ADDRESS = {"10.0.0.8:80": "alpha", "10.0.0.9:80": "beta"}


class RecordingEndpoints:
    """One endpoint of each of two services; records the calls, and answers each when told to."""

    def __init__(self) -> None:
        self.services: list[str] = []  # of the calls, in order
        self._open: list[tuple[EndpointCall, Callable[[CallResult], None]]] = []

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        self.services.append(SERVICE_OF_ADDRESS[call.address])
        self._open.append((call, on_result))

    def answer(self, status: int) -> None:
        call, on_result = self._open.pop(0)
        headers = ((ATTEMPT_HEADER, call.attempt_id), (SEAL_HEADER, "seal"))
        on_result(CallResult(CallVerdict.ANSWERED, status, headers))

    def available_connections(self, address: str) -> int:
        return 1

    def close_idle_connections(self, address: str) -> None:
        pass


def table(index: int, *routes: Json) -> RoutingTable:
    services = [service("alpha"), service("beta")]
    return build(index, {"edition": index, "routeTable": list(routes), "serviceTable": services})


class OneEdge:
    """An edge node that owns messages, with one endpoint of each service."""

    def __init__(self, *routes: Json, index: int = 1) -> None:
        self.clock, self.endpoints = Clock(), RecordingEndpoints()
        runtime = UnresponsiveRuntime(self.clock)
        self.node = EdgeNode(runtime, settings("edge"), "10.0.0.1:7300", self.endpoints)
        self.node.apply_routes(table(index, *routes))
        for address, name in SERVICE_OF_ADDRESS.items():
            published = PublishedEndpoint(name, address, "z0", 9, "", 0, "ready")
            self.node.delivery.dispatchers.update_endpoint(f"i-{name}", published)

    def add(self, attempt: str, delay_s: float = 0.0, key: str = "", config_index: int = 1) -> Message:
        """Add a message to /plain/ that was accepted by the configuration with that index."""
        position = SequencePosition(1, len(self.node.delivery_queue.messages))
        message = Message(
            f"0-{attempt}",
            0,
            attempt,
            f"{HOST}:8263",
            "POST",
            "/plain/1?a=/other/",
            NAME,
            key,
            self.clock.now,
            self.clock.now + delay_s,
            body=b"x",
            position=position,
            config_index=config_index,
        )
        self.node.delivery.add(message)
        return message

    def outcome(self, message: Message) -> str:
        recorded = self.node.delivery.outcomes.get(message.id)
        return recorded.status if recorded is not None else ""


# By name: the routes of the next configuration, and the service that a waiting message to /plain/ goes to.
CHANGES: dict[str, tuple[tuple[Json, ...], str]] = {
    "reused": (({**OTHER, "name": NAME},), ""),
    "reused-beside": (({**OTHER, "name": NAME}, {**PLAIN, "name": "r-new"}), "alpha"),
    "swapped": (({**PLAIN, "name": OTHER["name"]}, {**OTHER, "name": NAME}), "alpha"),
    "renamed": (({**PLAIN, "name": "r-new"}, OTHER), "alpha"),
    "widened": (({**PLAIN, "pathPrefix": "/"}, OTHER), "alpha"),
    "narrowed": (({**PLAIN, "pathPrefix": "/plain/2/"}, OTHER), ""),
    "other-host": (({**PLAIN, "authority": "other.example"}, OTHER), ""),
    "moved": (({**PLAIN, "targetService": "beta"}, OTHER), "beta"),
    "moved-and-split": (
        ({**PLAIN, "targetService": "beta"}, {**PLAIN, "name": "r-1", "pathPrefix": "/plain/1"}),
        "alpha",
    ),
    "dropped": ((OTHER,), ""),
}


@pytest.mark.parametrize("change", CHANGES)
def test_a_waiting_message_goes_where_the_newest_configuration_routes_its_request(change: str) -> None:
    # ROUTE: a version that gave the route's name to another path sent waiting messages to that one's service.
    routes, expected = CHANGES[change]
    edge = OneEdge(PLAIN, OTHER)
    message = edge.add("a", DELAY_S)
    edge.node.apply_routes(table(2, *routes))
    edge.clock.run(DELAY_S + 1.0)
    assert edge.endpoints.services == [expected] * bool(expected)
    assert edge.outcome(message) == ("" if expected else DROPPED.status)


@pytest.mark.parametrize("change", CHANGES)
def test_a_recovered_message_goes_where_the_newest_configuration_routes_its_request(change: str) -> None:
    # ROUTE: the same for an owner that recovers the message after the version has come into force.
    routes, expected = CHANGES[change]
    edge = OneEdge(*routes, index=2)
    message = edge.add("a", DELAY_S)
    edge.clock.run(DELAY_S + 1.0)
    assert edge.endpoints.services == [expected] * bool(expected)
    assert edge.outcome(message) == ("" if expected else DROPPED.status)


@pytest.mark.parametrize("change", CHANGES)
def test_a_failed_call_is_retried_where_the_newest_configuration_routes_its_request(change: str) -> None:
    # ROUTE: the same for a message whose call is in flight as the version comes into force.
    routes, expected = CHANGES[change]
    edge = OneEdge(PLAIN, OTHER)
    message = edge.add("a")
    edge.node.apply_routes(table(2, *routes))
    edge.endpoints.answer(500)
    edge.clock.run(1.0)
    assert edge.endpoints.services == ["alpha", *[expected] * bool(expected)]
    assert edge.outcome(message) == ("" if expected else "dead")


@pytest.mark.parametrize("change", ["reused-beside", "swapped", "renamed", "moved"])
def test_waiting_messages_of_a_key_keep_their_order_when_names_change(change: str) -> None:
    # ORDER: none of them is dispatched by the previous configuration while the routes are assigned.
    routes, expected = CHANGES[change]
    edge = OneEdge(PLAIN, OTHER)
    messages = [edge.add(attempt, DELAY_S, "k") for attempt in "abc"]
    edge.node.apply_routes(table(2, *routes))
    edge.clock.run(DELAY_S + 1.0)
    for number, message in enumerate(messages, 1):
        assert edge.endpoints.services == [expected] * number
        edge.endpoints.answer(200)
        assert edge.outcome(message) == "done"


@pytest.mark.parametrize(
    "older",
    [({**OTHER, "name": NAME},), ({**PLAIN, "targetService": "beta"},), ({**OTHER, "pathPrefix": "/"},), ()],
    ids=["reused", "moved", "covered", "unknown"],
)
@pytest.mark.parametrize("delay_s", [0.0, DELAY_S])
def test_a_message_waits_for_the_configuration_that_accepted_it(
    older: tuple[Json, ...], delay_s: float
) -> None:
    # ROUTE, CONFIG: an owner with an older configuration called the service that this one gave.
    edge = OneEdge(*older)
    message = edge.add("a", delay_s, config_index=2)
    edge.clock.run(delay_s + 1.0)
    assert edge.endpoints.services == []
    edge.node.apply_routes(table(2, PLAIN))
    edge.clock.run(edge.clock.now + 1.0)
    assert edge.endpoints.services == ["alpha"]
    edge.endpoints.answer(200)
    assert edge.outcome(message) == "done"


@given(
    prefixes=st.lists(st.text("ab/", max_size=4).map(lambda text: f"/{text}"), unique=True, max_size=6),
    path=st.text("ab/", max_size=6).map(lambda text: f"/{text}"),
)
def test_the_longest_prefix_of_a_path_gives_its_route(prefixes: list[str], path: str) -> None:
    found = table(1, *(route(prefix, "alpha") for prefix in prefixes)).match(
        f"{HOST.upper()}:8263", f"{path}?b"
    )
    expected = max((prefix for prefix in prefixes if path.startswith(prefix)), key=len, default=None)
    assert (found.prefix if found is not None else None) == expected


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("seed", [2, 3, 17])
def test_days_on_which_names_of_routes_change_break_no_invariant(seed: int) -> None:
    # ROUTE, CONFIG, LOST: the same in whole deployments, across restarts, freezes and take-overs.
    assert play(seed, "routes") == []


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("name", ["route-by-name"])
def test_a_wrong_route_is_found(name: str) -> None:
    assert any(run_seed(seed, "routes", name)[1] for seed in range(1, 21))
