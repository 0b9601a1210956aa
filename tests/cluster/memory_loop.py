"""In-memory connections on an event loop with virtual time, for testing real protocol classes.

The only sockets are socket pairs that signal readability to `poll`.
"""

import asyncio
import random
import selectors
import socket
from collections.abc import Callable, Coroutine
from typing import Any

DELAY_S = (0.0001, 0.002)
FOREVER_S = 1e6


class VirtualTimeSelector(selectors.EpollSelector):
    """A selector that advances virtual time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "no event is pending"
        self.now += max(0.0, timeout)
        return super().select(0)


class ReadinessSocket(socket.socket):
    """Socket that is readable while data is unread; TCP options are accepted and ignored."""

    def setsockopt(self, *given: Any) -> None:
        pass


class End(asyncio.Transport):
    """One end of an in-memory connection."""

    def __init__(self, loop: "Loop", protocol: asyncio.Protocol, peername: tuple[str, int]) -> None:
        super().__init__()
        self.loop, self.protocol, self.peername = loop, protocol, peername
        self.other: End
        readiness_socket, self._readiness_signal = socket.socketpair()
        self.readiness_socket = ReadinessSocket(fileno=readiness_socket.detach())
        self.unread: list[bytes | None] = []  # None: end of stream
        self.received = bytearray()  # all data passed to the protocol
        self.arrived_before_write = b""  # all data that had arrived, read or not, at its last write
        self.window = FOREVER_S  # bytes that can still be sent until `open` is called
        self.closing = self.over = False
        self.paused = False
        self._write_buffer = bytearray()
        self._eof_written = False
        self._last_arrival_at = self.read_at = 0.0

    # -- transport interface

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self.readiness_socket, "peername": self.peername}.get(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass  # no limits: buffered data pauses the protocol at once

    def get_write_buffer_size(self) -> int:
        return len(self._write_buffer)

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        self.loop.call_soon(self._read, self.loop.time())

    def write(self, data: Any) -> None:
        if self.closing or self._eof_written:
            return
        self.arrived_before_write = bytes(self.received) + b"".join(it or b"" for it in self.unread)
        out = int(min(len(data), max(0, self.window))) if not self._write_buffer else 0
        self.window -= out
        if out:
            self._transmit(bytes(data[:out]))
        if out < len(data):
            self._write_buffer += data[out:]
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        self._eof_written = True
        self._transmit(None)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self._transmit(None)
            self.loop.call_soon(self._connection_lost, None)

    def abort(self) -> None:
        self.closing = True
        self.loop.call_later(self.loop.rng.uniform(*DELAY_S), self.other.reset)
        self.loop.call_soon(self._connection_lost, None)

    # -- network

    def _transmit(self, data: bytes | None) -> None:
        self._last_arrival_at = max(
            self._last_arrival_at + 1e-9, self.loop.time() + self.loop.rng.uniform(*DELAY_S)
        )
        self.loop.call_at(self._last_arrival_at, self.other.deliver, data, self._last_arrival_at)

    def open(self) -> None:
        """Open the window and send the buffered data."""
        self.window = FOREVER_S
        if self._write_buffer and not self.closing:
            self._transmit(bytes(self._write_buffer))
            self._write_buffer.clear()
            self.protocol.resume_writing()

    def deliver(self, data: bytes | None, due: float) -> None:
        """Deliver data; the process reads it immediately or a little later."""
        if self.over:
            return
        self.unread.append(data)
        self._readiness_signal.send(b"x")
        if self.loop.rng.random() < 0.7:
            self._read(due)
        else:
            self.loop.call_later(0.0005, self._read, self.loop.time() + 0.0005)

    def _read(self, due: float) -> None:
        self.read_at = due  # loop time at which it was due, even if the process was stalled until later
        while self.unread and not self.paused and not self.closing:
            self.readiness_socket.recv(1)
            data = self.unread.pop(0)
            if data is not None:
                self.received += data
                self.protocol.data_received(data)
            elif not self.protocol.eof_received():
                self.close()

    def reset(self) -> None:
        """Handle a reset by the other side: unread data is lost."""
        if not self.over:
            self.closing = True
            self._connection_lost(ConnectionResetError())

    def _connection_lost(self, error: Exception | None) -> None:
        if not self.over:
            self.over = True
            self.protocol.connection_lost(error)
            self.readiness_socket.close()
            self._readiness_signal.close()


class Loop(asyncio.SelectorEventLoop):
    """An event loop with virtual time and in-memory connections."""

    def __init__(self, rng: random.Random) -> None:
        self.waits = VirtualTimeSelector()
        super().__init__(self.waits)
        self.rng = rng
        self.listeners: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.deaf: set[tuple[str, int]] = set()  # connections to these addresses are never established
        self.ends: list[End] = []  # of the connecting side
        self.failures: list[BaseException] = []
        self.set_exception_handler(self._record_failure)
        self.set_task_factory(self._create_task)

    def _record_failure(self, loop: Any, context: dict[str, Any]) -> None:
        if (error := context.get("exception")) is not None:
            self.failures.append(error)

    def _create_task(self, loop: Any, what: Any, **rest: Any) -> Any:
        task = asyncio.Task(what, loop=loop, **rest)
        task.add_done_callback(self._check_task)
        return task

    def _check_task(self, task: Any) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failures.append(error)

    def time(self) -> float:
        return self.waits.now

    def stall(self, seconds: float) -> None:
        """Stall the process, so that many timers become due at once."""
        self.waits.now += seconds

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **rest: Any) -> Any:  # type: ignore[override]
        at = str(host), int(port)
        await asyncio.sleep(self.rng.uniform(*DELAY_S) if at not in self.deaf else FOREVER_S)
        if at not in self.listeners:
            raise ConnectionRefusedError
        client, server = factory(), self.listeners[at]()
        client_end, server_end = End(self, client, at), End(self, server, ("10.0.0.1", 1))
        client_end.other, server_end.other = server_end, client_end
        self.ends.append(client_end)
        server.connection_made(server_end)
        self.call_soon(client.connection_made, client_end)
        up = self.create_future()
        self.call_soon(self._set_established, up)
        try:
            await up
        except BaseException:
            client_end.close()
            raise
        return client_end, client

    @staticmethod
    def _set_established(up: asyncio.Future[None]) -> None:
        if not up.done():
            up.set_result(None)

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **rest: Any) -> Any:  # type: ignore[override]
        at = str(host), int(port)
        if at in self.listeners:
            raise OSError("address already in use")
        self.listeners[at] = factory
        return MemoryServer(self, at)


class MemoryServer:
    """A listening server at an address."""

    def __init__(self, loop: Loop, at: tuple[str, int]) -> None:
        self.loop, self.at = loop, at
        self.sockets = ()

    def close(self) -> None:
        self.loop.listeners.pop(self.at, None)


def run(seed: int, scenario: Callable[[Loop, random.Random], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario generated from a seed; exceptions raised in the loop are raised here."""
    rng = random.Random(seed)
    loop = Loop(rng)
    try:
        loop.run_until_complete(scenario(loop, rng))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        for end in loop.ends:
            for each in (end, end.other):
                each.readiness_socket.close()
                each._readiness_signal.close()
        loop.close()
        if loop.failures:
            raise loop.failures[0]
