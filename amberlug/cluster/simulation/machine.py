"""A simulated machine: its process can be started, killed, frozen and shut down; its disk outlasts it."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.edge.answer_history import VIOLATION_PREFIX
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.interfaces import Endpoints, RequestFailure
from amberlug.cluster.process import GRACE_MARGIN_S, ROUTE_REMOVAL_DELAY_S
from amberlug.cluster.settings import Settings
from amberlug.cluster.simulation.boundary_digest import BoundaryDigest
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import (
    ControlDisk,
    MessageDisk,
    ProcessDisk,
    ProcessMessageDisk,
    SimulatedDisk,
)
from amberlug.cluster.simulation.history import History, MachineInfo, Violation, What
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime
from amberlug.cluster.storage.node import StorageNode

OUTSIDE_S = 0.001  # one-way delay between a machine and its clients
RESTART_S = 0.8
WALL_S = 1.79e9
STOP_S = 0.02  # between checks whether a control-plane or storage node may end
BOUNDS = {
    "seedLagS": 3.0,
    "reuseAfterS": 2.0,
    "contactMs": 4000.0,
    "ackMs": 5000.0,
    "catchUpS": 4.5,
    "drainMs": 3000.0,
    "graceS": 6.0,
    "configApplyMs": 3000.0,
    "completedS": 10.0,
    "statusTtlS": 120.0,
    "earlyMs": 100.0,
    "stretchMaxMs": 12000.0,
    "ceilingWindowS": 5.0,
    "ceilingOver": 1.1,
}


class MachineHost(Protocol):
    """What a machine needs of the deployment that it belongs to."""

    rng: random.Random
    clock: Clock
    digest: BoundaryDigest
    history: History
    net: Network
    sync_s: float

    def random_for(self, what: str) -> random.Random:
        """Create a random number generator for one part."""

    def settings(self, machine: Machine) -> Settings:
        """The current settings file of a machine."""

    def failed(self, incarnation: Incarnation, error: AssertionError) -> None:
        """Handle a failed assertion in a process, which ends it."""

    def endpoint_client(self, incarnation: Incarnation) -> Endpoints:
        """Create the endpoint client of a process."""

    def on_process_ended(self, incarnation: Incarnation) -> None:
        """Close the connections from a process that has ended to endpoints."""


class Machine(Host):
    """One machine and its disk."""

    def __init__(
        self, deployment: MachineHost, kind: str, name: str, zone: str, address: str, first: bool = True
    ) -> None:
        super().__init__(name, zone, address)
        self.deployment, self.kind = deployment, kind
        deployment.history.machine_infos[name] = MachineInfo(name, kind)
        self.ip = address.rpartition(":")[0]
        self.control: str = f"{self.ip}:7000"
        self.wall_clock = WALL_S + deployment.rng.uniform(-0.02, 0.02)
        self.lives = 0
        self.first = first
        self.disk: SimulatedDisk | None = None
        if kind != "edge":
            make = ControlDisk if kind == "core" else MessageDisk
            rng = deployment.random_for(f"disk {name} {address}")
            self.disk = make(deployment.clock, rng, deployment.sync_s)
            self.disk.name, self.disk.digest = name, deployment.digest
            if isinstance(self.disk, MessageDisk):
                self.disk.on_disk_reset = partial(deployment.history.record_emptied_store, name)

    @property
    def up(self) -> bool:
        """Whether a process runs here; a frozen one counts as running."""
        return self.incarnation is not None and not self.incarnation.over

    @property
    def part(self) -> Any:
        """The node that runs here: an EdgeNode, StorageNode or ControlNode."""
        assert self.incarnation is not None, "no process runs on this machine"
        return self.incarnation.machine

    def start(self) -> None:
        """Power on, and start the process unless it runs already."""
        if self.up:
            return
        deployment = self.deployment
        self.powered = True
        self.lives += 1
        deployment.history.record_event(self.name, What.START)
        incarnation = self.incarnation = Incarnation(self, self.lives, deployment.failed)
        rng = deployment.random_for(f"{self.name} {self.lives}")
        world = SimulatedRuntime(deployment.net, incarnation, rng, self.wall_clock)
        settings = deployment.settings(self)
        if isinstance(self.disk, ControlDisk):
            saved = self.disk.load(lambda: blank(settings, rng.getrandbits))
            incarnation.machine = ControlNode(
                world, settings, self.address, ProcessDisk(incarnation, self.disk), saved
            )
        elif isinstance(self.disk, MessageDisk):
            message_store = ProcessMessageDisk(incarnation, self.disk)
            incarnation.machine = StorageNode(world, settings, self.address, message_store, self.disk.load())
        else:
            incarnation.machine = EdgeNode(
                world, settings, self.address, deployment.endpoint_client(incarnation)
            )
        self.first = False
        part: Any = incarnation.machine
        incarnation.do(part.begin)

    def kill(self) -> None:
        """Kill the process; its connections are reset."""
        if self.up:
            self._end(self.disk.lose if self.disk is not None else lambda: None)

    def _end(self, disk: Callable[[], None]) -> None:
        incarnation = self.incarnation
        assert incarnation is not None, "no process runs on this machine"
        self.deployment.history.record_event(self.name, What.END)
        self.note_violations()
        incarnation.over = True
        disk()
        for link in list(incarnation.links.values()):
            link.close(0, RequestFailure.CONNECTION_LOST, True)
        for link in list(incarnation.incoming):
            link.close(1, RequestFailure.CONNECTION_LOST, True)
        for close in list(incarnation.calls):
            self.deployment.clock.call_later(OUTSIDE_S, close)
        self.deployment.on_process_ended(incarnation)

    def power_off(self) -> None:
        """Power off: the process ends, and its connections stay silent instead of being reset."""
        self.powered = False
        incarnation = self.incarnation
        if incarnation is None or incarnation.over:
            return
        self.deployment.history.record_event(self.name, What.END)
        self.note_violations()
        incarnation.over = True
        if self.disk is not None:
            self.disk.lose()
        for link in incarnation.links.values():
            link.close_silently(0)
        for link in incarnation.incoming:
            link.close_silently(1)

    def note_violations(self) -> None:
        """Record the invariant violations that the running process has counted itself."""
        for name, count in self.part.counters.items() if self.up else ():
            if name.startswith(VIOLATION_PREFIX):
                self.deployment.history.faults.append(Violation("INVARIANT", f"{self.name}: {name}, {count}"))

    def freeze(self) -> None:
        """Freeze the process, if one runs: its events wait until `thaw`."""
        if self.up and self.incarnation is not None:
            self.deployment.history.record_event(self.name, What.FREEZE)
            self.incarnation.frozen = True

    def thaw(self) -> None:
        """Resume the process, which then handles the events that waited."""
        if self.incarnation is not None:
            if self.up:
                self.deployment.history.record_event(self.name, What.THAW)
            self.incarnation.thaw(self.deployment.rng)

    def wipe(self) -> None:
        """Empty the disk; the process must not be running."""
        assert not self.up, "a disk is wiped only while its machine is down"
        if isinstance(self.disk, ControlDisk | MessageDisk):
            self.disk.wipe()

    def term(self) -> None:
        """Request an orderly shutdown; the process ends once idle, an edge node also after its grace."""
        incarnation = self.incarnation
        if incarnation is None or incarnation.over:
            return
        self.deployment.history.record_event(self.name, What.TERM)
        incarnation.do(incarnation.machine.begin_shutdown)
        clock = self.deployment.clock
        if self.kind != "edge":
            clock.call_later(STOP_S, partial(self._end_when_idle, incarnation))
            return
        grace = BOUNDS["graceS"]
        self._wind_up(incarnation, clock.now + ROUTE_REMOVAL_DELAY_S, clock.now + grace - GRACE_MARGIN_S)

    def _end_when_idle(self, incarnation: Incarnation) -> None:
        if incarnation.over:
            return
        if incarnation.machine.is_idle:
            self._finish(incarnation)
        else:
            self.deployment.clock.call_later(STOP_S, partial(self._end_when_idle, incarnation))

    def _wind_up(self, incarnation: Incarnation, served_until: float, until: float) -> None:
        if incarnation.over:
            return
        now = self.deployment.clock.now
        if now >= until or (now >= served_until and not incarnation.calls and incarnation.machine.is_idle):
            self._finish(incarnation)
        else:
            self.deployment.clock.call_later(0.05, partial(self._wind_up, incarnation, served_until, until))

    def _finish(self, incarnation: Incarnation) -> None:
        if not incarnation.over:
            self._end(self.disk.close if self.disk is not None else lambda: None)
