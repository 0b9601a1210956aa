"""Raft in all interleavings to a small depth, and step sequences to faults that deeper searches found."""

import pytest

from amberlug.cluster.simulation.model_checker import (
    INITIAL_STATES,
    MEMBERSHIP_STATES,
    Execution,
    InvariantError,
    Step,
    explore,
    same_identity,
    stranger,
)
from amberlug.cluster.simulation.mutations import mutated

# Steps as `python -m amberlug.cluster.simulation explore --mutant` prints them.
TWO_LEADERS: list[Step] = [
    ("stand", "a", 0),
    ("deliver", "b", 1),
    ("deliver", "a", 3),
    ("wipe", "a", 0),
    ("stand", "a", 0),
    ("deliver", "b", 6),
    ("deliver", "a", 7),
]
REPLACED: list[Step] = [
    ("deliver", "c", 8),
    ("unsynced", "a", 9),
    ("power", "a", 0),
    ("stand", "b", 0),
    ("deliver", "a", 12),
    ("deliver", "b", 14),
]


@pytest.mark.parametrize("start", list(INITIAL_STATES))
def test_the_invariants_hold_in_all_states_to_a_small_depth(start: str) -> None:
    explored = explore(INITIAL_STATES[start], 3)
    assert (explored.found, explored.whole) == ("", True)
    assert explored.states > 100


def test_a_wiped_voter_that_keeps_its_name_breaks_election_safety() -> None:
    play = Execution(INITIAL_STATES["fresh"], same_identity)
    for step in TWO_LEADERS[:-1]:
        play.take(step)
    with pytest.raises(InvariantError, match="two leaders in term 1"):
        play.take(TWO_LEADERS[-1])
    play = Execution(INITIAL_STATES["fresh"], stranger)
    for step in TWO_LEADERS[:4]:
        play.take(step)
    assert ("stand", "a", 0) not in play.steps()


def test_committing_an_entry_of_an_older_term_by_counting_replicas_breaks_leader_completeness() -> None:
    with mutated("older-term"):
        play = Execution(INITIAL_STATES["older"], stranger)
        for step in REPLACED[:-1]:
            play.take(step)
        with pytest.raises(InvariantError, match="without the entry that was committed"):
            play.take(REPLACED[-1])
    play = Execution(INITIAL_STATES["older"], stranger)
    for step in REPLACED[:2]:
        play.take(step)
    assert play.members["a"].raft.commit_index == 0


@pytest.mark.parametrize("name", list(MEMBERSHIP_STATES))
def test_membership_changes_keep_the_invariants(name: str) -> None:
    start, depth = MEMBERSHIP_STATES[name]
    explored = explore(start, depth)
    assert (explored.found, explored.whole) == ("", True)
    assert explored.states > 800


@pytest.mark.parametrize(
    ("mutation", "name", "message"),
    [
        ("learner-votes", "learner", "leads without the entry that was committed"),
        ("removed-counts", "removed", "two leaders in term"),
        ("removal-before-copy", "leaving", "is taken away and leaves 1 copies"),
        ("two-at-once", "changes", "can be disjoint"),
        ("snapshot-old-members", "snapshots", "members that were not the newest"),
    ],
)
def test_a_mutation_of_membership_changes_breaks_an_invariant(mutation: str, name: str, message: str) -> None:
    with mutated(mutation):
        assert message in explore(*MEMBERSHIP_STATES[name]).found
