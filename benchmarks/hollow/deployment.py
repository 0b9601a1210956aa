"""Hollow deployments, and what is put into them."""

from __future__ import annotations

import gc
import json
from functools import partial

from amberlug.cluster.consensus.raft import Role
from amberlug.cluster.control.node import ControlNode, blank
from amberlug.cluster.edge.node import EdgeNode
from amberlug.cluster.http.api import HttpResponse
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.deployment import Request
from amberlug.cluster.simulation.operator import route, service
from amberlug.cluster.storage.node import StorageNode
from amberlug.cluster.storage.records import StoredContents
from benchmarks.hollow.net import HollowDisk, HollowNet, HollowWorld, Host, Meter, Prompt, settings

ZONES = 4
CORES = 3
STORES = 6


class Play:
    """A deployment of hollow machines."""

    def __init__(
        self, edges: int, stores: int = STORES, cores: int = CORES, seed: int = 1, between: float = 0.0009
    ) -> None:
        self.net = HollowNet(seed, between=between)
        self.cores = [self._host("core", it) for it in range(cores)]
        self.stores = [self._host("store", it) for it in range(stores)]
        self.edges = [self._host("edge", it) for it in range(edges)]
        self.seeds = [it.address.rpartition(":")[0] for it in self.cores[:3]]
        for host in self.net.hosts.values():
            self.start(host)
        self.edition = 0

    def _host(self, role: str, number: int) -> Host:
        zone = number % ZONES
        kind = {"core": 1, "store": 2, "edge": 3}[role]
        address = f"10.{kind}.{number // 250}.{number % 250 + 1}:7300"
        host = self.net.hosts[address] = Host(role, f"{role}-{number}", f"z{zone}", address)
        return host

    def start(self, host: Host) -> None:
        """Start its process, a new life of it."""
        world, told = HollowWorld(self.net, host), settings(host, self.seeds)
        machine: ControlNode | StorageNode | EdgeNode
        host.over = False
        if host.role == "core":
            saved = blank(told, world.rng.getrandbits)
            machine = ControlNode(world, told, host.address, HollowDisk(self.net, host), saved)
        elif host.role == "store":
            contents = StoredContents(f"disk-{host.name}")
            machine = StorageNode(world, told, host.address, HollowDisk(self.net, host), contents)
        else:
            machine = EdgeNode(world, told, host.address, Prompt(self.net, host))
        host.machine = machine
        self.net.clock.call_later(world.rng.uniform(0.0, 0.3), partial(host.do, "begin", machine.begin))

    def run(self, seconds: float) -> None:
        self.net.clock.run(self.net.clock.now + seconds)

    def measure(self, seconds: float) -> dict[str, list[Meter]]:
        """What each machine does in so many seconds, by role; the leader's under `leader` as well."""
        for host in self.net.hosts.values():
            host.meter = Meter()
        gc.collect()
        gc.freeze()  # what is there stays: collections would be billed to whoever is at work
        self.run(seconds)
        gc.unfreeze()
        found: dict[str, list[Meter]] = {}
        for host in self.net.hosts.values():
            found.setdefault(host.role, []).append(host.meter)
        found["leader"] = [it.meter for it in self.cores if it.machine.raft.role is Role.LEADER]
        return found

    def order(self, host: Host, method: str, target: str, data: Json, base: int | None = None) -> list[int]:
        """Give an order to a control relay; the list holds the answer's status once it is there."""
        answers: list[int] = []
        headers = () if base is None else (("amberlug-base-version", str(base)),)
        request = Request(method, target, headers, json.dumps(data).encode())

        def say(said: HttpResponse) -> None:
            answers.append(said.status)

        host.do(target.split("/")[2], lambda: host.machine.admin_api.handle(request, say))
        return answers

    def configure(self, size: int) -> None:
        """Put a configuration of about so many bytes in place, as soon as one is taken."""
        for _ in range(40):
            told = {**config(size), "edition": self.edition + 1}
            answers = self.order(self.cores[0], "POST", "/-/Configuration.Replace", told, self.edition)
            self.run(0.5)
            if answers == [200]:
                self.edition += 1
                return
        raise RuntimeError(f"no configuration of {size} bytes is taken")

    def in_force(self) -> int:
        """Edges that have the newest configuration."""
        return sum(1 for it in self.edges if it.machine.routes.edition == self.edition)


def config(size: int) -> Json:
    """A configuration of about so many bytes: its routes make it up."""
    one = len(json.dumps(route("/p00000/", "s0"), separators=(",", ":"))) + 1
    services = [service(f"s{it}") for it in range(max(1, min(20, size // 4000)))]
    most = max(1, (size - len(json.dumps(services, separators=(",", ":")))) // one)
    routes = [route(f"/p{it:05d}/", f"s{it % len(services)}") for it in range(most)]
    return {"edition": 1, "routeTable": routes, "serviceTable": services}


def beat(number: int, sequence: int) -> Json:
    """What an endpoint says."""
    return {
        "targetService": f"s{number % 20}",
        "address": f"10.9.{number // 250 % 250}.{number % 250}:8080",
        "zone": f"z{number % ZONES}",
        "edition": "1.0",
        "capacity": 8,
        "condition": "ready",
        "warmupLeftMs": 0,
        "sequence": sequence,
    }
