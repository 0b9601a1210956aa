"""A simulated deployment: its machines, endpoints, network and settings, and requests from outside."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from amberlug.cluster.edge.intake import ClientResponse
from amberlug.cluster.http.api import HttpResponse
from amberlug.cluster.settings import Settings, Tolerance
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.endpoints import EndpointClient, EndpointFleet, Kind
from amberlug.cluster.simulation.history import History, Violation
from amberlug.cluster.simulation.machine import BOUNDS, OUTSIDE_S, RESTART_S, Machine
from amberlug.cluster.simulation.network import Incarnation, Network

ONE_MACHINE = Tolerance(1, 0, 0)
REFUSED, CLOSED, SILENT = 0, -1, -2  # reported in place of an HTTP status


@dataclass(frozen=True, slots=True)
class Request:
    """A request from outside; header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, whose name must be in lower case; None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)


class Deployment:
    """A whole deployment, built from one seed."""

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
        self.rng = self.random_for("deployment")
        self.clock = Clock()
        self.history = History(self.clock)
        self.heartbeat_s = heartbeat_s
        self.sync_s = 0.002
        self.net = Network(self.clock, self.random_for("network"), self.rng.choice((0.0005, 0.0009, 0.003)))
        self.net.told = self.history.record_partitions
        self.digest = self.net.digest
        self.seeds: list[Machine] = []  # of the settings file; if empty, the first three control-plane nodes
        self.zones = [f"z{number}" for number in range(zones)]
        self.regions = {zone: f"r{number % regions}" for number, zone in enumerate(self.zones)}
        self.net.regions = self.regions
        self.tolerance = tolerance
        self.endpoint_fleet = EndpointFleet(self, kinds)
        self._added = 0
        self.edges = self._make("edge", edges)
        self.stores = self._make("store", stores)
        self.cores = self._make("core", cores)

    def random_for(self, what: str) -> random.Random:
        """Create a random number generator for one part, so that draws of one part do not affect another."""
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
        """Add a machine with an empty disk and a new address; its process is not started yet."""
        self._added += 1
        address = f"10.{self.zones.index(zone)}.9.{self._added}:7300"
        machine = Machine(self, kind, name or f"{kind}-n{self._added}", zone, address, first=False)
        self.net.hosts[address] = machine
        {"edge": self.edges, "store": self.stores, "core": self.cores}[kind].append(machine)
        return machine

    def remove(self, machine: Machine) -> None:
        """Remove a machine and its disk."""
        machine.power_off()
        {"edge": self.edges, "store": self.stores, "core": self.cores}[machine.kind].remove(machine)
        del self.net.hosts[machine.address]

    def reload_settings(self) -> None:
        """Have all running processes reload the settings file."""
        for machine in self.machines:
            if machine.up and machine.incarnation is not None:
                machine.incarnation.do(partial(machine.part.update_settings, self.settings(machine)))

    @property
    def machines(self) -> list[Machine]:
        """All machines: edge nodes, storage nodes, control-plane nodes."""
        return self.edges + self.stores + self.cores

    def settings(self, machine: Machine) -> Settings:
        """The current settings file of a machine."""
        serves = {"edge": "edge", "store": "storage", "core": "control_plane"}[machine.kind]
        return Settings(
            machine.name,
            machine.ip,
            machine.zone,
            self.regions[machine.zone],
            frozenset((serves,)),
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
            BOUNDS,
        )

    def failed(self, incarnation: Incarnation, error: AssertionError) -> None:
        """Record a failed assertion and restart its process, as the program does."""
        self.history.trace(f"{incarnation.name} ends: {error}")
        self.history.faults.append(Violation("FAULT", f"{incarnation.name} at {self.clock.now:.3f}: {error}"))
        if isinstance(incarnation.host, Machine):
            self.clock.call_later(0.0, incarnation.host.kill)
            self.clock.call_later(RESTART_S, incarnation.host.start)

    def endpoint_client(self, incarnation: Incarnation) -> EndpointClient:
        """Create the endpoint client of a process."""
        return EndpointClient(self.endpoint_fleet, incarnation)

    def on_process_ended(self, incarnation: Incarnation) -> None:
        """Close the connections from a process that has ended to endpoints."""
        self.endpoint_fleet.closed(incarnation)

    # -- requests from outside

    def call(
        self,
        machine: Machine,
        ask: Callable[[Incarnation, Callable[..., None]], None],
        within: float,
        then: Callable[..., None],
    ) -> None:
        """Send a request to a machine; `then` gets the response, or REFUSED, CLOSED or SILENT."""
        clock = self.clock
        over = False

        def end(*said: Any) -> None:
            """Report the result to `then`; only the first call has an effect."""
            nonlocal over
            if not over:
                over = True
                then(*said)

        def arrive() -> None:
            """Deliver the request to the process; without one it is refused, without power it is dropped."""
            incarnation = machine.incarnation
            if not machine.powered:
                return
            if incarnation is None or incarnation.over:
                clock.call_later(OUTSIDE_S, lambda: end(REFUSED, None))
                return

            def close() -> None:
                """Report that the process has closed the connection."""
                end(CLOSED, None)

            def answer(*said: Any) -> None:
                """Send the response, unless the process has ended."""
                self.digest.add("answer", machine.name, *said)
                incarnation.calls.pop(close, None)
                if not incarnation.over:
                    clock.call_later(OUTSIDE_S, lambda: end(*said))

            incarnation.calls[close] = None
            clock.call_later(within, lambda: incarnation.calls.pop(close, None))
            incarnation.do(lambda: ask(incarnation, answer))

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
        """Send a request to a control-plane node; `leaves` gets the status as the response is sent."""
        request = Request(method, target, headers, body)
        self.digest.add("request", core.name, method, target, headers, body)

        def ask(incarnation: Incarnation, answer: Callable[..., None]) -> None:
            """Have the admin API of the node handle the request."""

            def say(said: HttpResponse) -> None:
                """Send the status and body of the response, and report the status to `leaves`."""
                answer(said.status, said.body)
                leaves(said.status)

            incarnation.machine.admin_api.handle(request, say)

        self.call(core, ask, within, then)

    def front(
        self,
        edge: Machine,
        request: Request,
        within: float,
        then: Callable[..., None],
    ) -> None:
        """Send a request to an edge node; `then` gets status, body, headers, payload and process name."""
        self.digest.add("request", edge.name, request.method, request.target, request.headers, request.body)

        def ask(incarnation: Incarnation, answer: Callable[..., None]) -> None:
            """Have the edge node handle the request."""

            def respond(response: ClientResponse) -> None:
                """Send the response, with the name of the edge process that answered."""
                answer(
                    response.status, response.body, dict(response.headers), response.payload, incarnation.name
                )

            incarnation.machine.handle(request, respond)

        self.call(edge, ask, within, then)
