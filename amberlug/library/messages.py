"""What a host hands in, and the errors that it can meet."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from amberlug.core import messages as core
from amberlug.core.messages import MAX_BODY_BYTES, Reason, is_valid_name
from amberlug.policy.interface import Effect, Settings

DEADLINE_MOST = 1_000_000.0  # seconds


class RefusedError(Exception):
    """The message was not taken on: handing it in again, here or elsewhere, does no harm.

    `retry_after` tells in how many seconds that may help, `reason` why it was refused.
    """

    def __init__(self, reason: Reason, retry_after: float) -> None:
        super().__init__(f"{reason.value}; try again in {retry_after:.3f} s")
        self.reason, self.retry_after = reason, retry_after


class RelayClosedError(Exception):
    """The relay is not open. What it had taken on is in its folder, and goes on when that is opened again."""


class AcknowledgedError(ValueError):
    """A message with that id was taken on before, and its end has been acknowledged."""


class BadMessageError(ValueError):
    """A message that can't be taken on, whatever the state of the relay."""


def new_id() -> str:
    """Make an id that no other message has."""
    return secrets.token_hex(16)


@dataclass(frozen=True, slots=True)
class Message:
    """A message for one destination.

    `deadline` is how many seconds it may still be delivered, from the hand-in on; without one its class
    tells. The id is how a message is known again: the same id is never taken on twice.
    """

    destination: int
    message_class: str
    body: bytes = b""
    id: str = field(default_factory=new_id)
    key: str | None = None
    tenant: str | None = None
    deadline: float | None = None

    def checked(self, settings: Settings, now_ms: int) -> tuple[core.Message, int]:
        """The relay's own record of it, and the microseconds left; `BadMessageError` where it is bad."""
        kind = settings.classes.get(self.message_class)
        if kind is None:
            raise BadMessageError(f"message_class {self.message_class!r} is unknown")
        words = {"id": self.id, "key": self.key, "tenant": self.tenant}
        for what, word in words.items():
            if word is not None and not (isinstance(word, str) and is_valid_name(word)):
                raise BadMessageError(f"{what} is malformed: {word!r:.200}")
        if settings.tenants and self.tenant not in settings.tenants:
            raise BadMessageError(f"tenant {self.tenant!r} is unknown")
        if kind.effect is Effect.KEYED and self.key is None:
            raise BadMessageError(f"a message of class {self.message_class!r} needs a key")
        if not isinstance(self.body, bytes) or len(self.body) > MAX_BODY_BYTES:
            raise BadMessageError(f"the body is no bytes, or over {MAX_BODY_BYTES} of them")
        seconds = kind.deadline_us / 1e6 if self.deadline is None else self.deadline
        if not 0 <= seconds <= DEADLINE_MOST:
            raise BadMessageError(f"deadline is out of range: {seconds!r}")
        left_us = int(seconds * 1e6)
        message = core.Message(
            self.id,
            self.message_class,
            self.tenant,
            self.destination,
            self.key,
            self.body,
            now_ms + left_us // 1000,
        )
        return message, left_us
