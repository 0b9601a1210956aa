"""A small deployment on loopback: each machine is a process with a separate address and the same ports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sqlite3
import subprocess
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import yaml
from result import Ok

from amberlug.cluster.interfaces import Json
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call
from amberlug.cluster.settings import SETTINGS_FILE_VARIABLE
from amberlug.cluster.storage.message_store import FILE_NAME as MESSAGE_STORE_FILE

FRONT_PORT, READINESS_PORT, CONTROL_PORT, ENDPOINT_PORT = 8263, 8268, 8262, 8080
INTERNAL_PORTS = (7300, 7315)
ZONES = {"north": "valley", "south": "valley"}  # zone to region
DEFAULT_NET = "127.0.1"  # first three octets of the addresses, used if they are free
MACHINES_PER_CLASS = 3
READY_TIMEOUT_S = 15.0  # for all edge nodes to be ready
PROBE_TIMEOUT_S = 0.5
GRACE_S = 3.0  # the processes' shutdown grace period, written to their settings
KILL_AFTER_S = 5.0  # from SIGTERM to SIGKILL
POLL_INTERVAL_S = 0.05
SERVICES = {"weigh": False, "clear": True}  # whether messages of one sequence key are delivered in order
HOST = "try.example"
FAULTS_FILE_VARIABLE = "AMBERLUG_NETWORK_FAULTS"  # path of the file that `faulty_process` reads
FAULTY_PROGRAM = ("amberlug.cluster.local_deployment.faulty_process",)
PROGRAM = ("amberlug.cluster", "run")  # the module that each machine runs, with its arguments

Condition = Callable[[], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class MachineClass:
    """A class of machines and the role that they serve.

    :param ports: HTTP ports by binding.
    :param first_host: last octet of the first machine's address.
    """

    name: str
    serves: str
    ports: Mapping[str, int]
    first_host: int


MACHINE_CLASSES = (
    MachineClass("core", "control_plane", {"control": CONTROL_PORT}, 10),
    MachineClass("storage", "storage", {}, 20),
    MachineClass("edge", "edge", {"front": FRONT_PORT, "readiness": READINESS_PORT}, 30),
)


def initial_config() -> Json:
    """The initial configuration."""
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


def free_net(rng: random.Random, first: str = DEFAULT_NET) -> str:
    """Find the first three octets of loopback addresses that are not in use.

    :param first: the octets to try first.
    """
    net = first
    while not _is_free_net(net):
        net = random_net(rng)
    return net


def random_net(rng: random.Random) -> str:
    """The first three octets of random loopback addresses."""
    return f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"


def _is_free_net(net: str) -> bool:
    ports = (CONTROL_PORT, FRONT_PORT, READINESS_PORT, INTERNAL_PORTS[0])
    hosts = [
        f"{net}.{machine_class.first_host + number}"
        for machine_class in MACHINE_CLASSES
        for number in range(MACHINES_PER_CLASS)
    ]
    return all(_is_free_address(host, port) for host in hosts for port in ports)


def _is_free_address(host: str, port: int) -> bool:
    with socket.socket() as probe:
        # As the nodes do, so that connections left by an earlier process do not matter.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@dataclass(slots=True)
class Machine:
    """One machine: its settings file, and its process while it is running."""

    name: str
    machine_class: str
    ip: str
    zone: str
    settings_path: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def has_exited(self) -> bool:
        """Whether its process has exited on its own."""
        return self.process is not None and self.process.poll() is not None


class Deployment:
    """Three machines of each class, in two zones.

    :param folder: holds settings files, logs and the machines' data.
    :param net: the first three octets of their addresses.
    """

    def __init__(self, folder: Path, net: str, program: Sequence[str] = PROGRAM) -> None:
        self.folder, self.net, self.program = folder, net, program
        self.machines: dict[str, Machine] = {}
        zones = list(ZONES)
        for machine_class in MACHINE_CLASSES:
            for number in range(MACHINES_PER_CLASS):
                name = f"{machine_class.name}-{number + 1}"
                ip = f"{net}.{machine_class.first_host + number}"
                zone, path = zones[number % len(zones)], folder / f"{name}.yaml"
                self.machines[name] = Machine(name, machine_class.name, ip, zone, path)
        self.control_addresses = [
            f"{machine.ip}:{CONTROL_PORT}" for machine in self.machines_of_class("core")
        ]

    def machines_of_class(self, machine_class: str) -> list[Machine]:
        """All machines of a class."""
        return [machine for machine in self.machines.values() if machine.machine_class == machine_class]

    @property
    def network_faults_path(self) -> Path:
        """The file that cuts links between machines that run `faulty_process`."""
        return self.folder / "network-faults.json"

    @property
    def front_addresses(self) -> list[str]:
        """The client addresses of the running edge nodes."""
        return [
            f"{machine.ip}:{FRONT_PORT}"
            for machine in self.machines_of_class("edge")
            if machine.process is not None
        ]

    # -- files

    def write_settings(self, first_start: bool) -> None:
        """Write the settings files and the configuration."""
        for machine_class in MACHINE_CLASSES:
            for machine in self.machines_of_class(machine_class.name):
                text = yaml.safe_dump(self._settings_of(machine, machine_class, first_start), sort_keys=False)
                # Replaced atomically: a running process that polls the file must not read a partial one.
                temporary = machine.settings_path.with_suffix(".new")
                temporary.write_text(text)
                temporary.replace(machine.settings_path)
        (self.folder / "configuration.json").write_text(json.dumps(initial_config(), indent=2) + "\n")

    def _settings_of(self, machine: Machine, machine_class: MachineClass, first_start: bool) -> Json:
        is_edge = machine_class.name == "edge"
        return {
            "nodeName": machine.name,
            "function": machine_class.name,
            "machineClass": machine_class.name,
            "serves": [machine_class.serves],
            "ipAddress": machine.ip,
            "zone": machine.zone,
            "region": ZONES[machine.zone],
            "zones": ZONES,
            "bindings": {name: f"{machine.ip}:{port}" for name, port in machine_class.ports.items()},
            "internalPorts": list(INTERNAL_PORTS),
            "seedNodes": self.control_addresses,
            "firstStart": first_start,
            "counted": not is_edge,
            "dataDir": None if is_edge else str(self._data_folder(machine)),
            "heartbeatMs": 500,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"graceS": GRACE_S},
        }

    # -- processes

    def start(self, machine: Machine) -> None:
        """Start a machine's process, with a separate log file."""
        project_folder = str(Path(__file__).parents[3])
        paths = [project_folder, *filter(None, [os.environ.get("PYTHONPATH")])]
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", *self.program],
                env={
                    **os.environ,
                    SETTINGS_FILE_VARIABLE: str(machine.settings_path),
                    FAULTS_FILE_VARIABLE: str(self.network_faults_path),
                    "PYTHONPATH": os.pathsep.join(paths),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C must reach only the trial, which shuts them down in order
            )

    def start_all(self) -> None:
        """Start all machines for the first time."""
        self.write_settings(first_start=True)
        for machine in self.machines.values():
            self.start(machine)

    def kill(self, machine: Machine) -> None:
        """Kill a machine's process."""
        process, machine.process = machine.process, None
        if process is not None:
            process.kill()
            process.wait()

    def disk_id_of(self, machine: Machine) -> str | None:
        """The id of a storage node's disk, read from its database; None if there is none."""
        path = self._data_folder(machine) / MESSAGE_STORE_FILE
        if not path.exists():
            return None
        with contextlib.closing(sqlite3.connect(path)) as database:
            try:
                row = database.execute("select value from about where name = 'disk'").fetchone()
            except sqlite3.Error:
                return None  # it was killed before it had initialized the database
        return str(row[0]) if row is not None else None

    def erase_disk(self, machine: Machine) -> None:
        """Delete the data folder of a machine that is not running."""
        assert machine.process is None, "the machine must be stopped before its disk is erased"
        shutil.rmtree(self._data_folder(machine), ignore_errors=True)

    def _data_folder(self, machine: Machine) -> Path:
        return self.folder / f"{machine.name}.data"

    def kill_all(self) -> None:
        """Kill all running processes."""
        for machine in self.machines.values():
            self.kill(machine)

    def exited(self) -> list[str]:
        """Names of the machines whose processes have exited on their own."""
        return [machine.name for machine in self.machines.values() if machine.has_exited]

    def find_in_logs(self, markers: Sequence[str]) -> list[str]:
        """The log entries of all processes that contain one of the markers, with the machine's name."""
        return [
            f"{machine.name} logs: {entry}"
            for machine in self.machines.values()
            for entry in (self.folder / f"{machine.name}.log").read_text(errors="replace").splitlines()
            if any(marker in entry for marker in markers)
        ]

    async def stop(self) -> list[str]:
        """Stop all processes.

        :returns: names of the machines whose process exited early, not in time, or with a nonzero code.
        """
        running = [machine for machine in self.machines.values() if machine.process is not None]
        unclean = self.exited()
        for machine in running:
            if machine.process is not None and not machine.has_exited:
                machine.process.send_signal(signal.SIGTERM)
        await self._wait_for_exit(running)
        for machine in running:
            is_clean = machine.process is not None and machine.process.poll() == 0
            if not is_clean and machine.name not in unclean:
                unclean.append(machine.name)
            self.kill(machine)
        return unclean

    async def _wait_for_exit(self, machines: list[Machine]) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + KILL_AFTER_S
        while not all(machine.has_exited for machine in machines) and loop.time() <= deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    # -- conditions

    async def wait_until_ready(self) -> bool:
        """Wait until all edge nodes are ready; False on timeout or if a process has exited."""
        return await self.wait_until(self._all_ready, READY_TIMEOUT_S)

    async def _all_ready(self) -> bool:
        probe = HttpCall("GET", "/-/readiness")
        sent = await asyncio.gather(
            *(
                send_call(f"{machine.ip}:{READINESS_PORT}", probe, PROBE_TIMEOUT_S)
                for machine in self.machines_of_class("edge")
            )
        )
        return all(isinstance(reply, Ok) and reply.ok_value.status == 200 for reply in sent)

    async def wait_until(self, condition: Condition, timeout_s: float) -> bool:
        """Wait for a condition; False on timeout or if a process has exited."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not await condition():
            if loop.time() > deadline or self.exited():
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True
