"""Mutations of how the owner of a message finds its route."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.edge.delivery import MessageDelivery


def _route_by_name() -> AbstractContextManager[Any]:
    """A message follows the name of the route that accepted it, whichever path that name belongs to now."""
    assign_route = MessageDelivery._assign_route

    def by_name(self: MessageDelivery, message: Message) -> bool:
        """Replace the route of a message by the one that has the accepting route's name."""
        service_before = message.service
        assign_route(self, message)
        for routes in self._context.routes.by_host.values():
            for route in routes.by_prefix.values():
                if route.name == message.accepted_route:
                    message.route = route
        return message.service not in ("", service_before)

    return patch.object(MessageDelivery, "_assign_route", by_name)


# By name: the mutation, and the scenario family in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "route-by-name": (_route_by_name, "routes"),
}
