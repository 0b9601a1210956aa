"""`amberlug lab run` and `days`: simulate scenarios in virtual time and summarize the results."""

from __future__ import annotations

import os
import sqlite3
import sys
from collections.abc import Sequence
from pathlib import Path

import amberlug
from amberlug.lab.runs import Runs, build_of, days, jobs_of, summed_up, table
from amberlug.lab.scenario import BadScenarioError

ROOT = Path(amberlug.__file__).parents[1]
LIBRARY = Path(amberlug.__file__).parent / "lab" / "scenarios"


def main(names: Sequence[str], seeds: int, processes: int | None, store: Path) -> int:
    """Run scenarios; returns 0, 1 if a rule was broken, 2 if a scenario is invalid or the store unusable."""
    paths = [found(name) for name in names] or sorted(LIBRARY.glob("*.toml"))
    try:
        jobs = jobs_of(paths, seeds)
        runs = Runs(store, build_of(ROOT))
    except BadScenarioError as error:
        for problem in error.problems:
            print(f"amberlug: {problem}", file=sys.stderr)
        return 2
    except (OSError, sqlite3.Error) as error:
        print(f"amberlug: {error}", file=sys.stderr)
        return 2
    screen, figures, broken = sys.stderr if sys.stderr.isatty() else None, [], []
    try:
        for count, (job, it, known) in enumerate(runs.play(jobs, processes or os.cpu_count() or 1), 1):
            figures.append(it)
            broken += [f"{job.path.stem}, seed {job.seed}: {line}" for line in it["broken"]]
            if screen is not None:
                how = "known" if known else "played"
                screen.write(f"\r{count} of {len(jobs)}: {job.path.stem} seed {job.seed} {how}   ")
                screen.flush()
    except KeyboardInterrupt:
        print("\nstopped; completed runs are kept", file=sys.stderr)
    finally:
        runs.close()
    if screen is not None:
        screen.write("\n")
    print(table(summed_up(figures)))
    for line in broken:
        print(f"BROKEN {line}")
    return 1 if broken else 0


def fleet(first: int, count: int, relays: int, processes: int | None) -> int:
    """Simulate random days of a whole fleet; returns 0, or 1 if a rule was broken."""
    broken = served = 0.0
    for it in days(first, count, relays, processes or os.cpu_count() or 1):
        print(f"{it['scenario']}: {it['messages']} messages, service {it['service']:.3f}")
        for line in it["broken"]:
            print(f"BROKEN {it['scenario']}: {line}")
        broken, served = broken + bool(it["broken"]), served + it["service"]
    print(f"{count} days of {relays} relays: service {served / count:.3f}, a rule broken on {broken:.0f}")
    return 1 if broken else 0


def found(name: str) -> Path:
    """The file of a scenario: a built-in one by its name, or any other by its path."""
    path = LIBRARY / f"{name}.toml"
    return path if path.is_file() else Path(name)
