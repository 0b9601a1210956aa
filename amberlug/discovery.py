"""The platform's side: the watch on the list of endpoints, and the notices of messages that ended."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

from amberlug.link import Link, LinkLostError, dial
from stoatusher.interface import Entry, State

SILENCE = 5.0  # seconds without a line, which come every 2 s, after which the watch is renewed
PAUSE = 0.1, 1.0  # first and longest pause before a further try
ANSWER = 1.0  # seconds for a notice's answer, which comes at once
LINE_MOST = 1 << 22  # longest line that is read: bounds memory against a broken peer
NOTICES_MOST = 100  # notices in one request: keeps it under 64 KiB

_STATES = {"in_service": State.IN, "terminating": State.DRAINING, "terminated": State.GONE}


def log(text: str) -> None:
    """Write a line to the relay's log."""
    print(text, file=sys.stderr, flush=True)


@dataclass(frozen=True, slots=True)
class News:
    """Entries of the list with their addresses."""

    revision: int
    whole: bool
    entries: tuple[Entry, ...]
    addresses: Mapping[str, tuple[str, int]]


def address(text: str) -> tuple[str, int]:
    """Split an IP address and its port; there is no DNS to look a name up in."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return str(ip_address(host)), int(port)


def read_news(data: Any, kinds: Iterable[str]) -> News:
    """Read an object of discovery's; `ValueError` where it is malformed."""
    try:
        entries, addresses = [], {}
        for item in data["members"]:
            entry = Entry(
                endpoint=str(item["id"]),
                zone=str(item["locality"]),
                kind=str(item["flavor"]),
                destination=int(item["cell"]),
                state=_STATES[item["phase"]],
                rate=float(item["size"]),
            )
            if entry.kind not in kinds:
                raise ValueError(f"unknown kind {entry.kind!r}")
            addresses[entry.endpoint] = address(item["host_port"])
            entries.append(entry)
        return News(int(data["revision"]), bool(data["complete"]), tuple(entries), addresses)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None


class _Side:
    """Talks to discovery for as long as the relay runs, and begins anew where its address changes."""

    def __init__(self, where: tuple[str, int]) -> None:
        self._where = where
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None

    async def _run(self) -> None:
        raise NotImplementedError

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """End it with its connection; what is out on that is given up."""
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close()

    def move(self, where: tuple[str, int]) -> None:
        """Go on at another address at once: what is told there counts, whatever the old one still says."""
        if where != self._where:
            log(f"discovery: now at {where[0]}:{where[1]}")
            self.stop()
            self._where = where
            self.start()


class Watch(_Side):
    """Follows the list; a connection that breaks, goes silent or sends what can't be read is renewed."""

    def __init__(
        self, where: tuple[str, int], kinds: Iterable[str], revision: int, told: Callable[[News], None]
    ) -> None:
        super().__init__(where)
        self._kinds, self._told = tuple(kinds), told
        self._revision = revision
        self._rest = b""
        self._heard = 0.0

    async def _run(self) -> None:
        pause = PAUSE[0]
        while True:
            started = self._heard = asyncio.get_running_loop().time()
            self._link = await dial(*self._where, ANSWER)
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


@dataclass(frozen=True, slots=True)
class Notice:
    """How a message ended that was not delivered."""

    name: str
    outcome: str
    retry_ms: int

    def line(self) -> bytes:
        fields: dict[str, str | int] = {"message": self.name, "outcome": self.outcome}
        if self.retry_ms > 0:
            fields["retry_in_ms"] = self.retry_ms
        return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Notices(_Side):
    """Sends each notice again until it is answered 204."""

    def __init__(self, where: tuple[str, int], done: Callable[[str], None]) -> None:
        super().__init__(where)
        self._done = done
        self._waiting: dict[str, Notice] = {}
        self._more = asyncio.Event()

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    def add(self, notice: Notice) -> None:
        self._waiting[notice.name] = notice
        self._more.set()

    async def _run(self) -> None:
        pause, most = PAUSE[0], NOTICES_MOST
        while True:
            await self._more.wait()
            sent = list(self._waiting.values())[:most]
            status = await self._post(sent)
            if status == 204 or (status == 400 and len(sent) == 1):
                pause, most = PAUSE[0], NOTICES_MOST
                self._ended(sent, status)
            else:  # one that can't be read must not hold back the others
                most = 1 if status == 400 else most
                await asyncio.sleep(0 if status == 400 else pause)
                pause = min(2 * pause, PAUSE[1])

    def _ended(self, sent: list[Notice], status: int) -> None:
        for notice in sent:
            if status != 204:
                log(f"notice for {notice.name} can't be read there: dropped")
            if self._waiting.get(notice.name) is notice:
                del self._waiting[notice.name]
            self._done(notice.name)
        if not self._waiting:
            self._more.clear()

    async def _post(self, notices: list[Notice]) -> int:
        """Send notices; the answer's status, or 0 where none came."""
        if self._link is None or not self._link.usable:
            self._link = await dial(*self._where, ANSWER)
        if self._link is None:
            return 0
        link = self._link
        try:
            async with asyncio.timeout(ANSWER):
                reply = await link.request("POST", "/v1/notices", [], b"".join(it.line() for it in notices))
        except (TimeoutError, LinkLostError):
            link.close()
            self._link = None
            return 0
        return reply.status
