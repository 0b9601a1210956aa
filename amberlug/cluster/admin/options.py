"""Shared parts of the operators' commands: options, exit codes, and the output at exit."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from enum import IntEnum
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
from result import Err, Result

from amberlug.cluster.admin.client import NodeResponse
from amberlug.cluster.interfaces import Json
from amberlug.cluster.settings import MAX_PORT

CommandT = TypeVar("CommandT", bound=Callable[..., Any])
Addresses = tuple[str, ...]


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REJECTED = 1  # or not found
    BAD_INPUT = 2  # wrong usage, or an invalid file; click also exits with 2 on wrong usage
    UNKNOWN = 3  # no node responded, or it is unknown whether the call was executed


class AddressType(click.ParamType[str]):
    """An option value of the form `host:port`."""

    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> str:
        """Validate the format and return the value unchanged."""
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            self.fail(f"{value!r} is no address of the form host:port", param, ctx)
        return str(value)


def address_option(node: str, option: str = "at") -> Callable[[CommandT], CommandT]:
    """Make an option for the addresses of nodes, any of which may respond.

    :param node: the kind of node that listens there, for the help text.
    """
    help_text = f"{node}; if repeated, the first one that responds is used."
    return click.option(f"--{option}", type=AddressType(), multiple=True, required=True, help=help_text)


control_option = address_option("A control-plane node")
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FILE_PATH_TYPE = click.Path(dir_okay=False, path_type=Path)


def finish(code: ExitCode, lines: Iterable[str], data: Json, as_json: bool) -> NoReturn:
    """Print the output and exit with a code.

    :param lines: human-readable output; written to standard error if the command did not succeed.
    :param data: machine-readable output, printed instead of the lines if `as_json` is set.
    """
    if as_json:
        click.echo(json.dumps(data))
    else:
        for text in lines:
            click.echo(text, err=code is not ExitCode.DONE)
    sys.exit(code)


def finish_rejected(response: NodeResponse, as_json: bool) -> NoReturn:
    """Report a node's rejection and exit."""
    data = {"status": response.status, "cause": response.cause}
    finish(ExitCode.REJECTED, [f"{response.status}: {response.cause}"], data, as_json)


def response_or_finish(sent: Result[NodeResponse, list[str]], as_json: bool) -> NodeResponse:
    """Return the response; exits the command if there is none, or if it is a rejection."""
    if isinstance(sent, Err):
        finish(ExitCode.UNKNOWN, sent.err_value, {"unclear": sent.err_value}, as_json)
    if sent.ok_value.status >= 300:
        finish_rejected(sent.ok_value, as_json)
    return sent.ok_value
