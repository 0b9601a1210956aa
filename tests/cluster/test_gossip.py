"""Tests of gossip between two nodes with many announcements, in messages of bounded size."""

import json
import random

import pytest
from result import Ok

from amberlug.cluster.gossip import store
from amberlug.cluster.gossip.announcements import PAGE_BYTES, PAGE_ITEMS, Announcement
from amberlug.cluster.gossip.messages import DigestReply, DigestRequest, FetchReply, Update
from amberlug.cluster.gossip.store import DisseminationPolicy, GossipStore
from amberlug.cluster.rpc.messages import handlers_of, request
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime


class GossipNode:
    """A node that consists only of a gossip store."""

    def __init__(self, net: Network, name: str, peer: str, replicated: tuple[str, ...] = ()) -> None:
        host = Host(name, "z", name)
        incarnation = host.incarnation = Incarnation(host, 1, lambda incarnation, error: None)
        incarnation.machine = self
        net.hosts[name] = host
        runtime = SimulatedRuntime(net, incarnation, random.Random(name), 0.0)
        self.gossip = GossipStore(
            runtime,
            lambda: [peer],
            lambda key, value: None,
            DisseminationPolicy(push_to_all=bool(replicated), replicated_keys=lambda peer: replicated),
        )
        self.handlers = handlers_of(self.gossip)

    def on_peer_disconnected(self, address: str) -> None:
        pass


def two_nodes() -> tuple[Clock, Network, GossipStore, GossipStore]:
    clock = Clock()
    net = Network(clock, random.Random(1), 0.0005)
    return clock, net, GossipNode(net, "a", "b").gossip, GossipNode(net, "b", "a").gossip


def test_anti_entropy_repairs_any_number_of_gaps_on_both_sides() -> None:
    clock, net, a, b = two_nodes()
    for number in range(30):
        a.offer(f"a{number:02}", [1], "x" * 1_000_000)
    for number in range(1000):
        b.offer(f"b{number}", [1], number)
    clock.run(1.0)
    a.compare_with("b")
    b.compare_with("a")
    clock.run(3.0)
    assert a.items == b.items
    assert (len(a.items), net.too_long) == (1030, 0)


def test_small_messages_do_not_queue_behind_all_pages_of_a_transfer() -> None:
    clock, net, a, b = two_nodes()
    net.hosts["b"].rate = 15e6 / 8
    for number in range(60):
        a.offer(f"{number}", [1], "x" * 100_000)
    replied: list[bool] = []

    digest_at_start = b.digest

    def compare() -> None:
        message = DigestRequest(digest_at_start)
        request(a.runtime, "b", message, 0.4, lambda reply: replied.append(isinstance(reply, Ok)))

    for index in range(30):  # 6 MB take 3.2 s
        clock.call_later(1.0 + index * 0.1, compare)
    clock.run(1.0)
    a.compare_with("b")
    clock.run(4.5)
    assert (len(replied), all(replied)) == (30, True)
    clock.run(8.0)
    assert b.items == a.items


def test_a_digest_reply_has_a_limited_number_of_versions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store, "VERSIONS_PER_MESSAGE", 7)
    clock, _, a, b = two_nodes()
    for number in range(40):
        (a if number % 3 else b).offer(f"{number}", [1], number)
    a._unsent.clear()
    b._unsent.clear()
    a.compare_with("b")
    clock.run(3.0)
    assert len(a.items) == len(b.items) == 40


def test_pages_are_bounded_and_together_contain_every_announcement() -> None:
    _, _, a, _ = two_nodes()
    sizes = [10] * 1000 + [PAGE_BYTES // 3] * 7 + [PAGE_BYTES * 2, 10]
    for number, size in enumerate(sizes):
        a.offer(f"{number:04}", [1], "x" * size)
    after, found, first = "", [], True
    while first or after:
        first = False
        page, after = a.page_after(after)
        assert 0 < len(page) <= PAGE_ITEMS
        assert len(page) == 1 or len(json.dumps(page)) < PAGE_BYTES * 1.1
        found += page
    assert found == a.announcements()


def test_keys_that_the_peer_replicates_itself_are_neither_sent_nor_fetched() -> None:
    clock = Clock()
    net = Network(clock, random.Random(1), 0.0005)
    a, b = (GossipNode(net, *names, replicated=("config",)).gossip for names in (("a", "b"), ("b", "a")))
    a.offer("config", [1], "x")
    a.offer("other", [1], "y")
    clock.run(0.5)
    assert list(b.items) == ["other"]
    b.compare_with("a")
    a.compare_with("b")
    clock.run(1.0)
    assert list(b.items) == ["other"]


def test_gossip_messages_keep_their_wire_format() -> None:
    announcement = Announcement("ep/a", [1, 2], {"cond": "ready"})
    text = '{"items": [["ep/a", [1, 2], {"cond": "ready"}]]}'
    assert json.dumps(Update([announcement]).to_wire()) == text
    assert Update.from_wire(json.loads(text), b"") == Update([announcement])
    assert (DigestReply(None).to_wire(), DigestReply.from_wire({}, b"")) == ({}, DigestReply(None))
    differing = DigestReply({"a": [1]}, "a")
    assert json.dumps(differing.to_wire()) == '{"versions": {"a": [1]}, "next": "a"}'
    assert DigestRequest.from_wire({"sum": "0f"}, b"") == DigestRequest("0f", "")
    assert FetchReply.from_wire({"items": []}, b"") == FetchReply([], [])
