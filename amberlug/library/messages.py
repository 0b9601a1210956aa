"""The messages that a host submits, and the errors that a submission can raise."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, field

from amberlug.core import messages as core
from amberlug.core.messages import MAX_BODY_BYTES, Reason, is_valid_name
from amberlug.policy.interface import Effect, Settings

DEADLINE_MOST = 1_000_000.0  # longest deadline, in seconds


class RefusedError(Exception):
    """The message was not accepted; it may safely be submitted again, here or elsewhere.

    `retry_after` is the number of seconds after which a retry may succeed, `reason` why it was refused.
    """

    def __init__(self, reason: Reason, retry_after: float) -> None:
        super().__init__(f"{reason.value}; retry after {retry_after:.3f} s")
        self.reason, self.retry_after = reason, retry_after


class RelayClosedError(Exception):
    """The relay is not open. Accepted messages are in its folder and are resumed when it is opened again."""


class AcknowledgedError(ValueError):
    """A message with that id was accepted before, and its outcome has been acknowledged."""


class BadMessageError(ValueError):
    """The message is invalid and is never accepted, whatever the state of the relay."""


def new_id() -> str:
    """Generate a unique message id."""
    return secrets.token_hex(16)


@dataclass(frozen=True, slots=True)
class Message:
    """A message for one destination.

    `deadline` is the number of seconds from submission within which it may be delivered; the default is set
    by its class. The id identifies the message for deduplication: the same id is never accepted twice.
    """

    destination: int
    message_class: str
    body: bytes = b""
    id: str = field(default_factory=new_id)
    key: str | None = None
    tenant: str | None = None
    deadline: float | None = None

    def checked(self, settings: Settings, now_ms: int) -> tuple[core.Message, int]:
        """Validate and convert to the core's message and the microseconds left; raises `BadMessageError`."""
        kind = settings.classes.get(self.message_class)
        if kind is None:
            raise BadMessageError(f"message_class {self.message_class!r} is unknown")
        tokens = {"id": self.id, "key": self.key, "tenant": self.tenant}
        for what, word in tokens.items():
            if word is not None and not (isinstance(word, str) and is_valid_name(word)):
                raise BadMessageError(f"{what} is malformed: {word!r:.200}")
        if settings.tenants and self.tenant not in settings.tenants:
            raise BadMessageError(f"tenant {self.tenant!r} is unknown")
        if kind.effect is Effect.KEYED and self.key is None:
            raise BadMessageError(f"a message of class {self.message_class!r} needs a key")
        if not isinstance(self.body, bytes) or len(self.body) > MAX_BODY_BYTES:
            raise BadMessageError(f"the body must be bytes, at most {MAX_BODY_BYTES} of them")
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
