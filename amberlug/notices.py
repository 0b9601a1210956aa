"""The notices of messages that ended undelivered: each goes to the platform until it is answered."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from amberlug.discovery import PAUSE, log
from amberlug.link import Link, LinkLostError, Reply, dial

ANSWER = 1.0  # seconds for a notice's answer, which comes at once
AGAIN = 0.15  # seconds without an answer after which a notice goes again, on another connection
POSTS_MOST = 12  # requests with notices that are out at once: each may take turns of a loop that is behind
NOTICES_MOST = 100  # notices in one request: keeps it under 64 KiB


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


class Notices:
    """Sends each notice at once, and again until it is answered 204."""

    def __init__(self, where: tuple[str, int], done: Callable[[str], None]) -> None:
        self._where, self._done = where, done
        self._waiting: dict[str, Notice] = {}
        self._unsent: dict[str, Notice] = {}
        self._posts: set[asyncio.Task[None]] = set()
        self._links: list[Link] = []  # that carry no notice
        self._pause, self._most = PAUSE[0], NOTICES_MOST
        self._running = False

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    def add(self, notice: Notice) -> None:
        """Take a notice, to be sent with others of its round."""
        self._waiting[notice.name] = self._unsent[notice.name] = notice

    def start(self) -> None:
        self._running = True
        self._unsent = dict(self._waiting)
        self.send()

    def stop(self) -> None:
        """End it with its connections; what is out on those is given up."""
        self._running = False
        for task in self._posts:
            task.cancel()
        for link in self._links:
            link.close()
        self._links, self._posts = [], set()

    def move(self, where: tuple[str, int]) -> None:
        """Go on at another address at once, with all that was not answered at the old one."""
        if where != self._where:
            log(f"discovery: notices now go to {where[0]}:{where[1]}")
            self.stop()
            self._where = where
            self.start()

    def send(self) -> None:
        """Write what is to be sent now, before the loop does anything else."""
        while self._running and self._unsent and len(self._posts) < POSTS_MOST:
            sent = list(islice(self._unsent.values(), self._most))
            for notice in sent:
                del self._unsent[notice.name]
            while (link := self._links.pop() if self._links else None) is not None and not link.usable:
                link.close()
            written = None if link is None else self._write(link, sent)
            task = asyncio.get_running_loop().create_task(self._post(sent, link, written))
            self._posts.add(task)
            task.add_done_callback(self._posts.discard)

    def _write(self, link: Link, notices: list[Notice]) -> asyncio.Future[Reply]:
        return link.request("POST", "/v1/notices", [], b"".join(it.line() for it in notices))

    async def _post(
        self, sent: list[Notice], link: Link | None, written: asyncio.Future[Reply] | None
    ) -> None:
        """See notices to their answer, or have them sent again."""
        # Guards against an answer or a dial that is held up: a notice that waits behind it is late, and so a
        # message lost. It goes again on another connection meanwhile, which does no harm, but adds to load.
        again = asyncio.get_running_loop().call_later(AGAIN, self._again, sent)
        status = 0
        try:
            async with asyncio.timeout(ANSWER):
                if link is None or written is None:
                    link = await dial(*self._where, ANSWER)
                    written = None if link is None else self._write(link, sent)
                status = 0 if written is None else (await written).status
        except (TimeoutError, LinkLostError):
            pass
        finally:
            again.cancel()
            if link is not None and status and link.usable:
                self._links.append(link)
            elif link is not None:
                link.close()
        self._answered(sent, status)

    def _answered(self, sent: list[Notice], status: int) -> None:
        loop = asyncio.get_running_loop()
        if status == 204 or (status == 400 and len(sent) == 1):
            self._pause, self._most = PAUSE[0], NOTICES_MOST
            self._ended(sent, status)
        elif status == 400:  # one that can't be read must not hold back the others
            self._most = 1
            self._again(sent)
        else:
            loop.call_later(self._pause, self._again, sent)
            self._pause = min(2 * self._pause, PAUSE[1])
        loop.call_soon(self.send)  # this one's place is free by then

    def _again(self, sent: list[Notice]) -> None:
        self._unsent.update((it.name, it) for it in sent if self._waiting.get(it.name) is it)
        self.send()

    def _ended(self, sent: list[Notice], status: int) -> None:
        for notice in sent:
            if self._waiting.get(notice.name) is notice:
                if status != 204:
                    log(f"notice for {notice.name} can't be read there: dropped")
                del self._waiting[notice.name]
                self._unsent.pop(notice.name, None)
                self._done(notice.name)
