"""A single edge node, and one whose storage nodes fail."""

from collections.abc import Callable
from functools import partial

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.interfaces import CallResult, EndpointCall
from amberlug.cluster.simulation.clients import HOST
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.deployment import Request
from amberlug.cluster.simulation.scenarios import Scenario
from amberlug.cluster.storage.outcomes import MessageOutcome
from tests.cluster.fakes import UnresponsiveRuntime, settings


class UnresponsiveEndpoints:
    """Endpoints that never respond."""

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        pass

    def available_connections(self, address: str) -> int:
        return 0

    def close_idle_connections(self, address: str) -> None:
        pass


def test_a_message_whose_outcome_is_stored_is_not_called_after_its_repair() -> None:
    edge = EdgeNode(UnresponsiveRuntime(Clock()), settings("edge"), "10.0.0.1:7300", UnresponsiveEndpoints())
    message = Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 100.0)
    edge.delivery_queue.add(message)
    message.outcome = MessageOutcome("done", "seal")  # set by the reply to a replica write
    edge.repair.repair_finished(message)
    assert edge.delivery_queue.messages == {}
    assert edge.delivery.outcomes.get("0-x") == MessageOutcome("done", "seal")


def test_submissions_are_rejected_at_once_while_too_few_storage_nodes_answer() -> None:
    # Without a check of availability, each submission would wait until its write times out.
    day = Scenario(2, "quiet")
    for machine in day.deployment.machines:
        machine.start()
    day.clock.call_later(0.6, day.operator.begin)
    day.clock.run(5.0)
    stores = day.deployment.stores
    responses: list[tuple[float, int]] = []  # latency in seconds, status

    def post(number: int) -> None:
        edge, sent_at = day.deployment.edges[0], day.clock.now
        headers = (("host", HOST), ("amberlug-attempt-id", f"m{number}"), ("amberlug-time-remaining", "1500"))
        day.deployment.front(
            edge,
            Request("POST", f"/plain/{number}", headers, b"x"),
            2.0,
            lambda status, *rest: responses.append((day.clock.now - sent_at, status)),
        )

    for store in stores[1:]:
        store.power_off()
    for number in range(40):
        day.clock.call_later(0.02 * number, partial(post, number))
    day.clock.run(day.clock.now + 3.0)
    late = sum(latency_s > 0.05 for latency_s, _ in responses)
    assert {status for _, status in responses} == {503, 504}
    assert late <= 12, "only submissions sent before the failure was detected may wait"
    for store in stores[1:]:
        store.start()
    day.clock.run(day.clock.now + 4.0)
    responses.clear()
    post(99)
    day.clock.run(day.clock.now + 1.0)
    assert [status for _, status in responses] == [202]
