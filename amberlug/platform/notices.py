"""Notifies the platform of messages that ended undelivered, and resends each notice until it is answered."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import islice

from amberlug.core.log import log
from amberlug.core.messages import End, Outcome
from amberlug.http.link import Link, LinkLostError, Reply, dial
from amberlug.platform.backoff import FIRST_DELAY_S, MAX_DELAY_S

ANSWER = 1.0  # seconds to wait for a response, which normally comes immediately
AGAIN = 0.15  # seconds without a response after which a notice is sent again, on another connection
POSTS_MOST = 12  # concurrent requests with notices: each may take iterations of an event loop that is behind
NOTICES_MOST = 100  # notices in one request: keeps its body under 64 KiB


def line(end: End) -> bytes:
    """Encode a notice as a line of JSON, the platform's format."""
    fields: dict[str, str | int] = {"message": end.message, "outcome": end.outcome.value}
    if end.retry_ms > 0:
        fields["retry_in_ms"] = end.retry_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Notices:
    """Sends each notice immediately, and again until it is answered with 204."""

    def __init__(self, where: tuple[str, int]) -> None:
        self._where = where
        self._waiting: dict[str, End] = {}
        self._unsent: dict[str, End] = {}
        self._posts: set[asyncio.Task[None]] = set()
        self._links: list[Link] = []  # idle connections
        self._pause, self._most = FIRST_DELAY_S, NOTICES_MOST
        self._running = False

    @property
    def waiting(self) -> bool:
        return bool(self._waiting)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        self._done = acknowledged

    def owed(self, end: End) -> bool:
        """Return whether the platform must be notified: not of deliveries or of ends it reported itself."""
        return end.outcome is not Outcome.DELIVERED and not end.known

    def tell(self, end: End) -> None:
        """Queue an end, to be sent with the others of its round."""
        if self.owed(end):
            self._waiting[end.message] = self._unsent[end.message] = end

    def start(self) -> None:
        self._running = True
        self._unsent = dict(self._waiting)
        self.send()

    def stop(self) -> None:
        """Stop sending, cancel requests in flight and close the connections."""
        self._running = False
        for task in self._posts:
            task.cancel()
        for link in self._links:
            link.close()
        self._links, self._posts = [], set()

    def move(self, where: tuple[str, int]) -> None:
        """Switch to another address immediately, and resend there all unanswered notices."""
        if where != self._where:
            log(f"notices: now sent to {where[0]}:{where[1]}")
            self.stop()
            self._where = where
            self.start()

    def send(self) -> None:
        """Send unsent notices now: writes on an idle connection happen before this returns."""
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

    def _write(self, link: Link, notices: list[End]) -> asyncio.Future[Reply]:
        return link.request("POST", "/v1/notices", [], b"".join(line(it) for it in notices))

    async def _post(self, sent: list[End], link: Link | None, written: asyncio.Future[Reply] | None) -> None:
        """Wait for the response to a batch, and have it sent again if there is none."""
        # A notice that waits for a delayed response or dial would be late, and a late notice means a lost
        # message. It is sent again on another connection meanwhile; a duplicate is harmless, but adds load.
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

    def _answered(self, sent: list[End], status: int) -> None:
        loop = asyncio.get_running_loop()
        if status == 204 or (status == 400 and len(sent) == 1):
            self._pause, self._most = FIRST_DELAY_S, NOTICES_MOST
            self._ended(sent, status)
        elif status == 400:  # a notice that the platform rejects must not block the others
            self._most = 1
            self._again(sent)
        else:
            loop.call_later(self._pause, self._again, sent)
            self._pause = min(2 * self._pause, MAX_DELAY_S)
        loop.call_soon(self.send)  # by then this request no longer counts against the limit

    def _again(self, sent: list[End]) -> None:
        self._unsent.update((it.message, it) for it in sent if self._waiting.get(it.message) is it)
        self.send()

    def _ended(self, sent: list[End], status: int) -> None:
        for notice in sent:
            if self._waiting.get(notice.message) is notice:
                if status != 204:
                    log(f"notices: platform rejected the notice for {notice.message} as malformed, dropped")
                del self._waiting[notice.message]
                self._unsent.pop(notice.message, None)
                self._done(notice.message)
