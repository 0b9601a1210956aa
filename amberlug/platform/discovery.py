"""Follows the list of endpoints that the platform's discovery service streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator

from amberlug.core.endpoint_list import read_list_line
from amberlug.core.log import log
from amberlug.core.ports import Address, EndpointListUpdate
from amberlug.core.sliced_queue import SlicedQueue
from amberlug.http.link import OutgoingConnection, dial
from amberlug.platform.backoff import DiscoveryBackoff

SETTLE_S = 1.0  # seconds within which an agent that answers immediately has sent all pending changes
IDLE_TIMEOUT_S = 5.0  # seconds without data after which the watch reconnects; a line arrives every 2 s
STARTUP_WAIT_S = 0.25  # seconds that a start waits for discovery, which answers immediately
DIAL_TIMEOUT_S = 1.0  # seconds to establish a connection
MAX_LINE_BYTES = 1 << 24  # longest line accepted, some 100,000 members: bounds memory if the peer is faulty


class Watch:
    """Follows the list; reconnects after a connection fails, times out or sends malformed data.

    `apply_update` returns the job that applies an update, which is run in slices. `revision` is that of the
    list known so far. `on_confirmed` is called each time discovery has confirmed that no change is
    outstanding.
    """

    def __init__(
        self,
        address: Address,
        kinds: Collection[str],
        revision: int,
        apply_update: Callable[[EndpointListUpdate], Iterator[None]],
        backoff: DiscoveryBackoff,
        on_confirmed: Callable[[], None],
    ) -> None:
        self._address, self._kinds, self._apply_update, self._backoff = address, kinds, apply_update, backoff
        self._on_confirmed, self._attempted = on_confirmed, asyncio.Event()
        self._slices = SlicedQueue(self._on_malformed)
        self._link: OutgoingConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._revision = revision
        self._buffer = bytearray()
        self._searched = 0  # bytes of `_buffer` without a newline
        self._unprocessed = 0  # bytes of complete lines not yet processed
        self._last_data_s = self._requested_s = 0.0
        self._confirmed = False  # whether this connection has delivered an object: the changes so far

    def start(self) -> None:
        """Start following the list."""
        self._start_task(0.0)

    async def wait_attempted(self, seconds: float) -> None:
        """Wait until discovery has answered or a first attempt has failed, up to a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._attempted.wait()

    def _start_task(self, delay_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(delay_s))

    def stop(self) -> None:
        """Stop following the list and close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._slices.clear()
        if self._link is not None:
            self._link.close()

    def change_address(self, address: Address) -> None:
        """Reconnect to another address immediately; data still in flight from the old one is ignored."""
        if address != self._address:
            log(f"discovery: now at {address[0]}:{address[1]}")
            self.stop()
            self._address = address
            self._start_task(0.0)

    async def _run(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            started = self._last_data_s = asyncio.get_running_loop().time()
            self._link = await dial(*self._address, DIAL_TIMEOUT_S)
            refused = self._link is not None and await self._follow(self._link)
            self._attempted.set()
            await asyncio.sleep(self._backoff.next_delay_s(self._last_data_s > started, refused))

    async def _follow(self, link: OutgoingConnection) -> bool:
        """Follow the list until the connection ends; returns whether discovery ended it, a refusal."""
        self._slices.clear()  # whatever an earlier connection left unprocessed is sent again
        self._buffer.clear()
        self._searched = self._unprocessed = 0
        self._confirmed = False
        self._requested_s = asyncio.get_running_loop().time()
        target = f"/discovery/hosts?follow=1&since={self._revision}"
        reply = link.request("GET", target, [], sink=self._on_data)
        loop = asyncio.get_running_loop()
        while not reply.done() and (remaining_s := self._last_data_s + IDLE_TIMEOUT_S - loop.time()) > 0:
            await asyncio.wait({reply}, timeout=remaining_s)
        if not reply.done():
            log("discovery: no data received, reconnecting")
        link.close()
        return reply.done()

    def _on_data(self, data: bytes) -> None:
        self._last_data_s = asyncio.get_running_loop().time()
        self._buffer += data
        while (end := self._buffer.find(b"\n", self._searched)) >= 0:
            line, self._buffer = self._buffer, self._buffer[end + 1 :]  # avoids copying a long line
            del line[end:]
            self._searched = 0
            if line and not line.isspace():  # strip() would copy a long line
                self._unprocessed += len(line)
                self._confirmed = True
                self._slices.add(self._process_line(line))
            # If nothing has changed, an agent may send no first object. An empty line proves this only after
            # the time in which an agent that answers immediately would have sent it: an empty line may also
            # precede the object.
            if self._confirmed or self._last_data_s - self._requested_s >= SETTLE_S:
                self._slices.add(self._report_confirmed())
        self._searched = len(self._buffer)
        if len(self._buffer) + self._unprocessed > MAX_LINE_BYTES:
            self._on_malformed(ValueError(f"unprocessed data exceeds {MAX_LINE_BYTES} bytes"))

    def _process_line(self, line: bytearray) -> Iterator[None]:
        """Parse a line and apply it, a slice at a time."""
        size, update = len(line), read_list_line(line, self._kinds)
        yield from self._apply_update(update)
        self._revision = update.revision
        self._unprocessed -= size

    def _report_confirmed(self) -> Iterator[None]:
        """Report the list as current, once all earlier updates have been applied."""
        self._on_confirmed()
        self._attempted.set()
        yield

    def _on_malformed(self, error: ValueError) -> None:
        # A malformed line must not stop the relay; its content is sent again on the next connection.
        log(f"discovery: {error}, reconnecting")
        self._slices.clear()
        self._buffer.clear()
        self._searched = self._unprocessed = 0
        if self._link is not None:
            self._link.close()
