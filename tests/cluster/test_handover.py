"""Shards that change hands while the owner before goes on for a moment."""

from collections.abc import Iterator

import pytest
from absl import logging

from amberlug.cluster.control import node
from amberlug.cluster.simulation.scenarios import play


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Machines' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


@pytest.mark.parametrize("seed", [39, 2089, 2272, 2273])
def test_what_ends_before_the_owner_before_hears_of_its_successor_does_not_run_again(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Other core machines have the table by the log alone, so the owner before hears of it a little later.
    monkeypatch.setattr(node, "REPLICATED_KEYS", ("config", "shards", "roster", "cores"))
    assert play(seed, "edges") == []
