"""The production runtime: asyncio clocks and timers, and peer messages over TCP."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from amberlug.cluster.interfaces import RawMessage, ReplyCallback, TimerHandle
from amberlug.cluster.rpc.transport import PeerTransport


class AsyncioRuntime:
    """Implements `Runtime` on the running event loop."""

    def __init__(self, transport: PeerTransport, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self.rng, self.now, self.wall_clock = rng, self._loop.time, time.time

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call `callback` once after a delay."""
        return self._loop.call_later(delay_s, callback)

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification."""
        self._transport.send(address, message)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request."""
        self._transport.request(address, message, timeout_s, on_reply)
