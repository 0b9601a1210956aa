"""Client-side rate limiting per destination: a sliding window whose limit adapts to refusals.

An `Account` allows M units in a window w that slides in steps of s; if M is below 1, one unit in a longer w.
A call's unit is reserved while the call is in flight and not overdue (r), and consumed in the bucket of its
start time once answered (c), unless it was unsent or refused by a full connection table. A call may start if
c + r + 1 <= max(1, M), else at the computed opening.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from amberlug.policy import interface as api

SECOND = 1_000_000
UNLIMITED = float("inf")
MIN_WINDOW_US = SECOND  # minimum w: longer delays bursts that the limit allows, shorter exceeds the limit
WINDOW_STEPS = 50  # s = w / WINDOW_STEPS; fewer steps cost less time, but openings come later
# Minimum M from a rate, and in a large fleet the upper bound of that minimum: of many relays few send at
# once, and refusals correct the rest.
MIN_UNITS = 2
# M relative to an even share of the rate: traffic is uneven, and refusals correct an excess.
RATE_HEADROOM = 2.5
LIMIT_GROWTH = 1.25  # growth of a learned M per window without a refusal
# Windows without refusal after which a learned M is discarded; fewer find a lifted limit sooner but cause
# more refusals.
LIMIT_LIFETIME_WINDOWS = 8
HISTORY_SIZE = 128  # buckets, and call starts for the cold-start limit, that are kept: bounds memory
# w is at most the longest message deadline over this; fewer attempts leave more to other relays.
MIN_ATTEMPTS = 2
MIN_LEARNED_SHARE = 0.7  # of an even share, for M after further refusals: less leaves the limit underused
# From this many relays on, refusals reflect the load of all relays and the rules for large fleets apply.
LARGE_FLEET_RELAYS = 5
# Replaces RATE_HEADROOM in a large fleet, except for small rates: an excess at many relays is refused.
LARGE_FLEET_HEADROOM = 1.5
# Minimum M from a rate in a large fleet: of hundreds of relays few have messages, and less would delay a
# second message.
LARGE_FLEET_MIN_UNITS = 0.5
# Factor of M learned in a large fleet from a refusal while M is above max(1, even share): all relays over the
# limit learn it at once.
FIRST_REFUSAL_FACTOR = 0.6
# Maximum initial pause after a refusal in a large fleet, doubled with each of the next two consecutive ones.
MAX_FIRST_PAUSE_US = SECOND
PAUSE_LENGTHS = 3  # each twice the one before: longer ones leave a limit unused that has capacity again
# M is divided by the number of relays to this power: more of them may be waiting unseen.
FLEET_SIZE_EXPONENT = 0.25
OVERDUE_FACTOR = 10  # number of usual answer times after which a call is overdue; less abandons useful work
MIN_PATIENCE_US = 3 * SECOND  # a few fast answers must not make a slow one overdue
INITIAL_ANSWER_US = SECOND // 2  # usual answer time assumed before the first answer
MAX_SLOT_SHARE = 0.5  # share of the slots that one account may hold, so that others can send


class StartedCall(Protocol):
    """A call in flight, compared by identity; only its start time is used here."""

    @property
    def start_us(self) -> int:
        """When the call started, in microseconds."""


@dataclass(slots=True, eq=False)
class Buckets:
    """Consumed units in buckets of size `bucket_us`: of all calls, and of those that were accepted."""

    bucket_us: int
    kept: int
    units: dict[int, tuple[int, int]] = field(default_factory=dict)

    def add(self, at_us: int, unit: int, delivered: int) -> None:
        """Add consumed and accepted units to the bucket of a time; drop the oldest beyond `kept`."""
        number = at_us // self.bucket_us
        had = self.units.get(number, (0, 0))
        self.units[number] = had[0] + unit, had[1] + delivered
        if len(self.units) > self.kept:
            del self.units[min(self.units)]

    def buckets_in_window(self, at_us: int, window: int) -> Iterator[tuple[int, int, int]]:
        """Yield the time at which each bucket leaves the window, earliest first, with its units."""
        first = (at_us - window) // self.bucket_us + 1
        for number in sorted(number for number in self.units if number >= first):
            yield (number * self.bucket_us + window, *self.units[number])


class Account:
    """Rate limit state of a destination, or of one route if its routes have separate limits."""

    def __init__(self, settings: api.Settings, rate: float | None) -> None:
        self.settings, self.large_fleet = settings, settings.relays >= LARGE_FLEET_RELAYS
        self.reserved: dict[StartedCall, None] = {}  # oldest first
        self.blocked_until, self.usual_us = 0, INITIAL_ANSWER_US
        self.last_retry_after_us = 0  # length of the last Retry-After wait, from persisted state
        self.learned, self.learned_us = UNLIMITED, 0  # M learned from the last refusal, and its time
        self.consecutive_refusals = 0  # since a call was last accepted
        self.paused_until = 0  # end of the pause after a refusal
        self.throughput, self.throughput_us = 1.0, 0  # own successful calls per second, and its last update
        self.listed = rate  # rate from the endpoint list, regardless of rates reported later
        self.set_rate(rate)

    def set_rate(self, rate: float | None) -> None:
        """Set M and w from a listed or reported rate for all relays; without a rate M is unlimited."""
        self.rate, self.units, self.window, self.even_share = rate, UNLIMITED, MIN_WINDOW_US, 0.0
        if rate is not None:
            self.even_share = rate * self.window / SECOND / self.settings.relays
            share = self.even_share * min(self.settings.relays, RATE_HEADROOM)  # with headroom
            self.units = max(MIN_UNITS, share)
            if self.large_fleet:
                minimum = max(LARGE_FLEET_MIN_UNITS, share) if share <= 1 else round(min(share, MIN_UNITS))
                self.units = max(minimum, LARGE_FLEET_HEADROOM * self.even_share)
        self.stretched_window = self.window  # w for the learned M
        self.max_window_us = max(kind.deadline_us for kind in self.settings.classes.values()) // MIN_ATTEMPTS
        self.buckets = Buckets(self.window // WINDOW_STEPS, HISTORY_SIZE)

    def limit(self, at_us: int) -> float:
        """Return the limit M in units per window: by the rate or by the last refusal, whichever is lower."""
        quiet = (at_us - self.learned_us) // self.stretched_window
        learned = self.learned * LIMIT_GROWTH**quiet if quiet < LIMIT_LIFETIME_WINDOWS else UNLIMITED
        return min(self.units, learned)

    def patience_us(self) -> int:
        """Return the microseconds after which a call without an answer is overdue."""
        return max(MIN_PATIENCE_US, OVERDUE_FACTOR * self.usual_us)

    def overdue(self, at_us: int) -> int:
        """Count overdue calls: they no longer count as reservations; `at_slot_limit` limits them instead."""
        late = at_us - self.patience_us()
        return sum(1 for _ in itertools.takewhile(lambda call: call.start_us <= late, self.reserved))

    def at_slot_limit(self, now_us: int) -> bool:
        """Whether an account holds its maximum of slots; keeps a silent or slow one from taking all."""
        share = MAX_SLOT_SHARE / (5 if self.overdue(now_us) else 1)
        return len(self.reserved) >= max(1, self.settings.slots * share)

    def buckets_in_window(self, at_us: int) -> Iterator[tuple[int, int, int]]:
        """Yield the time at which each bucket leaves the window, earliest first, with its units."""
        # w is longer if M is below one
        return self.buckets.buckets_in_window(at_us, int(self.window / min(1.0, self.limit(at_us))))

    def excess(self, at_us: int) -> float:
        """Return c + r + 1 - max(1, M), without overdue reservations; a call may start if not positive."""
        consumed = sum(units for _, units, _ in self.buckets_in_window(at_us))
        return consumed + len(self.reserved) - self.overdue(at_us) + 1 - max(1.0, self.limit(at_us))

    def opening(self, now_us: int) -> int:
        """When a call may start: after waits and pauses, as units leave the window or the learned M grows."""
        at = max(now_us, self.blocked_until, self.paused_until)
        if (excess := self.excess(at)) <= 0:
            return at
        for leaves_us, units, _ in self.buckets_in_window(at):
            if (excess := excess - units) <= 0:
                window = self.stretched_window
                return min(leaves_us, at + window - (at - self.learned_us) % window)
        return max(at, next(iter(self.reserved)).start_us + self.patience_us()) + 1  # an answer comes before

    def refused(self, now_us: int, part: float) -> None:
        """Learn M from a refusal: the accepted calls in the window, or less with each further refusal."""
        # M below one allows one unit in a longer w: refused calls consume the limit too, so many relays with
        # one unit each would exceed it.
        limit, first_threshold = self.limit(now_us), max(1.0, self.even_share)
        delivered = sum(done for *_, done in self.buckets.buckets_in_window(now_us, self.window))
        floor = max(MIN_LEARNED_SHARE * self.even_share, self.window / self.max_window_us)
        lowest = min(self.even_share or UNLIMITED, floor)
        lower = max(limit * part / self.settings.relays**FLEET_SIZE_EXPONENT, lowest)
        first = max(first_threshold, delivered) * (FIRST_REFUSAL_FACTOR if self.large_fleet else 1.0)
        self.learned = first if limit > first_threshold else lower
        self.learned_us, self.stretched_window = now_us, int(self.window / min(1.0, self.learned))
        if self.large_fleet:
            # Prevents a fleet from staying slightly over a limit that refused calls consume too: otherwise no
            # call would be accepted any more. Cost: a delay of up to a second after a single chance refusal.
            doublings = min(self.consecutive_refusals, PAUSE_LENGTHS - 1)
            self.paused_until = now_us + int(MAX_FIRST_PAUSE_US * part * 2**doublings)
            self.consecutive_refusals += 1
