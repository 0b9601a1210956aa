"""How long to wait before discovery is asked again: drawn, and the longer the larger the fleet."""

from __future__ import annotations

import random
from collections.abc import Callable

FIRST, MOST = 0.1, 1.0  # seconds: first and longest pause of a lone relay
APART = 0.05  # seconds for each relay of the fleet: so far apart one asks, and further when refused
DOUBLINGS = 3  # of that: discovery takes a call from each relay in some seconds


class Pauses:
    """Draws one relay's pauses; `chance` gives numbers from 0 to 1, by default each process its own."""

    # Guards against a fleet that loses its watches, or is started, at one moment: relays that ask again each
    # second ask for more than discovery can answer, which then answers nobody. It harms the relay whose
    # watch alone was lost: its list is some seconds older than it could be.
    def __init__(self, relays: int, chance: Callable[[], float] = random.random) -> None:
        self._apart, self._chance, self._failed = relays * APART, chance, 0

    def start(self) -> float:
        """Seconds until a process that has just begun asks: its configuration holds a list to begin with."""
        return self._apart * self._chance() if self._apart > MOST else 0.0

    def after(self, heard: bool) -> float:
        """Seconds until discovery is asked again, after a try that had news or, if not `heard`, had none."""
        self._failed = 0 if heard else self._failed + 1
        lone: float = min(MOST, FIRST * 2.0 ** min(self._failed, 10))
        fleet: float = self._apart * 2.0 ** min(self._failed, DOUBLINGS)
        return max(lone, fleet) * (0.5 + self._chance() / 2)
