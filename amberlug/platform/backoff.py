"""Computes when to reconnect to discovery, and how long an unconfirmed list stays valid. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

FIRST_DELAY_S, MAX_DELAY_S = 0.1, 1.0  # first and longest delay of a single relay
SPREAD_PER_RELAY_S = 0.05  # reconnects of a fleet are spread over this time per relay, longer after refusals
# After refusals the spread doubles at most this often, to 0.4 s per relay: within some seconds, discovery can
# answer each relay once.
MAX_SPREAD_DOUBLINGS = 3
ANNOUNCED_AFTER_S = 6.0  # by the protocol, a change counts as announced after this time, received or not
FIRST_RECONNECT_FRACTION = 0.5  # of the drain grace, to reconnect a lost watch; the rest is for the answer
RESTART_S = 5.0  # time without updates that a restart may cause; same as RESTART_US in policy/lasting.py
CALL_START_MARGIN_S = 0.25  # a call's time from the decision to its first byte, and a safety margin


class DiscoveryBackoff:
    """Draws the reconnect delays of one relay; `random_fraction` returns random numbers from 0 to 1.

    `drain_grace_s` is the drain grace of the settings. By default each process draws numbers of its own.
    """

    # Delays are spread over the fleet: if all relays lose their watches at the same moment and reconnect
    # every second, they exceed the capacity of discovery, which then answers none of them. The cost of the
    # spread: if only one relay loses its watch, its list is some tenths of a second older than necessary.
    def __init__(
        self, relays: int, drain_grace_s: float, random_fraction: Callable[[], float] = random.random
    ) -> None:
        self._spread_s = relays * SPREAD_PER_RELAY_S
        # The cap avoids calls to draining endpoints: what discovery's agent has counts as announced, received
        # or not, and a draining endpoint may be called during the grace only. Uncapped, 200 relays would
        # spread over 10 s.
        self._first_spread_s = min(self._spread_s, FIRST_RECONNECT_FRACTION * drain_grace_s)
        self._drain_grace_s, self._random_fraction = drain_grace_s, random_fraction
        self._failure_count = self._refusal_count = 0

    def next_delay_s(self, received_data: bool, refused: bool = False) -> float:
        """Return the seconds until the next attempt, after one that had data, was refused or not answered.

        :param refused: discovery ended the connection; ignored if the attempt received data.
        """
        # Unanswered attempts cost discovery nothing, and what it has when it is back counts as announced: the
        # delay stays short.
        self._failure_count = 0 if received_data else self._failure_count + 1
        self._refusal_count = 0 if received_data else self._refusal_count + refused
        single_relay_s: float = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0 ** min(self._failure_count, 10))
        # After refusals, attempts must be spread as far as the fleet's size requires: with 200 relays and a
        # discovery that takes 0.15 s per call, a spread of at most 8 s would leave all of them unanswered. A
        # relay whose wait exceeds the validity of its list does not use that list.
        spread_s: float = self._spread_s * 2.0 ** min(self._refusal_count, MAX_SPREAD_DOUBLINGS)
        fleet_s = spread_s if self._refusal_count else self._first_spread_s
        return max(single_relay_s, fleet_s) * (0.5 + self._random_fraction() / 2)

    def list_validity_s(self) -> float:
        """Return the seconds for which a list just confirmed is valid: by then a drain must be honored."""
        return ANNOUNCED_AFTER_S + self._drain_grace_s - CALL_START_MARGIN_S

    def initial_list_validity_s(self, restarted: bool, age_s: float | None = None) -> float:
        """Return the same for the list that a process starts with, the one its predecessor had.

        `age_s` is the number of seconds since that list was last confirmed, if known. After a predecessor
        (`restarted`) it is taken to be at least as old as a restart may last, since the list "may be old".
        """
        # Avoids calls to draining endpoints: otherwise a relay that received nothing for some seconds and
        # then restarted would treat the list as just confirmed.
        return max(0.0, self.list_validity_s() - max(RESTART_S * restarted, age_s or 0.0))
