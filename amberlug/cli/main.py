"""Parses the command line; the modules of a command are imported only when it is run."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path


def positive(text: str) -> int:
    """Parse a positive integer; raises `ValueError` otherwise."""
    if (number := int(text)) < 1:
        raise ValueError(text)
    return number


def parser() -> argparse.ArgumentParser:
    """Create the argument parser."""
    it = argparse.ArgumentParser("amberlug", description="A message relay for partner delivery.")
    commands = it.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser("serve", help="run one relay, configured by ROUTER_* variables (the default)")
    check = commands.add_parser("check", help="check a configuration and print all errors with locations")
    check.add_argument("file", type=Path, help="a configuration, an MQTT mapping or a fleet (.toml)")
    check.add_argument("--config", type=Path, help="the configuration to check a mapping or fleet against")
    trial = commands.add_parser("try", help="run the relay against simulated partners for about ten seconds")
    journal = commands.add_parser("journal", help="inspect a state folder or salvage a damaged one")
    actions = journal.add_subparsers(dest="action", metavar="ACTION", required=True)
    inspect = actions.add_parser("inspect", help="show contents, sizes and damage")
    verify = actions.add_parser("verify", help="show damage only")
    salvage = actions.add_parser("salvage", help="write the readable records to a new folder")
    for action in (inspect, verify, salvage):
        action.add_argument("folder", type=Path)
    salvage.add_argument("to", type=Path)
    learning = commands.add_parser("learning", help="inspect what a relay has learned about its partners")
    actions = learning.add_subparsers(dest="action", metavar="ACTION", required=True)
    learned = [
        actions.add_parser("show", help="show accepted facts, their age and current weight"),
        actions.add_parser("verify", help="show rejected records and the reasons"),
        actions.add_parser("diff", help="show the differences between two folders"),
        actions.add_parser("forget", help="delete a destination or an endpoint (no relay may be running)"),
    ]
    for action in learned:
        action.add_argument("folder", type=Path)
        action.add_argument("--key", type=Path, help="file with the key that the folder was written with")
    learned[0].add_argument("--endpoint", help="show this endpoint only")
    learned[0].add_argument("--destination", type=int, help="show this destination only")
    learned[2].add_argument("other", type=Path)
    learned[3].add_argument("--destination", type=int, required=True)
    learned[3].add_argument("--endpoint", help="delete its health only; default: all but requested waits")
    lab = commands.add_parser("lab", help="simulate a whole service in virtual time (needs the extra `lab`)")
    actions = lab.add_subparsers(dest="action", metavar="ACTION", required=True)
    played = actions.add_parser("run", help="run scenarios and summarize the results")
    played.add_argument("scenario", nargs="*", help="built-in name or file; default: all built-in scenarios")
    played.add_argument("--seeds", type=int, default=8, help="number of seeds per scenario")
    played.add_argument("--jobs", type=int, help="number of processes; default: one per core")
    played.add_argument("--store", type=Path, default=Path("lab.db"), help="database of completed runs")
    drawn = actions.add_parser("days", help="simulate random days of a whole fleet and report broken rules")
    drawn.add_argument("--first", type=int, default=1, help="seed of the first day")
    drawn.add_argument("--count", type=positive, default=20, help="number of days")
    drawn.add_argument("--relays", type=positive, default=200)
    drawn.add_argument("--jobs", type=positive, help="number of processes; default: one per core")
    drill = commands.add_parser("drill", help="run real relays under random faults (needs the extra `fleet`)")
    actions = drill.add_subparsers(dest="action", metavar="ACTION", required=True)
    loss = actions.add_parser("loss", help="lose machines with their disks and check the accepted messages")
    loss.add_argument("--relays", type=positive, default=3)
    loss.add_argument("--copies", type=int, default=1)
    loss.add_argument("--seed", type=int, default=1)
    loss.add_argument("--seconds", type=float, default=30.0)
    for command in (loss, check, trial, inspect, verify, salvage, *learned):
        command.add_argument("--json", action="store_true", help="print one JSON object")
    return it


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code."""
    options = parser().parse_args(arguments)
    if options.command == "check":
        from amberlug.cli import checking

        return checking.main(options.file, options.config, options.json)
    if options.command == "try":
        from amberlug.cli import trial

        return trial.main(options.json)
    if options.command == "journal":
        from amberlug.cli import journals

        to = options.to if options.action == "salvage" else None
        return journals.main(options.action, options.folder, to, options.json)
    if options.command == "learning":
        from amberlug.cli import learnings

        return learnings.main(options)
    if options.command == "lab":
        from amberlug.cli import labs

        if options.action == "days":
            return labs.fleet(options.first, options.count, options.relays, options.jobs)
        return labs.main(options.scenario, options.seeds, options.jobs, options.store)
    if options.command == "drill":
        from amberlug.cli import drills

        return drills.loss(options.relays, options.copies, options.seed, options.seconds, options.json)
    from amberlug.platform import daemon

    front = guard = None
    if os.environ.get("AMBERLUG_MQTT"):
        from amberlug.mqtt.components import Mqtt

        front = partial(Mqtt, Path(os.environ["AMBERLUG_MQTT"]))
    if os.environ.get("AMBERLUG_FLEET"):
        from amberlug.copies.service import ReplicationService

        guard = partial(ReplicationService, Path(os.environ["AMBERLUG_FLEET"]))
    return daemon.main(front, guard)


def run() -> None:
    """Entry point of the installed program."""
    sys.exit(main())
