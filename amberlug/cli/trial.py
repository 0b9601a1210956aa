"""`amberlug try`: runs the real relay against simulated partners on loopback, without a configuration."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any, TextIO

from amberlug.standin.checker import MessageRecord
from amberlug.standin.deployment import CLASSES, DEADLINE, Deployment
from amberlug.standin.partners import DRAINING, DROPPING, LIMITED, SLOW, STEADY

PARTNERS = {
    1: [STEADY, STEADY],
    2: [SLOW, SLOW],
    3: [LIMITED],
    4: [DROPPING, DROPPING],
    5: [DRAINING, DRAINING],
}
MESSAGES = 300
SECONDS = 5.0  # period over which they are submitted
REFRESH_S = 0.2  # time between updates of the progress line
SETTLE_S = 0.4  # time waited after the last deadline, so that late outcomes are counted as late


async def play(messages: int, seconds: float, screen: TextIO | None) -> dict[str, Any]:
    """Run the trial and return its figures."""
    rng = random.Random(7)
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder), PARTNERS) as deployment:
            progress = asyncio.ensure_future(_show_progress(deployment, messages, screen))
            started = deployment.clock()
            sent: set[asyncio.Task[None]] = set()
            for number in range(messages):
                await asyncio.sleep(started + number * seconds / messages - deployment.clock())
                if number == messages // 2:
                    await deployment.replace(
                        next(it for it in deployment.partners if it.behavior is DRAINING)
                    )
                kind, destination = rng.choice(list(CLASSES)), rng.choice(list(PARTNERS))
                body = f"message {number}".encode()
                sent.add(asyncio.ensure_future(deployment.hand_in(f"m{number:05d}", kind, destination, body)))
            await asyncio.gather(*sent)
            until = deployment.clock() + DEADLINE + SETTLE_S
            while deployment.unended and deployment.clock() < until:
                await asyncio.sleep(REFRESH_S / 4)
            code = await deployment.stop_relay()
            progress.cancel()
            return _figures(deployment, code)


async def _show_progress(deployment: Deployment, messages: int, screen: TextIO | None) -> None:
    """Show the progress on one line."""
    while screen is not None:
        tally = deployment.tally
        line = f"{tally.handed_in:4d} of {messages} handed in, {tally.taken:4d} taken on"
        screen.write(f"\r{line}, {tally.refused} refused, {deployment.unended:3d} under way ")
        screen.flush()
        await asyncio.sleep(REFRESH_S)


def _figures(deployment: Deployment, code: int) -> dict[str, Any]:
    broken = deployment.checker.finish(deployment.clock() + DEADLINE + 1.0)
    if code != 0:
        broken.append(f"the relay ended with code {code}")
    partners: dict[int, dict[str, Any]] = {}
    for partner in deployment.partners:
        row = partners.setdefault(
            partner.destination, {"partner": partner.behavior.name, "calls": 0, "waits": 0}
        )
        row["calls"] += partner.calls
        row["waits"] += partner.waits
    for destination, row in partners.items():
        row |= _ends([it for it in deployment.checker.records.values() if it.destination == destination])
    return {
        **asdict(deployment.tally),
        "partners": [{"destination": number, **row} for number, row in sorted(partners.items())],
        "broken": broken,
    }


def _ends(records: list[MessageRecord]) -> dict[str, int | None]:
    taken = [it for it in records if it.taken is not None]
    times = sorted(it.delivered - it.handed_in for it in taken if it.delivered is not None)
    told = [it.ends[0][1] for it in taken if it.ends and it.delivered is None]
    return {
        "messages": len(records),
        "delivered": len(times),
        "handed_back": told.count("handed_back"),
        "given_up": told.count("given_up"),
        "median_ms": round(times[len(times) // 2] * 1000) if times else None,
    }


COLUMNS = ("partner", "messages", "calls", "delivered", "handed_back", "given_up", "waits", "median_ms")


def table(figures: dict[str, Any]) -> str:
    """Format the figures as a table."""
    rows = [[name.replace("_", " ") for name in COLUMNS]]
    for row in figures["partners"]:
        rows.append(["-" if row[name] is None else str(row[name]) for name in COLUMNS])
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    said = "{handed_in} handed in, {taken} taken on, {refused} refused, {unanswered} unanswered"
    lines.append(said.format(**figures))
    lines += [f"BROKEN {line}" for line in figures["broken"]] or ["every rule was kept"]
    return "\n".join(lines)


def main(as_json: bool, messages: int = MESSAGES, seconds: float = SECONDS) -> int:
    """Run the trial and print its figures; returns 1 if a rule was broken."""
    screen = sys.stderr if not as_json and sys.stderr.isatty() else None
    figures = asyncio.run(play(messages, seconds, screen))
    if screen is not None:
        screen.write("\n")
    print(json.dumps(figures) if as_json else table(figures))
    return 1 if figures["broken"] else 0
