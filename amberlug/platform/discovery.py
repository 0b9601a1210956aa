"""Follows the list of endpoints at the platform's discovery."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable

from amberlug.core.listing import read_news
from amberlug.core.log import log
from amberlug.core.ports import Address, News
from amberlug.http.link import Link, dial

SILENCE = 5.0  # seconds without a line, which come every 2 s, after which the watch is renewed
PAUSE = 0.1, 1.0  # first and longest pause before a further try
DIAL = 1.0  # seconds for a connection
LINE_MOST = 1 << 22  # longest line that is read: bounds memory against a broken peer


class Watch:
    """Follows the list; a connection that breaks, goes silent or sends what can't be read is renewed."""

    def __init__(
        self, where: Address, kinds: Iterable[str], revision: int, told: Callable[[News], None]
    ) -> None:
        self._where, self._kinds, self._told = where, tuple(kinds), told
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._revision = revision
        self._rest = b""
        self._heard = 0.0

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End it with its connection."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

    def move(self, where: Address) -> None:
        """Go on at another address at once: what is told there counts, whatever the old one still says."""
        if where != self._where:
            log(f"discovery: now at {where[0]}:{where[1]}")
            self.stop()
            self._where = where
            self.start()

    async def _run(self) -> None:
        pause = PAUSE[0]
        while True:
            started = self._heard = asyncio.get_running_loop().time()
            self._link = await dial(*self._where, DIAL)
            if self._link is not None:
                await self._follow(self._link)
            pause = PAUSE[0] if self._heard > started else min(2 * pause, PAUSE[1])
            await asyncio.sleep(pause)

    async def _follow(self, link: Link) -> None:
        self._rest = b""
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
        *lines, self._rest = (self._rest + data).split(b"\n")
        try:
            if len(self._rest) > LINE_MOST:
                raise ValueError("line too long")
            for line in lines:
                if line.strip():
                    self._line(line)
        except ValueError as error:
            # A broken line must not stop the relay; what it held comes again on the next connection.
            log(f"discovery: {error}, connection renewed")
            if self._link is not None:
                self._link.close()

    def _line(self, line: bytes) -> None:
        try:
            news = read_news(json.loads(line), self._kinds)
        except RecursionError:
            raise ValueError("line nested too deep") from None
        self._revision = news.revision
        self._told(news)
