"""Endpoint lists: incremental parsing, comparison, and application in slices with drains first."""

import asyncio
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.core import endpoint_list
from amberlug.core.endpoint_list import read_list_line, read_list_update, read_object_with_list
from amberlug.core.ports import EndpointListUpdate
from amberlug.core.sliced_queue import SlicedQueue
from amberlug.platform.backoff import DiscoveryBackoff
from amberlug.platform.discovery import MAX_LINE_BYTES, SETTLE_S, Watch
from amberlug.policy import interface as api
from amberlug.policy.interface import State
from amberlug.policy.membership import BATCH, Comparison, Members
from amberlug.policy.settings import read_settings
from tests.conftest import setup
from tests.rig import node_in

KINDS = ("plain",)


def item(number: int, **changes: Any) -> dict[str, Any]:
    usual = {
        "id": f"e{number}",
        "host_port": f"127.0.0.1:{7000 + number}",
        "locality": "north",
        "flavor": "plain",
        "cell": number,
        "phase": "in_service",
        "size": 1.0,
        "up_since_ms": 0,
    }
    return usual | changes


def line(*items: dict[str, Any], revision: int = 2, complete: bool = True) -> str:
    return json.dumps({"revision": revision, "complete": complete, "members": items})


def entries(*names: str, state: State = State.IN) -> list[api.Entry]:
    return [api.Entry(it, "north", "plain", int(it[1:]), state, 1.0, "127.0.0.1:1") for it in names]


def test_a_line_parses_the_same_at_once_and_incrementally() -> None:
    items = [item(n, phase=p) for n, p in enumerate(["in_service", "terminating", "terminated"])]
    for text in (
        line(*items),
        json.dumps({"members": items, "more": {"x": [1]}, "complete": False, "revision": 7}, indent=2),
        line(),
    ):
        data, news = json.loads(text), read_list_line(text.encode(), KINDS)
        for one, other in zip(news.entries, read_list_update(data, KINDS).entries, strict=True):
            assert (one.endpoint, one.state) == (other.endpoint, other.state)
            assert one == other or one.state is State.GONE  # only the name matters then
        assert (news.revision, news.whole) == (data["revision"], data["complete"])


BROKEN = [
    "",
    "[]",
    "{",
    "{}",
    '{"members": []}',
    line(item(1))[:-1],
    line(item(1)) + "x",
    line(item(1)) * 2,
    line(item(1)).replace('"revision"', '"members": [], "revision"'),
    line(item(1), {}),
    line(item(1, flavor="odd")),
    line(item(1, host_port="host:1")),
    line(item(1, host_port="1.2.3.04:1")),
    line(item(1, host_port="1.2.3.4:65536")),
    line(item(1, phase="odd")),
    line(item(1, host_port=7)),
    line(item(1, cell=1 << 63)),
    line(item(1, locality="a\0b")),
    line(item(1, id="\ud800")),
    line(item(1)).replace("}]", "}}"),
    line(item(1)).replace('"complete": true', '"complete": '),
    '{"revision": 1, "complete": true, "members": ' + "[" * 100_000,
]


@pytest.mark.parametrize("number", range(len(BROKEN)))
def test_a_broken_line_is_an_error_and_nothing_of_it_counts(tmp_path: Path, number: int) -> None:
    async def scenario() -> None:
        node = node_in(tmp_path, read_settings(setup()))
        with pytest.raises(ValueError, match="."):
            node.listed(read_list_line(BROKEN[number].encode(), KINDS))
        assert not node.serves(1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "where", ["0.0.0.0:1", "255.255.255.255:65535", "[::1]:80", "::1:80", "1.2.3.4:10000"]
)
def test_addresses_are_read_as_they_stand(where: str) -> None:
    if where.startswith("["):
        with pytest.raises(ValueError, match="."):
            list(read_list_line(line(item(1, host_port=where)).encode(), KINDS).entries)
    else:
        (entry,) = read_list_line(line(item(1, host_port=where)).encode(), KINDS).entries
        assert entry.where == where


def embed_list(known: str) -> str:
    return f'{{"before": [1, {{}}], "known": {known}, "after": {{"known": 1}}}}'


def test_a_list_inside_a_file_is_read_packed_and_once() -> None:
    text = line(item(1), item(2, phase="terminating"), revision=9)
    data = read_object_with_list(iter([embed_list(text).encode()]), "known")
    assert (data["before"], data["after"]) == ([1, {}], {"known": 1})
    news = read_list_update(data["known"], KINDS)
    assert list(news.entries) == list(read_list_line(text.encode(), KINDS).entries)
    assert (news.revision, news.whole) == (9, True)
    assert list(news.entries) == []  # released while it was read
    assert read_object_with_list(iter([b" {", b" } "]), "known") == {}
    assert read_object_with_list(iter([b'{"known": 3}']), "known") == {"known": 3}


@pytest.mark.parametrize("chunk", [1, 2, 3, 7, 64])
def test_a_line_parses_the_same_in_chunks_of_any_size(monkeypatch: pytest.MonkeyPatch, chunk: int) -> None:
    items = [item(n, id=f"\u00e9\U0001f600{n}") for n in range(3)]
    text = json.dumps({"revision": 1234, "members": items, "complete": True}, ensure_ascii=False).encode()
    whole = read_list_line(text, KINDS)
    expected = list(whole.entries)
    monkeypatch.setattr(endpoint_list, "CHUNK_BYTES", chunk)
    news = read_list_line(text, KINDS)
    assert list(news.entries) == expected
    assert (news.revision, news.whole) == (whole.revision, whole.whole) == (1234, True)
    for broken in (it for it in BROKEN[:-1] if "ud800" not in it):  # such an ID fails only when it is stored
        with pytest.raises(ValueError, match="."):
            list(read_list_line(broken.encode(), KINDS).entries)


def test_malformed_input_is_not_parsed_repeatedly_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    decoded = 0

    def decode(text: str, at: int) -> Any:
        nonlocal decoded
        decoded += 1
        return json.JSONDecoder().raw_decode(text, at)

    monkeypatch.setattr(endpoint_list, "_decode", decode)
    with pytest.raises(ValueError, match="Unterminated"):
        list(read_list_line(b'{"members": ["' + b"x" * (1 << 24), KINDS).entries)
    assert decoded < 10


@pytest.mark.parametrize("number", range(len(BROKEN)))
def test_a_broken_list_inside_a_file_is_an_error(number: int) -> None:
    with pytest.raises(ValueError, match="."):  # noqa: PT012
        data = read_object_with_list(iter([embed_list(BROKEN[number]).encode()]), "known")
        read_list_update(data["known"], KINDS)


@pytest.mark.parametrize(
    "text", ["", "[]", "{", '{"a" 1}', '{"a": 1,}', "{} {}", "{1: 2}", '{"a": ' + "[" * 10**5]
)
def test_a_file_that_is_no_object_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="."):
        read_object_with_list(iter([text.encode()]), "known")


def test_a_few_changes_do_not_scan_the_whole_list(monkeypatch: pytest.MonkeyPatch) -> None:
    members, looked = Members(), 0
    for entry in entries(*(f"e{n}" for n in range(1000))):
        members.put(entry)
    names = list(members)

    def look(self: Members) -> Iterator[str]:
        nonlocal looked
        for name in names:
            looked += 1
            yield name

    monkeypatch.setattr(Members, "__iter__", look)
    comparison = Comparison(members)
    for entry in entries("e1", "e2000", state=State.DRAINING):
        comparison.add(entry)
    assert sum(len(batch) for batch in comparison.batches(whole=False)) == 2
    assert looked <= 10


@pytest.mark.parametrize("told", [0, 1, 30, 299, 300])
def test_a_full_list_removes_endpoints_it_does_not_contain(told: int) -> None:
    members = Members()
    for entry in entries(*(f"e{n}" for n in range(300))):
        members.put(entry)
    for order in (1, -1):
        comparison = Comparison(members)
        for entry in entries(*(f"e{n}" for n in range(told)))[::order]:
            comparison.add(entry)
        gone = [
            it.endpoint for batch in comparison.batches(whole=True) for it in batch if it.state is State.GONE
        ]
        assert sorted(gone) == sorted(f"e{n}" for n in range(told, 300))


@given(seed=st.integers(0, 10**6), whole=st.booleans())
def test_what_is_applied_makes_the_table_what_the_list_says(seed: int, whole: bool) -> None:
    chance, members = random.Random(seed), Members()
    for entry in entries(*(f"e{n}" for n in range(12))):
        members.put(entry)
    before, told, comparison = set(members), dict[str, api.Entry](), Comparison(members)
    for _ in range(chance.randrange(30)):
        state = chance.choice([State.IN, State.IN, State.DRAINING, State.GONE])
        (entry,) = entries(f"e{chance.randrange(20)}", state=state)
        told[entry.endpoint] = entry
        comparison.add(entry)
    order = []
    for batch in comparison.batches(whole):
        for entry in batch:
            order.append(entry.state)
            if entry.state is State.GONE:
                members.remove(entry.endpoint)
            else:
                members.put(entry)
    kept = {} if whole else dict.fromkeys(before)
    wanted = {name for name in {**kept, **told} if name not in told or told[name].state is not State.GONE}
    assert set(members) == wanted
    assert all(members.get(name) == entry for name, entry in told.items() if name in wanted)
    rank = {State.DRAINING: 0, State.IN: 1, State.GONE: 2}
    assert order == sorted(order, key=rank.__getitem__)  # drains first, removals last


def test_members_forget_destinations_that_nobody_serves() -> None:
    members = Members()
    for entry in entries("e1", "e2"):
        members.put(entry)
    members.put(api.Entry("b", "south", "plain", 1, State.DRAINING, 2.5, "[::1]:7"))
    assert members.get("b") == api.Entry("b", "south", "plain", 1, State.DRAINING, 2.5, "[::1]:7")
    assert [it.endpoint for it in members.at(1)] == ["e1", "b"]
    assert members.remove("e1") is not None
    assert members.serves(1)
    assert members.remove("b") is not None
    assert members.remove("b") is None
    assert not members.serves(1)
    assert len(members) == 1


def test_a_long_list_takes_many_steps_and_patches_few(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = node_in(tmp_path, read_settings(setup()))
        many = [item(n % 9000, id=f"e{n}", cell=n) for n in range(20 * BATCH)]
        assert sum(1 for _ in node.listing(read_list_line(line(*many).encode(), KINDS))) >= 40
        assert (
            sum(1 for _ in node.listing(read_list_line(line(item(3), complete=False).encode(), KINDS))) == 3
        )
        again = list(node.listing(read_list_line(line(*many).encode(), KINDS)))
        assert len(again) == 23  # everything is compared, nothing applied

    asyncio.run(scenario())


def test_drains_in_a_long_list_count_before_what_it_adds(tmp_path: Path) -> None:
    async def scenario() -> None:
        node = node_in(tmp_path, read_settings(setup()))
        node.listed(read_list_line(line(item(1)).encode(), KINDS))
        many = [item(n, cell=n, host_port="127.0.0.1:9") for n in range(2, 20 * BATCH)]
        members, drained_at, added_at = node._sender.members, 0, 0
        for step, _ in enumerate(
            node.listing(read_list_line(line(*many, item(1, phase="terminating")).encode(), KINDS))
        ):
            entry = members.get("e1")
            drained_at = drained_at or (step if entry is not None and entry.state is State.DRAINING else 0)
            added_at = added_at or (step if len(members) > 1 else 0)
        assert 0 < drained_at < added_at

    asyncio.run(scenario())


@pytest.mark.parametrize("whole", [True, False])
def test_a_replaced_endpoint_leaves_its_destination_listed_throughout(tmp_path: Path, whole: bool) -> None:
    async def scenario() -> None:
        node = node_in(tmp_path, read_settings(setup()))
        node.listed(read_list_line(line(item(1)).encode(), KINDS))
        told = [item(1, id="new")] if whole else [item(1, phase="terminated"), item(1, id="new")]
        for _ in node.listing(read_list_line(line(*told, complete=whole).encode(), KINDS)):
            assert node.serves(1)
        assert list(node._sender.members) == ["new"]

    asyncio.run(scenario())


def test_the_sliced_queue_runs_in_order_and_yields_to_the_loop() -> None:
    async def scenario() -> None:
        done, turns, finished = list[int](), 0, asyncio.Event()
        slices = SlicedQueue(lambda error: done.append(-1))

        def job(number: int, steps: int) -> Any:
            for _ in range(steps):
                busy_until = loop.time() + 0.001
                while loop.time() < busy_until:
                    pass
                yield
            done.append(number)
            if number == 3:
                finished.set()

        def bad() -> Any:
            yield
            raise ValueError

        def turn() -> None:
            nonlocal turns
            turns += 1
            loop.call_soon(turn)

        loop = asyncio.get_running_loop()
        slices.add(job(0, 0))
        assert done == [0]  # a short job is completed synchronously
        loop.call_soon(turn)
        slices.add(job(1, 30))
        slices.add(bad())
        slices.add(job(3, 2))
        assert done == [0]
        await finished.wait()
        assert done == [0, 1, -1, 3]
        assert turns >= 5

    asyncio.run(scenario())


class _FedWatch:
    """A discovery watch whose input the test supplies."""

    def __init__(self) -> None:
        self.told: list[list[api.Entry]] = []
        self.confirmed: list[int] = []  # number of updates so far, at each confirmation of the list
        self.watch = Watch(("127.0.0.1", 1), KINDS, 0, self._listing, DiscoveryBackoff(1, 2.0), self._current)

    def _listing(self, news: EndpointListUpdate) -> Any:
        self.told.append(list(news.entries))
        yield

    def _current(self) -> None:
        self.confirmed.append(len(self.told))

    async def take(self, data: bytes) -> None:
        """Feed data and wait until it is processed, which can take several slices on a busy machine."""
        self.watch._on_data(data)
        while self.watch._slices._jobs:
            await asyncio.sleep(0)


def test_lines_may_arrive_in_parts_of_any_size() -> None:
    async def scenario() -> None:
        data = (line(item(1)) + "\n\n" + line(item(2), revision=9) + "\n").encode()
        for size in (1, 7, 1000):
            it = _FedWatch()
            for start in range(0, len(data), size):
                await it.take(data[start : start + size])
            assert [[entry.endpoint for entry in told] for told in it.told] == [["e1"], ["e2"]]
            assert it.watch._revision == 9
            assert (it.confirmed[0], it.confirmed[-1]) == (1, 2)

    asyncio.run(scenario())


def test_a_list_is_the_newest_only_from_the_first_news_of_a_connection_on() -> None:
    async def scenario() -> None:
        it = _FedWatch()
        it.watch._requested_s = asyncio.get_running_loop().time() + 60.0  # never settled
        for data, times in ((b"\n", 0), (line(item(1)).encode(), 0), (b"\n", 1), (b"\n", 2)):
            await it.take(data)
            assert len(it.confirmed) == times

    asyncio.run(scenario())


def test_an_agent_that_sends_empty_lines_alone_confirms_the_list_once_it_would_have_told_changes() -> None:
    async def scenario() -> None:
        it = _FedWatch()
        loop = asyncio.get_running_loop()
        it.watch._requested_s = loop.time()
        await it.take(b"\n")  # changes may still follow
        assert it.confirmed == []
        it.watch._requested_s = loop.time() - SETTLE_S
        await it.take(b"\n")
        assert it.confirmed == [0]

    asyncio.run(scenario())


def test_a_line_without_end_is_not_kept() -> None:
    async def scenario() -> None:
        it = _FedWatch()
        for _ in range(MAX_LINE_BYTES // 65536 + 1):
            it.watch._on_data(b"x" * 65536)
        assert len(it.watch._buffer) <= 65536
        await it.take(b"\n" + line(item(1)).encode() + b"\n")
        assert len(it.told) == 1

    asyncio.run(scenario())
