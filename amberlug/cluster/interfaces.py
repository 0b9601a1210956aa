"""What decisions are given instead of the world: clock, timers, chance, peers and outside calls. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from result import Result

Json = dict[str, Any]


class RequestFailure(Enum):
    """Why an ask has no reply."""

    NOT_SENT = "unsent"  # it was never written to the peer: it was surely not acted on
    CONNECTION_LOST = "broken"  # the connection ended first: it may have been acted on
    TIMED_OUT = "silent"  # no reply in time: it may yet be acted on


@dataclass(frozen=True, slots=True)
class Reply:
    """What a peer said: a body, and bytes beside it."""

    body: Json
    blob: bytes = b""


ReplyCallback = Callable[[Result[Reply, RequestFailure]], None]
Respond = Callable[[Json, bytes], None]


class TimerHandle(Protocol):
    """A timer that can be called off."""

    def cancel(self) -> None: ...


class Runtime(Protocol):
    """Clock, timers, chance and peers, as the machine's decisions see them."""

    chance: random.Random

    def now(self) -> float:
        """Seconds of the steady clock."""

    def wall_clock(self) -> float:
        """Seconds of the time of day; machines differ a little."""

    def call_later(self, seconds: float, act: Callable[[], None]) -> TimerHandle:
        """Call `act` once, that much later."""

    def send(self, to: str, word: str, body: Json, blob: bytes = b"") -> None:
        """Send to the peer at address `to`; nobody hears whether it came."""

    def request(
        self, to: str, word: str, body: Json, within: float, then: ReplyCallback, blob: bytes = b""
    ) -> None:
        """Send, and have `then` called once: with the reply, or why there is none within so many seconds."""


class CallVerdict(Enum):
    """How a call to an endpoint ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "unreached"  # no connection came up, or the request did not leave whole: it has not run
    CONNECTION_LOST = (
        "broken"  # the connection ended, or what came was no answer to this call: it may have run
    )
    TIMED_OUT = "silent"  # nothing in time: it may have run


@dataclass(frozen=True, slots=True)
class EndpointCall:
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
class CallResult:
    """What came of it; headers by lower-case name."""

    verdict: CallVerdict
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        return next((value for key, value in self.headers if key == name), None)


class Endpoints(Protocol):
    """Calls to endpoints, over connections that are kept."""

    def call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None: ...
    def idle(self, address: str) -> int:
        """Connections to it that could carry a call at once."""

    def forget(self, address: str) -> None:
        """Close its idle connections: it has gone."""


class Disk(Protocol):
    """Writes that last: `then` is called once they are synced, with None or what hindered it."""

    def write(
        self, rows: list[tuple[str, tuple[Any, ...]]], then: Callable[[str | None], None], /
    ) -> None: ...


def on(word: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Declare a method as the handler of a peer's word: `(body, blob, origin, respond)`."""

    def mark(handler: Callable[..., None]) -> Callable[..., None]:
        handler.__dict__["word"] = word
        return handler

    return mark
