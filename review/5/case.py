"""TWICE: a message that runs while two edge machines stop in turn runs again after it has succeeded."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins_2 import clients, deployment, endpoints, http, repeats

HERE = Path(__file__).resolve().parent
EDGES, SERVERS, SLOTS = 5, 12, 2
EXPIRY_MS = 2500
SHORTEST_S, LONGEST_S = 1.6, 2.3  # of the runs
GAP_S = 1.3  # between the two SIGTERM
ROUNDS = 5
GRACE_S = 6.0


async def stop_and_start(cluster: deployment.Deployment, name: str) -> None:
    """Stop a machine's process as the platform does, and start it again."""
    cluster.send_signal(name, signal.SIGTERM)
    await cluster.wait_for_end(name, GRACE_S)
    await asyncio.sleep(0.3)
    cluster.start(name)


async def play(record: deployment.Record, is_troubled: bool) -> bool:
    """Play the case; whether the rule was broken."""
    cluster = deployment.Deployment(record, {"core": 3, "storage": 3, "edge": EDGES})
    work_s: dict[bytes, float] = {}

    def work(arrival: http.Arrival, earlier: int) -> endpoints.Reply:
        """Every run succeeds; a message says with its body how long it takes."""
        return endpoints.Reply(work_s[arrival.body])

    kind = endpoints.Kind("huvo11a", work, SLOTS)
    servers = [
        endpoints.Endpoint(record, kind, deployment.ZONES[number % 3], cluster.controls)
        for number in range(SERVERS)
    ]
    with cluster.running(), endpoints.ending(servers):
        routes = [deployment.route("r-i7yd4a3", "huvo11a", "/lohu930/", expiryMs=EXPIRY_MS)]
        config = deployment.configuration(2, routes, [deployment.service("huvo11a")])
        await cluster.operate("POST", "/-/Configuration.Replace", config, base=0)
        for number, server in enumerate(servers):
            await server.start(f"{cluster.net}.{101 + number}")
        edges = [machine.name for machine in cluster.of("edge")]
        users = clients.Clients(record, [cluster.front(name) for name in edges])
        for turn in range(ROUNDS):
            await cluster.wait_until_ready(edges)
            await asyncio.sleep(3.0)
            first, second = edges[2 * turn % EDGES], edges[(2 * turn + 1) % EDGES]
            for number in range(SERVERS * SLOTS):
                body = b"%d %d" % (turn, number)
                work_s[body] = SHORTEST_S + (LONGEST_S - SHORTEST_S) * number / (SERVERS * SLOTS - 1)
                users.spawn(clients.Draft("/lohu930/2f", body=body, front=cluster.front(first)))
            await users.settle()
            if is_troubled:
                stopped = [asyncio.create_task(stop_and_start(cluster, first))]
                await asyncio.sleep(GAP_S)
                stopped.append(asyncio.create_task(stop_and_start(cluster, second)))
                await asyncio.gather(*stopped)
            await asyncio.sleep(4.0)
        count = repeats.repeated(record, users.sent, servers, EXPIRY_MS / 1000)
        accepted = sum(it.is_accepted for it in users.sent)
        print(f"{count} of {accepted} accepted messages ran again after they had succeeded")
        return count > 0


if __name__ == "__main__":
    sys.exit(deployment.main(play, HERE))
