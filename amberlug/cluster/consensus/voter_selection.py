"""Who of the core's members votes: chosen so that what may be lost at once leaves a majority. No I/O.

One step at a time, each of one voter. No step leads into a membership that a further loss would stop if the
one before would outlast it, and no voter gives way before a majority of the rest has what is committed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from amberlug.cluster.settings import Tolerance

FEWEST, MOST = 3, 7  # voters, where there are as many members
SILENT_S = 1.5  # without an answer until a voter is taken for lost, and a spare one votes in its place
READY_S = 1.0  # a learner that is to vote answered this leader so lately
FORGOTTEN_S = 30.0  # without an answer until a learner is removed; it asks to be let in again if it is back


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member as the leader knows it."""

    name: str
    voter: bool
    zone: str = ""  # unknown where it is empty: then it is a place of its own
    region: str = ""
    caught_up: bool = True  # whether all that was committed a moment ago is on its disk
    silent_s: float = 0.0  # since it last answered this leader
    gone: bool = False  # whether another incarnation has come at its address
    leaving: bool = False  # whether it said that its process is about to end

    @property
    def lives(self) -> bool:
        return not self.gone and not self.leaving and self.silent_s <= SILENT_S

    @property
    def ready(self) -> bool:
        return not self.gone and not self.leaving and self.caught_up and self.silent_s < READY_S


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of the membership: `name` votes (True), votes no more (False) or is removed (None)."""

    name: str
    voter: bool | None
    why: str


def margin(voters: Iterable[MemberStatus], tolerance: Tolerance) -> int:
    """Live voters above a majority after the worst loss that must be outlasted; below 0 it stops them."""
    seats = list(voters)
    live = [it for it in seats if it.lives]
    zones = Counter(it.zone or it.name for it in live)
    regions = Counter(it.region or it.zone or it.name for it in live)
    lost = max(
        tolerance.machines,
        sum(count for _, count in zones.most_common(tolerance.zones)),
        sum(count for _, count in regions.most_common(tolerance.regions)),
    )
    return len(live) - lost - (len(seats) // 2 + 1)


def best(seats: Iterable[MemberStatus], tolerance: Tolerance, me: str) -> list[MemberStatus]:
    """The voters to be had: as few as outlast what may be lost, else the best; the leader is one."""
    left = sorted(
        (it for it in seats if (it.lives if it.voter else it.ready)),
        key=lambda it: (it.name != me, not it.voter, it.name),
    )
    chosen: list[MemberStatus] = []
    found: list[MemberStatus] = []
    zones: Counter[str] = Counter()
    regions: Counter[str] = Counter()
    while left and len(chosen) < MOST:
        # The emptiest region first, where regions may be lost, and the emptiest zone there.
        nxt = min(
            left,
            key=lambda it: (
                regions[it.region or it.zone or it.name] if tolerance.regions else 0,
                zones[it.zone or it.name],
            ),
        )
        left.remove(nxt)
        chosen.append(nxt)
        zones[nxt.zone or nxt.name] += 1
        regions[nxt.region or nxt.zone or nxt.name] += 1
        if len(chosen) < FEWEST or len(chosen) % 2 == 0:
            continue
        if not found or margin(chosen, tolerance) > margin(found, tolerance):
            found = list(chosen)
        if margin(found, tolerance) >= 0:
            break
    return found or chosen


def next_step(seats: Iterable[MemberStatus], tolerance: Tolerance, me: str) -> MembershipChange | None:
    """The next change of the membership that `me`, its leader, is to make."""
    members = {it.name: it for it in seats}
    voters = {name for name, it in members.items() if it.voter}
    wanted = {it.name for it in best(members.values(), tolerance, me)}
    if len(wanted) < FEWEST:
        wanted |= voters  # too few are left to do without any, also without those that are silent

    def of(names: set[str]) -> int:
        return margin((members[name] for name in names), tolerance)

    now = of(voters)
    if min(0, of(wanted)) > min(0, now) or len(wanted) < len(voters) or len(voters) < FEWEST:
        # Fewer voters than that outlast nothing, so any further one may come.
        floor = min(0, now) if len(voters) >= FEWEST else -MOST
        # Of equal margins the first: adding before removing, and those that are silent go first.
        ways = sorted(wanted - voters) + sorted(voters - wanted, key=lambda it: (members[it].lives, it))
        allowed = [it for it in ways if _may(voters ^ {it}, members) and of(voters ^ {it}) >= floor]
        if allowed:
            name = max(allowed, key=lambda it: of(voters ^ {it}))
            if name not in voters:
                return MembershipChange(name, True, "votes")
            return MembershipChange(
                name, False, "votes no more" if members[name].lives else "is silent: it votes no more"
            )
    for name, it in members.items():
        if not it.voter and name != me and (it.gone or it.silent_s > FORGOTTEN_S):
            return MembershipChange(name, None, "came back as another" if it.gone else "is gone")
    return None


def _may(after: set[str], members: dict[str, MemberStatus]) -> bool:
    """Whether a majority of these voters lives and has what is committed."""
    return 2 * sum(1 for it in after if members[it].lives and members[it].caught_up) > len(after)
