"""How much each destination is sent, and what is learned of its limit: the design's account.

An `Account` may spend M units in a window w that slides by steps s. A call is a unit: reserved while out (r),
consumed in its start's bucket once answered (c). It goes only if c + r + 1 <= M, else at the computed
opening.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.policy import interface as api

SECOND = 1_000_000
OPEN = float("inf")
WINDOW_US = SECOND  # shortest w: longer smooths bursts that a limit would take, shorter overruns it at edges
STEPS = 50  # s = w / STEPS; fewer are cheaper and open later
LEAST_UNITS = 2  # least M from a rate: of many relays few send at once, and refusals correct the rest
ROOM = 2.5  # part of a listed rate over an even part: traffic is uneven, and refusals correct too much
RISE = 1.25  # growth of a learned M in a window without refusal
LIFT = 8  # so many such windows drop a learned M; fewer find a freed limit sooner, at more refusals
KEPT = 128  # buckets, and starts for the cold bound, that are kept: bounds memory
TRIES = 2  # w is stretched to no more than the longest life over this: fewer tries leave more to others
FLOOR = 0.7  # part of an even part of a listed rate that a learned M keeps: less starves what the limit takes
MANY = 5  # relays from which on one's own refusals tell of what all send, and the next rules hold
EVEN_ROOM = 1.5  # ROOM there, but for small rates: what is over it at many relays at once is refused
LEAST_PART = 0.5  # least M there: of hundreds few have anything to send, and less would hold a second one up
FIRST = 0.6  # part of what would be learned from the first refusal there: all over the limit learn it at once
PAUSE_US = SECOND  # longest first pause after a refusal there, doubled with each in a row
PAUSES = 3  # so many different ones: longer ones leave a limit unused that has room again
CROWD = 0.25  # power of the number of relays that divides it: more may stand in line unseen
PATIENCE = 10  # usual answer times until an answer is overdue; fewer give up work that would be done
LEAST_PATIENCE_US = 3 * SECOND  # shortest patience: a few quick answers must not make a slow one overdue
FIRST_GUESS_US = SECOND // 2  # usual answer time before the first answer
SLOT_SHARE = 0.5  # part of the slots that one account may hold: leaves room for the others


class Started(Protocol):
    """A call, of which only its start counts here; told apart by what it is, not by what it holds."""

    @property
    def start_us(self) -> int: ...


@dataclass(slots=True, eq=False)
class Buckets:
    """Units consumed, in buckets of size `slide`: all of them, and those of calls that were taken on."""

    slide: int
    kept: int
    units: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(self, at_us: int, unit: int, taken_on: int) -> None:
        number = at_us // self.slide
        had = self.units.get(number, (0, 0))
        self.units[number] = had[0] + unit, had[1] + taken_on
        if len(self.units) > self.kept:
            del self.units[min(self.units)]

    def inside(self, at_us: int, window: int) -> Iterator[tuple[int, int, int]]:
        """When each bucket leaves the window, the first to leave first, with its units."""
        first = (at_us - window) // self.slide + 1
        for number in sorted(number for number in self.units if number >= first):
            yield (number * self.slide + window, *self.units[number])


class Account:
    """M, w, s, buckets, reservations and blocked-until of a destination, or of one route apart."""

    def __init__(self, settings: api.Settings, rate: float | None) -> None:
        self.settings, self.many = settings, settings.relays >= MANY
        self.reserved: dict[Started, None] = {}  # oldest first
        self.blocked_until, self.usual_us = 0, FIRST_GUESS_US
        self.told_us = 0  # the last told wait of an earlier life
        self.learned, self.learned_us = OPEN, 0  # M learned from the last refusal, and when
        self.streak, self.paused_until = 0, 0  # refusals since a call was last taken on, and the pause after
        self.pace, self.pace_us = 1.0, 0  # own calls done a second, and when that was last reckoned
        self.listed = rate  # what the list says, whatever was reported since
        self.set_rate(rate)

    def set_rate(self, rate: float | None) -> None:
        """Take M and w from a listed or reported rate of all relays; without one the account is open."""
        self.rate, self.units, self.window, self.even = rate, OPEN, WINDOW_US, 0.0
        if rate is not None:
            self.even = rate * self.window / SECOND / self.settings.relays
            room = self.even * min(self.settings.relays, ROOM)
            self.units = max(LEAST_UNITS, room)
            if self.many:
                few = max(LEAST_PART, room) if room <= 1 else round(min(room, LEAST_UNITS))
                self.units = max(few, EVEN_ROOM * self.even)
        self.stretched = self.window
        self.longest = max(kind.deadline_us for kind in self.settings.classes.values()) // TRIES
        self.buckets = Buckets(self.window // STEPS, KEPT)

    def limit(self, at_us: int) -> float:
        quiet = (at_us - self.learned_us) // self.stretched
        return self.units if quiet >= LIFT else min(self.units, self.learned * RISE**quiet)

    def patience_us(self) -> int:
        return max(LEAST_PATIENCE_US, PATIENCE * self.usual_us)

    def overdue(self, at_us: int) -> int:
        """Calls out beyond patience: they no longer count as reservations; `crowded` bounds them instead."""
        late = at_us - self.patience_us()
        return sum(1 for _ in itertools.takewhile(lambda call: call.start_us <= late, self.reserved))

    def crowded(self, now_us: int) -> bool:
        """Whether a destination, silent or slow, holds as many slots as one may: it guards the others."""
        share = SLOT_SHARE / (5 if self.overdue(now_us) else 1)
        return len(self.reserved) >= max(1, self.settings.slots * share)

    def inside(self, at_us: int) -> Iterator[tuple[int, int, int]]:  # w is stretched where M is below one
        return self.buckets.inside(at_us, int(self.window / min(1.0, self.limit(at_us))))

    def excess(self, at_us: int) -> float:
        """Admission: c + r + 1 <= M; what is over it."""
        consumed = sum(units for _, units, _ in self.inside(at_us))
        return consumed + len(self.reserved) - self.overdue(at_us) + 1 - max(1.0, self.limit(at_us))

    def opening(self, now_us: int) -> int:
        """When a unit fits, after any told wait; one window ahead at most, or when a learned M rises."""
        at = max(now_us, self.blocked_until, self.paused_until)
        if (excess := self.excess(at)) <= 0:
            return at
        for leaves_us, units, _ in self.inside(at):
            if (excess := excess - units) <= 0:
                return min(leaves_us, at + self.stretched - (at - self.learned_us) % self.stretched)
        return max(at, next(iter(self.reserved)).start_us + self.patience_us()) + 1  # an answer comes first

    def refused(self, now_us: int, part: float) -> None:
        """Learn M from a refusal: what the window holds of calls that were taken on, or less and less."""
        # M below one: one unit in a longer w, against many relays that spend one each where refusals count.
        limit, least = self.limit(now_us), max(1.0, self.even)
        taken_on = sum(done for *_, done in self.buckets.inside(now_us, self.window))
        lowest = min(self.even or OPEN, max(FLOOR * self.even, self.window / self.longest))
        lower = max(limit * part / self.settings.relays**CROWD, lowest)
        first = max(least, taken_on) * (FIRST if self.many else 1.0)
        self.learned = first if limit > least else lower
        self.learned_us, self.stretched = now_us, int(self.window / min(1.0, self.learned))
        if self.many:
            # Guards against a fleet that stays a little over a limit which refused calls use up: nothing is
            # taken on any more. Harms what was refused once by chance: up to a second later.
            self.paused_until = now_us + int(PAUSE_US * part * 2 ** min(self.streak, PAUSES - 1))
            self.streak += 1
