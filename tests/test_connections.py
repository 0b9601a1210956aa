"""Connection limits of endpoints shared by the relays of a large fleet."""

from amberlug.policy import interface as api
from amberlug.policy.connections import FIRST_TABLE_PAUSE_US, KEEP_STEP_US, MAX_FULL_TABLES
from amberlug.policy.interface import Result
from tests.conftest import SECOND, Relay, of


def shared(*names: str, relays: int = 40, rate: float = 400.0) -> Relay:
    relay = Relay(Balancers=relays, Weights="nominal")
    relay.listed(*names, rate=rate)
    return relay


def test_a_new_connection_refused_at_once_indicates_a_full_table_not_the_rate_limit() -> None:
    relay = shared("a")
    relay.step(relay.take())
    account = relay.endpoint("a").account
    before = account.limit(relay.now)
    relay.now += SECOND // 10
    actions = relay.answer(1, 0, Result.REFUSED)
    assert account.limit(relay.now) == before
    assert not of(actions, api.Send)
    assert of(
        relay.advance(relay.now + 2 * FIRST_TABLE_PAUSE_US), api.Send
    )  # retried soon, not after seconds
    assert not relay.endpoint("a").cold
    assert not any(
        units for _, units, _ in account.buckets_in_window(relay.now)
    )  # a refusal by a full table does not consume the limit
    used = shared("a")
    used.step(used.take())
    used.answer(1, 0, Result.REFUSED, reused=True)
    assert used.endpoint("a").account.limit(used.now) < before


def test_a_refusal_after_a_handshake_comes_from_the_rate_limit() -> None:
    relay = shared("a")
    relay.step(relay.take())
    relay.now += 150_000  # time of an answer on a new connection: only a full table answers faster
    relay.answer(1, 0)
    account = relay.endpoint("a").account
    for later_us, limit_spoke in ((50_000, False), (150_000, True)):
        relay.advance(relay.now + 2 * SECOND)
        before, kept_us = account.limit(relay.now), relay.endpoint("a").idle_keep_us
        relay.step(relay.take())
        relay.now += later_us
        ref, attempt, _, _ = relay.sent[-1]
        relay.answer(ref, attempt, Result.REFUSED)
        assert (account.limit(relay.now) < before) is limit_spoke
        assert (relay.endpoint("a").full_tables == 0) is limit_spoke
        assert (relay.endpoint("a").idle_keep_us < kept_us) is not limit_spoke
        relay.advance(relay.now + 3 * SECOND)
        ref, attempt, _, _ = relay.sent[-1]
        relay.answer(ref, attempt)


def test_a_sibling_with_room_in_its_table_is_called_at_once() -> None:
    relay = shared("a", "b")
    relay.step(relay.take())
    actions = relay.answer(1, 0, Result.REFUSED)
    assert [it.endpoint for it in of(actions, api.Send)] == ["b"]


def test_an_idle_connection_is_kept_as_long_as_tables_of_its_kind_have_had_room_for() -> None:
    relay = shared("a", "b")
    for ref in range(1, 12):  # always room for new ones: the keep time grows up to that of the endpoints
        relay.step(relay.take())
        kept_us = relay.endpoint(relay.sent[-1][2].endpoint).idle_keep_us
        relay.now += 150_000
        assert not of(relay.answer(ref, 0), api.CloseIdle)
        assert relay.endpoint(relay.sent[-1][2].endpoint).idle_keep_us >= kept_us
        closed = of(relay.advance(relay.now + 20 * SECOND), api.CloseIdle)
    assert 10 * SECOND in (relay.endpoint("a").idle_keep_us, relay.endpoint("b").idle_keep_us)
    assert closed
    relay.step(relay.take())
    relay.now += 120_000
    relay.step(relay.take())
    relay.now += 30_000
    relay.answer(12, 0)
    relay.now += 20_000
    actions = relay.answer(
        13, 0, Result.REFUSED
    )  # the first full table: idle connections to endpoints of its kind are closed
    assert of(actions, api.CloseIdle)
    assert relay.endpoint("a").idle_keep_us == relay.endpoint("b").idle_keep_us == 0
    relay.advance(relay.now + SECOND)
    ref, attempt, send, _ = relay.sent[-1]
    relay.answer(ref, attempt)
    assert relay.endpoint(send.endpoint).idle_keep_us == KEEP_STEP_US


def test_failed_connects_count_as_an_outage() -> None:
    """A full table answers; if 200 relays took a failed connect for one, they would all retry at once."""
    relay = shared("a", relays=200, rate=40.0)
    relay.step(relay.take())
    relay.answer(1, 0, Result.UNCONNECTED)
    assert relay.endpoint("a").full_tables == 0
    assert relay.endpoint("a").cold
    relay.advance(relay.now + 3 * SECOND)
    assert len(relay.sent) == 1  # the pause lasts seconds, not tenths of a second


def test_a_table_that_stays_full_is_judged_as_in_a_small_fleet_in_the_end() -> None:
    relay = shared("a")
    relay.step(relay.take())
    account = relay.endpoint("a").account
    for _ in range(MAX_FULL_TABLES):
        assert account.limit(relay.now) == account.units
        ref, number, _, _ = relay.sent[-1]
        relay.answer(ref, number, Result.REFUSED)
        relay.advance(relay.now + SECOND)
    assert relay.endpoint("a").full_tables == MAX_FULL_TABLES
    assert account.learned < account.units


def test_a_few_relays_keep_their_connections() -> None:
    few = shared("a", relays=3)
    few.step(few.take())
    assert not of(few.answer(1, 0), api.CloseIdle)
    assert not of(few.advance(few.now + 9 * SECOND), api.CloseIdle)
