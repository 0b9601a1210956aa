"""HTTP/1.1 requests and responses as values, and the encoding of responses. No I/O."""

from __future__ import annotations

from functools import lru_cache
from http import HTTPStatus

from amberlug.cluster.interfaces import Headers
from amberlug.cluster.values import value

# Statuses whose responses have neither a body nor a Content-Length (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset((*range(100, 200), 204, 304))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@value
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """The first value of a header, by its name in lower case."""
        return next((content for key, content in self.headers if key == name), None)


@value
class Response:
    """A response; the server adds the Content-Length and Connection headers.

    :param close: whether the connection is closed after this response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    close: bool = False


@lru_cache(128)
def _encode_status(status: int) -> str:
    is_registered = status in HTTPStatus.__members__.values()
    return f"HTTP/1.1 {status} {HTTPStatus(status).phrase if is_registered else ''}\r\n"


def encode_response(response: Response, is_head: bool, is_last: bool) -> bytes:
    """Encode a response.

    :param is_head: whether it responds to a HEAD request, and is sent without its body.
    :param is_last: whether the connection is closed after it.
    :raises ValueError: if a header contains a line break, which would allow header injection and response
        splitting.
    """
    fields = "".join([f"{name}: {value}\r\n" for name, value in response.headers])
    if not fields.count("\r") == fields.count("\n") == len(response.headers):
        raise ValueError("response header contains a line break")
    is_bodiless = response.status in BODILESS_STATUSES
    length = "" if is_bodiless else f"Content-Length: {len(response.body)}\r\n"
    close = "Connection: close\r\n" if is_last else ""
    head = f"{_encode_status(response.status)}{fields}{length}{close}\r\n".encode("latin-1")
    return head if is_bodiless or is_head else head + response.body
