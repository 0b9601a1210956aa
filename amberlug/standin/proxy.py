"""A loopback proxy that injects network faults into connections from one relay to another."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress

READ_BYTES = 1 << 14


class Proxy:
    """Forwards connections to a port, subject to the faults set at the time."""

    def __init__(self, to: int, seed: int) -> None:
        self._to, self._rng = to, random.Random(seed)
        self.port = 0
        self.delay = self.spread = 0.0  # seconds
        self.rate = 0.0  # bytes per second; 0 for no limit
        self.flips = 0  # number of chunks to corrupt by one flipped bit
        self._writers: set[asyncio.StreamWriter] = set()
        self._open = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Proxy:
        """Listen on a free port of 127.0.0.1, and start forwarding."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._open.set()
        return self

    async def stop(self) -> None:
        """Close all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def sever(self) -> None:
        """Stop forwarding; connections stay open but silent."""
        self._open.clear()

    def heal(self) -> None:
        """Resume forwarding without delays or rate limit, including data held back meanwhile."""
        self.delay = self.spread = self.rate = 0.0
        self._open.set()

    def reset(self) -> None:
        """Reset all connections, even in the middle of a transfer."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            await self._open.wait()
            onward, other = await asyncio.open_connection("127.0.0.1", self._to)
            self._writers.add(other)
            loop = asyncio.get_running_loop()
            both = [
                loop.create_task(self._forward(reader, other)),
                loop.create_task(self._forward(onward, writer)),
            ]
            self._tasks.update(both)
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            for task in both:
                task.cancel()
                self._tasks.discard(task)
        except OSError:
            pass
        finally:
            for it in (writer, other):
                if it is not None:
                    self._writers.discard(it)
                    it.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._open.wait()
                if self.delay:
                    await asyncio.sleep(self.delay + self._rng.random() * self.spread)
                if self.rate:
                    await asyncio.sleep(len(data) / self.rate)
                if self.flips:
                    self.flips -= 1
                    corrupted = bytearray(data)
                    corrupted[self._rng.randrange(len(corrupted))] ^= 1 << self._rng.randrange(8)
                    data = bytes(corrupted)
                writer.write(data)
                await writer.drain()
