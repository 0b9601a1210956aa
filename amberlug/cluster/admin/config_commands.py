"""`admin config`: shows and changes the configuration in force."""

from __future__ import annotations

import json
from pathlib import Path

import click
from result import Err, Ok

from amberlug.cluster.admin.client import Call, send_to_any, send_until_settled
from amberlug.cluster.admin.config_differences import differences
from amberlug.cluster.admin.files import read_config
from amberlug.cluster.admin.options import (
    FILE_PATH_TYPE,
    Addresses,
    ExitCode,
    control_option,
    finish,
    json_option,
    response_or_finish,
)
from amberlug.cluster.control.state_entries import ConfigDocument


@click.group()
def config() -> None:
    """Show and change the configuration in force."""


def _read_config_file(path: Path, as_json: bool) -> ConfigDocument:
    """Read a configuration from a file; exits the command if it is invalid."""
    read = read_config(path)
    if isinstance(read, Err):
        finish(ExitCode.BAD_INPUT, read.err_value, {"errors": read.err_value}, as_json)
    return read.ok_value


def _read_config_in_force(at: Addresses, as_json: bool) -> ConfigDocument | None:
    sent = send_to_any(at, Call("GET", "/-/Configuration.Read"))
    if isinstance(sent, Ok) and sent.ok_value.status == 404:
        return None
    document: ConfigDocument = response_or_finish(sent, as_json).json
    return document


@config.command()
@control_option
@json_option
def show(at: Addresses, as_json: bool) -> None:
    """Print the configuration that a majority confirms as JSON."""
    document = _read_config_in_force(at, as_json)
    if document is None:
        finish(ExitCode.REJECTED, ["no configuration is in place yet"], {"cause": "none"}, as_json)
    finish(ExitCode.DONE, [json.dumps(document, indent=2)], document, as_json)


@config.command("check")
@click.argument("path", metavar="FILE", type=FILE_PATH_TYPE)
@json_option
def check_config(path: Path, as_json: bool) -> None:
    """Show all errors of a configuration file; needs no deployment."""
    document = _read_config_file(path, as_json)
    finish(ExitCode.DONE, [f"edition {document['edition']} is well formed"], {"errors": []}, as_json)


@config.command()
@click.argument("path", metavar="FILE", type=FILE_PATH_TYPE)
@control_option
@json_option
def diff(path: Path, at: Addresses, as_json: bool) -> None:
    """Show how FILE differs from the configuration in force."""
    document = _read_config_file(path, as_json)
    lines = differences(_read_config_in_force(at, as_json) or {}, document)
    finish(ExitCode.DONE, lines or ["no difference"], {"differences": lines}, as_json)


@config.command()
@click.argument("path", metavar="FILE", type=FILE_PATH_TYPE)
@control_option
@click.option("--base", type=click.IntRange(0), help="The edition it is based on; default: the one in force.")
@click.option(
    "--for",
    "timeout_s",
    type=click.FloatRange(0),
    default=10.0,
    show_default=True,
    help="Seconds to retry, unchanged, while the outcome is unknown.",
)
@json_option
def push(path: Path, at: Addresses, base: int | None, timeout_s: float, as_json: bool) -> None:
    """Put FILE in force."""
    document = _read_config_file(path, as_json)
    edition = document["edition"]
    if base is None:
        in_force = _read_config_in_force(at, as_json)
        if in_force == document:
            finish(ExitCode.DONE, [f"edition {edition} is in force already"], {"edition": edition}, as_json)
        base = in_force["edition"] if in_force is not None else 0
    headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", str(base)))
    call = Call("POST", "/-/Configuration.Replace", headers, json.dumps(document).encode())
    response_or_finish(send_until_settled(at, call, timeout_s), as_json)
    finish(ExitCode.DONE, [f"edition {edition} is in force"], {"edition": edition, "base": base}, as_json)
