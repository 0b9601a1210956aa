"""CPU a delivered message: daemon, another release, library, and a bare forwarder, in turns."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import sys
import tempfile
from pathlib import Path

from amberlug.standin.deployment import settings
from amberlug.standin.wire import Platform

ROOT = Path(__file__).parents[1]
TICKS = os.sysconf("SC_CLK_TCK")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Endpoint(asyncio.Protocol):
    """An endpoint that answers each call at once, and counts them; cheap, so that it holds nobody up."""

    answered = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._rest = transport, b""

    def data_received(self, data: bytes) -> None:
        self._rest += data
        while b"\r\n\r\n" in self._rest:
            head, _, rest = self._rest.partition(b"\r\n\r\n")
            lower = head.lower()
            at = lower.index(b"content-length:") + 15
            length = int(lower[at:].split(b"\r\n", 1)[0])
            if len(rest) < length:
                return
            self._rest = rest[length:]
            Endpoint.answered += 1
            self._transport.write(OK)


def cpu_seconds(pid: int) -> float:
    """CPU that a process has used, from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def load(port: int, rate: float, seconds: float, name: str) -> None:
    """Hand messages in at a steady pace over a few kept connections."""
    links = [await asyncio.open_connection("127.0.0.1", port) for _ in range(16)]
    idle: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
    for link in links:
        idle.put_nowait(link)
    loop = asyncio.get_running_loop()
    started, sent = loop.time(), set()

    async def one(number: int) -> None:
        reader, writer = link = await idle.get()
        head = (
            f"POST /result HTTP/1.1\r\nHost: a\r\nReq-Id: {name}-{number}\r\nReq-Kind: result\r\n"
            f"Req-Deadline-Ms: 4000\r\nEnvelope: dest=1\r\nContent-Length: 200\r\n\r\n"
        )
        writer.write(head.encode() + b"x" * 200)
        said = await reader.readuntil(b"\r\n\r\n")
        if not said.startswith(b"HTTP/1.1 202"):
            raise RuntimeError(f"not taken on: {said!r}")
        idle.put_nowait(link)

    for number in range(int(rate * seconds)):
        await asyncio.sleep(started + number / rate - loop.time())
        sent.add(asyncio.create_task(one(number)))
    await asyncio.gather(*sent)
    for _, writer in links:
        writer.close()


async def serve(
    command: list[str], cwd: Path, environ: dict[str, str], port: int, rate: float, seconds: float
) -> float:
    """Start a program that clients hand in to; the CPU microseconds of a delivered message."""
    process = await asyncio.create_subprocess_exec(
        *command, cwd=cwd, env=os.environ | environ, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    while b"ready on" not in (line := await process.stderr.readline()):
        if not line:
            raise RuntimeError(f"{command} did not start")
    await load(port, rate, 1.0, "warm")
    await asyncio.sleep(0.3)
    before, used = Endpoint.answered, cpu_seconds(process.pid)
    await load(port, rate, seconds, "run")
    await asyncio.sleep(0.3)
    used, delivered = cpu_seconds(process.pid) - used, Endpoint.answered - before
    process.kill()
    await process.wait()
    return used / max(1, delivered) * 1e6


async def daemon(root: Path, endpoint: int, rate: float, seconds: float) -> float:
    """Measure the daemon of a checkout."""
    platform, port = await Platform().start(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        member = {
            "id": "e",
            "host_port": f"127.0.0.1:{endpoint}",
            "locality": "a",
            "flavor": "plain",
            "cell": 1,
            "phase": "in_service",
            "size": 0.0,
            "up_since_ms": 0,
        }
        config = {
            "name": "n",
            "seed": "1",
            "listen": f"127.0.0.1:{port}",
            "settings": settings(),
            "discovery": f"127.0.0.1:{platform.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": [member]},
        }
        path, state = Path(folder) / "config.json", Path(folder) / "state"
        state.mkdir()
        path.write_text(json.dumps(config), encoding="utf-8")
        environ = {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(state)}
        cost = await serve([sys.executable, "-m", "amberlug"], root, environ, port, rate, seconds)
    await platform.stop()
    return cost


async def forwarder(endpoint: int, rate: float, seconds: float) -> float:
    """Measure the bare forwarder."""
    port = free_port()
    command = [sys.executable, "-m", "benchmarks.forwarder", str(port), str(endpoint)]
    return await serve(command, ROOT, {}, port, rate, seconds)


async def library(endpoint: int, rate: float, seconds: float) -> float:
    """Measure the library in a host that hands in by itself; endpoint 0 stands for a transport of its own."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.library_host",
        str(endpoint),
        str(rate),
        str(seconds),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return float(json.loads(out)["cpu_us"])


async def main(before: Path | None, rate: float, seconds: float, rounds: int) -> None:
    """Measure all in turns, and print medians with their ratios to the bare forwarder."""
    server = await asyncio.get_running_loop().create_server(Endpoint, "127.0.0.1", 0)
    endpoint: int = server.sockets[0].getsockname()[1]
    costs: dict[str, list[float]] = {}
    for _ in range(rounds):
        costs.setdefault("forwarder", []).append(await forwarder(endpoint, rate, seconds))
        if before is not None:
            costs.setdefault("before", []).append(await daemon(before, endpoint, rate, seconds))
        costs.setdefault("daemon", []).append(await daemon(ROOT, endpoint, rate, seconds))
        costs.setdefault("library", []).append(await library(endpoint, rate, seconds))
        costs.setdefault("no HTTP", []).append(await library(0, rate, seconds))
    for name, values in costs.items():
        spread = f"{min(values):.0f} to {max(values):.0f}"
        ratios = [
            statistics.median(value / other for value, other in zip(values, costs[than], strict=True))
            for than in ("forwarder", "daemon")
        ]
        print(
            f"{name:10} {statistics.median(values):6.0f} us a message ({spread}), "
            f"{ratios[0]:.2f} x forwarder, {ratios[1]:.2f} x daemon"
        )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="a checkout of another release")
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    asyncio.run(main(options.before, options.rate, options.seconds, options.rounds))
