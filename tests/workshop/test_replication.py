"""Replication under large changes: members away, slow, lossy and emptied meanwhile."""

from collections.abc import Iterator

import pytest
from absl import logging

from tests.workshop.group import SLOW, Group, Member


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Members' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


def follower(group: Group) -> Member:
    return next(it for it in group.members.values() if it is not group.leader)


@pytest.mark.parametrize(("count", "size"), [(90, 198_000), (40, 1_000_000)])
@pytest.mark.parametrize("emptied", [False, True])
def test_a_member_that_was_away_catches_up(count: int, size: int, emptied: bool) -> None:
    group = Group()
    away, leader = follower(group), group.leader
    away.stop()
    for number in range(count):
        group.change(number, size)
        group.run(0.1)
    assert len(group.taken) == count
    if emptied:
        away.wipe()
    away.start()
    if emptied:
        group.let_in(away)
    group.run(5.0)
    assert (group.behind, group.faults, group.net.too_long) == ([], [], 0)
    assert away.replica.state["count"] == count
    assert away.vise.voting
    assert group.leader is leader
    assert max(group.seconds) < 1.0


def test_a_slow_member_stays_a_follower_while_it_is_sent_what_is_large() -> None:
    group = Group()
    slow, leader = follower(group), group.leader
    slow.rate, slow.loss = SLOW, 0.01
    for number in range(12):
        group.change(number, 4_000_000)
        group.run(0.5)
    group.run(15.0)
    assert (group.behind, group.faults, group.net.too_long) == ([], [], 0)
    assert group.leader is leader
    assert leader is not None
    assert leader.vise.elections == 1
    assert max(group.seconds) < 1.0
