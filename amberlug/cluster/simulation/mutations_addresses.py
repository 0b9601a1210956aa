"""Mutations of which endpoints of a service are called, and how they are named."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.dispatch.dispatcher import Dispatcher
from amberlug.cluster.dispatch.endpoint_pool import Endpoint, EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Headers

INSTANCE_HEADER = "Amberlug-Target-Instance"


@contextmanager
def _listed_beside_fixed() -> Iterator[None]:
    """Announced endpoints of a service with a configured address are called too, without their names."""
    endpoints_of, headers_of = EndpointPool._endpoints_of, Dispatcher._headers

    def all_of(self: EndpointPool, service: str) -> Iterable[Endpoint]:
        """Return the endpoint at the configured address and the announced ones."""
        announced = self._by_service.get(service, {}).values()
        return [*announced, *(it for it in endpoints_of(self, service) if it.is_fixed)]

    def unnamed(self: Dispatcher, message: Message, endpoint: Endpoint, timeout_s: float) -> Headers:
        """Leave the name of the endpoint out of all calls of a service that has a configured address."""
        headers = headers_of(self, message, endpoint, timeout_s)
        is_fixed = any(it.is_fixed for it in endpoints_of(self._pool, self.name))
        return tuple(header for header in headers if not is_fixed or header[0] != INSTANCE_HEADER)

    with patch.object(EndpointPool, "_endpoints_of", all_of), patch.object(Dispatcher, "_headers", unnamed):
        yield


# By name: the mutation, and the scenario family in which it is looked for.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "listed-beside-fixed": (_listed_beside_fixed, "addresses"),
}
