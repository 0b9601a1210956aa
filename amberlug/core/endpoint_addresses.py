"""Keeps the transport's endpoint addresses in line with the current endpoint list."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from amberlug.core.endpoint_list import parse_address
from amberlug.core.ports import Transport
from amberlug.policy import interface as api


class EndpointAddresses:
    """Sets an endpoint's address in the transport before its first call and removes outdated addresses."""

    def __init__(self, transport: Transport, find_entry: Callable[[str], api.Entry | None]) -> None:
        self._transport, self._find_entry = transport, find_entry
        self._known_addresses: dict[str, str] = {}  # addresses set in the transport, by endpoint

    def remove_outdated(self, entries: Sequence[api.Entry]) -> None:
        """Close connections to endpoints that drain, are gone or have moved; calls in progress go on."""
        for entry in entries:
            known = self._known_addresses.get(entry.endpoint)
            if known is not None and (entry.state is not api.State.IN or known != entry.where):
                del self._known_addresses[entry.endpoint]
                self._transport.locate(entry.endpoint, None)

    def locate(self, endpoint: str) -> None:
        """Set an endpoint's address in the transport from the current list, before a call."""
        entry = self._find_entry(endpoint)
        if entry is not None and self._known_addresses.get(endpoint) != entry.where:
            self._known_addresses[endpoint] = entry.where
            parsed = parse_address(entry.where) if entry.where else None
            self._transport.locate(endpoint, parsed, entry.kind)

    def remove_inactive(self, awake: Collection[str]) -> None:
        """Remove the addresses of endpoints whose destinations are inactive."""
        for endpoint in [it for it in self._known_addresses if it not in awake]:
            del self._known_addresses[endpoint]
            self._transport.locate(endpoint, None)
