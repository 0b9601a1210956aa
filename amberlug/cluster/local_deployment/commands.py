"""`python -m amberlug.cluster try`, `soak` and `stand-in`."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from amberlug.cluster.local_deployment.deployment import FAULTY_PROGRAM, Deployment, free_net, random_net
from amberlug.cluster.local_deployment.fake_endpoint import EndpointSettings, FakeEndpoint
from amberlug.cluster.local_deployment.planned_soak import PlannedSoak
from amberlug.cluster.local_deployment.soak import Soak
from amberlug.cluster.local_deployment.trial import Trial, TrialLoad
from amberlug.cluster.local_deployment.trial_report import TrialReport

MAX_PRINTED_FAILURES = 20  # per seed
EX_INTERRUPTED = 130  # exit code that shells report for a command ended by Ctrl-C (128 + SIGINT)

ResultT = TypeVar("ResultT")


async def _run_until_interrupted(work: Coroutine[object, object, ResultT]) -> ResultT:
    """Run a coroutine; Ctrl-C and SIGTERM cancel it, so that it can clean up."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(work)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


# -- try


def _print_report(report: TrialReport, as_json: bool) -> int:
    """Print the result of a trial; returns the exit code."""
    figures = report.figures()
    if as_json:
        click.echo(json.dumps(figures))
    else:
        for text in _report_lines(report):
            click.echo(text)
    return 1 if figures["wrong"] else 0


def _report_lines(report: TrialReport) -> list[str]:
    figures = report.figures()
    acceptance, first_run = figures["accept_ms"], figures["first_run_ms"]
    rejected, unknown = figures["refused"], figures["unclear"]
    return [
        f"accepted   {figures['accepted']} of {figures['sent']}, {rejected} rejected, {unknown} unknown",
        f"ended      {figures['ended']}, {figures['delivered']} of them delivered, {figures['runs']} runs",
        f"202        p50 {acceptance['p50']} ms, p99 {acceptance['p99']} ms",
        f"first run  p50 {first_run['p50']} ms, p99 {first_run['p99']} ms",
        *(f"WRONG: {failure}" for failure in figures["wrong"]),
        "FAILED" if figures["wrong"] else "all accepted messages ended as expected, in order",
    ]


@click.command("try")
@click.option(
    "--seconds", type=click.FloatRange(1, 600), default=8.0, show_default=True, help="Duration of the load."
)
@click.option(
    "--rate",
    type=click.FloatRange(0, 200, min_open=True),
    default=30.0,
    show_default=True,
    help="Messages per second.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="A new or empty folder in which settings, logs and data are kept.",
)
@click.option("--net", help="First three octets of the loopback addresses; default: free ones.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def trial(seconds: float, rate: float, keep: Path | None, net: str | None, as_json: bool) -> None:
    """Run a complete small deployment on loopback under load.

    It has three machines of each class, in two zones; an edge node and a storage node are killed and
    restarted during the run. The exit code is 0 only if every accepted message ended as expected, else 1.
    """
    rng = random.Random()
    net = net or free_net(rng)
    load = TrialLoad(rate, seconds)

    def report_progress(text: str) -> None:
        """Print progress to stderr."""
        click.echo(text, err=True)

    async def run_trial(folder: Path) -> TrialReport:
        """Run the trial in a folder."""
        return await Trial(Deployment(folder.resolve(), net), load, rng, report_progress).run()

    def run(folder: Path) -> int:
        """Run the trial in a folder and print its report; returns the exit code."""
        return _print_report(asyncio.run(_run_until_interrupted(run_trial(folder))), as_json)

    sys.exit(_run_in_folder(keep, run))


# -- soak


@click.command("soak")
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of seeds to run.")
@click.option(
    "--seconds", type=click.FloatRange(1, 600), default=8.0, show_default=True, help="Duration of the load."
)
@click.option(
    "--rate", type=click.FloatRange(1, 200), default=30.0, show_default=True, help="Messages per second."
)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Folder for the files of failing seeds."
)
@click.option("--planned", is_flag=True, help="Stop edge nodes in series, with nothing unplanned.")
def soak(first: int, seeds: int, keep: Path | None, planned: bool, **load_options: float) -> None:
    """Run a small deployment under overlapping random faults, once for each seed.

    The exit code is 0 only if under all seeds no accepted message was lost or unknown to an edge node, and
    no reported outcome was withdrawn; with --planned, also if none ran again after its success; else 1.
    """
    failed_seeds = 0
    for seed in range(first, first + seeds):
        load = TrialLoad(load_options["rate"], load_options["seconds"])
        report = asyncio.run(_run_until_interrupted(_run_soak(seed, load, keep, planned)))
        failures = report.all_failures()
        failed_seeds += bool(failures)
        click.echo(
            f"seed {seed}: {len(report.accepted())} accepted of {len(report.sent)}, {len(failures)} wrong"
        )
        for failure in failures[:MAX_PRINTED_FAILURES]:
            click.echo(f"WRONG: {failure}")
    click.echo(f"{failed_seeds} of {seeds} seeds failed")
    sys.exit(bool(failed_seeds))


async def _run_soak(seed: int, load: TrialLoad, keep: Path | None, is_planned: bool) -> TrialReport:
    """Run one seed; its folder is kept only if something failed."""
    soak_type = PlannedSoak if is_planned else Soak
    with tempfile.TemporaryDirectory(prefix="amberlug-soak-") as name:
        folder, rng = Path(name), random.Random(seed)
        # Not the default addresses: another soak may start at the same time.
        net_rng = random.Random()
        deployment = Deployment(folder, free_net(net_rng, random_net(net_rng)), FAULTY_PROGRAM)
        report = await soak_type(deployment, load, rng, lambda text: click.echo(text, err=True)).run()
        if keep is not None and report.all_failures():
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return report


def _run_in_folder(kept_folder: Path | None, run: Callable[[Path], int]) -> int:
    try:
        if kept_folder is None:
            with tempfile.TemporaryDirectory(prefix="amberlug-cluster-") as folder:
                return run(Path(folder))
        kept_folder.mkdir(parents=True, exist_ok=True)
        if any(kept_folder.iterdir()):
            raise click.BadParameter("the folder is not empty", param_hint="--keep")
        return run(kept_folder)
    except asyncio.CancelledError:
        click.echo("interrupted before it was complete", err=True)
        return EX_INTERRUPTED


# -- stand-in


async def _serve_endpoint(settings: EndpointSettings, at: tuple[str, ...], host: str, port: int) -> None:
    """Serve until the task is cancelled, then drain the endpoint."""
    endpoint = FakeEndpoint(settings, at)
    await endpoint.start(host, port)
    click.echo(f"{settings.name} listens on {host}:{port}")
    try:
        await asyncio.Event().wait()
    finally:
        await endpoint.drain()


@click.command("stand-in")
@click.argument("service")
@click.option(
    "--at", multiple=True, required=True, help="HOST:PORT of a control-plane node; can be repeated."
)
@click.option("--listen", required=True, help="HOST:PORT to listen on.")
@click.option("--zone", default="", help="Zone of the endpoint.")
@click.option(
    "--slots", type=click.IntRange(1), default=4, show_default=True, help="Messages processed concurrently."
)
@click.option(
    "--work-ms",
    type=click.FloatRange(0),
    default=50.0,
    show_default=True,
    help="Processing time of one message in milliseconds.",
)
def stand_in(service: str, at: tuple[str, ...], listen: str, **options: Any) -> None:
    """Run a fake endpoint of SERVICE that announces itself to control-plane nodes, until Ctrl-C."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter("no address of the form host:port", param_hint="--listen")
    settings = EndpointSettings(
        name=f"{service}-{random.getrandbits(32):08x}",
        service=service,
        zone=options["zone"],
        slots=options["slots"],
        work_s=options["work_ms"] / 1000,
    )
    try:
        asyncio.run(_run_until_interrupted(_serve_endpoint(settings, at, host, int(port))))
    except asyncio.CancelledError:
        click.echo("ended")
