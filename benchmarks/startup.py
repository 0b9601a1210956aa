"""What the start of a node costs: processor time until it serves, for each kind of node.

Starts from two checkouts are measured in turns, by the same interpreter and with byte code compiled, so that
both see the same noise of the machine. The processor time is that of the whole process, user and system, from
its start until it waits for the signal that ends it. Byte code is written to a folder of the benchmark, never
to a checkout.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from amberlug.cluster.settings import SETTINGS_FILE_VARIABLE

KINDS = ("edge", "storage", "control_plane")
PACKAGES = ("amberlug.cluster", "workshop")  # the package that runs a node: now, and in older checkouts
OWN_PACKAGES = ("amberlug", "workshop", "stoatusher")
FIRST_PORT, LAST_PORT = 21800, 21899
SETTINGS = """\
nodeName: measured
serves: [{kind}]
ipAddress: 127.0.0.1
zone: a
internalPorts: [{first_port}, {last_port}]
seedNodes: ["127.0.0.1:{first_port}"]
firstStart: true
dataDir: {data_dir}
"""
# Runs the program of a node, and ends the process where the node would wait until it is stopped.
START = """\
import asyncio, os, runpy, sys

async def report(event):
    sys.stdout.write("\\n".join(sys.modules))
    sys.stdout.flush()
    os._exit(0)

asyncio.Event.wait = report
sys.argv = [sys.argv[1], "run"]
runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
"""


@dataclass(frozen=True, slots=True)
class Start:
    """One start of a node, until it serves.

    :param modules: the names of all modules imported.
    :param cpu_ms: user and system time in milliseconds.
    """

    modules: tuple[str, ...]
    cpu_ms: float

    @property
    def own_modules(self) -> tuple[str, ...]:
        """The modules of the project itself."""
        return tuple(name for name in self.modules if name.partition(".")[0] in OWN_PACKAGES)


def package_of(checkout: Path) -> str:
    """Find the package that runs a node in a checkout."""
    for package in PACKAGES:
        if (checkout / package.replace(".", "/") / "__main__.py").exists():
            return package
    raise SystemExit(f"{checkout} holds neither of the packages {', '.join(PACKAGES)}")


def start_node(checkout: Path, kind: str, bytecode: Path | None = None) -> Start:
    """Start a node on an empty data folder, and end it once it serves.

    :param bytecode: the folder for compiled modules; they stand beside their sources where there is none.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = SETTINGS.format(kind=kind, first_port=FIRST_PORT, last_port=LAST_PORT, data_dir=folder)
        (folder / "boot.yaml").write_text(settings, encoding="utf-8")
        environment = os.environ | {SETTINGS_FILE_VARIABLE: str(folder / "boot.yaml")}
        if bytecode is not None:
            environment["PYTHONPYCACHEPREFIX"] = str(bytecode)
            environment.pop("PYTHONDONTWRITEBYTECODE", None)
        process = subprocess.Popen(
            [sys.executable, "-c", START, package_of(checkout)],
            cwd=checkout,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert process.stdout is not None
        with process.stdout:
            modules = process.stdout.read().split()
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0 or not modules:
        raise SystemExit(f"a {kind} node of {checkout} did not serve: exit code {process.returncode}")
    return Start(tuple(modules), (usage.ru_utime + usage.ru_stime) * 1000)


def measure(checkouts: list[Path], kind: str, rounds: int) -> list[list[Start]]:
    """Start a kind of node from each checkout in turns; the first start of each compiles, and is left out."""
    with tempfile.TemporaryDirectory() as bytecode:
        for checkout in checkouts:
            start_node(checkout, kind, Path(bytecode))
        in_turns = [
            [start_node(checkout, kind, Path(bytecode)) for checkout in checkouts] for _ in range(rounds)
        ]
    return [list(starts) for starts in zip(*in_turns, strict=True)]


def main() -> None:
    """Print a table: a row for each kind of node and checkout, with ratios to the first checkout."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("before", type=Path, help="a checkout to compare with")
    options.add_argument("now", type=Path, nargs="?", default=Path(__file__).parents[1])
    options.add_argument("--rounds", type=int, default=30, help="starts of each kind from each checkout")
    options.add_argument("--kinds", nargs="+", choices=KINDS, default=KINDS)
    arguments = options.parse_args()
    checkouts = [arguments.before.resolve(), arguments.now.resolve()]
    print("| node | checkout | modules | own modules | least ms | median ms | least, ratio | median, ratio |")
    print("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |")
    for kind in arguments.kinds:
        found = measure(checkouts, kind, arguments.rounds)
        least = [min(start.cpu_ms for start in starts) for starts in found]
        median = [statistics.median(start.cpu_ms for start in starts) for starts in found]
        for index, label in enumerate(("before", "now")):
            last = found[index][-1]
            print(
                f"| {kind} | {label} | {len(last.modules)} | {len(last.own_modules)} "
                f"| {least[index]:.1f} | {median[index]:.1f} "
                f"| {least[index] / least[0]:.2f} | {median[index] / median[0]:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
