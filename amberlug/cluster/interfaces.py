"""What decisions are given as their environment: clock, timers, random numbers, peers, disk, endpoints.

All decisions are made without I/O, against these protocols. `process` implements them on sockets, clocks and
disks, and `simulation` deterministically, in virtual time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from result import Result

from amberlug.cluster.values import value

Json = dict[str, Any]
"""A JSON object as it stands in a frame, in a row or in an HTTP body; only codecs look into it."""

Headers = tuple[tuple[str, str], ...]
"""HTTP header fields in their order: names and values."""

SqlStatement = tuple[str, tuple[Any, ...]]
"""An SQL text with the parameters that are bound to it."""


class RequestFailure(Enum):
    """Why a request to a peer has no reply."""

    NOT_SENT = "unsent"  # nothing of it was written to the peer, which has surely not acted on it
    CONNECTION_LOST = "broken"  # the connection ended first: the peer may have acted on it
    TIMED_OUT = "silent"  # no reply in time: the peer may have acted on it, or may do so yet


@value
class RawMessage:
    """A message as it stands in a frame: its wire tag, its JSON object, and bytes beside it."""

    tag: str
    body: Json
    payload: bytes = b""


@value
class Reply:
    """A peer's reply as it stands in a frame: a JSON object, and bytes beside it."""

    body: Json
    blob: bytes = b""


ReplyCallback = Callable[[Result[Reply, RequestFailure]], None]
"""Called once with the reply to a request, or with the reason why there is none."""

Respond = Callable[[Json, bytes], None]
"""Sends the reply to a request: a JSON object, and bytes beside it."""


class TimerHandle(Protocol):
    """A timer that has not fired."""

    def cancel(self) -> None:
        """Keep the timer from firing; no effect once it has fired."""


class Runtime(Protocol):
    """Clock, timers, random numbers and peers, as the decisions of one process see them.

    Callbacks run one at a time, and never before the call that takes them has returned.
    """

    rng: random.Random
    """The only source of random numbers, so that the simulation can reproduce them from a seed."""

    def now(self) -> float:
        """Seconds of the monotonic clock; only differences mean something."""

    def wall_clock(self) -> float:
        """Seconds since the Unix epoch; the clocks of nodes differ a little."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call `callback` once, after so many seconds."""

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification; whether it arrives is not known.

        Typed messages are sent by `rpc.messages.send`.

        :param address: the peer, as `host:port`.
        """

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request.

        Typed messages are sent by `rpc.messages.request`.

        :param address: the peer, as `host:port`.
        :param timeout_s: seconds until the request counts as timed out.
        :param on_reply: called exactly once, with the reply or with the reason why there is none.
        """


class CallVerdict(Enum):
    """How a call of an endpoint ended. The values are historical; recorded simulated days have them."""

    ANSWERED = "answered"
    NOT_CONNECTED = "unreached"  # no connection, or the request was not sent completely: it has not run
    CONNECTION_LOST = "broken"  # the connection ended, or its response was not to this call: it may have run
    TIMED_OUT = "silent"  # no response in time: it may have run, or may do so yet

    @property
    def description(self) -> str:
        """In words, as counters name it."""
        return self.name.lower().replace("_", " ")


@value
class EndpointCall:
    """A call of an endpoint.

    :param address: of the endpoint, as `host:port`.
    :param instance: which start of the endpoint is meant.
    :param attempt_id: identifies this call among all calls for the message.
    :param headers: of the request as it was received.
    :param timeout_s: seconds until the call counts as timed out.
    """

    address: str
    instance: str
    attempt_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    timeout_s: float


@value
class CallResult:
    """The outcome of a call.

    :param status: of the HTTP response; 0 where there is none.
    :param headers: of the response, with names in lower case.
    """

    verdict: CallVerdict
    status: int = 0
    headers: Headers = ()

    def header(self, name: str) -> str | None:
        """The first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class Endpoints(Protocol):
    """Calls of endpoints, over connections that are kept."""

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        """Call an endpoint; `on_result` is called exactly once."""

    def available_connections(self, address: str) -> int:
        """How many connections to an endpoint could carry a call at once."""

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an endpoint that has gone."""


class WriteFailureReason(Enum):
    """Why a write to a disk failed; the value is the text for logs."""

    OUT_OF_SPACE = "no space is left"
    IO_ERROR = "the disk failed"
    DATABASE_ERROR = "the database rejected it"


@value
class WriteFailure:
    """A write to a disk of which nothing is there.

    :param detail: what the database reported; empty where there is nothing more to say.
    """

    reason: WriteFailureReason
    detail: str = ""

    def __str__(self) -> str:
        """The text for logs."""
        return f"{self.reason.value}: {self.detail}" if self.detail else self.reason.value


OnWritten = Callable[[WriteFailure | None], None]
"""Called once at the end of a write: with None when it is on disk, else with the reason why it is not."""


class Disk(Protocol):
    """Durable writes."""

    def write(self, statements: list[SqlStatement], on_written: OnWritten, /) -> None:
        """Execute statements in one transaction with others that are pending."""
