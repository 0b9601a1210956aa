"""Handover of shards whose previous owner learns late of the new owner.

The previous owner may end a message after the new owner has read it as open, and have the outcome
acknowledged before it learns of the new owner. The new owner must not execute the message again.
"""

import pytest

from amberlug.cluster.control import node
from amberlug.cluster.simulation.scenarios import play

pytestmark = pytest.mark.usefixtures("suppressed_logs")


@pytest.mark.parametrize("seed", [39, 2089, 2272, 2273])
def test_a_message_that_ends_before_its_owner_learns_of_the_successor_is_not_run_again(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Control-plane nodes other than the leader get the table through the log only, so that the previous
    # owner learns of it late.
    monkeypatch.setattr(node, "REPLICATED_KEYS", ("config", "shards", "roster", "cores"))
    assert play(seed, "edges") == []
