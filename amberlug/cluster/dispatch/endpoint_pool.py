"""The endpoints of a service as one edge knows them, and which of them gets the next call. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.cluster.interfaces import Json

DOUBT_S = (0.25, 4.0)  # an endpoint that can't be reached is left alone for so long, doubled each time
FULL_S = 0.15  # one that says it is full
FAR = 0.35  # what another zone weighs against load: bytes between zones are dear
FRESH = 0.2  # what a new connection weighs


@dataclass(slots=True, eq=False)
class Endpoint:
    """One life of an endpoint."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: str = "ready"
    out: int = 0  # this edge's calls that are under way
    doubt_until: float = 0.0
    doubts: int = 0
    warm_at: float = 0.0  # until then it is slow from its start

    def usable(self, now: float, most: int) -> bool:
        return self.state == "ready" and self.doubt_until <= now and self.out < most

    def doubt(self, now: float) -> None:
        """It could not be reached or did not answer."""
        self.doubt_until = now + min(DOUBT_S[1], DOUBT_S[0] * 2**self.doubts)
        self.doubts += 1

    def answered(self) -> None:
        self.doubts = 0


class EndpointPool:
    """All endpoints that are known, by service."""

    def __init__(self, zone: str, chance: random.Random, idle: Callable[[str], int]) -> None:
        self.zone, self.chance, self._idle = zone, chance, idle
        self.all: dict[str, Endpoint] = {}
        self.services: dict[str, dict[str, Endpoint]] = {}

    def heard(self, name: str, value: Json, now: float) -> Endpoint | None:
        """Take news of an endpoint; gives it where it may be called no longer."""
        known = self.all.get(name)
        state = value["cond"]
        if state in ("gone", "lost") and known is None:
            return None
        if known is None:
            known = Endpoint(
                name, value["service"], value["addr"], value["zone"], max(1, value["slots"]), state
            )
            self.all[name] = known
            self.services.setdefault(known.service, {})[name] = known
        if known.service != value["service"] and value["service"]:
            self.services.get(known.service, {}).pop(name, None)
            known.service = value["service"]
            self.services.setdefault(known.service, {})[name] = known
        if value["addr"]:
            known.address, known.slots = value["addr"], max(1, value["slots"])
        known.warm_at = now + value["warm_ms"] / 1000
        known.state = state
        if state == "gone":
            self._remove(known)
        if state != "ready":
            return known
        known.doubt_until = 0.0 if known.doubts == 0 else known.doubt_until
        return None

    def _remove(self, endpoint: Endpoint) -> None:
        self.all.pop(endpoint.id, None)
        self.services.get(endpoint.service, {}).pop(endpoint.id, None)

    def fixed(self, service: str, address: str | None) -> None:
        """A service that is a single endpoint at a fixed address is on no list."""
        name = f"fixed {service}"
        known = self.all.get(name)
        if known is not None and known.address != address:
            self._remove(known)
            known = None
        if address is not None and known is None:
            endpoint = Endpoint(name, service, address, self.zone, 1 << 10)
            self.all[name] = endpoint
            self.services.setdefault(service, {})[name] = endpoint

    def pick(self, service: str, now: float, not_at: str = "") -> Endpoint | None:
        """The endpoint that a call would wait least at, as far as this edge can know."""
        best: Endpoint | None = None
        least = (9e9, 0.0)
        for it in self.services.get(service, {}).values():
            # No part of the slots is set aside for other edges: clients choose theirs unevenly, and an
            # endpoint that is full says so at once.
            if not it.usable(now, it.slots):
                continue
            weight = it.out / it.slots + (FAR if it.zone != self.zone else 0.0)
            weight += 0.0 if self._idle(it.address) else FRESH
            weight += 0.3 if it.warm_at > now else 0.0
            weight += 5.0 if it.id == not_at else 0.0
            score = (weight, self.chance.random())
            if score < least:
                best, least = it, score
        return best

    def next_chance(self, service: str, now: float) -> float | None:
        """When the next endpoint that was left alone may be called again."""
        times = [it.doubt_until for it in self.services.get(service, {}).values() if it.doubt_until > now]
        return min(times, default=None)
