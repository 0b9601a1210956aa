"""The runtime of a real process: the clocks and timers of asyncio, and peers over TCP."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from amberlug.cluster.interfaces import Json, ReplyCallback, TimerHandle
from amberlug.cluster.rpc.framing import RawMessage
from amberlug.cluster.rpc.transport import PeerTransport


class AsyncioRuntime:
    """`Runtime` on the running event loop; see there for what its methods do."""

    def __init__(self, transport: PeerTransport, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self.rng, self.now, self.wall_clock = rng, self._loop.time, time.time

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back after a delay."""
        return self._loop.call_later(delay_s, callback)

    def send(self, address: str, tag: str, body: Json, payload: bytes = b"") -> None:
        """Send a notification."""
        self._transport.send(address, RawMessage(tag, body, payload))

    def request(
        self,
        address: str,
        tag: str,
        body: Json,
        timeout_s: float,
        on_reply: ReplyCallback,
        payload: bytes = b"",
    ) -> None:
        """Send a request."""
        self._transport.request(address, RawMessage(tag, body, payload), timeout_s, on_reply)
