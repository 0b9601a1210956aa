"""Large configurations while one of three core machines is away: how long each takes, how soon it is back.

Real processes on loopback, without edges and stores. The one that is away is killed, killed and emptied, or
stopped; it has caught up once all three are voters and tell the same commit index.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import signal
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from result import Ok, Result

from amberlug.cluster.interfaces import Json, RequestFailure
from amberlug.cluster.local_deployment.deployment import (
    CONTROL_PORT,
    Deployment,
    Machine,
    free_net,
    initial_config,
)
from amberlug.cluster.local_deployment.http_call import HttpCall, send_call
from amberlug.http.link import Reply

ROUTE_BYTES = 275  # of one route, about
SETTLE_S = 2.0
PUSH_S = 20.0  # for one change to be taken
BACK_S = 15.0  # for the machine that was away to catch up
PAGE = 4096
STATUS = HttpCall("GET", "/-/Foreman.Status")


def body(edition: int, size: int) -> bytes:
    """A configuration of about so many bytes."""
    data = initial_config()
    route = data["routeTable"][0]
    routes = [
        {**route, "name": f"to-{at}", "pathPrefix": f"/p{at}/"} for at in range(max(1, size // ROUTE_BYTES))
    ]
    return json.dumps({**data, "edition": edition, "routeTable": routes}).encode()


async def replace(at: str, edition: int, data: bytes, hops: int = 2) -> Result[Reply, RequestFailure]:
    """Send a configuration, and follow where it is sent on."""
    base = (("Amberlug-Base-Version", str(edition - 1)), ("Content-Type", "application/json"))
    said = await send_call(at, HttpCall("POST", "/-/Configuration.Replace", base, data), timeout_s=3.0)
    if hops and isinstance(said, Ok) and said.ok_value.status == 307:
        place = {key.lower(): it for key, it in said.ok_value.headers.items()}["location"]
        return await replace(place.split("/")[2], edition, data, hops - 1)
    return said


async def push(controls: list[str], edition: int, data: bytes) -> tuple[float, int]:
    """Send until it is taken: seconds, and calls without a clear answer."""
    began, tries = time.monotonic(), 0
    while time.monotonic() - began < PUSH_S:
        said = await replace(controls[(edition + tries) % len(controls)], edition, data)
        if isinstance(said, Ok) and said.ok_value.status == 200:
            return time.monotonic() - began, tries
        tries += 1
        await asyncio.sleep(0.05)
    return PUSH_S, tries


async def caught_up(core: Machine) -> float | None:
    """After how many seconds all three agree, as this one tells it."""
    began = time.monotonic()
    while time.monotonic() - began < BACK_S:
        said = await send_call(f"{core.ip}:{CONTROL_PORT}", STATUS, timeout_s=1.0)
        if isinstance(said, Ok) and said.ok_value.status == 200:
            members: list[Json] = json.loads(said.ok_value.body)["core"]["members"]
            commits = [(it["told"] or {}).get("commit") for it in members if it["voter"]]
            if len(commits) == len(members) == 3 and None not in commits and len(set(commits)) == 1:
                return time.monotonic() - began
        await asyncio.sleep(0.05)
    return None


def told(deployment: Deployment, core: Machine) -> Json:
    """What a core machine has used: MB of memory and disk, seconds of processor; and errors in its log."""
    assert core.process is not None, "it runs"
    proc = Path(f"/proc/{core.process.pid}")
    ticks = (proc / "stat").read_text().split()[13:15]
    log = (deployment.folder / f"{core.name}.log").read_text()
    files = (deployment.folder / f"{core.name}.data").iterdir()
    return {
        "memory_mb": round(int((proc / "statm").read_text().split()[1]) * PAGE / 1e6, 1),
        "cpu_s": sum(map(int, ticks)) / 100,
        "disk_mb": round(sum(it.stat().st_size for it in files) / 1e6, 1),
        "tracebacks": log.count("Traceback"),
        "terms": log.count("the leader is"),
    }


async def play(folder: Path, count: int, size: int, how: str) -> dict[str, Any]:
    """One run."""
    deployment = Deployment(folder, free_net(random.Random()))
    deployment.write_settings(first_start=True)
    cores = deployment.machines_of_class("core")
    try:
        for core in cores:
            deployment.start(core)
        await asyncio.sleep(SETTLE_S)
        await push(deployment.control_addresses, 1, body(1, size))
        away = cores[2]
        assert away.process is not None, "it was started"
        if how == "stop":
            away.process.send_signal(signal.SIGSTOP)
        else:
            deployment.kill(away)
        if how == "empty":
            shutil.rmtree(folder / f"{away.name}.data")
        took = [
            await push(deployment.control_addresses[:2], at, body(at, size)) for at in range(2, count + 2)
        ]
        if how == "stop":
            away.process.send_signal(signal.SIGCONT)
        else:
            deployment.start(away)
        back = await caught_up(away)
        return {
            "changes": count,
            "bytes": len(body(1, size)),
            "away": how,
            "median_s": round(statistics.median(it for it, _ in took), 3),
            "most_s": round(max(it for it, _ in took), 3),
            "unclear": sum(tries for _, tries in took),
            "caught_up_s": back if back is None else round(back, 2),
            "cores": {core.name: told(deployment, core) for core in cores},
        }
    finally:
        deployment.kill_all()


def main() -> None:
    """Play, and print what came of it as one JSON object a run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=90)
    parser.add_argument("--size", type=int, default=198_000, help="bytes of each, about")
    parser.add_argument("--away", nargs="*", default=["kill", "empty", "stop"])
    told = parser.parse_args()
    for how in told.away:
        with tempfile.TemporaryDirectory(prefix="core-away-") as folder:
            print(json.dumps(asyncio.run(play(Path(folder), told.count, told.size, how))), flush=True)


if __name__ == "__main__":
    main()
