"""Decodes submissions over HTTP: validates requests, and maps refusals and errors to responses."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from amberlug.core.messages import MAX_BODY_BYTES, Message, Reason, Refusal, is_valid_name
from amberlug.policy.interface import Effect, Settings

BODY_TOO_LONG = "the body is over 64 KiB"
SINGLE_HEADERS = ("req-id", "req-kind", "req-owner", "req-deadline-ms", "envelope", "idempotency-key")

HttpResponse = tuple[int, str, int]  # status, text, microseconds after which to retry


def answer(refusal: Refusal | None) -> HttpResponse:
    """Map a decision to the response: accepted, or refused with the time after which to retry."""
    if refusal is None:
        return 202, "", 0
    return 429 if refusal.reason is Reason.REFUSED else 503, refusal.reason.value, refusal.retry_us


class BadRequestError(ValueError):
    """A request that is rejected with a status and a line of text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _read_token(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name.lower(), "")
    if not is_valid_name(value):
        raise BadRequestError(400, f"{name} is missing or malformed")
    return value


def _read_number(text: str, what: str, most: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= most):
        raise BadRequestError(400, f"{what} is missing or malformed")
    return int(text)


def reject_by_headers(headers: Sequence[tuple[bytes, bytes]]) -> tuple[int, str] | None:
    """The status and text if a request is rejected by its headers, else None; names must be in lower case."""
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        # Prevents request smuggling: it is ambiguous which of the two headers delimits the body.
        return 400, "Content-Length and Transfer-Encoding contradict each other"
    if any(names.count(name.encode()) > 1 for name in SINGLE_HEADERS):
        return 400, "a field is given twice"
    lengths = [value for name, value in headers if name == b"content-length"]
    if lengths and not lengths[0].isdigit():
        return 400, "Content-Length is malformed"
    return (413, BODY_TOO_LONG) if lengths and int(lengths[0][:18]) > MAX_BODY_BYTES else None


def check_route(settings: Settings, method: str, path: str) -> None:
    """Raise `BadRequestError` if the path or the method is not that of a submission."""
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
    """Decode a submission to the message and the time that it has left, in microseconds."""
    name, class_name = _read_token(headers, "Req-Id"), _read_token(headers, "Req-Kind")
    message_class = settings.classes.get(class_name)
    if message_class is None or path.strip("/").split("/")[0] != class_name:
        raise BadRequestError(400, "Req-Kind is unknown or differs from the path")
    tenant = _read_token(headers, "Req-Owner") if settings.tenants or "req-owner" in headers else None
    if settings.tenants and tenant not in settings.tenants:
        raise BadRequestError(400, "Req-Owner is unknown")
    left_ms = _read_number(headers.get("req-deadline-ms", "").strip(), "Req-Deadline-Ms", 10**9)
    fields = dict(part.strip().partition("=")[::2] for part in headers.get("envelope", "").split(";"))
    destination = _read_number(fields.get("dest", ""), "dest", 10**9)
    # Prevents accepting messages that cannot be sent, and state for every number that a client makes up.
    if not serves(destination):
        raise BadRequestError(404, "no such destination")
    keyed = message_class.effect is Effect.KEYED or "idempotency-key" in headers
    key = _read_token(headers, "Idempotency-Key") if keyed else None
    message = Message(name, class_name, tenant, destination, key, body, now_ms + left_ms)
    return message, left_ms * 1000
