"""Scenarios in which a service gets a configured address and returns to announced endpoints.

Some time after each change has been acknowledged, the endpoints that it put out of use end, and those of
another service get their addresses.
"""

from __future__ import annotations

from functools import partial

from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.endpoints import Endpoint, EndpointFleet
from amberlug.cluster.simulation.machine import BOUNDS
from amberlug.cluster.simulation.operator import Operator

MOVED_SERVICE, OTHER_SERVICE = "alpha", "gamma"
APPLIED_S = BOUNDS["configApplyMs"] / 1000 + 0.1  # from the acknowledgement until no edge node may use them
REUSED_S = BOUNDS["reuseAfterS"] + 0.1  # from the end of an endpoint until its address is used again
SETTLED_S = 2.5  # from the reuse of the addresses until the next change
ANNOUNCED_COUNT = 4  # endpoints of the service while it has no configured address


class AddressChanges:
    """Moves a service to a configured address and back, as long as the scenario lasts.

    :param end: no change begins after this time.
    """

    def __init__(
        self, clock: Clock, fleet: EndpointFleet, operator: Operator, zones: list[str], end: float
    ) -> None:
        self._clock, self._fleet, self._operator, self._zones = clock, fleet, operator, zones
        self._end = end
        self._fixed: Endpoint | None = None

    def begin(self) -> None:
        """Move the service to the other kind of endpoint, and go on with that until the end."""
        if self._clock.now + APPLIED_S + REUSED_S >= self._end:
            return
        former = [*self._fleet.up(MOVED_SERVICE)]
        if self._fixed is None:
            self._fixed = self._fleet.start(MOVED_SERVICE, self._zones[0], announces=False)
        else:
            self._fixed = None
            for number in range(ANNOUNCED_COUNT):
                self._fleet.start(MOVED_SERVICE, self._zones[number % len(self._zones)])
        address = self._fixed.address if self._fixed is not None else None
        self._operator.set_fixed_address(MOVED_SERVICE, address, partial(self._changed, former))

    def _changed(self, former: list[Endpoint], is_acknowledged: bool) -> None:
        if not is_acknowledged:
            return
        self._clock.call_later(APPLIED_S, partial(self._crash, former))
        self._clock.call_later(APPLIED_S + REUSED_S, partial(self._reuse, former))
        self._clock.call_later(APPLIED_S + REUSED_S + SETTLED_S, self.begin)

    @staticmethod
    def _crash(former: list[Endpoint]) -> None:
        for endpoint in former:
            endpoint.crash(silent=False)

    def _reuse(self, former: list[Endpoint]) -> None:
        for endpoint in former:
            self._fleet.start(OTHER_SERVICE, endpoint.zone, endpoint.address)
