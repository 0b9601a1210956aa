"""`python -m amberlug.cluster admin`: look at a deployment, change its configuration, check its files."""

from __future__ import annotations

import base64
import json
import secrets
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NoReturn, TypeVar
from urllib.parse import quote, urlencode

import click
from result import Err, Ok, Result

from amberlug.cluster.admin.client import Call, Told, ask, hand_in, insist
from amberlug.cluster.admin.files import check_deploy, check_settings, differences, read_config
from amberlug.cluster.admin.rendering import status_lines
from amberlug.cluster.interfaces import Json

DONE, REFUSED, BAD, UNCLEAR = 0, 1, 2, 3
AGAIN_S = 5.0  # for a dead message to be taken anew, while it is surely not taken

_F = TypeVar("_F", bound=Callable[..., Any])


class _Address(click.ParamType[str]):
    name = "host:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> str:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self.fail(f"{value!r} is no address of the form host:port", param, ctx)
        return str(value)


_FILE = click.Path(dir_okay=False, path_type=Path)


def _at(what: str, name: str = "at") -> Callable[[_F], _F]:
    help_ = f"{what}; several: whichever answers."
    return click.option(f"--{name}", type=_Address(), multiple=True, required=True, help=help_)


_control = _at("A control relay")
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def _end(code: int, lines: Iterable[str], data: Json, as_json: bool) -> NoReturn:
    if as_json:
        click.echo(json.dumps(data))
    else:
        for line in lines:
            click.echo(line, err=code != DONE)
    sys.exit(code)


def _settled(told: Result[Told, list[str]], as_json: bool) -> Told:
    """The answer; the command ends where there is none, or one that refuses."""
    if isinstance(told, Err):
        _end(UNCLEAR, told.err_value, {"unclear": told.err_value}, as_json)
    answer = told.ok_value
    if answer.status >= 300:
        data = {"status": answer.status, "cause": answer.cause}
        _end(REFUSED, [f"{answer.status}: {answer.cause}"], data, as_json)
    return answer


@click.group()
def admin() -> None:
    """Operators' commands.

    Exit codes: 0 done; 1 refused, or not found; 2 wrong usage, or a bad file; 3 nobody answered, or it is
    unclear whether it was done.
    """


@admin.command()
@_control
@_json
def status(at: tuple[str, ...], as_json: bool) -> None:
    """Tell how the whole deployment stands, as one control relay sees it."""
    data = _settled(ask(at, Call("GET", "/-/Foreman.Status")), as_json).json
    _end(DONE, [] if as_json else status_lines(data), data, as_json)


@admin.command()
@_at("A control relay, or an edge's readiness address")
@_json
def counters(at: tuple[str, ...], as_json: bool) -> None:
    """Print one process's counters."""
    lines = _settled(ask(at, Call("GET", "/-/Foreman.Counters")), as_json).body.decode().splitlines()
    data = {name: int(value) for name, _, value in (line.partition(" ") for line in lines)}
    _end(DONE, lines or ["none yet"], data, as_json)


@admin.command()
@click.argument("name")
@_at("An edge's front")
@click.option("--body", is_flag=True, help="Write its bytes instead, while it is queued or dead.")
@_json
def message(name: str, at: tuple[str, ...], body: bool, as_json: bool) -> None:
    """Tell how the message NAME stands."""
    if body:
        answer = _settled(ask(at, Call("GET", f"/-/message-body/{quote(name, safe='')}")), as_json)
        if as_json:
            _end(DONE, [], {"body": base64.b64encode(answer.body).decode()}, as_json)
        sys.stdout.buffer.write(answer.body)
        sys.exit(DONE)
    data = _settled(ask(at, Call("GET", f"/-/message/{quote(name, safe='')}")), as_json).json
    seal = f", seal {data['seal']}" if "seal" in data else ""
    _end(DONE, [f"{data['condition']}{seal}"], data, as_json)


# -- configurations


@admin.group()
def config() -> None:
    """Look at the configuration in force, and change it."""


def _file(path: Path, as_json: bool) -> Json:
    """A configuration from a file; the command ends where it is bad."""
    read = read_config(path)
    if isinstance(read, Err):
        _end(BAD, read.err_value, {"errors": read.err_value}, as_json)
    return read.ok_value


def _in_force(at: tuple[str, ...], as_json: bool) -> Json | None:
    told = ask(at, Call("GET", "/-/Configuration.Read"))
    if isinstance(told, Ok) and told.ok_value.status == 404:
        return None
    data: Json = _settled(told, as_json).json
    return data


@config.command()
@_control
@_json
def show(at: tuple[str, ...], as_json: bool) -> None:
    """Print the configuration that a majority confirms, as JSON."""
    data = _in_force(at, as_json)
    if data is None:
        _end(REFUSED, ["no configuration is in place yet"], {"cause": "none"}, as_json)
    _end(DONE, [json.dumps(data, indent=2)], data, as_json)


@config.command("check")
@click.argument("path", metavar="FILE", type=_FILE)
@_json
def check_config(path: Path, as_json: bool) -> None:
    """Tell all errors of a configuration, without any relay."""
    data = _file(path, as_json)
    _end(DONE, [f"edition {data['edition']} is well formed"], {"errors": []}, as_json)


@config.command()
@click.argument("path", metavar="FILE", type=_FILE)
@_control
@_json
def diff(path: Path, at: tuple[str, ...], as_json: bool) -> None:
    """Tell what FILE would change of what is in force."""
    data = _file(path, as_json)
    lines = differences(_in_force(at, as_json) or {}, data)
    _end(DONE, lines or ["no difference"], {"differences": lines}, as_json)


@config.command()
@click.argument("path", metavar="FILE", type=_FILE)
@_control
@click.option("--base", type=click.IntRange(0), help="The edition it builds on; else the one in force.")
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(0),
    default=10.0,
    show_default=True,
    help="Seconds to send it again, unchanged, while the answer is unclear.",
)
@_json
def push(path: Path, at: tuple[str, ...], base: int | None, seconds: float, as_json: bool) -> None:
    """Put FILE in force."""
    data = _file(path, as_json)
    done = {"edition": data["edition"]}
    if base is None:
        now = _in_force(at, as_json)
        if now == data:
            _end(DONE, [f"edition {data['edition']} is in force already"], done, as_json)
        base = now["edition"] if now is not None else 0
    headers = (("Content-Type", "application/json"), ("Amberlug-Base-Version", str(base)))
    call = Call("POST", "/-/Configuration.Replace", headers, json.dumps(data).encode())
    _settled(insist(at, call, seconds), as_json)
    _end(DONE, [f"edition {data['edition']} is in force"], {**done, "base": base}, as_json)


# -- stores


@admin.command()
@click.argument("node")
@_control
@click.option("--seconds", type=click.FloatRange(0, min_open=True), help="Empty it within so many seconds.")
@click.option("--read", is_flag=True, help="Tell how far it is.")
@_json
def retire(node: str, at: tuple[str, ...], seconds: float | None, read: bool, as_json: bool) -> None:
    """Have the store machine NODE emptied, so that it can be taken away."""
    if read == (seconds is not None):
        raise click.UsageError("either --seconds or --read")
    place = quote(node, safe="")
    if read:
        data = _settled(ask(at, Call("GET", f"/-/Retire.Read/{place}")), as_json).json
        _end(DONE, [str(data.get("condition"))], data, as_json)
    body = json.dumps({"durationS": seconds}).encode()
    call = Call("POST", f"/-/Retire.Begin/{place}", (("Content-Type", "application/json"),), body)
    _settled(ask(at, call), as_json)
    _end(DONE, [f"{node} is being emptied; ask with --read"], {"node": node}, as_json)


# -- messages that ended without success


@admin.group()
def dead() -> None:
    """Look at messages that ended without success, and hand them in anew.

    Stores keep them for `statusTtlS` after their end.
    """


@dead.command("list")
@_control
@_json
def dead_list(at: tuple[str, ...], as_json: bool) -> None:
    """List them by name."""
    rows: list[Json] = []
    silent: set[str] = set()
    after = ""
    while True:
        query = urlencode({"after": after})
        page = _settled(ask(at, Call("GET", f"/-/Foreman.Dead?{query}")), as_json).json
        rows += page["rows"]
        silent |= set(page["silent"])
        if "after" not in page:
            break
        after = page["after"]
    lines = [f"{it['id']}  {it['route']}  {it['method']} {it['target']}  {it['size']} bytes" for it in rows]
    lines += [f"the store {name} does not answer: some may be missing" for name in sorted(silent)]
    _end(DONE, lines or ["none"], {"messages": rows, "silent": sorted(silent)}, as_json)


def _dead(name: str, at: tuple[str, ...], as_json: bool) -> Json:
    data: Json = _settled(ask(at, Call("GET", f"/-/Foreman.Dead/{quote(name, safe='')}")), as_json).json
    return data


@dead.command("show")
@click.argument("name")
@_control
@_json
def dead_show(name: str, at: tuple[str, ...], as_json: bool) -> None:
    """Print one, with its bytes."""
    data = _dead(name, at, as_json)
    lines = [f"{key}: {value}" for key, value in data.items() if key not in ("body", "headers")]
    lines += [f"{key}: {value}" for key, value in data["headers"]]
    text = base64.b64decode(data["body"]).decode("utf-8", "backslashreplace")
    _end(DONE, [*lines, "", text], data, as_json)


@dead.command()
@click.argument("name")
@_control
@_at("An edge's front", "front")
@_json
def again(name: str, at: tuple[str, ...], front: tuple[str, ...], as_json: bool) -> None:
    """Hand the message NAME in anew, under a new name, by an edge's front.

    It goes the way of any client's message, behind all others of its key. It is sent again only while the
    edge promises that it was not taken; where that is unclear, the command ends with 3.
    """
    found = _dead(name, at, as_json)
    attempt = secrets.token_hex(8)
    headers = [
        ("Host", found["host"]),
        *((key, value) for key, value in found["headers"]),
        ("Amberlug-Attempt-Id", attempt),
    ]
    call = Call(found["method"], found["target"], tuple(headers), base64.b64decode(found["body"]))
    told = hand_in(front, call, AGAIN_S)
    if isinstance(told, Err):
        lines = [
            *told.err_value,
            f"it may have been taken, as attempt {attempt}: look for that at its service",
        ]
        _end(UNCLEAR, lines, {"unclear": told.err_value, "attempt": attempt}, as_json)
    answer = told.ok_value
    if answer.status != 202:
        data = {"status": answer.status, "cause": answer.cause}
        _end(REFUSED, [f"{answer.status}: {answer.cause}"], data, as_json)
    new = answer.headers.get("amberlug-message-name", attempt)
    _end(DONE, [f"{name} goes again as {new}"], {"id": new, "was": name}, as_json)


# -- files


@admin.group("check")
def check_files() -> None:
    """Check the files that a deployment is run by."""


def _checked(path: Path, errors: list[str], as_json: bool) -> NoReturn:
    _end(BAD if errors else DONE, errors or [f"{path} is well formed"], {"errors": errors}, as_json)


@check_files.command("settings")
@click.argument("path", metavar="FILE", type=_FILE)
@_json
def settings_file(path: Path, as_json: bool) -> None:
    """Tell all errors of a settings file."""
    _checked(path, check_settings(path), as_json)


@check_files.command("deploy")
@click.argument("path", metavar="FILE", type=_FILE)
@_json
def deploy_file(path: Path, as_json: bool) -> None:
    """Tell all errors of a deploy file."""
    _checked(path, check_deploy(path), as_json)
