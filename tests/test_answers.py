"""Responses of endpoints that are malformed, truncated or followed by surplus bytes."""

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from amberlug.http.calls import parse_load_report, parse_wait_us
from amberlug.http.link import Reply
from amberlug.policy.interface import Result
from amberlug.standin.wire import OK, Seen, StandIn
from tests.conftest import Relay, of
from tests.rig import member, run, world

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def raw(text: bytes) -> Callable[[Seen], bool]:
    """Respond to the first call with raw bytes, to others as usual; the connection stays open."""
    left = [text]

    def answer(seen: Seen) -> bool:
        if not left:
            return False
        seen.writer.write(left.pop())
        return True

    return answer


@pytest.mark.parametrize(
    ("text", "delivered"),
    [
        (b"\x00\xffnoise", False),
        (b"HTTP/1.1 429 Slow\r\nWait-Ms 500\r\n\r\n", False),
        (b"HTTP/1.1 503 No\r\nContent-Length: 500\r\n\r\nshort", False),
        (b"HTTP/1.1 429 Slow\r\nA: " + b"x" * 100_000, False),
        (b"HTTP/1.1 503 No\r\nContent-Length: -3\r\n\r\n", False),
        (b"HTTP/1.1 200", False),
        (b"HTTP/1.1 200 OK\r\n: : :\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nA: " + b"x" * 100_000, True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 500_000, True),
        (b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nless", True),
    ],
    ids=[
        "noise",
        "head",
        "short",
        "endless",
        "negative",
        "cut",
        "head200",
        "endless200",
        "huge200",
        "early200",
        "short200",
    ],
)
def test_only_a_complete_200_status_line_of_a_corrupt_response_is_trusted(
    tmp_path: Path, text: bytes, delivered: bool
) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        endpoint.on_request = raw(text)
        async with world(tmp_path, endpoint) as (relay, platform):
            assert (await relay.hand_in("m1", "unsafe")).status == 202
            await endpoint.requests(1)
            await endpoint.until(lambda: endpoint.closed == 1)  # the connection cannot be reused
            await relay.hand_in("m2")
            assert [seen.name for seen in await endpoint.requests(2)] == ["m1", "m2"]
            if not delivered:
                assert await platform.noticed() == [{"message": "m1", "outcome": "given_up"}]
            assert len(platform.notices) == (0 if delivered else 1)

    run(scenario())


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_response_truncated_at_any_byte_delivers_if_its_status_line_is_complete(
    tmp_path: Path, kind: str
) -> None:
    """Each cut uses its own destination, so that none is delayed by the outage of another."""

    async def scenario() -> None:
        endpoint, cuts = StandIn(), range(len(GOOD))
        line = GOOD.index(b"\r\n") + 2
        left = set(cuts)

        def answer(seen: Seen) -> bool:
            cut = int(seen.name.removeprefix("m"))
            if cut not in left:
                return False
            left.discard(cut)
            seen.writer.write(GOOD[:cut])
            seen.writer.close()
            return True

        endpoint.on_request = answer
        await endpoint.start()
        members = [member(endpoint.port, f"e{cut}") | {"cell": cut + 1} for cut in cuts]
        async with world(tmp_path, StandIn(), also=members, MaxOpen=len(GOOD)) as (relay, platform):
            for cut in cuts:
                reply = await relay.hand_in(f"m{cut}", kind, Envelope=f"dest={cut + 1}")
                assert reply.status == 202
            spoilt = range(line)
            if kind == "safe":
                await endpoint.requests(len(GOOD) + len(spoilt))
            else:
                await endpoint.requests(len(GOOD))
                await platform.noticed(len(spoilt))
            await relay.kill()
            calls = Counter(seen.name for seen in endpoint.seen)
            again = 2 if kind == "safe" else 1
            assert calls == {f"m{cut}": again if cut in spoilt else 1 for cut in cuts}
            given_up = {f"m{cut}": "given_up" for cut in spoilt} if kind == "unsafe" else {}
            assert {it["message"]: it["outcome"] for it in platform.notices} == given_up

    run(scenario())


@pytest.mark.parametrize("more", [GOOD, b"noise", b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"])
@pytest.mark.parametrize("later", [False, True])
def test_surplus_bytes_after_a_response_never_complete_the_next_call(
    tmp_path: Path, more: bytes, later: bool
) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        endpoint.on_request = raw(GOOD if later else GOOD + more)
        async with world(tmp_path, endpoint) as (relay, platform):
            await relay.hand_in("m1", "unsafe")
            (first,) = await endpoint.requests(1)
            if later:
                await asyncio.sleep(0.1)  # the valid response has been read and the connection is idle
                first.writer.write(more)
            await endpoint.until(lambda: endpoint.closed == 1)
            endpoint.usual = (500, [], b"")
            await relay.hand_in("m2", "unsafe")
            assert await platform.noticed() == [{"message": "m2", "outcome": "given_up"}]

    run(scenario())


def test_after_a_corrupt_batch_response_each_message_may_have_been_executed(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(OK, None)
        async with world(tmp_path, endpoint, kind="bundled", FamilyInfo__Slots=1) as (relay, platform):
            await relay.hand_in("m1", "unsafe")
            (out,) = await endpoint.requests(1)
            for name in ("a", "b"):
                await relay.hand_in(name, "unsafe")
            endpoint.on_request = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\na ok\r\nb ok\r\n")
            out.answer(OK)
            ends = await platform.noticed(2)
            assert {(it["message"], it["outcome"]) for it in ends} == {("a", "given_up"), ("b", "given_up")}

    run(scenario())


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_batch_response_after_the_deadline_of_one_message_delivers_none(tmp_path: Path, kind: str) -> None:
    """A batch response that arrives after the deadline of one of its messages must not count as delivery."""

    async def scenario() -> None:
        endpoint = StandIn(OK, None, None)
        async with world(tmp_path, endpoint, kind="bundled", FamilyInfo__Slots=1) as (relay, platform):
            await relay.hand_in("m1", kind)
            (out,) = await endpoint.requests(1)
            await relay.hand_in("a", kind, left_ms=1000)
            await relay.hand_in("b", kind)
            out.answer(OK)
            _, batch = await endpoint.requests(2)
            assert batch.path == "/hook/batch"
            assert (await platform.noticed())[0]["message"] == "a"
            batch.answer((200, [], b"a ok\r\nb ok\r\n"))
            if kind == "safe":
                assert [seen.name for seen in await endpoint.requests(3)][2] == "b"
            else:
                assert {it["message"] for it in await platform.noticed(2)} == {"a", "b"}

    run(scenario())


def test_retryable_and_non_retryable_messages_do_not_share_a_call(tmp_path: Path) -> None:
    """In a shared call, a missing response would block retryable messages as long as non-retryable ones."""

    async def scenario() -> None:
        endpoint = StandIn(OK, None, None)
        async with world(tmp_path, endpoint, kind="bundled", FamilyInfo__Slots=4) as (relay, _):
            for name in ("m1", "m2"):
                await relay.hand_in(name)
            out = list(await endpoint.requests(2))
            for name in ("a", "b", "c", "d"):
                await relay.hand_in(name, "unsafe" if name in "ac" else "safe")
            for seen in out:
                seen.answer(OK)
            bodies = [seen.body for seen in (await endpoint.requests(4))[2:]]
            frames = sorted(sorted(body.split(b" - 5\r\nhello\r\n")) for body in bodies)
            assert frames == [[b"", b"a", b"c"], [b"", b"b", b"d"]]

    run(scenario())


def test_corrupt_responses_are_not_an_outage(relay: Callable[..., Relay]) -> None:
    it = relay()
    it.listed("a")
    for ref in range(1, 9):
        assert of(it.step(it.take("unsafe")), object)
        it.answer(ref, 0, Result.SPOILT)
        it.now += 1_000_000
    assert len(it.sent) == 8  # no message was delayed
    assert not it.endpoint("a").cold


@pytest.mark.parametrize("text", ["x0=nan", "x0=inf", "x0=-1", "x0=1,x0=", "\xb2"])
def test_an_invalid_load_report_is_ignored(text: str) -> None:
    assert parse_load_report(text, ("x0",)) == ()


def test_a_requested_wait_is_bounded() -> None:
    waits = [
        parse_wait_us(Reply(429, {"wait-ms": text})) for text in ("9" * 5000, "250", "-1", "1e3", "\xb2")
    ]
    assert waits == [3_600_000_000, 250_000, 0, 0, 0]


def test_a_reset_on_a_reused_connection_does_not_exclude_the_endpoint(tmp_path: Path) -> None:
    """An endpoint that drops a kept connection must not be avoided for seconds as if it had failed."""

    async def scenario() -> None:
        endpoint = StandIn()

        def drop_the_second(seen: Seen) -> bool:
            if len(endpoint.seen) == 2:
                seen.reset()
            return len(endpoint.seen) == 2

        endpoint.on_request = drop_the_second
        async with world(tmp_path, endpoint) as (relay, _):
            await relay.hand_in("m1")
            await endpoint.requests(1)
            await relay.hand_in("m2")
            _, second, third = await endpoint.requests(3)
            assert (second.name, third.name) == ("m2", "m2")
            assert third.at - second.at < 1.5  # a failed endpoint is avoided for at least 2.1 s

    run(scenario())


def test_non_retryable_messages_avoid_reused_connections_after_resets(tmp_path: Path) -> None:
    """A non-retryable message must not be lost to a dropped kept connection if a new one would deliver it."""

    async def scenario() -> None:
        endpoint = StandIn()

        def drop_used(seen: Seen) -> bool:
            used = any(it.writer is seen.writer for it in endpoint.seen[:-1])
            if used:
                seen.reset()
            return used

        endpoint.on_request = drop_used
        async with world(tmp_path, endpoint) as (relay, _):
            await relay.hand_in("m0")
            await endpoint.requests(1)
            for number in (1, 2, 3):  # each is reset on the previous message's connection and retried
                await relay.hand_in(f"m{number}")
                await endpoint.requests(1 + 2 * number)
            await relay.hand_in("m4", "unsafe")
            assert [seen.name for seen in await endpoint.requests(8)].count("m4") == 1
            assert endpoint.dials == 5

    run(scenario())
