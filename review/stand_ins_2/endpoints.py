"""Stand-in endpoints: they announce themselves and run messages as the protocol's page says."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import itertools
import json
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from . import http
from .deployment import Record

HEARTBEAT_S = 1.2
QUEUE = 16
SIOCOUTQ = 0x5411  # Linux: the bytes that the peer has not acknowledged yet

_lives = itertools.count(1)


@dataclass
class Run:
    """One run of a message; times are those of the record."""

    attempt: str
    endpoint: str
    arrived: float
    began: float
    ended: float = 0.0
    status: int = 0
    answered: bool = False


@dataclass
class Reply:
    """What an endpoint does with a message: it works for a while, then answers."""

    work_s: float
    status: int = 200
    headers: http.Headers = field(default_factory=list)


Work = Callable[[http.Arrival, int], Reply]


@dataclass
class Kind:
    """A kind of endpoints.

    :param work: says what to do with a message, given how often it has run before.
    :param capacity: how many messages an endpoint works on at once.
    """

    service: str
    work: Work
    capacity: int = 4


class Endpoint:
    """One life of an endpoint."""

    def __init__(self, record: Record, kind: Kind, zone: str, controls: list[str]) -> None:
        self.record, self.kind, self.zone = record, kind, zone
        self.id = f"i-{kind.service}-{next(_lives):04x}"
        self.address = ""
        self.runs: list[Run] = []
        self.condition = "ready"
        self._controls = deque(controls)
        self._sequence = 0
        self._busy = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._seals = itertools.count(1)

    async def start(self, host: str, port: int = 8080) -> None:
        """Listen, and announce the endpoint from now on."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=http.MAX_HEAD_BYTES)
        self.address = f"{host}:{port}"
        self._spawn(self._announce_on())

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self) -> None:
        """End without a word."""
        self.record.write("endpoint crashes", endpoint=self.id)
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _announce_on(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self) -> bool:
        """Send one announcement, to the next relay if it is not acknowledged."""
        self._sequence += 1
        body = {
            "targetService": self.kind.service,
            "address": self.address,
            "zone": self.zone,
            "edition": "v1",
            "capacity": self.kind.capacity,
            "condition": self.condition,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
        }
        headers = [("Content-Type", "application/json")]
        for _ in range(len(self._controls)):
            path = f"/-/Instances.Announce/{self.id}"
            call = http.Call("POST", path, headers, json.dumps(body).encode())
            answer = await http.send(self._controls[0], call, wait_s=1.0)
            if answer is not None and 200 <= answer.status < 300:
                return True
            self._controls.rotate(-1)
        return False

    # -- messages

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while (arrival := await http.read_request(reader)) is not None:
                answer, run = await self._answer(arrival)
                writer.write(answer)
                await writer.drain()
                if run is not None:
                    run.answered = await _is_taken(writer)
        except (OSError, asyncio.CancelledError):
            pass  # the client is gone, or the endpoint has crashed
        finally:
            writer.close()

    async def _answer(self, arrival: http.Arrival) -> tuple[bytes, Run | None]:
        attempt = arrival.headers.get("amberlug-attempt-id", "")
        echo = [("Amberlug-Attempt-Id", attempt)]
        if arrival.path == "/health":
            return http.encode_answer(200, [("Amberlug-Instance-Id", self.id)]), None
        if arrival.headers.get("amberlug-target-instance", self.id) != self.id:
            return http.encode_answer(421, echo), None
        if self._busy >= self.kind.capacity and len(self._waiting) >= QUEUE:
            return http.encode_answer(503, [*echo, ("Amberlug-Not-Executed", "full")]), None
        return await self._run(arrival, attempt, echo)

    async def _run(self, arrival: http.Arrival, attempt: str, echo: http.Headers) -> tuple[bytes, Run]:
        arrived = self.record.now()
        if self._busy >= self.kind.capacity:
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        else:
            self._busy += 1
        earlier = sum(run.attempt == attempt for run in self.runs)
        began = self.record.write("run", endpoint=self.id, attempt=attempt, earlier=earlier)
        run = Run(attempt, self.id, arrived, began)
        self.runs.append(run)
        reply = self.kind.work(arrival, earlier)
        try:
            await asyncio.sleep(reply.work_s)
        finally:
            self._next_turn()
        run.status = reply.status
        run.ended = self.record.write("ran", endpoint=self.id, attempt=attempt, status=reply.status)
        seal = [("Amberlug-Server-Seal", f"{self.id}.{next(self._seals)}")] if reply.status == 200 else []
        return http.encode_answer(reply.status, [*echo, *seal, *reply.headers], b"done"), run

    def _next_turn(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._busy -= 1


async def _is_taken(writer: asyncio.StreamWriter) -> bool:
    """Whether the kernel of the caller has taken the whole answer within a tenth of a second."""
    connection = writer.get_extra_info("socket")
    for _ in range(20):
        unsent = bytearray(4)
        try:
            fcntl.ioctl(connection.fileno(), SIOCOUTQ, unsent)
        except (OSError, ValueError):  # the caller has closed the connection
            return False
        if int.from_bytes(unsent, sys.byteorder) == 0:
            return True
        await asyncio.sleep(0.005)
    return False


@contextlib.contextmanager
def ending(endpoints: list[Endpoint]):  # noqa: ANN201
    """End the endpoints on the way out."""
    try:
        yield
    finally:
        for endpoint in endpoints:
            endpoint.crash()
