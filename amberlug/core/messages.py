"""The relay's in-memory representation of messages, delivery attempts and final outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from amberlug.policy.interface import Result

MAX_NAME_LENGTH = 128  # longest message ID, idempotency key or tenant name
MAX_BODY_BYTES = 1 << 16  # largest body, in bytes


def is_valid_name(text: str) -> bool:
    """Return whether a text is valid as an ID, key or name in every supported protocol."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isascii() and text.isprintable() and " " not in text


class Reason(Enum):
    """Why a message was not accepted."""

    REFUSED = "refused"  # by the delivery policy
    OLD_LIST = "the list of endpoints is too old: discovery does not confirm it"
    NO_ROOM = "no room"
    CLOSING = "closing"
    ELSEWHERE = "another relay of this process has it"
    SHORT = "too few relays can hold it"
    FOLLOWED = "another relay has taken it on"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A message that was not accepted; the client may safely retry after `retry_us` microseconds."""

    reason: Reason
    retry_us: int


class PendingRequest(Protocol):
    """A client's request to accept a message, waiting for the response."""

    def settle(self, refusal: Refusal | None) -> None:
        """Report acceptance (None) or refusal; ignored if the client has disconnected."""


@dataclass(slots=True, eq=False)
class Message:
    """A message from a client, to be delivered to an endpoint."""

    name: str
    message_class: str
    tenant: str | None
    destination: int
    key: str | None
    body: bytes
    deadline_ms: int  # Unix time in milliseconds
    ref: int = 0
    taken: bool = False
    over: bool = False
    attempts: int = 0
    exchanges: list[PendingRequest] = field(default_factory=list)
    # Reply address, interpreted only by the front end that received the message; whether the platform is
    # notified of the outcome as well; and how often these two were changed.
    reply: bytes = b""
    noticed: bool = True
    replies: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One delivery attempt for one message."""

    message: Message
    number: int
    endpoint: str
    start_us: int
    until_us: int
    called_off: bool = False
    ended: bool = False
    reused: bool = False  # sent on a connection that has carried an earlier call
    idle_us: int = 0  # how long that connection had been idle


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt or a probe ended; `over` if the message needs no further attempt."""

    result: Result
    wait_us: int = 0
    over: bool = False
    report: tuple[float, ...] = ()


class Outcome(Enum):
    """The final outcome of an accepted message."""

    DELIVERED = "delivered"
    HANDED_BACK = "handed_back"  # it took no effect or may be repeated: the client can safely retry
    GIVEN_UP = "given_up"  # it may have taken effect, or its deadline has passed


@dataclass(frozen=True, slots=True)
class End:
    """The final outcome of a message; if handed back, the client may retry after `retry_ms` milliseconds."""

    message: str
    outcome: Outcome
    retry_ms: int = 0
    known: bool = False  # the sender knows it already: an endpoint reported it as over
    reply: bytes = b""  # reply address of the message
    noticed: bool = True

    @property
    def retry_after(self) -> float:
        """Seconds until the client may retry."""
        return self.retry_ms / 1000
