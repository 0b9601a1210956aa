"""The relay over loopback sockets: accepting, every result, batches, drains, waits and invalid input."""

import asyncio
import json
from pathlib import Path

import pytest

from amberlug.core.endpoint_list import read_list_update
from amberlug.core.messages import Message, Refusal
from amberlug.http.calls import parse_batch_results
from amberlug.http.link import Reply
from amberlug.policy.interface import Result
from amberlug.policy.settings import read_settings
from amberlug.standin.wire import OK, Answer, Seen, StandIn
from tests.conftest import SECOND, setup
from tests.rig import caller_of, hand_in, journal_in, member, news, node_in, run, world

WAIT: Answer = (429, [("Wait-Ms", "700")], b"")


def test_a_message_is_accepted_and_delivered_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, _):
            assert (await relay.hand_in("m1", "keyed")).status == 202
            (seen,) = await endpoint.requests(1)
            assert (seen.method, seen.path, seen.body) == ("POST", "/hook", b"hello")
            assert (seen.name, seen.headers["idempotency-key"]) == ("m1", "key-m1")
            assert 0 < int(seen.headers["req-deadline-ms"]) <= 8000

    run(scenario())


def test_a_repeated_id_is_answered_and_not_accepted_twice(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, _):
            assert (await relay.hand_in("m1")).status == 202
            await endpoint.requests(1)
            assert (await relay.hand_in("m1")).status == 202
            assert (await relay.hand_in("m2")).status == 202
            assert [seen.name for seen in await endpoint.requests(2)] == ["m1", "m2"]

    run(scenario())


@pytest.mark.parametrize(
    ("first", "kind", "again"),
    [
        ((500, [], b""), "safe", True),
        ((500, [], b""), "unsafe", False),
        ((503, [], b""), "unsafe", True),
        (WAIT, "unsafe", True),
        ((503, [("Slots-Taken", "1")], b""), "unsafe", True),
        ((504, [], b""), "unsafe", True),
        ("reset", "unsafe", False),
        ("reset", "safe", True),
    ],
)
def test_the_result_of_a_call_determines_whether_it_is_retried(
    tmp_path: Path, first: Answer | str, kind: str, again: bool
) -> None:
    async def scenario() -> None:
        endpoint = StandIn()

        def start(seen: Seen) -> bool:
            if len(endpoint.seen) > 1:
                return False
            if isinstance(first, str):
                seen.reset()
            else:
                seen.answer(first)
            return True

        endpoint.on_request = start
        async with world(tmp_path, endpoint) as (relay, platform):
            assert (await relay.hand_in("m1", kind)).status == 202
            if again:
                seen = await endpoint.requests(2)
                assert [it.name for it in seen] == ["m1", "m1"]
                assert first != WAIT or seen[1].at - seen[0].at > 0.7
            else:
                assert await platform.noticed() == [{"message": "m1", "outcome": "given_up"}]
                assert len(endpoint.seen) == 1

    run(scenario())


def test_a_message_ended_by_its_endpoint_needs_no_notice(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(OK, (410, [], b""))
        async with world(tmp_path, endpoint) as (relay, platform):
            await relay.hand_in("m1")
            await endpoint.requests(1)
            await relay.hand_in("m2", left_ms=2000)
            await endpoint.requests(2)
            assert (len(endpoint.seen), platform.notices) == (2, [])

    run(scenario())


def test_a_message_whose_connection_is_refused_is_handed_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, platform):
            await endpoint.stop()
            await relay.hand_in("m1", "unsafe", left_ms=600)
            (notice,) = await platform.noticed()
            assert (notice["message"], notice["outcome"]) == ("m1", "handed_back")
            assert notice["retry_in_ms"] >= 500

    run(scenario())


def test_a_call_without_a_response_ends_with_its_connection_at_the_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(None)
        async with world(tmp_path, endpoint) as (relay, platform):
            await relay.hand_in("m1", "unsafe", left_ms=700)
            assert await platform.noticed() == [{"message": "m1", "outcome": "given_up"}]
            await endpoint.until(lambda: endpoint.closed == 1)
            assert len(endpoint.seen) == 1

    run(scenario())


def test_connections_are_kept_and_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, _):
            for count in range(1, 6):
                await relay.hand_in(f"m{count}")
                await endpoint.requests(count)
            assert endpoint.dials == 1

    run(scenario())


def test_sends_of_one_round_share_a_call_and_each_has_its_own_result(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(OK, None, (200, [], b"b ok\r\nc error\r\nd later\r\n"))
        async with world(tmp_path, endpoint, kind="bundled", FamilyInfo__Slots=1) as (relay, platform):
            await relay.hand_in("a", "unsafe")
            (first,) = await endpoint.requests(1)
            for name in ("b", "c", "d"):  # they wait for the only slot and are sent together
                await relay.hand_in(name, "unsafe")
            first.answer(OK)
            _, batch, again = await endpoint.requests(3)
            assert batch.path == "/hook/batch"
            frames = batch.body.split(b"hello\r\n")  # in any order: all lose the same value by waiting
            assert sorted(frames) == [b"", b"b - 5\r\n", b"c - 5\r\n", b"d - 5\r\n"]
            assert (again.path, again.name) == ("/hook", "d")
            assert await platform.noticed() == [{"message": "c", "outcome": "given_up"}]

    run(scenario())


def test_a_drain_applies_in_the_round_that_reads_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = StandIn(), StandIn()
        async with world(tmp_path, old) as (relay, platform):
            await new.start()
            await relay.hand_in("m1")
            await old.requests(1)
            await platform.watched(1)
            platform.tell(news(member(old.port, "e0", "terminating"), member(new.port, "e9")))
            for count in range(1, 20):
                await relay.hand_in(f"n{count}")
            await new.until(lambda: any(seen.name == "n19" for seen in new.seen))
            await new.stop()

    run(scenario())


def test_malformed_updates_restart_the_watch(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, platform):
            nameless = news(member(1) | {"host_port": "." * 300 + ":1"})
            broken = [b"{", b'{"revision":3}', b'{"members":[7]}', b"[" * 100_000, nameless]
            for count, line in enumerate(broken, 1):
                await platform.watched(count)
                platform.tell(line)
            await platform.watched(6)
            await relay.hand_in("m1")
            assert (await endpoint.requests(1))[0].name == "m1"

    run(scenario())


def test_invalid_input_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint, Accounts=[{"Name": "acme", "QuotaPerS": 9.0}]) as (relay, _):
            good = hand_in("m1", "keyed", Req_Owner="acme")
            bad = [
                good | change
                for change in (
                    {"Req-Id": "a b"},
                    {"Req-Kind": "other"},
                    {"Req-Owner": "who"},
                    {"Req-Deadline-Ms": "-5"},
                    {"Req-Deadline-Ms": "1e3"},
                    {"Envelope": "dest=x"},
                    {"Envelope": "cell=1"},
                )
            ] + [{key: value for key, value in good.items() if key != gone} for gone in good]
            for headers in bad:
                reply = await relay.ask("POST", "/keyed", headers, b"x")
                assert reply.status == 400
                assert reply.body.count(b"\n") == 1
            assert (await relay.ask("POST", "/keyed", good, b"x" * 65_537)).status == 413
            assert (await relay.ask("POST", "/nothing", good)).status == 404
            assert (await relay.ask("GET", "/keyed", good)).status == 405
            assert (await relay.ask("POST", "/up")).status == 405
            assert endpoint.seen == []
            assert (await relay.ask("POST", "/keyed", good, b"x" * 65_536)).status == 202
            assert len((await endpoint.requests(1))[0].body) == 65_536

    run(scenario())


def test_submissions_beyond_the_limit_are_refused(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(None)
        async with world(tmp_path, endpoint, Bounds__MaxOpen=3) as (relay, _):
            replies = [await relay.hand_in(f"m{count}", "unsafe") for count in range(6)]
            assert {reply.status for reply in replies[3:]} <= {429, 503}
            assert all("retry-after" in reply.headers for reply in replies if reply.status != 202)

    run(scenario())


def test_notices_are_sent_until_they_are_acknowledged(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn((500, [], b""))
        async with world(tmp_path, endpoint) as (relay, platform):
            platform.answers = [(500, [], b""), (503, [], b"")]
            await relay.hand_in("m1", "unsafe")
            notices = await platform.noticed(3)
            assert notices == [{"message": "m1", "outcome": "given_up"}] * 3

    run(scenario())


def test_a_notice_whose_response_is_delayed_is_sent_again_concurrently(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn((500, [], b""))
        async with world(tmp_path, endpoint) as (relay, platform):
            await platform.watched(1)
            platform.answers = [None]
            await relay.hand_in("m1", "unsafe")
            assert await platform.noticed(2) == [{"message": "m1", "outcome": "given_up"}] * 2
            assert platform.closed == 0  # the first is still waiting for its response

    run(scenario())


def test_a_requested_wait_applies_to_every_message_and_endpoint_of_the_destination(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = StandIn(OK, WAIT), StandIn(OK, WAIT)
        async with world(tmp_path, first, second) as (relay, _):
            for count in range(6):
                await relay.hand_in(f"m{count}")
            seen = await _all_of(first, second, count=7)
            told = seen[0].at
            assert all(it.at - told > 0.65 or it.at - told < 0.1 for it in seen[1:])

    run(scenario())


async def _all_of(*endpoints: StandIn, count: int) -> list[Seen]:
    async def enough() -> None:
        waits = [asyncio.ensure_future(it.until(lambda: len(seen()) >= count)) for it in endpoints]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def seen() -> list[Seen]:
        return sorted((it for endpoint in endpoints for it in endpoint.seen), key=lambda it: it.at)

    await enough()
    return seen()


def test_a_disconnect_before_the_response_withdraws_the_message(tmp_path: Path) -> None:
    """Drives the node directly: over sockets the response is too fast to disconnect before it."""

    async def scenario() -> None:
        settings = read_settings(setup(GranularityUs=50_000))
        node = node_in(tmp_path, settings)
        node.restore()
        exchange = RecordingExchange()
        node.hand_in(Message("m1", "safe", None, 1, None, b"", 10**15), SECOND, 0, exchange)
        node.client_disconnected(exchange)
        again = RecordingExchange()
        node.hand_in(Message("m2", "safe", None, 1, None, b"", 10**15), SECOND, 0, again)
        assert await again.status == 202
        assert not exchange.status.done()
        assert list(journal_in(tmp_path).held) == ["m2"]

    run(scenario())


class RecordingExchange:
    """An exchange that records its response."""

    def __init__(self) -> None:
        self.status: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def settle(self, refusal: Refusal | None) -> None:
        self.status.set_result(202 if refusal is None else 429)


@pytest.mark.parametrize("stop", ["drain", "wait", "none"])
def test_a_call_is_not_sent_if_a_drain_or_wait_arrives_while_connecting(tmp_path: Path, stop: str) -> None:
    async def scenario() -> None:
        endpoint = await StandIn().start()
        settings = read_settings(setup(Weights="nominal"))
        node = node_in(tmp_path, settings)
        kinds = list(settings.kinds)
        node.listed(read_list_update(json.loads(news(member(endpoint.port))), kinds))
        node.restore()
        held = Message("m1", "unsafe", None, 1, None, b"x", 10**15)
        node.hand_in(held, 5 * SECOND, 0, exchange := RecordingExchange())
        assert await exchange.status == 202
        while not caller_of(node).pool.dialing:
            await asyncio.sleep(0)
        if stop == "drain":
            node.listed(read_list_update(json.loads(news(member(endpoint.port, phase="terminating"))), kinds))
        elif stop == "wait":
            account = node._sender.endpoints["e"].account
            account.blocked_until = node.now_us() + 300_000
        start = asyncio.get_running_loop().time()
        await endpoint.until(lambda: endpoint.dials == 1)
        if stop == "drain":
            await endpoint.until(lambda: endpoint.closed == 1)  # the new connection is not used
            assert endpoint.seen == []
        else:
            await endpoint.requests(1)
            assert (asyncio.get_running_loop().time() - start > 0.2) == (stop == "wait")
        await endpoint.stop()

    run(scenario())


def test_a_malformed_batch_response_has_results_for_its_valid_lines_only() -> None:
    ends = parse_batch_results(Reply(200, {"wait-ms": "300"}, bytearray(b"a ok\r\nb what\r\n\xff\r\n")), ())
    assert {name: (it.result, it.wait_us) for name, it in ends.items()} == {"a": (Result.DONE, 300_000)}


def test_many_requests_in_one_read_are_all_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn()) as (relay, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            count = 2000
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * count)
            answers = b""
            while answers.count(b"HTTP/1.1 200") < count:
                data = await reader.read(1 << 16)
                assert data, "the connection ended early"
                answers += data
            writer.close()

    run(scenario())
