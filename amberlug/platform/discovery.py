"""Follows the list of endpoints at the platform's discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterator

from amberlug.core.listing import read_line
from amberlug.core.log import log
from amberlug.core.ports import Address, News
from amberlug.core.slices import Slices
from amberlug.http.link import Link, dial
from amberlug.platform.pauses import Pauses

SILENCE = 5.0  # seconds without a line, which come every 2 s, after which the watch is renewed
DIAL = 1.0  # seconds for a connection
LINE_MOST = 1 << 24  # longest line that is read, 100,000 members: bounds memory against a broken peer


class Watch:
    """Follows the list; a connection that breaks, goes silent or sends what can't be read is renewed.

    `told` makes the work of news, which is done in slices; `revision` is that of the list told before.
    """

    def __init__(
        self,
        where: Address,
        kinds: Collection[str],
        revision: int,
        told: Callable[[News], Iterator[None]],
        pauses: Pauses,
    ) -> None:
        self._where, self._kinds, self._told, self._pauses = where, kinds, told, pauses
        self._slices = Slices(self._broken)
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._revision = revision
        self._rest = bytearray()
        self._searched = self._unread = 0  # bytes of the rest without a line's end; of lines still to be read
        self._heard = 0.0

    def start(self) -> None:
        """Begin, in a large fleet a drawn while later: all of it may have been started at once."""
        self._begin(self._pauses.start())

    def _begin(self, after: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(after))

    def stop(self) -> None:
        """End it with its connection."""
        if self._task is not None:
            self._task.cancel()
        self._slices.clear()
        if self._link is not None:
            self._link.close()

    def move(self, where: Address) -> None:
        """Go on at another address at once: what is told there counts, whatever the old one still says."""
        if where != self._where:
            log(f"discovery: now at {where[0]}:{where[1]}")
            self.stop()
            self._where = where
            self._begin(0.0)

    async def _run(self, after: float) -> None:
        await asyncio.sleep(after)
        while True:
            started = self._heard = asyncio.get_running_loop().time()
            self._link = await dial(*self._where, DIAL)
            if self._link is not None:
                await self._follow(self._link)
            await asyncio.sleep(self._pauses.after(self._heard > started))

    async def _follow(self, link: Link) -> None:
        self._slices.clear()  # what an earlier connection brought comes again
        self._rest.clear()
        self._searched = self._unread = 0
        target = f"/discovery/hosts?follow=1&since={self._revision}"
        reply = link.request("GET", target, [], sink=self._data)
        loop = asyncio.get_running_loop()
        while not reply.done() and (left := self._heard + SILENCE - loop.time()) > 0:
            await asyncio.wait({reply}, timeout=left)
        if not reply.done():
            log("discovery: silent, connection renewed")
        link.close()

    def _data(self, data: bytes) -> None:
        self._heard = asyncio.get_running_loop().time()
        self._rest += data
        while (end := self._rest.find(b"\n", self._searched)) >= 0:
            line, self._rest = self._rest, self._rest[end + 1 :]  # without a copy of what may be long
            del line[end:]
            self._searched = 0
            if line and not line.isspace():  # strip() would copy what may be long
                self._unread += len(line)
                self._slices.add(self._read(line))
        self._searched = len(self._rest)
        if len(self._rest) + self._unread > LINE_MOST:
            self._broken(ValueError("line too long"))

    def _read(self, line: bytearray) -> Iterator[None]:
        """Read a line, a slice at a time."""
        size, news = len(line), read_line(line, self._kinds)
        yield from self._told(news)
        self._revision = news.revision
        self._unread -= size

    def _broken(self, error: ValueError) -> None:
        # A broken line must not stop the relay; what it held comes again on the next connection.
        log(f"discovery: {error}, connection renewed")
        self._slices.clear()
        self._rest.clear()
        self._searched = self._unread = 0
        if self._link is not None:
            self._link.close()
