"""`python -m amberlug.cluster.simulation`: run one scenario, or search many seeds for violations."""

from __future__ import annotations

import json
import sys
from collections import Counter
from pathlib import Path

import click
from absl import logging

from amberlug.cluster.simulation.digest_record import differences, measure, record_frames, write_record
from amberlug.cluster.simulation.model_checker import (
    INITIAL_STATES,
    MEMBERSHIP_STATES,
    explore,
    same_identity,
    stranger,
)
from amberlug.cluster.simulation.mutations import MUTANTS, mutated
from amberlug.cluster.simulation.scenarios import Scenario
from amberlug.cluster.simulation.seed_search import hunt

FAMILY = click.option("--aim", default="", help="Scenario family: the kind of faults that are injected.")
FRAME_FAMILIES = ("", "control", "storage", "losses-stores", "answers", "core")
RECORD = "tests/data/simulation_digests.json"
MUTANT = click.option(
    "--mutant", default="", type=click.Choice(["", *MUTANTS]), help="Mutation applied to the program."
)


@click.group()
def main() -> None:
    """Simulate whole deployments in virtual time."""


@main.command("play")
@click.argument("seed", type=int)
@FAMILY
@MUTANT
@click.option("--trace", is_flag=True, help="Print the trace of the run.")
@click.option("--log", is_flag=True, help="Print the log output of the simulated processes.")
def play_command(seed: int, aim: str, mutant: str, trace: bool, log: bool) -> None:
    """Run the scenario of one seed."""
    logging.set_verbosity(logging.INFO if log else logging.FATAL)
    with mutated(mutant):
        day = Scenario(seed, aim)
        broken = day.play()
    if trace:
        print("\n".join(day.history.lines))
    print(f"{day.size}: {len(day.history.sent)} messages sent, {len(day.history.runs)} arrivals")
    print("\n".join(map(str, broken)) or "no invariant is violated")
    sys.exit(bool(broken))


@main.command("hunt")
@click.option("--first", default=1, help="First seed.")
@click.option("--days", default=100, help="Number of seeds.")
@FAMILY
@MUTANT
@click.option("--jobs", default=6, help="Number of worker processes.")
def hunt_command(first: int, days: int, aim: str, mutant: str, jobs: int) -> None:
    """Run many seeds, and report those that violate an invariant."""
    bad = 0
    for seed, broken in hunt(range(first, first + days), aim, mutant, jobs):
        if broken:
            bad += 1
            rules = ", ".join(
                f"{rule} {count}" for rule, count in Counter(it.invariant for it in broken).items()
            )
            print(f"{seed}: {rules}: {broken[0]}", flush=True)
    print(f"{bad} of {days} days violate an invariant")
    sys.exit(bool(bad))


@main.command("explore")
@click.option("--depth", default=7, help="Maximum number of steps from each initial state.")
@click.option("--only", default="", help="Explore from this initial state only.")
@MUTANT
def explore_command(depth: int, only: str, mutant: str) -> None:
    """Explore all interleavings of the Raft group to a bounded depth."""
    logging.set_verbosity(logging.FATAL)
    bad = 0
    blank = same_identity if mutant == "old-vote" else stranger
    starts = INITIAL_STATES | {name: start for name, (start, _) in MEMBERSHIP_STATES.items()}
    for name, start in starts.items():
        if only not in ("", name):
            continue
        with mutated(mutant):
            it = explore(start, depth, blank)
        bad += bool(it.found)
        print(f"{name}, {depth} deep: {it.states} states, {it.steps} steps: {it.found or 'all holds'}")
        for step in it.path:
            print(f"  {step}")
    sys.exit(bool(bad))


@main.command("digest")
@click.option("--file", "path", default=RECORD, type=click.Path(path_type=Path), help="Recorded digests.")
@click.option("--record", is_flag=True, help="Write the file instead of comparing with it.")
@click.option("--jobs", default=6, help="Number of worker processes.")
@click.option("--every", default=1, help="Run only every n-th scenario; above 1, skip the explorations.")
def digest_command(path: Path, record: bool, jobs: int, every: int) -> None:
    """Repeat the recorded scenarios and explorations, and report each digest that changed."""
    measured = measure(jobs, every)
    if record:
        write_record(path, measured)
        moved = []
    else:
        moved = differences(json.loads(path.read_text()), measured)
    print("\n".join(moved))
    print(f"{len(measured['days'])} days, {len(measured['explored'])} explorations, {len(moved)} moved")
    sys.exit(bool(moved))


@main.command("frames")
@click.argument("path", type=click.Path(path_type=Path))
def frames_command(path: Path) -> None:
    """Write one sample frame of each kind that a set of scenarios sends."""
    logging.set_verbosity(logging.FATAL)
    days = [(seed, aim) for aim in FRAME_FAMILIES for seed in range(1, 7)]
    path.write_text(json.dumps(record_frames(days), indent=1) + "\n")


if __name__ == "__main__":
    main()
