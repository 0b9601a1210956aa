"""Fault injection drill: a fleet of processes under load, with faults drawn from a seed.

The same seed gives the same faults at the same times. At most `copies` machines are lost with their disks
at a time; the next loss follows once the restarted ones hold the new data. Reports whether accepted messages
kept the relay's guarantees.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from amberlug.standin.fleet import DEADLINE, Fleet, Relay

PER_SECOND = 60.0
RECOVER = 3.0  # seconds from a relay's restart until it holds the new data: `replace_s` plus a margin
LATE = 3.0  # seconds past the deadline for the outcome of a lost relay's message: failure detection, takeover
MILD_FAULTS = "cut", "one way", "pause", "reset", "flip", "delay", "restart", "close"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that strikes some relays `at` seconds after the start, for `lasts` seconds."""

    at: float
    what: str
    relays: tuple[int, ...]
    lasts: float


@dataclass(slots=True)
class Verdict:
    """The result of a drill."""

    seed: int
    relays: int
    copies: int
    faults: list[Fault]
    handed_in: int = 0
    promised: int = 0
    refused: int = 0
    unanswered: int = 0
    delivered: int = 0
    late: int = 0
    lost: int = 0  # relays lost with their disks
    broken: list[str] = field(default_factory=list)

    def packed(self) -> dict[str, Any]:
        """Return it as a dict for JSON."""
        return asdict(self)


def draw(seed: int, relays: int, copies: int, seconds: float) -> list[Fault]:
    """Draw the faults of a drill: at least one loss if `copies` allows it, with milder faults between."""
    rng = random.Random(f"{seed} {relays} {copies}")
    faults: list[Fault] = []
    at = rng.uniform(0.8, 1.5)
    while at < seconds - 1:
        if copies and (not faults or rng.random() < 0.5):
            affected = tuple(rng.sample(range(relays), rng.randint(1, copies)))
            lasts = rng.uniform(0.5, 2.0)
            faults.append(Fault(at, "lose", affected, lasts))
            beside = [it for it in range(relays) if it not in affected]
            if rng.random() < 0.4:
                faults.append(Fault(at + 0.05, "reset", (rng.choice(beside),), 0.0))
            at += lasts + RECOVER + rng.uniform(0.5, 1.5)
        else:
            lasts = rng.uniform(0.3, 2.5)
            faults.append(Fault(at, rng.choice(MILD_FAULTS), (rng.randrange(relays),), lasts))
            at += lasts + rng.uniform(0.5, 2.0)
    return faults


async def play(
    folder: Path,
    seed: int,
    relays: int,
    copies: int,
    seconds: float,
    on_progress: Callable[[Fleet, str], None] = lambda fleet, doing: None,
) -> Verdict:
    """Run a drill until every accepted message is past its deadline; `on_progress` reports progress."""
    verdict = Verdict(seed, relays, copies, draw(seed, relays, copies, seconds))
    async with Fleet(folder, relays, seed, copies=copies) as rig:
        on_progress(rig, "under load")
        load = asyncio.ensure_future(rig.load(PER_SECOND, seconds))
        injections = [asyncio.ensure_future(_inject(rig, it, on_progress, verdict)) for it in verdict.faults]
        await asyncio.gather(load, *injections)
        rig.heal()
        on_progress(rig, "waiting for outcomes")
        verdict.broken = await rig.ended(DEADLINE + LATE)
        records = rig.promises.records.values()
        verdict.handed_in, verdict.promised = len(records), len(rig.promises.promised)
        verdict.refused = sum(it.refused > 0 and not it.taken for it in records)
        verdict.unanswered = sum(not it.refused and not it.taken for it in records)
        verdict.delivered = sum(it.delivered for it in rig.promises.promised)
        verdict.late = len(rig.promises.late(LATE))
    return verdict


async def _inject(
    rig: Fleet, fault: Fault, on_progress: Callable[[Fleet, str], None], verdict: Verdict
) -> None:
    await asyncio.sleep(fault.at)
    affected = [rig.relays[it] for it in fault.relays]
    names = ", ".join(it.name for it in affected)
    on_progress(rig, f"{fault.what}: {names}")
    for relay in affected:
        await _begin(rig, fault.what, relay, verdict)
    await asyncio.sleep(fault.lasts)
    for relay in affected:
        await _end(rig, fault.what, relay)
    on_progress(rig, f"over: {fault.what} of {names}")


async def _begin(rig: Fleet, what: str, relay: Relay, verdict: Verdict) -> None:
    others = [it for it in rig.relays if it is not relay]
    match what:
        case "lose":
            verdict.lost += 1
            await relay.kill(empty=True)
        case "restart":
            await relay.kill()
        case "close":
            await relay.close()
        case "cut":
            rig.sever([relay], others)
        case "one way":
            rig.sever([relay], others, both=False)
        case "pause":
            relay.pause()
        case _:
            for proxy in rig.between([relay], others):
                if what == "reset":
                    proxy.reset()
                elif what == "flip":
                    proxy.flips = 1
                else:
                    proxy.delay, proxy.spread = 0.05, 0.1


async def _end(rig: Fleet, what: str, relay: Relay) -> None:
    if what in ("lose", "restart", "close"):
        await relay.start()
    elif what == "pause":
        relay.resume()
    elif what in ("cut", "one way", "delay"):
        for proxy in rig.between([relay], [it for it in rig.relays if it is not relay]):
            proxy.heal()
