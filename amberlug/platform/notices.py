"""Notifies the platform of messages that ended undelivered, and resends each notice until it is answered."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from itertools import islice

from amberlug.core.log import log
from amberlug.core.messages import End, Outcome
from amberlug.http.link import ConnectionLostError, OutgoingConnection, Reply, dial
from amberlug.platform.backoff import FIRST_DELAY_S, MAX_DELAY_S

RESPONSE_TIMEOUT_S = 1.0  # seconds to wait for a response, which normally comes immediately
RESEND_AFTER_S = 0.15  # seconds without a response after which a notice is sent again, on another connection
MAX_REQUESTS = (
    12  # concurrent requests with notices: each may take iterations of an event loop that is behind
)
MAX_BATCH = 100  # notices in one request: keeps its body under 64 KiB


def encode_notice(end: End) -> bytes:
    """Encode a notice as a line of JSON, the platform's format."""
    fields: dict[str, str | int] = {"message": end.message, "outcome": end.outcome.value}
    if end.retry_ms > 0:
        fields["retry_in_ms"] = end.retry_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class NoticeSender:
    """Sends each notice immediately, and again until it is answered with 204."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._waiting: dict[str, End] = {}
        self._unsent: dict[str, End] = {}
        self._requests: set[asyncio.Task[None]] = set()
        self._idle_links: list[OutgoingConnection] = []
        self._retry_delay_s, self._batch_size = FIRST_DELAY_S, MAX_BATCH
        self._running = False

    @property
    def waiting(self) -> bool:
        """Whether an unanswered notice is outstanding."""
        return bool(self._waiting)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Set the callback for acknowledged notices; its argument is the message's name."""
        self._acknowledged = acknowledged

    def owed(self, end: End) -> bool:
        """Return whether the platform must be notified: not of deliveries or of ends it reported itself."""
        return end.outcome is not Outcome.DELIVERED and not end.known

    def tell(self, end: End) -> None:
        """Queue an end, to be sent with the others of its round."""
        if self.owed(end):
            self._waiting[end.message] = self._unsent[end.message] = end

    def start(self) -> None:
        """Start sending, first of all notices queued so far."""
        self._running = True
        self._unsent = dict(self._waiting)
        self.send()

    def stop(self) -> None:
        """Stop sending, cancel requests in flight and close the connections."""
        self._running = False
        for task in self._requests:
            task.cancel()
        for link in self._idle_links:
            link.close()
        self._idle_links, self._requests = [], set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another address immediately, and resend there all unanswered notices."""
        if address != self._address:
            log(f"notices: now sent to {address[0]}:{address[1]}")
            self.stop()
            self._address = address
            self.start()

    def send(self) -> None:
        """Send unsent notices now: writes on an idle connection happen before this returns."""
        while self._running and self._unsent and len(self._requests) < MAX_REQUESTS:
            batch = list(islice(self._unsent.values(), self._batch_size))
            for notice in batch:
                del self._unsent[notice.message]
            while (link := self._idle_links.pop() if self._idle_links else None) and not link.usable:
                link.close()
            response = None if link is None else self._send_batch(link, batch)
            task = asyncio.get_running_loop().create_task(self._await_response(batch, link, response))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def _send_batch(self, link: OutgoingConnection, notices: list[End]) -> asyncio.Future[Reply]:
        return link.request("POST", "/v1/notices", [], b"".join(encode_notice(notice) for notice in notices))

    async def _await_response(
        self, batch: list[End], link: OutgoingConnection | None, response: asyncio.Future[Reply] | None
    ) -> None:
        """Wait for the response to a batch, and have it sent again if there is none."""
        # A notice that waits for a delayed response or dial would be late, and a late notice means a lost
        # message. It is sent again on another connection meanwhile; a duplicate is harmless, but adds load.
        resend_timer = asyncio.get_running_loop().call_later(RESEND_AFTER_S, self._resend, batch)
        status = 0
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                if link is None or response is None:
                    link = await dial(*self._address, RESPONSE_TIMEOUT_S)
                    response = None if link is None else self._send_batch(link, batch)
                status = 0 if response is None else (await response).status
        except (TimeoutError, ConnectionLostError):
            pass
        finally:
            resend_timer.cancel()
            if link is not None and status and link.usable:
                self._idle_links.append(link)
            elif link is not None:
                link.close()
        self._handle_status(batch, status)

    def _handle_status(self, batch: list[End], status: int) -> None:
        loop = asyncio.get_running_loop()
        if status == 204 or (status == 400 and len(batch) == 1):
            self._retry_delay_s, self._batch_size = FIRST_DELAY_S, MAX_BATCH
            self._finish(batch, status)
        elif status == 400:  # a notice that the platform rejects must not block the others
            self._batch_size = 1
            self._resend(batch)
        else:
            loop.call_later(self._retry_delay_s, self._resend, batch)
            self._retry_delay_s = min(2 * self._retry_delay_s, MAX_DELAY_S)
        loop.call_soon(self.send)  # by then this request no longer counts against the limit

    def _resend(self, batch: list[End]) -> None:
        unanswered = [it for it in batch if self._waiting.get(it.message) is it]
        self._unsent.update((it.message, it) for it in unanswered)
        self.send()

    def _finish(self, batch: list[End], status: int) -> None:
        for notice in batch:
            if self._waiting.get(notice.message) is notice:
                if status != 204:
                    log(f"notices: platform rejected the notice for {notice.message} as malformed, dropped")
                del self._waiting[notice.message]
                self._unsent.pop(notice.message, None)
                self._acknowledged(notice.message)
