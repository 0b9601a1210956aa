"""Reconnect delays of a fleet whose watches end together, and how long an unconfirmed list is valid."""

import heapq
import random
from pathlib import Path

import pytest

from amberlug.platform.backoff import MAX_DELAY_S, RESTART_S, DiscoveryBackoff
from amberlug.platform.confirmation import ListConfirmation

PER_CALL = 0.15  # seconds that discovery needs per call: forty calls take six
PATIENCE = 2.0  # seconds until a relay gives up on a response; discovery does the work all the same


def simulate_fleet(relays: int, seed: int, per_call: float = PER_CALL) -> tuple[list[float], int]:
    """Simulate a fleet whose watches all end at 0: when each relay has its list, and the number of calls."""
    chance = random.Random(seed).random
    backoffs = [DiscoveryBackoff(relays, 2.0, chance) for _ in range(relays)]
    due = [(it.next_delay_s(True), number) for number, it in enumerate(backoffs)]
    heapq.heapify(due)
    received_at, calls, free_at = [], 0, 0.0
    while due and calls < 100 * relays:
        at, number = heapq.heappop(due)
        calls, start = calls + 1, max(free_at, at)
        if start - at > 2 * PATIENCE:
            heapq.heappush(due, (at + backoffs[number].next_delay_s(False, True), number))  # refused
            continue
        free_at = start + per_call
        if free_at <= at + PATIENCE:
            received_at.append(free_at)
        else:
            heapq.heappush(due, (at + PATIENCE + backoffs[number].next_delay_s(False, True), number))
    return received_at, calls


def test_forty_relays_that_lose_their_watch_at_once_all_have_it_again_soon() -> None:
    for seed in range(20):
        received_at, calls = simulate_fleet(40, seed)
        assert len(received_at) == 40
        assert calls <= 4 * 40
        assert max(received_at) < 45
        assert sorted(received_at)[20] < 15


def test_two_hundred_renew_their_watch_within_the_grace_for_drains() -> None:
    for seed in range(20):
        received_at, calls = simulate_fleet(200, seed, per_call=0.0)  # a local agent answers immediately
        assert (len(received_at), calls) == (200, 200)
        assert max(received_at) <= 1.0
        for per_call, most_s in ((0.03, 30), (PER_CALL, 160)):  # one that serves calls sequentially
            received_at, calls = simulate_fleet(200, seed, per_call)
            assert len(received_at) == 200
            assert calls <= 5 * 200
            assert max(received_at) < most_s


def test_a_few_relays_have_their_list_as_soon_as_ever() -> None:
    for seed in range(20):
        received_at, calls = simulate_fleet(3, seed)
        assert max(received_at) < 1.0
        assert calls == 3
    single = DiscoveryBackoff(1, 2.0, lambda: 1.0)
    delays = [round(single.next_delay_s(received_data), 3) for received_data in (True, False, False, True)]
    assert delays == [0.1, 0.2, 0.4, 0.1]
    assert max(single.next_delay_s(False) for _ in range(50)) <= MAX_DELAY_S


def test_two_relays_that_lose_their_watch_at_once_draw_apart() -> None:
    assert len({DiscoveryBackoff(40, 2.0).next_delay_s(True) for _ in range(40)}) == 40


@pytest.mark.parametrize("relays", [1, 3, 40, 200, 1000])
def test_a_lost_watch_is_asked_for_within_the_grace_for_drains_whatever_the_fleet(relays: int) -> None:
    slowest = DiscoveryBackoff(relays, 2.0, lambda: 1.0)
    assert slowest.next_delay_s(True) <= 1.0
    for _ in range(30):
        assert slowest.next_delay_s(False, refused=False) <= 1.0  # unreachable: it may be back any moment
    assert slowest.initial_list_validity_s(restarted=True) < slowest.list_validity_s() < 8.0


def test_a_list_is_gone_by_for_what_is_left_of_its_time_whatever_restarts_in_between() -> None:
    backoff = DiscoveryBackoff(200, 2.0)
    fresh, initial = backoff.list_validity_s(), backoff.initial_list_validity_s
    assert initial(False) == fresh
    assert initial(True) == initial(True, 1.0) == fresh - RESTART_S
    assert initial(True, 6.5) == fresh - 6.5  # no updates for a while before the restart
    assert initial(True, 600.0) == 0.0


class _Clock:
    """A monotonic clock with a boot id, set by the test."""

    def __init__(self, now_us: int, boot: str) -> None:
        self._now_us, self.boot = now_us, boot

    def now_us(self) -> int:
        return self._now_us


def test_when_the_list_was_confirmed_outlasts_the_process_and_no_other_start_of_the_machine(
    tmp_path: Path,
) -> None:
    def at(seconds: float, boot: str = "b1") -> ListConfirmation:
        return ListConfirmation(tmp_path, _Clock(int(seconds * 1e6), boot))  # type: ignore[arg-type]

    assert at(5).age_s() is None
    at(5).record()
    assert at(12.5).age_s() == 7.5
    assert at(12.5, "b2").age_s() is None
    assert at(12.5, "").age_s() is None
    confirmation = at(20)
    confirmation.record()
    confirmation.record()  # written at most once in half a second
    assert at(21).age_s() == 1.0
    for spoilt in (b"", b"x" * 52, (tmp_path / "heard").read_bytes()[:-1] + b"!"):
        (tmp_path / "heard").write_bytes(spoilt)
        assert at(21).age_s() is None
