"""Raft replication of large entries while members are restarted, slow, lossy or wiped."""

import random
from functools import partial
from typing import Any

import pytest

from amberlug.cluster.consensus.election import MIN_ELECTION_TIMEOUT_S
from amberlug.cluster.consensus.log import SNAPSHOT_BYTES, TAIL_BYTES
from amberlug.cluster.interfaces import RawMessage
from tests.cluster.group import SLOW_LINK_BYTES_PER_S, GroupMember, RaftGroup

pytestmark = pytest.mark.usefixtures("suppressed_logs")


def follower(group: RaftGroup) -> GroupMember:
    return next(member for member in group.members.values() if member is not group.leader)


@pytest.mark.parametrize(("count", "size"), [(90, 198_000), (40, 1_000_000)])
@pytest.mark.parametrize("wiped", [False, True])
def test_a_member_that_was_down_catches_up(count: int, size: int, wiped: bool) -> None:
    group = RaftGroup()
    restarted, leader = follower(group), group.leader
    restarted.stop()
    for number in range(count):
        group.submit(number, size)
        group.run(0.1)
    assert len(group.committed) == count
    if wiped:
        restarted.wipe()
    restarted.start()
    if wiped:
        group.admit(restarted)
    group.run(5.0)
    assert (group.lagging, group.failed_assertions, group.net.too_long) == ([], [], 0)
    assert restarted.state_machine.state["numbers"] == list(range(count))
    assert restarted.raft.is_voter
    assert group.leader is leader
    assert max(group.latencies_s) < 1.0
    assert all(
        sum(member.raft.log.sizes_bytes) < SNAPSHOT_BYTES + TAIL_BYTES + size
        for member in group.members.values()
    )


def test_a_slow_member_stays_a_follower_while_it_receives_large_entries() -> None:
    group = RaftGroup()
    slow, leader = follower(group), group.leader
    slow.rate, slow.loss = SLOW_LINK_BYTES_PER_S, 0.01
    longest_without_leader_s = 0.0
    for step in range(210):
        if step < 60 and step % 5 == 0:
            group.submit(step, 4_000_000)
        group.run(0.1)
        longest_without_leader_s = max(
            longest_without_leader_s, group.clock.now - slow.raft.leader_contact_at
        )
    assert (group.lagging, group.failed_assertions, group.net.too_long) == ([], [], 0)
    assert group.leader is leader
    assert leader is not None
    assert (leader.raft.election.started_count, slow.raft.election.started_count) == (1, 0)
    assert longest_without_leader_s < MIN_ELECTION_TIMEOUT_S
    assert max(group.latencies_s) < 1.0


def test_a_snapshot_transfer_resumes_after_lost_connections() -> None:
    group = RaftGroup()
    restarted = follower(group)
    restarted.stop()
    restarted.wipe()
    for number in range(2):
        group.submit(number, 4_000_000)
        group.run(0.5)
    restarted.rate = SLOW_LINK_BYTES_PER_S
    restarted.start()
    group.admit(restarted)
    for at in range(1, 20):  # 4 MB take 2.1 s, so a transfer that restarts from the beginning never completes
        group.clock.call_later(0.4 * at, partial(group.net.reset, restarted))
    group.run(6.0)
    assert (group.lagging, group.failed_assertions, restarted.raft.log.snapshot_index) == ([], [], 3)
    assert restarted.state_machine.state["numbers"] == [0, 1]


def test_an_error_for_one_peer_affects_no_other() -> None:
    group = RaftGroup()
    leader, failing = group.leader, follower(group)
    assert leader is not None
    runtime: Any = leader.raft.runtime
    send_request = runtime.request

    def fail(to: str, *rest: Any, **more: Any) -> None:
        if to == failing.address:
            raise ValueError("no frame")
        send_request(to, *rest, **more)

    runtime.request = fail
    for number in range(10):
        group.submit(number, 1000)
        group.run(0.3)
    assert leader.raft.replication.send_failures > 10
    assert (group.leader, group.committed) == (leader, list(range(10)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_restarted_member_leads_with_all_500_changes(seed: int) -> None:
    group, rng = RaftGroup(seed), random.Random(seed)
    for number in range(500):
        group.submit(number, int(10 ** rng.uniform(3, 6)))
        group.run(0.1)
        if number % 15 == 10 and group.tolerates_a_loss:
            inject_fault(group, rng)
    group.run(8.0)
    assert len(group.committed) == 500
    assert (group.lagging, group.failed_assertions, group.net.too_long) == ([], [], 0)
    for member in group.members.values():
        assert sum(member.raft.log.sizes_bytes) < SNAPSHOT_BYTES + TAIL_BYTES + 1_100_000
        assert member.state_machine.state == group.members["a"].state_machine.state
    for name in ("a", "b", "c"):  # each one becomes leader right after a restart, with all committed entries
        member = group.members[name]
        member.stop()
        group.run(2.0)
        member.start()
        group.run(2.0)
        if group.leader is not member:
            assert group.leader is not None
            group.leader.raft.transfer_leadership = lambda: None  # type: ignore[method-assign]
            group.leader.raft.runtime.send(
                member.name,
                RawMessage("vise.now", {"term": member.raft.term, "to": member.raft.member_id}),
            )
            group.run(2.0)
        assert group.leader is member
        group.submit(1000 + ord(name), 1000)
        group.run(1.0)
        assert set(member.state_machine.state["numbers"]) >= set(range(500))
        assert group.lagging == []


def test_a_snapshot_contains_the_newest_membership() -> None:
    group = RaftGroup()
    restarted = follower(group)
    restarted.stop()
    restarted.wipe()
    restarted.start()
    group.admit(restarted)
    group.run(3.0)
    members = restarted.raft.members
    assert restarted.raft.member_id in members
    for number in range(6):
        group.submit(number, 1_000_000)
        group.run(0.3)
    assert all(
        member.raft.log.snapshot_index > member.raft.membership.index - 1 > 0
        for member in group.members.values()
    )
    for member in group.members.values():
        member.stop()
    for member in group.members.values():
        member.start()
    group.run(3.0)
    assert [member.raft.members for member in group.members.values()] == [members] * 3
    assert group.leader is not None


def test_acknowledged_changes_survive_a_loss_of_all() -> None:
    group = RaftGroup()
    for number in range(20):
        group.submit(number, 100_000)
        group.run(0.2)
    assert group.committed == list(range(20))
    for member in group.members.values():
        member.stop()
    for member in group.members.values():
        member.start()
    group.run(3.0)
    for member in group.members.values():
        assert member.state_machine.state["numbers"] == list(range(20))


def inject_fault(group: RaftGroup, rng: random.Random) -> None:
    """Inject a temporary fault into one member.

    The member is restarted, wiped, slow, cut off or has its connections reset, or its disk stalls or is full.
    """
    member = group.members[rng.choice("abc")]
    seconds = rng.uniform(0.3, 2.0)
    fault = rng.choice(("down", "slow", "wiped", "cut", "reset", "stalled", "full"))
    later = partial(group.clock.call_later, seconds)
    if fault == "slow":
        member.rate, member.loss = SLOW_LINK_BYTES_PER_S, 0.02
        later(lambda: vars(member).update(rate=0.0, loss=0.0))
    elif fault == "cut":
        others = [name for name in "abc" if name != member.name]
        pairs = {(name, member.name) for name in others} | {(member.name, name) for name in others}
        pairs = {pair for pair in pairs if rng.random() < 0.8}
        group.net.cut(pairs)
        later(partial(group.net.heal, pairs))
    elif fault == "reset":
        member.rate = SLOW_LINK_BYTES_PER_S
        for at in range(10):
            group.clock.call_later(at * 0.15, partial(group.net.reset, member))
        later(lambda: vars(member).update(rate=0.0))
    elif fault == "stalled":
        member.disk.stalled_until = group.clock.now + seconds
    elif fault == "full":
        member.disk.full = True
        later(lambda: vars(member.disk).update(full=False))
    else:
        member.stop()
        if fault == "wiped":
            member.wipe()
        later(member.start)
        if fault == "wiped":
            later(partial(group.admit, member))
