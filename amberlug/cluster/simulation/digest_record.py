"""The recorded digests: scenarios and explorations whose results must not change when code is renamed."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from typing import Any

from absl import logging

from amberlug.cluster.simulation.model_checker import INITIAL_STATES, MEMBERSHIP_STATES, explore
from amberlug.cluster.simulation.scenarios import Scenario

RECORDED_FAMILIES = {
    "": 6,
    "edges": 4,
    "roll": 4,
    "drain": 4,
    "closing": 4,
    "core": 4,
    "config": 4,
    "rate": 4,
    "freeze": 4,
    "quiet": 2,
    "answers": 4,
    "storage": 5,
    "control": 8,
    "losses": 2,
    "losses-core": 2,
    "losses-stores": 2,
    "losses-zone": 2,
    "losses-stores-zone": 2,
    "losses-stores-region": 2,
}
EXPLORED_DEPTH = 4  # steps from each initial state; the largest exploration takes seconds


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """The result of one recorded run."""

    seed: int
    aim: str
    digest: str
    crossings: int
    broken: int


def run_recorded_seed(day: tuple[int, str]) -> RecordedRun:
    """Run the scenario of a seed and a family, and compute its digest."""
    logging.set_verbosity(logging.FATAL)
    seed, aim = day
    played = Scenario(seed, aim)
    digest = played.deployment.digest
    digest.is_recording = True
    broken = played.play()
    return RecordedRun(seed, aim, digest.hexdigest(), digest.crossings, len(broken))


def run_recorded(jobs: int, every: int = 1) -> Iterator[RecordedRun]:
    """Run the recorded scenarios, or every n-th of them."""
    days = [(seed, aim) for aim, count in RECORDED_FAMILIES.items() for seed in range(1, count + 1)][::every]
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_recorded_seed, days)


def explore_one(name: str, depth: int) -> tuple[str, int, int, str]:
    """Explore one initial state; returns its name, the counts of states and steps, and the violation."""
    logging.set_verbosity(logging.FATAL)
    starts = INITIAL_STATES | {name: start for name, (start, _) in MEMBERSHIP_STATES.items()}
    explored = explore(starts[name], depth)
    return name, explored.states, explored.steps, explored.found


def explore_recorded(jobs: int) -> Iterator[tuple[str, int, int, str]]:
    """Explore every initial state to the recorded depth."""
    names = [*INITIAL_STATES, *MEMBERSHIP_STATES]
    depths = [
        min(EXPLORED_DEPTH, MEMBERSHIP_STATES[name][1]) if name in MEMBERSHIP_STATES else EXPLORED_DEPTH
        for name in names
    ]
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(explore_one, names, depths)


def measure(jobs: int, every: int = 1) -> dict[str, Any]:
    """Repeat the recorded scenarios and explorations; returns the results in the format of the record.

    With `every` above 1 only every n-th scenario is run, and nothing is explored.
    """
    return {
        "days": [asdict(day) for day in run_recorded(jobs, every)],
        "explored": [list(explored) for explored in explore_recorded(jobs)] if every == 1 else [],
    }


def write_record(path: Path, measured: dict[str, Any]) -> None:
    """Write the results to a file, one run a line."""
    parts = [
        f'"{name}": [\n' + ",\n".join(json.dumps(one) for one in ones) + "\n]"
        for name, ones in measured.items()
    ]
    path.write_text("{\n" + ",\n".join(parts) + "\n}\n")


def differences(recorded: dict[str, Any], measured: dict[str, Any]) -> list[str]:
    """List the results that differ from the record, one line each."""
    before = {(day["aim"], day["seed"]): day for day in recorded["days"]}
    found = []
    for day in measured["days"]:
        known = before.get((day["aim"], day["seed"]))
        if known != day:
            found.append(f"day: {known} -> {day}")
    for known, explored in zip(recorded["explored"], measured["explored"], strict=bool(measured["explored"])):
        if known != explored:
            found.append(f"explored: {known} -> {explored}")
    return found


def record_frames(days: list[tuple[int, str]]) -> dict[str, dict[str, str]]:
    """Find a sample frame of each kind that these scenarios send: body as JSON text, payload in hex.

    Prefers frames with few empty fields, then short ones.
    """
    found: dict[str, dict[str, str]] = {}

    def gaps(body: str) -> int:
        """Count the empty fields of a body."""
        # An empty list or map, or a flag that is not set, shows less of the format than one with content.
        return sum(body.count(gap) for gap in ("[]", "{}", ": false"))

    def keep(tag: str, body: str, blob: bytes) -> None:
        """Keep a frame if it is a better sample of its kind than the known one."""
        known = found.get(tag)
        rank = gaps(body), len(body) + 2 * len(blob)
        if known is None or rank < (gaps(known["body"]), len(known["body"]) + len(known["blob"])):
            found[tag] = {"body": body, "blob": blob.hex()}

    def look(deployment: Any) -> None:
        """Request the status and the dead messages of every control-plane node."""
        for core in deployment.cores:
            ask = partial(deployment.control, core, "GET")

            def read_bodies(status: int, page: Any, ask: Callable[..., None] = ask) -> None:
                """Request each dead message of a listed page."""
                for row in page["rows"] if status == 200 else []:
                    ask(f"/-/Foreman.Dead/{row['id']}", b"", 1.0, lambda status, body: None)

            ask("/-/Foreman.Status", b"", 1.0, lambda status, body: None)
            ask("/-/Foreman.Dead", b"", 1.0, read_bodies)

    for seed, aim in days:
        played = Scenario(seed, aim)
        played.deployment.digest.on_frame = keep
        played.deployment.digest.is_recording = True
        played.clock.call_later(14.0, partial(look, played.deployment))
        played.play()
    return dict(sorted(found.items()))
