"""What keeping costs, and how well what was learned predicts after a pause, by half-lives.

Costs are of the real store on a folder, over a minute by its clock. Predictions are of a model of partners,
whose assumptions stand beside each. The half-lives in `amberlug/learning/decay.py` are those of least error.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from amberlug.core.journal import FolderDisk
from amberlug.core.ports import Handle, RequestedPause
from amberlug.learning import decay
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store
from amberlug.policy import interface as api
from amberlug.policy.account import SECOND, UNLIMITED
from amberlug.policy.state import NEVER

MINUTE, HOUR, WEEK = 60.0, 3600.0, 7 * 86400.0
ROOM = 64_000_000
KEEP_S, PART = 5, 32  # the core keeps what changed each 5 s, 32 destinations in a turn


class Time:
    """A clock that goes on by hand."""

    def __init__(self) -> None:
        self.us, self.boot = 10**12, "boot"

    def now_us(self) -> int:
        return self.us + time.perf_counter_ns() // 1000 % SECOND  # so that slices end

    def wall_ms(self) -> int:
        return 1_790_000_000_000 + self.us // 1000

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Handle:
        raise NotImplementedError


class CountingDisk(FolderDisk):
    """A folder that counts the bytes written to it."""

    written = 0

    def append(self, name: str, data: bytes) -> int:
        self.written += len(data)
        return super().append(name, data)


def told(number: int, now_us: int, rng: random.Random) -> api.KnownDestination:
    entry = api.Entry(f"endpoint-{number}", "a", "club", number, api.State.IN, 5.0)
    rate = rng.random()
    health = api.KnownEndpoint(entry, False, NEVER, now_us - SECOND, now_us, None, rate, False, 1.0, ())
    route = api.KnownRoute("", int(rate * SECOND), 2.0, now_us, UNLIMITED if rate < 0.8 else 5.0, now_us)
    return api.KnownDestination(number, (route,), (health,))


def cost(known: int, active: int) -> dict[str, float]:
    """A minute with so many known and so many of them active; each figure is of one process, one core."""
    rng, now = random.Random(1), Time()
    with tempfile.TemporaryDirectory() as name:
        disk = CountingDisk(Path(name))
        learner = Learner(Store(disk, ROOM, now.now_us), now)
        for start in range(0, known, 1000):
            learner.observe([told(it, now.us, rng) for it in range(start, min(known, start + 1000))])
        while learner.work() is not None:
            pass
        before, longest, took = disk.written, 0.0, 0.0

        def timed(call: Callable[[], int | None]) -> int | None:
            nonlocal longest, took
            began = time.perf_counter()
            again = call()
            spent = time.perf_counter() - began
            longest, took = max(longest, spent), took + spent
            return again

        for second in range(60):
            now.us += SECOND
            number = rng.randrange(active)
            wait = RequestedPause(number, "", SECOND, now.us + SECOND, now.boot)
            timed(lambda wait=wait: learner.told(wait))  # type: ignore[misc]
            if second % KEEP_S == 0:
                for start in range(0, active, PART):
                    part = [told(it, now.us, rng) for it in range(start, min(active, start + PART))]
                    timed(lambda part=part: learner.observe(part))  # type: ignore[misc]
            while timed(learner.work) is not None:
                pass
        size = sum(disk.files().values())
        learner.close()
        now.us += SECOND
        began = time.perf_counter()
        again = Learner(Store(FolderDisk(Path(name)), ROOM, now.now_us), now)
        opened = time.perf_counter() - began
        began = time.perf_counter()
        again.recall(7, (api.Entry("endpoint-7", "a", "club", 7, api.State.IN, 5.0),))
        recalled = time.perf_counter() - began
        live = sum(len(key) + len(value) for key, value in again._store.records.items())
        again.close()
        return {
            "known": known,
            "active": active,
            "KB written a minute": (disk.written - before) / 1e3,
            "longest turn ms": longest * 1e3,
            "CPU ms a minute": took * 1e3,
            "bytes each": live / known,
            "bytes on disk each": size / known,
            "ms to open": opened * 1e3,
            "us to recall": recalled * 1e6,
        }


# Predictions: worlds in which a figure was learned, and what it is after a pause.

World = Callable[[random.Random, float], Iterator[tuple[float, float, float]]]  # learned, prior, true


def failures(rng: random.Random, pause: float) -> Iterator[tuple[float, float, float]]:
    """Failure rates: 2% as a rule; outages last 12 s as a rule and 20 min for one in ten, and fail 60%."""
    for _ in range(4000):
        out = rng.random() < 0.3  # of those that are worth remembering
        lasts = rng.expovariate(1 / (1200 if rng.random() < 0.1 else 12)) if out else 0.0
        rate = 0.6 if out else 0.02
        learned = min(1.0, max(0.0, rate + rng.gauss(0, 0.1)))
        again = rng.random() < 1 - math.exp(-pause / (3 * 86400)) and rng.random() < 0.01
        yield learned, 0.02, 0.6 if lasts > pause or again else 0.02


def answers(rng: random.Random, pause: float) -> Iterator[tuple[float, float, float]]:
    """Answer times (log): of a partner 0.8 about its kind; a day's load moves it by 0.3, slowly (8 h)."""
    for _ in range(4000):
        own, load = rng.gauss(0, 0.8), rng.gauss(0, 0.3)
        keeps = math.exp(-pause / (8 * HOUR))
        later = load * keeps + rng.gauss(0, 0.3) * math.sqrt(1 - keeps**2)
        moved = rng.random() < 1 - math.exp(-pause / (20 * 86400))  # another machine, another pace
        yield own + load + rng.gauss(0, 0.25), 0.0, (rng.gauss(0, 0.8) if moved else own) + later


def paces(rng: random.Random, pause: float) -> Iterator[tuple[float, float, float]]:
    """Own calls a second (log): a burst adds 0.7 and lasts 5 s; the evening's part moves over 2 h."""
    for _ in range(4000):
        level, burst = rng.gauss(0, 0.6), 0.7 * (rng.random() < 0.3)
        keeps = math.exp(-pause / (2 * HOUR))
        later = level * keeps + rng.gauss(0, 0.6) * math.sqrt(1 - keeps**2)
        goes_on = 0.7 * (rng.random() < (math.exp(-pause / 5) if burst else 0.05))
        yield level + burst, 0.0, later + goes_on


def limits(rng: random.Random, pause: float) -> Iterator[tuple[float, float, float]]:
    """Doublings that a learned limit stands below what is offered, 3 to begin with.

    The partner's limit stays for half a day as a rule, but 4 in 10 speak of a crowd that goes in 90 s.
    """
    for _ in range(4000):
        crowd = rng.random() < 0.4
        gone = rng.random() < 1 - math.exp(-pause / (90 if crowd else 12 * HOUR))
        yield 3.0 + rng.gauss(0, 0.4), 0.0, 0.0 if gone else 3.0


WORLDS: dict[str, tuple[World, int]] = {
    "failure rate": (failures, decay.FAILURE_RATE_HALF_LIFE_US),
    "answer time": (answers, decay.RESPONSE_TIME_HALF_LIFE_US),
    "pace": (paces, decay.THROUGHPUT_HALF_LIFE_US),
    "limit": (limits, decay.LIMIT_DOUBLING_TIME_US),
}
PAUSES = {"1 s": 1.0, "1 minute": MINUTE, "1 hour": HOUR, "1 week": WEEK}
HALVES = [15, 30, 60, 120, 300, 600, 1800, 2 * 3600, 6 * 3600, 86400, 7 * 86400]


def error(world: World, pause: float, half_us: int) -> float:
    """Root of the mean square error of what is believed after a pause."""
    part = decay.weight(int(pause * SECOND), half_us)
    part = part if part >= decay.MIN_WEIGHT else 0.0

    def believed(was: float, prior: float) -> float:
        if world is limits:  # it grows twofold each half-life
            return max(0.0, was - pause * SECOND / half_us)
        return decay.interpolate(was, prior, part)

    drawn = world(random.Random(4), pause)
    return math.sqrt(statistics.fmean((believed(was, prior) - true) ** 2 for was, prior, true in drawn))


def plot(file: Path) -> None:
    """Draw the error of each fact over the half-life, one line for each pause."""
    import matplotlib

    matplotlib.use("agg")
    matplotlib.rcParams["svg.hashsalt"] = "amberlug"
    from matplotlib import pyplot

    figure, parts = pyplot.subplots(2, 2, figsize=(9, 6), layout="constrained")
    halves = sorted(HALVES)
    for part, (name, (world, chosen_us)) in zip(parts.flat, WORLDS.items(), strict=True):
        for pause, seconds in PAUSES.items():
            part.plot(halves, [error(world, seconds, it * SECOND) for it in halves], label=f"after {pause}")
        part.axvline(chosen_us / SECOND, color="grey", linestyle="--")
        part.set(title=name, xscale="log", xlabel="half-life, s", ylabel="error (root mean square)")
        part.set_ylim(0, None)
    parts.flat[0].legend()
    figure.savefig(file, metadata={"Date": None} if file.suffix == ".svg" else None)


def name_of(seconds: float) -> str:
    for unit, size in (("d", 86400), ("h", 3600), ("min", 60)):
        if seconds >= size:
            return f"{seconds / size:g} {unit}"
    return f"{seconds:g} s"


def main() -> None:
    """Print both tables."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--only", choices=["cost", "prediction"])
    options.add_argument("--plot", type=Path, help="draw the errors there (needs the extra `plots`)")
    told = options.parse_args()
    if told.plot is not None:
        plot(told.plot)
    if told.only != "prediction":
        rows = [cost(100, 30), cost(5_000, 100), cost(50_000, 100), cost(50_000, 2_000)]
        print("| " + " | ".join(rows[0]) + " |\n" + "| ---: " * len(rows[0]) + "|")
        for row in rows:
            print("| " + " | ".join(f"{value:.1f}" for value in row.values()) + " |")
    if told.only != "cost":
        print("\n| fact | half-life | " + " | ".join(PAUSES) + " | mean |\n| --- | --- |" + " ---: |" * 5)
        for name, (world, chosen_us) in WORLDS.items():
            halves = sorted({*HALVES, chosen_us // SECOND})
            table = {it: [error(world, pause, it * SECOND) for pause in PAUSES.values()] for it in halves}
            table[10**9] = [error(world, pause, 10**9 * SECOND) for pause in PAUSES.values()]
            best = min(table, key=lambda it, table=table: sum(table[it]))  # type: ignore[misc]
            for half, errors in table.items():
                mark = "**" if half == chosen_us // SECOND else ""
                what = "never ages" if half == 10**9 else name_of(half)
                told_best = " (least)" if half == best else ""
                figures = " | ".join(f"{it:.3f}" for it in [*errors, statistics.fmean(errors)])
                print(f"| {name} | {mark}{what}{mark}{told_best} | {figures} |")


if __name__ == "__main__":
    main()
