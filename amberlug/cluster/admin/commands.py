"""`python -m amberlug.cluster admin`: inspects a deployment, changes its configuration, checks its files."""

from __future__ import annotations

import base64
import json
import sys
from urllib.parse import quote

import click

from amberlug.cluster.admin.client import Call, send_to_any
from amberlug.cluster.admin.config_commands import config
from amberlug.cluster.admin.dead_message_commands import dead
from amberlug.cluster.admin.file_commands import check_files
from amberlug.cluster.admin.options import (
    Addresses,
    ExitCode,
    address_option,
    control_option,
    finish,
    json_option,
    response_or_finish,
)
from amberlug.cluster.admin.rendering import status_lines


@click.group()
def admin() -> None:
    """Operators' commands.

    Exit codes: 0 done; 1 rejected, or not found; 2 wrong usage, or an invalid file; 3 no node responded, or
    the outcome is unknown.
    """


@admin.command()
@control_option
@json_option
def status(at: Addresses, as_json: bool) -> None:
    """Show the status of the whole deployment, as one control-plane node sees it."""
    data = response_or_finish(send_to_any(at, Call("GET", "/-/Foreman.Status")), as_json).json
    finish(ExitCode.DONE, [] if as_json else status_lines(data), data, as_json)


@admin.command()
@address_option("A control-plane node, or an edge node's readiness address")
@json_option
def counters(at: Addresses, as_json: bool) -> None:
    """Print one process's counters."""
    response = response_or_finish(send_to_any(at, Call("GET", "/-/Foreman.Counters")), as_json)
    rows = response.body.decode().splitlines()
    data = {name: int(count) for name, _, count in (row.partition(" ") for row in rows)}
    finish(ExitCode.DONE, rows or ["none yet"], data, as_json)


@admin.command()
@click.argument("name")
@address_option("An edge node's client address")
@click.option("--body", "as_body", is_flag=True, help="Write its body instead, while it is queued or dead.")
@json_option
def message(name: str, at: Addresses, as_body: bool, as_json: bool) -> None:
    """Show the status of the message NAME."""
    if as_body:
        _write_body(name, at, as_json)
    data = response_or_finish(
        send_to_any(at, Call("GET", f"/-/message/{quote(name, safe='')}")), as_json
    ).json
    receipt = f", seal {data['seal']}" if "seal" in data else ""
    finish(ExitCode.DONE, [f"{data['condition']}{receipt}"], data, as_json)


def _write_body(name: str, at: Addresses, as_json: bool) -> None:
    call = Call("GET", f"/-/message-body/{quote(name, safe='')}")
    content = response_or_finish(send_to_any(at, call), as_json).body
    if as_json:
        finish(ExitCode.DONE, [], {"body": base64.b64encode(content).decode()}, as_json)
    sys.stdout.buffer.write(content)
    sys.exit(ExitCode.DONE)


@admin.command()
@click.argument("node")
@control_option
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="Seconds within which to empty it.")
@click.option("--read", is_flag=True, help="Show the progress.")
@json_option
def retire(node: str, at: Addresses, seconds: float | None, read: bool, as_json: bool) -> None:
    """Retire the storage node NODE: have it emptied, so that it can be removed."""
    if read == (seconds is not None):
        raise click.UsageError("give either --seconds or --read")
    path_name = quote(node, safe="")
    if read:
        call = Call("GET", f"/-/Retire.Read/{path_name}")
        data = response_or_finish(send_to_any(at, call), as_json).json
        finish(ExitCode.DONE, [str(data.get("condition"))], data, as_json)
    body = json.dumps({"durationS": seconds}).encode()
    call = Call("POST", f"/-/Retire.Begin/{path_name}", (("Content-Type", "application/json"),), body)
    response_or_finish(send_to_any(at, call), as_json)
    finish(ExitCode.DONE, [f"{node} is being emptied; see --read"], {"node": node}, as_json)


for group in (config, dead, check_files):
    admin.add_command(group)
