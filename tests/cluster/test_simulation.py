"""Simulated deployments: randomized scenarios, and mutations of the program that they must detect."""

import pytest

from amberlug.cluster.simulation.mutations import MUTANTS
from amberlug.cluster.simulation.scenarios import Scenario, play
from amberlug.cluster.simulation.seed_search import run_seed

pytestmark = pytest.mark.usefixtures("suppressed_logs")


@pytest.mark.parametrize(
    ("seed", "family"), [(1, ""), (2, ""), (11, "closing"), (15, "core"), (39, "edges"), (504, "config")]
)
def test_random_days_break_no_invariant(seed: int, family: str) -> None:
    assert play(seed, family) == []


def test_a_storage_node_that_loses_its_disk_during_retirement_is_retired() -> None:
    day = Scenario(3, "quiet")
    store = day.deployment.stores[0]
    day.clock.call_later(7.0, lambda: day.storage_faults.empty(store))
    day.clock.call_later(7.06, lambda: day.storage_faults.lose_disk(store, 0.05))
    assert day.play() == []
    assert store not in day.deployment.stores


@pytest.mark.parametrize(
    ("name", "seed"),
    [
        ("first-sync", 11),
        ("old-vote", 15),
        ("no-fence", 11),
        ("drain-alone", 58),
        ("order-lost", 39),
        ("unclear-refused", 28),
        ("forgotten-end", 44),
        ("failed-early", 23),
        ("rate-alone", 46),
    ],
)
def test_a_mutation_is_detected(name: str, seed: int) -> None:
    family = MUTANTS[name][1]
    # A change of the program may shift which seed detects a mutation.
    found = next((it for it in range(seed, seed + 20) if run_seed(it, family, name)[1]), None)
    assert found is not None
