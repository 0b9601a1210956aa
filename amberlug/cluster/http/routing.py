"""The routing table of an edge node: an immutable snapshot of one configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from types import MappingProxyType

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

# What the configuration's page gives where a field is missing.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 262144
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_RETENTION_S = 86400.0


@value
class Route:
    """Where requests of one host and path prefix go. Durations are in seconds, as their names say."""

    name: str
    host: str  # in small letters, without a port
    prefix: str
    service: str
    expiry_s: float  # of one attempt
    rank: int  # lower ones are dispatched first
    max_attempts: int
    in_sequence: bool  # messages of one sequence key are delivered in order
    retention_s: float  # after which an undelivered message expires


@value
class Destination:
    """One service of the configuration."""

    rate: float  # attempts a second over all edge nodes; 0 for no limit
    fixed: str | None  # address of a service whose endpoints do not register


@value
class RoutingTable:
    """One configuration, complete; `index` is its position in the Raft log, by which newer ones are known."""

    index: int = 0
    edition: int = 0  # the operators' version number
    by_host: Mapping[str, tuple[Route, ...]] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    by_name: Mapping[str, Route] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    services: Mapping[str, Destination] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_s: float = DEFAULT_IDLE_TIMEOUT_S

    def match(self, host: str, path: str) -> Route | None:
        """The route of a host whose prefix is the longest that the path begins with.

        :param host: without its port, in any case.
        """
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _route(item: Json) -> Route:
    return Route(
        name=item["name"],
        host=item["authority"].lower(),
        prefix=item["pathPrefix"],
        service=item["targetService"],
        expiry_s=item["expiryMs"] / 1000,
        rank=item.get("precedence", 0),
        max_attempts=item.get("maxAttempts", 1),
        in_sequence=item.get("inSequence", False),
        retention_s=item.get("retentionS", DEFAULT_RETENTION_S),
    )


def _destination(item: Json) -> Destination:
    return Destination(float(item.get("ratePerS", 0.0)), item.get("fixedAddress"))


def _by_host(routes: list[Route]) -> Mapping[str, tuple[Route, ...]]:
    """Routes by host, those with the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda it: -len(it.prefix)):
        by_host.setdefault(route.host, []).append(route)
    return MappingProxyType({host: tuple(found) for host, found in by_host.items()})


def build(index: int, config: Json) -> RoutingTable:
    """Make the routing table of a configuration that was validated, in the form of the configuration page.

    :param index: position of the configuration in the Raft log.
    """
    routes = [_route(item) for item in config["routeTable"]]
    limits = config.get("limits", {})
    return RoutingTable(
        index=index,
        edition=config["edition"],
        by_host=_by_host(routes),
        by_name=MappingProxyType({route.name: route for route in routes}),
        services=MappingProxyType({item["name"]: _destination(item) for item in config["serviceTable"]}),
        header_bytes=int(limits.get("maxHeaderBytes", DEFAULT_HEADER_BYTES)),
        body_bytes=int(limits.get("maxBodyBytes", DEFAULT_BODY_BYTES)),
        header_s=limits.get("headerTimerMs", DEFAULT_HEADER_TIMEOUT_S * 1000) / 1000,
        idle_s=limits.get("idleTimerMs", DEFAULT_IDLE_TIMEOUT_S * 1000) / 1000,
    )
