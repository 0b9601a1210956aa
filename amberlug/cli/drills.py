"""`amberlug drill`: runs real processes under random faults with a live view; a seed repeats the run."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from amberlug.standin.drill import Verdict, play
from amberlug.standin.fleet import Fleet


class View:
    """The live view: a table that is redrawn on each change."""

    def __init__(self, live: Live | None) -> None:
        self._live, self._recent_actions = live, list[str]()

    def __call__(self, fleet: Fleet, doing: str) -> None:
        """Show the current action and the state of the accepted messages."""
        self._recent_actions = [*self._recent_actions[-5:], doing]
        if self._live is None:
            return
        table = Table("relay", "process", "newest line of its log")
        for relay in fleet.relays:
            state = "runs" if relay.up else "is away"
            table.add_row(relay.name, state, relay.log[-1] if relay.log else "")
        promises = fleet.promises
        counts = f"{len(promises.promised)} promised, {len(promises.open)} open"
        table.caption = "; ".join([counts, *self._recent_actions])
        self._live.update(table)


def verdict_table(verdict: Verdict) -> Table:
    """Format the verdict as a table."""
    table = Table("what", "count", title="KEPT" if not verdict.broken else "BROKEN")
    for name in ("handed_in", "promised", "refused", "unanswered", "delivered", "late", "lost"):
        label = "relays lost with their disks" if name == "lost" else name.replace("_", " ")
        table.add_row(label, str(getattr(verdict, name)))
    table.add_row("promises broken", str(len(verdict.broken)))
    return table


def loss(relays: int, copies: int, seed: int, seconds: float, as_json: bool) -> int:
    """Run a drill that loses relays; returns 1 if a promise was broken, 2 if it cannot be run."""
    if relays < 2 * copies + 1:
        print(f"amberlug: {copies} copies need {2 * copies + 1} relays", file=sys.stderr)
        return 2
    console = Console(stderr=as_json)
    with tempfile.TemporaryDirectory() as folder:
        if as_json or not console.is_terminal:
            verdict = asyncio.run(play(Path(folder), seed, relays, copies, seconds, View(None)))
        else:
            with Live(console=console, refresh_per_second=4) as live:
                verdict = asyncio.run(play(Path(folder), seed, relays, copies, seconds, View(live)))
    if as_json:
        print(json.dumps(verdict.packed()))
    else:
        console.print(verdict_table(verdict))
    if not verdict.broken:
        return 0
    for line in verdict.broken[:20]:
        console.print(f"BROKEN {line}")
    console.print(
        f"again: amberlug drill loss --relays {relays} --copies {copies} --seed {seed} --seconds {seconds:g}"
    )
    return 1
