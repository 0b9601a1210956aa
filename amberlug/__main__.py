"""Run one relay: read its configuration, wire the parts, end well on SIGTERM."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from amberlug.discovery import News, Watch, address, log, read_news
from amberlug.journal import Journal
from amberlug.node import Node, wall_ms
from amberlug.server import Server
from stoatusher.interface import ListKind, Settings
from stoatusher.settings import read_settings

OPEN_FOR = 0.6  # seconds after SIGTERM that connections are still taken: they go on coming for 0.4 s
COLLECT_FOR = 3.0  # seconds after SIGTERM for calls that are out: SIGKILL comes at 3.7 s
LOOK_AGAIN = 0.02
BACKLOG = 512


@dataclass(frozen=True, slots=True)
class Config:
    """What a relay is told at its start."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    disk_bytes: int
    known: News
    settings: Settings


def read_config(environ: Any) -> Config:
    """Read the configuration; `ValueError` or `OSError` where it is bad or missing."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ValueError("ROUTER_CONFIG is not set")
    data = json.loads(Path(path).read_text(encoding="utf-8"))
    try:
        settings = read_settings(data["settings"])
        known = read_news(data["known"], settings.kinds)
        state = environ.get("ROUTER_STATE")
        if not state or not Path(state).is_dir():
            raise ValueError("ROUTER_STATE is not a folder")
        return Config(
            listen=address(environ.get("ROUTER_LISTEN") or data["listen"]),
            discovery=address(environ.get("ROUTER_DISCOVERY") or data["discovery"]),
            state=Path(state),
            seed=int(str(data["seed"]), 16),
            disk_bytes=int(float(data["limits"]["disk_mb"]) * 1_000_000),
            known=known,
            settings=settings,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"the configuration is malformed: {error!r}") from None


async def serve(config: Config) -> None:
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    journal = Journal(config.state, config.disk_bytes, wall_ms())
    node = Node(config.settings, config.seed, journal, config.discovery)
    node.listed(config.known, ListKind.STALE)
    node.restore()
    server = Server(config.settings, node, wall_ms)
    listener = await loop.create_server(server, *config.listen, backlog=BACKLOG)
    watch = Watch(config.discovery, config.settings.kinds, config.known.revision, node.listed)
    tasks = [asyncio.create_task(watch.run()), asyncio.create_task(node.notices.run())]
    log(f"ready on {config.listen[0]}:{config.listen[1]}")
    await stop.wait()
    server.closing = True
    node.close()
    started = loop.time()
    while loop.time() < started + OPEN_FOR or (node.busy and loop.time() < started + COLLECT_FOR):
        await asyncio.sleep(LOOK_AGAIN)
    listener.close()
    server.close_idle()
    await asyncio.sleep(LOOK_AGAIN)  # a request that is being read is answered first
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main() -> int:
    """Run the relay; 0 after SIGTERM, 2 after one plain line on what it can't be started with."""
    try:
        asyncio.run(serve(read_config(os.environ)))
    except (ValueError, OSError) as error:
        text = str(error).replace("\n", " ")
        print(f"amberlug: {text}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
