"""`amberlug learning`: shows, compares and deletes what a relay has learned about its partners."""

from __future__ import annotations

import argparse
import errno
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from amberlug.core.clock import SECOND, boot_of
from amberlug.core.journal import FolderDisk
from amberlug.core.lock import FolderLock
from amberlug.core.ports import Handle
from amberlug.learning import codec, decay, read_key
from amberlug.learning.codec import DestinationRecord
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store
from amberlug.policy.account import UNLIMITED
from amberlug.policy.state import NEVER

MAX_BYTES = 1 << 30  # size limit in bytes, above that of any installation


class SystemClock:
    """The machine's clocks, without timers."""

    def __init__(self) -> None:
        self.boot = boot_of(self.now_us())

    def now_us(self) -> int:
        """Return the monotonic time in microseconds."""
        return time.monotonic_ns() // 1000

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Handle:
        """Raise `NotImplementedError`: timers are not supported."""
        raise NotImplementedError


class ReadOnlyDisk(FolderDisk):
    """A folder that is opened read-only, so that it may be in use."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, writable=False)

    def create(self, name: str) -> None:
        """Raise `OSError`: files can't be created in a read-only folder."""
        raise OSError(errno.EROFS, "the folder is opened read-only")

    def append(self, name: str, data: bytes) -> int:
        """Raise `OSError`: files in a read-only folder can't be written."""
        raise OSError(errno.EROFS, "the folder is opened read-only")

    def truncate(self, name: str, size: int) -> None:
        """Raise `OSError`: files in a read-only folder can't be truncated."""
        raise OSError(errno.EROFS, "the folder is opened read-only")

    def remove(self, name: str) -> None:
        """Raise `OSError`: files in a read-only folder can't be deleted."""
        raise OSError(errno.EROFS, "the folder is opened read-only")


def main(options: argparse.Namespace) -> int:
    """Run a command; returns 0, 1 if a fact is rejected or differs, or 2 if the command cannot be run."""
    folders = [options.folder, *([options.other] if options.action == "diff" else [])]
    for folder in folders:
        if not folder.is_dir():
            print(f"amberlug: {folder} is not a folder", file=sys.stderr)
            return 2
    try:
        key = b"" if options.key is None else read_key(options.key)
        if options.action == "forget":
            return forget(options.folder, options.destination, options.endpoint, key, options.json)
        learners = [_opened(ReadOnlyDisk(folder), key) for folder in folders]
    except (OSError, ValueError) as error:
        print(f"amberlug: {error}", file=sys.stderr)
        return 2
    refused = [line for learner in learners for line in learner.rejected]
    if options.action == "diff":
        found: dict[str, Any] = {"differs": differences(*(summarize(it) for it in learners))}
    elif options.action == "show":
        found = summarize(learners[0], options.destination, options.endpoint)
    else:
        found = {}
    if options.json:
        print(json.dumps({**found, "refused": refused}))
    else:
        show(found, refused)
    return 1 if refused or found.get("differs") else 0


def _opened(disk: FolderDisk, key: bytes) -> Learner:
    now = SystemClock()
    return Learner(Store(disk, MAX_BYTES, now.now_us, key), now)


def forget(folder: Path, destination: int, endpoint: str | None, key: bytes, as_json: bool) -> int:
    """Delete learned facts; raises `FolderInUseError`, an `OSError`, while a relay has the folder open."""
    lock = FolderLock(folder, lambda: True)
    try:
        learner = _opened(FolderDisk(folder), key)
        done = learner.forget(destination, endpoint)
        learner.close()
    finally:
        lock.release()
    what = f"destination {destination}" if endpoint is None else f"endpoint {endpoint}"
    print(json.dumps({"forgotten": done}) if as_json else f"{what}: {'forgotten' if done else 'not known'}")
    return 0 if done else 1


def summarize(
    learner: Learner, destination: int | None = None, endpoint: str | None = None
) -> dict[str, Any]:
    """The accepted facts as plain values; times are in seconds, and times of events are ages."""
    now_us = SystemClock().now_us()
    partners = []
    for kept, waits in learner.destinations():
        names = {it.entry.endpoint for it in kept.known.endpoints}
        if destination in (None, kept.known.destination) and (endpoint is None or endpoint in names):
            partners.append(_partner(kept, waits, endpoint, now_us))
    usual = [
        {
            "of": sort,
            "name": name,
            "answer_s": round(it.response_us / SECOND, 3),
            "failure_rate": round(it.failure_rate, 3),
            "per_second": round(it.rate, 3),
            "weight": round(decay.weight(now_us - it.updated_us, decay.BASELINE_HALF_LIFE_US), 3),
        }
        for sort, name, it in learner.baselines()
    ]
    return {"destinations": partners, "usual": usual if destination is None and endpoint is None else []}


def _partner(
    kept: DestinationRecord, waits: list[tuple[str, int]], only: str | None, now_us: int
) -> dict[str, Any]:
    gap_us = max(0, now_us - kept.updated_us)
    routes = []
    for told in kept.known.routes:
        it = decay.decayed_route(told, now_us, gap_us, 0.0)
        routes.append(
            {
                "route": it.route,
                "answer_s": round(it.usual_us / SECOND, 3),
                "limit": None if it.learned == UNLIMITED else round(it.learned, 3),
                "weights": {
                    "answer_s": round(decay.weight(gap_us, decay.RESPONSE_TIME_HALF_LIFE_US), 3),
                    "limit": round(decay.weight(gap_us, decay.LIMIT_DOUBLING_TIME_US), 3),
                },
            }
        )
    endpoints = []
    for known in kept.known.endpoints:
        if only in (None, known.entry.endpoint):
            now = decay.decayed_endpoint(known, now_us, gap_us, 0.0)
            endpoints.append(
                {
                    "endpoint": known.entry.endpoint,
                    "kind": known.entry.kind,
                    "zone": known.entry.zone,
                    "state": _state(now.cold, now.recovered_us),
                    "failure_rate": round(now.failure_rate, 3),
                    "learned_failure_rate": round(known.failure_rate, 3),
                    "since_s": _age(known.outage_since_us, now_us),
                    "failed_s": _age(known.last_failure_us, now_us),
                    "delivered_s": _age(known.last_success_us, now_us),
                    "weight": round(decay.weight(gap_us, decay.FAILURE_RATE_HALF_LIFE_US), 3),
                    "resets_by_idle_ms": {
                        f"< {1 << at}": f"{resets:.1f} of {used:.1f}"
                        for at, (used, resets) in sorted(
                            kept.reuse_counts.get(known.entry.endpoint, {}).items()
                        )
                    },
                }
            )
    week = SystemClock().wall_ms() // 3_600_000 // codec.WEEK_HOURS
    hours = {hour: round(decay.hour_weight(was, week), 2) for hour, was in sorted(kept.active_hours.items())}
    return {
        "destination": kept.known.destination,
        "learned_s": round(gap_us / SECOND, 1),
        "waits": [{"route": route, "left_s": round(left_us / SECOND, 3)} for route, left_us in waits],
        "answers_s": {
            f"p{part}": round(codec.quantile(kept.response_times, part / 100) / SECOND, 3)
            for part in (50, 95, 99)
        },
        "routes": routes,
        "endpoints": endpoints,
        "awake_in_hours_of_week": hours,
    }


def _state(is_cold: bool, recovered_us: int | None) -> str:
    return "well" if not is_cold else "in an outage" if recovered_us is None else "back and cold"


def _age(at_us: int, now_us: int) -> float | None:
    return None if at_us == NEVER else round((now_us - at_us) / SECOND, 1)


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """The facts that differ between two folders, except ages, which depend on when each was written."""
    sides = [_flat(it) for it in (one, other)]
    return [
        f"{name}: {sides[0].get(name, 'unknown')} | {sides[1].get(name, 'unknown')}"
        for name in sorted({*sides[0], *sides[1]})
        if sides[0].get(name) != sides[1].get(name)
    ]


def _flat(found: dict[str, Any]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for partner in found["destinations"]:
        number = partner["destination"]
        for route in partner["routes"]:
            flat[f"destination {number} {route['route']} limit"] = route["limit"]
            flat[f"destination {number} {route['route']} answer_s"] = route["answer_s"]
        for it in partner["endpoints"]:
            flat[f"endpoint {it['endpoint']} state"] = it["state"]
            flat[f"endpoint {it['endpoint']} failure_rate"] = it["learned_failure_rate"]
    return flat


def show(found: dict[str, Any], refused: list[str]) -> None:
    """Print facts, differences and rejected records as text."""
    for it in found.get("destinations", ()):
        answers = ", ".join(f"{name} {value} s" for name, value in it["answers_s"].items() if value)
        print(f"destination {it['destination']}: learned {it['learned_s']} s ago; {answers or 'no answers'}")
        for wait in it["waits"]:
            print(f"  {wait['route'] or 'all'}: told to wait {wait['left_s']} s more")
        for route in it["routes"]:
            limit = "no limit" if route["limit"] is None else f"limit {route['limit']}"
            weights = route["weights"]
            print(
                f"  {route['route'] or 'all'}: {limit} (weighs {weights['limit']}), "
                f"answers in {route['answer_s']} s (weighs {weights['answer_s']})"
            )
        for one in it["endpoints"]:
            ages = ", ".join(
                f"{what} {one[name]} s ago"
                for what, name in (("since", "since_s"), ("failed", "failed_s"), ("delivered", "delivered_s"))
                if one[name] is not None
            )
            print(
                f"  {one['endpoint']} ({one['kind']}, {one['zone']}): {one['state']}, failure rate "
                f"{one['failure_rate']} (learned {one['learned_failure_rate']}, weighs {one['weight']}); "
                f"{ages or 'never called'}"
            )
            if resets := ", ".join(f"{ms}: {count}" for ms, count in one["resets_by_idle_ms"].items()):
                print(f"    resets on connections that idled (ms): {resets}")
    for it in found.get("usual", ()):
        told = f"answers in {it['answer_s']} s, failure rate {it['failure_rate']}"
        told = told if it["of"] == "kind" else f"{it['per_second']} messages a second"
        print(f"{it['of']} {it['name']}: usually {told} (weighs {it['weight']})")
    for line in found.get("differs", ()):
        print(line)
    for line in refused:
        print(f"REFUSED {line}")
    if not refused:
        print("all is believed")
