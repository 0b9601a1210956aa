"""A host of the library: reads submissions as lines and prints their results."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

from amberlug.core.endpoint_list import read_list_update
from amberlug.library import AcknowledgedError, Discovery, Message, RefusedError, Relay
from amberlug.library.taken import Taken
from amberlug.policy.settings import read_settings


def say(**fields: Any) -> None:
    print(json.dumps(fields), flush=True)


async def report_outcome(taken: Taken) -> None:
    end = await taken.end()
    say(end=end.message, outcome=end.outcome.value)


async def hand_in(relay: Relay, order: dict[str, Any]) -> None:
    message = Message(1, order["kind"], b"hello", order["id"], order["key"], deadline=8.0)
    try:
        taken = await relay.hand_in(message)
    except RefusedError:
        say(told=order["id"], taken=False)
        return
    except AcknowledgedError:  # the daemon reports such a message as accepted
        say(told=order["id"], taken=True)
        return
    say(told=order["id"], taken=True)
    await report_outcome(taken)


async def main(path: str, state: str) -> None:
    config = json.loads(Path(path).read_text(encoding="utf-8"))
    settings = read_settings(config["settings"])
    endpoints = Discovery(config["discovery"], read_list_update(config["known"], settings.kinds))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    work: set[asyncio.Task[None]] = set()
    async with Relay(settings, state, endpoints, seed=int(config["seed"], 16), disk_bytes=3_000_000) as relay:
        for name in config["held"]:
            if (taken := relay.find(name)) is not None:
                work.add(asyncio.ensure_future(report_outcome(taken)))
        say(ready=True)
        stopped = asyncio.ensure_future(stop.wait())
        while not stop.is_set():
            line = asyncio.ensure_future(reader.readline())
            await asyncio.wait({line, stopped}, return_when=asyncio.FIRST_COMPLETED)
            if line.done() and line.result():
                work.add(asyncio.ensure_future(hand_in(relay, json.loads(line.result()))))
    await asyncio.wait(work, timeout=1)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
