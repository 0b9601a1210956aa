"""The relay's own record of a message, of its attempts and of its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from amberlug.policy.interface import Result

NAME_MOST = 128  # longest id, key or name of a tenant
BODY_MOST = 1 << 16  # longest body, in bytes


def is_word(text: str) -> bool:
    """Whether a text may stand for an id, a key or a name on every wire that it can pass."""
    return 0 < len(text) <= NAME_MOST and text.isascii() and text.isprintable() and " " not in text


class Reason(Enum):
    """Why a message was not taken on."""

    REFUSED = "refused"  # by the decision module
    OLD_LIST = "the list of endpoints is too old: discovery does not confirm it"
    NO_ROOM = "no room"
    CLOSING = "closing"
    ELSEWHERE = "another relay of this process has it"
    SHORT = "too few relays can hold it"
    FOLLOWED = "another relay has taken it on"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A message that was not taken on; its client may safely come again after so many microseconds."""

    reason: Reason
    retry_us: int


class Exchange(Protocol):
    """A client's hand-in that waits for its answer."""

    def settle(self, refusal: Refusal | None) -> None:
        """Tell it that the message was taken on (None) or refused; one that has left is passed over."""


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
    # Where its front tells its end, if anywhere: only that front reads it. Whether the platform is told, too;
    # and how often that was changed.
    reply: bytes = b""
    noticed: bool = True
    replies: int = 0


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
    idle_us: int = 0  # which had idled for so long


@dataclass(frozen=True, slots=True)
class Ending:
    """How an attempt or a probe ended; `over` where nothing more is owed for the message."""

    result: Result
    wait_us: int = 0
    over: bool = False
    report: tuple[float, ...] = ()


class Outcome(Enum):
    """The three ways in which a message that was taken on can end."""

    DELIVERED = "delivered"
    HANDED_BACK = "handed_back"  # it never took effect, or may be repeated: trying again does no harm
    GIVEN_UP = "given_up"  # it may have taken effect, or its time is up: no promise


@dataclass(frozen=True, slots=True)
class End:
    """The one end of a message; after a hand-back its client may come again in `retry_ms` milliseconds."""

    message: str
    outcome: Outcome
    retry_ms: int = 0
    known: bool = False  # whoever handed it in knows it already: an endpoint said that it is over
    reply: bytes = b""  # of its message
    noticed: bool = True

    @property
    def retry_after(self) -> float:
        """Seconds until the client may come again."""
        return self.retry_ms / 1000
