"""Calls of control relays and edges, as operators make them: one after the other until one answers."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from result import Err, Ok, Result

WITHIN_S = 2.0  # for one answer
PAUSE_S = (0.1, 1.0)  # before a call is sent again, doubled each time
REDIRECTS = 2
PROMISES = frozenset((408, 421, 429, 503))  # a message was not taken and never will be
UNCLEAR = frozenset((408, 429))  # beside 5xx: another relay, or the same one later, may answer otherwise


@dataclass(frozen=True, slots=True)
class Told:
    """An answer."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes

    @property
    def clear(self) -> bool:
        """Whether the answer settles the call."""
        return self.status < 500 and self.status not in UNCLEAR

    @property
    def json(self) -> Any:
        """The body as JSON; an empty object where it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def cause(self) -> str:
        """Why it was refused, as the relay says."""
        data = self.json
        said = data.get("cause") if isinstance(data, dict) else None
        return str(said) if said else f"status {self.status}"


@dataclass(frozen=True, slots=True)
class Call:
    """What is sent, unchanged each time."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def once(at: str, call: Call, within: float = WITHIN_S) -> Result[Told, str]:
    """Send a call to one address, and to where it is redirected."""
    path = call.path
    for _ in range(REDIRECTS + 1):
        host, _, port = at.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=within)
        try:
            connection.putrequest(call.method, path, skip_accept_encoding=True, skip_host=_names_host(call))
            for name, value in (*call.headers, ("Content-Length", str(len(call.body)))):
                connection.putheader(name, value)
            connection.endheaders(call.body)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException, ValueError) as error:
            return Err(f"{at}: {error or type(error).__name__}")
        finally:
            connection.close()
        to = urlsplit(answer.headers.get("Location", ""))
        if answer.status != 307 or not to.hostname:
            headers = {name.lower(): value for name, value in answer.headers.items()}
            return Ok(Told(answer.status, headers, body))
        at, path = f"{to.hostname}:{to.port or 80}", to.path + (f"?{to.query}" if to.query else "")
    return Err(f"{at}: redirected too often")


def _names_host(call: Call) -> bool:
    return any(name.lower() == "host" for name, _ in call.headers)


def ask(ats: Sequence[str], call: Call) -> Result[Told, list[str]]:
    """Send a call to one address after the other until one settles it."""
    errors = []
    for at in ats:
        told = once(at, call)
        if isinstance(told, Ok) and told.ok_value.clear:
            return told
        errors.append(told.err_value if isinstance(told, Err) else f"{at}: {told.ok_value.cause}")
    return Err(errors)


def insist(ats: Sequence[str], call: Call, seconds: float) -> Result[Told, list[str]]:
    """Send a call again, unchanged, to any of the addresses, until one settles it or the time is up."""
    until, pause = time.monotonic() + seconds, PAUSE_S[0]
    while True:
        told = ask(ats, call)
        if isinstance(told, Ok) or time.monotonic() + pause > until:
            return told
        time.sleep(pause)
        pause = min(PAUSE_S[1], 2 * pause)


def hand_in(ats: Sequence[str], call: Call, seconds: float) -> Result[Told, list[str]]:
    """Hand a message in. It is sent again only after a promise: anything else might have it run twice."""
    until, pause, tries = time.monotonic() + seconds, PAUSE_S[0], 0
    while True:
        at = ats[tries % len(ats)]
        told = once(at, call, seconds)
        if isinstance(told, Err):
            return Err([told.err_value])
        answer = told.ok_value
        if answer.status in PROMISES and time.monotonic() + pause <= until:
            tries += 1
            time.sleep(pause)
            pause = min(PAUSE_S[1], 2 * pause)
        elif answer.clear or answer.status in PROMISES:
            return told
        else:
            return Err([f"{at}: {answer.cause}"])
