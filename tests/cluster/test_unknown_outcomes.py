"""Requests with an unknown outcome: timeouts, lost connections, unsent requests, repeated replies."""

import itertools

import pytest
from result import Err, Ok

from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.control.published_state import ShardTable
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.http.api import HttpResponse
from amberlug.cluster.interfaces import Json, Reply, ReplyCallback, RequestFailure
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.deployment import Request
from amberlug.cluster.simulation.mutations_answers import FAULTS
from tests.cluster.fakes import UnresponsiveRuntime, settings
from tests.cluster.test_control_node import InstantDisk
from tests.cluster.test_edge_node import UnresponsiveEndpoints

TABLE_WITH_REMOTE_OWNER = ShardTable.from_wire(
    1, {"owners": [["edge/other", {"addr": "10.0.0.9:7300"}]], "shards": [[0, 1, -1]]}
)
OFFER_RESULTS = [*RequestFailure, *AdmissionOutcome]


def offer(
    results: tuple[RequestFailure | AdmissionOutcome, ...],
) -> tuple[list[AdmissionOutcome], list[Json], list[ReplyCallback]]:
    """Offer a message to a remote owner that replies with these results in order, repeating the last one."""
    clock = Clock()
    runtime = UnresponsiveRuntime(clock)
    edge = EdgeNode(runtime, settings("edge"), "10.0.0.1:7300", UnresponsiveEndpoints())
    edge.shard_owner.update_table(TABLE_WITH_REMOTE_OWNER)
    outcomes: list[AdmissionOutcome] = []
    message = Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 0.0)
    edge.forwarder.submit(message, 1.5, outcomes.append)
    sent: list[Json] = []
    callbacks: list[ReplyCallback] = []
    while len(sent) < 30 and (
        new := [request for request in runtime.requests[len(sent) :] if request[1] == "offer"]
    ):
        for _, _, body, on_reply in new:
            result = results[min(len(sent), len(results) - 1)]
            sent.append(body)
            callbacks.append(on_reply)
            if isinstance(result, RequestFailure):
                on_reply(Err(result))
            else:
                on_reply(Ok(Reply({"taken": result.value})))
        clock.run(clock.now + 0.1)
    clock.run(5.0)
    return outcomes, sent, callbacks


@pytest.mark.parametrize("results", list(itertools.product(OFFER_RESULTS, repeat=2)))
def test_a_submission_of_unknown_outcome_keeps_its_id_and_is_never_rejected(
    results: tuple[RequestFailure | AdmissionOutcome, ...],
) -> None:
    outcomes, sent, callbacks = offer(results)
    assert len(outcomes) == 1
    assert {body["id"] for body in sent} == {"0-x"}
    if AdmissionOutcome.ACCEPTED in results:
        assert outcomes == [AdmissionOutcome.ACCEPTED]
        offers_needed = results.index(AdmissionOutcome.ACCEPTED) + 1
        assert len(sent) == offers_needed, "an accepted message was offered again"
    else:
        is_not_stored = all(
            result in (RequestFailure.NOT_SENT, AdmissionOutcome.REJECTED) for result in results
        )
        assert outcomes == [AdmissionOutcome.REJECTED if is_not_stored else AdmissionOutcome.OUTCOME_UNKNOWN]
    for on_reply in callbacks:  # duplicated replies
        on_reply(Ok(Reply({"taken": "held"})))
    assert len(outcomes) == 1


def forward_command(result: RequestFailure | Json) -> tuple[list[HttpResponse], int]:
    """Have a follower forward a configuration command to its leader.

    :returns: the responses to the operator, and the number of requests to the leader.
    """
    clock = Clock()
    runtime = UnresponsiveRuntime(clock)
    node_settings = settings("core")
    blank_disk = blank(node_settings, lambda bits: 1)
    node = ControlNode(runtime, node_settings, "10.0.0.1:7300", InstantDisk(), blank_disk)
    node.quorum.leader_address = lambda: "10.0.0.9:7300"  # type: ignore[method-assign]
    responses: list[HttpResponse] = []
    request = Request("POST", "/-/Configuration.Replace", (("amberlug-base-version", "0"),), b'{"edition":1}')
    node.admin_api.handle(request, responses.append)
    replied = 0
    while replied < len(runtime.requests) and replied < 5:
        on_reply = runtime.requests[replied][3]
        on_reply(Err(result) if isinstance(result, RequestFailure) else Ok(Reply(result)))
        replied += 1
    clock.run(3.0)
    return responses, len([pending for pending in runtime.requests if pending[1] == "core.order"])


def check_forwarded_commands() -> None:
    for result in (*RequestFailure, {}, {"said": {"status": 412, "cause": "x"}}, {"said": {"ok": True}}):
        responses, forwarded = forward_command(result)
        assert forwarded == 1, "a command must be forwarded once: only its sender may retry it"
        expected = result["said"].get("status", 200) if isinstance(result, dict) and result else 503
        assert [response.status for response in responses] == [expected]


def test_a_command_is_forwarded_once_and_rejected_only_by_the_leader() -> None:
    check_forwarded_commands()


def test_a_command_that_is_forwarded_twice_is_detected() -> None:
    with FAULTS["order-again"][0](), pytest.raises(AssertionError, match="forwarded once"):
        check_forwarded_commands()
