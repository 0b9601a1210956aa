"""Calls to endpoints over connections that are kept: the program in service's own link."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

from amberlug.http.link import Link, LinkLostError, dial
from workshop.ports import Called, Delivery, Verdict

DIAL_S = 0.7  # for a connection to come up
KEPT_MOST = 8  # idle connections kept for one endpoint
KEPT_S = 4.0  # that one is kept where the endpoint does not say
MARGIN_S = 0.4  # before the endpoint closes it
_TIMEOUT = re.compile(r"timeout=(\d+)")


class Caller:
    """Connections to endpoints, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[float, Link]]] = {}  # until when each may be used, the newest last
        self._tasks: set[asyncio.Task[None]] = set()
        self.dialled = 0

    def idle(self, address: str) -> int:
        """Connections to it that could carry a call at once."""
        return len(self._idle.get(address, ()))

    def forget(self, address: str) -> None:
        """Close its idle connections: it has gone."""
        for _, link in self._idle.pop(address, []):
            link.close()

    def sweep(self) -> None:
        """Close what the endpoint is about to close."""
        now = asyncio.get_running_loop().time()
        for address, links in list(self._idle.items()):
            kept = [(until, link) for until, link in links if until > now and link.usable]
            for pair in links:
                if pair not in kept:
                    pair[1].close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def call(self, delivery: Delivery, then: Callable[[Called], None]) -> None:
        """Call an endpoint; `then` hears once how it ended."""
        task = asyncio.get_running_loop().create_task(self._call(delivery, then))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, delivery: Delivery, then: Callable[[Called], None]) -> None:
        then(await self._try(delivery))

    def _kept(self, address: str) -> Link | None:
        now = asyncio.get_running_loop().time()
        links = self._idle.get(address, [])
        while links:
            until, link = links.pop()
            if not links:
                del self._idle[address]
            if until > now and link.usable:
                return link
            link.close()
        return None

    async def _try(self, delivery: Delivery) -> Called:
        link = self._kept(delivery.address)
        if link is None:
            host, _, port = delivery.address.rpartition(":")
            self.dialled += 1
            link = await dial(host, int(port), min(DIAL_S, delivery.seconds))
            if link is None:
                return Called(Verdict.UNREACHED)
        host_header = next((value for name, value in delivery.headers if name == "Host"), "")
        headers = [(name, value) for name, value in delivery.headers if name != "Host"]
        try:
            async with asyncio.timeout(delivery.seconds):
                reply = await link.request(
                    delivery.method, delivery.target, headers, delivery.body, host=host_header
                )
        except LinkLostError as lost:
            link.close()
            return Called(Verdict.BROKEN if lost.written or lost.answered else Verdict.UNREACHED)
        except TimeoutError:
            link.close()
            return Called(Verdict.SILENT)
        if link.usable:
            self._keep(delivery.address, link, reply.headers)
        else:
            link.close()
        return Called(Verdict.ANSWERED, reply.status, tuple(reply.headers.items()))

    def _keep(self, address: str, link: Link, headers: dict[str, str]) -> None:
        told = _TIMEOUT.search(headers.get("keep-alive", ""))
        seconds = float(told[1]) if told else KEPT_S
        links = self._idle.setdefault(address, [])
        links.append((asyncio.get_running_loop().time() + seconds - MARGIN_S, link))
        if len(links) > KEPT_MOST:
            links.pop(0)[1].close()
