"""The endpoints known to one edge, and the selection of one for the next call. No I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from amberlug.cluster.control.published_state import EndpointCondition, PublishedEndpoint

MIN_BACKOFF_S = 0.25  # of an unreachable endpoint; doubled with each further failure
MAX_BACKOFF_S = 4.0  # bounds the time to find a restarted endpoint that is not announced
FULL_BACKOFF_S = 0.15  # of an endpoint that reported it is full: the duration of a few typical calls
FIXED_ENDPOINT_SLOTS = 1 << 10  # fixed endpoints announce no slots; only the service's rate limits them

# Costs added to the load of an endpoint, which is 1.0 if all its slots are in use.
OTHER_ZONE_COST = 0.35  # cross-zone traffic is expensive
NEW_CONNECTION_COST = 0.2
WARMING_UP_COST = 0.3
SAME_ENDPOINT_COST = 5.0  # the endpoint of the previous call: retries prefer another one


@dataclass(slots=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint. Times are monotonic, in seconds."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    condition: str = EndpointCondition.READY
    calls_in_flight: int = 0  # from this edge only
    backoff_until: float = 0.0
    failures: int = 0  # consecutive calls that did not reach it
    warm_at: float = 0.0  # end of its warm-up after a start
    is_fixed: bool = False  # its address is configured: it announces nothing, so that its id is not known

    def is_usable(self, now: float) -> bool:
        """Whether it can take a call now."""
        return (
            self.condition == EndpointCondition.READY
            and self.backoff_until <= now
            and self.calls_in_flight < self.slots
        )

    def on_unreachable(self, now: float) -> None:
        """Back off exponentially after a failed connection or a timeout."""
        self.backoff_until = now + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self.failures)
        self.failures += 1

    def on_full(self, now: float) -> None:
        """Back off briefly after it reported that it accepts no call now."""
        self.backoff_until = now + FULL_BACKOFF_S

    def on_response(self) -> None:
        """Reset the failure count after any response."""
        self.failures = 0


class EndpointPool:
    """All known endpoints.

    Invariant: a service with a configured address is called there alone. Its announced endpoints stay known,
    in case a later configuration uses them again.

    :param zone: the zone of this edge.
    :param rng: breaks ties between endpoints of equal cost.
    :param idle_connections: returns the number of idle connections to an address.
    """

    def __init__(self, zone: str, rng: random.Random, idle_connections: Callable[[str], int]) -> None:
        self._zone, self._rng, self._idle_connections = zone, rng, idle_connections
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}  # the announced ones
        self._fixed: dict[str, Endpoint] = {}  # by service that has a configured address

    def update(self, endpoint_id: str, published: PublishedEndpoint, now: float) -> Endpoint | None:
        """Apply the newest published state of an endpoint.

        :returns: the endpoint if it must not be called any more; None if it may be called or was not known.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None:
            if published.condition in (EndpointCondition.GONE, EndpointCondition.LOST):
                return None
            endpoint = self._add(
                Endpoint(
                    endpoint_id,
                    published.service,
                    published.address,
                    published.zone,
                    max(1, published.capacity),
                )
            )
        self._apply(endpoint, published)
        endpoint.warm_at = now + published.warm_up_s
        if published.condition == EndpointCondition.GONE:
            self._remove(endpoint)
        if published.condition != EndpointCondition.READY:
            return endpoint
        if endpoint.failures == 0:
            endpoint.backoff_until = 0.0
        return None

    def _apply(self, endpoint: Endpoint, published: PublishedEndpoint) -> None:
        if published.service not in ("", endpoint.service):
            self._by_service.get(endpoint.service, {}).pop(endpoint.id, None)
            endpoint.service = published.service
            self._add(endpoint)
        if published.address:
            endpoint.address, endpoint.slots = published.address, max(1, published.capacity)
        endpoint.condition = published.condition

    def _add(self, endpoint: Endpoint) -> Endpoint:
        self._by_id[endpoint.id] = endpoint
        self._by_service.setdefault(endpoint.service, {})[endpoint.id] = endpoint
        return endpoint

    def _remove(self, endpoint: Endpoint) -> None:
        self._by_id.pop(endpoint.id, None)
        self._by_service.get(endpoint.service, {}).pop(endpoint.id, None)

    def update_fixed(self, addresses: Mapping[str, str]) -> None:
        """Apply the configured addresses of a new configuration.

        :param addresses: by service that has one; the endpoints of the others are announced.
        """
        self._fixed = {
            service: self._fixed_endpoint(service, address) for service, address in addresses.items()
        }

    def _fixed_endpoint(self, service: str, address: str) -> Endpoint:
        known = self._fixed.get(service)
        if known is not None and known.address == address:
            return known
        return Endpoint(f"fixed {service}", service, address, self._zone, FIXED_ENDPOINT_SLOTS, is_fixed=True)

    def _endpoints_of(self, service: str) -> Iterable[Endpoint]:
        """The endpoints at which a service may be called."""
        fixed = self._fixed.get(service)
        return self._by_service.get(service, {}).values() if fixed is None else (fixed,)

    def pick(self, service: str, now: float, last_endpoint_id: str = "") -> Endpoint | None:
        """Select the usable endpoint with the lowest cost; None if there is none.

        :param last_endpoint_id: the endpoint of the message's previous call.
        """
        best: Endpoint | None = None
        least = (math.inf, 0.0)
        for endpoint in self._endpoints_of(service):
            # No slots are reserved for other edges: clients are unevenly distributed over the edges, and a
            # full endpoint rejects calls immediately.
            if endpoint.is_usable(now):
                score = self._cost(endpoint, now, last_endpoint_id), self._rng.random()
                if score < least:
                    best, least = endpoint, score
        return best

    def _cost(self, endpoint: Endpoint, now: float, last_endpoint_id: str) -> float:
        cost = endpoint.calls_in_flight / endpoint.slots
        cost += OTHER_ZONE_COST if endpoint.zone != self._zone else 0.0
        cost += 0.0 if self._idle_connections(endpoint.address) else NEW_CONNECTION_COST
        cost += WARMING_UP_COST if endpoint.warm_at > now else 0.0
        cost += SAME_ENDPOINT_COST if endpoint.id == last_endpoint_id else 0.0
        return cost

    def next_available_at(self, service: str, now: float) -> float | None:
        """When the next backoff of an endpoint of a service ends; None if none is backing off."""
        ends = [endpoint.backoff_until for endpoint in self._endpoints_of(service)]
        return min((end for end in ends if end > now), default=None)
