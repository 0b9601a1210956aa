"""Eviction of idle destinations: it changes no decision, and nothing of removed endpoints is kept."""

import itertools
import marshal
import random
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from amberlug.policy import eviction
from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US
from amberlug.policy.decide import MAX_UNPROVEN_CALLS, UNPROVEN_SLOT_SHARE
from amberlug.policy.interface import Result, State
from amberlug.policy.lasting import LastingSender
from amberlug.policy.settings import read_settings
from amberlug.policy.state import MAX_COMPETING
from tests.conftest import SECOND, Relay, of, setup

HOUR = 3600 * SECOND
CLASSES = ["safe", "keyed", "zoned", "unsafe", "ordered"]
ANSWERS = [*Result, Result.DONE, Result.DONE, Result.DONE, Result.REFUSED]


class NeverEvicting(LastingSender):
    """Reference model: the same decisions without any eviction."""

    def evict_idle(self) -> None:
        pass


class Pair:
    """Two senders with the same input, one of which never evicts; all actions must be equal."""

    def __init__(self, **changes: Any) -> None:
        settings = read_settings(setup(**({"Weights": "nominal"} | changes)))
        self.evicting, self.never_evicting = LastingSender(settings, 3), NeverEvicting(settings, 3)
        self.now = 100 * SECOND
        self.timers: list[tuple[int, int]] = []
        self.out: dict[tuple[int, int], api.Send] = {}
        self.attempts: dict[int, int] = {}
        self.over: set[int] = set()

    def tell(self, *events: api.Event) -> list[api.Action]:
        actions = self.evicting.step(self.now, events)
        assert actions == self.never_evicting.step(self.now, events)
        for action in actions:
            if isinstance(action, api.Timer):
                self.timers.append((self.now + action.after_us, action.label))
            elif isinstance(action, api.Send):
                number = self.attempts.get(action.ref, 0)
                self.attempts[action.ref] = number + 1
                self.out[action.ref, number] = action
            elif isinstance(action, api.Refuse | api.Fail):
                self.over.add(action.ref)
        return actions

    def answer(self, key: tuple[int, int], result: Result, wait_us: int = 0) -> None:
        send = self.out.pop(key)
        if result is Result.DONE:
            self.over.add(key[0])
        over = key[0] in self.over
        self.tell(api.Outcome(*key, send.endpoint, result, over, 1, wait_us, (0.5, 3.0)))

    def run(self, until_us: int) -> None:
        while True:
            due = [(at_us, 1, label) for at_us, label in self.timers]
            due += [(send.until_us, 0, key) for key, send in self.out.items()]  # type: ignore[misc]
            due = [it for it in due if it[0] <= until_us]
            if not due:
                break
            at_us, kind, what = min(due, key=lambda it: it[:2])
            self.now = max(self.now, at_us)
            if kind:
                self.timers.remove((at_us, what))
                self.tell(api.TimerExpired(what))
            else:
                self.answer(what, Result.TIMED_OUT)  # type: ignore[arg-type]
        self.now = max(self.now, until_us)

    def listed(self, *entries: api.Entry) -> None:
        self.tell(api.Listed(api.ListKind.PATCH, entries))


def entry(name: str, destination: int, state: State = State.IN, rate: float = 3.0) -> api.Entry:
    kind = {"a": "plain", "b": "bundled", "c": "apart"}[name[0]]
    return api.Entry(name, "north" if name.endswith("1") else "south", kind, destination, state, rate)


def outages(sender: LastingSender) -> set[str]:
    """Endpoints known to be in an outage or warming up, of destinations in memory or evicted."""
    cold = {name for name, it in sender.endpoints.items() if it.cold}
    folded = (marshal.loads(kept) for _, kept in sender.summaries.values())
    return cold | {name for *_, endpoints in folded for name, numbers in endpoints.items() if numbers[4]}


# Idle times that end just before, at and after the times at which kept state expires.
RESTS = [
    SECOND // 4,
    SECOND,
    5 * SECOND,
    11 * SECOND,
    12 * SECOND,
    13 * SECOND,
    40 * SECOND,
    599 * SECOND,
    611 * SECOND,
    HOUR,
]


@given(
    seed=st.integers(0, 10**6),
    mood=st.sampled_from(["well", "shut", "failing", "mixed"]),
    reports=st.booleans(),
    weights=st.sampled_from(["none", "nominal"]),
)
@hypothesis_settings(max_examples=150)
def test_eviction_changes_no_decision(seed: int, mood: str, reports: bool, weights: str) -> None:
    chance, refs = random.Random(seed), itertools.count(1)
    told = {"LoadReport": {"Names": ["x0", "x1"], "Via": "answers"}} if reports else {}
    pair = Pair(Bounds__MaxOpen=25, Weights=weights, **told)
    answers = {
        "well": [Result.DONE],
        "shut": [Result.REFUSED, Result.DONE],
        "failing": [Result.ERROR, Result.TIMED_OUT, Result.UNCONNECTED, Result.DONE],
        "mixed": ANSWERS,
    }[mood]
    names = {1: ["a1", "a2"], 2: ["b1"], 3: ["c1", "c2"], 4: ["a3"]}
    pair.listed(*(entry(name, number) for number, all_ in names.items() for name in all_))
    slept = 0
    for _ in range(120):
        roll, number = chance.random(), chance.choice([1, 1, 2, 3, 4])
        if roll < 0.08:
            state = chance.choice([State.IN, State.IN, State.DRAINING, State.GONE])
            pair.listed(entry(chance.choice(names[number]), number, state, chance.choice([3.0, 3.0, 5.0])))
        elif roll < 0.45:
            kind = chance.choice(CLASSES)
            key = f"k{number}" if kind == "ordered" else None
            pair.tell(api.Taken(next(refs), number, kind, None, key, 10 * SECOND))
        elif roll < 0.8 and pair.out:
            wait_us = chance.choice([0, 0, 300_000, 20 * SECOND, 700 * SECOND])
            pair.answer(chance.choice(sorted(pair.out)), chance.choice(answers), wait_us)
        else:
            rest_us = chance.choice(RESTS)
            if rest_us > 10 * SECOND:  # ends all calls in flight, which would prevent eviction
                for out in sorted(pair.out):
                    pair.answer(out, chance.choice(answers))
            pair.run(pair.now + rest_us)
            pair.tell()  # a step that evicts idle destinations
        slept = max(slept, len(pair.evicting.summaries))
        assert outages(pair.never_evicting) <= outages(pair.evicting)
    pair.run(pair.now + HOUR)
    pair.tell()
    pair.tell()
    assert not pair.evicting.messages
    assert not pair.evicting.endpoints


def evict(relay: Relay, rest_us: int = 60 * SECOND) -> None:
    """Have a destination evicted: ends its calls in flight and withdraws its messages."""
    for ref in list(relay.sender.messages):
        relay.step(api.Withdrawn(ref))
    for ref, number in list(relay.sender.calls):
        relay.answer(ref, number, Result.UNSENT)
    relay.advance(relay.now + rest_us)
    relay.step()
    assert not relay.sender.destinations


def test_an_idle_destination_leaves_a_summary_and_later_nothing() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.answer(1, 0)
    evict(relay)
    assert list(relay.sender.summaries) == [1]
    relay.advance(relay.now + eviction.OUTDATED_US)
    relay.step()
    assert not relay.sender.summaries
    assert not relay.sender.destinations
    assert "a" in relay.sender.members


def test_a_retry_after_wait_outlasts_eviction() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.answer(1, 0, Result.REFUSED, wait_us=900 * SECOND)
    until_us = relay.now + 900 * SECOND
    for rest_us in (60 * SECOND, 700 * SECOND):  # also longer than OUTDATED_US
        evict(relay, rest_us)
        assert not of(relay.step(relay.take()), api.Send)
    evict(relay, until_us - relay.now)
    assert of(relay.step(relay.take()), api.Send)


def test_an_outage_outlasts_eviction() -> None:
    relay = Relay(Weights="nominal")
    relay.listed("a", rate=2.0)
    for ref in range(1, 4):
        relay.step(relay.take("keyed"))
        for number in itertools.count():
            if relay.attempts.get(ref, 0) > number:
                relay.answer(ref, number, Result.TIMED_OUT)
            else:
                break
        relay.advance(relay.now + 4 * SECOND)
    assert relay.endpoint("a").cold
    evict(relay, HOUR)
    assert relay.endpoint("a").cold


def test_answer_times_of_an_hour_ago_are_forgotten() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.now += 2 * SECOND
    relay.answer(1, 0)
    usual_us = relay.endpoint("a").account.usual_us
    assert usual_us > INITIAL_ANSWER_US
    evict(relay)
    assert relay.endpoint("a").account.usual_us == usual_us
    evict(relay, HOUR)
    relay.step(relay.take())
    assert relay.endpoint("a").account.usual_us == INITIAL_ANSWER_US


def gone(state: State = State.GONE) -> api.Listed:
    return api.Listed(api.ListKind.PATCH, (api.Entry("a", "north", "plain", 1, state, 1.0),))


def test_queued_messages_end_when_their_destination_is_removed() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.answer(1, 0, Result.REFUSED, wait_us=5 * SECOND)
    relay.step(relay.take("unsafe"))
    assert {it.ref for it in of(relay.step(gone()), api.Refuse)} == {1, 2}


def test_a_call_in_flight_at_a_removed_destination_ends_its_message() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.step(relay.take("unsafe"))
    assert not of(relay.step(gone()), api.Refuse)
    assert [it.ref for it in of(relay.answer(1, 0, Result.REFUSED), api.Refuse)] == [1]
    assert [it.ref for it in of(relay.answer(2, 0, Result.RESET), api.Fail)] == [2]
    evict(relay)
    assert not relay.sender.summaries


def test_a_destination_that_drains_holds_its_messages_until_another_endpoint_comes() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(gone(state=State.DRAINING))
    assert not relay.step(relay.take())[1:]
    assert relay.sender.members.serves(1)
    new = api.Entry("b", "north", "plain", 1, State.IN, 1.0)
    assert of(relay.step(api.Listed(api.ListKind.PATCH, (new,))), api.Send)


def test_state_of_a_removed_endpoint_is_not_used_when_it_returns() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take("unsafe"))
    relay.now += 2 * SECOND
    relay.answer(1, 0, Result.TIMED_OUT)
    assert relay.endpoint("a").failure_rate > 0
    evict(relay)
    relay.step(gone())
    assert not relay.sender.summaries
    relay.listed("a")
    back = relay.endpoint("a")
    assert back.failure_rate == 0
    assert not back.cold
    assert back.account.usual_us == INITIAL_ANSWER_US


def test_a_whole_list_removes_evicted_destinations() -> None:
    relay = Relay()
    relay.listed("a", "b")
    relay.step(relay.take())
    relay.answer(1, 0, Result.RESET)
    evict(relay)
    new = api.Entry("n", "north", "plain", 2, State.IN, 1.0)
    relay.step(api.Listed(api.ListKind.WHOLE, (new,)))
    assert list(relay.sender.members) == ["n"]
    assert not relay.sender.summaries
    assert not relay.sender.members.serves(1)


def test_an_endpoint_listed_for_another_destination_serves_only_that() -> None:
    relay = Relay()
    relay.listed("a")
    relay.step(relay.take())
    relay.answer(1, 0, Result.REFUSED, wait_us=SECOND)
    moved = api.Entry("a", "north", "plain", 2, State.IN, 1.0)
    assert of(relay.step(api.Listed(api.ListKind.PATCH, (moved,))), api.Refuse)
    assert not relay.sender.members.serves(1)
    assert relay.endpoint("a").entry.destination == 2


def test_state_does_not_grow_with_hours_of_endpoint_churn() -> None:
    relay = Relay()
    for minute in range(6 * 60):
        name, number = f"e{minute}", minute
        new = api.Entry(name, "north", "plain", number, State.IN, 1.0)
        relay.step(api.Listed(api.ListKind.PATCH, (new,)))
        ref = next(relay.refs)
        relay.step(api.Taken(ref, number, "safe", None, None, 10 * SECOND))
        relay.answer(ref, 0, Result.DONE if minute % 3 else Result.REFUSED, wait_us=1000 * SECOND)
        relay.step(api.Withdrawn(ref))
        if minute >= 20:
            old = api.Entry(f"e{minute - 20}", "north", "plain", minute - 20, State.GONE, 1.0)
            relay.step(api.Listed(api.ListKind.PATCH, (old,)))
        relay.advance(relay.now + 60 * SECOND)
    sender = relay.sender
    assert len(sender.members) == 20
    for kept in (
        sender.destinations,
        sender.endpoints,
        sender.summaries,
        sender.eviction_checks,
        sender.summary_expiries,
        sender.timers,
        sender.affected,
    ):
        assert len(kept) <= 40, kept


def test_calls_to_a_newly_active_destination_are_limited_until_one_is_delivered() -> None:
    relay = Relay(FamilyInfo__Slots=100, Bounds__MaxOpen=200)
    relay.listed("a")
    assert len(of(relay.step(*(relay.take() for _ in range(20))), api.Send)) == MAX_UNPROVEN_CALLS
    assert not of(relay.answer(1, 0, Result.UNSENT), api.Send)[1:]  # one more call replaces it
    assert (
        len(of(relay.answer(2, 0), api.Send)) == 20 - MAX_UNPROVEN_CALLS
    )  # all but the two that were answered are in flight
    for ref in range(3, 21):
        relay.answer(ref, 0)
    evict(relay, HOUR)
    assert len(of(relay.step(*(relay.take() for _ in range(20))), api.Send)) == MAX_UNPROVEN_CALLS


def test_with_scarce_slots_a_newly_active_destination_gets_one_call() -> None:
    relay = Relay(FamilyInfo__Slots=4 * MAX_UNPROVEN_CALLS, Bounds__MaxOpen=200)
    numbers = range(4 * MAX_UNPROVEN_CALLS)
    new = (api.Entry(f"a{n}", "north", "plain", n, State.IN, 1.0) for n in (*numbers, 20))
    relay.step(api.Listed(api.ListKind.PATCH, tuple(new)))
    out: list[int] = []
    for number in numbers:
        refs = [next(relay.refs) for _ in range(MAX_UNPROVEN_CALLS)]
        taken = (api.Taken(ref, number, "safe", None, None, 10 * SECOND) for ref in refs)
        out.append(len(of(relay.step(*taken), api.Send)))
        relay.now += 1000
    # Half of the slots go as usual, the other half one per destination, so that more destinations are tried.
    assert out[:2] == [MAX_UNPROVEN_CALLS, MAX_UNPROVEN_CALLS]
    assert out[2] <= 2
    assert out[3 : 3 + MAX_UNPROVEN_CALLS] == [1] * MAX_UNPROVEN_CALLS
    # The last tenth is reserved for endpoints that deliver: one with a recent delivery gets a slot.
    assert sum(out) == int(4 * MAX_UNPROVEN_CALLS * UNPROVEN_SLOT_SHARE) + 1 < 4 * MAX_UNPROVEN_CALLS
    relay.endpoint("a20").last_success_us = relay.now
    ref = next(relay.refs)
    assert of(relay.step(api.Taken(ref, 20, "safe", None, None, 10 * SECOND)), api.Send)


def test_with_scarce_slots_fast_destinations_go_first() -> None:
    relay = Relay(FamilyInfo__Slots=2, Bounds__MaxOpen=200)
    new = (api.Entry(f"a{n}", "north", "plain", n, State.IN, 1.0) for n in range(5))
    relay.step(api.Listed(api.ListKind.PATCH, tuple(new)))
    for number, usual_us in enumerate((1, 2 * SECOND, SECOND // 10, SECOND, 1)):
        endpoint = relay.endpoint(f"a{number}")
        endpoint.account.usual_us, endpoint.last_success_us = usual_us, relay.now
    relay.step(*(api.Taken(1000 + n, n, "safe", None, None, 10 * SECOND) for n in (0, 4)))
    assert len(relay.sent) == 2
    relay.step(*(api.Taken(n, n, "safe", None, None, 10 * SECOND) for n in (1, 2, 3)))
    relay.now += SECOND // 10
    for ref in (1000, 1004):
        relay.answer(ref, 0)
    assert [ref for ref, *_ in relay.sent[2:]] == [2, 3]


def test_overdue_calls_are_cancelled_once_a_step() -> None:
    relay = Relay(FamilyInfo__Slots=4, Bounds__MaxOpen=200)
    new = (api.Entry(f"a{n}", "north", "plain", n, State.IN, 1.0) for n in range(20))
    relay.step(api.Listed(api.ListKind.PATCH, tuple(new)))
    refs = [next(relay.refs) for _ in range(20)]
    relay.step(*(api.Taken(ref, at, "safe", None, None, 30 * SECOND) for at, ref in enumerate(refs)))
    relay.now += 9 * SECOND
    more = [api.Taken(next(relay.refs), at, "safe", None, None, 30 * SECOND) for at in range(10, 20)]
    off = of(relay.step(*more), api.CancelAttempt)
    assert sorted((it.ref, it.attempt) for it in off) == sorted((it[0], it[1]) for it in relay.sent)


def test_slots_are_shared_among_many_waiting_destinations() -> None:
    relay = Relay(FamilyInfo__Slots=4, Bounds__MaxOpen=5000)
    many = 4 * MAX_COMPETING
    new = (api.Entry(f"a{n}", "north", "plain", n, State.IN, 1.0) for n in range(many))
    relay.step(api.Listed(api.ListKind.PATCH, tuple(new)))
    refs = {n: [next(relay.refs) for _ in range(3)] for n in range(many)}
    number = {ref: n for n, own in refs.items() for ref in own}
    relay.step(*(api.Taken(ref, number[ref], "safe", None, None, 10 * SECOND) for ref in number))
    called: list[int] = []
    while len(called) < many:
        relay.now += 1000
        ref, attempt, send, _ = relay.sent[len(called)]
        called.append(number[ref])
        relay.step(api.Outcome(ref, attempt, send.endpoint, Result.DONE, True, 1000, 0, ()))
    # A destination that becomes active does not wait until all messages of earlier ones are sent.
    assert len(set(called)) > many * 0.3
    assert len(relay.sender.waiting_for_slot) > MAX_COMPETING


def test_a_limit_below_one_and_call_starts_outlast_eviction() -> None:
    relay = Relay()
    relay.listed("a")
    endpoint = relay.endpoint("a")
    account = endpoint.account
    account.learned, account.learned_us, account.stretched_window = 0.25, relay.now, 4 * SECOND
    endpoint.starts.extend((relay.now - 2, relay.now - 1))
    evict(relay, 13 * SECOND)
    again = relay.endpoint("a")
    assert again is not endpoint
    assert (again.account.learned, again.account.stretched_window) == (0.25, 4 * SECOND)
    assert again.account.limit(relay.now) < 1
    assert list(again.starts) == list(endpoint.starts)
