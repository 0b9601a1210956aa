"""Many drawn drills with real processes: what was promised, lost and run twice, over all of them.

python -m benchmarks.drills --first 1 --count 100 --relays 3 --copies 1 --seconds 5 --jobs 6
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
from typing import Any

PATIENCE = 180.0  # seconds after which a drill hangs


async def one(seed: int, options: argparse.Namespace, turn: asyncio.Semaphore) -> dict[str, Any]:
    """Play one drill in a process of its own."""
    async with turn:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "amberlug",
            "drill",
            "loss",
            "--json",
            "--seed",
            str(seed),
            "--relays",
            str(options.relays),
            "--copies",
            str(options.copies),
            "--seconds",
            str(options.seconds),
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, error = await asyncio.wait_for(process.communicate(), PATIENCE)
        if not out:
            return {"seed": seed, "failed": error.decode()[-300:]}
        return dict(json.loads(out))


async def main(options: argparse.Namespace) -> int:
    turn = asyncio.Semaphore(options.jobs)
    seeds = range(options.first, options.first + options.count)
    played = await asyncio.gather(*(one(seed, options, turn) for seed in seeds))
    whole = [it for it in played if "failed" not in it]
    for it in played:
        if "failed" in it or it["broken"]:
            print(it["seed"], it.get("failed") or it["broken"][:3])
    total = {
        name: sum(it[name] for it in whole)
        for name in ("handed_in", "promised", "refused", "unanswered", "delivered", "late", "lost")
    }
    bad = sum(bool(it["broken"]) for it in whole)
    print(f"{len(whole)} of {len(played)} drills, {bad} with a broken promise: {total}")
    return 0 if whole == played and not bad else 1


if __name__ == "__main__":
    reader = argparse.ArgumentParser()
    reader.add_argument("--first", type=int, default=1)
    reader.add_argument("--count", type=int, default=20)
    reader.add_argument("--relays", type=int, default=3)
    reader.add_argument("--copies", type=int, default=1)
    reader.add_argument("--seconds", type=float, default=5.0)
    reader.add_argument("--jobs", type=int, default=4)
    sys.exit(asyncio.run(main(reader.parse_args())))
