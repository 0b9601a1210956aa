"""Faults put into how the log is sent, kept and read back: each is found by a test that passes without it."""

from collections.abc import Callable, Iterator
from functools import partial

import pytest
from absl import logging

from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.mutations_frames import FAULTS
from tests.cluster import test_raft, test_replication

FOUND_BY: dict[str, Callable[[], None]] = {
    "batch-unbounded": test_replication.test_a_slow_member_stays_a_follower_while_it_is_sent_what_is_large,
    "members-left-behind": test_replication.test_a_snapshot_holds_the_newest_membership,
    "sum-unchecked": test_raft.test_a_snapshot_with_other_bytes_than_were_sent_is_not_taken,
    "part-missing": test_raft.test_a_snapshot_in_parts_is_taken_whole_and_with_its_membership,
    "part-from-start": test_replication.test_a_snapshot_goes_on_where_it_stood_when_connections_end,
    "snapshot-unsynced": test_raft.test_a_snapshot_that_the_disk_refuses_is_not_acknowledged_until_it_lasts,
    "last-forgotten": test_replication.test_what_was_acknowledged_outlasts_a_loss_of_all,
    "beat-after-work": test_replication.test_an_error_for_one_peer_touches_no_other,
    "cut-by-count-alone": partial(
        test_replication.test_a_member_that_was_away_catches_up, 40, 1_000_000, False
    ),
}


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Members' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


@pytest.mark.parametrize("name", list(FAULTS))
def test_a_fault_is_found(name: str) -> None:
    with mutated(name), pytest.raises(AssertionError):
        FOUND_BY[name]()
