"""Computes when to reconnect to discovery, and how long an unconfirmed list stays valid. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

FIRST, MOST = 0.1, 1.0  # seconds: first and longest delay of a single relay
APART = 0.05  # seconds per relay of the fleet, over which reconnects are spread; longer after refusals
DOUBLINGS = 3  # of the spread, at most: discovery can answer each relay once within some seconds
TOLD_BY = 6.0  # seconds after which, by the protocol, a change counts as announced, received or not
SOON = 0.5  # fraction of the drain grace for the first reconnect of a lost watch; the rest is for the answer
AWAY = 5.0  # seconds without updates that a restart may cause: as AWAY_US in the decision module
MARGIN = 0.25  # seconds that a call may take from the decision to its first byte, and a safety margin


class Pauses:
    """Draws the reconnect delays of one relay; `chance` returns random numbers from 0 to 1.

    `grace` is the drain grace of the settings, in seconds. By default each process draws numbers of its own.
    """

    # If a whole fleet loses its watches at the same moment, relays that reconnect every second exceed the
    # capacity of discovery, which then answers none of them. The cost: if only one relay loses its watch, its
    # list is some tenths of a second older than necessary.
    def __init__(self, relays: int, grace: float, chance: Callable[[], float] = random.random) -> None:
        # Avoids calls to draining endpoints: what discovery's agent has counts as announced, received or not,
        # and a draining endpoint may be called during the grace only. Uncapped, 200 relays would spread over
        # 10 s.
        self._apart = relays * APART
        self._soon = min(self._apart, SOON * grace)
        self._grace, self._chance = grace, chance
        self._failed = self._refused = 0

    def after(self, heard: bool, refused: bool = False) -> float:
        """Return the seconds until the next attempt, after one that had data, was refused or not answered."""
        # Unanswered attempts cost discovery nothing, and what it has when it is back counts as announced: the
        # delay stays short.
        self._failed = 0 if heard else self._failed + 1
        self._refused = 0 if heard else self._refused + refused
        lone: float = min(MOST, FIRST * 2.0 ** min(self._failed, 10))
        # After refusals, attempts must be spread as far as the fleet's size requires, or nobody is answered:
        # with 200 relays and a discovery that takes 0.15 s per call, a bound of 8 s on the spread has that
        # effect. A relay that waits for longer has an outdated list, and sends nothing by it.
        further: float = self._apart * 2.0 ** min(self._refused, DOUBLINGS)
        fleet = further if self._refused else self._soon
        return max(lone, fleet) * (0.5 + self._chance() / 2)

    def good_for(self) -> float:
        """Return the seconds for which a list just confirmed is valid: by then a drain must be honored."""
        return TOLD_BY + self._grace - MARGIN

    def good_at_first(self, away: bool, age: float | None = None) -> float:
        """Return the same for the list that a process starts with, the one its predecessor had.

        `age` is the number of seconds since that list was last confirmed, if known. After a predecessor
        (`away`) it is taken to be at least as old as a restart may last, since the list "may be old".
        """
        # Avoids calls to draining endpoints by a relay that received nothing for some seconds and then
        # restarted: the new process took the list to be as fresh as at the end of the old process.
        return max(0.0, self.good_for() - max(AWAY * away, age or 0.0))
