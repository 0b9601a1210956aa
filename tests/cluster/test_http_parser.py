"""Tests the HTTP request parser without sockets, on input split at arbitrary positions."""

import random

import pytest

from amberlug.cluster.http.message import Request
from amberlug.cluster.http.parser import Limits, RequestParser, RequestRejectedError
from tests.cluster.test_http_server import REQUEST_CASES, SMALL_LIMITS

Outcome = Request | int | None
"""A request, the status of a rejection, or None if the last request is incomplete."""


def outcomes(parts: list[bytes], limits: Limits = SMALL_LIMITS) -> list[Outcome]:
    """The results of parsing bytes that are received in these parts."""
    parser = RequestParser()
    found: list[Outcome] = []
    for part in parts:
        parser.feed(part)
        try:
            while (request := parser.next_request(limits)) is not None:
                found.append(request)
        except RequestRejectedError as rejection:
            return [*found, rejection.status]
    return [*found, None] if parser.buffered_bytes or parser.is_in_body else found


@pytest.mark.parametrize("data", [b"".join(parts) for parts, _, _ in REQUEST_CASES if parts])
def test_what_is_parsed_does_not_depend_on_the_parts_in_which_it_is_received(data: bytes) -> None:
    complete = outcomes([data])
    assert complete
    single_bytes = [data[at : at + 1] for at in range(len(data))]
    rng = random.Random(len(data))
    for _ in range(20):
        cuts = sorted(rng.sample(range(len(data) + 1), 3))
        parts = [data[start:end] for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        assert outcomes(parts) == complete
    if len(data) < 1000:
        assert outcomes(single_bytes) == complete


def test_a_body_that_waits_for_an_interim_response_is_noticed() -> None:
    parser = RequestParser()
    parser.feed(b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert parser.next_request(SMALL_LIMITS) is None
    assert parser.is_in_body
    assert parser.awaits_continue
    parser.feed(b"o")
    assert parser.next_request(SMALL_LIMITS) is None
    assert not parser.awaits_continue
    parser.feed(b"k")
    assert parser.next_request(SMALL_LIMITS) == Request(
        "POST", "/a", (("host", "x"), ("expect", "100-continue"), ("content-length", "2")), b"ok"
    )
    assert not parser.is_in_body
