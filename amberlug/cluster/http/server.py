"""An HTTP/1.1 server: the connections of one listening address on one event loop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from amberlug.cluster.http.connection import NEVER, HttpConnection, Phase, RequestHandler
from amberlug.cluster.http.parser import Limits

ACCEPT_BACKLOG = 512  # when a node fails, its clients reconnect to the others simultaneously
MAX_SWEEP_INTERVAL_S = 0.25  # between checks for connections whose deadline has passed
SWEEPS_PER_TIMEOUT = 4  # a deadline is exceeded by at most a quarter of its timeout
AGE_JITTER = (0.7, 1.3)  # factors, so that connections opened together do not expire together


class Server:
    """The connections of one listening address.

    :param handle: called with each request and the callback that sends its response.
    :param limits: called at each sweep to read the current limits.
    :param max_connection_age_s: age after which a connection is closed with its next response.
    """

    def __init__(
        self, handle: RequestHandler, limits: Callable[[], Limits], max_connection_age_s: float = NEVER
    ) -> None:
        self.handle, self._read_limits = handle, limits
        self._max_connection_age_s = max_connection_age_s
        self.limits = limits()
        self.time: Callable[[], float] = lambda: 0.0  # the event loop's clock once it listens
        self.is_draining = False
        self.accepted_connections = 0
        self.open_requests = 0  # not responded to yet, including those whose client has disconnected
        self._connections: set[HttpConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections.

        :raises OSError: if the server cannot listen on the address.
        """
        loop = asyncio.get_running_loop()
        self.time = loop.time
        self._listener = await loop.create_server(
            lambda: HttpConnection(self), host, port, backlog=ACCEPT_BACKLOG, reuse_address=True
        )
        self._sweep()

    @property
    def port(self) -> int:
        """The listening port; 0 if the server is not listening."""
        sockets = self._listener.sockets if self._listener is not None else ()
        return int(sockets[0].getsockname()[1]) if sockets else 0

    def drain(self) -> None:
        """Close idle connections, and every other one after its next response."""
        self.is_draining = True
        for connection in [it for it in self._connections if it.phase == Phase.IDLE]:
            if connection.has_responded:
                connection.close()
            else:  # a new client's first request may be in transit
                connection.deadline = min(connection.deadline, self.time() + MAX_SWEEP_INTERVAL_S)

    def stop(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def abort(self) -> None:
        """Close all connections immediately."""
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: HttpConnection) -> None:
        """Register a new connection."""
        self.accepted_connections += 1
        self._connections.add(connection)
        now = self.time()
        connection.deadline = now + (self.limits.header_s if self.is_draining else self.limits.idle_s)
        connection.retire_at = now + self._max_connection_age_s * random.uniform(*AGE_JITTER)

    def remove(self, connection: HttpConnection) -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        """Close connections whose deadline has passed, or whose client left while reading was paused."""
        if self._listener is not None or self._connections:
            shortest_timeout_s = min(self.limits.header_s, self.limits.idle_s)
            pause_s = min(MAX_SWEEP_INTERVAL_S, shortest_timeout_s / SWEEPS_PER_TIMEOUT)
            asyncio.get_running_loop().call_later(pause_s, self._sweep)
        now = self.time()
        for connection in list(self._connections):
            if connection.deadline <= now:
                connection.expire()
            elif connection.is_reading_paused and connection.has_peer_closed():
                connection.abort()
        self.limits = self._read_limits()
