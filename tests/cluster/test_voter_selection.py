"""Which members vote: the decision alone over random memberships, and deployments that lose machines."""

import random
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from itertools import combinations

import pytest
from absl import logging

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

A_MACHINE, A_ZONE, A_REGION = Tolerance(1, 0, 0), Tolerance(1, 1, 0), Tolerance(1, 1, 1)


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Keep the logs of the machines out of the output."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


def make_all_changes(members: list[MemberStatus], tolerance: Tolerance, leader: str) -> list[MemberStatus]:
    """Take all steps, each of which must leave a majority that lives, and end."""
    by_name = {it.name: it for it in members}

    def voters() -> list[MemberStatus]:
        return [it for it in by_name.values() if it.is_voter]

    for _ in range(30):
        change = next_change(by_name.values(), tolerance, leader)
        if change is None:
            return list(by_name.values())
        assert change.name != leader, "the leader keeps its vote"
        before, few = loss_margin(voters(), tolerance), len(voters()) < MIN_VOTERS
        if change.kind is ChangeKind.REMOVE:
            assert not by_name.pop(change.name).is_voter
        else:
            is_voter = change.kind is ChangeKind.PROMOTE
            assert by_name[change.name].is_voter is not is_voter
            by_name[change.name] = replace(by_name[change.name], is_voter=is_voter)
        assert 2 * sum(it.is_alive and it.is_caught_up for it in voters()) > len(voters())
        assert few or loss_margin(voters(), tolerance) >= min(0, before), "a further loss would stop it"
    raise AssertionError("the steps have no end")


def random_members(seed: int) -> tuple[list[MemberStatus], Tolerance, str]:
    """Some members, a minority of the voters unresponsive; the best voters have all places to choose from."""
    rng = random.Random(seed)
    zones = rng.randrange(1, 6)
    places = [(f"z{at}", f"r{at % rng.choice((1, 2, 3))}") for at in range(zones)]
    count = rng.choice((1, 3, 3, 3, 5))
    members = [MemberStatus(f"v{at}", True, *rng.choice(places)) for at in range(count)]
    for at in rng.sample(range(1, count), rng.randrange(0, count // 2 + 1)):
        members[at] = replace(members[at], unresponsive_s=9.0, is_superseded=rng.random() < 0.3)
    for at in range(rng.randrange(0, 6)):
        member = MemberStatus(f"l{at}", False, *rng.choice(places))
        members.append(replace(member, is_caught_up=rng.random() < 0.8, is_superseded=rng.random() < 0.1))
    tolerance = rng.choice((Tolerance(1, 0, 0), A_ZONE, A_REGION, Tolerance(2, 1, 0), Tolerance(2, 0, 0)))
    return members, tolerance, "v0"


def falls_short(seed: int) -> bool:
    """Whether the steps end with voters that are not the best there are."""
    members, tolerance, me = random_members(seed)
    after = make_all_changes(members, tolerance, me)
    able = [it for it in members if (it.is_alive if it.is_voter else it.is_eligible)]
    odd = [it for count in (3, 5, 7) for it in combinations(able, count)]
    most = max((min(0, loss_margin(it, tolerance)) for it in odd), default=-9)
    voters = [it for it in after if it.is_voter]
    return loss_margin(voters, tolerance) < most or len(voters) > MAX_VOTERS


def test_changes_end_with_the_best_voters_and_none_is_worse_than_the_start() -> None:
    assert [it for it in range(600) if falls_short(it)] == []
    with mutated("voters-in-one-zone"):
        assert any(falls_short(it) for it in range(100))


def test_an_unresponsive_learner_is_removed_and_a_lagging_one_is_not_promoted() -> None:
    voters = [MemberStatus(it, True) for it in "abc"]
    unresponsive = MemberStatus("d", False, unresponsive_s=REMOVAL_TIMEOUT_S + 1)
    assert [it.name for it in make_all_changes([*voters, unresponsive], Tolerance(), "a")] == ["a", "b", "c"]
    lost = replace(voters[2], unresponsive_s=9.0)
    assert (
        next_change([*voters[:2], lost, MemberStatus("d", False, is_caught_up=False)], Tolerance(), "a")
        is None
    )


# -- in whole deployments


def begun(seed: int, zones: int, cores: int, tolerance: Tolerance = A_MACHINE) -> Deployment:
    """Core machines that have found each other."""
    deployment = Deployment(seed, zones, 0, 0, cores, [], 1.0)
    deployment.tolerance = tolerance
    for machine in deployment.cores:
        machine.start()
    deployment.clock.run(4.0)
    return deployment


def leader(deployment: Deployment) -> Machine | None:
    """Who leads and has just heard from a majority."""
    confirmed: list[Machine] = []

    def on_confirmed(machine: Machine, index: int | None) -> None:
        if index is not None:
            confirmed.append(machine)

    for machine in deployment.cores:
        if machine.up and machine.life is not None:
            machine.life.do(partial(machine.part.raft.confirm_read, partial(on_confirmed, machine)))
    deployment.clock.run(deployment.clock.now + 0.2)
    return confirmed[0] if confirmed else None


def voting(deployment: Deployment) -> list[Machine]:
    first = leader(deployment)
    assert first is not None, "nobody leads"
    members = first.part.raft.members
    addresses = [it["addr"] for it in members.values() if it["voter"]]
    assert len(set(addresses)) == len(addresses)
    return [it for it in deployment.cores if it.address in addresses]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_zone_has_half_of_the_voters_where_a_zone_may_be_lost(seed: int) -> None:
    deployment = begun(seed, 3, 6, A_ZONE)
    # The founders stand in three zones; with one of them gone, only its own zone has another.
    machine = next(it for it in deployment.cores[:3] if it is not leader(deployment))
    machine.power_off()
    deployment.clock.run(deployment.clock.now + 4.0)
    assert sorted(it.zone for it in voting(deployment)) == ["z0", "z1", "z2"]
    for zone in deployment.zones:
        for it in deployment.cores:
            if it.zone == zone:
                it.power_off()
        deployment.clock.run(deployment.clock.now + 3.0)
        assert leader(deployment) is not None
        for it in deployment.cores:
            if it is not machine:
                it.start()
        deployment.clock.run(deployment.clock.now + BOUNDS["catchUpS"])


def zones_of_voters() -> list[str]:
    """Founders that all stand in one zone, and two others elsewhere: where the voters stand in the end."""
    deployment = Deployment(1, 3, 0, 0, 5, [], 1.0)
    deployment.tolerance = A_ZONE
    for machine, zone in zip(deployment.cores, ("z0", "z0", "z0", "z1", "z2"), strict=True):
        machine.zone = zone
        machine.start()
    deployment.clock.run(4.0)
    return sorted(it.zone for it in voting(deployment))


def test_founders_of_one_zone_are_replaced_as_voters() -> None:
    assert zones_of_voters() == ["z0", "z1", "z2"]
    with mutated("voters-in-one-zone"):
        assert zones_of_voters() == ["z0", "z0", "z0"]


@pytest.mark.parametrize("cores", [3, 4, 5])
@pytest.mark.parametrize("what", ["replaced", "emptied"])
@pytest.mark.parametrize("leads", [True, False])
def test_a_second_loss_after_the_first_is_replaced_leaves_a_majority(
    cores: int, what: str, leads: bool
) -> None:
    for other in range(cores):  # the second that is lost
        deployment = begun(cores * 10 + other, 3, cores)
        clock, first = deployment.clock, leader(deployment)
        lost = next(it for it in voting(deployment) if (it is first) is leads)
        lost.power_off()
        if what == "replaced":
            deployment.remove(lost)
        else:
            lost.wipe()
        clock.run(clock.now + 0.5)
        machine = deployment.add("core", lost.zone) if what == "replaced" else lost
        machine.start()
        clock.run(clock.now + BOUNDS["catchUpS"] - 0.2)
        rest = [it for it in deployment.cores if it is not machine]
        (rest[other] if other < len(rest) else machine).power_off()
        clock.run(clock.now + BOUNDS["contactMs"] / 1000 - 1.0)
        assert leader(deployment) is not None, f"{other} was lost second"


def test_a_leader_that_ends_transfers_leadership_to_a_responsive_voter() -> None:
    deployment = begun(5, 3, 3)
    first = leader(deployment)
    assert first is not None
    others = sorted(
        (it for it in deployment.cores if it is not first), key=lambda it: str(it.part.raft.member_id)
    )
    others[-1].power_off()
    deployment.clock.run(deployment.clock.now + 0.8)
    first.term()
    deployment.clock.run(deployment.clock.now + 0.1)
    assert others[0].part.raft.role is not Role.FOLLOWER


def test_a_learner_that_is_unresponsive_for_long_is_removed_and_admitted_again() -> None:
    deployment = begun(6, 4, 4)
    machine = next(it for it in deployment.cores if it not in voting(deployment))
    me = machine.part.raft.member_id

    def member() -> bool:
        first = leader(deployment)
        assert first is not None
        return me in first.part.raft.members

    machine.power_off()
    deployment.clock.run(deployment.clock.now + REMOVAL_TIMEOUT_S - 5.0)
    assert member()
    deployment.clock.run(deployment.clock.now + 10.0)
    assert not member()
    machine.start()
    deployment.clock.run(deployment.clock.now + 2.0)
    assert member()
    assert machine.part.raft.member_id == me
