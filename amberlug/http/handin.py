"""Reads a hand-in: what an HTTP request must hold to be a message, and what is said where it does not."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from amberlug.core.messages import MAX_BODY_BYTES, Message, Reason, Refusal, is_valid_name
from amberlug.policy.interface import Effect, Settings

TOO_LONG = "the body is over 64 KiB"
FIELDS = ("req-id", "req-kind", "req-owner", "req-deadline-ms", "envelope", "idempotency-key")

Answer = tuple[int, str, int]  # status, text, microseconds after which to come again


def answer(refusal: Refusal | None) -> Answer:
    """Tell what a client is answered: taken on, or when to come again."""
    if refusal is None:
        return 202, "", 0
    return 429 if refusal.reason is Reason.REFUSED else 503, refusal.reason.value, refusal.retry_us


class BadRequestError(ValueError):
    """A request that is refused with one plain line."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _word(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name.lower(), "")
    if not is_valid_name(value):
        raise BadRequestError(400, f"{name} is missing or malformed")
    return value


def _digits(text: str, what: str, most: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= most):
        raise BadRequestError(400, f"{what} is missing or malformed")
    return int(text)


def refusal_of(headers: Sequence[tuple[bytes, bytes]]) -> tuple[int, str] | None:
    """Tell why a request is refused by its head alone, with its connection; names are in lower case."""
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        # Guards against a second request that stands inside the body: which length holds can't be told.
        return 400, "Content-Length and Transfer-Encoding contradict each other"
    if any(names.count(name.encode()) > 1 for name in FIELDS):
        return 400, "a field is given twice"
    lengths = [value for name, value in headers if name == b"content-length"]
    if lengths and not lengths[0].isdigit():
        return 400, "Content-Length is malformed"
    return (413, TOO_LONG) if lengths and int(lengths[0][:18]) > MAX_BODY_BYTES else None


def check_route(settings: Settings, method: str, path: str) -> None:
    """Raise `BadRequestError` where a request can be no hand-in."""
    if path.strip("/").split("/")[0] not in settings.classes:
        raise BadRequestError(404, "no such path")
    if method != "POST":
        raise BadRequestError(405, "use POST")


def read_message(
    settings: Settings,
    serves: Callable[[int], bool],
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    now_ms: int,
) -> tuple[Message, int]:
    """Read a hand-in: the message and how long it has left, in microseconds."""
    name, class_name = _word(headers, "Req-Id"), _word(headers, "Req-Kind")
    message_class = settings.classes.get(class_name)
    if message_class is None or path.strip("/").split("/")[0] != class_name:
        raise BadRequestError(400, "Req-Kind is unknown or differs from the path")
    tenant = _word(headers, "Req-Owner") if settings.tenants or "req-owner" in headers else None
    if settings.tenants and tenant not in settings.tenants:
        raise BadRequestError(400, "Req-Owner is unknown")
    left_ms = _digits(headers.get("req-deadline-ms", "").strip(), "Req-Deadline-Ms", 10**9)
    fields = dict(part.strip().partition("=")[::2] for part in headers.get("envelope", "").split(";"))
    destination = _digits(fields.get("dest", ""), "dest", 10**9)
    # Guards against taking on what can't be sent, and a record of each number that a client thinks up.
    if not serves(destination):
        raise BadRequestError(404, "no such destination")
    keyed = message_class.effect is Effect.KEYED or "idempotency-key" in headers
    key = _word(headers, "Idempotency-Key") if keyed else None
    message = Message(name, class_name, tenant, destination, key, body, now_ms + left_ms)
    return message, left_ms * 1000
