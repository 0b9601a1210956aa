"""Tests of voter selection: the decision over random memberships, and deployments that lose nodes."""

import random
from dataclasses import replace
from functools import partial
from itertools import combinations

import pytest

from amberlug.cluster.consensus.raft import Role
from amberlug.cluster.consensus.voter_selection import (
    MAX_VOTERS,
    MIN_VOTERS,
    REMOVAL_TIMEOUT_S,
    ChangeKind,
    MemberStatus,
    loss_margin,
    next_change,
)
from amberlug.cluster.settings import Tolerance
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.machine import BOUNDS, Machine
from amberlug.cluster.simulation.mutations import mutated

pytestmark = pytest.mark.usefixtures("suppressed_logs")

A_MACHINE, A_ZONE, A_REGION = Tolerance(1, 0, 0), Tolerance(1, 1, 0), Tolerance(1, 1, 1)


def make_all_changes(members: list[MemberStatus], tolerance: Tolerance, leader: str) -> list[MemberStatus]:
    """Apply changes until there are none left; each must leave a live majority."""
    by_name = {member.name: member for member in members}

    def voters() -> list[MemberStatus]:
        return [member for member in by_name.values() if member.is_voter]

    for _ in range(30):
        change = next_change(by_name.values(), tolerance, leader)
        if change is None:
            return list(by_name.values())
        assert change.name != leader, "the leader must remain a voter"
        margin_before, has_too_few_voters = loss_margin(voters(), tolerance), len(voters()) < MIN_VOTERS
        if change.kind is ChangeKind.REMOVE:
            assert not by_name.pop(change.name).is_voter
        else:
            is_voter = change.kind is ChangeKind.PROMOTE
            assert by_name[change.name].is_voter is not is_voter
            by_name[change.name] = replace(by_name[change.name], is_voter=is_voter)
        working = sum(voter.is_alive and voter.is_caught_up for voter in voters())
        assert 2 * working > len(voters())
        margin = loss_margin(voters(), tolerance)
        assert has_too_few_voters or margin >= min(0, margin_before), "a further loss stops the group"
    raise AssertionError("the changes do not terminate")


def random_members(seed: int) -> tuple[list[MemberStatus], Tolerance, str]:
    """Random voters, a minority of them unresponsive, learners, tolerated losses and the leader."""
    rng = random.Random(seed)
    zone_count = rng.randrange(1, 6)
    domains = [(f"z{zone}", f"r{zone % rng.choice((1, 2, 3))}") for zone in range(zone_count)]
    voter_count = rng.choice((1, 3, 3, 3, 5))
    members = [MemberStatus(f"v{number}", True, *rng.choice(domains)) for number in range(voter_count)]
    for number in rng.sample(range(1, voter_count), rng.randrange(0, voter_count // 2 + 1)):
        members[number] = replace(members[number], unresponsive_s=9.0, is_superseded=rng.random() < 0.3)
    for number in range(rng.randrange(0, 6)):
        learner = MemberStatus(f"l{number}", False, *rng.choice(domains))
        members.append(replace(learner, is_caught_up=rng.random() < 0.8, is_superseded=rng.random() < 0.1))
    tolerance = rng.choice((Tolerance(1, 0, 0), A_ZONE, A_REGION, Tolerance(2, 1, 0), Tolerance(2, 0, 0)))
    return members, tolerance, "v0"


def falls_short(seed: int) -> bool:
    """Whether the final voters are worse than the best choice of 3, 5 or 7 candidates, or too many."""
    members, tolerance, leader_name = random_members(seed)
    changed = make_all_changes(members, tolerance, leader_name)
    candidates = [
        member for member in members if (member.is_alive if member.is_voter else member.is_eligible)
    ]
    choices = [choice for count in (3, 5, 7) for choice in combinations(candidates, count)]
    best_margin = max((min(0, loss_margin(choice, tolerance)) for choice in choices), default=-9)
    voters = [member for member in changed if member.is_voter]
    return loss_margin(voters, tolerance) < best_margin or len(voters) > MAX_VOTERS


def test_membership_changes_converge_to_the_best_voters_and_none_lowers_the_loss_margin() -> None:
    assert [seed for seed in range(600) if falls_short(seed)] == []
    with mutated("voters-in-one-zone"):
        assert any(falls_short(seed) for seed in range(100))


def test_an_unresponsive_learner_is_removed_and_a_lagging_one_is_not_promoted() -> None:
    voters = [MemberStatus(name, True) for name in "abc"]
    unresponsive = MemberStatus("d", False, unresponsive_s=REMOVAL_TIMEOUT_S + 1)
    changed = make_all_changes([*voters, unresponsive], Tolerance(), "a")
    assert [member.name for member in changed] == ["a", "b", "c"]
    lost = replace(voters[2], unresponsive_s=9.0)
    lagging = MemberStatus("d", False, is_caught_up=False)
    assert next_change([*voters[:2], lost, lagging], Tolerance(), "a") is None


# -- complete deployments


def start_deployment(seed: int, zones: int, cores: int, tolerance: Tolerance = A_MACHINE) -> Deployment:
    """Start a deployment of control-plane nodes and wait until they have elected a leader."""
    deployment = Deployment(seed, zones, 0, 0, cores, [], 1.0)
    deployment.tolerance = tolerance
    for machine in deployment.cores:
        machine.start()
    deployment.clock.run(4.0)
    return deployment


def leader(deployment: Deployment) -> Machine | None:
    """The node whose leadership a majority confirms."""
    confirmed: list[Machine] = []

    def on_confirmed(machine: Machine, index: int | None) -> None:
        if index is not None:
            confirmed.append(machine)

    for machine in deployment.cores:
        if machine.up and machine.incarnation is not None:
            machine.incarnation.do(partial(machine.part.raft.confirm_read, partial(on_confirmed, machine)))
    deployment.clock.run(deployment.clock.now + 0.2)
    return confirmed[0] if confirmed else None


def voting_nodes(deployment: Deployment) -> list[Machine]:
    """The nodes that are voters according to the leader."""
    leading = leader(deployment)
    assert leading is not None, "there is no leader"
    members = leading.part.raft.members
    addresses = [member.address for member in members.values() if member.is_voter]
    assert len(set(addresses)) == len(addresses)
    return [machine for machine in deployment.cores if machine.address in addresses]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_zone_has_half_of_the_voters_where_a_zone_may_be_lost(seed: int) -> None:
    deployment = start_deployment(seed, 3, 6, A_ZONE)
    # The founders are in three zones; once one of them is lost, its zone has one other node.
    lost = next(machine for machine in deployment.cores[:3] if machine is not leader(deployment))
    lost.power_off()
    deployment.clock.run(deployment.clock.now + 4.0)
    assert sorted(machine.zone for machine in voting_nodes(deployment)) == ["z0", "z1", "z2"]
    for zone in deployment.zones:
        for machine in deployment.cores:
            if machine.zone == zone:
                machine.power_off()
        deployment.clock.run(deployment.clock.now + 3.0)
        assert leader(deployment) is not None
        for machine in deployment.cores:
            if machine is not lost:
                machine.start()
        deployment.clock.run(deployment.clock.now + BOUNDS["catchUpS"])


def zones_of_voters() -> list[str]:
    """The final zones of the voters if all founders are in one zone and two more nodes in other zones."""
    deployment = Deployment(1, 3, 0, 0, 5, [], 1.0)
    deployment.tolerance = A_ZONE
    for machine, zone in zip(deployment.cores, ("z0", "z0", "z0", "z1", "z2"), strict=True):
        machine.zone = zone
        machine.start()
    deployment.clock.run(4.0)
    return sorted(machine.zone for machine in voting_nodes(deployment))


def test_voters_are_spread_over_zones_where_all_founders_are_in_one() -> None:
    assert zones_of_voters() == ["z0", "z1", "z2"]
    with mutated("voters-in-one-zone"):
        assert zones_of_voters() == ["z0", "z0", "z0"]


@pytest.mark.parametrize("cores", [3, 4, 5])
@pytest.mark.parametrize("replacement", ["another node", "an empty disk"])
@pytest.mark.parametrize("is_leader_lost", [True, False])
def test_a_majority_survives_a_second_loss_once_the_first_is_replaced(
    cores: int, replacement: str, is_leader_lost: bool
) -> None:
    for second in range(cores):  # position of the second node to be lost; the last one is the replacement
        deployment = start_deployment(cores * 10 + second, 3, cores)
        clock, leading = deployment.clock, leader(deployment)
        lost = next(machine for machine in voting_nodes(deployment) if (machine is leading) is is_leader_lost)
        lost.power_off()
        if replacement == "another node":
            deployment.remove(lost)
        else:
            lost.wipe()
        clock.run(clock.now + 0.5)
        new = deployment.add("core", lost.zone) if replacement == "another node" else lost
        new.start()
        clock.run(clock.now + BOUNDS["catchUpS"] - 0.2)
        others = [machine for machine in deployment.cores if machine is not new]
        (others[second] if second < len(others) else new).power_off()
        clock.run(clock.now + BOUNDS["contactMs"] / 1000 - 1.0)
        assert leader(deployment) is not None, f"no leader after node {second} was lost second"


def test_a_stopping_leader_transfers_leadership_to_a_responsive_voter() -> None:
    deployment = start_deployment(5, 3, 3)
    leading = leader(deployment)
    assert leading is not None
    others = sorted(
        (machine for machine in deployment.cores if machine is not leading),
        key=lambda machine: str(machine.part.raft.member_id),
    )
    others[-1].power_off()
    deployment.clock.run(deployment.clock.now + 0.8)
    leading.term()
    deployment.clock.run(deployment.clock.now + 0.1)
    assert others[0].part.raft.role is not Role.FOLLOWER


def test_an_unresponsive_learner_is_removed_after_a_timeout_and_admitted_again() -> None:
    deployment = start_deployment(6, 4, 4)
    learner = next(machine for machine in deployment.cores if machine not in voting_nodes(deployment))
    member_id = learner.part.raft.member_id

    def is_member() -> bool:
        leading = leader(deployment)
        assert leading is not None
        return member_id in leading.part.raft.members

    learner.power_off()
    deployment.clock.run(deployment.clock.now + REMOVAL_TIMEOUT_S - 5.0)
    assert is_member()
    deployment.clock.run(deployment.clock.now + 10.0)
    assert not is_member()
    learner.start()
    deployment.clock.run(deployment.clock.now + 2.0)
    assert is_member()
    assert learner.part.raft.member_id == member_id
