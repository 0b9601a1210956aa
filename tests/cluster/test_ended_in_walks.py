"""Messages that end while the node goes over all its messages, and thereby make others end.

A node that met a message twice ended with a failed assertion, and took the calls of other messages with it.
"""

from __future__ import annotations

import pytest

from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.edge.outcomes import DROPPED, EXPIRED
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.scenarios import play
from amberlug.cluster.simulation.seed_search import run_seed
from tests.cluster.fakes import UnresponsiveRuntime
from tests.cluster.test_route_changes import OTHER, PLAIN, OneEdge, table

KEY = "k"
RETENTION_S = 10.0
MANY = 3000  # messages of one key: far more than nested calls could end


def kept_for(retention_s: float) -> Json:
    return {**PLAIN, "inSequence": True, "retentionS": retention_s}


def outcomes(edge: OneEdge, messages: list[Message]) -> set[str]:
    return {edge.outcome(message) for message in messages}


@pytest.mark.parametrize("head_delay_s", [30.0, 0.0])
def test_a_shorter_retention_time_ends_all_messages_of_a_key(head_delay_s: float) -> None:
    # TWICE: the sweep ended the next message of the key, and then met it again, which ended the process.
    edge = OneEdge(kept_for(90.0), OTHER)
    head = edge.add("head", head_delay_s, KEY)
    waiting = [edge.add(f"m{number}", 0.0, KEY) for number in range(3)]
    edge.node.delivery.begin()
    edge.clock.run(RETENTION_S + 2.0)
    edge.node.apply_routes(table(2, kept_for(RETENTION_S), OTHER))
    edge.clock.run(edge.clock.now + 2.0)
    if not head_delay_s:
        assert outcomes(edge, [head]) == {""}, "its call is in flight"
        edge.endpoints.answer(500)
        edge.clock.run(edge.clock.now + 2.0)
    assert outcomes(edge, [head, *waiting]) == {EXPIRED.status}
    assert edge.node.delivery.pending_bytes == 0


def test_messages_of_a_key_expire_together_while_there_is_no_endpoint() -> None:
    # The same by an outage of all endpoints, without a new configuration.
    edge = OneEdge(kept_for(RETENTION_S), OTHER)
    edge.node.delivery.dispatchers._pool._by_service.clear()
    messages = [edge.add(f"m{number}", 0.0, KEY) for number in range(3)]
    edge.node.delivery.begin()
    edge.clock.run(RETENTION_S + 3.0)
    assert outcomes(edge, messages) == {EXPIRED.status}


@pytest.mark.parametrize("head_delay_s", [30.0, 0.0])
@pytest.mark.parametrize("has_endpoint", [False, True])
def test_a_dropped_route_ends_all_waiting_messages_of_a_key(head_delay_s: float, has_endpoint: bool) -> None:
    # The same walk over the messages of a route that a configuration drops.
    edge = OneEdge(kept_for(90.0), OTHER)
    if not has_endpoint:
        edge.node.delivery.dispatchers._pool._by_service.clear()
    head = edge.add("head", head_delay_s, KEY)
    waiting = [edge.add(f"m{number}", delay_s, KEY) for number, delay_s in enumerate((0.0, 30.0, 0.0))]
    edge.node.apply_routes(table(2, OTHER))
    if edge.endpoints.services:
        edge.endpoints.answer(200)
        assert edge.outcome(head) == "done"
    else:
        assert edge.outcome(head) == DROPPED.status
    assert outcomes(edge, waiting) == {DROPPED.status}
    assert edge.node.delivery_queue.messages == {}


def test_many_messages_of_a_key_end_one_after_the_other() -> None:
    # The end of each was nested in that of the one before, up to the interpreter's limit.
    edge = OneEdge(kept_for(90.0), OTHER)
    messages = [edge.add(f"m{number}", 30.0, KEY) for number in range(MANY)]
    edge.clock.run(RETENTION_S + 2.0)
    edge.node.apply_routes(table(2, kept_for(RETENTION_S), OTHER))
    edge.clock.run(60.0)
    assert outcomes(edge, messages) == {EXPIRED.status}


def test_no_message_is_offered_within_a_batch_nor_while_another_one_is() -> None:
    clock = Clock()
    offered: list[str] = []
    depth = 0

    def on_ready(message: Message) -> None:
        nonlocal depth
        depth += 1
        assert depth == 1, "offered while another message is"
        offered.append(message.id)
        queue.end(message)
        depth -= 1

    queue = DeliveryQueue(UnresponsiveRuntime(clock), on_ready)
    with queue.batch():
        for number in range(3):
            position = SequencePosition(1, number)
            queue.add(Message(f"m{number}", 0, "x", "", "GET", "/", "r", KEY, 0.0, 0.0, position=position))
        with queue.batch():
            pass
        assert offered == []
    assert offered == ["m0", "m1", "m2"]


@pytest.mark.usefixtures("suppressed_logs")
@pytest.mark.parametrize("seed", [18, 19, 20])
def test_days_on_which_retention_times_change_break_no_invariant(seed: int) -> None:
    assert play(seed, "retention") == []


@pytest.mark.usefixtures("suppressed_logs")
def test_a_message_that_is_offered_within_a_walk_is_found() -> None:
    assert any(run_seed(seed, "retention", "offered-at-once")[1] for seed in range(1, 21))
