"""Selection of the voters, so that a majority survives the tolerated losses. No I/O.

Changes are made one at a time, each affecting one voter (dissertation, section 4.1).

Invariants: no change turns a membership that survives a further tolerated loss into one that does not; and a
change requires that a majority of the resulting voters is alive and has all committed entries.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from enum import Enum
from typing import NamedTuple

from amberlug.cluster.settings import Tolerance
from amberlug.cluster.values import value

MIN_VOTERS = 3  # if there are enough members: fewer voters tolerate no loss
MAX_VOTERS = 7  # more would slow down each commit, and 7 survive 3 losses
VOTER_TIMEOUT_S = 1.5  # without a reply, until a voter is considered lost; longer than an election timeout
# Without a reply, until a learner is no longer eligible as a voter; less than VOTER_TIMEOUT_S, since
# otherwise it might be considered lost immediately.
LEARNER_TIMEOUT_S = 1.0
# Without a reply, until a learner is removed; longer than a restart. A learner that returns later is admitted
# again.
REMOVAL_TIMEOUT_S = 30.0


@value
class MemberStatus:
    """The leader's view of a member."""

    name: str
    is_voter: bool
    zone: str = ""  # failure domain; a member with an unknown (empty) zone forms a zone of its own
    region: str = ""
    is_caught_up: bool = True  # whether it has on disk what was committed a moment ago
    unresponsive_s: float = 0.0  # since its last reply to this leader
    is_superseded: bool = False  # another incarnation has joined at its address
    is_leaving: bool = False  # its process is about to stop

    @property
    def is_alive(self) -> bool:
        """Whether it counts as a working voter."""
        return not self.is_superseded and not self.is_leaving and self.unresponsive_s <= VOTER_TIMEOUT_S

    @property
    def is_eligible(self) -> bool:
        """Whether it may become a voter."""
        if self.is_superseded or self.is_leaving or not self.is_caught_up:
            return False
        return self.unresponsive_s < LEARNER_TIMEOUT_S

    @property
    def zone_key(self) -> str:
        """The zone; a member with an unknown zone forms a zone of its own."""
        return self.zone or self.name

    @property
    def region_key(self) -> str:
        """The region; a member with an unknown region forms one with its zone."""
        return self.region or self.zone_key


class _Load(NamedTuple):
    """How many voters the failure domains of a member already have; smaller is better."""

    in_region: int  # 0 if no loss of a region is tolerated
    in_zone: int


class ChangeKind(Enum):
    """The kinds of membership changes."""

    PROMOTE = "promote"  # a learner becomes a voter
    DEMOTE = "demote"  # a voter becomes a learner
    REMOVE = "remove"  # a learner is removed from the group


@value
class MembershipChange:
    """A change of one member."""

    name: str
    kind: ChangeKind
    description: str  # for the process log


def loss_margin(voters: Iterable[MemberStatus], tolerance: Tolerance) -> int:
    """Return the live voters in excess of a majority after the worst tolerated loss; negative: no quorum."""
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
    """Choose the smallest set of voters that tolerates the losses, or else the one with the best margin.

    The leader is always included. The number is odd if possible: one more voter would not tolerate more
    losses.
    """
    candidates = sorted(
        (member for member in members if (member.is_alive if member.is_voter else member.is_eligible)),
        key=lambda member: (member.name != leader, not member.is_voter, member.name),
    )
    chosen: list[MemberStatus] = []  # grows by one member per step
    best: list[MemberStatus] = []  # among the odd numbers so far
    zones: Counter[str] = Counter()
    regions: Counter[str] = Counter()

    def load(member: MemberStatus) -> _Load:
        """Count the chosen voters in the member's region (0 if no region loss is tolerated) and zone."""
        in_region = regions[member.region_key] if tolerance.regions else 0
        return _Load(in_region, zones[member.zone_key])

    while candidates and len(chosen) < MAX_VOTERS:
        member = min(candidates, key=load)  # the first candidate among equal loads
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
    """Return the next change that the leader should make; None if no change is needed."""
    by_name = {member.name: member for member in members}
    voters = {name for name, member in by_name.items() if member.is_voter}
    wanted = {member.name for member in best_voters(by_name.values(), tolerance, leader)}
    if len(wanted) < MIN_VOTERS:
        wanted |= voters  # too few are left to demote any voter, even an unresponsive one
    change = _next_voter_change(by_name, voters, wanted, tolerance)
    return change or _next_removal(by_name, leader)


def _next_voter_change(
    by_name: Mapping[str, MemberStatus], voters: Set[str], wanted: Set[str], tolerance: Tolerance
) -> MembershipChange | None:
    """Choose the best change of a single voter towards the wanted voters."""

    def margin_of(names: Set[str]) -> int:
        """Return the loss margin of a set of voters, given by name."""
        return loss_margin((by_name[name] for name in names), tolerance)

    # Margins above 0 are not worth a change, so they are capped at 0.
    current_margin = min(0, margin_of(voters))
    has_too_few_voters = len(voters) < MIN_VOTERS
    if min(0, margin_of(wanted)) <= current_margin and len(wanted) >= len(voters) and not has_too_few_voters:
        return None
    # Fewer voters than MIN_VOTERS tolerate no loss, so any additional voter is allowed.
    least_margin = -MAX_VOTERS if has_too_few_voters else current_margin
    # The first of equal margins is chosen: promotions come first, then demotions of unresponsive voters.
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
    description = "is demoted to learner" if by_name[name].is_alive else "is unresponsive: demoted to learner"
    return MembershipChange(name, ChangeKind.DEMOTE, description)


def _next_removal(by_name: Mapping[str, MemberStatus], leader: str) -> MembershipChange | None:
    """Choose the first learner, in membership order, that is not expected to return."""
    for name, member in by_name.items():
        if member.is_voter or name == leader:
            continue
        if member.is_superseded:
            return MembershipChange(name, ChangeKind.REMOVE, "is superseded by another incarnation: removed")
        if member.unresponsive_s > REMOVAL_TIMEOUT_S:
            return MembershipChange(name, ChangeKind.REMOVE, "is unresponsive: removed")
    return None


def _has_working_majority(voters: Set[str], by_name: Mapping[str, MemberStatus]) -> bool:
    """Whether a majority of these voters is alive and has all committed entries."""
    working = sum(1 for name in voters if by_name[name].is_alive and by_name[name].is_caught_up)
    return 2 * working > len(voters)
