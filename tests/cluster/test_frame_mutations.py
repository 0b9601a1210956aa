"""Mutations of how the Raft log is sent, stored and read: each fails a test that passes without it."""

from collections.abc import Callable
from functools import partial

import pytest

from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.mutations_frames import FAULTS
from tests.cluster import test_raft, test_replication

pytestmark = pytest.mark.usefixtures("suppressed_logs")

FOUND_BY: dict[str, Callable[[], None]] = {
    "batch-unbounded": test_replication.test_a_slow_member_stays_a_follower_while_it_receives_large_entries,
    "members-left-behind": test_replication.test_a_snapshot_contains_the_newest_membership,
    "sum-unchecked": test_raft.test_a_snapshot_with_a_wrong_checksum_is_rejected,
    "part-missing": test_raft.test_a_snapshot_in_chunks_is_installed_with_its_membership,
    "part-from-start": test_replication.test_a_snapshot_transfer_resumes_after_lost_connections,
    "snapshot-unsynced": test_raft.test_a_snapshot_that_the_disk_refuses_is_not_acknowledged,
    "last-forgotten": test_replication.test_acknowledged_changes_survive_a_loss_of_all,
    "beat-after-work": test_replication.test_an_error_for_one_peer_affects_no_other,
    "cut-by-count-alone": partial(
        test_replication.test_a_member_that_was_down_catches_up, 40, 1_000_000, False
    ),
}


@pytest.mark.parametrize("name", list(FAULTS))
def test_a_mutation_is_detected(name: str) -> None:
    with mutated(name), pytest.raises(AssertionError):
        FOUND_BY[name]()
