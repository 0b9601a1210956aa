"""A named route is replaced by one for another path and service while delayed messages of it wait."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from harness import (
    LIMITS,
    ZONES,
    Clients,
    Endpoint,
    Platform,
    Record,
    order,
    route,
    run_case,
    service_row,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE, SECONDS, DELAY_MS = (
    20.0,
    6.0,
    5000,
)  # a tenth of the site's messages are delayed, 2 s in the mean, 90 s at most


async def play(record: Record, platform: Platform) -> int:
    """Play the case; returns the exit code."""
    board = [
        Endpoint(record, "huvo11a", f"{platform.net}.{101 + n}", ZONES[n], platform.control) for n in range(3)
    ]
    gate = [
        Endpoint(record, "wuno96b", f"{platform.net}.{111 + n}", ZONES[n], platform.control) for n in range(3)
    ]
    await platform.begin()
    config = {
        "edition": 5,
        "routeTable": [
            route("r-i7yd4a3", "/lohu930/", "huvo11a", False),
            route("r-hwrr6x7", "/pufi791/", "wuno96b", True),
        ],
        "serviceTable": [service_row("huvo11a"), service_row("wuno96b")],
        "limits": LIMITS,
    }
    await order(record, platform.control, "/-/Configuration.Replace", 0, config)
    await platform.wait_ready()
    for endpoint in board + gate:
        await endpoint.start()
    await asyncio.sleep(3.0)
    clients = Clients(record, platform)
    for number in range(int(RATE * SECONDS)):
        clients.send(f"/lohu930/{number:x}", delay_ms=DELAY_MS if number % 5 == 0 else 0)
        await asyncio.sleep(1 / RATE)
    await clients.settle()
    # The new version: the name stays, prefix and service change. Without the disruption, the new route
    # comes under a name of its own, and the old one stays.
    name = "r-i7yd4a3" if TROUBLE else "r-new5b1"
    change = {"edition": 7, "upsert": {"routeTable": [route(name, "/bopu901/", "wuno96b", False)]}}
    await order(record, platform.control, "/-/Configuration.Modify", 5, change)
    for number in range(20):
        clients.send(f"/bopu901/{number:x}")
        await asyncio.sleep(1 / RATE)
    await clients.settle()
    await asyncio.sleep(DELAY_MS / 1000 + 5.0)
    # What any configuration ever sent allows.
    allowed = {("/lohu930/", "huvo11a"), ("/pufi791/", "wuno96b"), ("/bopu901/", "wuno96b")}
    wrong = [
        (endpoint.service, run)
        for endpoint in board + gate
        for run in endpoint.runs
        if not any(run["target"].startswith(prefix) and endpoint.service == to for prefix, to in allowed)
    ]
    for service, run in wrong:
        record.line(f"result: {service} at {run['by']} ran {run['target']} ({run['id']}) at {run['at']:.3f}")
    sent = {attempt: message for message in clients.messages for attempt in message.ids}
    for _, run in wrong:
        record.line(
            f"state: {run['id']} {await clients.look_up(sent[run['id']])}, seal of the run {run['seal']}"
        )
    total = sum(len(endpoint.runs) for endpoint in board + gate)
    record.line(f"result: {len(wrong)} of {total} runs at a service that no configuration allows")
    print(f"{len(wrong)} of {total} runs at a service that no configuration allows for the path")
    return int(bool(wrong))


run_case(play, Path(__file__).parent)
