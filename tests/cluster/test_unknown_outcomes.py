"""Requests whose outcome is unknown: time-outs, lost connections, requests not sent, repeated replies."""

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
from tests.cluster.test_edge_node import Nowhere

AWAY = ShardTable.from_wire(
    1, {"owners": [["edge/other", {"addr": "10.0.0.9:7300"}]], "shards": [[0, 1, -1]]}
)
FATES = [*RequestFailure, *AdmissionOutcome]


def offer(
    fates: tuple[RequestFailure | AdmissionOutcome, ...],
) -> tuple[list[AdmissionOutcome], list[Json], list[ReplyCallback]]:
    """Offer a message to an owner elsewhere, whose answers come in this order, the last one ever again."""
    clock = Clock()
    world = UnresponsiveRuntime(clock)
    edge = EdgeNode(world, settings("edge"), "10.0.0.1:7300", Nowhere())
    edge.shard_owner.update_table(AWAY)
    outcomes: list[AdmissionOutcome] = []
    message = Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 0.0)
    edge.forwarder.submit(message, 1.5, outcomes.append)
    sent: list[Json] = []
    thens: list[ReplyCallback] = []
    while len(sent) < 30 and (new := [it for it in world.requests[len(sent) :] if it[1] == "offer"]):
        for _, _, body, then in new:
            fate = fates[min(len(sent), len(fates) - 1)]
            sent.append(body)
            thens.append(then)
            then(Err(fate) if isinstance(fate, RequestFailure) else Ok(Reply({"taken": fate.value})))
        clock.run(clock.now + 0.1)
    clock.run(5.0)
    return outcomes, sent, thens


@pytest.mark.parametrize("fates", list(itertools.product(FATES, repeat=2)))
def test_a_submission_of_unknown_outcome_keeps_its_id_and_is_never_rejected(
    fates: tuple[RequestFailure | AdmissionOutcome, ...],
) -> None:
    outcomes, sent, thens = offer(fates)
    assert len(outcomes) == 1
    assert {it["id"] for it in sent} == {"0-x"}
    if AdmissionOutcome.ACCEPTED in fates:
        assert outcomes == [AdmissionOutcome.ACCEPTED]
        assert len(sent) == fates.index(AdmissionOutcome.ACCEPTED) + 1, "what is held is not offered again"
    else:
        surely_not = all(it in (RequestFailure.NOT_SENT, AdmissionOutcome.REJECTED) for it in fates)
        assert outcomes == [AdmissionOutcome.REJECTED if surely_not else AdmissionOutcome.OUTCOME_UNKNOWN]
    for then in thens:  # replies that come once more
        then(Ok(Reply({"taken": "held"})))
    assert len(outcomes) == 1


def order(fate: RequestFailure | Json) -> tuple[list[HttpResponse], int]:
    """Have a follower pass a configuration on to its leader; what it answers, and how often it asked."""
    clock = Clock()
    world = UnresponsiveRuntime(clock)
    of = settings("core")
    core = ControlNode(world, of, "10.0.0.1:7300", InstantDisk(), blank(of, lambda bits: 1))
    core.quorum.leader_address = lambda: "10.0.0.9:7300"  # type: ignore[method-assign]
    outcomes: list[HttpResponse] = []
    request = Request("POST", "/-/Configuration.Replace", (("amberlug-base-version", "0"),), b'{"edition":1}')
    core.admin_api.handle(request, outcomes.append)
    at = 0
    while at < len(world.requests) and at < 5:
        world.requests[at][3](Err(fate) if isinstance(fate, RequestFailure) else Ok(Reply(fate)))
        at += 1
    clock.run(3.0)
    return outcomes, len([it for it in world.requests if it[1] == "core.order"])


def look_at_orders() -> None:
    for fate in (*RequestFailure, {}, {"said": {"status": 412, "cause": "x"}}, {"said": {"ok": True}}):
        outcomes, requests = order(fate)
        assert requests == 1, "an order is passed on once: whoever sent it sends it again"
        expected = fate["said"].get("status", 200) if isinstance(fate, dict) and fate else 503
        assert [it.status for it in outcomes] == [expected]


def test_a_command_is_forwarded_once_and_rejected_only_by_the_leader() -> None:
    look_at_orders()


def test_a_command_that_is_forwarded_twice_is_detected() -> None:
    with FAULTS["order-again"][0](), pytest.raises(AssertionError, match="passed on once"):
        look_at_orders()
