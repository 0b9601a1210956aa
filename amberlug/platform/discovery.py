"""Follows the list of endpoints that the platform's discovery service streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator

from amberlug.core.listing import read_line
from amberlug.core.log import log
from amberlug.core.ports import Address, News
from amberlug.core.slices import Slices
from amberlug.http.link import Link, dial
from amberlug.platform.backoff import DiscoveryBackoff

SETTLED = 1.0  # seconds within which an agent that answers immediately has sent all pending changes
SILENCE = 5.0  # seconds without data after which the watch reconnects; a line arrives every 2 s
ASK_FOR = 0.25  # seconds that a start waits for discovery, which answers immediately
DIAL = 1.0  # seconds to establish a connection
LINE_MOST = 1 << 24  # longest line accepted, some 100,000 members: bounds memory if the peer is faulty


class Watch:
    """Follows the list; reconnects after a connection fails, times out or sends malformed data.

    `told` returns the job that applies an update, which is run in slices. `revision` is that of the list
    known so far. `current` is called each time discovery has confirmed that no change is outstanding.
    """

    def __init__(
        self,
        where: Address,
        kinds: Collection[str],
        revision: int,
        told: Callable[[News], Iterator[None]],
        backoff: DiscoveryBackoff,
        current: Callable[[], None],
    ) -> None:
        self._where, self._kinds, self._told, self._backoff = where, kinds, told, backoff
        self._current, self._tried = current, asyncio.Event()
        self._slices = Slices(self._broken)
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._revision = revision
        self._rest = bytearray()
        self._searched = self._unread = (
            0  # bytes of `_rest` searched for a newline; bytes of complete lines not yet processed
        )
        self._heard = self._asked = 0.0
        self._confirmed = (
            False  # whether this connection has delivered its first object, the changes since `revision`
        )

    def start(self) -> None:
        """Start following the list."""
        self._begin(0.0)

    async def tried(self, seconds: float) -> None:
        """Wait until discovery has answered or a first attempt has failed, up to a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._tried.wait()

    def _begin(self, after: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(after))

    def stop(self) -> None:
        """Stop following the list and close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._slices.clear()
        if self._link is not None:
            self._link.close()

    def move(self, where: Address) -> None:
        """Reconnect to another address immediately; data still in flight from the old one is ignored."""
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
            await asyncio.sleep(self._backoff.next_delay_s(self._heard > started, refused))

    async def _follow(self, link: Link) -> bool:
        """Follow the list until the connection ends; returns whether discovery ended it, a refusal."""
        self._slices.clear()  # whatever an earlier connection left unprocessed is sent again
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
            log("discovery: no data received, reconnecting")
        link.close()
        return reply.done()

    def _data(self, data: bytes) -> None:
        self._heard = asyncio.get_running_loop().time()
        self._rest += data
        while (end := self._rest.find(b"\n", self._searched)) >= 0:
            line, self._rest = self._rest, self._rest[end + 1 :]  # avoids copying a long line
            del line[end:]
            self._searched = 0
            if line and not line.isspace():  # strip() would copy a long line
                self._unread += len(line)
                self._confirmed = True
                self._slices.add(self._read(line))
            # If nothing has changed, an agent may send no first object. An empty line proves this only after
            # the time in which an agent that answers immediately would have sent it: an empty line may also
            # precede the object.
            if self._confirmed or self._heard - self._asked >= SETTLED:
                self._slices.add(self._confirm())
        self._searched = len(self._rest)
        if len(self._rest) + self._unread > LINE_MOST:
            self._broken(ValueError(f"line exceeds {LINE_MOST} bytes"))

    def _read(self, line: bytearray) -> Iterator[None]:
        """Parse a line and apply it, a slice at a time."""
        size, news = len(line), read_line(line, self._kinds)
        yield from self._told(news)
        self._revision = news.revision
        self._unread -= size

    def _confirm(self) -> Iterator[None]:
        """Report the list as current, once all earlier updates have been applied."""
        self._current()
        self._tried.set()
        yield

    def _broken(self, error: ValueError) -> None:
        # A malformed line must not stop the relay; its content is sent again on the next connection.
        log(f"discovery: {error}, reconnecting")
        self._slices.clear()
        self._rest.clear()
        self._searched = self._unread = 0
        if self._link is not None:
            self._link.close()
