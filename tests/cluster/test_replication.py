"""Replication under large changes: members away, slow, lossy and emptied meanwhile."""

import random
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from absl import logging

from amberlug.cluster.consensus.election import MIN_ELECTION_TIMEOUT_S
from amberlug.cluster.consensus.log import SNAPSHOT_BYTES, TAIL_BYTES
from tests.cluster.group import SLOW, Group, SessionClient


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Members' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


def follower(group: Group) -> SessionClient:
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
    assert away.replica.state["numbers"] == list(range(count))
    assert away.raft.is_voter
    assert group.leader is leader
    assert max(group.seconds) < 1.0
    assert all(
        sum(it.raft.log.sizes_bytes) < SNAPSHOT_BYTES + TAIL_BYTES + size for it in group.members.values()
    )


def test_a_slow_member_stays_a_follower_while_it_is_sent_what_is_large() -> None:
    group = Group()
    slow, leader = follower(group), group.leader
    slow.rate, slow.loss = SLOW, 0.01
    silent = 0.0
    for step in range(210):
        if step < 60 and step % 5 == 0:
            group.change(step, 4_000_000)
        group.run(0.1)
        silent = max(silent, group.clock.now - slow.raft.leader_contact_at)
    assert (group.behind, group.faults, group.net.too_long) == ([], [], 0)
    assert group.leader is leader
    assert leader is not None
    assert (leader.raft.election.started_count, slow.raft.election.started_count) == (1, 0)
    assert silent < MIN_ELECTION_TIMEOUT_S
    assert max(group.seconds) < 1.0


def test_a_snapshot_goes_on_where_it_stood_when_connections_end() -> None:
    group = Group()
    away = follower(group)
    away.stop()
    away.wipe()
    for number in range(2):
        group.change(number, 4_000_000)
        group.run(0.5)
    away.rate = SLOW
    away.start()
    group.let_in(away)
    for at in range(1, 20):  # 4 MB take 2.1 s; a snapshot from its beginning each time would never come whole
        group.clock.call_later(0.4 * at, partial(group.net.reset, away))
    group.run(6.0)
    assert (group.behind, group.faults, away.raft.log.snapshot_index) == ([], [], 3)
    assert away.replica.state["numbers"] == [0, 1]


def test_an_error_for_one_peer_touches_no_other() -> None:
    group = Group()
    leader, poor = group.leader, follower(group)
    assert leader is not None
    world: Any = leader.raft.runtime
    ask = world.request

    def fail(to: str, *rest: Any, **more: Any) -> None:
        if to == poor.address:
            raise ValueError("no frame")
        ask(to, *rest, **more)

    world.request = fail
    for number in range(10):
        group.change(number, 1000)
        group.run(0.3)
    assert leader.raft.replication.send_failures > 10
    assert (group.leader, group.taken) == (leader, list(range(10)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_who_was_restarted_leads_with_all_of_500_changes(seed: int) -> None:
    group, chance = Group(seed), random.Random(seed)
    for number in range(500):
        group.change(number, int(10 ** chance.uniform(3, 6)))
        group.run(0.1)
        if number % 15 == 10 and group.whole:
            trouble(group, chance)
    group.run(8.0)
    assert len(group.taken) == 500
    assert (group.behind, group.faults, group.net.too_long) == ([], [], 0)
    for member in group.members.values():
        assert sum(member.raft.log.sizes_bytes) < SNAPSHOT_BYTES + TAIL_BYTES + 1_100_000
        assert member.replica.state == group.members["a"].replica.state
    for name in ("a", "b", "c"):  # each leads, right after a restart of its own, with all that was taken
        member = group.members[name]
        member.stop()
        group.run(2.0)
        member.start()
        group.run(2.0)
        if group.leader is not member:
            assert group.leader is not None
            group.leader.raft.transfer_leadership = lambda: None  # type: ignore[method-assign]
            group.leader.raft.runtime.send(
                member.name, "vise.now", {"term": member.raft.term, "to": member.raft.member_id}
            )
            group.run(2.0)
        assert group.leader is member
        group.change(1000 + ord(name), 1000)
        group.run(1.0)
        assert set(member.replica.state["numbers"]) >= set(range(500))
        assert group.behind == []


def test_a_snapshot_holds_the_newest_membership() -> None:
    group = Group()
    away = follower(group)
    away.stop()
    away.wipe()
    away.start()
    group.let_in(away)
    group.run(3.0)
    members = away.raft.members
    assert away.raft.member_id in members
    for number in range(6):
        group.change(number, 1_000_000)
        group.run(0.3)
    assert all(it.raft.log.snapshot_index > it.raft.membership.index - 1 > 0 for it in group.members.values())
    for member in group.members.values():
        member.stop()
    for member in group.members.values():
        member.start()
    group.run(3.0)
    assert [it.raft.members for it in group.members.values()] == [members] * 3
    assert group.leader is not None


def test_what_was_acknowledged_outlasts_a_loss_of_all() -> None:
    group = Group()
    for number in range(20):
        group.change(number, 100_000)
        group.run(0.2)
    assert group.taken == list(range(20))
    for member in group.members.values():
        member.stop()
    for member in group.members.values():
        member.start()
    group.run(3.0)
    for member in group.members.values():
        assert member.replica.state["numbers"] == list(range(20))


def trouble(group: Group, chance: random.Random) -> None:
    """For a while one member is away, slow, emptied, cut off or reset, or its disk stalls or is full."""
    member = group.members[chance.choice("abc")]
    seconds = chance.uniform(0.3, 2.0)
    what = chance.choice(("away", "slow", "emptied", "cut", "reset", "stalled", "full"))
    later = partial(group.clock.call_later, seconds)
    if what == "slow":
        member.rate, member.loss = SLOW, 0.02
        later(lambda: vars(member).update(rate=0.0, loss=0.0))
    elif what == "cut":
        others = [it for it in "abc" if it != member.name]
        pairs = {(it, member.name) for it in others} | {(member.name, it) for it in others}
        pairs = {it for it in pairs if chance.random() < 0.8}
        group.net.cut(pairs)
        later(partial(group.net.join, pairs))
    elif what == "reset":
        member.rate = SLOW
        for at in range(10):
            group.clock.call_later(at * 0.15, partial(group.net.reset, member))
        later(lambda: vars(member).update(rate=0.0))
    elif what == "stalled":
        member.raft_storage.stalled_until = group.clock.now + seconds
    elif what == "full":
        member.raft_storage.full = True
        later(lambda: vars(member.raft_storage).update(full=False))
    else:
        member.stop()
        if what == "emptied":
            member.wipe()
        later(member.start)
        if what == "emptied":
            later(partial(group.let_in, member))
