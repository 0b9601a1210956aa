"""Follows the list of endpoints at the platform's discovery."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator

from amberlug.core.listing import read_line
from amberlug.core.log import log
from amberlug.core.ports import Address, News
from amberlug.core.slices import Slices
from amberlug.http.link import OutgoingConnection, dial
from amberlug.platform.pauses import Pauses

SETTLED = 1.0  # seconds after which an agent that answers at once has told what it had to tell
SILENCE = 5.0  # seconds without a line, which come every 2 s, after which the watch is renewed
ASK_FOR = 0.25  # seconds that a start waits for discovery, which answers at once
DIAL = 1.0  # seconds for a connection
LINE_MOST = 1 << 24  # longest line that is read, 100,000 members: bounds memory against a broken peer


class Watch:
    """Follows the list; a connection that breaks, goes silent or sends what can't be read is renewed.

    `told` makes the work of news, which is done in slices; `revision` is that of the list told before.
    `current` is called when all that discovery had to tell has been told, each time that it says so.
    """

    def __init__(
        self,
        where: Address,
        kinds: Collection[str],
        revision: int,
        told: Callable[[News], Iterator[None]],
        pauses: Pauses,
        current: Callable[[], None],
    ) -> None:
        self._where, self._kinds, self._told, self._pauses = where, kinds, told, pauses
        self._current, self._tried = current, asyncio.Event()
        self._slices = Slices(self._broken)
        self._link: OutgoingConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._revision = revision
        self._rest = bytearray()
        self._searched = self._unread = 0  # bytes of the rest without a line's end; of lines still to be read
        self._heard = self._asked = 0.0
        self._confirmed = False  # whether this connection has brought its first object: what has changed

    def start(self) -> None:
        """Begin to ask."""
        self._begin(0.0)

    async def tried(self, seconds: float) -> None:
        """Wait until discovery has answered once, or refused, for so long at the most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._tried.wait()

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
            refused = self._link is not None and await self._follow(self._link)
            self._tried.set()
            await asyncio.sleep(self._pauses.after(self._heard > started, refused))

    async def _follow(self, link: OutgoingConnection) -> bool:
        """Follow the list on a connection until it ends: whether it ended by a refusal."""
        self._slices.clear()  # what an earlier connection brought comes again
        self._rest.clear()
        self._searched = self._unread = 0
        self._confirmed = False
        self._asked = asyncio.get_running_loop().time()
        target = f"/discovery/hosts?follow=1&since={self._revision}"
        reply = link.request("GET", target, [], sink=self._data)
        loop = asyncio.get_running_loop()
        while not reply.done() and (left := self._heard + SILENCE - loop.time()) > 0:
            await asyncio.wait({reply}, timeout=left)
        if not reply.done():
            log("discovery: silent, connection renewed")
        link.close()
        return reply.done()

    def _data(self, data: bytes) -> None:
        self._heard = asyncio.get_running_loop().time()
        self._rest += data
        while (end := self._rest.find(b"\n", self._searched)) >= 0:
            line, self._rest = self._rest, self._rest[end + 1 :]  # without a copy of what may be long
            del line[end:]
            self._searched = 0
            if line and not line.isspace():  # strip() would copy what may be long
                self._unread += len(line)
                self._confirmed = True
                self._slices.add(self._read(line))
            # An agent may send no first object where nothing has changed. An empty line proves that only once
            # one that answers at once would have told it: as the first byte it may stand before the object.
            if self._confirmed or self._heard - self._asked >= SETTLED:
                self._slices.add(self._confirm())
        self._searched = len(self._rest)
        if len(self._rest) + self._unread > LINE_MOST:
            self._broken(ValueError("line too long"))

    def _read(self, line: bytearray) -> Iterator[None]:
        """Read a line, a slice at a time."""
        size, news = len(line), read_line(line, self._kinds)
        yield from self._told(news)
        self._revision = news.revision
        self._unread -= size

    def _confirm(self) -> Iterator[None]:
        """Say that the list is the newest, once all that came before has been told."""
        self._current()
        self._tried.set()
        yield

    def _broken(self, error: ValueError) -> None:
        # A broken line must not stop the relay; what it held comes again on the next connection.
        log(f"discovery: {error}, connection renewed")
        self._slices.clear()
        self._rest.clear()
        self._searched = self._unread = 0
        if self._link is not None:
            self._link.close()
