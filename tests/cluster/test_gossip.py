"""News between two that know much, in messages of bounded size."""

import json
import random
from functools import partial

from result import Ok

from amberlug.cluster.gossip import store
from amberlug.cluster.gossip.store import PAGE, PAGE_BYTES, GossipStore
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime


class Hearer:
    """One that tells and hears news."""

    def __init__(self, net: Network, name: str, other: str, known: tuple[str, ...] = ()) -> None:
        host = Host(name, "z", name)
        life = host.life = Incarnation(host, 1, lambda life, error: None)
        life.machine = self
        net.hosts[name] = host
        world = SimulatedRuntime(net, life, random.Random(name), 0.0)
        self.gossip = GossipStore(
            world, lambda: [other], lambda key, value: None, to_all=bool(known), known_at=lambda to: known
        )
        self.handlers = handlers_of(self.gossip)

    def broken(self, address: str) -> None:
        pass


def two() -> tuple[Clock, Network, GossipStore, GossipStore]:
    clock = Clock()
    net = Network(clock, random.Random(1), 0.0005)
    return clock, net, Hearer(net, "a", "b").gossip, Hearer(net, "b", "a").gossip


def test_gaps_of_any_size_are_mended_on_both_sides() -> None:
    clock, net, a, b = two()
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


def test_small_words_do_not_wait_behind_all_pages() -> None:
    clock, net, a, b = two()
    net.hosts["b"].rate = 15e6 / 8
    for number in range(60):
        a.offer(f"{number}", [1], "x" * 100_000)
    said: list[bool] = []
    for at in range(30):  # 6 MB take 3.2 s
        ask = partial(a.world.request, "b", "news.digest", {"sum": f"{b.sum:x}"}, 0.4)
        clock.call_later(1.0 + at * 0.1, partial(ask, lambda reply: said.append(isinstance(reply, Ok))))
    clock.run(1.0)
    a.compare_with("b")
    clock.run(4.5)
    assert (len(said), all(said)) == (30, True)
    clock.run(8.0)
    assert b.items == a.items


def test_versions_are_compared_some_at_a_time(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(store, "VERSIONS", 7)
    clock, _, a, b = two()
    for number in range(40):
        (a if number % 3 else b).offer(f"{number}", [1], number)
    a._fresh.clear()
    b._fresh.clear()
    a.compare_with("b")
    clock.run(3.0)
    assert len(a.items) == len(b.items) == 40


def test_pages_after_each_other_hold_all_and_are_bounded() -> None:
    _, _, a, _ = two()
    sizes = [10] * 1000 + [PAGE_BYTES // 3] * 7 + [PAGE_BYTES * 2, 10]
    for number, size in enumerate(sizes):
        a.offer(f"{number:04}", [1], "x" * size)
    after, found, first = "", [], True
    while first or after:
        first = False
        page, after = a.page_after(after)
        assert 0 < len(page) <= PAGE
        assert len(page) == 1 or len(json.dumps(page)) < PAGE_BYTES * 1.1
        found += page
    assert found == a.everything()


def test_what_the_other_has_of_its_own_is_neither_told_nor_asked_for() -> None:
    clock = Clock()
    net = Network(clock, random.Random(1), 0.0005)
    a, b = (Hearer(net, *names, known=("config",)).gossip for names in (("a", "b"), ("b", "a")))
    a.offer("config", [1], "x")
    a.offer("other", [1], "y")
    clock.run(0.5)
    assert list(b.items) == ["other"]
    b.compare_with("a")
    a.compare_with("b")
    clock.run(1.0)
    assert list(b.items) == ["other"]
