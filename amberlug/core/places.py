"""Where endpoints are: what the transport was told of it, by the newest list."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from amberlug.core.listing import address
from amberlug.core.ports import Transport
from amberlug.policy import interface as api


class Places:
    """Tells the transport of an endpoint before the first call, and of what drains, is gone or has moved."""

    def __init__(self, transport: Transport, listed: Callable[[str], api.Entry | None]) -> None:
        self._transport, self._listed = transport, listed
        self._told: dict[str, str] = {}  # addresses that the transport was told

    def relocate(self, entries: Sequence[api.Entry]) -> None:
        """Have connections closed to what drains, is gone or has moved; calls that are out keep theirs."""
        for entry in entries:
            where = self._told.get(entry.endpoint)
            if where is not None and (entry.state is not api.State.IN or where != entry.where):
                del self._told[entry.endpoint]
                self._transport.locate(entry.endpoint, None)

    def locate(self, endpoint: str) -> None:
        """Tell the transport where an endpoint is by the newest list, before a call goes there."""
        entry = self._listed(endpoint)
        if entry is not None and self._told.get(endpoint) != entry.where:
            self._told[endpoint] = entry.where
            where = address(entry.where) if entry.where else None
            self._transport.locate(endpoint, where, entry.kind)

    def forget_sleeping(self, awake: Collection[str]) -> None:
        """Forget where endpoints are whose destinations sleep."""
        for endpoint in [it for it in self._told if it not in awake]:
            del self._told[endpoint]
            self._transport.locate(endpoint, None)
