"""`python -m amberlug.cluster try` and `stand-in`."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from amberlug.cluster.local_deployment.deployment import free_net
from amberlug.cluster.local_deployment.fake_endpoint import StandIn
from amberlug.cluster.local_deployment.trial import Tale, play

ENDED = 130  # as shells say of a command that Ctrl-C ended

_T = TypeVar("_T")


async def _unless_told(work: Coroutine[Any, Any, _T]) -> _T:
    """Do it; Ctrl-C and SIGTERM cancel it, so that it cleans up."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(work)
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


def _show(tale: Tale, as_json: bool) -> int:
    figures = tale.figures()
    if as_json:
        click.echo(json.dumps(figures))
    else:
        ack, run = figures["accept_ms"], figures["first_run_ms"]
        click.echo(
            f"accepted   {figures['accepted']} of {figures['sent']}, {figures['refused']} refused, ", nl=False
        )
        click.echo(f"{figures['unclear']} unclear")
        click.echo(
            f"ended      {figures['ended']}, {figures['delivered']} of them delivered, {figures['runs']} runs"
        )
        click.echo(f"202        p50 {ack['p50']} ms, p99 {ack['p99']} ms")
        click.echo(f"first run  p50 {run['p50']} ms, p99 {run['p99']} ms")
        for line in figures["wrong"]:
            click.echo(f"WRONG: {line}")
        click.echo("all that was accepted ended as it should, in order" if not figures["wrong"] else "FAILED")
    return 1 if figures["wrong"] else 0


@click.command("try")
@click.option("--seconds", type=click.FloatRange(1, 600), default=8.0, show_default=True, help="Of load.")
@click.option(
    "--rate",
    type=click.FloatRange(0, 200, min_open=True),
    default=30.0,
    show_default=True,
    help="Messages a second.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="A new or empty folder that keeps settings, logs and data.",
)
@click.option("--net", help="First three numbers of the loopback addresses; else free ones are taken.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def trial(seconds: float, rate: float, keep: Path | None, net: str | None, as_json: bool) -> None:
    """Try a whole small deployment on loopback, in one command.

    Three machines of each class, in two zones; an edge and a store are killed on the way. Exit code 0 only
    where every message that was accepted ended as it should; else 1.
    """
    rng = random.Random()
    net = net or free_net(rng)

    def say(line: str) -> None:
        click.echo(line, err=True)

    def run(folder: Path) -> int:
        tale = asyncio.run(_unless_told(play(folder.resolve(), net, rate, seconds, rng, say)))
        return _show(tale, as_json)

    sys.exit(_in_folder(keep, run))


def _in_folder(keep: Path | None, run: Callable[[Path], int]) -> int:
    try:
        if keep is None:
            with tempfile.TemporaryDirectory(prefix="amberlug-cluster-") as folder:
                return run(Path(folder))
        keep.mkdir(parents=True, exist_ok=True)
        if any(keep.iterdir()):
            raise click.BadParameter("the folder is not empty", param_hint="--keep")
        return run(keep)
    except asyncio.CancelledError:
        click.echo("ended before it was done", err=True)
        return ENDED


@click.command("stand-in")
@click.argument("service")
@click.option(
    "--at", multiple=True, required=True, help="HOST:PORT of a control relay; several may be given."
)
@click.option("--listen", required=True, help="HOST:PORT to work at.")
@click.option("--zone", default="", help="Its zone.")
@click.option(
    "--slots", type=click.IntRange(1), default=4, show_default=True, help="Messages worked on at once."
)
@click.option("--work-ms", type=click.FloatRange(0), default=50.0, show_default=True, help="Of one message.")
def stand_in(service: str, at: tuple[str, ...], listen: str, zone: str, slots: int, work_ms: float) -> None:
    """Serve as an endpoint of SERVICE, announced to control relays, until Ctrl-C."""
    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter("no address of the form host:port", param_hint="--listen")

    async def serve() -> None:
        it = StandIn(f"{service}-{random.getrandbits(32):08x}", service, zone, at, slots, work_ms / 1000)
        await it.begin(host, int(port))
        click.echo(f"{it.name} works at {listen}")
        try:
            await asyncio.Event().wait()
        finally:
            await it.end()

    try:
        asyncio.run(_unless_told(serve()))
    except asyncio.CancelledError:
        click.echo("ended")
