"""Keeps the transport's endpoint addresses in line with the current endpoint list."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from amberlug.core.listing import address
from amberlug.core.ports import Transport
from amberlug.policy import interface as api


class Places:
    """Sets an endpoint's address in the transport before its first call and removes outdated addresses."""

    def __init__(self, transport: Transport, listed: Callable[[str], api.Entry | None]) -> None:
        self._transport, self._listed = transport, listed
        self._told: dict[str, str] = {}  # addresses known to the transport

    def relocate(self, entries: Sequence[api.Entry]) -> None:
        """Close connections to endpoints that drain, are gone or have moved; calls in progress go on."""
        for entry in entries:
            where = self._told.get(entry.endpoint)
            if where is not None and (entry.state is not api.State.IN or where != entry.where):
                del self._told[entry.endpoint]
                self._transport.locate(entry.endpoint, None)

    def locate(self, endpoint: str) -> None:
        """Set an endpoint's address in the transport from the current list, before a call."""
        entry = self._listed(endpoint)
        if entry is not None and self._told.get(endpoint) != entry.where:
            self._told[endpoint] = entry.where
            where = address(entry.where) if entry.where else None
            self._transport.locate(endpoint, where, entry.kind)

    def forget_sleeping(self, awake: Collection[str]) -> None:
        """Remove the addresses of endpoints whose destinations are inactive."""
        for endpoint in [it for it in self._told if it not in awake]:
            del self._told[endpoint]
            self._transport.locate(endpoint, None)
