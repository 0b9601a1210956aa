"""MQTT beside HTTP: CPU and latency a message by each way in and out, the highest rate, a Friday burst."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from amberlug.standin import broker as mqtt
from amberlug.standin.broker import Broker, Packet, ScriptedClient
from amberlug.standin.deployment import settings
from amberlug.standin.wire import Platform
from benchmarks.cost import ROOT, cpu_seconds, free_port

BODY = b"x" * 200
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
WAYS = ["HTTP->HTTP", "HTTP->MQTT", "MQTT->HTTP", "MQTT->MQTT", "broker->HTTP", "broker->MQTT"]
CLIENTS = 8
USUAL, BURST = 30.0, 8.0  # messages a second on other evenings; seconds of ten times as many
GOOD_WAIT = 0.5  # seconds of the 99th percentile above which a rate is too high
FILE = """
[broker.hall]
address = "127.0.0.1:{broker}"
client_id = "in"
window = 200
[listener]
address = "127.0.0.1:{listener}"
window = 100
[[in]]
from = ["hall", "listener"]
filter = "in/+"
class = "payment"
destination = "level:1"
id = "property:id"
deadline_ms = 4000
[out.topic]
topic = "out/{{destination}}"
client_id = "out"
window = 200
"""


class Sink:
    """Where messages arrive: when, by id, and how often."""

    def __init__(self) -> None:
        self.at: dict[str, float] = {}
        self.twice = 0

    def arrived(self, name: str) -> None:
        self.twice += name in self.at
        self.at.setdefault(name, asyncio.get_running_loop().time())


class Endpoint(asyncio.Protocol):
    """An endpoint over HTTP that answers each call at once."""

    def __init__(self, sink: Sink) -> None:
        self._sink, self._rest = sink, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._rest += data
        while (end := self._rest.find(b"\r\n\r\n")) >= 0:
            lines = self._rest[:end].lower().split(b"\r\n")[1:]
            headers = dict(line.split(b": ", 1) for line in lines)
            size = end + 4 + int(headers[b"content-length"])
            if len(self._rest) < size:
                return
            self._rest = self._rest[size:]
            self._sink.arrived(headers[b"req-id"].decode())
            self._transport.write(OK)


class Hall(Broker):
    """A broker that notes what the relay publishes."""

    def __init__(self, sink: Sink) -> None:
        super().__init__()
        self._sink = sink

    def take(self, message: Packet) -> None:
        if message["topic"].startswith("out/"):
            self._sink.arrived(dict(message["properties"][mqtt.USER])["id"])
        else:
            super().take(message)


HandIn = Callable[[str], Awaitable[None]]


class World:
    """The relay in a process of its own, with an endpoint over HTTP and a broker in this one."""

    async def __aenter__(self) -> World:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.sink, self.platform = Sink(), Platform()
        await self.platform.start()
        self.hall = Hall(self.sink)
        await self.hall.start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Endpoint(self.sink), "127.0.0.1", 0)
        endpoint = self._server.sockets[0].getsockname()[1]
        self.port, self.listener = free_port(), free_port()
        (folder / "state").mkdir()
        (folder / "mqtt.toml").write_text(FILE.format(broker=self.hall.port, listener=self.listener))
        (folder / "config.json").write_text(json.dumps(self._config(endpoint)))
        variables = os.environ | {
            "ROUTER_CONFIG": str(folder / "config.json"),
            "ROUTER_STATE": str(folder / "state"),
            "AMBERLUG_MQTT": str(folder / "mqtt.toml"),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", cwd=ROOT, env=variables, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        while b"ready on" not in (line := await self.process.stderr.readline()):
            if not line:
                raise RuntimeError("the relay did not start")
        self._log = asyncio.ensure_future(self.process.stderr.read())
        await self.hall.subscribed("in")
        return self

    def _config(self, endpoint: int) -> dict[str, Any]:
        table = settings()
        table["Kinds"] = ["plain", "topic"]
        table["FamilyInfo"] |= {"BundleMax": [1, 1], "RoutesApart": [False, False], "Slots": 200}
        table["Bounds"]["MaxOpen"] = 4000
        usual = {"locality": "a", "phase": "in_service", "size": 0.0, "up_since_ms": 0}
        members = [
            usual | {"id": "h", "host_port": f"127.0.0.1:{endpoint}", "flavor": "plain", "cell": 1},
            usual | {"id": "t", "host_port": f"127.0.0.1:{self.hall.port}", "flavor": "topic", "cell": 2},
        ]
        return {
            "name": "n",
            "seed": "1",
            "listen": f"127.0.0.1:{self.port}",
            "settings": table,
            "discovery": f"127.0.0.1:{self.platform.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 16},
            "known": {"revision": 1, "complete": True, "members": members},
        }

    async def __aexit__(self, *error: object) -> None:
        self.process.kill()
        await self.process.wait()
        self._server.close()
        await self.hall.stop()
        await self.platform.stop()
        self._folder.cleanup()

    async def way_in(self, name: str, destination: int) -> HandIn:
        """How messages are handed in."""
        if name == "HTTP":
            return await self._http(destination)
        if name == "broker":
            return self._broker(destination)
        return await self._direct(destination)

    async def _http(self, destination: int) -> HandIn:
        links = [await asyncio.open_connection("127.0.0.1", self.port) for _ in range(2 * CLIENTS)]
        idle: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        for link in links:
            idle.put_nowait(link)

        async def hand_in(name: str) -> None:
            reader, writer = link = await idle.get()
            head = (
                f"POST /payment HTTP/1.1\r\nHost: a\r\nReq-Id: {name}\r\nReq-Kind: payment\r\n"
                f"Req-Deadline-Ms: 4000\r\nEnvelope: dest={destination}\r\nContent-Length: 200\r\n\r\n"
            )
            writer.write(head.encode() + BODY)
            await reader.readuntil(b"\r\n\r\n")
            idle.put_nowait(link)

        return hand_in

    async def _direct(self, destination: int) -> HandIn:
        clients = [ScriptedClient() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            await client.connect(self.listener, f"c{number}")
        count = 0

        async def hand_in(name: str) -> None:
            nonlocal count
            count += 1
            own = {mqtt.USER: [("id", name)]}
            clients[count % CLIENTS].publish(f"in/{destination}", BODY, 1, count % 65535 + 1, properties=own)

        return hand_in

    def _broker(self, destination: int) -> HandIn:
        async def hand_in(name: str) -> None:
            self.hall.offer(f"in/{destination}", BODY, 1, properties={mqtt.USER: [("id", name)]})

        return hand_in

    async def play(self, hand_in: HandIn, rate: float, seconds: float, name: str) -> list[float]:
        """Hand in at a steady pace; how long each that arrived took from when it was due."""
        loop = asyncio.get_running_loop()
        start, due, tasks = loop.time(), dict[str, float](), []
        for number in range(int(rate * seconds)):
            at = start + number / rate
            await asyncio.sleep(at - loop.time())
            due[f"{name}-{number}"] = at
            tasks.append(asyncio.ensure_future(hand_in(f"{name}-{number}")))
        await asyncio.wait(tasks, timeout=3.0)
        until = loop.time() + 3.0
        while loop.time() < until and not all(it in self.sink.at for it in due):
            await asyncio.sleep(0.02)
        return sorted(self.sink.at[it] - at for it, at in due.items() if it in self.sink.at)


async def ways(world: World, way: str) -> HandIn:
    come, go = way.split("->")
    return await world.way_in(come, 1 if go == "HTTP" else 2)


async def cost(way: str, rate: float, seconds: float) -> tuple[float, float, float]:
    """CPU a message in us, median and 99th percentile of the latency in ms."""
    async with World() as world:
        hand_in = await ways(world, way)
        await world.play(hand_in, rate, 1.0, "warm")
        used = cpu_seconds(world.process.pid)
        waits = await world.play(hand_in, rate, seconds, "run")
        used = cpu_seconds(world.process.pid) - used
    return used / len(waits) * 1e6, statistics.median(waits) * 1e3, waits[int(len(waits) * 0.99)] * 1e3


async def highest(way: str, seconds: float) -> float:
    """The highest rate at which all arrive, 99 of 100 within half a second."""
    rate, good = 400.0, 0.0
    while rate < 5000:
        async with World() as world:
            hand_in = await ways(world, way)
            await world.play(hand_in, 100, 1.0, "warm")
            waits = await world.play(hand_in, rate, seconds, "run")
        if len(waits) < int(rate * seconds) or waits[int(len(waits) * 0.99)] > GOOD_WAIT:
            return good
        good, rate = rate, rate * 1.2
    return good


async def friday(way: str) -> str:
    """Ten times the usual rate for some seconds: what arrives, and how late."""
    async with World() as world:
        hand_in = await ways(world, way)
        quiet = await world.play(hand_in, USUAL, 3.0, "before")
        burst = await world.play(hand_in, 10 * USUAL, BURST, "burst")
        after = await world.play(hand_in, USUAL, 3.0, "after")
        given = int(USUAL * 3) * 2 + int(10 * USUAL * BURST)
        arrived = len(quiet) + len(burst) + len(after)
        return (
            f"{arrived} of {given} arrived, {world.sink.twice} twice; in the burst median "
            f"{statistics.median(burst) * 1e3:.1f}, p99 {burst[int(len(burst) * 0.99)] * 1e3:.1f}, "
            f"most {burst[-1] * 1e3:.1f} ms"
        )


async def main(options: argparse.Namespace) -> None:
    """Measure all ways in turns."""
    found: dict[str, list[tuple[float, float, float]]] = {}
    for _ in range(options.rounds):
        for way in WAYS:
            found.setdefault(way, []).append(await cost(way, options.rate, options.seconds))
    base = [it[0] for it in found[WAYS[0]]]
    for way, rows in found.items():
        ratios = [it[0] / one for it, one in zip(rows, base, strict=True)]
        median, late = (statistics.median(it[at] for it in rows) for at in (1, 2))
        print(
            f"{way:13} {statistics.median(it[0] for it in rows):5.0f} us CPU a message, "
            f"{statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f}) of HTTP->HTTP; "
            f"latency median {median:.1f}, p99 {late:.1f} ms"
        )
    for way in WAYS:
        print(f"{way:13} highest steady rate {await highest(way, 4.0):.0f} a second")
    for way in WAYS:
        print(f"{way:13} Friday: {await friday(way)}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rounds", type=int, default=3)
    asyncio.run(main(parser.parse_args()))
