"""Forty relays sharing one destination: their independent decisions must not overload it."""

from dataclasses import replace

import pytest

from amberlug.lab.fleet import RunTotals, SharedDestination, play

SEEDS = 4
SMALL = SharedDestination(rate=30.0, load=0.75, burst_share=0.15, table=20)
LARGE = SharedDestination(rate=72.0, load=1.4, burst_share=0.12, bundle=5, tells_wait=0.7, wait_s=0.45)


def plays(told: SharedDestination) -> list[RunTotals]:
    tallies = [play(told, seed) for seed in range(SEEDS)]
    assert not any(it.ends["twice"] for it in tallies)
    return tallies


def mean(figures: list[float]) -> float:
    return sum(figures) / len(figures)


@pytest.mark.parametrize("table", [0, 20])
def test_forty_relays_use_a_shared_limit_and_seldom_exceed_it(table: int) -> None:
    for it in plays(SharedDestination(seconds=60, table=table)):
        assert it.refused < 0.12 * it.calls
        assert sum(it.accepted_by_second.values()) > 0.9 * it.offered
        assert it.share > 0.85


def test_forty_relays_near_the_limit_use_most_of_it() -> None:
    for it in plays(SharedDestination(seconds=60, rate=18.0, load=0.9, table=20)):
        # Rejected calls use up the limit, so pauses are needed.
        assert sum(it.accepted_by_second.values()) > 0.8 * it.offered
        assert it.refused < 0.25 * it.calls


def test_single_relay_keeps_to_the_limit() -> None:
    for it in plays(SharedDestination(relays=1, rate=8.0, load=0.6, burst_share=0.0)):
        assert it.share > 0.95
        assert it.refused < 0.25 * it.calls


def test_reduced_limit_is_learned_and_used_again_after_recovery() -> None:
    few, large = plays(replace(SMALL, cut=(6, 9, 0.25))), plays(replace(LARGE, cut=(6, 9, 0.5)))
    for it, rate, part in [(it, 30, 0.25) for it in few] + [(it, 72, 0.5) for it in large]:
        # From 9 s on, after three seconds of learning.
        late = sum(it.rejected_by_second[second] for second in range(9, 15))
        assert late < 2.7 * 6 * rate * part
        assert sum(it.accepted_by_second[second] for second in range(18, 24)) > 0.45 * 6 * rate
    assert mean([it.share for it in large]) > 0.88  # 0.79 if each relay keeps to its share of the listed rate
    assert (
        mean([sum(it.accepted_by_second[second] for second in range(9, 15)) for it in large]) > 0.4 * 6 * 36
    )


def test_restart_of_most_relays_causes_few_rejections() -> None:
    quiet, restarted = (plays(replace(SMALL, restarted=(8, many))) for many in (0, 36))
    for before, after in zip(quiet, restarted, strict=True):
        assert sum(after.rejected_by_second[second] for second in (8, 9, 10)) < 30
        assert after.share > before.share - 0.15


def test_outage_gets_few_calls_and_is_followed_by_full_use() -> None:
    for it in plays(replace(SMALL, down=(6, 5))):
        assert sum(it.rejected_by_second[second] for second in range(8, 11)) < 60
        assert sum(it.accepted_by_second[second] for second in range(13, 18)) > 0.5 * 5 * 30


def test_run_is_deterministic_for_a_seed() -> None:
    told = SharedDestination(seconds=5, table=10, restarted=(2, 36), down=(3, 1))
    first, again, other = play(told, 1), play(told, 1), play(told, 2)
    assert first == again
    assert first != other
