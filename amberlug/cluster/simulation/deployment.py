"""A deployment's machines: started, killed, frozen, rolled and wiped, with calls to them from outside."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.http.api import HttpResponse
from amberlug.cluster.interfaces import Json, RequestFailure
from amberlug.cluster.process import GRACE_MARGIN_S, STILL_ROUTED_S
from amberlug.cluster.settings import Settings, Tolerance
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import (
    ControlDisk,
    MessageDisk,
    ProcessDisk,
    ProcessMessageDisk,
    SimulatedDisk,
)
from amberlug.cluster.simulation.endpoints import EndpointClient, EndpointFleet, Kind
from amberlug.cluster.simulation.history import Broken, History, Place, What
from amberlug.cluster.simulation.network import Host, Incarnation, Network, SimulatedRuntime
from amberlug.cluster.storage.node import StorageNode

OUTSIDE_S = 0.001  # from outside to a machine, one way
RESTART_S = 0.8
WALL_S = 1.79e9
STOP_S = 0.02  # a core's or a store's planned end
ONE_MACHINE = Tolerance(1, 0, 0)
REFUSED, CLOSED, SILENT = 0, -1, -2  # instead of an answer's status
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


@dataclass(frozen=True, slots=True)
class Request:
    """A request from outside; names of headers in small letters."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


class Machine(Host):
    """One machine and its disk."""

    def __init__(
        self, deployment: Deployment, kind: str, name: str, zone: str, address: str, first: bool = True
    ) -> None:
        super().__init__(name, zone, address)
        self.deployment, self.kind = deployment, kind
        deployment.history.places[name] = Place(name, kind)
        self.ip = address.rpartition(":")[0]
        self.control: str = f"{self.ip}:7000"
        self.wall_clock = WALL_S + deployment.chance.uniform(-0.02, 0.02)
        self.lives = 0
        self.first = first
        self.disk: SimulatedDisk | None = None
        if kind != "edge":
            make = ControlDisk if kind == "core" else MessageDisk
            chance = deployment.draw(f"disk {name} {address}")
            self.disk = make(deployment.clock, chance, deployment.sync_s)
            self.disk.name, self.disk.digest = name, deployment.digest
            if isinstance(self.disk, MessageDisk):
                self.disk.on_anew = partial(deployment.history.store_emptied, name)

    @property
    def up(self) -> bool:
        return self.life is not None and not self.life.over

    @property
    def part(self) -> Any:
        """What runs here: an Edge, a Store or a Core."""
        assert self.life is not None, "nothing runs here"
        return self.life.machine

    def start(self) -> None:
        """Start the process, where none runs."""
        if self.up:
            return
        deployment = self.deployment
        self.powered = True
        self.lives += 1
        deployment.history.mark(self.name, What.START)
        life = self.life = Incarnation(self, self.lives, deployment.failed)
        chance = deployment.draw(f"{self.name} {self.lives}")
        world = SimulatedRuntime(deployment.net, life, chance, self.wall_clock)
        settings = deployment.settings(self)
        if isinstance(self.disk, ControlDisk):
            saved = self.disk.begun(lambda: blank(settings, chance.getrandbits))
            life.machine = ControlNode(world, settings, self.address, ProcessDisk(life, self.disk), saved)
        elif isinstance(self.disk, MessageDisk):
            message_store = ProcessMessageDisk(life, self.disk)
            life.machine = StorageNode(world, settings, self.address, message_store, self.disk.begun())
        else:
            life.machine = EdgeNode(
                world, settings, self.address, EndpointClient(deployment.endpoint_fleet, life)
            )
        self.first = False
        part: Any = life.machine
        life.do(part.begin)

    def kill(self) -> None:
        """The process ends at once; its connections are reset."""
        if self.up:
            self._end(self.disk.lose if self.disk is not None else lambda: None)

    def _end(self, disk: Callable[[], None]) -> None:
        life = self.life
        assert life is not None, "nothing runs here"
        self.deployment.history.mark(self.name, What.END)
        life.over = True
        disk()
        for link in list(life.links.values()):
            link.close(0, RequestFailure.CONNECTION_LOST, True)
        for link in list(life.incoming):
            link.close(1, RequestFailure.CONNECTION_LOST, True)
        for close in list(life.calls):
            self.deployment.clock.call_later(OUTSIDE_S, close)
        self.deployment.endpoint_fleet.closed(life)

    def power_off(self) -> None:
        """The machine is without power: all of it is silent."""
        self.powered = False
        life = self.life
        if life is None or life.over:
            return
        self.deployment.history.mark(self.name, What.END)
        life.over = True
        if self.disk is not None:
            self.disk.lose()
        for link in life.links.values():
            link.silence(0)
        for link in life.incoming:
            link.silence(1)

    def freeze(self) -> None:
        if self.up and self.life is not None:
            self.deployment.history.mark(self.name, What.FREEZE)
            self.life.frozen = True

    def thaw(self) -> None:
        if self.life is not None:
            if self.up:
                self.deployment.history.mark(self.name, What.THAW)
            self.life.thaw(self.deployment.chance)

    def wipe(self) -> None:
        """The disk is empty from now on; nothing runs here."""
        assert not self.up, "a disk is wiped while its machine is down"
        if isinstance(self.disk, ControlDisk | MessageDisk):
            self.disk.wipe()

    def term(self) -> None:
        """The process is told to end, winds up as the program does and ends."""
        life = self.life
        if life is None or life.over:
            return
        self.deployment.history.mark(self.name, What.TERM)
        life.do(life.machine.leave)
        clock = self.deployment.clock
        if self.kind != "edge":
            clock.call_later(STOP_S, partial(self._end_when_idle, life))
            return
        grace = BOUNDS["graceS"]
        self._wind_up(life, clock.now + STILL_ROUTED_S, clock.now + grace - GRACE_MARGIN_S)

    def _end_when_idle(self, life: Incarnation) -> None:
        if life.over:
            return
        if life.machine.idle:
            self._finish(life)
        else:
            self.deployment.clock.call_later(STOP_S, partial(self._end_when_idle, life))

    def _wind_up(self, life: Incarnation, served_until: float, until: float) -> None:
        if life.over:
            return
        now = self.deployment.clock.now
        if now >= until or (now >= served_until and not life.calls and life.machine.idle):
            self._finish(life)
        else:
            self.deployment.clock.call_later(0.05, partial(self._wind_up, life, served_until, until))

    def _finish(self, life: Incarnation) -> None:
        if not life.over:
            self._end(self.disk.close if self.disk is not None else lambda: None)


class Deployment:
    """All of it, from one seed."""

    def __init__(
        self,
        seed: int,
        zones: int,
        edges: int,
        stores: int,
        cores: int,
        kinds: list[Kind],
        heartbeat_s: float,
        tolerance: Tolerance = ONE_MACHINE,
        regions: int = 1,
    ) -> None:
        self.seed = seed
        self.chance = self.draw("deployment")
        self.clock = Clock()
        self.history = History(self.clock)
        self.heartbeat_s = heartbeat_s
        self.sync_s = 0.002
        self.net = Network(self.clock, self.draw("network"), self.chance.choice((0.0005, 0.0009, 0.003)))
        self.net.told = self.history.links_are
        self.digest = self.net.digest
        self.seeds: list[Machine] = []  # the settings file's; the first core machines where there are none
        self.zones = [f"z{number}" for number in range(zones)]
        self.regions = {zone: f"r{number % regions}" for number, zone in enumerate(self.zones)}
        self.net.regions = self.regions
        self.tolerance = tolerance
        self.endpoint_fleet = EndpointFleet(self, kinds)
        self._added = 0
        self.edges = self._make("edge", edges)
        self.stores = self._make("store", stores)
        self.cores = self._make("core", cores)

    def draw(self, what: str) -> random.Random:
        """Chance of its own for one part, so that parts do not disturb each other's draws."""
        return random.Random(f"{self.seed} {what}")

    def _make(self, kind: str, count: int) -> list[Machine]:
        at = {"edge": 1, "store": 2, "core": 3}[kind]
        made = []
        for number in range(count):
            zone = number % len(self.zones)
            address = f"10.{zone}.{at}.{number + 1}:7300"
            machine = Machine(self, kind, f"{kind}-{number}", self.zones[zone], address)
            self.net.hosts[machine.address] = machine
            made.append(machine)
        return made

    def add(self, kind: str, zone: str, name: str = "") -> Machine:
        """A further machine, empty and at an address of its own; its process is not started yet."""
        self._added += 1
        address = f"10.{self.zones.index(zone)}.9.{self._added}:7300"
        machine = Machine(self, kind, name or f"{kind}-n{self._added}", zone, address, first=False)
        self.net.hosts[address] = machine
        {"edge": self.edges, "store": self.stores, "core": self.cores}[kind].append(machine)
        return machine

    def remove(self, machine: Machine) -> None:
        """A machine is taken away, with its disk."""
        machine.power_off()
        {"edge": self.edges, "store": self.stores, "core": self.cores}[machine.kind].remove(machine)
        del self.net.hosts[machine.address]

    def tell_settings(self) -> None:
        """All processes take the settings file as it is by now."""
        for machine in self.machines:
            if machine.up and machine.life is not None:
                machine.life.do(partial(machine.part.settings_are, self.settings(machine)))

    @property
    def machines(self) -> list[Machine]:
        return self.edges + self.stores + self.cores

    def settings(self, machine: Machine) -> Settings:
        """The settings file of a machine."""
        serves = {"edge": "edge", "store": "storage", "core": "control_plane"}[machine.kind]
        return Settings(
            machine.name,
            machine.ip,
            machine.zone,
            self.regions[machine.zone],
            frozenset((serves,)),
            machine.kind,
            None,
            None,
            (machine.ip, 7000) if machine.kind == "core" else None,
            range(7300, 7316),
            tuple((it.ip, 7000) for it in self.seeds or self.cores[:3]),
            machine.first,
            "data",
            self.heartbeat_s,
            self.tolerance,
            300.0,
            360.0,
            BOUNDS,
        )

    def failed(self, life: Incarnation, error: AssertionError) -> None:
        """A broken invariant ends its process, as it does in the program."""
        self.history.say(f"{life.name} ends: {error}")
        self.history.faults.append(Broken("FAULT", f"{life.name} at {self.clock.now:.3f}: {error}"))
        if isinstance(life.host, Machine):
            self.clock.call_later(0.0, life.host.kill)
            self.clock.call_later(RESTART_S, life.host.start)

    # -- from outside

    def call(
        self,
        machine: Machine,
        ask: Callable[[Incarnation, Callable[..., None]], None],
        within: float,
        then: Callable[..., None],
    ) -> None:
        """Call a machine; `then` hears what was answered, or REFUSED, CLOSED or SILENT."""
        clock = self.clock
        over = False

        def end(*said: Any) -> None:
            nonlocal over
            if not over:
                over = True
                then(*said)

        def arrive() -> None:
            life = machine.life
            if not machine.powered:
                return
            if life is None or life.over:
                clock.call_later(OUTSIDE_S, lambda: end(REFUSED, None))
                return

            def close() -> None:
                end(CLOSED, None)

            def answer(*said: Any) -> None:
                self.digest.add("answer", machine.name, *said)
                life.calls.pop(close, None)
                if not life.over:
                    clock.call_later(OUTSIDE_S, lambda: end(*said))

            life.calls[close] = None
            clock.call_later(within, lambda: life.calls.pop(close, None))
            life.do(lambda: ask(life, answer))

        clock.call_later(OUTSIDE_S, arrive)
        clock.call_later(within, lambda: end(SILENT, None))

    def control(
        self,
        core: Machine,
        method: str,
        target: str,
        body: bytes,
        within: float,
        then: Callable[[int, Any], None],
        headers: tuple[tuple[str, str], ...] = (),
        leaves: Callable[[int], None] = lambda status: None,
    ) -> None:
        """Call a control relay; `leaves` hears of its answer at the moment at which it is sent."""
        request = Request(method, target, headers, body)
        self.digest.add("request", core.name, method, target, headers, body)

        def ask(life: Incarnation, answer: Callable[..., None]) -> None:
            def say(said: HttpResponse) -> None:
                answer(said.status, said.body)
                leaves(said.status)

            life.machine.counter.take(request, say)

        self.call(core, ask, within, then)

    def front(
        self,
        edge: Machine,
        request: Request,
        within: float,
        then: Callable[..., None],
    ) -> None:
        """Call an edge's front; `then` hears status, body, headers, bytes and the process that was asked."""
        self.digest.add("request", edge.name, request.method, request.target, request.headers, request.body)

        def ask(life: Incarnation, answer: Callable[..., None]) -> None:
            def finish(
                status: int, body: Json | None, headers: tuple[tuple[str, str], ...], blob: bytes
            ) -> None:
                answer(status, body, dict(headers), blob, life.name)

            life.machine.handle(request, finish)

        self.call(edge, ask, within, then)
