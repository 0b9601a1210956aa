"""What learning over restarts is worth in the lab: the same plays with it and without, paired by seed."""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from typing import Any

from amberlug.cli.labs import LIBRARY
from amberlug.lab.play import Play
from amberlug.lab.runs import half_width
from amberlug.lab.scenario import read

FIGURES = ("service", "calls refused", "calls a message")


def play(job: tuple[str, int, int]) -> dict[str, Any]:
    """One play of a scenario, with or without memory."""
    name, seed, remembers = job
    scenario = read(LIBRARY / f"{name}.toml")
    return Play(replace(scenario, world=replace(scenario.world, remembers=remembers)), seed).run()


def main() -> None:
    """Print both sides' means, and the mean of the differences with its interval of 95%."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--scenario", default="kills-and-failures")
    options.add_argument("--seeds", type=int, default=12)
    told = options.parse_args()
    jobs = [(told.scenario, seed, side) for side in (0, 1) for seed in range(1, told.seeds + 1)]
    with ProcessPoolExecutor() as pool:
        runs = list(pool.map(play, jobs))
    without, with_it = runs[: told.seeds], runs[told.seeds :]
    print("| figure | without memory | with it | difference |\n| --- | ---: | ---: | ---: |")
    for name in FIGURES:
        differences = [it[name] - was[name] for was, it in zip(without, with_it, strict=True)]
        means = [statistics.fmean(it[name] for it in side) for side in (without, with_it)]
        print(
            f"| {name} | {means[0]:.4f} | {means[1]:.4f} | {statistics.fmean(differences):+.4f} "
            f"± {half_width(differences):.4f} |"
        )
    broken = [statistics.fmean(len(it["broken"]) for it in side) for side in (without, with_it)]
    print(f"| rules broken a play | {broken[0]:.1f} | {broken[1]:.1f} | |")


if __name__ == "__main__":
    main()
