"""What a relay's memory is worth: failures, waits and worth in the first seconds after a SIGKILL.

A tenth of the partners is slow, failing, limited, or tells waits; the relay is killed and started again on
its folder. Compared in turns: no memory (what was learned is taken away), an earlier release if one is given,
this one, and this one left alone. One of the failing gets better while the relay is down.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from amberlug.http.link import ConnectionLostError, dial
from amberlug.standin.deployment import DEADLINE, WANTED, settings
from amberlug.standin.wire import OK, Answer, Platform, Seen, StandIn

PARTNERS = 40
BEFORE, AWAY, AFTER = 8.0, 0.6, 10.0  # seconds before the kill, until the start, and looked at after it
SORTS = ("slow", "failing", "better", "limited", "waiting")  # one partner in forty of each, the rest are well
FORGETFUL, UNDISTURBED = "no memory", "undisturbed"  # sides: what was learned is lost; nothing is killed
LIMIT = 8.0  # calls a second that the limited one takes
RATE = 20.0  # calls a second that the list gives the others; of the limited one it tells nothing
WAIT_S = 1.8
ON_ITS_WAY = 0.1  # seconds in which calls still come that left before the wait was heard of
FULL: Answer = (429, [], b"")
BUSY: Answer = (429, [("Wait-Ms", str(int(WAIT_S * 1000)))], b"")
ERROR: Answer = (500, [], b"")


@dataclass
class Call:
    """One call at a partner."""

    at: float
    delivered: bool
    in_wait: bool


@dataclass
class Partner:
    """A partner of one sort; `ready` is when the relay was last started."""

    number: int
    sort: str
    rng: random.Random
    delivered: Callable[[str], None]
    better: bool = False
    calls: list[Call] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    wait_until: float = 0.0

    def __post_init__(self) -> None:
        self.peer = StandIn(None)
        self.peer.on_request = self.called

    def called(self, seen: Seen) -> bool:
        now, answer, seconds = time.monotonic(), OK, self.rng.uniform(0.01, 0.04)
        waits = now < self.wait_until
        in_wait = waits and now > self.wait_until - WAIT_S + ON_ITS_WAY
        if self.sort == "slow":
            seconds = self.rng.uniform(0.8, 1.6)
        elif self.sort in ("failing", "better") and not self.better:
            answer = ERROR if self.rng.random() < 0.8 else OK
        elif self.sort == "limited":
            self.starts = [it for it in self.starts if it > now - 1]
            answer = FULL if len(self.starts) >= LIMIT else OK
            self.starts += [now] * (answer is OK)
        elif self.sort == "waiting" and (waits or self.rng.random() < 0.15):
            answer = BUSY
        if answer is BUSY and not waits:
            self.wait_until = now + WAIT_S
        self.calls.append(Call(now, answer is OK, in_wait))

        def tell() -> None:
            if not seen.writer.is_closing():
                if answer is OK:
                    self.delivered(seen.name)
                seen.answer(answer)

        if answer is OK:
            asyncio.get_running_loop().call_later(seconds, tell)
        else:
            tell()
        return True


class World:
    """The relay of one checkout, its partners and clients."""

    def __init__(self, folder: Path, checkout: Path, seed: int) -> None:
        self.folder, self.checkout = folder, checkout
        self.rng = random.Random(seed)
        sorts = [*SORTS, *["well"] * (PARTNERS - len(SORTS))]
        self.partners = [
            Partner(number, sort, random.Random(f"{seed}/{number}"), self.note)
            for number, sort in enumerate(sorts, 1)
        ]
        self.platform = Platform()
        self.to: dict[str, int] = {}
        self.handed: dict[str, tuple[float, bool]] = {}  # when each was handed in, and whether taken on
        self.done: dict[str, float] = {}
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = int(sock.getsockname()[1])

    def note(self, name: str) -> None:
        self.done.setdefault(name, time.monotonic())

    async def start(self) -> float:
        """Start the relay; how long until it was ready."""
        began = time.monotonic()
        members = [
            {
                "id": f"e{it.number}",
                "host_port": f"127.0.0.1:{it.peer.port}",
                "locality": "a",
                "flavor": "plain",
                "cell": it.number,
                "phase": "in_service",
                "size": 0.0 if it.sort == "limited" else RATE,
                "up_since_ms": 0,
            }
            for it in self.partners
        ]
        config = {
            "name": "n0",
            "seed": "1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.platform.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": settings() | {"Weights": "nominal"},
        }
        (self.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        variables = os.environ | {
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_STATE": str(self.folder / "state"),
            "PYTHONPATH": str(self.checkout),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "amberlug", cwd=self.checkout, env=variables, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        while b"ready on" not in (line := await self.process.stderr.readline()):
            if not line:
                raise OSError("the relay ended before it was ready")
        self.log = asyncio.ensure_future(self.process.stderr.read())
        return time.monotonic() - began

    async def hand_in(self, name: str, kind: str, destination: int) -> None:
        """Hand a message in; again after half a second where it is refused or nobody answers."""
        began = time.monotonic()
        self.handed[name], self.to[name] = (began, False), destination
        while (left := began + DEADLINE - time.monotonic()) > 0.5:
            headers = [
                ("Req-Id", name),
                ("Req-Kind", kind),
                ("Req-Deadline-Ms", str(int(left * 1000))),
                ("Envelope", f"dest={destination}"),
                ("Idempotency-Key", f"key-{name}"),
            ]
            link = await dial("127.0.0.1", self.port, 1.0)
            if link is not None:
                try:
                    async with asyncio.timeout(1.0):
                        reply = await link.request("POST", f"/{kind}", headers, b"x")
                    if reply.status in (200, 202):
                        self.handed[name] = began, True
                        return
                except (TimeoutError, ConnectionLostError):
                    pass
                finally:
                    link.close()
            await asyncio.sleep(0.5)

    async def traffic(self, seconds: float, rate: float, first: int) -> list[asyncio.Task[None]]:
        began, sent = time.monotonic(), []
        for count in range(int(seconds * rate)):
            await asyncio.sleep(max(0.0, began + count / rate - time.monotonic()))
            kind = self.rng.choice(["result", "result", "entry", "payment"])
            # The troubled draw a larger share: what the limited one is sent is over its limit.
            destination = self.rng.choice([*range(1, PARTNERS + 1), *range(1, len(SORTS) + 1), 4, 4])
            sent.append(asyncio.ensure_future(self.hand_in(f"m{first + count}", kind, destination)))
        return sent

    def worth(self, names: list[str]) -> tuple[float, int]:
        """Worth delivered of what was handed in, from 0 to 1, and how many came late or never."""
        total, late = 0.0, 0
        for name in names:
            took = self.done.get(name, float("inf")) - self.handed[name][0]
            total += 1.0 if took <= WANTED else 0.5 if took <= DEADLINE else 0.0
            late += took > WANTED
        return total / max(1, len(names)), late


async def life(checkout: Path, side: str, seed: int, rate: float) -> dict[str, float]:
    """One kill, unless it is to be undisturbed; figures of the seconds after it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "state").mkdir()
        world = World(folder, checkout, seed)
        await world.platform.start()
        for partner in world.partners:
            await partner.peer.start()
        await world.start()
        tasks = await world.traffic(BEFORE, rate, 0)
        if side != UNDISTURBED:
            world.process.kill()
            await world.process.wait()
        if side == FORGETFUL:
            for path in (folder / "state").glob("learning-*"):
                path.unlink()
        for partner in world.partners:
            partner.better = partner.sort == "better"
        first = len(world.handed)
        more = asyncio.ensure_future(world.traffic(AWAY + AFTER, rate, first))
        await asyncio.sleep(AWAY)
        ready = await world.start() if side != UNDISTURBED else 0.0
        began = time.monotonic()
        tasks += await more
        await asyncio.gather(*tasks)
        await asyncio.sleep(DEADLINE)
        world.process.kill()
        await world.process.wait()
        span = began - ready, began + AFTER
        calls = [(it, call) for it in world.partners for call in it.calls if span[0] <= call.at < span[1]]
        failed = {sort: 0 for sort in SORTS}
        for partner, call in calls:
            if not call.delivered:
                failed[partner.sort] = failed.get(partner.sort, 0) + 1
        late = [name for name, (at, _) in world.handed.items() if at >= began]
        soon = [it for it in late if world.handed[it][0] < began + 5]
        better = next(it for it in world.partners if it.sort == "better")
        worth, later = world.worth(late)
        for peer in (world.platform, *(it.peer for it in world.partners)):
            await peer.stop()
        return {
            "failed": sum(failed.values()),
            **{f"failed {sort}": count for sort, count in failed.items()},
            "into waits": sum(call.in_wait for _, call in calls),
            "late": later,
            "worth": worth,
            "worth in 5 s": world.worth(soon)[0],
            "calls to the better one": sum(call.at >= began for call in better.calls),
            "better one's worth after 5 s": world.worth(
                [
                    name
                    for name in late
                    if world.handed[name][0] >= began + 5 and world.to[name] == better.number
                ]
            )[0],
            "calls": len(calls),
            "ready s": ready,
        }


def main() -> None:
    """Play all in turns and print a table of medians."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--before", type=Path, help="a checkout of an earlier release")
    options.add_argument("--seeds", type=int, default=5)
    options.add_argument("--rate", type=float, default=150.0)
    told = options.parse_args()
    here = Path(__file__).parents[1]
    sides = {FORGETFUL: here, "this": here, UNDISTURBED: here}
    if told.before is not None:
        sides["before"] = told.before.resolve()
    rows: dict[str, list[dict[str, float]]] = {name: [] for name in sides}
    for seed in range(told.seeds):
        for name, checkout in sides.items():
            rows[name].append(asyncio.run(life(checkout, name, seed, told.rate)))
            print(seed, name, json.dumps(rows[name][-1]), flush=True)
    print(f"| {'median of ' + str(told.seeds):25} |" + "".join(f" {name:>12} |" for name in rows))
    print("| --- |" + " ---: |" * len(rows))
    for figure in rows["this"][0]:
        medians = [statistics.median(it[figure] for it in runs) for runs in rows.values()]
        print(f"| {figure:25} |" + "".join(f" {value:12.3f} |" for value in medians))


if __name__ == "__main__":
    main()
