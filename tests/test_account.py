"""Rate limiting per destination: admission, buckets, openings and learned limits."""

import pytest

from amberlug.policy import interface as api
from amberlug.policy.account import (
    LIMIT_GROWTH,
    LIMIT_LIFETIME_WINDOWS,
    MAX_FIRST_PAUSE_US,
    UNLIMITED,
    Account,
)
from amberlug.policy.interface import Entry, Result, State
from amberlug.policy.settings import read_settings
from amberlug.policy.state import Call, Endpoint
from tests.conftest import SECOND, Relay, of, setup


def account(rate: float | None = 4.0) -> Account:
    return Account(read_settings(setup()), rate)


def consumed(owner: Account, start_us: int, result: Result = Result.DONE) -> None:
    owner.buckets.add(start_us, result is not Result.UNSENT, result is Result.DONE)


def spent(owner: Account, at_us: int) -> int:
    return sum(units for _, units, _ in owner.buckets.buckets_in_window(at_us, owner.window))


def test_listed_rate_sets_units_and_window() -> None:
    one = account(4.0)
    assert (one.units, one.window) == (4.0, SECOND)
    assert account(None).units == UNLIMITED


def test_admission_counts_consumptions_and_reservations() -> None:
    one = account(4.0)
    now = 10 * SECOND
    for _ in range(2):
        consumed(one, now)
    endpoint = Endpoint(Entry("a", "north", "plain", 1, State.IN, 1.0), one)
    one.reserved[Call(endpoint, now, 1, 1)] = None
    assert one.excess(now) <= 0  # 2 + 1 + 1 <= 4
    one.reserved[Call(endpoint, now, 1, 1)] = None
    assert not one.excess(now) <= 0


def test_opening_is_where_the_bucket_leaves_the_window() -> None:
    one = account(4.0)
    now = 10 * SECOND
    for _ in range(4):
        consumed(one, now)
    opening = one.opening(now)
    assert now + SECOND - one.buckets.bucket_us <= opening <= now + SECOND + one.buckets.bucket_us
    assert not one.excess(opening - one.buckets.bucket_us) <= 0
    assert one.excess(opening) <= 0


def test_a_call_counts_at_its_start_whenever_it_is_answered() -> None:
    one = account(4.0)
    consumed(one, 10 * SECOND)
    assert spent(one, 10 * SECOND + SECOND - one.buckets.bucket_us) == 1
    assert spent(one, 11 * SECOND) == 0


def test_an_attempt_that_was_never_sent_consumes_nothing() -> None:
    one = account(4.0)
    consumed(one, 10 * SECOND, Result.UNSENT)
    assert spent(one, 10 * SECOND) == 0


def test_a_refusal_learns_what_was_taken_on_then_rises_and_lifts() -> None:
    one = account(None)
    now = 10 * SECOND
    for _ in range(3):
        consumed(one, now)
    consumed(one, now, Result.REFUSED)
    one.refused(now, 0.5)
    assert one.limit(now) == 3
    assert one.limit(now + SECOND) == pytest.approx(3 * LIMIT_GROWTH)
    assert one.limit(now + LIMIT_LIFETIME_WINDOWS * SECOND) == UNLIMITED


def test_a_refusal_leaves_at_least_one_unit() -> None:
    one = account(None)
    one.refused(10 * SECOND, 0.5)
    assert one.limit(10 * SECOND) == 1


def test_a_full_window_sets_a_timer_and_the_message_goes_at_its_opening() -> None:
    relay = Relay(Weights="nominal")
    relay.listed("a", rate=2.0)
    first = relay.step(relay.take(), relay.take(), relay.take())
    assert len(of(first, api.Send)) == 2
    relay.answer(1, 0)
    relay.answer(2, 0)
    assert not of(relay.advance(relay.now + SECOND // 2), api.Send)
    assert len(of(relay.advance(relay.now + SECOND), api.Send)) == 1


def test_a_bundle_is_one_unit_and_one_slot() -> None:
    relay = Relay(Weights="nominal")
    relay.listed("a", kind="bundled", rate=2.0)
    actions = relay.step(*(relay.take() for _ in range(7)))
    assert len(of(actions, api.Send)) == 6
    assert relay.sender.slots_out == 2


def test_slots_are_never_overrun() -> None:
    relay = Relay(FamilyInfo__Slots=3)
    relay.listed("a")
    relay.sender.step(relay.now, [])
    sends = of(relay.step(*(relay.take() for _ in range(9))), api.Send)
    assert len(sends) <= 3
    assert relay.sender.slots_out == len(sends)


def test_a_silent_destination_leaves_slots_to_others() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(*(relay.take("unsafe") for _ in range(9)))
    assert relay.sender.slots_out <= 4


def test_a_reported_limit_replaces_a_missing_one() -> None:
    relay = Relay(LoadReport={"Names": ["x0", "x1"], "Via": "answers"})
    relay.listed("a")
    relay.step(relay.take())
    relay.step(api.Outcome(1, 0, "a", Result.DONE, True, 1, 0, (0.5, 3.0)))
    assert relay.endpoint("a").account.rate == 3.0


def test_a_learned_m_below_one_stretches_w_and_rises_by_its_own_windows() -> None:
    one = account(None)
    now = 10 * SECOND
    one.refused(now, 0.5)
    one.refused(now, 0.5)
    assert one.limit(now) == 0.5
    one.buckets.add(now, True, False)
    assert one.opening(now) == now + 2 * SECOND
    assert one.limit(now + SECOND) == 0.5
    assert one.limit(now + 2 * SECOND) == pytest.approx(0.5 * LIMIT_GROWTH)


def test_many_relays_cut_further_and_no_further_than_the_even_part() -> None:
    few, many = account(None), Account(read_settings(setup(Balancers=300)), 3.0)
    for one in (few, many):
        one.refused(10 * SECOND, 0.5)
        one.refused(10 * SECOND, 0.5)
    assert many.limit(10 * SECOND) < few.limit(10 * SECOND) / 2
    for _ in range(20):
        many.refused(10 * SECOND, 0.5)
    assert many.limit(10 * SECOND) == pytest.approx(3.0 / 300)


def test_a_changed_rate_in_a_later_list_takes_effect() -> None:
    relay = Relay(Weights="nominal")
    relay.listed("a", rate=4.0)
    relay.listed("a", rate=9.0)
    assert relay.endpoint("a").account.rate == 9.0
    assert relay.endpoint("a").entry.rate == 9.0


def test_state_does_not_grow_over_a_relays_lifetime() -> None:
    relay = Relay()
    for ref in range(1, 60):
        relay.listed(f"e{ref}", kind="apart")
        relay.step(relay.take("ordered", f"k{ref}"))
        endpoint = relay.sent[-1][2].endpoint
        relay.answer(ref, 0)
        gone = api.Entry(endpoint, "north", "apart", 1, State.GONE, 1.0)
        relay.step(api.Listed(api.ListKind.PATCH, (gone,)))
    relay.advance(relay.now + 20 * SECOND)
    sender = relay.sender
    for kept in (
        sender.timers,
        sender.key_queues,
        sender.key_quiet_until,
        sender.endpoints,
        sender.messages,
        sender.calls,
        sender.destinations,
        sender.summaries,
    ):
        assert kept == {}
    assert len(sender.members) == 0


def test_relays_that_fail_together_do_not_come_back_together() -> None:
    spreads = set()
    for seed in range(5):
        relay = Relay()
        relay.sender.rng.seed(seed)
        relay.listed("a")
        relay.step(relay.take())
        relay.answer(1, 0, Result.REFUSED, wait_us=5 * SECOND)
        spreads.add(relay.endpoint("a").jitter)
    assert len(spreads) == 5


def test_refusals_of_calls_that_were_out_together_cut_a_learned_limit_once() -> None:
    relay = Relay(Weights="nominal", FamilyInfo__Slots=40)
    relay.listed("a", rate=20.0)
    relay.endpoint("a").last_success_us = relay.now  # otherwise only a few calls go before the first delivery
    for _ in range(8):
        relay.step(relay.take())
    assert len(relay.sent) == 8
    account = relay.endpoint("a").account
    relay.now += 100_000
    relay.answer(1, 0, api.Result.REFUSED)
    learned = account.learned
    for ref in range(2, 9):  # otherwise the limit drops to nothing within one round trip
        relay.now += 1000
        relay.answer(ref, 0, api.Result.REFUSED)
    assert account.learned == learned


def test_a_learned_limit_keeps_a_part_of_what_the_list_gives_this_relay() -> None:
    account = Account(read_settings(setup(Balancers=2)), 40.0)
    for second in range(10, 40):
        account.refused(second * SECOND // 2, 0.55)
    assert account.learned == pytest.approx(0.7 * 40 / 2)
    assert (
        account.opening(20 * SECOND) == 20 * SECOND
    )  # no pause: each of two relays sees half of all refusals


def test_of_many_relays_each_pauses_after_a_refusal_and_longer_while_nothing_is_taken_on() -> None:
    def refused(part: float) -> list[int]:
        relay = Relay(Balancers=40, Weights="nominal")
        relay.listed("a", rate=400.0)
        account, pauses = relay.endpoint("a").account, []
        for _ in range(5):
            relay.now += 10 * SECOND
            account.refused(relay.now, part)
            pauses.append(account.opening(relay.now) - relay.now)
        relay.step(relay.take())
        relay.advance(account.paused_until)
        relay.answer(1, 0)
        account.refused(relay.now, part)
        return [*pauses, account.paused_until - relay.now]

    longest, drawn = refused(1.0), refused(0.6)
    assert longest == [
        MAX_FIRST_PAUSE_US,
        2 * MAX_FIRST_PAUSE_US,
        4 * MAX_FIRST_PAUSE_US,
        4 * MAX_FIRST_PAUSE_US,
        4 * MAX_FIRST_PAUSE_US,
        MAX_FIRST_PAUSE_US,
    ]
    assert drawn == [pytest.approx(0.6 * it) for it in longest]  # jitter desynchronizes the relays


@pytest.mark.parametrize(
    ("rate", "units"),
    [(4.0, 0.5), (13.0, 0.8125), (20.0, 1.0), (30.0, 2.0), (40.0, 2.0), (72.0, 2.7), (160.0, 6.0)],
)
def test_of_many_relays_each_begins_with_few_units_where_the_rate_is_small(rate: float, units: float) -> None:
    assert Account(read_settings(setup(Balancers=40)), rate).units == pytest.approx(units)


def test_two_relays_of_the_same_settings_pause_apart() -> None:
    until = set()
    for seed in range(8):
        relay = Relay(Balancers=40, Weights="nominal")
        relay.sender.rng.seed(seed)
        relay.listed("a", rate=400.0)
        relay.step(relay.take())
        relay.now += SECOND // 10
        relay.answer(1, 0, Result.REFUSED, reused=True)
        until.add(relay.endpoint("a").account.paused_until)
    assert len(until) == 8


@pytest.mark.parametrize("rate", [5e-324, 1e-9, 1e300, 1e308, float("inf")])
@pytest.mark.parametrize("relays", [1, 40])
def test_a_rate_that_no_partner_can_have_stops_no_relay(rate: float, relays: int) -> None:
    one = Account(read_settings(setup(Balancers=relays)), rate)
    for at in range(1, 40):
        one.refused(at * SECOND // 4, 0.55)
        consumed(one, at * SECOND // 4, Result.REFUSED)
        assert one.limit(at * SECOND) > 0
        assert one.opening(at * SECOND) >= at * SECOND
