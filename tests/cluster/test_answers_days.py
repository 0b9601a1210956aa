"""Scenarios whose endpoints cut off, repeat, delay and lose responses, and mutations they must detect."""

import pytest

from amberlug.cluster.simulation.mutations import MUTANTS
from amberlug.cluster.simulation.scenarios import play
from amberlug.cluster.simulation.seed_search import run_seed

pytestmark = pytest.mark.usefixtures("suppressed_logs")


@pytest.mark.parametrize("seed", [201, 205, 208])
def test_days_with_garbled_responses_break_no_invariant(seed: int) -> None:
    assert play(seed, "answers") == []


@pytest.mark.parametrize(
    ("name", "seed", "rule"), [("answer-believed", 201, "MIXED"), ("out-elsewhere", 2, "TWICE")]
)
def test_a_mutation_is_detected(name: str, seed: int, rule: str) -> None:
    family = MUTANTS[name][1]
    # A change of the program may shift which seed detects a mutation.
    found = (run_seed(it, family, name)[1] for it in range(seed, seed + 20))
    assert any(rule in {it.invariant for it in broken} for broken in found)
