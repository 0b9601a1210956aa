"""Calls endpoints over pooled connections, using the HTTP client connection of `amberlug.http`."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from amberlug.cluster.dispatch.call_outcome import ATTEMPT_HEADER, SEAL_HEADER
from amberlug.cluster.interfaces import CONNECT_TIMEOUT_S, CallResult, CallVerdict, EndpointCall
from amberlug.http.link import ConnectionLostError, OutgoingConnection, Reply, dial

MAX_IDLE_PER_ENDPOINT = 8
IDLE_TIMEOUT_S = 4.0  # if the endpoint names none; below the common server default of 5 s
IDLE_MARGIN_S = 0.4  # closed this long before the endpoint does, to avoid racing with its close
MAX_UNSUCCESSFUL_ATTEMPTS = 64  # unsuccessful attempts remembered per connection; bounds the memory
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


@dataclass(slots=True, eq=False)
class _Connection:
    """A connection to an endpoint; it carries one call at a time."""

    link: OutgoingConnection
    usable_until: float = 0.0  # by the event loop's clock
    # Attempts that got an unsuccessful response on this connection. A duplicate of that response could still
    # arrive and be mistaken for the response to a retry of the attempt, so retries use another connection.
    unsuccessful_attempts: set[str] = field(default_factory=set)


class EndpointClient:
    """An HTTP client for endpoints, with a pool of idle connections per address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = {}  # by address, the newest last
        self._tasks: set[asyncio.Task[None]] = set()  # the event loop holds only weak references to its tasks

    def available_connections(self, address: str) -> int:
        """The number of idle connections to an address; each carries one call at a time."""
        return len(self._idle.get(address, ()))

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for connection in self._idle.pop(address, []):
            connection.link.close()

    def sweep(self) -> None:
        """Close idle connections that are closed or about to be closed by their endpoint."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            usable = [
                connection for connection in idle if connection.usable_until > now and connection.link.usable
            ]
            for connection in idle:
                if connection not in usable:
                    connection.link.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        """Call an endpoint.

        :param on_result: called once with the result.
        """
        task = asyncio.get_running_loop().create_task(self._call(call, on_result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        on_result(await self._try(call))

    async def _try(self, call: EndpointCall) -> CallResult:
        connection = self._pop_idle(call.address, call.attempt_id) or await self._connect(call)
        if connection is None:
            return CallResult(CallVerdict.NOT_CONNECTED)
        response = await self._exchange(connection.link, call)
        if isinstance(response, CallVerdict):
            connection.link.close()
            return CallResult(response)
        if not self.is_response_to(call, response):
            # The response belongs to another call or to none. This call's response may still arrive, so the
            # connection must not be reused.
            connection.link.close()
            return CallResult(CallVerdict.CONNECTION_LOST)
        if not response.headers.get(SEAL_HEADER):
            connection.unsuccessful_attempts.add(call.attempt_id)
        self._release(call.address, connection, response.headers)
        return CallResult(CallVerdict.ANSWERED, response.status, tuple(response.headers.items()))

    def _pop_idle(self, address: str, attempt: str) -> _Connection | None:
        """Remove and return the newest idle connection that may carry a call of this attempt."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.pop(address, [])
        passed_over: list[_Connection] = []
        selected = None
        while idle and selected is None:
            connection = idle.pop()
            if not (connection.usable_until > now and connection.link.usable):
                connection.link.close()
            elif attempt in connection.unsuccessful_attempts:
                passed_over.insert(0, connection)
            else:
                selected = connection
        if idle or passed_over:
            self._idle[address] = idle + passed_over
        return selected

    @staticmethod
    async def _connect(call: EndpointCall) -> _Connection | None:
        host, _, port = call.address.rpartition(":")
        link = await dial(host, int(port), min(CONNECT_TIMEOUT_S, call.timeout_s))
        return _Connection(link) if link is not None else None

    async def _exchange(self, link: OutgoingConnection, call: EndpointCall) -> Reply | CallVerdict:
        """Send a call; return the response, or the verdict if there is none."""
        host = next((value for name, value in call.headers if name == "Host"), "")
        headers = [(name, value) for name, value in call.headers if name != "Host"]
        waiter = link.request(call.method, call.target, headers, call.body, host=host)
        try:
            async with asyncio.timeout(call.timeout_s):
                return await waiter
        except ConnectionLostError as lost:
            was_sent = lost.written or lost.answered
            return CallVerdict.CONNECTION_LOST if was_sent else CallVerdict.NOT_CONNECTED
        except TimeoutError:
            return self._completed_response(waiter) or CallVerdict.TIMED_OUT

    @staticmethod
    def _completed_response(waiter: asyncio.Future[Reply]) -> Reply | None:
        """The response if a stalled process read it in the same event loop iteration as the timeout."""
        is_complete = waiter.done() and not waiter.cancelled() and waiter.exception() is None
        return waiter.result() if is_complete else None

    @staticmethod
    def is_response_to(call: EndpointCall, response: Reply) -> bool:
        """Whether a response belongs to this call, judged by its attempt id rather than by its order."""
        return response.headers.get(ATTEMPT_HEADER) == call.attempt_id

    def _release(self, address: str, connection: _Connection, headers: dict[str, str]) -> None:
        """Return a connection to the pool, or close it if it can carry no further call."""
        if not connection.link.usable or len(connection.unsuccessful_attempts) >= MAX_UNSUCCESSFUL_ATTEMPTS:
            connection.link.close()
            return
        keep_alive = _KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        timeout_s = float(keep_alive[1]) if keep_alive else IDLE_TIMEOUT_S
        connection.usable_until = asyncio.get_running_loop().time() + timeout_s - IDLE_MARGIN_S
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            idle.pop(0).link.close()
