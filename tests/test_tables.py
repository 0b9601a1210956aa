"""Endpoints that hold few connections, which the relays of a large fleet share."""

from stoatusher import interface as api
from stoatusher.decide import KEEP_LESS, TABLE_PAUSE_US, UNMET
from stoatusher.interface import Result
from tests.conftest import SECOND, Relay, of


def shared(*names: str, relays: int = 40) -> Relay:
    relay = Relay(Balancers=relays, Weights="nominal")
    relay.listed(*names, rate=400.0)
    return relay


def test_a_new_connection_turned_away_without_a_wait_tells_of_the_table_and_not_of_the_limit() -> None:
    relay = shared("a")
    relay.step(relay.take())
    account = relay.endpoint("a").account
    before = account.limit(relay.now)
    relay.now += SECOND // 10
    actions = relay.answer(1, 0, Result.REFUSED)
    assert account.limit(relay.now) == before
    assert not of(actions, api.Send)
    assert of(relay.advance(relay.now + 2 * TABLE_PAUSE_US), api.Send)  # soon again, and not in seconds
    assert not relay.endpoint("a").cold
    used = shared("a")
    used.step(used.take())
    used.answer(1, 0, Result.REFUSED, reused=True)
    assert used.endpoint("a").account.limit(used.now) < before


def test_a_sibling_with_room_in_its_table_is_called_at_once() -> None:
    relay = shared("a", "b")
    relay.step(relay.take())
    actions = relay.answer(1, 0, Result.REFUSED)
    assert [it.endpoint for it in of(actions, api.Send)] == ["b"]


def test_an_idle_connection_is_kept_as_long_as_the_table_has_had_room_for() -> None:
    relay = shared("a")
    relay.step(relay.take())
    first_us = relay.endpoint("a").keep_us
    assert 0 < first_us <= SECOND
    assert not of(relay.answer(1, 0), api.CloseIdle)
    kept_us = relay.endpoint("a").keep_us
    assert not of(relay.advance(relay.now + kept_us - 1), api.CloseIdle)
    assert of(relay.advance(relay.now + 1), api.CloseIdle) == [api.CloseIdle("a")]
    relay.step(relay.take())
    relay.answer(2, 0, Result.REFUSED)
    assert relay.endpoint("a").keep_us == int(kept_us * KEEP_LESS)
    for _ in range(20):  # room for new ones again and again: kept for as long as the endpoint keeps them
        relay.advance(relay.now + 20 * SECOND)
        if not relay.endpoint("a").out:
            relay.step(relay.take())
        ref, attempt, *_ = relay.sent[-1]
        relay.answer(ref, attempt)
    assert relay.endpoint("a").keep_us == 10 * SECOND


def test_what_turns_every_new_connection_away_comes_to_look_like_an_outage() -> None:
    relay = shared("a")
    relay.step(relay.take())
    for attempt in range(UNMET):
        assert not relay.endpoint("a").cold
        ref, number, _, _ = relay.sent[-1]
        relay.answer(ref, number, Result.UNCONNECTED)
        if attempt < UNMET - 1:
            relay.advance(relay.now + 3 * SECOND // 2)
            assert len(relay.sent) == attempt + 2
    assert relay.endpoint("a").unmet == UNMET


def test_a_few_relays_keep_their_connections() -> None:
    few = shared("a", relays=3)
    few.step(few.take())
    assert not of(few.answer(1, 0), api.CloseIdle)
    assert not of(few.advance(few.now + 9 * SECOND), api.CloseIdle)
