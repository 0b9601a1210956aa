"""Decisions across restarts and just before a send leaves."""

import itertools
from dataclasses import replace
from typing import Any

import pytest

from amberlug.core.ports import RequestedPause
from amberlug.policy import interface as api
from amberlug.policy.interface import Result, State
from amberlug.policy.lasting import USUAL_QUEUEING_US, LastingSender
from amberlug.policy.settings import read_settings
from tests.conftest import SECOND, of, setup

START = 100 * SECOND


def lasting(**changes: Any) -> LastingSender:
    sender = LastingSender(read_settings(setup(**({"Weights": "nominal"} | changes))), 7)
    entry = api.Entry("a", "north", "plain", 1, State.IN, 5.0)
    sender.step(START, [api.Listed(api.ListKind.WHOLE, (entry,))])
    return sender


def taken(ref: int, kind: str, left_us: int = 10 * SECOND) -> api.Taken:
    return api.Taken(ref, 1, kind, None, None, left_us)


@pytest.mark.parametrize(
    ("kind", "result", "ago_us", "then"),
    [
        ("unsafe", None, SECOND, api.Fail),
        ("unsafe", Result.RESET, SECOND, api.Fail),
        ("unsafe", Result.REFUSED, SECOND, api.Send),
        ("keyed", None, SECOND, api.Send),
        ("keyed", None, 7 * SECOND, api.Refuse),
        ("zoned", None, SECOND, api.Fail),  # its endpoint is no longer known, so neither is its zone
        ("safe", None, SECOND, api.Send),
    ],
)
def test_what_was_held_goes_on_or_ends_at_once(
    kind: str, result: Result | None, ago_us: int, then: type[api.Action]
) -> None:
    earlier = (api.Earlier("gone", ago_us, result),)
    actions = lasting().step(START + 1, [api.Resumed(taken(1, kind), 1, earlier)])
    assert len(of(actions, then)) == 1
    assert len(of(actions, api.Send | api.Refuse | api.Fail)) == 1  # type: ignore[arg-type]


def test_what_is_out_of_time_or_attempts_ends_at_once() -> None:
    for left_us, attempts in ((-SECOND, 0), (SECOND, 5)):
        actions = lasting().step(START + 1, [api.Resumed(taken(1, "safe", left_us), attempts, ())])
        assert len(of(actions, api.Refuse)) == 1
        assert not of(actions, api.Send)


@pytest.mark.parametrize(
    ("boot", "now_us", "left_us"),
    [
        ("a", 1_000, 9_000),
        ("a", 9_999, 1),
        ("a", 60_000, 0),
        ("b", 60_000, 10_000),
        ("", 60_000, 10_000),
        ("a", 0, 10_000),
    ],
)
def test_a_retry_after_wait_is_neither_shortened_nor_extended(boot: str, now_us: int, left_us: int) -> None:
    assert RequestedPause(1, "", 10_000, 10_000, "a").left_us(now_us, boot) == left_us


def test_closing_hands_back_only_what_would_lose_most() -> None:
    classes = setup()["Categories"]
    classes[0]["LateWorth"] = 0.1  # its value drops to 60 % over the restart, that of the keyed one to 78 %
    sender = lasting(Categories=classes, FamilyInfo__Slots=1)
    sender.step(START + 1, [taken(1, "safe")])
    sender.step(START + 2, [taken(2, "safe"), taken(3, "keyed")])
    ends = of(sender.step(START + 3, [api.ShutdownStarted()]), api.Refuse)
    assert [(end.ref, end.advice_us >= SECOND // 2) for end in ends] == [(2, True)]
    done = api.Outcome(1, 0, "a", Result.DONE, True, 10, 0, ())
    assert not of(sender.step(START + 4, [done]), api.Send)


def test_a_send_may_not_start_after_a_drain_a_wait_or_an_end() -> None:
    sender = lasting()
    sender.step(START + 1, [taken(1, "safe"), taken(2, "safe")])
    assert sender.may_start(START + 2, 2, "a")
    assert not sender.may_start(START + 2, 3, "a")
    sender.step(START + 3, [api.Outcome(1, 0, "a", Result.REFUSED, False, 1, SECOND, ())])
    assert not sender.may_start(START + 4, 2, "a")
    assert sender.may_start(START + 3 + SECOND, 2, "a")
    entry = api.Entry("a", "north", "plain", 1, State.DRAINING, 5.0)
    sender.step(START + 3 + SECOND, [api.Listed(api.ListKind.PATCH, (entry,))])
    assert not sender.may_start(START + 3 + SECOND, 2, "a")


def test_a_keyed_repeat_does_not_leave_where_its_key_may_be_forgotten_on_its_way() -> None:
    sender = lasting()
    sender.step(START + 1, [api.Resumed(taken(1, "keyed"), 1, (api.Earlier("a", SECOND, None),))])
    assert sender.may_start(START + 2, 1, "a")
    assert not sender.may_start(START + 5 * SECOND - 200_000, 1, "a")  # the key is remembered for 6 s


def test_a_message_ends_a_little_before_its_time_is_up() -> None:
    sender = lasting()
    sender.step(START + 1, [api.Listed(api.ListKind.WHOLE, ())])
    timers = of(sender.step(START + 2, [taken(1, "safe")]), api.Timer)
    due = min(timers, key=lambda it: it.after_us)
    assert 9 * SECOND < due.after_us < 10 * SECOND
    assert of(sender.step(START + 2 + due.after_us, [api.TimerExpired(due.label)]), api.Refuse)


@pytest.mark.parametrize(("result", "closed"), [(Result.RESET, 1), (Result.TIMED_OUT, 1), (Result.ERROR, 0)])
def test_idle_connections_are_closed_after_a_reset_or_time_out(result: Result, closed: int) -> None:
    sender = lasting()
    sender.step(START + 1, [taken(1, "safe"), taken(2, "safe")])
    sender.step(START + 2, [api.Outcome(1, 0, "a", Result.DONE, True, 1, 0, ())])
    actions = sender.step(START + 3, [api.Outcome(2, 0, "a", result, False, 2, 0, ())])
    assert of(actions, api.CloseIdle) == [api.CloseIdle("a")] * closed


def test_an_overloaded_relay_refuses_the_least_valuable_messages_first() -> None:
    sender = lasting()
    cheap, dear = (replace(sender.settings.classes["safe"], worth=worth) for worth in (1.0, 4.0))
    sender.settings = replace(sender.settings, classes={"cheap": cheap, "dear": dear})
    refs = itertools.count(1)

    def refused(waited_us: int) -> list[str]:
        ends = []
        for name in ("cheap", "dear"):
            ref = next(refs)
            taken = api.Taken(ref, 1, name, None, None, 10 * SECOND, waited_us)
            actions = sender.step(sender.now + SECOND, [taken, api.Withdrawn(ref)])
            ends += [name for it in actions if isinstance(it, api.Refuse) and it.ref == ref]
        return ends

    for _ in range(200):
        assert refused(waited_us=0) == []
    assert refused(waited_us=USUAL_QUEUEING_US) == []
    assert refused(waited_us=2 * USUAL_QUEUEING_US) == ["cheap"]
    assert refused(waited_us=4 * USUAL_QUEUEING_US) == ["cheap", "dear"]


def test_nothing_is_sent_by_a_list_that_was_not_confirmed_for_too_long() -> None:
    sender, now = lasting(), START + SECOND
    sender.step(now, [api.ListConfirmed(8 * SECOND)])
    now += 8 * SECOND - 1
    (send,) = of(sender.step(now, [taken(1, "safe"), taken(2, "unsafe")]), api.Send)[:1]
    assert sender.may_start(now, send.ref, "a")
    now += 1  # from now on an endpoint may be draining, and the relay counts as informed
    assert not sender.may_start(now, send.ref, "a")
    unsent = api.Outcome(send.ref, 0, "a", Result.UNSENT, False, 0, 0, ())
    actions = sender.step(now, [unsent, taken(3, "safe")])
    assert [it.ref for it in of(actions, api.Refuse)] == [3]  # another relay may have a current list
    actions += sender.step(now + 1, [api.Resumed(taken(4, "unsafe"), 0, ())])
    assert not of(actions, api.Send | api.Fail)  # type: ignore[arg-type]
    told = [it.text for it in of(actions, api.Log)]
    assert len(told) == 1, "logged once, not for each message"
    assert told[0].startswith("list: too old for 0.0 s")
    actions = sender.step(now + SECOND, [api.ListConfirmed(8 * SECOND)])
    assert [it.text[:21] for it in of(actions, api.Log)] == ["list: confirmed again"]
    assert {send.ref, 4} <= {it.ref for it in of(actions, api.Send)}
