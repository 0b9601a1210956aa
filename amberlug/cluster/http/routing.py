"""A configuration as an edge uses it: an immutable snapshot that is swapped whole."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from amberlug.cluster.interfaces import Json


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: str
    service: str
    expiry_s: float
    target_s: float
    start_target_s: float
    rank: int
    max_attempts: int
    in_sequence: bool
    retention_s: float


@dataclass(frozen=True, slots=True)
class Destination:
    """One service of the configuration."""

    name: str
    rate: float
    dedup: bool
    max_connections: int
    fixed: str | None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """A whole configuration; `index` is its place in the log, by which newer ones are known."""

    index: int = 0
    edition: int = 0
    by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    by_name: Mapping[str, Route] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    services: Mapping[str, Destination] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0

    def match(self, host: str, path: str) -> Route | None:
        """The route of a host (without its port) whose prefix is the longest that the path begins with."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def build(index: int, config: Json) -> RoutingTable:
    """Make the snapshot of a configuration that was checked."""
    routes = [
        Route(
            it["name"],
            it["authority"].lower(),
            it["pathPrefix"],
            it["routeType"],
            it["targetService"],
            it["expiryMs"] / 1000,
            it.get("targetMs", 1000) / 1000,
            it.get("startTargetMs", 1000) / 1000,
            it.get("precedence", 0),
            it.get("maxAttempts", 1),
            it.get("inSequence", False),
            it.get("retentionS", 86400.0),
        )
        for it in config["routeTable"]
    ]
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda it: -len(it.prefix)):
        by_host.setdefault(route.host, []).append(route)
    limits = config.get("limits", {})
    return RoutingTable(
        index,
        config["edition"],
        MappingProxyType({host: tuple(found) for host, found in by_host.items()}),
        MappingProxyType({it.name: it for it in routes}),
        MappingProxyType(
            {
                it["name"]: Destination(
                    it["name"],
                    float(it.get("ratePerS", 0.0)),
                    it.get("dedupCapable", False),
                    it.get("maxConnections", 1 << 16),
                    it.get("fixedAddress"),
                )
                for it in config["serviceTable"]
            }
        ),
        int(limits.get("maxHeaderBytes", 16384)),
        int(limits.get("maxBodyBytes", 262144)),
        limits.get("headerTimerMs", 3000) / 1000,
        limits.get("idleTimerMs", 15000) / 1000,
    )
