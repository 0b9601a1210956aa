"""Searches many seeds, in several processes, for violations of invariants."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from absl import logging

from amberlug.cluster.simulation.history import Violation
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.scenarios import play

SeedResult = tuple[int, list[Violation]]


def run_seed(seed: int, aim: str = "", mutant: str = "") -> SeedResult:
    """Run one seed, optionally with a mutation of the program."""
    logging.set_verbosity(logging.FATAL)
    with mutated(mutant):
        return seed, play(seed, aim)


def hunt(seeds: range, aim: str = "", mutant: str = "", jobs: int = 6) -> Iterator[SeedResult]:
    """Run these seeds; yields each with its violations, in the order of the seeds."""
    if jobs == 1:
        yield from (run_seed(seed, aim, mutant) for seed in seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(partial(run_seed, aim=aim, mutant=mutant), seeds, chunksize=2)
