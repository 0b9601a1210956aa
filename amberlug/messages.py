"""The relay's own record of a message and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from stoatusher.interface import Result


class Exchange(Protocol):
    """A client's request that waits for its answer."""

    def answer(self, status: int, text: str = "", retry_us: int = 0) -> None:
        """Answer it; a client that has hung up is passed over."""


@dataclass(slots=True, eq=False)
class Message:
    """A message from a client, as it goes on to an endpoint."""

    name: str
    message_class: str
    tenant: str | None
    destination: int
    key: str | None
    body: bytes
    deadline_ms: int  # wall clock
    ref: int = 0
    taken: bool = False
    over: bool = False
    attempts: int = 0
    exchanges: list[Exchange] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of one message, on its way."""

    message: Message
    number: int
    endpoint: str
    start_us: int
    until_us: int
    called_off: bool = False
    ended: bool = False
    reused: bool = False  # it leaves on a connection that has carried another call


@dataclass(frozen=True, slots=True)
class Ending:
    """How an attempt or a probe ended; `over` where nothing more is owed for the message."""

    result: Result
    wait_us: int = 0
    over: bool = False
    report: tuple[float, ...] = ()
