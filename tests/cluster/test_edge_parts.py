"""Unit tests of edge node components: submission headers, outcomes, rate shares."""

from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok

from amberlug.cluster.dispatch.messages import StandingReply
from amberlug.cluster.edge.dispatchers import (
    FIRST_SHARE_DIVISOR,
    MIN_RATE_SHARE,
    RATE_INCREASE_DELAY_S,
    ServiceDispatchers,
)
from amberlug.cluster.edge.intake import (
    DEFAULT_CLIENT_TIMEOUT_S,
    MAX_ATTEMPT_ID_CHARACTERS,
    SubmissionHeaders,
    parse_submission_headers,
)
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.edge.outcomes import NOT_FOUND, RecentOutcomes
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.deployment import Request
from amberlug.cluster.storage.outcomes import MessageOutcome
from tests.cluster.fakes import UnresponsiveRuntime, settings
from tests.cluster.test_edge_node import UnresponsiveEndpoints


def request(**headers: str) -> Request:
    named = tuple((f"amberlug-{name.replace('_', '-')}", value) for name, value in headers.items())
    return Request("POST", "/plain/1", named, b"x")


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"attempt_id": "a"}, SubmissionHeaders("a", 0, DEFAULT_CLIENT_TIMEOUT_S)),
        ({"attempt_id": "a-b_c.9"}, SubmissionHeaders("a-b_c.9", 0, DEFAULT_CLIENT_TIMEOUT_S)),
        (
            {"attempt_id": "a", "not_before": "2500", "time_remaining": "700"},
            SubmissionHeaders("a", 2500, 0.7),
        ),
        ({"attempt_id": "a", "time_remaining": "0"}, SubmissionHeaders("a", 0, 0.0)),
        ({"attempt_id": "a", "time_remaining": "soon"}, SubmissionHeaders("a", 0, DEFAULT_CLIENT_TIMEOUT_S)),
        (
            {"attempt_id": "a", "time_remaining": "\u00b2"},
            SubmissionHeaders("a", 0, DEFAULT_CLIENT_TIMEOUT_S),
        ),
        (
            {"attempt_id": "a" * MAX_ATTEMPT_ID_CHARACTERS, "not_before": ""},
            SubmissionHeaders("a" * MAX_ATTEMPT_ID_CHARACTERS, 0, DEFAULT_CLIENT_TIMEOUT_S),
        ),
    ],
)
def test_submission_headers_are_parsed(headers: dict[str, str], expected: SubmissionHeaders) -> None:
    assert parse_submission_headers(request(**headers)) == Ok(expected)


@pytest.mark.parametrize(
    ("headers", "header_at_fault"),
    [
        ({}, "Amberlug-Attempt-Id"),
        ({"attempt_id": ""}, "Amberlug-Attempt-Id"),
        ({"attempt_id": "a b"}, "Amberlug-Attempt-Id"),
        ({"attempt_id": "a" * (MAX_ATTEMPT_ID_CHARACTERS + 1)}, "Amberlug-Attempt-Id"),
        ({"attempt_id": "a", "not_before": "-1"}, "Amberlug-Not-Before"),
        ({"attempt_id": "a", "not_before": "1.5"}, "Amberlug-Not-Before"),
        ({"attempt_id": "a", "not_before": "1" * 13}, "Amberlug-Not-Before"),
        ({"attempt_id": "a", "not_before": "\u00b2"}, "Amberlug-Not-Before"),
    ],
)
def test_invalid_submission_headers_are_named(headers: dict[str, str], header_at_fault: str) -> None:
    parsed = parse_submission_headers(request(**headers))
    assert isinstance(parsed, Err)
    assert parsed.err_value.startswith(header_at_fault)


@pytest.mark.parametrize(
    ("outcome", "is_open", "is_completed", "is_found"),
    [
        (MessageOutcome(), True, False, True),
        (MessageOutcome("done", "seal"), False, True, True),
        (MessageOutcome("dead"), False, False, True),
        (NOT_FOUND, False, False, False),
    ],
)
def test_an_outcome_says_how_the_message_stands(
    outcome: MessageOutcome, is_open: bool, is_completed: bool, is_found: bool
) -> None:
    assert (outcome.is_open, outcome.is_completed, outcome != NOT_FOUND) == (is_open, is_completed, is_found)
    assert StandingReply.from_wire(StandingReply(outcome).to_wire(), b"").outcome == outcome


def test_outcomes_are_forgotten_by_age() -> None:
    outcomes = RecentOutcomes()
    outcomes.record("0-a", MessageOutcome("done", "s"), 1.0)
    outcomes.record("0-b", MessageOutcome("dead"), 2.0)
    outcomes.forget_before(2.0)
    assert "0-a" not in outcomes
    assert outcomes.get("0-a") is None
    assert outcomes.get("0-b") == MessageOutcome("dead")
    outcomes.forget_before(2.1)
    assert "0-b" not in outcomes


def test_a_larger_rate_share_is_used_only_after_the_others_have_reduced_theirs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    edge = EdgeNode(UnresponsiveRuntime(clock), settings("edge"), "10.0.0.1:7300", UnresponsiveEndpoints())
    dispatchers, shares = edge.delivery.dispatchers, list[float]()
    set_rate_share = ServiceDispatchers._set_rate_share

    def record(self: ServiceDispatchers, share: float) -> None:
        shares.append(share)
        set_rate_share(self, share)

    monkeypatch.setattr(ServiceDispatchers, "_set_rate_share", record)

    def assign(edges: int, owns: bool) -> None:
        shard_owner: Any = SimpleNamespace(owner_count=edges, owned={0: None} if owns else {})
        monkeypatch.setattr(dispatchers, "_shard_owner", shard_owner)
        dispatchers.update_rate_share()

    assign(2, True)
    assert shares == [0.5 / FIRST_SHARE_DIVISOR], "a node without a share starts with a part of its new one"
    clock.run(RATE_INCREASE_DELAY_S + 0.1)
    assert shares[-1] == 0.5
    assign(4, True)
    assert shares[-1] == 0.25, "a smaller share takes effect immediately"
    assign(2, True)
    assert shares[-1] == 0.25
    clock.run(clock.now + RATE_INCREASE_DELAY_S + 0.1)
    assert shares[-1] == 0.5
    assign(1, False)
    assert shares[-1] == 0.0
    assert MIN_RATE_SHARE > 0.0, "a node without shards must still be able to retry its calls in flight"
