"""The notices of messages that ended undelivered: each goes to the platform until it is answered."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import islice

from amberlug.core.log import log
from amberlug.core.messages import End, Outcome
from amberlug.http.link import ConnectionLostError, OutgoingConnection, Reply, dial
from amberlug.platform.pauses import FIRST, MOST

ANSWER = 1.0  # seconds for a notice's answer, which comes at once
AGAIN = 0.15  # seconds without an answer after which a notice goes again, on another connection
POSTS_MOST = 12  # requests with notices that are out at once: each may take turns of a loop that is behind
NOTICES_MOST = 100  # notices in one request: keeps it under 64 KiB


def line(end: End) -> bytes:
    """Write a notice as the platform reads it."""
    fields: dict[str, str | int] = {"message": end.message, "outcome": end.outcome.value}
    if end.retry_ms > 0:
        fields["retry_in_ms"] = end.retry_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Notices:
    """Sends each notice at once, and again until it is answered 204."""

    def __init__(self, where: tuple[str, int]) -> None:
        self._where = where
        self._waiting: dict[str, End] = {}
        self._unsent: dict[str, End] = {}
        self._posts: set[asyncio.Task[None]] = set()
        self._links: list[OutgoingConnection] = []  # that carry no notice
        self._pause, self._most = FIRST, NOTICES_MOST
        self._running = False

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        self._done = acknowledged

    def owed(self, end: End) -> bool:
        """Tell the platform of all but deliveries, and of what it has called over itself."""
        return end.outcome is not Outcome.DELIVERED and not end.known

    def tell(self, end: End) -> None:
        """Take an end, to be sent with others of its round."""
        if self.owed(end):
            self._waiting[end.message] = self._unsent[end.message] = end

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
                del self._unsent[notice.message]
            while (link := self._links.pop() if self._links else None) is not None and not link.usable:
                link.close()
            written = None if link is None else self._write(link, sent)
            task = asyncio.get_running_loop().create_task(self._post(sent, link, written))
            self._posts.add(task)
            task.add_done_callback(self._posts.discard)

    def _write(self, link: OutgoingConnection, notices: list[End]) -> asyncio.Future[Reply]:
        return link.request("POST", "/v1/notices", [], b"".join(line(it) for it in notices))

    async def _post(
        self, sent: list[End], link: OutgoingConnection | None, written: asyncio.Future[Reply] | None
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
        except (TimeoutError, ConnectionLostError):
            pass
        finally:
            again.cancel()
            if link is not None and status and link.usable:
                self._links.append(link)
            elif link is not None:
                link.close()
        self._answered(sent, status)

    def _answered(self, sent: list[End], status: int) -> None:
        loop = asyncio.get_running_loop()
        if status == 204 or (status == 400 and len(sent) == 1):
            self._pause, self._most = FIRST, NOTICES_MOST
            self._ended(sent, status)
        elif status == 400:  # one that can't be read must not hold back the others
            self._most = 1
            self._again(sent)
        else:
            loop.call_later(self._pause, self._again, sent)
            self._pause = min(2 * self._pause, MOST)
        loop.call_soon(self.send)  # this one's place is free by then

    def _again(self, sent: list[End]) -> None:
        self._unsent.update((it.message, it) for it in sent if self._waiting.get(it.message) is it)
        self.send()

    def _ended(self, sent: list[End], status: int) -> None:
        for notice in sent:
            if self._waiting.get(notice.message) is notice:
                if status != 204:
                    log(f"notice for {notice.message} can't be read there: dropped")
                del self._waiting[notice.message]
                self._unsent.pop(notice.message, None)
                self._done(notice.message)
