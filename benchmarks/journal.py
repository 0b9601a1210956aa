"""The journal: hold-ups while it compacts, bytes written, append cost, recovery, and what a sync costs."""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from amberlug.core.clock import LoopClock
from amberlug.core.journal import Durability, FolderDisk, Journal, open_journal
from amberlug.core.messages import Attempt, Message

ROOT = Path(__file__).parents[1]
BODY = 500
ROOM = 4 << 30

# Played in a checkout of 0.1.0, whose journal was one file.
BEFORE = """
import json, sys, tempfile, time
from pathlib import Path
from amberlug.journal import Journal
from amberlug.messages import Attempt, Message
held, steps, body = map(int, sys.argv[1:])
with tempfile.TemporaryDirectory() as folder:
    journal = Journal(Path(folder), 4 << 30, 0)
    def message(name):
        return Message(name, "unsafe", None, 1, None, b"x" * body, 10**13)
    for count in range(held):
        journal.take(message(f"held{count}"))
    took, cpu = [], time.process_time()
    for count in range(steps):
        one = message(f"m{count}")
        start = time.perf_counter()
        journal.take(one)
        journal.attempt(Attempt(one, 0, "endpoint", 0, 1), 1)
        journal.end(one.name, 0, 1)
        took.append(time.perf_counter() - start)
    cpu = time.process_time() - cpu
print(json.dumps([took, cpu]))
"""


class Counting(FolderDisk):
    """Counts the bytes that are written."""

    written = 0

    def append(self, name: str, data: bytes) -> int:
        count = super().append(name, data)
        self.written += count
        return count


def message(name: str) -> Message:
    return Message(name, "unsafe", None, 1, None, b"x" * BODY, 10**13)


def spread(name: str, took: list[float]) -> None:
    """Print how long steps of three records took, in milliseconds."""
    took = sorted(took)
    middle, high, most = took[len(took) // 2], took[int(len(took) * 0.999)], took[-1]
    mean = statistics.fmean(took)
    print(
        f"{name:10} a step of 3 records: mean {mean * 1e3:.4f}, median {middle * 1e3:.4f}, "
        f"p99.9 {high * 1e3:.3f}, most {most * 1e3:.3f} ms"
    )


def one_file(held: int, steps: int, before: Path) -> tuple[list[float], float]:
    """Play steps in a checkout of 0.1.0: how long each took, and the CPU of all; seconds."""
    arguments = [str(held), str(steps), str(BODY)]
    out = subprocess.run(
        [sys.executable, "-c", BEFORE, *arguments], cwd=before, capture_output=True, check=True
    )
    took, cpu = json.loads(out.stdout)
    return took, cpu


def segments(held: int, steps: int) -> tuple[list[float], float]:
    """Play steps, each with its slice of work, here: the same."""
    with tempfile.TemporaryDirectory() as folder:
        disk = Counting(Path(folder))
        journal = Journal(disk, ROOM, 0, lambda: time.perf_counter_ns() // 1000)
        for count in range(held):
            journal.take(message(f"held{count}"), 0)
        start_bytes, took, taken, cpu = disk.written, [], 0, time.process_time()
        for count in range(steps):
            one = message(f"m{count}")
            start = time.perf_counter()
            journal.take(one, 0)
            journal.attempt(Attempt(one, 0, "endpoint", 0, 1), 1)
            journal.end(one.name, 0, 1)
            journal.work()
            took.append(time.perf_counter() - start)
            taken += BODY + len(one.name) + 60
        cpu = time.process_time() - cpu
        freed = sum(it.stat().st_size for it in Path(folder).iterdir())
        print(
            f"written {disk.written >> 20} MB, of which {freed >> 20} MB are still there; "
            f"{(disk.written - start_bytes) / taken:.2f} bytes for a byte taken"
        )
        journal.close()
    return took, cpu


def hold_ups(held: int, steps: int, before: Path | None) -> None:
    """Three records and a slice of work a step, with many messages held."""
    if before is not None:
        spread("one file", one_file(held, steps, before)[0])
    spread("segments", segments(held, steps)[0])


def append_cost(held: int, steps: int, before: Path, turns: int) -> None:
    """Compare the CPU of all steps, compaction and all, in turns."""
    ratios = []
    for _ in range(turns):
        old, new = one_file(held, steps, before)[1], segments(held, steps)[1]
        ratios.append(new / old)
    ratios.sort()
    print(
        f"append cost with {held} held, of the one file's: "
        f"median {statistics.median(ratios):.2f}, from {ratios[0]:.2f} to {ratios[-1]:.2f} in {turns} turns"
    )


def recovery(gigabytes: float) -> None:
    """Read a large folder in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(FolderDisk(Path(folder)), 64 << 30, 0, lambda: 0)
        size, count = 0, 0
        while size < gigabytes * (1 << 30):  # without a slice of work nothing is compacted
            one = Message(f"m{count}", "unsafe", None, 1, None, b"x" * 2000, 10**13)
            journal.take(one, 0)
            journal.attempt(Attempt(one, 0, "endpoint", 0, 1), 1)
            if count % 100:
                journal.end(one.name, 0, 1)
            size, count = size + 2150, count + 1
        journal.close()
        out = subprocess.run(
            [sys.executable, "-m", "benchmarks.journal", "--read", folder],
            cwd=ROOT,
            capture_output=True,
            check=True,
        )
        seconds, megabytes, held = json.loads(out.stdout)
        print(
            f"recovery of {gigabytes} GB, {count} messages: {seconds:.1f} s, {megabytes:.0f} MB, {held} held"
        )


def read(folder: Path) -> None:
    """Open a folder, and tell what that took."""
    start = time.perf_counter()
    journal = Journal(FolderDisk(folder), 64 << 30, 0, lambda: 0)
    seconds = time.perf_counter() - start
    print(json.dumps([seconds, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000, len(journal.held)]))


async def syncs(durability: Durability, seconds: float, hands: int) -> None:
    """Take messages on from so many hands at once, each waiting until it may tell."""
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        journal = open_journal(Path(folder), ROOM, LoopClock(), durability)
        loop, waited = asyncio.get_running_loop(), list[float]()
        until = loop.time() + seconds

        async def hand(number: int) -> None:
            count = 0
            while loop.time() < until:
                start, told = loop.time(), loop.create_future()
                journal.take(message(f"{number}-{count}"), 0)
                journal.after(lambda told=told: told.set_result(None))  # type: ignore[misc]
                await told
                waited.append(loop.time() - start)
                journal.end(f"{number}-{count}", 0, 1)
                journal.work()
                count += 1
                await asyncio.sleep(0)

        await asyncio.gather(*(hand(number) for number in range(hands)))
        waited.sort()
        middle, high = statistics.median(waited), waited[int(len(waited) * 0.99)]
        print(
            f"{durability.value:9} {len(waited) / seconds:7.0f} messages a second from {hands} hands, "
            f"median {middle * 1e3:.2f}, p99 {high * 1e3:.2f} ms"
        )
        journal.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="a checkout of 0.1.0")
    parser.add_argument("--held", type=int, default=100_000)
    parser.add_argument("--steps", type=int, default=300_000)
    parser.add_argument("--gigabytes", type=float, default=1.0)
    parser.add_argument("--read", type=Path, help="only read a folder, and tell what that took")
    options = parser.parse_args()
    if options.read is not None:
        read(options.read)
    else:
        hold_ups(options.held, options.steps, options.before)
        if options.before is not None:
            append_cost(1000, 60_000, options.before, 9)
        recovery(options.gigabytes)
        for durability in Durability:
            asyncio.run(syncs(durability, 3.0, 64))
