"""A stand-in for a service's endpoint: it works on messages, and announces itself to control relays."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass

from result import Ok

from amberlug.cluster.http.connection import RespondCallback
from amberlug.cluster.http.message import Request, Response
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server
from amberlug.cluster.local_deployment.queries import ask

BEAT_S = 0.5
WAITING_MOST = 8  # messages that wait for a slot
POISON = b"poison"  # a body that begins so can never be done


@dataclass(slots=True)
class Run:
    """A message's run at an endpoint; times of the loop's clock."""

    attempt: str
    key: str
    begun: float
    ended: float = 0.0
    status: int = 0
    seal: str = ""


class StandIn:
    """One endpoint."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        controls: Sequence[str],
        slots: int = 4,
        work_s: float = 0.05,
    ) -> None:
        self.name, self.service, self.zone, self.controls = name, service, zone, list(controls)
        self.slots, self.work_s = slots, work_s
        self.runs: list[Run] = []
        self._server = Server(self._handle, self._limits)
        self._waiting: list[tuple[Request, RespondCallback]] = []
        self._busy = 0
        self._beats: asyncio.Task[None] | None = None
        self._address = ""
        self._condition, self._sequence = "ready", 0

    @staticmethod
    def _limits() -> Limits:
        return Limits(body_bytes=1 << 20, idle_s=30.0)

    async def begin(self, host: str, port: int) -> None:
        """Listen, and announce from now on."""
        await self._server.listen(host, port)
        self._address = f"{host}:{self._server.port}"
        self._beats = asyncio.get_running_loop().create_task(self._announce())

    async def end(self) -> None:
        """Say that it leaves, then end."""
        if self._beats is not None:
            self._beats.cancel()
        self._condition = "draining"
        await self._call(f"/-/Instances.Announce/{self.name}")
        await self._call(f"/-/Instances.Deregister/{self.name}")
        self.close()

    def close(self) -> None:
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.stop()
        self._server.abort()

    async def _announce(self) -> None:
        while True:
            await self._call(f"/-/Instances.Announce/{self.name}")
            await asyncio.sleep(BEAT_S)

    async def _call(self, path: str) -> bool:
        """Tell one control relay; the next one where that one does not answer."""
        self._sequence += 1
        said = {
            "targetService": self.service,
            "address": self._address,
            "zone": self.zone,
            "edition": "1",
            "capacity": self.slots,
            "condition": self._condition,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
        }
        for _ in self.controls:
            told = await ask(self.controls[0], "POST", path, body=json.dumps(said).encode())
            if isinstance(told, Ok) and told.ok_value.status < 300:
                return True
            self.controls.append(self.controls.pop(0))
        return False

    # -- messages

    def _handle(self, asked: Request, respond: RespondCallback) -> None:
        if asked.target == "/health":
            respond(Response(200, (("Amberlug-Instance-Id", self.name),)))
            return
        attempt = asked.header("amberlug-attempt-id") or ""
        named = (("Amberlug-Attempt-Id", attempt),)
        meant = asked.header("amberlug-target-instance")
        if meant is not None and meant != self.name:
            respond(Response(421, named))
        elif self._busy >= self.slots and len(self._waiting) >= WAITING_MOST:
            respond(Response(503, (*named, ("Amberlug-Not-Executed", "full"))))
        elif self._busy >= self.slots:
            self._waiting.append((asked, respond))
        else:
            self._begin(asked, respond)

    def _begin(self, asked: Request, respond: RespondCallback) -> None:
        loop = asyncio.get_running_loop()
        self._busy += 1
        run = Run(
            asked.header("amberlug-attempt-id") or "",
            asked.header("amberlug-sequence-key") or "",
            loop.time(),
        )
        self.runs.append(run)
        loop.call_later(self.work_s, self._done, run, asked, respond)

    def _done(self, run: Run, asked: Request, respond: RespondCallback) -> None:
        run.ended = asyncio.get_running_loop().time()
        headers = [("Amberlug-Attempt-Id", run.attempt)]
        if asked.body.startswith(POISON):
            run.status = 422
        else:
            run.status, run.seal = 200, f"{self.name}.{len(self.runs)}"
            headers.append(("Amberlug-Server-Seal", run.seal))
        respond(Response(run.status, tuple(headers), b"done"))
        self._busy -= 1
        if self._waiting:
            self._begin(*self._waiting.pop(0))
