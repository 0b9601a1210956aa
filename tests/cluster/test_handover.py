"""Handover of shards whose previous owner learns of its successor a moment late."""

import pytest

from amberlug.cluster.control import node
from amberlug.cluster.simulation.scenarios import play

pytestmark = pytest.mark.usefixtures("suppressed_logs")


@pytest.mark.parametrize("seed", [39, 2089, 2272, 2273])
def test_a_message_that_ends_before_its_owner_learns_of_the_successor_is_not_run_again(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Other control-plane nodes have the table by the log alone: the previous owner learns of it late.
    monkeypatch.setattr(node, "REPLICATED_KEYS", ("config", "shards", "roster", "cores"))
    assert play(seed, "edges") == []
