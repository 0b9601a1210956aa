"""A small deployment on loopback: the real relay in its own process, with test platform and partners."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from amberlug.http.link import ConnectionLostError, OutgoingConnection, dial
from amberlug.standin.checker import Checker, MessageRecord, Repeat
from amberlug.standin.partners import Behavior, Partner
from amberlug.standin.wire import PATIENCE, Platform

SECOND = 1_000_000
KEY_LIFE = 6.0
WANTED, DEADLINE = 1.0, 4.0  # seconds
CLASSES = {"result": Repeat.SAFE, "entry": Repeat.KEYED, "payment": Repeat.UNSAFE}
ANSWER = 2.0  # seconds for which a client waits for the relay's response


def settings() -> dict[str, Any]:
    """Return the settings object as the platform would provide it."""
    classes = [
        {
            "Name": name,
            "Semantics": repeat.value,
            "Group": "all",
            "KeyTtlUs": int(KEY_LIFE * SECOND),
            "AimUs": int(WANTED * SECOND),
            "DeadlineUs": int(DEADLINE * SECOND),
            "Worth": 4.0 if repeat is Repeat.UNSAFE else 1.0,
            "LateWorth": 0.5,
        }
        for name, repeat in CLASSES.items()
    ]
    return {
        "Accounts": [],
        "Balancers": 1,
        "Ordinal": 0,
        "Locality": "a",
        "Zones": ["a"],
        "Kinds": ["plain"],
        "Categories": classes,
        "OverShareWorth": 1.0,
        "Weights": "none",
        "GranularityUs": 1000,
        "RegistryMode": "push",
        "LoadReport": {"Names": [], "Via": "none"},
        "FamilyInfo": {"BundleMax": [1], "RoutesApart": [False], "Slots": 32, "Late": "linear"},
        "Bounds": {
            "Cancel": True,
            "ConnIdleUs": 5 * SECOND,
            "DialTimeoutUs": SECOND,
            "MaxOpen": 500,
            "MaxRetryAfterUs": SECOND,
            "MostTries": 12,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Rules": {
            "AnswerSlackUs": 50_000,
            "AskWithinUs": 10 * SECOND,
            "ColdShare": 0.15,
            "DrainGraceUs": 2 * SECOND,
            "OverloadFactor": 2.5,
            "OverloadForUs": 2 * SECOND,
            "WarmWithinUs": 12 * SECOND,
        },
    }


@dataclass(slots=True)
class Tally:
    """Counts of messages by the response to their submission."""

    handed_in: int = 0
    taken: int = 0
    refused: int = 0
    unanswered: int = 0


class Deployment:
    """The whole deployment, as an async context manager."""

    def __init__(self, folder: Path, behaviors: dict[int, list[Behavior]]) -> None:
        self._folder, self._behaviors = folder, behaviors
        self._loop = asyncio.get_running_loop()
        self.checker, self.platform, self.tally = Checker(), _Watched(self), Tally()
        self.partners: list[Partner] = []
        self._revision = 1
        self._links: list[OutgoingConnection] = []
        self.process: asyncio.subprocess.Process | None = None

    def clock(self) -> float:
        """Read the clock shared by all observers."""
        return self._loop.time()

    async def __aenter__(self) -> Deployment:
        await self.platform.start()
        for destination, behaviors in self._behaviors.items():
            for number, behavior in enumerate(behaviors):
                await self._add(f"{behavior.name}-{destination}{'abcdef'[number]}", destination, behavior)
        await self._start_relay()
        return self

    async def __aexit__(self, *error: object) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for link in self._links:
            link.close()
        for peer in (self.platform, *self.partners):
            await peer.stop()

    async def _add(self, endpoint: str, destination: int, behavior: Behavior) -> Partner:
        partner = Partner(endpoint, destination, behavior, self.checker, self.clock)
        await partner.start()
        self.partners.append(partner)
        return partner

    async def _start_relay(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self._port: int = sock.getsockname()[1]
        state = self._folder / "state"
        state.mkdir()
        members = [member(it) for it in self.partners]
        config = {
            "name": "try",
            "seed": "1",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{self.platform.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": settings(),
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        variables = os.environ | {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(state)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", "serve", env=variables, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while b"ready on" not in (line := await self.process.stderr.readline()):
                if not line:
                    raise OSError("the relay exited before it was ready")
        self._log = asyncio.ensure_future(self.process.stderr.read())

    async def replace(self, partner: Partner) -> None:
        """Drain one endpoint, and list a replacement."""
        added = await self._add(f"{partner.endpoint}-next", partner.destination, partner.behavior)
        self._revision += 1
        members = [member(partner, "terminating"), member(added)]
        self.checker.drained(partner.endpoint, self.clock())
        self.platform.tell(
            json.dumps({"revision": self._revision, "complete": False, "members": members}).encode()
        )

    async def hand_in(self, name: str, message_class: str, destination: int, body: bytes) -> None:
        """Submit a message as a client does, reusing an idle connection if there is one."""
        now, repeat = self.clock(), CLASSES[message_class]
        self.checker.handed_in(MessageRecord(name, destination, repeat, KEY_LIFE, now, now + DEADLINE))
        self.tally.handed_in += 1
        headers = [
            ("Req-Id", name),
            ("Req-Kind", message_class),
            ("Req-Deadline-Ms", str(int(DEADLINE * 1000))),
            ("Envelope", f"dest={destination}"),
        ]
        if repeat is Repeat.KEYED:
            headers.append(("Idempotency-Key", f"key-{name}"))
        while (link := self._links.pop() if self._links else None) is not None and not link.usable:
            link.close()
        link = link or await dial("127.0.0.1", self._port, ANSWER)
        if link is None:
            self.tally.unanswered += 1
            return
        try:
            async with asyncio.timeout(ANSWER):
                reply = await link.request("POST", f"/{message_class}", headers, body)
        except (TimeoutError, ConnectionLostError):
            link.close()
            self.tally.unanswered += 1
            return
        self._links.append(link)
        if reply.status in (200, 202):
            self.tally.taken += 1
            self.checker.taken(name, self.clock())
        else:
            self.tally.refused += 1

    @property
    def unended(self) -> int:
        """Number of accepted messages without an outcome."""
        records = self.checker.records.values()
        return sum(it.taken is not None and it.delivered is None and not it.ends for it in records)

    async def stop_relay(self) -> int:
        """Stop the relay with SIGTERM, as in a planned restart; return its exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            return await self.process.wait()


class _Watched(Platform):
    """The platform; passes its notices on to the checker."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment
        self.on_request = self._requested

    def _requested(self, seen: Any) -> bool:
        if seen.path == "/v1/notices":
            for line in seen.body.splitlines():
                told = json.loads(line)
                at = self._deployment.clock()
                self._deployment.checker.outcome_reported(told["message"], told["outcome"], at)
        return self._watch(seen)


def member(partner: Partner, phase: str = "in_service") -> dict[str, Any]:
    """Return an endpoint as discovery lists it."""
    return {
        "id": partner.endpoint,
        "host_port": f"127.0.0.1:{partner.port}",
        "locality": "a",
        "flavor": "plain",
        "cell": partner.destination,
        "phase": phase,
        "size": 0.0,
        "up_since_ms": 0,
    }
