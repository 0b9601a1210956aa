"""ROUTE: after a service has got a `fixedAddress`, another service at an old address runs its messages."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from stand_ins_2 import clients, deployment, endpoints

HERE = Path(__file__).resolve().parent
EDGES, SERVERS, OTHERS = 3, 12, 3
RATE_PER_S = 127  # `telemetry-bundle`
APPLIED_S = 3.1  # from the acknowledgement to the crash; `configApplyMs` is 3000
REUSED_S = 2.1  # from the crash on, other endpoints use the addresses; `reuseAfterS` is 2
QUIET_S, AFTER_S = 3.0, 8.0
ROUTES = [
    deployment.route("r-i7yd4a3", "huvo11a", "/lohu930/"),
    deployment.route("r-hwrr6x7", "wuno96b", "/pufi791/", expiryMs=1000, maxAttempts=4),
]


class FixedEndpoint(endpoints.Endpoint):
    """The single endpoint of a service with `fixedAddress`, which is on no list."""

    async def announce(self) -> bool:
        """Announce nothing."""
        return True


class Day:
    """The deployment and its endpoints."""

    def __init__(self, record: deployment.Record) -> None:
        self.cluster = deployment.Deployment(record, {"core": 3, "storage": 3, "edge": EDGES})
        self.edges = [machine.name for machine in self.cluster.of("edge")]
        self.users = clients.Clients(record, [self.cluster.front(name) for name in self.edges])
        self.servers: list[endpoints.Endpoint] = []
        self._record = record

    async def start_server(
        self, service: str, host: int, life: type[endpoints.Endpoint] = endpoints.Endpoint, slots: int = 4
    ) -> None:
        """Start an endpoint."""
        kind = endpoints.Kind(service, lambda arrival, earlier: endpoints.Reply(0.11), slots)
        server = life(self._record, kind, deployment.ZONES[host % 3], self.cluster.controls)
        self.servers.append(server)
        await server.start(f"{self.cluster.net}.{host}")

    async def configure(self, edition: int, base: int, fixed_address: str | None) -> None:
        """Give a configuration."""
        services = [
            deployment.service("huvo11a", fixedAddress=fixed_address),
            deployment.service("wuno96b", dedupCapable=True),
        ]
        config = deployment.configuration(edition, ROUTES, services)
        await self.cluster.operate("POST", "/-/Configuration.Replace", config, base=base)

    async def traffic(self) -> None:
        """Send messages of the first route, at an even rate."""
        began = time.monotonic()
        for number in range(int((QUIET_S + AFTER_S) * RATE_PER_S)):
            await asyncio.sleep(max(0.0, began + number / RATE_PER_S - time.monotonic()))
            self.users.spawn(clients.Draft("/lohu930/2f"))
        await self.users.settle()

    async def trouble(self, is_troubled: bool) -> None:
        """The operator moves the service; its endpoints crash, and others get their addresses."""
        await asyncio.sleep(QUIET_S)
        former = [it for it in self.servers if it.kind.service == "huvo11a"]
        await self.start_server("huvo11a", 150, FixedEndpoint, 48)
        await self.configure(5, 2, self.servers[-1].address)
        await asyncio.sleep(APPLIED_S)
        if is_troubled:
            for server in former:
                server.crash()
            await asyncio.sleep(REUSED_S)
            for number in range(SERVERS):
                await self.start_server("wuno96b", 101 + number)


async def play(record: deployment.Record, is_troubled: bool) -> bool:
    """Play the case; whether the rule was broken."""
    day = Day(record)
    with day.cluster.running(), endpoints.ending(day.servers):
        await day.configure(2, 0, None)
        for number in range(SERVERS):
            await day.start_server("huvo11a", 101 + number)
        for number in range(OTHERS):
            await day.start_server("wuno96b", 131 + number)
        await day.cluster.wait_until_ready(day.edges)
        await asyncio.sleep(2.0)
        await asyncio.gather(day.traffic(), day.trouble(is_troubled))
        await asyncio.sleep(2.0)
        asked = {sent.attempt for sent in day.users.sent}
        foreign = [
            run
            for server in day.servers
            if server.kind.service == "wuno96b"
            for run in server.runs
            if run.attempt in asked
        ]
        for run in foreign:
            record.write("foreign", attempt=run.attempt, at=run.endpoint, began=round(run.began, 3))
        print(f"{len(foreign)} messages for huvo11a ran at wuno96b")
        return bool(foreign)


if __name__ == "__main__":
    sys.exit(deployment.main(play, HERE))
