"""The per-service dispatchers of an edge node, and its share of the rate limits. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from amberlug.cluster.control.published_state import EndpointCondition, PublishedEndpoint
from amberlug.cluster.dispatch.dispatcher import DispatchCallbacks, Dispatcher, longest_call_s
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.interfaces import CallResult, Endpoints

# Delay before a larger share is used; by then the other edge nodes have reduced theirs.
RATE_INCREASE_DELAY_S = 1.0
FIRST_SHARE_DIVISOR = 4  # a node that had no share uses this part of its new one during the delay
MIN_RATE_SHARE = 0.01  # for a node without shards, whose earlier calls may still need a retry
UNROUTED_CALL_TIMEOUT_S = 1.0  # for a message whose route was removed since it became due


class ServiceDispatchers:
    """One dispatcher per service, sharing a pool of endpoints."""

    def __init__(
        self,
        context: EdgeContext,
        shard_owner: ShardOwner,
        endpoints: Endpoints,
        on_call_finished: Callable[[Message, CallResult], None],
    ) -> None:
        self._context, self._shard_owner, self._endpoints = context, shard_owner, endpoints
        self._on_call_finished = on_call_finished
        self._pool = EndpointPool(context.settings.zone, context.runtime.rng, endpoints.available_connections)
        self.by_service: dict[str, Dispatcher] = {}
        self._rate_share = 0.0
        self._increase_scheduled = False

    @property
    def has_calls(self) -> bool:
        """Whether a call to an endpoint is in flight."""
        return any(dispatcher.calls for dispatcher in self.by_service.values())

    def longest_call_s(self, message: Message) -> float:
        """The longest time for which a call of a message runs, in seconds."""
        return longest_call_s(self._call_timeout_s(message))

    def dispatch(self, service: str, message: Message) -> None:
        """Queue a due message at the dispatcher of a service."""
        self._dispatcher(service).add(message)

    def update_endpoint(self, endpoint_id: str, published: PublishedEndpoint) -> None:
        """Apply the published state of an endpoint, and dispatch messages that waited for it."""
        unusable = self._pool.update(endpoint_id, published, self._context.runtime.now())
        if unusable is not None and unusable.condition == EndpointCondition.GONE:
            self._endpoints.close_idle_connections(unusable.address)
        dispatcher = self.by_service.get(published.service)
        if dispatcher is not None:
            dispatcher.send_due()

    def apply_routes(self) -> None:
        """Create the dispatchers of all services in the routing table, and set their fixed endpoints."""
        services = self._context.routes.services
        self._pool.update_fixed(
            {
                name: destination.fixed
                for name, destination in services.items()
                if destination.fixed is not None
            }
        )
        for name in services:
            self._dispatcher(name)

    def apply_rate_limits(self) -> None:
        """Apply the rate limits of a new configuration, and dispatch what they allow."""
        self._rate_share = 0.0
        self.update_rate_share()
        for dispatcher in self.by_service.values():
            dispatcher.send_due()

    def update_rate_share(self) -> None:
        """Adjust this node's share of the rate limits to the number of edge nodes that own shards.

        Invariant: the shares used by all edge nodes add up to at most one. A smaller share takes effect
        immediately, a larger one only after the others have received the new assignment and reduced theirs.
        """
        share = self._assigned_share()
        if share > self._rate_share and not self._increase_scheduled:
            self._increase_scheduled = True
            self._context.runtime.call_later(RATE_INCREASE_DELAY_S, self._increase_rate_share)
        if self._rate_share:
            self._set_rate_share(min(share, self._rate_share))
        else:
            self._set_rate_share(share / FIRST_SHARE_DIVISOR)

    def _assigned_share(self) -> float:
        return 1 / self._shard_owner.owner_count if self._shard_owner.owned else 0.0

    def _increase_rate_share(self) -> None:
        self._increase_scheduled = False
        self._set_rate_share(self._assigned_share())

    def _set_rate_share(self, share: float) -> None:
        self._rate_share = share
        for name, destination in self._context.routes.services.items():
            if name in self.by_service:
                self.by_service[name].set_rate(destination.rate, share or MIN_RATE_SHARE)

    def _dispatcher(self, service: str) -> Dispatcher:
        dispatcher = self.by_service.get(service)
        if dispatcher is None:
            dispatcher = self.by_service[service] = Dispatcher(
                service,
                self._context.runtime,
                self._pool,
                self._endpoints,
                DispatchCallbacks(self._call_timeout_s, self._on_call_finished),
            )
        return dispatcher

    def _call_timeout_s(self, message: Message) -> float:
        return message.route.expiry_s if message.route is not None else UNROUTED_CALL_TIMEOUT_S
