"""The command line: reads the arguments; what a command needs is imported with that command alone."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path


def positive(text: str) -> int:
    """Read a whole number of one or more; `ValueError` for any other."""
    if (number := int(text)) < 1:
        raise ValueError(text)
    return number


def parser() -> argparse.ArgumentParser:
    """Describe the command line."""
    it = argparse.ArgumentParser("amberlug", description="A message relay for partner delivery.")
    commands = it.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser("serve", help="run one relay, configured by ROUTER_* variables (the default)")
    check = commands.add_parser("check", help="check a configuration: all its errors, each with its place")
    check.add_argument("file", type=Path, help="a configuration, an MQTT mapping or a fleet (.toml)")
    check.add_argument("--config", type=Path, help="the configuration that a mapping is to fit")
    trial = commands.add_parser("try", help="run the relay among stand-ins for some ten seconds")
    journal = commands.add_parser("journal", help="look into a state folder; save what a damaged one holds")
    actions = journal.add_subparsers(dest="action", metavar="ACTION", required=True)
    inspect = actions.add_parser("inspect", help="what is held, how large, what is damaged")
    verify = actions.add_parser("verify", help="what is damaged")
    salvage = actions.add_parser("salvage", help="write what can be read to a new folder")
    for action in (inspect, verify, salvage):
        action.add_argument("folder", type=Path)
    salvage.add_argument("to", type=Path)
    learning = commands.add_parser("learning", help="look into what a relay has learned of its partners")
    actions = learning.add_subparsers(dest="action", metavar="ACTION", required=True)
    learned = [
        actions.add_parser("show", help="what is believed, since when, and how much it weighs now"),
        actions.add_parser("verify", help="what is not believed, and why"),
        actions.add_parser("diff", help="what two folders believe unlike each other"),
        actions.add_parser("forget", help="forget a destination or an endpoint, while no relay runs there"),
    ]
    for action in learned:
        action.add_argument("folder", type=Path)
        action.add_argument("--key", type=Path, help="the file of the key that it was written with")
    learned[0].add_argument("--endpoint", help="only this one")
    learned[0].add_argument("--destination", type=int, help="only this one")
    learned[2].add_argument("other", type=Path)
    learned[3].add_argument("--destination", type=int, required=True)
    learned[3].add_argument("--endpoint", help="only its health; else all of the destination but told waits")
    lab = commands.add_parser("lab", help="play a whole service in virtual time (needs the extra `lab`)")
    actions = lab.add_subparsers(dest="action", metavar="ACTION", required=True)
    played = actions.add_parser("run", help="play scenarios, and sum up what came of them")
    played.add_argument("scenario", nargs="*", help="a name of the library, or a file; none for the library")
    played.add_argument("--seeds", type=int, default=8, help="plays of each")
    played.add_argument("--jobs", type=int, help="processes; as many as there are cores")
    played.add_argument("--store", type=Path, default=Path("lab.db"), help="where runs are kept")
    drawn = actions.add_parser("days", help="play drawn days of a whole fleet, and tell the rules broken")
    drawn.add_argument("--first", type=int, default=1, help="seed of the first")
    drawn.add_argument("--count", type=positive, default=20, help="how many")
    drawn.add_argument("--relays", type=positive, default=200)
    drawn.add_argument("--jobs", type=positive, help="processes; as many as there are cores")
    drill = commands.add_parser("drill", help="real relays under drawn faults (needs the extra `fleet`)")
    actions = drill.add_subparsers(dest="action", metavar="ACTION", required=True)
    loss = actions.add_parser("loss", help="lose machines with their disks, and see what becomes of promises")
    loss.add_argument("--relays", type=positive, default=3)
    loss.add_argument("--copies", type=int, default=1)
    loss.add_argument("--seed", type=int, default=1)
    loss.add_argument("--seconds", type=float, default=30.0)
    for command in (loss, check, trial, inspect, verify, salvage, *learned):
        command.add_argument("--json", action="store_true", help="print one JSON object, for machines")
    return it


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; its exit code."""
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
        from amberlug.mqtt.front import Mqtt

        front = partial(Mqtt, Path(os.environ["AMBERLUG_MQTT"]))
    if os.environ.get("AMBERLUG_FLEET"):
        from amberlug.copies.service import ReplicationService

        guard = partial(ReplicationService, Path(os.environ["AMBERLUG_FLEET"]))
    return daemon.main(front, guard)


def run() -> None:
    """Run it as an installed program."""
    sys.exit(main())
