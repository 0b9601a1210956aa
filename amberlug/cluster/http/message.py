"""HTTP/1.1 requests and responses as values, and the bytes of a response. No I/O."""

from __future__ import annotations

from functools import lru_cache
from http import HTTPStatus

from amberlug.cluster.interfaces import Headers
from amberlug.cluster.values import value

# Statuses whose responses have neither a body nor its length (RFC 9112, section 6.3).
BODILESS_STATUSES = frozenset((*range(100, 200), 204, 304))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@value
class Request:
    """A complete request; names of headers are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """The first value of a header, by its name in lower case."""
        return next((content for key, content in self.headers if key == name), None)


@value
class Response:
    """What a request is answered with; the server adds the length and connection headers.

    :param close: whether the connection ends with this response.
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
    """The bytes of a response.

    :param is_head: whether it answers a HEAD request, and so is sent without its body.
    :param is_last: whether the connection ends with it.
    :raises ValueError: where a header holds a line break, which could smuggle in a header or a response.
    """
    fields = "".join([f"{name}: {value}\r\n" for name, value in response.headers])
    if not fields.count("\r") == fields.count("\n") == len(response.headers):
        raise ValueError("a line break in a response's header")
    is_bodiless = response.status in BODILESS_STATUSES
    length = "" if is_bodiless else f"Content-Length: {len(response.body)}\r\n"
    close = "Connection: close\r\n" if is_last else ""
    head = f"{_encode_status(response.status)}{fields}{length}{close}\r\n".encode("latin-1")
    return head if is_bodiless or is_head else head + response.body
