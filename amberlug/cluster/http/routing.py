"""The routing table of an edge node: an immutable snapshot of one configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from types import MappingProxyType

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

# Defaults of optional fields, as documented for the configuration.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 262144
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_RETENTION_S = 86400.0


@value
class Route:
    """The route of requests with one host and path prefix; durations are in seconds."""

    name: str  # identifies the route within one configuration only
    host: str  # in lower case, without a port
    prefix: str
    service: str
    expiry_s: float  # timeout of one attempt
    rank: int  # lower ranks are dispatched first
    max_attempts: int
    in_sequence: bool  # messages with the same sequence key are delivered in order
    retention_s: float  # after which an undelivered message expires


@value
class Destination:
    """A service of the configuration."""

    rate: float  # limit of attempts per second across all edge nodes; 0 means unlimited
    fixed: str | None  # static address, if the service's endpoints do not register themselves


@value
class HostRoutes:
    """The routes of one host."""

    by_prefix: Mapping[str, Route] = field(hash=False)
    prefix_lengths: tuple[int, ...]  # the distinct ones, the longest first

    def match(self, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
        for length in self.prefix_lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@value
class RoutingTable:
    """A complete configuration; `index`, its position in the Raft log, orders configurations by age.

    A request is routed by its host and path alone: a later configuration may give a route's name to another
    route.
    """

    index: int = 0
    edition: int = 0  # the operators' version number
    by_host: Mapping[str, HostRoutes] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    services: Mapping[str, Destination] = field(default_factory=lambda: MappingProxyType({}), hash=False)
    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_s: float = DEFAULT_IDLE_TIMEOUT_S

    def match(self, host: str, target: str) -> Route | None:
        """Find the route of a request: the one of its host with the longest matching path prefix.

        :param host: the `Host` header, in upper or lower case; a port is ignored.
        :param target: the request target; a query is ignored.
        """
        routes = self.by_host.get(host.partition(":")[0].lower())
        return routes.match(target.partition("?")[0]) if routes is not None else None


def _parse_route(item: Json) -> Route:
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


def _parse_destination(item: Json) -> Destination:
    return Destination(float(item.get("ratePerS", 0.0)), item.get("fixedAddress"))


def _group_by_host(routes: list[Route]) -> Mapping[str, HostRoutes]:
    """Group routes by host; of two with the same host and prefix, which is invalid, the first one counts."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
    return MappingProxyType({host: _host_routes(by_prefix) for host, by_prefix in by_host.items()})


def _host_routes(by_prefix: dict[str, Route]) -> HostRoutes:
    lengths = {len(prefix) for prefix in by_prefix}
    return HostRoutes(MappingProxyType(by_prefix), tuple(sorted(lengths, reverse=True)))


def build(index: int, config: Json) -> RoutingTable:
    """Build the routing table of a validated configuration.

    :param index: position of the configuration in the Raft log.
    :param config: the document as operators write it.
    """
    routes = [_parse_route(item) for item in config["routeTable"]]
    limits = config.get("limits", {})
    return RoutingTable(
        index=index,
        edition=config["edition"],
        by_host=_group_by_host(routes),
        services=MappingProxyType(
            {item["name"]: _parse_destination(item) for item in config["serviceTable"]}
        ),
        header_bytes=int(limits.get("maxHeaderBytes", DEFAULT_HEADER_BYTES)),
        body_bytes=int(limits.get("maxBodyBytes", DEFAULT_BODY_BYTES)),
        header_s=limits.get("headerTimerMs", DEFAULT_HEADER_TIMEOUT_S * 1000) / 1000,
        idle_s=limits.get("idleTimerMs", DEFAULT_IDLE_TIMEOUT_S * 1000) / 1000,
    )
