"""Forty senders at one partner, in the model of amberlug/lab/fleet.py: this release beside others, by seed.

    .venv/bin/python -m benchmarks.fleet_model [--before FOLDER ...] [--seeds 4] [--jobs 4]

A figure is the part of the worth that was earned, less 0.05 for each call that the limit refused by message
offered. `--before` names a checkout whose decision module is played in the same scenarios and seeds.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from dataclasses import replace
from multiprocessing import Pool
from pathlib import Path

import numpy as np

from amberlug.lab.fleet import SharedDestination, play

ROOT = Path(__file__).parents[1]
SMALL = SharedDestination(rate=30.0, load=0.75, burst_share=0.15, table=20)
LARGE = SharedDestination(rate=72.0, load=1.4, burst_share=0.12, bundle=5, tells_wait=0.7, wait_s=0.45)
SCENARIOS = {
    "small 13, over": replace(SMALL, rate=13.0, load=1.25),
    "small 13, quiet": replace(SMALL, rate=13.0, load=0.5),
    "small 18": replace(SMALL, rate=18.0, load=0.8),
    "small 30, full": replace(SMALL, load=1.0),
    "small 34, over": replace(SMALL, rate=34.0, load=1.15),
    "small 45": replace(SMALL, rate=45.0, load=0.85, table=30),
    "small 73, short table": replace(SMALL, rate=73.0, table=14),
    "large 26": replace(LARGE, rate=26.0, load=1.2),
    "large 72": replace(LARGE, load=1.5),
    "small 30, cut to half": replace(SMALL, cut=(6.0, 9.0, 0.5)),
    "large 72, cut to half": replace(LARGE, cut=(6.0, 9.0, 0.5)),
    "small 30, cut, refused are free": replace(SMALL, load=0.9, cut=(6.0, 9.0, 0.5), refused_count=False),
    "small 30, shut 5 s": replace(SMALL, down=(6.0, 5.0)),
    "large 26, shut 11 s": replace(LARGE, rate=26.0, load=1.0, down=(3.0, 11.0)),
    "small 45, 28 restart": replace(SMALL, rate=45.0, load=0.8, table=30, restarted=(8.0, 28)),
}


def figure(task: tuple[str, int]) -> float:
    """Play one scenario with one seed."""
    tally = play(SCENARIOS[task[0]], task[1])
    return tally.share - 0.05 * tally.refused / max(1, tally.offered)


def figures(seeds: int, jobs: int) -> list[float]:
    """Play all, scenario by scenario."""
    tasks = [(name, seed) for name in SCENARIOS for seed in range(seeds)]
    with Pool(jobs) as pool:
        return pool.map(figure, tasks, chunksize=1)


def elsewhere(folder: Path, seeds: int, jobs: int) -> list[float]:
    """Play all with another checkout's decision module, in a process of its own."""
    code = (
        "import sys; sys.path.insert(0, sys.argv[1])\n"
        "import json; from benchmarks.fleet_model import figures\n"
        "print(json.dumps(figures(int(sys.argv[2]), int(sys.argv[3]))))"
    )
    with tempfile.TemporaryDirectory() as place:
        (Path(place) / "amberlug.policy").symlink_to((folder / "amberlug.policy").resolve())
        words = [sys.executable, "-c", code, place, str(seeds), str(jobs)]
        out = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return [float(it) for it in json.loads(out)]


def main() -> None:
    """Read the arguments, play, print."""
    it = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    it.add_argument("--before", type=Path, action="append", default=[])
    it.add_argument("--seeds", type=int, default=4)
    it.add_argument("--jobs", type=int, default=4)
    told = it.parse_args()
    rows = [np.array(elsewhere(folder, told.seeds, told.jobs)) for folder in told.before]
    rows.append(np.array(figures(told.seeds, told.jobs)))
    print(f"{'':34}" + "".join(f"{name:>12}" for name in [*(it.name for it in told.before), "this"]))
    for number, name in enumerate(SCENARIOS):
        part = slice(number * told.seeds, (number + 1) * told.seeds)
        print(f"{name:34}" + "".join(f"{row[part].mean():12.3f}" for row in rows))
    print(f"{'mean':34}" + "".join(f"{row.mean():12.3f}" for row in rows))
    for folder, row in zip(told.before, rows, strict=False):
        gains = rows[-1] - row
        error = 2 * gains.std(ddof=1) / np.sqrt(len(gains))
        print(f"this against {folder.name}: {gains.mean():+.3f} +- {error:.3f} over {len(gains)} pairs")


if __name__ == "__main__":
    main()
