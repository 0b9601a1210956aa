"""Runs scenarios in parallel processes; each result is stored and never computed twice."""

from __future__ import annotations

import hashlib
import json
import math
import multiprocessing
import sqlite3
import statistics
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scipy import stats

from amberlug.lab.days import draw
from amberlug.lab.play import Play
from amberlug.lab.scenario import Scenario, read

_TABLE = """CREATE TABLE IF NOT EXISTS runs (
    scenario TEXT, digest TEXT, seed INTEGER, build TEXT, figures TEXT, PRIMARY KEY (digest, seed, build)
)"""
SOURCES = ("amberlug", "amberlug.policy")
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Job:
    """One requested run: a scenario file and a seed."""

    path: Path
    digest: str
    seed: int


def build_of(root: Path) -> str:
    """Return a digest of the source files; stored runs are valid only for the same digest."""
    digest = hashlib.blake2b(digest_size=8)
    for package in SOURCES:
        for path in sorted((root / package).rglob("*.py")):
            digest.update(str(path.relative_to(root)).encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


def jobs_of(paths: Iterable[Path], seeds: int) -> list[Job]:
    """List the runs of all scenarios for seeds 1 to `seeds`; raises `BadScenarioError` before any run."""
    jobs = []
    for path in paths:
        read(path)
        digest = hashlib.blake2b(path.read_bytes(), digest_size=8).hexdigest()
        jobs += [Job(path, digest, seed) for seed in range(1, seeds + 1)]
    return jobs


class Runs:
    """Result store in one SQLite file; each run is committed at once, so that Ctrl-C loses none."""

    def __init__(self, path: Path, build: str) -> None:
        self._build = build
        self._db = sqlite3.connect(path)
        self._db.execute(_TABLE)

    def known(self, job: Job) -> dict[str, Any] | None:
        """Return the stored figures of a run by this build, if any."""
        asked = "SELECT figures FROM runs WHERE digest = ? AND seed = ? AND build = ?"
        row = self._db.execute(asked, (job.digest, job.seed, self._build)).fetchone()
        return None if row is None else dict(json.loads(row[0]))

    def keep(self, job: Job, figures: dict[str, Any]) -> None:
        """Store the figures of a run and commit."""
        row = job.path.stem, job.digest, job.seed, self._build, json.dumps(figures)
        self._db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", row)
        self._db.commit()

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    def play(self, jobs: Sequence[Job], processes: int) -> Iterator[tuple[Job, dict[str, Any], bool]]:
        """Run the jobs that are not stored; yield each job, its figures, and whether they were stored."""
        left = []
        for job in jobs:
            if (figures := self.known(job)) is None:
                left.append(job)
            else:
                yield job, figures, True
        # A forked child would inherit the parent's locks and database connection; spawn does not.
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(processes, mp_context=context) as pool:
            under_way = {pool.submit(played, job.path, job.seed): job for job in left}
            try:
                for future in as_completed(under_way):
                    job, figures = under_way[future], future.result()
                    self.keep(job, figures)
                    yield job, figures, False
            finally:
                pool.shutdown(wait=False, cancel_futures=True)


def played(path: Path, seed: int) -> dict[str, Any]:
    """Run one scenario file with a seed."""
    scenario: Scenario = read(path)
    return Play(scenario, seed).run()


def day(seed: int, relays: int) -> dict[str, Any]:
    """Run one random fleet scenario."""
    return Play(draw(seed, relays), seed).run()


def days(first: int, count: int, relays: int, processes: int) -> Iterator[dict[str, Any]]:
    """Run random fleet scenarios in parallel; yield their figures in the order of seeds."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        yield from pool.map(day, range(first, first + count), [relays] * count)


@dataclass(frozen=True, slots=True)
class Summary:
    """Means over the runs of one scenario; `service_within` is half the confidence interval's width."""

    scenario: str
    runs: int
    service: float
    service_within: float
    p99_s: float
    calls: float
    refused: float
    broken: int


def summed_up(figures: Iterable[dict[str, Any]]) -> list[Summary]:
    """Summarize runs by scenario, with 95% confidence intervals by Student's t-distribution."""
    by: dict[str, list[dict[str, Any]]] = {}
    for it in figures:
        by.setdefault(it["scenario"], []).append(it)
    return [
        Summary(
            name,
            len(runs),
            statistics.fmean(it["service"] for it in runs),
            half_width([it["service"] for it in runs]),
            statistics.fmean(it["p99_s"] or 0.0 for it in runs),
            statistics.fmean(it["calls a message"] for it in runs),
            statistics.fmean(it["calls refused"] for it in runs),
            sum(bool(it["broken"]) for it in runs),
        )
        for name, runs in sorted(by.items())
    ]


def half_width(values: Sequence[float]) -> float:
    """Return half the width of the mean's confidence interval; infinite for a single value."""
    if len(values) < 2:
        return float("inf")
    spread = statistics.stdev(values) / math.sqrt(len(values))
    factor: float = stats.t.ppf((1 + CONFIDENCE) / 2, len(values) - 1)
    return float(factor) * float(spread)


def table(summaries: Iterable[Summary]) -> str:
    """Format the summaries as a Markdown table."""
    lines = [
        "| scenario | runs | service | ± | p99 s | calls a message | refused | runs that broke a rule |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {it.scenario} | {it.runs} | {it.service:.4f} | {it.service_within:.4f} | {it.p99_s:.2f} | "
        f"{it.calls:.3f} | {it.refused:.1f} | {it.broken} |"
        for it in summaries
    ]
    return "\n".join(lines)
