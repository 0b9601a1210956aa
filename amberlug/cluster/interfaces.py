"""What decisions are given instead of the world: clock, timers, chance, peers and outside calls. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from result import Result

Json = dict[str, Any]


class Lost(Enum):
    """Why an ask has no reply."""

    UNSENT = "unsent"  # it was never written to the peer: it was surely not acted on
    BROKEN = "broken"  # the connection ended first: it may have been acted on
    SILENT = "silent"  # no reply in time: it may yet be acted on


@dataclass(frozen=True, slots=True)
class Reply:
    """What a peer said: a body, and bytes beside it."""

    body: Json
    blob: bytes = b""


Then = Callable[[Result[Reply, Lost]], None]
Respond = Callable[[Json, bytes], None]


class Handle(Protocol):
    """A timer that can be called off."""

    def cancel(self) -> None: ...


class World(Protocol):
    """Clock, timers, chance and peers, as the machine's decisions see them."""

    chance: random.Random

    def now(self) -> float:
        """Seconds of the steady clock."""

    def wall(self) -> float:
        """Seconds of the time of day; machines differ a little."""

    def later(self, seconds: float, act: Callable[[], None]) -> Handle:
        """Call `act` once, that much later."""

    def tell(self, to: str, word: str, body: Json, blob: bytes = b"") -> None:
        """Send to the peer at address `to`; nobody hears whether it came."""

    def ask(self, to: str, word: str, body: Json, within: float, then: Then, blob: bytes = b"") -> None:
        """Send, and have `then` called once: with the reply, or why there is none within so many seconds."""


class Verdict(Enum):
    """How a call to an endpoint ended."""

    ANSWERED = "answered"
    UNREACHED = "unreached"  # no connection came up, or the request did not leave whole: it has not run
    BROKEN = "broken"  # the connection ended, or what came was no answer to this call: it may have run
    SILENT = "silent"  # nothing in time: it may have run


@dataclass(frozen=True, slots=True)
class Delivery:
    """A call of an endpoint: where, the request as it arrived, and how many seconds it has."""

    address: str
    instance: str
    attempt: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds: float


@dataclass(frozen=True, slots=True)
class Called:
    """What came of it; headers by lower-case name."""

    verdict: Verdict
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


class Endpoints(Protocol):
    """Calls to endpoints, over connections that are kept."""

    def call(self, delivery: Delivery, then: Callable[[Called], None]) -> None: ...
    def idle(self, address: str) -> int:
        """Connections to it that could carry a call at once."""

    def forget(self, address: str) -> None:
        """Close its idle connections: it has gone."""


class Disk(Protocol):
    """Writes that last: `then` is called once they are synced, with None or what hindered it."""

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: Callable[[str | None], None]) -> None: ...


def on(word: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Declare a method as the handler of a peer's word: `(body, blob, origin, respond)`."""

    def mark(handler: Callable[..., None]) -> Callable[..., None]:
        handler.__dict__["word"] = word
        return handler

    return mark


def words_of(thing: object) -> dict[str, Callable[..., None]]:
    """The handlers that an object's class declares, by word."""
    found = {}
    for kind in type(thing).__mro__:
        for name, member in vars(kind).items():
            word = getattr(member, "__dict__", {}).get("word") if callable(member) else None
            if word is not None and word not in found:
                found[word] = getattr(thing, name)
    return found
