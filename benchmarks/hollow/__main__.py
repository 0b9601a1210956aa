"""How each role's load grows with the deployment, measured with hollow machines in one process.

    .venv/bin/python -m benchmarks.hollow [--only standing,config,...] [--most 3000] [--csv FILE]

Each bench plays three sizes or more and prints what it measured, and for each figure how it grows: the power
that fits all sizes (1 is linear), and the price of one more at the two largest. Bytes are of frames as the
transport packs them, times are processor seconds of decisions, packing and reading. See `docs/CAPACITY.md`.
"""

from __future__ import annotations

import argparse
import csv
import os
import platform
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from absl import logging

from benchmarks.hollow import plays, steps
from benchmarks.hollow.deployment import CORES, STORES, ZONES
from benchmarks.hollow.figures import Figure, table

BENCHES: dict[str, Callable[[int], Iterator[Figure]]] = {
    "standing": plays.standing,
    "sixteen": plays.sixteen,
    "config": plays.configs,
    "endpoints": plays.endpoints,
    "together": plays.together,
    "drains": plays.drains,
    "joins": plays.joins,
    "messages": plays.messages,
    "apart": plays.apart,
    "failovers": plays.failovers,
    "restarts": plays.restarts,
    "owner": steps.owner,
    "fence": steps.fence,
    "parts": steps.parts,
    "stores": steps.stores,
    "log": steps.log,
}


def run(job: tuple[str, int]) -> tuple[list[Figure], float]:
    """The figures of one bench, and its real seconds."""
    logging.set_verbosity(logging.FATAL)
    name, most = job
    began = time.perf_counter()
    return list(BENCHES[name](most)), time.perf_counter() - began


def main() -> None:
    """Run the benches, print their table, and keep their figures."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--only", default=",".join(BENCHES))
    options.add_argument("--most", type=int, default=3000, help="edges at the most")
    options.add_argument("--jobs", type=int, default=2, help="benches beside each other")
    options.add_argument("--csv", type=Path)
    told = options.parse_args()
    names = told.only.split(",")
    figures: list[Figure] = []
    with ProcessPoolExecutor(told.jobs) as pool:
        for name, (found, seconds) in zip(
            names, pool.map(run, [(it, told.most) for it in names]), strict=True
        ):
            print(f"{name}: {seconds:.0f} s", file=sys.stderr)
            figures += found
    print(
        f"Hollow machines, seed 1, {ZONES} zones, {CORES} control machines, {STORES} stores; "
        f"figures of {plays.SPAN_S:g} virtual s after {plays.SETTLE_S:g} s; "
        f"Python {platform.python_version()}, {os.cpu_count()} cores.\n"
    )
    print("\n".join(table(figures)))
    if told.csv is not None:
        with told.csv.open("w", newline="") as file:
            rows = csv.writer(file, lineterminator="\n")
            rows.writerow(("bench", "of", "x", "role", "figure", "value"))
            rows.writerows(
                (it.bench, it.of, f"{it.x:g}", it.role, it.name, f"{it.value:.6g}") for it in figures
            )


if __name__ == "__main__":
    main()
