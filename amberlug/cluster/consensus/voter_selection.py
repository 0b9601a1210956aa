"""Which members vote: chosen so that the losses to be tolerated leave a majority. No I/O.

Changes are made one at a time, each of one voter (dissertation, section 4.1).

Invariants: no change leads to a membership that a further tolerated loss would stop if the one before would
survive it; and none is made unless a majority of the voters after it is alive and has what is committed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from enum import Enum
from typing import NamedTuple

from amberlug.cluster.settings import Tolerance
from amberlug.cluster.values import value

MIN_VOTERS = 3  # where there are as many members: fewer tolerate no loss
MAX_VOTERS = 7  # more slow down each commit, and 7 survive 3 losses
VOTER_TIMEOUT_S = 1.5  # without a reply until a voter counts as lost: beyond an election timeout
# Without a reply until a learner is not made a voter: below VOTER_TIMEOUT_S, else it might count as lost at
# once.
LEARNER_TIMEOUT_S = 1.0
# Without a reply until a learner is removed: beyond a restart. One that comes back later is admitted again.
REMOVAL_TIMEOUT_S = 30.0


@value
class MemberStatus:
    """A member as the leader knows it."""

    name: str
    is_voter: bool
    zone: str = ""  # a failure domain; empty where it is not known: then it is one by itself
    region: str = ""
    is_caught_up: bool = True  # it has on disk what was committed a moment ago
    unresponsive_s: float = 0.0  # since it last replied to this leader
    is_superseded: bool = False  # another incarnation has come at its address
    is_leaving: bool = False  # its process is about to end

    @property
    def is_alive(self) -> bool:
        """Whether it counts as a voter that works."""
        return not self.is_superseded and not self.is_leaving and self.unresponsive_s <= VOTER_TIMEOUT_S

    @property
    def is_eligible(self) -> bool:
        """Whether it may be made a voter."""
        if self.is_superseded or self.is_leaving or not self.is_caught_up:
            return False
        return self.unresponsive_s < LEARNER_TIMEOUT_S

    @property
    def zone_key(self) -> str:
        """The zone; a member whose zone is not known is one by itself."""
        return self.zone or self.name

    @property
    def region_key(self) -> str:
        """The region; a member whose region is not known is in one with its zone."""
        return self.region or self.zone_key


class _Load(NamedTuple):
    """How many voters the failure domains of a member have already: the smaller, the better."""

    in_region: int  # 0 where no region may be lost
    in_zone: int


class ChangeKind(Enum):
    """What a change does to a member."""

    PROMOTE = "promote"  # a learner becomes a voter
    DEMOTE = "demote"  # a voter becomes a learner
    REMOVE = "remove"  # a learner is a member no more


@value
class MembershipChange:
    """One change of the membership."""

    name: str
    kind: ChangeKind
    reason: str  # for the log of the process


def loss_margin(voters: Iterable[MemberStatus], tolerance: Tolerance) -> int:
    """Live voters above a majority after the worst loss to be tolerated; below 0 it stops the group."""
    members = list(voters)
    alive = [member for member in members if member.is_alive]
    zones = Counter(member.zone_key for member in alive)
    regions = Counter(member.region_key for member in alive)
    lost = max(
        tolerance.machines,
        sum(count for _, count in zones.most_common(tolerance.zones)),
        sum(count for _, count in regions.most_common(tolerance.regions)),
    )
    return len(alive) - lost - (len(members) // 2 + 1)


def best_voters(members: Iterable[MemberStatus], tolerance: Tolerance, leader: str) -> list[MemberStatus]:
    """The best voters there are: as few as tolerate the losses, else those with the best margin.

    The leader is one of them. The number is odd where it can be: one more voter tolerates no more losses
    then.
    """
    candidates = sorted(
        (member for member in members if (member.is_alive if member.is_voter else member.is_eligible)),
        key=lambda member: (member.name != leader, not member.is_voter, member.name),
    )
    chosen: list[MemberStatus] = []  # grows by one a step
    best: list[MemberStatus] = []  # of the odd numbers until now
    zones: Counter[str] = Counter()
    regions: Counter[str] = Counter()

    def load(member: MemberStatus) -> _Load:
        in_region = regions[member.region_key] if tolerance.regions else 0
        return _Load(in_region, zones[member.zone_key])

    while candidates and len(chosen) < MAX_VOTERS:
        member = min(candidates, key=load)  # of equal loads the first candidate
        candidates.remove(member)
        chosen.append(member)
        zones[member.zone_key] += 1
        regions[member.region_key] += 1
        if len(chosen) < MIN_VOTERS or len(chosen) % 2 == 0:
            continue
        if not best or loss_margin(chosen, tolerance) > loss_margin(best, tolerance):
            best = list(chosen)
        if loss_margin(best, tolerance) >= 0:
            break
    return best or chosen


def next_change(
    members: Iterable[MemberStatus], tolerance: Tolerance, leader: str
) -> MembershipChange | None:
    """The next change that the leader is to make; None where all is well."""
    by_name = {member.name: member for member in members}
    voters = {name for name, member in by_name.items() if member.is_voter}
    wanted = {member.name for member in best_voters(by_name.values(), tolerance, leader)}
    if len(wanted) < MIN_VOTERS:
        wanted |= voters  # too few are left to do without any, also without those that do not respond
    change = _next_voter_change(by_name, voters, wanted, tolerance)
    return change or _next_removal(by_name, leader)


def _next_voter_change(
    by_name: Mapping[str, MemberStatus], voters: Set[str], wanted: Set[str], tolerance: Tolerance
) -> MembershipChange | None:
    """The best change of one voter on the way to the wanted ones."""

    def margin_of(names: Set[str]) -> int:
        return loss_margin((by_name[name] for name in names), tolerance)

    # What is above a tolerated loss is worth no change: margins count up to 0.
    current_margin = min(0, margin_of(voters))
    has_few = len(voters) < MIN_VOTERS
    if min(0, margin_of(wanted)) <= current_margin and len(wanted) >= len(voters) and not has_few:
        return None
    # Fewer voters than MIN_VOTERS tolerate nothing, so any further one may come.
    least_margin = -MAX_VOTERS if has_few else current_margin
    # Of equal margins the first one is taken: promotions go first, then voters that do not respond.
    promotions = sorted(wanted - voters)
    demotions = sorted(voters - wanted, key=lambda name: (by_name[name].is_alive, name))
    allowed = [
        name
        for name in promotions + demotions
        if _has_working_majority(voters ^ {name}, by_name) and margin_of(voters ^ {name}) >= least_margin
    ]
    if not allowed:
        return None
    name = max(allowed, key=lambda candidate: margin_of(voters ^ {candidate}))
    if name not in voters:
        return MembershipChange(name, ChangeKind.PROMOTE, "becomes a voter")
    reason = "is a voter no more" if by_name[name].is_alive else "does not respond: it is a voter no more"
    return MembershipChange(name, ChangeKind.DEMOTE, reason)


def _next_removal(by_name: Mapping[str, MemberStatus], leader: str) -> MembershipChange | None:
    """The first learner, in the order of the members, that will not come back."""
    for name, member in by_name.items():
        if member.is_voter or name == leader:
            continue
        if member.is_superseded:
            return MembershipChange(name, ChangeKind.REMOVE, "came back as another incarnation")
        if member.unresponsive_s > REMOVAL_TIMEOUT_S:
            return MembershipChange(name, ChangeKind.REMOVE, "does not respond: it is removed")
    return None


def _has_working_majority(voters: Set[str], by_name: Mapping[str, MemberStatus]) -> bool:
    """Whether a majority of these voters is alive and has what is committed."""
    working = sum(1 for name in voters if by_name[name].is_alive and by_name[name].is_caught_up)
    return 2 * working > len(voters)
