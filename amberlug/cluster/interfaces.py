"""Interfaces of the cluster logic to its environment: clock, timers, randomness, peers, disk, endpoints.

The logic performs no I/O itself and depends only on these protocols. `process` implements them with real
sockets, clocks and disks; `simulation` implements them deterministically in virtual time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from result import Result

from amberlug.cluster.values import value

Json = dict[str, Any]
"""A JSON object of a frame, a database row or an HTTP body. Only codecs access its fields."""

Headers = tuple[tuple[str, str], ...]
"""HTTP header fields as (name, value) pairs, in order."""

SqlStatement = tuple[str, tuple[Any, ...]]
"""An SQL statement and its bound parameters."""


class RequestFailure(Enum):
    """Why a request to a peer received no reply."""

    NOT_SENT = "unsent"  # no byte was written, so the peer cannot have processed the request
    CONNECTION_LOST = "broken"  # the connection closed first: the peer may have processed the request
    TIMED_OUT = "silent"  # no reply in time: the peer may have processed the request, or may still do so


@value
class RawMessage:
    """An encoded message: its wire tag, JSON body and binary payload."""

    tag: str
    body: Json
    payload: bytes = b""


@value
class Reply:
    """An encoded reply of a peer: its JSON body and binary payload."""

    body: Json
    blob: bytes = b""


ReplyCallback = Callable[[Result[Reply, RequestFailure]], None]
"""Called once with the reply to a request or the reason for its failure."""

Respond = Callable[[Json, bytes], None]
"""Sends the reply to a request: a JSON body and a binary payload."""


class TimerHandle(Protocol):
    """Handle of a scheduled timer."""

    def cancel(self) -> None:
        """Cancel the timer; has no effect once it has fired."""


class Runtime(Protocol):
    """Clock, timers, random numbers and peer messaging of one process.

    Callbacks run one at a time, and never before the call they were passed to has returned.
    """

    rng: random.Random
    """The only source of random numbers, so that the simulation can reproduce a run from its seed."""

    def now(self) -> float:
        """Return the monotonic clock in seconds; only differences are meaningful."""

    def wall_clock(self) -> float:
        """Return the seconds since the Unix epoch; clocks of different nodes may deviate slightly."""

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call `callback` once, after `delay_s` seconds."""

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification without delivery guarantee.

        Use `rpc.messages.send` for typed messages.

        :param address: the peer, as `host:port`.
        """

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request.

        Use `rpc.messages.request` for typed messages.

        :param address: the peer, as `host:port`.
        :param timeout_s: seconds until the request times out.
        :param on_reply: called exactly once, with the reply or the reason for the failure.
        """


CONNECT_TIMEOUT_S = 0.7
"""The time for which a call of an endpoint waits for a new connection."""


class CallVerdict(Enum):
    """The result of an endpoint call. The values are historical: recorded simulation runs contain them."""

    ANSWERED = "answered"
    NOT_CONNECTED = "unreached"  # not connected, or the request was not sent completely: not executed
    CONNECTION_LOST = "broken"  # connection lost or mismatched response: possibly executed
    TIMED_OUT = "silent"  # no response in time: possibly executed, or may still be

    @property
    def description(self) -> str:
        """The verdict in words, as used in counter names."""
        return self.name.lower().replace("_", " ")


@value
class EndpointCall:
    """A call to an endpoint.

    :param address: the endpoint, as `host:port`.
    :param instance: the endpoint instance (one start of its process) that the call is meant for.
    :param attempt_id: identifies this call among all calls for the message.
    :param headers: the headers of the request as received.
    :param timeout_s: seconds until the call times out, without the time to connect.
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

    :param status: HTTP status of the response; 0 if there is no response.
    :param headers: headers of the response, with names in lower case.
    """

    verdict: CallVerdict
    status: int = 0
    headers: Headers = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, given its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class Endpoints(Protocol):
    """Calls endpoints over persistent connections."""

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        """Call an endpoint; `on_result` is called exactly once."""

    def available_connections(self, address: str) -> int:
        """Return the number of connections to an endpoint that can take a call immediately."""

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an endpoint that no longer exists."""


class WriteFailureReason(Enum):
    """Why a disk write failed; the value is the log text."""

    OUT_OF_SPACE = "no space is left"
    IO_ERROR = "the disk failed"
    DATABASE_ERROR = "the database rejected it"


@value
class WriteFailure:
    """A disk write that failed as a whole; none of it was persisted.

    :param detail: the error that the database reported; may be empty.
    """

    reason: WriteFailureReason
    detail: str = ""

    def __str__(self) -> str:
        """Return the log text."""
        return f"{self.reason.value}: {self.detail}" if self.detail else self.reason.value


OnWritten = Callable[[WriteFailure | None], None]
"""Called once when a write completes: with None if it is durable, otherwise with the failure."""


class Disk(Protocol):
    """Durable writes."""

    def write(self, statements: list[SqlStatement], on_written: OnWritten, /) -> None:
        """Execute the statements in one transaction, together with other pending writes."""
