"""A minimal HTTP/1.1 client and the request reader of the stand-in endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

MAX_HEAD_BYTES = 1 << 16

Headers = list[tuple[str, str]]


@dataclass
class Answer:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


@dataclass
class Arrival:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def encode_request(method: str, path: str, headers: Headers, body: bytes) -> bytes:
    """Encode a request; the caller gives the `Host` header."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {text}\r\n" for name, text in fields)
    return head.encode("latin-1") + b"\r\n" + body


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """Read a start line and headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(":")
        if name:
            headers[name.lower()] = text.strip()
    return lines[0].split(" ", 2), headers


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Read one response with a declared length; None if it does not arrive completely."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Answer(int(start[1]), headers, body)


@dataclass
class Call:
    """A request to be made; without a `Host` header, the address is sent."""

    method: str
    path: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""


async def send(address: str, call: Call, wait_s: float = 2.0) -> Answer | None:
    """Make one call over a new connection; None if no complete answer comes in time."""
    host, port = split_address(address)
    headers = list(call.headers)
    if not any(name.lower() == "host" for name, _ in headers):
        headers.insert(0, ("Host", address))
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port, limit=MAX_HEAD_BYTES)
            writer.write(encode_request(call.method, call.path, headers, call.body))
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


async def read_request(reader: asyncio.StreamReader) -> Arrival | None:
    """Read one request with a declared length; None if the stream ends."""
    head = await read_head(reader)
    if head is None:
        return None
    (method, path, _), headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Arrival(method, path, headers, body)


def encode_answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Encode a response with a declared length."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    head = f"HTTP/1.1 {status} x\r\n" + "".join(f"{name}: {text}\r\n" for name, text in fields)
    return head.encode("latin-1") + b"\r\n" + body
