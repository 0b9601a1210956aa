"""A fake endpoint of a service: processes messages and announces itself to control-plane nodes."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Ok

from amberlug.cluster.http.connection import RespondCallback
from amberlug.cluster.http.message import Request, Response
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call

HEARTBEAT_INTERVAL_S = 0.5
MAX_QUEUED = 8  # messages that wait for a free slot
UNPROCESSABLE_PREFIX = b"poison"  # a body with this prefix is rejected permanently (422)
LIMITS = Limits(body_bytes=1 << 20, idle_s=30.0)


@dataclass(slots=True)
class Run:
    """An execution of a message at an endpoint; times are those of the event loop's clock."""

    attempt_id: str
    sequence_key: str
    started_at: float
    ended_at: float = 0.0
    status: int = 0  # 0 while it is running
    receipt: str = ""
    service: str = field(kw_only=True)  # of the endpoint
    target: str = field(kw_only=True)


@dataclass(frozen=True, slots=True)
class EndpointSettings:
    """What an endpoint announces, and how it processes messages.

    :param slots: number of messages processed concurrently.
    :param work_s: processing time of one message.
    """

    name: str
    service: str
    zone: str
    slots: int = 4
    work_s: float = 0.05


class _Queued(NamedTuple):
    """A message that waits for a free slot."""

    request: Request
    respond: RespondCallback


class FakeEndpoint:
    """One fake endpoint.

    :param control_addresses: addresses of control-plane nodes.
    """

    def __init__(self, settings: EndpointSettings, control_addresses: Sequence[str]) -> None:
        self.settings = settings
        self.runs: list[Run] = []
        self._control_addresses = deque(control_addresses)
        self._server = Server(self._handle, lambda: LIMITS)
        self._queue: deque[_Queued] = deque()
        self._busy_slots = 0
        self._heartbeats: asyncio.Task[None] | None = None
        self._address = ""
        self._condition, self._sequence = "ready", 0

    async def start(self, host: str, port: int) -> None:
        """Start listening and sending heartbeats."""
        await self._server.listen(host, port)
        self._address = f"{host}:{self._server.port}"
        self._heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats())

    async def drain(self) -> None:
        """Announce the shutdown, deregister, then close."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._condition = "draining"
        await self._announce(f"/-/Instances.Announce/{self.settings.name}")
        await self._announce(f"/-/Instances.Deregister/{self.settings.name}")
        self.close()

    def close(self) -> None:
        """Close without an announcement."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self._server.stop()
        self._server.abort()

    # -- announcements

    async def _send_heartbeats(self) -> None:
        while True:
            await self._announce(f"/-/Instances.Announce/{self.settings.name}")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _announce(self, path: str) -> None:
        """Call a control-plane node; if it does not acknowledge, try the next one."""
        self._sequence += 1
        body = {
            "targetService": self.settings.service,
            "address": self._address,
            "zone": self.settings.zone,
            "edition": "1",
            "capacity": self.settings.slots,
            "condition": self._condition,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
        }
        call = HttpCall("POST", path, body=json.dumps(body).encode())
        for _ in range(len(self._control_addresses)):
            sent = await send_call(self._control_addresses[0], call)
            if isinstance(sent, Ok) and sent.ok_value.status < 300:
                return
            self._control_addresses.rotate(-1)

    # -- messages

    def _handle(self, request: Request, respond: RespondCallback) -> None:
        name = self.settings.name
        if request.target == "/health":
            respond(Response(200, (("Amberlug-Instance-Id", name),)))
            return
        attempt_header = (("Amberlug-Attempt-Id", request.header("amberlug-attempt-id") or ""),)
        if (request.header("amberlug-target-instance") or name) != name:
            respond(Response(421, attempt_header))
        elif self._busy_slots < self.settings.slots:
            self._start_run(request, respond)
        elif len(self._queue) < MAX_QUEUED:
            self._queue.append(_Queued(request, respond))
        else:
            respond(Response(503, (*attempt_header, ("Amberlug-Not-Executed", "full"))))

    def _start_run(self, request: Request, respond: RespondCallback) -> None:
        loop = asyncio.get_running_loop()
        self._busy_slots += 1
        attempt_id = request.header("amberlug-attempt-id") or ""
        sequence_key = request.header("amberlug-sequence-key") or ""
        run = Run(attempt_id, sequence_key, loop.time(), service=self.settings.service, target=request.target)
        self.runs.append(run)
        loop.call_later(self.settings.work_s, self._end_run, run, request, respond)

    def _end_run(self, run: Run, request: Request, respond: RespondCallback) -> None:
        run.ended_at = asyncio.get_running_loop().time()
        headers = [("Amberlug-Attempt-Id", run.attempt_id)]
        if request.body.startswith(UNPROCESSABLE_PREFIX):
            run.status = 422
        else:
            run.status, run.receipt = 200, f"{self.settings.name}.{len(self.runs)}"
            headers.append(("Amberlug-Server-Seal", run.receipt))
        respond(Response(run.status, tuple(headers), b"done"))
        self._busy_slots -= 1
        if self._queue:
            self._start_run(*self._queue.popleft())
