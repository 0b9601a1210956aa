"""TWICE: a message that runs for over four seconds while its edge machine stops runs again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins_2 import clients, deployment, endpoints, http, repeats

HERE = Path(__file__).resolve().parent
EDGES, SERVERS, SLOTS = 3, 8, 2
EXPIRY_MS = 6000
SHORTEST_S, LONGEST_S = 4.2, 4.9  # of the runs; the stopped process reads all answers within its `graceS`
GRACE_S = 6.0


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
        await cluster.wait_until_ready(edges)
        await asyncio.sleep(3.0)
        users = clients.Clients(record, [cluster.front(name) for name in edges])
        for number in range(SERVERS * SLOTS):
            body = b"%d" % number
            work_s[body] = SHORTEST_S + (LONGEST_S - SHORTEST_S) * number / (SERVERS * SLOTS - 1)
            users.spawn(clients.Draft("/lohu930/2f", body=body, front=cluster.front(edges[0])))
        await users.settle()
        if is_troubled:
            cluster.send_signal(edges[0], signal.SIGTERM)
            await cluster.wait_for_end(edges[0], GRACE_S)
            await asyncio.sleep(0.3)
            cluster.start(edges[0])
        await asyncio.sleep(8.0)
        count = repeats.repeated(record, users.sent, servers, EXPIRY_MS / 1000)
        accepted = sum(it.is_accepted for it in users.sent)
        print(f"{count} of {accepted} accepted messages ran again after they had succeeded")
        return count > 0


if __name__ == "__main__":
    sys.exit(deployment.main(play, HERE))
