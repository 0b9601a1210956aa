"""TWICE: a version that shortens `retentionS` ends all edge machines' processes, and messages run again."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

from stand_ins_2 import clients, deployment, endpoints, repeats

HERE = Path(__file__).resolve().parent
EDGES, SERVERS, ORDERED_SERVERS, SLOTS = 3, 12, 3, 4
RATE_PER_S = 190  # two thirds `telemetry-bundle`, one third `upi-confirm`
KEYS = 380
DELAYED_SHARE, DELAYS_MS = 0.1, (5_000, 30_000)  # of the messages in order
RETENTION_S, SHORTER_RETENTION_S = 90.0, 10.0
BEFORE_S, AFTER_S = 14.0, 8.0
EXPIRY_MS = 1500


class Day:
    """The deployment, its endpoints and what the platform does."""

    def __init__(self, record: deployment.Record) -> None:
        self.cluster = deployment.Deployment(record, {"core": 3, "storage": 3, "edge": EDGES})
        self.edges = [machine.name for machine in self.cluster.of("edge")]
        self.users = clients.Clients(record, [self.cluster.front(name) for name in self.edges])
        self.ends: list[tuple[str, int | None]] = []  # of edge machines' processes, by themselves
        kinds = [
            endpoints.Kind("huvo11a", lambda arrival, earlier: endpoints.Reply(0.11), SLOTS),
            endpoints.Kind("wuno96b", lambda arrival, earlier: endpoints.Reply(0.055), SLOTS),
        ]
        self.servers = [
            endpoints.Endpoint(
                record, kinds[number // SERVERS], deployment.ZONES[number % 3], self.cluster.controls
            )
            for number in range(SERVERS + ORDERED_SERVERS)
        ]

    async def configure(self, edition: int, base: int, retention_s: float) -> None:
        """Give a configuration."""
        ordered: dict[str, Any] = {"expiryMs": 1000, "maxAttempts": 4, "inSequence": True, "precedence": 1}
        routes = [
            deployment.route("r-i7yd4a3", "huvo11a", "/lohu930/", expiryMs=EXPIRY_MS),
            deployment.route("r-hwrr6x7", "wuno96b", "/pufi791/", retentionS=retention_s, **ordered),
        ]
        services = [deployment.service("huvo11a"), deployment.service("wuno96b", dedupCapable=True)]
        config = deployment.configuration(edition, routes, services)
        await self.cluster.operate("POST", "/-/Configuration.Replace", config, base=base)

    async def restart_ended(self) -> None:
        """Start processes that have ended again after a short delay, as the platform does."""
        while True:
            for name in self.edges:
                if self.cluster.has_ended(name):
                    self.ends.append((name, await self.cluster.wait_for_end(name, 0.0)))
                    await asyncio.sleep(0.3)
                    self.cluster.start(name)
            await asyncio.sleep(0.02)

    async def traffic(self) -> None:
        """Send both kinds of messages, at an even rate."""
        began, draw = time.monotonic(), random.Random(7)
        for number in range(int((BEFORE_S + AFTER_S) * RATE_PER_S)):
            await asyncio.sleep(max(0.0, began + number / RATE_PER_S - time.monotonic()))
            if number % 3:
                self.users.spawn(clients.Draft("/lohu930/2f"))
                continue
            key = f"k{int(KEYS * draw.random() ** 1.5)}"
            delay_ms = draw.randint(*DELAYS_MS) if draw.random() < DELAYED_SHARE else 0
            self.users.spawn(clients.Draft("/pufi791/2f", key=key, delay_ms=delay_ms))
        await self.users.settle()

    async def change(self) -> None:
        """The operator shortens the time for which messages in order are kept."""
        await asyncio.sleep(BEFORE_S)
        await self.configure(5, 2, SHORTER_RETENTION_S)


async def play(record: deployment.Record, is_troubled: bool) -> bool:
    """Play the case; whether the rule was broken."""
    day = Day(record)
    with day.cluster.running(), endpoints.ending(day.servers):
        await day.configure(2, 0, RETENTION_S)
        for number, server in enumerate(day.servers):
            await server.start(f"{day.cluster.net}.{101 + number}")
        await day.cluster.wait_until_ready(day.edges)
        await asyncio.sleep(2.0)
        tasks = [asyncio.create_task(day.restart_ended())]
        if is_troubled:
            tasks.append(asyncio.create_task(day.change()))
        await day.traffic()
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        for name in day.edges:
            for line in day.cluster.log_lines(name, "AssertionError"):
                record.write("log", machine=name, line=line)
        unordered = [sent for sent in day.users.sent if not sent.key]
        count = repeats.repeated(record, unordered, day.servers, EXPIRY_MS / 1000)
        print(
            f"{count} of {len(unordered)} messages ran again after they had succeeded;"
            f" processes that ended by themselves, with their exit codes: {day.ends}"
        )
        return count > 0


if __name__ == "__main__":
    sys.exit(deployment.main(play, HERE))
