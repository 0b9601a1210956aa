"""Scores of days by seed and build, as a table's file tells them: means, worst thirds, pairs, and a chart.

    .venv/bin/python -m benchmarks.fleet_scores docs/measurements/large-fleets.csv [--plot FILE.svg]

The file has a line for each play: day, seed, build, score. Builds are compared by the days that both played.
"""

from __future__ import annotations

import argparse
import csv
from itertools import pairwise
from pathlib import Path

import numpy as np

Scores = dict[tuple[str, int], float]


def read(path: Path) -> dict[str, Scores]:
    """The scores of each build, in the order in which the file names them."""
    builds: dict[str, Scores] = {}
    with path.open(newline="", encoding="utf-8") as file:
        for row in csv.DictReader(file):
            builds.setdefault(row["build"], {})[row["day"], int(row["seed"])] = float(row["score"])
    return builds


def summary(scores: Scores) -> str:
    """Mean, mean of the worst third, and means by kind of day."""
    every = np.sort(np.array(list(scores.values())))
    kinds = sorted({day for day, _ in scores})
    parts = [
        f"{kind} {np.mean([it for (day, _), it in scores.items() if day == kind]):.3f}" for kind in kinds
    ]
    worst = every[: max(1, len(every) // 3)]
    return f"{len(every):3} days  mean {every.mean():.3f}  worst third {worst.mean():.3f}  {'  '.join(parts)}"


def gain(old: Scores, new: Scores) -> str:
    """The mean difference over the days that both played, with two standard errors."""
    gains = np.array([new[day] - old[day] for day in old if day in new])
    if len(gains) < 2:
        return "too few pairs"
    error = 2 * gains.std(ddof=1) / np.sqrt(len(gains))
    lower = int((gains < -0.01).sum())
    return f"{gains.mean():+.3f} +- {error:.3f} over {len(gains)} pairs, {lower} of them lower"


def plot(builds: dict[str, Scores], path: Path) -> None:
    """Draw each day's scores, one mark a build."""
    from matplotlib import pyplot

    days = sorted({day for scores in builds.values() for day in scores})
    _, axes = pyplot.subplots(figsize=(10, 4))
    for (build, scores), mark in zip(builds.items(), "osD^v*", strict=False):
        played = [day for day in days if day in scores]
        axes.plot(
            [days.index(it) for it in played], [scores[it] for it in played], mark, label=build, alpha=0.8
        )
    axes.set_xticks(
        range(len(days)), [f"{kind.partition('+')[0]} {seed}" for kind, seed in days], rotation=90
    )
    axes.set_ylim(-0.05, 1.05)
    axes.set_ylabel("score of a day")
    axes.grid(axis="y", alpha=0.3)
    axes.legend()
    pyplot.tight_layout()
    pyplot.savefig(path, metadata={"Date": None})


def main() -> None:
    """Read the arguments, sum up."""
    it = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    it.add_argument("scores", type=Path)
    it.add_argument("--plot", type=Path)
    told = it.parse_args()
    builds = read(told.scores)
    for build, scores in builds.items():
        print(f"{build:28} {summary(scores)}")
    for (before, old), (after, new) in pairwise(builds.items()):
        print(f"{after} against {before}: {gain(old, new)}")
    if told.plot is not None:
        plot(builds, told.plot)


if __name__ == "__main__":
    main()
