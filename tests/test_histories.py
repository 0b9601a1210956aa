"""Property test: the delivery rules hold for every action in random valid event histories."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.policy import interface as api
from amberlug.policy.interface import Result, State
from tests.conftest import SECOND, Relay, of

CLASSES = ["safe", "keyed", "zoned", "unsafe", "ordered"]
NEVER_RAN = {Result.REFUSED, Result.UNCONNECTED, Result.UNSENT}
ENDPOINTS = {
    name: api.Entry(name, zone, "plain", 1, State.IN, 3.0)
    for name, zone in [("a", "north"), ("b", "south"), ("c", "north")]
}


class Watched(Relay):
    """A relay whose every action is checked against the rules."""

    def __init__(self, **changes: object) -> None:
        super().__init__(**changes)
        self.open: dict[int, tuple[str, int, str | None]] = {}
        self.ended: dict[int, int] = {}
        self.out: dict[tuple[int, int], api.Send] = {}
        self.ran: dict[int, list[tuple[int, str]]] = {}
        self.usable: set[str] = set()
        self.blocked = 0
        self.lane: list[int] = []
        self.rest = 0

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.check_send(action)
            elif isinstance(action, api.Refuse | api.Fail):
                kind, deadline, _ = self.open.pop(action.ref)
                assert self.now <= deadline + 20_000
                exposed = action.ref in self.ran or any(key[0] == action.ref for key in self.out)
                if isinstance(action, api.Refuse) and exposed:
                    assert kind in ("safe", "keyed", "ordered")
                self.close(action.ref)

    def close(self, ref: int) -> None:
        self.ended[ref] = self.now
        if ref in self.lane and not any(key[0] == ref for key in self.out):
            self.lane.remove(ref)

    def check_send(self, send: api.Send) -> None:
        kind, deadline, _ = self.open[send.ref]
        number = self.attempts[send.ref] - 1
        assert number < 5
        assert send.endpoint in self.usable
        assert self.now >= self.blocked
        assert send.until_us <= deadline
        assert not any(key[0] == send.ref for key in self.out)
        ran = self.ran.get(send.ref, [])
        if ran and kind != "safe" and kind != "ordered":
            assert kind in ("keyed", "zoned")
            assert self.now < min(start for start, _ in ran) + 6 * SECOND
            if kind == "zoned":
                assert {ENDPOINTS[name].zone for _, name in ran} == {ENDPOINTS[send.endpoint].zone}
        if kind == "ordered":
            assert self.lane[0] == send.ref
            assert number > 0 or self.now >= self.rest
        self.out[send.ref, number] = send
        assert len(self.out) <= 8

    def feed(self, *events: api.Event) -> None:
        for event in events:
            if isinstance(event, api.Taken):
                self.open[event.ref] = (event.message_class, self.now + event.left_us, event.key)
                if event.key is not None:
                    self.lane.append(event.ref)
        self.check(self.step(*events))

    def report(self, key: tuple[int, int], result: Result, wait_us: int) -> None:
        send = self.out.pop(key)
        ref = key[0]
        start = next(item[3] for item in self.sent if item[:2] == key)
        ended = result is Result.DONE or ref in self.ended
        if result not in NEVER_RAN:
            self.ran.setdefault(ref, []).append((start, send.endpoint))
            if ref in self.lane and result in (Result.TIMED_OUT, Result.RESET, Result.CALLED_OFF):
                self.rest = max(self.rest, self.now + 500_000)
        if result is Result.DONE and ref in self.open:
            del self.open[ref]
            self.close(ref)
        elif ref in self.lane and ref in self.ended:
            self.lane.remove(ref)
        wait_us = wait_us if result is Result.REFUSED else 0
        self.blocked = max(self.blocked, self.now + wait_us)
        took = self.now - start
        self.feed(api.Outcome(ref, key[1], send.endpoint, result, ended, took, wait_us, ()))

    def run(self, until_us: int) -> None:
        """Process timers and attempt time-outs in order of time."""
        while True:
            timers = [(at_us, 1, label) for at_us, label in self.timers]
            outs = [(send.until_us, 0, key) for key, send in self.out.items()]
            due = [item for item in [*timers, *outs] if item[0] <= until_us]
            if not due:
                self.now = max(self.now, until_us)
                return
            at_us, kind, what = min(due, key=lambda item: item[:2])
            self.now = max(self.now, at_us)
            if kind == 0:
                assert isinstance(what, tuple)
                self.report(what, Result.TIMED_OUT, 0)
            else:
                assert isinstance(what, int)
                self.timers.remove((at_us, what))
                self.feed(api.TimerExpired(what))


@pytest.mark.parametrize("rate", ["none", "nominal"])
@given(seed=st.integers(0, 10**6), mood=st.sampled_from(["well", "failing", "shut", "silent", "mixed"]))
def test_rules_hold_through_a_history(rate: str, seed: int, mood: str) -> None:
    chance = random.Random(seed)
    relay = Watched(Weights=rate, Bounds__MaxOpen=25)
    answers = {
        "well": [Result.DONE],
        "failing": [Result.ERROR, Result.RESET, Result.DONE],
        "shut": [Result.REFUSED, Result.UNCONNECTED],
        "silent": [],
        "mixed": list(Result),
    }[mood]
    for _ in range(150):
        roll = chance.random()
        if roll < 0.1:
            entry = ENDPOINTS[chance.choice("abc")]
            state = chance.choice([State.IN, State.IN, State.DRAINING, State.GONE])
            entry = api.Entry(entry.endpoint, entry.zone, entry.kind, 1, state, entry.rate)
            (relay.usable.add if state is State.IN else relay.usable.discard)(entry.endpoint)
            relay.feed(api.Listed(api.ListKind.PATCH, (entry,)))
        elif roll < 0.5:
            kind = chance.choice(CLASSES)
            relay.feed(relay.take(kind, "k" if kind == "ordered" else None))
        elif roll < 0.8 and relay.out and answers:
            key = chance.choice(sorted(relay.out))
            relay.report(key, chance.choice(answers), chance.choice([0, 300_000, 2 * SECOND]))
        else:
            relay.run(relay.now + chance.choice([5_000, 100_000, SECOND]))
    relay.run(relay.now + 15 * SECOND)
    assert not relay.open
    assert not relay.sender.messages
    assert not of(relay.step(), api.Send)
