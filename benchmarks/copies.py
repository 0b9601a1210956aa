"""What a copy costs: CPU of the whole fleet for a message, and what a client waits, with 0, 1 and 2 copies.

python -m benchmarks.copies --rounds 3 --per-second 150 --seconds 6
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import tempfile
from pathlib import Path

from amberlug.standin.fleet import Fleet

RELAYS, COPIES = 5, (0, 1, 2)


def cpu_s(fleet: Fleet) -> float:
    """Seconds of processor time that all relays have used."""
    ticks = 0
    for relay in fleet.relays:
        assert relay.process is not None
        fields = Path(f"/proc/{relay.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


class Timed(Fleet):
    """A fleet whose clients note how long they waited."""

    def __init__(self, *told: object, **options: object) -> None:
        super().__init__(*told, **options)  # type: ignore[arg-type]
        self.waited: list[float] = []

    async def __aenter__(self) -> Timed:
        await super().__aenter__()
        return self

    async def hand_in(self, *told: object, **more: object) -> int:
        began = self.clock()
        status = await super().hand_in(*told, **more)  # type: ignore[arg-type]
        if status == 202:
            self.waited.append(self.clock() - began)
        return status


async def play(copies: int, per_second: float, seconds: float) -> tuple[float, ...]:
    """Microseconds of CPU a message, and the median, p99 and p99.9 of what a client waits in ms."""
    with tempfile.TemporaryDirectory() as folder:
        async with Timed(Path(folder), RELAYS, copies=copies) as rig:
            await rig.load(per_second, 1.0)  # warm
            rig.waited.clear()
            before, taken = cpu_s(rig), len(rig.promises.promised)
            await rig.load(per_second, seconds)
            assert await rig.ended() == []
            spent, count = cpu_s(rig) - before, len(rig.promises.promised) - taken
            waited = sorted(rig.waited)
    at = [waited[int(len(waited) * part)] * 1e3 for part in (0.5, 0.99, 0.999)]
    return spent / count * 1e6, *at


async def main(options: argparse.Namespace) -> None:
    rows: dict[int, list[tuple[float, ...]]] = {copies: [] for copies in COPIES}
    for _ in range(options.rounds):
        for copies in COPIES:  # in turns: what the machine does meanwhile meets all alike
            rows[copies].append(await play(copies, options.per_second, options.seconds))
    base = statistics.median(it[0] for it in rows[0])
    print("| copies | CPU us a message | beside none | median ms | p99 ms | p99.9 ms |")
    print("| ---: | ---: | ---: | ---: | ---: | ---: |")
    for copies, told in rows.items():
        cpu, median, p99, p999 = (statistics.median(column) for column in zip(*told, strict=True))
        print(f"| {copies} | {cpu:.0f} | {cpu / base:.2f} | {median:.2f} | {p99:.2f} | {p999:.2f} |")


if __name__ == "__main__":
    reader = argparse.ArgumentParser()
    reader.add_argument("--rounds", type=int, default=3)
    reader.add_argument("--per-second", type=float, default=150.0)
    reader.add_argument("--seconds", type=float, default=6.0)
    asyncio.run(main(reader.parse_args()))
