"""`admin dead`: lists, shows and resubmits messages that ended without success."""

from __future__ import annotations

import base64
import secrets
from typing import Any
from urllib.parse import quote, urlencode

import click
from result import Err

from amberlug.cluster.admin.client import Call, send_to_any, submit_message
from amberlug.cluster.admin.options import (
    Addresses,
    ExitCode,
    address_option,
    control_option,
    finish,
    finish_rejected,
    json_option,
    response_or_finish,
)
from amberlug.cluster.interfaces import Json

RESUBMIT_TIMEOUT_S = 5.0  # for which a resubmission is retried while edge nodes reject it
ATTEMPT_ID_BYTES = 8


@click.group()
def dead() -> None:
    """Inspect and resubmit messages that ended without success.

    Storage nodes keep them for `statusTtlS` after they ended.
    """


@dead.command("list")
@control_option
@json_option
def list_dead(at: Addresses, as_json: bool) -> None:
    """List the dead messages by name."""
    messages: list[Json] = []
    unresponsive: set[str] = set()
    after: str | None = ""
    while after is not None:
        call = Call("GET", f"/-/Foreman.Dead?{urlencode({'after': after})}")
        page = response_or_finish(send_to_any(at, call), as_json).json
        messages += page["rows"]
        unresponsive |= set(page["silent"])
        after = page.get("after")
    lines = [_summary(message) for message in messages]
    lines += [
        f"storage node {name} does not respond: some messages may be missing" for name in sorted(unresponsive)
    ]
    data = {"messages": messages, "silent": sorted(unresponsive)}
    finish(ExitCode.DONE, lines or ["none"], data, as_json)


def _summary(message: Json) -> str:
    request = f"{message['method']} {message['target']}"
    return f"{message['id']}  {message['route']}  {request}  {message['size']} bytes"


def _read_dead(name: str, at: Addresses, as_json: bool) -> dict[str, Any]:
    call = Call("GET", f"/-/Foreman.Dead/{quote(name, safe='')}")
    message: Json = response_or_finish(send_to_any(at, call), as_json).json
    return message


@dead.command("show")
@click.argument("name")
@control_option
@json_option
def show_dead(name: str, at: Addresses, as_json: bool) -> None:
    """Print the dead message NAME with its headers and body."""
    message = _read_dead(name, at, as_json)
    lines = [f"{key}: {value}" for key, value in message.items() if key not in ("body", "headers")]
    lines += [f"{key}: {value}" for key, value in message["headers"]]
    text = base64.b64decode(message["body"]).decode("utf-8", "backslashreplace")
    finish(ExitCode.DONE, [*lines, "", text], message, as_json)


@dead.command("again")
@click.argument("name")
@control_option
@address_option("An edge node's client address", "front")
@json_option
def resubmit(name: str, at: Addresses, front: Addresses, as_json: bool) -> None:
    """Resubmit the message NAME to an edge node, under a new name.

    It is handled like any client's message, after all others with its sequence key. The request is retried
    only while edge nodes reject it; if the outcome is unknown, the exit code is 3.
    """
    attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES)
    sent = submit_message(front, _resubmission(_read_dead(name, at, as_json), attempt_id), RESUBMIT_TIMEOUT_S)
    if isinstance(sent, Err):
        hint = f"it may have been accepted as attempt {attempt_id}; look for that attempt id at its service"
        data = {"unclear": sent.err_value, "attempt": attempt_id}
        finish(ExitCode.UNKNOWN, [*sent.err_value, hint], data, as_json)
    response = sent.ok_value
    if response.status != 202:
        finish_rejected(response, as_json)
    new_name = response.headers.get("amberlug-message-name", attempt_id)
    finish(ExitCode.DONE, [f"{name} was resubmitted as {new_name}"], {"id": new_name, "was": name}, as_json)


def _resubmission(message: Json, attempt_id: str) -> Call:
    """The request that resubmits a dead message: the original request with a new attempt id."""
    headers = (
        ("Host", message["host"]),
        *((key, value) for key, value in message["headers"]),
        ("Amberlug-Attempt-Id", attempt_id),
    )
    return Call(message["method"], message["target"], headers, base64.b64decode(message["body"]))
