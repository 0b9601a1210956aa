"""Parses the requests of one connection. No I/O.

Stricter than RFC 9112: input that two parsers could interpret differently is rejected, since a proxy in front
of this server may have interpreted it the other way (request smuggling).
"""

from __future__ import annotations

import re
from functools import lru_cache

import h11

from amberlug.cluster.http.message import Request
from amberlug.cluster.interfaces import Headers
from amberlug.cluster.values import value

MAX_CHUNK_HEADER_BYTES = 256  # a chunk's size and extensions
MAX_CHUNKS = 4096  # of one body: many tiny chunks take far more time to parse than their size suggests
END_OF_SECTION = b"\r\n\r\n"  # terminates headers and trailers

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_FIELD = rf"{_TOKEN}:[\t\x20-\x7e\x80-\xff]*"
# Rejected, though h11 accepts them: folded lines, bare CR or LF, control characters, whitespace before a
# colon, targets that are not a path.
_HEAD = re.compile(rf"({_TOKEN}) (/[!\x22$-~]*) HTTP/(1\.[01])((?:\r\n{_FIELD})*)".encode())
_TRAILERS = re.compile(rf"(?:{_FIELD}\r\n)*".encode())
_CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_HOST = re.compile(rb"[0-9A-Za-z\-._~%!$&'()*+,;=:\[\]]*")
# Never valid in a header section, for instance in a TLS ClientHello: rejected without waiting for more.
_INVALID_IN_HEAD = re.compile(rb"(?<!\r)\n|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_FRAMING_HEADERS = frozenset(("host", "content-length", "transfer-encoding", "connection", "expect"))


class RequestRejectedError(Exception):
    """A request that was rejected; nothing after it on the connection can be parsed.

    :param status: status of the response, after which the connection is closed.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@value
class Limits:
    """Size limits and timeouts of requests.

    :param header_bytes: limit of a header section, and of a trailer section.
    :param header_s: timeout for the header section, and between two reads of a body.
    :param idle_s: timeout between a response and the next request.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


@value
class Framing:
    """How a header section frames the body, and whether the connection persists.

    :param body_bytes: length of the body; None if it is chunked.
    :param is_persistent: whether the connection may carry another request.
    :param expects_continue: whether the client waits for an interim response before it sends the body.
    """

    body_bytes: int | None
    is_persistent: bool
    expects_continue: bool


@value
class _Head:
    """A parsed header section."""

    method: str
    target: str
    headers: Headers
    framing: Framing


@lru_cache(256)  # most requests of one client have the same framing headers
def parse_framing(version: str, fields: Headers) -> Framing:
    """Interpret the headers that frame a request.

    :param version: the HTTP version, `1.0` or `1.1`.
    :param fields: the framing headers, with names in lower case.
    :raises RequestRejectedError: if they are invalid or ambiguous.
    """
    raw = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    try:
        request = h11.Request(method=b"GET", target=b"/", headers=raw, http_version=version.encode())
    except h11.LocalProtocolError as error:
        raise RequestRejectedError(400) from error
    by_name = dict(iter(request.headers))
    is_chunked, length = b"transfer-encoding" in by_name, by_name.get(b"content-length")
    # h11 prefers the chunked encoding if both are present, and accepts it in HTTP/1.0.
    if is_chunked and (length is not None or version == "1.0"):
        raise RequestRejectedError(400)
    if not _HOST.fullmatch(by_name.get(b"host", b"")):
        raise RequestRejectedError(400)
    options = {
        option.strip().lower() for name, value in raw if name == b"connection" for option in value.split(b",")
    }
    is_persistent = version == "1.1" and b"close" not in options
    expects_continue = version == "1.1" and by_name.get(b"expect", b"").lower() == b"100-continue"
    return Framing(None if is_chunked else int(length or 0), is_persistent, expects_continue)


class RequestParser:
    """Incremental parser: takes the bytes of a connection and returns its requests one by one."""

    def __init__(self) -> None:
        self.is_persistent = True  # whether the latest request allows another one
        self._buffer = bytearray()  # received but not yet consumed
        self._scanned_bytes = 0  # length of the prefix known not to contain the end of a header section
        self._head: _Head | None = None  # header of a request whose body is incomplete
        self._chunks = bytearray()
        self._chunk_count = 0

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes received but not yet consumed."""
        return len(self._buffer)

    @property
    def is_in_body(self) -> bool:
        """Whether a header section was parsed and its body is incomplete."""
        return self._head is not None

    @property
    def awaits_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body."""
        return self._head is not None and self._head.framing.expects_continue and not self._buffer

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._buffer.clear()

    def next_request(self, limits: Limits) -> Request | None:
        """Parse the next request and remove it from the buffer.

        :returns: None if it is incomplete.
        :raises RequestRejectedError: if it is invalid or exceeds a limit.
        """
        if self._head is None and not self._read_head(limits):
            return None
        head = self._head
        assert head is not None, "the header section must have been read"
        body = self._read_body(head.framing.body_bytes, limits)
        if body is None:
            return None
        self._head = None
        self.is_persistent = head.framing.is_persistent
        return Request(head.method, head.target, head.headers, body)

    def _read_head(self, limits: Limits) -> bool:
        """Consume a header section; False if it is incomplete."""
        buffer = self._buffer
        if not buffer:
            return False
        end = buffer.find(END_OF_SECTION, max(0, self._scanned_bytes - len(END_OF_SECTION) + 1))
        section_bytes = end + len(END_OF_SECTION) if end >= 0 else len(buffer)
        if section_bytes > limits.header_bytes:
            raise RequestRejectedError(431)
        if end < 0:
            if _INVALID_IN_HEAD.search(buffer, self._scanned_bytes):
                raise RequestRejectedError(400)
            self._scanned_bytes = len(buffer)
            return False
        head = _parse_head(buffer, end)
        if (head.framing.body_bytes or 0) > limits.body_bytes:
            raise RequestRejectedError(413)
        self._head = head
        self._scanned_bytes = 0
        self._chunks, self._chunk_count = bytearray(), 0
        del buffer[:section_bytes]
        return True

    def _read_body(self, body_bytes: int | None, limits: Limits) -> bytes | None:
        """Consume a body; None if it is incomplete."""
        if body_bytes is None:
            return bytes(self._chunks) if self._read_chunks(limits) else None
        if len(self._buffer) < body_bytes:
            return None
        body = bytes(self._buffer[:body_bytes])
        del self._buffer[:body_bytes]
        return body

    def _read_chunks(self, limits: Limits) -> bool:
        """Consume complete chunks; True once the last chunk and the trailers were read.

        Not left to h11, which accepts a bare LF after the trailers and any byte in a chunk extension.
        """
        buffer = self._buffer
        while (chunk_header := _CHUNK_HEADER.match(buffer)) is not None:
            size, start = int(chunk_header[1], 16), chunk_header.end()
            if size == 0:
                return self._read_trailers(start, limits)
            if len(self._chunks) + size > limits.body_bytes or self._chunk_count >= MAX_CHUNKS:
                raise RequestRejectedError(413)
            end = start + size
            if len(buffer) < end + 2:
                return False
            if buffer[end : end + 2] != b"\r\n":
                raise RequestRejectedError(400)
            self._chunks += buffer[start:end]
            self._chunk_count += 1
            del buffer[: end + 2]
        if b"\n" in buffer[:MAX_CHUNK_HEADER_BYTES] or len(buffer) >= MAX_CHUNK_HEADER_BYTES:
            raise RequestRejectedError(400)
        return False

    def _read_trailers(self, start: int, limits: Limits) -> bool:
        """Consume the trailer section, which is ignored; False if it is incomplete.

        :param start: its offset in the buffer, after the header of the last chunk.
        """
        buffer = self._buffer
        end = buffer.find(END_OF_SECTION, start - 2)  # without trailers, it starts in that header
        if end < 0 and len(buffer) <= limits.header_bytes:
            return False
        if end < 0 or end + len(END_OF_SECTION) - start > limits.header_bytes:
            raise RequestRejectedError(431)
        if not _TRAILERS.fullmatch(buffer, start, end + 2):
            raise RequestRejectedError(400)
        del buffer[: end + len(END_OF_SECTION)]
        return True


def _parse_head(buffer: bytearray, end: int) -> _Head:
    """Parse the header section that ends at the offset `end`."""
    match = _HEAD.fullmatch(buffer, 0, end)
    if match is None:
        raise RequestRejectedError(400)
    method, target, version, fields = match.groups()
    pairs = [field.partition(":") for field in fields.decode("latin-1").split("\r\n")[1:]]
    headers = tuple([(name.lower(), value.strip(" \t")) for name, _, value in pairs])
    framing_headers = tuple([header for header in headers if header[0] in _FRAMING_HEADERS])
    framing = parse_framing(version.decode(), framing_headers)
    return _Head(method.decode(), target.decode(), headers, framing)
