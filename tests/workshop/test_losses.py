"""Losses that follow repairs, and who may still write to stores then."""

from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from absl import logging
from result import Ok

from tests.workshop.test_shards import STORES, fresh
from tests.workshop.test_shards import Rig as Owner
from tests.workshop.test_store import Rig
from workshop.jig.days import Day
from workshop.lathe.shards import Taken
from workshop.ports import Json, Reply
from workshop.whistle.news import News


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Machines' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


def test_an_owner_of_before_puts_nothing_on_stores_that_joined_after_the_fence() -> None:
    """It wakes after its shards were given away, and hears of two new stores before it hears of that."""
    day = Day(5, "quiet")
    old, zone = day.deployment.edges[0], day.deployment.edges[0].zone

    def come() -> None:
        for _ in range(2):
            day.deployment.add("store", zone).start()

    def wake() -> None:
        news: News = old.part.news
        offer = news.offer

        def late(key: str, version: list[int], value: Any) -> bool:
            if key == "shards":
                day.clock.later(0.3, partial(_offer, offer, key, version, value))
                return False
            return offer(key, version, value)

        news.offer = late  # type: ignore[method-assign]
        old.thaw()

    day.clock.later(6.0, old.freeze)
    day.clock.later(6.0, lambda: day.history.trouble("an owner is frozen for 3 s", 3.0))
    day.clock.later(8.0, come)
    day.clock.later(9.0, wake)
    for number in range(40):
        day.clock.later(9.0 + number * 0.01, partial(_send, day, old))
    assert day.play() == []


def _offer(offer: Any, *item: Any) -> None:
    offer(*item)


def _send(day: Day, edge: Any) -> None:
    day.clients.pick = lambda zone: edge  # type: ignore[method-assign]
    day.clients.send("/plain/")
    del day.clients.pick


ROSTER = {
    "d": {"name": "store", "addr": "s", "zone": "z", "region": "r", "state": "full", "at": 9, "table": 7}
}


def test_a_store_that_joins_refuses_who_owned_shards_before_it_came() -> None:
    rig = Rig()
    rig.store.enrolled = 0
    news = rig.store.news
    rig.put(1)
    assert rig.said.pop() == {"early": True}  # it is on no roster
    news.offer("roster", [9], ROSTER)
    rig.put(2)
    assert rig.said.pop() == {"early": True}  # it does not know who owned what when it came
    news.offer("shards", [7], {"owners": [], "shards": [[0, 3, -1], [0, 7, -1]], "roster": 4})
    rig.put(3)
    assert rig.said.pop() == {"fenced": 7}
    assert rig.store.enrolled == 9


def test_an_owner_serves_once_it_knows_the_roster_that_its_table_was_agreed_on() -> None:
    rig = Owner()
    heard: dict[str, Json] = {it: {"open": []} for it in STORES}
    rig.shards.table_is({"owners": [["me", {"addr": "me"}]], "shards": [[0, 8, -1]], "roster": 5})
    rig.answer("fence", heard)
    assert not rig.shards.mine[0].serving
    rig.spread.roster_is(rig.roster, 5)
    rig.shards.roster_changed()
    assert rig.shards.mine[0].serving


def test_no_disk_is_dropped_while_a_store_may_take_puts_of_an_owner_of_before() -> None:
    rig = Owner()
    (last,) = (then for to, _, _, then in rig.world.asked if to == STORES[2])
    rig.answer("fence", {it: {"open": []} for it in STORES[:2]})
    rig.clock.run(1.0)
    assert rig.shards.mine[0].serving
    assert rig.shards.unfenced == 1
    last(Ok(Reply({"ok": True, "disk": STORES[2], "refused": {}, "open": []}, b"")))
    rig.clock.run(2.0)
    assert rig.shards.unfenced == 0


def test_a_put_outlasts_a_disk_that_is_dropped_meanwhile() -> None:
    rig = Owner()
    rig.answer("fence", {it: {"open": []} for it in STORES})
    said: list[Taken] = []
    rig.shards.accept(fresh(), said.append)
    first, second = (to for to, word, _, _ in rig.world.asked if word == "put")
    (left,) = set(STORES) - {first, second}
    rig.spread.roster_is({it: rig.roster[it] for it in STORES if it != left})
    rig.clock.run(0.5)  # long enough to ask a further store
    rig.answer("put", {first: {}, second: {}})
    assert said == [Taken.HELD]


def test_a_put_under_way_as_its_disk_is_emptied_leaves_nothing() -> None:
    rig = Rig()
    rig.put(1)
    rig.store.news.offer("roster", [9], {})  # others have taken its place
    while rig.disk.waiting:
        rig.disk.decide(None)
    assert rig.said == [{"early": True}]
    assert rig.open() == []
