"""Calls to endpoints over connections that are kept: the program in service's own link."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.http.link import Link, LinkLostError, Reply, dial

DIAL_S = 0.7  # for a connection to come up
KEPT_MOST = 8  # idle connections kept for one endpoint
KEPT_S = 4.0  # that one is kept where the endpoint does not say
MARGIN_S = 0.4  # before the endpoint closes it
OPEN_MOST = 64  # attempts that one connection has answered and that may come again: then it is closed
_TIMEOUT = re.compile(r"timeout=(\d+)")


@dataclass(slots=True, eq=False)
class _Connection:
    """One that was dialled; it carries one call at a time."""

    link: Link
    until: float = 0.0  # it may be used
    # Attempts that were answered here without success. A second copy of such an answer may still come, and
    # would pass for the answer to the next call of the same attempt: that call takes another connection.
    answered: set[str] = field(default_factory=set)


class EndpointClient:
    """Connections to endpoints, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = {}  # the newest last
        self._tasks: set[asyncio.Task[None]] = set()
        self.dialled = 0

    def idle(self, address: str) -> int:
        """Connections to it that could carry a call at once."""
        return len(self._idle.get(address, ()))

    def forget(self, address: str) -> None:
        """Close its idle connections: it has gone."""
        for it in self._idle.pop(address, []):
            it.link.close()

    def sweep(self) -> None:
        """Close what the endpoint is about to close."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            kept = [it for it in idle if it.until > now and it.link.usable]
            for it in idle:
                if it not in kept:
                    it.link.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None:
        """Call an endpoint; `then` hears once how it ended."""
        task = asyncio.get_running_loop().create_task(self._call(delivery, then))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None:
        then(await self._try(delivery))

    def _kept(self, address: str, attempt: str) -> _Connection | None:
        """Take out the newest connection that may carry a call of this attempt."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.pop(address, [])
        passed: list[_Connection] = []
        found = None
        while idle and found is None:
            it = idle.pop()
            if not (it.until > now and it.link.usable):
                it.link.close()
            elif attempt in it.answered:
                passed.insert(0, it)
            else:
                found = it
        if idle or passed:
            self._idle[address] = idle + passed
        return found

    async def _try(self, delivery: EndpointCall) -> CallResult:
        connection = self._kept(delivery.address, delivery.attempt)
        if connection is None:
            host, _, port = delivery.address.rpartition(":")
            self.dialled += 1
            dialled = await dial(host, int(port), min(DIAL_S, delivery.seconds))
            if dialled is None:
                return CallResult(CallVerdict.NOT_CONNECTED)
            connection = _Connection(dialled)
        link = connection.link
        host_header = next((value for name, value in delivery.headers if name == "Host"), "")
        headers = [(name, value) for name, value in delivery.headers if name != "Host"]
        waiter = link.request(delivery.method, delivery.target, headers, delivery.body, host=host_header)
        try:
            async with asyncio.timeout(delivery.seconds):
                reply = await waiter
        except LinkLostError as lost:
            link.close()
            return CallResult(
                CallVerdict.CONNECTION_LOST if lost.written or lost.answered else CallVerdict.NOT_CONNECTED
            )
        except TimeoutError:
            read = self._read_by_now(waiter)
            if read is None:
                link.close()
                return CallResult(CallVerdict.TIMED_OUT)
            reply = read
        if not self._is_to(delivery, reply):
            # It belongs to another call, or to none. The one to this call may follow: no other must get it.
            link.close()
            return CallResult(CallVerdict.CONNECTION_LOST)
        if not reply.headers.get("amberlug-server-seal"):
            connection.answered.add(delivery.attempt)
        if link.usable and len(connection.answered) < OPEN_MOST:
            self._keep(delivery.address, connection, reply.headers)
        else:
            link.close()
        return CallResult(CallVerdict.ANSWERED, reply.status, tuple(reply.headers.items()))

    @staticmethod
    def _read_by_now(waiter: asyncio.Future[Reply]) -> Reply | None:
        """An answer that a process which was held up has read in the same go as its time ran out."""
        whole = waiter.done() and not waiter.cancelled() and waiter.exception() is None
        return waiter.result() if whole else None

    @staticmethod
    def _is_to(delivery: EndpointCall, reply: Reply) -> bool:
        """Whether an answer is to this call: by the attempt that it names, not by its place."""
        return reply.headers.get("amberlug-attempt-id") == delivery.attempt

    def _keep(self, address: str, connection: _Connection, headers: dict[str, str]) -> None:
        told = _TIMEOUT.search(headers.get("keep-alive", ""))
        seconds = float(told[1]) if told else KEPT_S
        connection.until = asyncio.get_running_loop().time() + seconds - MARGIN_S
        idle = self._idle.setdefault(address, [])
        idle.append(connection)
        if len(idle) > KEPT_MOST:
            idle.pop(0).link.close()
