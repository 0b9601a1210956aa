"""A small deployment on loopback: each machine is a process at an address of its own, with equal ports."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import yaml
from result import Ok

from amberlug.cluster.interfaces import Json
from amberlug.cluster.local_deployment.queries import ask
from amberlug.cluster.settings import SETTINGS_FILE_VARIABLE

FRONT, READINESS, CONTROL, INTERNAL, ENDPOINT = 8263, 8268, 8262, (7300, 7315), 8080
ZONES = {"north": "valley", "south": "valley"}
USUAL = "127.0.1"  # the first three numbers of the addresses, where they are free
READY_S = 15.0  # for all edges to be ready
GRACE_S = 3.0  # that the processes are told to end within
KILL_S = 5.0  # from SIGTERM to SIGKILL
LOOK_S = 0.05
KINDS: tuple[tuple[str, str, dict[str, int], int], ...] = (
    # class, what it serves, its bindings, the first of its addresses
    ("core", "control_plane", {"control": CONTROL}, 10),
    ("storage", "storage", {}, 20),
    ("edge", "edge", {"front": FRONT, "readiness": READINESS}, 30),
)
SERVICES = {"weigh": False, "clear": True}  # whether its messages go in sequence
HOST = "try.example"

Condition = Callable[[], Awaitable[bool]]


def config() -> Json:
    """The configuration that is put in place first."""
    return {
        "edition": 1,
        "routeTable": [
            {
                "name": f"to-{service}",
                "authority": HOST,
                "pathPrefix": f"/{service}/",
                "routeType": "deferred",
                "expiryMs": 1500,
                "targetMs": 100,
                "precedence": 1,
                "targetService": service,
                "maxAttempts": 4,
                "inSequence": in_sequence,
                "retentionS": 90.0,
                "notifyUri": False,
                "startTargetMs": 1200,
            }
            for service, in_sequence in SERVICES.items()
        ],
        "serviceTable": [
            {"name": service, "healthPath": "/health", "maxConnections": 100} for service in SERVICES
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimerMs": 3000,
            "idleTimerMs": 15000,
        },
    }


def free_net(rng: random.Random) -> str:
    """Three numbers of loopback addresses at which nobody listens: the usual ones, else some."""
    net = USUAL
    while not all(
        _free(f"{net}.{first + at}", port)
        for _, _, _, first in KINDS
        for at in range(3)
        for port in (CONTROL, FRONT, READINESS, INTERNAL[0])
    ):
        net = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"
    return net


def _free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(
            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
        )  # as the programs do: who was here is no matter
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@dataclass(slots=True)
class Machine:
    """One machine: its settings file, and its process while it runs."""

    name: str
    kind: str
    ip: str
    zone: str
    path: Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Three machines of each class, in two zones."""

    def __init__(self, folder: Path, net: str) -> None:
        self.folder, self.net = folder, net
        self.machines: dict[str, Machine] = {}
        for kind, _, _, first in KINDS:
            for at in range(3):
                name, zone = f"{kind}-{at + 1}", list(ZONES)[at % 2]
                self.machines[name] = Machine(
                    name, kind, f"{net}.{first + at}", zone, folder / f"{name}.yaml"
                )
        self.controls = [f"{it.ip}:{CONTROL}" for it in self.of("core")]

    def of(self, kind: str) -> list[Machine]:
        """All machines of a class."""
        return [it for it in self.machines.values() if it.kind == kind]

    @property
    def fronts(self) -> list[str]:
        """Where clients may go."""
        return [f"{it.ip}:{FRONT}" for it in self.of("edge") if it.process is not None]

    def write(self, first_start: bool) -> None:
        """Write the settings files and the configuration."""
        for kind, serves, bindings, _ in KINDS:
            for it in self.of(kind):
                data = {
                    "nodeName": it.name,
                    "function": kind,
                    "machineClass": kind,
                    "serves": [serves],
                    "ipAddress": it.ip,
                    "zone": it.zone,
                    "region": ZONES[it.zone],
                    "zones": ZONES,
                    "bindings": {name: f"{it.ip}:{port}" for name, port in bindings.items()},
                    "internalPorts": list(INTERNAL),
                    "seedNodes": self.controls,
                    "firstStart": first_start,
                    "counted": kind != "edge",
                    "dataDir": str(self.folder / f"{it.name}.data") if kind != "edge" else None,
                    "heartbeatMs": 500,
                    "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                    "bounds": {"graceS": GRACE_S},
                }
                # Guards against a process that reads half a file: it looks at the file while it runs.
                beside = it.path.with_suffix(".new")
                beside.write_text(yaml.safe_dump(data, sort_keys=False))
                beside.replace(it.path)
        (self.folder / "configuration.json").write_text(json.dumps(config(), indent=2) + "\n")

    def start(self, machine: Machine) -> None:
        """Start a machine's process; what it says goes to a file of its own."""
        above = str(Path(__file__).parents[3])
        paths = [above, *filter(None, [os.environ.get("PYTHONPATH")])]
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "amberlug.cluster", "run"],
                env={
                    **os.environ,
                    SETTINGS_FILE_VARIABLE: str(machine.path),
                    "PYTHONPATH": os.pathsep.join(paths),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C is for `try` alone: it ends them in order
            )

    def start_all(self) -> None:
        """Start all for the first time."""
        self.write(first_start=True)
        for machine in self.machines.values():
            self.start(machine)

    def kill(self, machine: Machine) -> None:
        """Kill a machine's process."""
        process, machine.process = machine.process, None
        if process is not None:
            process.kill()
            process.wait()

    async def ready(self) -> bool:
        """Wait until all edges are ready."""
        return await self.until(self._all_ready, READY_S)

    async def _all_ready(self) -> bool:
        asked = [ask(f"{it.ip}:{READINESS}", "GET", "/-/readiness", within=0.5) for it in self.of("edge")]
        return all(isinstance(it, Ok) and it.ok_value.status == 200 for it in await asyncio.gather(*asked))

    async def until(self, true: Condition, seconds: float) -> bool:
        """Wait until something is so, or a process has ended by itself, or the time is up."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while not await true():
            if loop.time() > until or self.ended():
                return False
            await asyncio.sleep(LOOK_S)
        return True

    def ended(self) -> list[str]:
        """Machines whose processes have ended by themselves."""
        return [
            it.name
            for it in self.machines.values()
            if it.process is not None and it.process.poll() is not None
        ]

    async def stop(self) -> list[str]:
        """End all processes in order; who did not end within the grace, or not with 0."""
        left = [it for it in self.machines.values() if it.process is not None]
        wrong = self.ended()
        for it in left:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        until = loop.time() + KILL_S
        while any(it.process is not None and it.process.poll() is None for it in left):
            if loop.time() > until:
                break
            await asyncio.sleep(LOOK_S)
        for it in left:
            if it.process is not None and it.process.poll() != 0 and it.name not in wrong:
                wrong.append(it.name)
            self.kill(it)
        return wrong

    def kill_all(self) -> None:
        """Kill what still runs."""
        for it in self.machines.values():
            self.kill(it)
