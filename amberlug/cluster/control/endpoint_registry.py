"""Registry of endpoints: their announcements, heartbeat timeouts and departures. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.control.published_state import (
    ENDPOINT_KEY_PREFIX,
    EndpointCondition,
    PublishedEndpoint,
    condition_of,
    with_condition,
)
from amberlug.cluster.control.state_entries import DepartureRank, EndpointRank
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Json, Runtime
from amberlug.cluster.values import value

TIMEOUT_HEARTBEATS = 3.2  # heartbeat intervals without a heartbeat after which an endpoint gets no more calls
MAX_ANNOUNCEMENT_BYTES = 4096
CONDITION_BY_RANK = (EndpointCondition.READY, EndpointCondition.DRAINING, EndpointCondition.GONE)

_NAME = t.String(min_length=1, max_length=256)
_ANNOUNCEMENT = t.Dict(
    {
        t.Key("targetService"): _NAME,
        t.Key("address"): _NAME & t.Regexp(r"^[0-9.]+:\d{1,5}$"),
        t.Key("zone", default=""): t.String(allow_blank=True),
        t.Key("edition", default=""): t.String(allow_blank=True) | t.Int() | t.Float(),
        t.Key("capacity", default=1): t.Int(gte=0),
        t.Key("condition", default=EndpointCondition.READY): t.Enum(
            EndpointCondition.READY, EndpointCondition.DRAINING
        ),
        t.Key("warmupLeftMs", default=0): t.Int(gte=0) | t.Float(gte=0),
        t.Key("sequence"): t.Int(gte=0),
    },
    ignore_extra="*",
)


@value
class EndpointAnnouncement:
    """An announcement that an endpoint makes of itself.

    :param version: the endpoint's own version, as it reports it.
    :param capacity: maximum number of concurrent calls.
    :param sequence: the endpoint's sequence number of this announcement; it never decreases.
    """

    service: str
    address: str
    zone: str
    version: str | int | float
    capacity: int
    condition: str
    warmup_left_ms: float
    sequence: int

    @property
    def is_ready(self) -> bool:
        """Whether it accepts calls, rather than leaving."""
        return self.condition == EndpointCondition.READY

    def published(self, condition: str) -> PublishedEndpoint:
        """Return the published entry of the endpoint in the given condition."""
        return PublishedEndpoint(
            self.service,
            self.address,
            self.zone,
            self.capacity,
            self.version,
            self.warmup_left_ms,
            condition,
        )


# Placeholder for an endpoint of which only the departure is known.
_UNKNOWN = EndpointAnnouncement("", "", "", "", 0, "", 0, 0)


@value
class KnownEndpoint:
    """The newest gossip entry of an endpoint.

    :param body: the entry as published; it may contain fields of other versions.
    """

    rank: int
    sequence: int
    body: Json

    @property
    def is_ready(self) -> bool:
        """Whether it accepts calls: it is neither leaving nor timed out."""
        return self.rank == EndpointRank.READY and condition_of(self.body) == EndpointCondition.READY

    def has_same_service(self, announcement: EndpointAnnouncement) -> bool:
        """Whether service, address and capacity match those of an announcement."""
        published = PublishedEndpoint.from_wire(self.body)
        return (published.service, published.address, published.capacity) == (
            announcement.service,
            announcement.address,
            announcement.capacity,
        )


def read_announcement(body: object) -> Result[EndpointAnnouncement, str]:
    """Validate the JSON of an announcement.

    :returns: the announcement, or its errors by field.
    """
    try:
        checked = _ANNOUNCEMENT.check(body)
    except t.DataError as error:
        errors = error.as_dict()
        if isinstance(errors, dict):
            return Err("; ".join(f"{field}: {cause}" for field, cause in errors.items()))
        return Err(str(errors))
    return Ok(
        EndpointAnnouncement(
            checked["targetService"],
            checked["address"],
            checked["zone"],
            checked["edition"],
            checked["capacity"],
            checked["condition"],
            checked["warmupLeftMs"],
            checked["sequence"],
        )
    )


class EndpointRegistry:
    """The endpoints that one control-plane node knows; gossip distributes their entries to all nodes.

    :ivar timeout_s: seconds without a heartbeat after which an endpoint has timed out.
    :ivar last_heartbeat_s: time of each endpoint's last heartbeat, at this or another control-plane node.
    :ivar unreported_heartbeats: endpoints whose heartbeats arrived here since the last report to the others.
    """

    def __init__(self, runtime: Runtime, gossip: GossipStore, heartbeat_interval_s: float) -> None:
        self.runtime, self.gossip = runtime, gossip
        self.timeout_s = TIMEOUT_HEARTBEATS * heartbeat_interval_s
        self.last_heartbeat_s: dict[str, float] = {}
        self.unreported_heartbeats: set[str] = set()

    def find(self, name: str) -> KnownEndpoint | None:
        """Return the newest entry of an endpoint; None if it is unknown."""
        item = self.gossip.items.get(ENDPOINT_KEY_PREFIX + name)
        if item is None:
            return None
        (rank, sequence, _), body = item
        return KnownEndpoint(rank, sequence, body)

    def receive_heartbeat(self, name: str, announcement: EndpointAnnouncement) -> None:
        """Record the heartbeat of a ready endpoint, and publish its entry if that changes.

        The entry is not changed if the announcement is out of date or the endpoint is already leaving.
        """
        self.last_heartbeat_s[name] = self.runtime.now()
        self.unreported_heartbeats.add(name)
        endpoint = self.find(name)
        if endpoint is not None:
            if endpoint.rank != EndpointRank.READY or announcement.sequence < endpoint.sequence:
                return
            if endpoint.is_ready and endpoint.has_same_service(announcement):
                return
        version = [EndpointRank.READY, announcement.sequence, 0]
        published = announcement.published(EndpointCondition.READY)
        self.gossip.offer(ENDPOINT_KEY_PREFIX + name, version, published.to_wire())

    def depart(
        self, name: str, departure: DepartureRank, announcement: EndpointAnnouncement | None = None
    ) -> None:
        """Publish to all nodes that an endpoint is leaving or has left; this is irreversible."""
        endpoint, condition = self.find(name), CONDITION_BY_RANK[departure.rank]
        if endpoint is not None:
            body = with_condition(endpoint.body, condition)
        else:
            body = (announcement or _UNKNOWN).published(condition).to_wire()
        self.last_heartbeat_s.pop(name, None)
        self.gossip.offer(ENDPOINT_KEY_PREFIX + name, [departure.rank, departure.sequence, 0], body)

    def apply_departure(self, name: str, departure: DepartureRank) -> None:
        """Publish a replicated departure, unless one at least as new is already known."""
        endpoint = self.find(name)
        if endpoint is None or (endpoint.rank, endpoint.sequence) < departure:
            self.depart(name, departure)

    def receive_report(self, names: Iterable[str]) -> None:
        """Record the heartbeats that another control-plane node has received."""
        now_s = self.runtime.now()
        for name in names:
            self.last_heartbeat_s[name] = now_s

    def restart_timeouts(self) -> None:
        """Restart all timeouts, since this node was out of contact and may have missed heartbeats."""
        self.receive_report(list(self.last_heartbeat_s))

    def pop_unreported_heartbeats(self) -> Sequence[str]:
        """Return the names of the endpoints whose heartbeats arrived here since the last call, sorted."""
        names, self.unreported_heartbeats = sorted(self.unreported_heartbeats), set()
        return names

    def expire(self, on_timeout: Callable[[str], None]) -> None:
        """Publish to all nodes which endpoints have timed out."""
        now_s = self.runtime.now()
        for key in [key for key in self.gossip.items if key.startswith(ENDPOINT_KEY_PREFIX)]:
            name = key.removeprefix(ENDPOINT_KEY_PREFIX)
            endpoint = self.find(name)
            if endpoint is None or not endpoint.is_ready:
                continue
            if now_s - self.last_heartbeat_s.setdefault(name, now_s) > self.timeout_s:
                version = [EndpointRank.READY, endpoint.sequence, 1]
                self.gossip.offer(key, version, with_condition(endpoint.body, EndpointCondition.LOST))
                on_timeout(name)
