"""The endpoints of a service as one edge knows them, and which of them gets the next call. No I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.cluster.control.published_state import EndpointCondition, PublishedEndpoint

MIN_BACKOFF_S = 0.25  # an unreachable endpoint gets no calls for so long, doubled each time
MAX_BACKOFF_S = 4.0  # a restarted endpoint is found within this time also where nothing announces it
FULL_BACKOFF_S = 0.15  # one that answered that it is full: a few usual calls end in that time
FIXED_ENDPOINT_SLOTS = 1 << 10  # an endpoint at a fixed address announces none: its service's rate limits it

# What an endpoint costs beside its load, which is 1 where all of its slots are used.
OTHER_ZONE_COST = 0.35  # traffic between zones is expensive
NEW_CONNECTION_COST = 0.2
WARMING_UP_COST = 0.3
SAME_ENDPOINT_COST = 5.0  # the endpoint of the last call: a retry goes to another one where there is any


@dataclass(slots=True, eq=False)
class Endpoint:
    """One incarnation of an endpoint. Times are seconds of the steady clock."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    condition: str = EndpointCondition.READY
    calls_in_flight: int = 0  # of this edge
    backoff_until: float = 0.0
    failures: int = 0  # calls in succession that did not reach it
    warm_at: float = 0.0  # it is slow until then, after its start

    def is_usable(self, now: float) -> bool:
        """Whether it may get a call now."""
        return (
            self.condition == EndpointCondition.READY
            and self.backoff_until <= now
            and self.calls_in_flight < self.slots
        )

    def on_unreachable(self, now: float) -> None:
        """Back off exponentially: it could not be reached, or did not respond in time."""
        self.backoff_until = now + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self.failures)
        self.failures += 1

    def on_full(self, now: float) -> None:
        """Back off for a moment: it answered that it takes no call now."""
        self.backoff_until = now + FULL_BACKOFF_S

    def on_response(self) -> None:
        """Note that it is reachable."""
        self.failures = 0


class EndpointPool:
    """All endpoints that are known.

    :param zone: the zone of this edge.
    :param rng: decides between endpoints of the same cost.
    :param idle_connections: how many idle connections there are to an address.
    """

    def __init__(self, zone: str, rng: random.Random, idle_connections: Callable[[str], int]) -> None:
        self._zone, self._rng, self._idle_connections = zone, rng, idle_connections
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}

    def update(self, endpoint_id: str, published: PublishedEndpoint, now: float) -> Endpoint | None:
        """Use what is published of an endpoint now.

        :returns: the endpoint where it gets no more calls, None where it does or was not known.
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

    def set_fixed(self, service: str, address: str | None) -> None:
        """Have a service be the single endpoint at an address, which nobody announces.

        :param address: None where the service's endpoints are announced.
        """
        endpoint_id = f"fixed {service}"
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is not None and endpoint.address != address:
            self._remove(endpoint)
            endpoint = None
        if address is not None and endpoint is None:
            self._add(Endpoint(endpoint_id, service, address, self._zone, FIXED_ENDPOINT_SLOTS))

    def pick(self, service: str, now: float, last_endpoint_id: str = "") -> Endpoint | None:
        """The usable endpoint of the least cost, as far as this edge knows; None where none is usable.

        :param last_endpoint_id: where the message was called last.
        """
        best: Endpoint | None = None
        least = (math.inf, 0.0)
        for endpoint in self._by_service.get(service, {}).values():
            # No slots are set aside for other edges: clients distribute unevenly over edges, and an endpoint
            # that is full answers so at once.
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
        """When the backoff of the next endpoint of a service ends; None where none is backed off."""
        ends = [endpoint.backoff_until for endpoint in self._by_service.get(service, {}).values()]
        return min((end for end in ends if end > now), default=None)
