"""Tens of thousands of destinations, most asleep: memory, start, CPU, whole lists, many that wake at once."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from amberlug.core.clock import LoopClock
from amberlug.core.journal import Durability, open_journal
from amberlug.core.node import Node
from amberlug.http.calls import HttpTransport
from amberlug.learning import open_learning
from amberlug.platform.backoff import DiscoveryBackoff
from amberlug.platform.discovery import Watch
from amberlug.platform.notices import NoticeSender
from amberlug.policy.settings import read_settings
from amberlug.standin.crowd import Behavior, Client, Crowd, Directory, SubmittedMessage, ends
from amberlug.standin.deployment import settings
from amberlug.standin.wire import PATIENCE
from benchmarks.cost import ROOT, cpu_seconds, free_port

PAGE = os.sysconf("SC_PAGE_SIZE")
BUSY = 20  # destinations that are busy throughout


def line(members: list[dict[str, Any]], revision: int, complete: bool = True) -> str:
    return json.dumps({"revision": revision, "complete": complete, "members": members})


def resident(pid: int) -> float:
    """Memory that a process holds now, in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


class Daemon:
    """The relay with so many endpoints in its configuration."""

    def __init__(self, folder: Path, crowd: Crowd, listed: int) -> None:
        self._folder, self._crowd, self._listed = folder, crowd, listed
        self.told: dict[str, SubmittedMessage] = {}
        self.platform = Directory(self.told)
        self.port = free_port()

    async def __aenter__(self) -> Daemon:
        await self.platform.start()
        table = settings()
        table["FamilyInfo"]["Slots"] = 300
        table["Bounds"]["MaxOpen"] = 2000
        state, path = self._folder / "state", self._folder / "config.json"
        state.mkdir()
        known = {"revision": 1, "complete": True, "members": self._crowd.members(range(self._listed))}
        path.write_text(
            json.dumps(
                {
                    "name": "sleeping",
                    "seed": "1",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{self.platform.port}",
                    "settings": table,
                    "known": known,
                    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024, "disk_mb": 16},
                }
            )
        )
        variables = os.environ | {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(state)}
        start = time.perf_counter()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", "serve", cwd=ROOT, env=variables, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while b"ready on" not in (said := await self.process.stderr.readline()):
                assert said, "the relay ended before it was ready"
        self.started = time.perf_counter() - start
        self._log = asyncio.ensure_future(self.process.stderr.read())
        await self.platform.watched(len(self.platform.watches) or 1)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.process.kill()
        await self.process.wait()
        await self.platform.stop()

    @property
    def cpu(self) -> float:
        return cpu_seconds(self.process.pid)

    @property
    def memory(self) -> float:
        return resident(self.process.pid)

    async def clients(self, count: int) -> list[Client]:
        loop = asyncio.get_running_loop()
        made = [
            await loop.create_connection(lambda: Client(self.told), "127.0.0.1", self.port)
            for _ in range(count)
        ]
        return [client for _, client in made]


async def paced(rate: float, seconds: float, hand_in: Callable[[int], None]) -> None:
    """Hand in at a steady pace, whatever comes of it."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for count in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, start + count / rate - loop.time()))
        hand_in(count)


async def with_daemon(listed: int, crowd: Crowd, work: Callable[[Daemon], Awaitable[None]]) -> None:
    await crowd.start()
    with tempfile.TemporaryDirectory() as folder:
        async with Daemon(Path(folder), crowd, listed) as daemon:
            await work(daemon)
    await crowd.stop()


async def cost(listed: int, seconds: float) -> tuple[float, float, float]:
    """CPU a message in us, memory in MB and seconds to ready, with so many listed and 100 called."""
    found: list[tuple[float, float, float]] = []

    async def work(daemon: Daemon) -> None:
        clients = await daemon.clients(8)
        memory = daemon.memory

        def hand_in(count: int) -> None:
            clients[count % 8].hand_in(f"{count % 100}-{count}", "result", 4.0)

        await paced(200, 1.0, lambda count: hand_in(count + 10**6))
        before, start = len(crowd.delivered), daemon.cpu
        await paced(200, seconds, hand_in)
        await asyncio.sleep(0.5)
        found.append(((daemon.cpu - start) / (len(crowd.delivered) - before) * 1e6, memory, daemon.started))

    crowd = Crowd()
    await with_daemon(listed, crowd, work)
    return found[0]


async def whole_list(listed: int, share: float) -> None:
    """Replace a share of all endpoints in one list, under load: hold-ups, memory, calls to what is gone."""
    crowd = Crowd()

    async def work(daemon: Daemon) -> None:
        told, loop = daemon.told, asyncio.get_running_loop()
        clients = await daemon.clients(9)
        waits: list[tuple[float, float]] = []
        stop = False

        async def look() -> None:
            """Hand in every 5 ms on a connection of its own; how long each answer took."""
            count = 0
            while not stop:
                start, name = loop.time(), f"{count % BUSY}-look{count}"
                clients[8].hand_in(name, "result", 4.0)
                while not told[name].status:
                    await asyncio.sleep(0.0005)
                waits.append((start, loop.time() - start))
                count += 1
                await asyncio.sleep(0.005)

        looking = asyncio.ensure_future(look())
        load = asyncio.ensure_future(
            paced(
                100, 6.0, lambda count: clients[count % 8].hand_in(f"{count % BUSY}-{count}", "result", 4.0)
            )
        )
        await asyncio.sleep(2.0)
        kept = int(listed * (1 - share))
        members = crowd.members(range(kept)) + crowd.members(range(kept, listed), life=1)
        told_at = loop.time()
        daemon.platform.whole(members)
        peak, memory = 0.0, daemon.memory
        while loop.time() < told_at + 4.0:
            peak = max(peak, daemon.memory)
            await asyncio.sleep(0.02)
        stop = True
        await asyncio.gather(looking, load)
        quiet = sorted(wait for at, wait in waits if at < told_at)
        during = sorted(wait for at, wait in waits if at >= told_at)
        print(
            f"a whole list of {listed}, {share:.0%} replaced: an answer to a hand-in takes median "
            f"{statistics.median(quiet) * 1e3:.1f}, most {quiet[-1] * 1e3:.1f} ms before; median "
            f"{statistics.median(during) * 1e3:.1f}, p99 {during[int(len(during) * 0.99)] * 1e3:.1f}, most "
            f"{during[-1] * 1e3:.1f} ms while it is applied; memory {memory:.0f}, peak {peak:.0f}, "
            f"after it {daemon.memory:.0f} MB"
        )

    await with_daemon(listed, crowd, work)


async def hold_ups(listed: int, share: float) -> None:
    """How long a turn of the loop takes at most while a whole list comes in and is applied, here."""
    loop, crowd = asyncio.get_running_loop(), await Crowd().start()
    clock = LoopClock()
    with tempfile.TemporaryDirectory() as folder:
        journal = open_journal(Path(folder), 10**7, clock, Durability.PROCESS)
        read, notices = read_settings(settings()), NoticeSender(("127.0.0.1", 1))
        learning = open_learning(Path(folder), 10**7, clock)
        node = Node(read, 1, journal, learning, HttpTransport(read, 9, clock), notices, clock)
        watch = Watch(("127.0.0.1", 1), read.kinds, 0, node.listing, DiscoveryBackoff(1, 2.0), lambda: None)
        kept = int(listed * (1 - share))
        lists = [
            crowd.members(range(listed)),
            crowd.members(range(kept)) + crowd.members(range(kept, listed), 1),
        ]
        lines = [f"{line(members, revision)}\n".encode() for revision, members in enumerate(lists, 1)]
        del lists
        gc.collect()
        gc.freeze()
        gc.set_threshold(10_000)
        for revision, data in enumerate(lines, 1):
            turns, last = [0.0], loop.time()
            start = last
            for at in range(0, len(data), 65536):
                watch._on_data(data[at : at + 65536])
                await asyncio.sleep(0)
                turns.append(loop.time() - last)
                last = loop.time()
            while watch._revision != revision:
                await asyncio.sleep(0)
                turns.append(loop.time() - last)
                last = loop.time()
            turns.sort()
            print(
                f"list {revision} of {listed} ({'all new' if revision == 1 else f'{share:.0%} replaced'}): "
                f"{last - start:.2f} s, a turn of the loop p99 {turns[int(len(turns) * 0.99)] * 1e3:.1f}, "
                f"most {turns[-1] * 1e3:.1f} ms"
            )
        node.stop()
        journal.close()
    await crowd.stop()


@dataclass(slots=True)
class Woken:
    """What an event looked like: delays of first calls, and what was seen every 50 ms, in seconds and MB."""

    firsts: list[float]
    at: list[float] = field(default_factory=list)
    memory: list[float] = field(default_factory=list)
    delivered: list[int] = field(default_factory=list)  # to the woken, so far


async def event(listed: int, woken: int, each: int, bad: bool) -> Woken:
    """Wake many at once while the busy go on: first calls, the busy ones' aims, memory."""
    seen = Woken([])
    behaviors = [
        Behavior.WELL,
        Behavior.SLOW,
        Behavior.WELL,
        Behavior.REFUSES,
        Behavior.WELL,
        Behavior.DEAD,
        Behavior.WELL,
        Behavior.SILENT,
    ]
    crowd = Crowd(lambda number: behaviors[number % 8] if bad and number >= BUSY else Behavior.WELL)

    async def work(daemon: Daemon) -> None:
        told, loop, memory = daemon.told, asyncio.get_running_loop(), daemon.memory
        busy = await daemon.clients(10)
        going_on = asyncio.ensure_future(
            paced(
                100, 20.0, lambda count: busy[count % 10].hand_in(f"{count % BUSY}-b{count}", "payment", 4.0)
            )
        )
        await asyncio.sleep(4.0)
        crowding = await daemon.clients(50)  # an idle connection would have been closed by now
        woken_at = loop.time()

        def wake(count: int) -> None:
            crowding[count % 50].hand_in(f"{BUSY + count % woken}-w{count}", "result", 15.0)

        await paced(woken * each / 2.0, 2.0, wake)
        while loop.time() < woken_at + 16.0:
            seen.at.append(loop.time() - woken_at)
            seen.memory.append(daemon.memory)
            seen.delivered.append(sum("-w" in name for name in crowd.delivered))
            await asyncio.sleep(0.05)
        await going_on
        await asyncio.sleep(1.0)
        firsts = seen.firsts = sorted(
            it.first - min(told[f"{number}-w{number - BUSY}"].made, it.first)
            for number, it in crowd.called.items()
            if number >= BUSY
        )
        names = [name for name in told if "-b" in name]
        took = [crowd.delivered[name] - told[name].made for name in names if name in crowd.delivered]
        kept = sum(wait <= 1.0 for wait in took) / len(names)
        well = {
            it for it in told if "-w" in it and crowd.behavior(int(it.partition("-")[0])) is Behavior.WELL
        }
        print(
            f"{woken} woken with {each} each in 2 s{', half of them slow, refusing, dead or silent' * bad}: "
            f"first calls to {len(firsts)}, after median {statistics.median(firsts):.2f}, "
            f"p99 {firsts[int(len(firsts) * 0.99)]:.2f}, most {firsts[-1]:.2f} s; "
            f"{kept:.1%} of {len(names)} for the busy kept their aim; "
            f"memory {memory:.0f}, peak {max(seen.memory):.0f} MB; "
            f"delivered {sum('-w' in name for name in crowd.delivered)} of {woken * each} to the woken, "
            f"{len(well & crowd.delivered.keys())} of {len(well)} to those of them that are well; "
            f"calls before a told wait was over: {sum(it.early for it in crowd.called.values())}; "
            f"answers {dict(ends(told.values()))}"
        )

    await with_daemon(listed, crowd, work)
    return seen


def plot(path: Path, events: dict[str, Woken]) -> None:
    """Draw the events, one line each, as SVG: first calls, deliveries and memory over time."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "amberlug"
    from matplotlib import pyplot

    figure, (first, delivered, memory) = pyplot.subplots(1, 3, figsize=(13, 3.8), layout="constrained")
    for name, it in events.items():
        first.step(it.firsts, range(1, len(it.firsts) + 1), where="post", label=name)
        delivered.plot(it.at, it.delivered, label=name)
        memory.plot(it.at, it.memory, label=name)
    first.set(xlabel="s after its first hand-in", ylabel="destinations called", xlim=0, ylim=0)
    delivered.set(xlabel="s after the first woke", ylabel="messages delivered to the woken", ylim=0)
    memory.set(xlabel="s after the first woke", ylabel="resident memory, MB", ylim=0)
    memory.axhline(64, color="grey", linestyle=":", label="what the deployment gives")
    for axes in (first, delivered, memory):
        axes.grid(alpha=0.3)
    memory.legend(loc="lower right")
    figure.savefig(path, metadata={"Date": None})


async def main(options: argparse.Namespace) -> None:
    base, memories, starts = [], [], []
    for _ in range(options.turns):
        few, many = await cost(100, options.seconds), await cost(options.listed, options.seconds)
        base.append(many[0] / few[0])
        memories.append((many[1] - few[1]) * 1e6 / (options.listed - 100))
        starts.append((few[2], many[2]))
        print(f"100 listed: {few[0]:.0f} us a message, {few[1]:.1f} MB, ready in {few[2]:.2f} s")
        print(
            f"{options.listed} listed: {many[0]:.0f} us a message, {many[1]:.1f} MB, ready in {many[2]:.2f} s"
        )
    print(
        f"CPU a message, {options.listed} listed of 100 listed: median {statistics.median(base):.2f} "
        f"({min(base):.2f} to {max(base):.2f}); {statistics.median(memories):.0f} bytes a sleeping endpoint"
    )
    await hold_ups(options.listed, 0.58)
    await whole_list(options.listed, 0.58)
    events = {
        "all well": await event(options.listed, options.woken, 5, bad=False),
        "half slow, refusing, dead or silent": await event(options.listed, options.woken, 5, bad=True),
    }
    if options.plot:
        plot(options.plot, events)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listed", type=int, default=50_000)
    parser.add_argument("--woken", type=int, default=2_000)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--plot", type=Path, help="draw the events into this SVG file")
    asyncio.run(main(parser.parse_args()))
