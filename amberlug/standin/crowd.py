"""Tens of thousands of simulated endpoints in one process, and clients fast enough to wake many at once.

Endpoints share a few listeners on loopback, so that file descriptors are used by calls and not by endpoints:
the message name, `<destination>-<anything>`, tells which endpoint a call is for. A message that is handed
back is submitted again under a new id, `<name>~<times>`. HTTP parsing is minimal, so that this process is not
the bottleneck.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from amberlug.standin.wire import Platform, Seen

BODY = b"x" * 300
# Seconds after a retry delay was sent in which calls may already have been in flight.
RETRY_DELAY_TRANSIT = 0.1
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Behavior(Enum):
    """How an endpoint answers."""

    WELL = "well"
    SLOW = "slow"  # after the crowd's `slow` seconds
    REFUSES = "refuses"  # refuses the first call with a retry delay
    SILENT = "silent"  # never answers
    DEAD = "dead"  # resets the connection


@dataclass(slots=True)
class DestinationStats:
    """Call statistics of one destination; times by the loop's clock, in seconds."""

    first: float = 0.0
    calls: int = 0
    out: int = 0
    most: int = 0  # maximum of concurrent calls
    told: float = 0.0  # when the last retry delay was sent
    wait_until: float = 0.0
    early: int = 0  # calls received before a retry delay was over


@dataclass(slots=True)
class Crowd:
    """Endpoints of any number of destinations, on `listeners` ports of 127.0.0.1.

    `behavior` returns how a destination answers; `gone` holds removed ones that must get no more calls.
    """

    behavior: Callable[[int], Behavior] = lambda destination: Behavior.WELL
    listeners: int = 16
    quick: float = 0.02  # seconds until a normal response
    slow: float = 1.5
    wait_ms: int = 1500
    called: dict[int, DestinationStats] = field(default_factory=dict)
    delivered: dict[str, float] = field(default_factory=dict)  # delivery time by message name
    gone: set[int] = field(default_factory=set)
    late: int = 0  # calls to removed destinations
    _servers: list[asyncio.Server] = field(default_factory=list)
    _ports: list[int] = field(default_factory=list)

    async def start(self) -> Crowd:
        """Open the listeners on free ports."""
        loop = asyncio.get_running_loop()
        for _ in range(self.listeners):
            server = await loop.create_server(lambda: _Served(self), "127.0.0.1", 0, backlog=1024)
            self._servers.append(server)
            self._ports.append(server.sockets[0].getsockname()[1])
        return self

    async def stop(self) -> None:
        """Close the listeners; open connections stay."""
        for server in self._servers:
            server.close()

    def member(self, destination: int, phase: str = "in_service", life: int = 0) -> dict[str, Any]:
        """Return an endpoint as discovery lists it; each `life` has a different endpoint id."""
        port = self._ports[destination % self.listeners]
        return {
            "id": f"s-{destination:06x}-{life}",
            "host_port": f"127.0.0.1:{port}",
            "locality": "a",
            "flavor": "plain",
            "cell": destination,
            "phase": phase,
            "size": 0.0,
            "up_since_ms": 0,
        }

    def members(self, destinations: Iterable[int], life: int = 0) -> list[dict[str, Any]]:
        """Return the endpoints of several destinations as discovery lists them."""
        return [self.member(destination, life=life) for destination in destinations]

    def call(self, name: str, served: _Served) -> None:
        """Record a call, and answer it according to its destination's behavior."""
        loop = asyncio.get_running_loop()
        now, destination = loop.time(), int(name.partition("-")[0])
        it = self.called.setdefault(destination, DestinationStats(now))
        it.calls, it.out = it.calls + 1, it.out + 1
        it.most = max(it.most, it.out)
        it.early += now < it.wait_until and now > it.told + RETRY_DELAY_TRANSIT
        self.late += destination in self.gone
        behavior = self.behavior(destination)
        if behavior is Behavior.DEAD:
            it.out -= 1
            served.abort()
        elif behavior is Behavior.REFUSES and it.calls == 1:
            it.told = now + self.quick
            it.wait_until = it.told + self.wait_ms / 1000
            head = f"HTTP/1.1 429 Later\r\nWait-Ms: {self.wait_ms}\r\nContent-Length: 0\r\n\r\n"
            loop.call_later(self.quick, self._answer, it, served, None, head.encode())
        elif behavior is not Behavior.SILENT:
            seconds = self.slow if behavior is Behavior.SLOW else self.quick
            loop.call_later(seconds, self._answer, it, served, name, OK)

    def _answer(self, it: DestinationStats, served: _Served, name: str | None, answer: bytes) -> None:
        it.out -= 1
        if served.write(answer) and name is not None:
            self.delivered.setdefault(name.partition("~")[0], asyncio.get_running_loop().time())


class _Served(asyncio.Protocol):
    """One connection to the simulated endpoints."""

    def __init__(self, crowd: Crowd) -> None:
        self._crowd, self._rest = crowd, b""
        self._open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._open = transport, True

    def connection_lost(self, error: Exception | None) -> None:
        self._open = False

    def abort(self) -> None:
        self._transport.abort()

    def write(self, data: bytes) -> bool:
        """Write if the connection is still open; return whether it is."""
        if self._open:
            self._transport.write(data)
        return self._open

    def data_received(self, data: bytes) -> None:
        self._rest += data
        while self._open and (found := _request(self._rest)) is not None:
            name, self._rest = found
            self._crowd.call(name, self)


def _request(data: bytes) -> tuple[str, bytes] | None:
    """Return the message name of a complete request, and the remaining bytes."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        return None
    headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    length = int(headers.get(b"content-length", b"0"))
    return (headers[b"req-id"].decode(), rest[length:]) if len(rest) >= length else None


@dataclass(slots=True)
class SubmittedMessage:
    """A submitted message: when it was first submitted, its latest status, and how often it was repeated."""

    made: float
    message_class: str
    deadline: float  # seconds after `made`
    client: Client
    status: int = 0
    lives: int = 0  # how often it was handed back; each time it is submitted under a new id
    ended: str = ""  # the latest reported outcome


class Client(asyncio.Protocol):
    """A client with one persistent connection; refused messages are submitted again after the given delay."""

    def __init__(self, told: dict[str, SubmittedMessage]) -> None:
        self._told, self._rest = told, b""
        self._asked: list[tuple[str, bytes]] = []
        self._ready = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Allow messages to be submitted on the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._ready = transport, True

    def connection_lost(self, error: Exception | None) -> None:
        """Stop submitting messages."""
        self._ready = False

    def hand_in(self, name: str, message_class: str, deadline: float) -> None:
        """Queue a new message, and submit it again whenever it is refused; `deadline` in seconds."""
        self._told[name] = SubmittedMessage(asyncio.get_running_loop().time(), message_class, deadline, self)
        self.ask(name)

    def ask(self, name: str) -> None:
        """Submit a message for the first time or again, unless its deadline has passed."""
        told = self._told[name]
        left_ms = int((told.made + told.deadline - asyncio.get_running_loop().time()) * 1000)
        if left_ms < 1 or not self._ready:
            return
        again = f"~{told.lives}" if told.lives else ""
        head = (
            f"POST /{told.message_class} HTTP/1.1\r\nHost: relay\r\nReq-Id: {name}{again}\r\n"
            f"Req-Kind: {told.message_class}\r\nReq-Deadline-Ms: {left_ms}\r\n"
            f"Envelope: dest={name.partition('-')[0]}\r\nIdempotency-Key: k-{name}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        self._asked.append((name, head.encode() + BODY))
        if len(self._asked) == 1:
            self._transport.write(self._asked[0][1])

    def data_received(self, data: bytes) -> None:
        """Process complete responses: schedule retries of refused messages, and send the next request."""
        self._rest += data
        while self._asked and (found := _response(self._rest)) is not None:
            status, again, self._rest = found
            name, _ = self._asked.pop(0)
            self._told[name].status = status
            if status in (429, 503):
                asyncio.get_running_loop().call_later(again, self.ask, name)
            if self._asked:
                self._transport.write(self._asked[0][1])


def _response(data: bytes) -> tuple[int, float, bytes] | None:
    """Return the status of a complete response, its retry delay in seconds, and the remaining bytes."""
    head, end, rest = data.partition(b"\r\n\r\n")
    if not end:
        return None
    first, *lines = head.lower().split(b"\r\n")
    headers = dict(line.split(b": ", 1) for line in lines)
    length = int(headers.get(b"content-length", b"0"))
    if len(rest) < length:
        return None
    return int(first.split()[1]), float(headers.get(b"retry-after", b"1")), rest[length:]


def ends(told: Iterable[SubmittedMessage]) -> Counter[int]:
    """Count submitted messages by status."""
    return Counter(it.status for it in told)


class Directory(Platform):
    """The platform: streams endpoint lists, and has clients submit again what was handed back."""

    def __init__(self, told: dict[str, SubmittedMessage]) -> None:
        super().__init__()
        self._handed_in = told
        self.revision = 1
        self.on_request = self._requested

    def whole(self, members: list[dict[str, Any]]) -> None:
        """Send a complete list, which removes all endpoints not in it."""
        self.revision += 1
        news = {"revision": self.revision, "complete": True, "members": members}
        self.tell(json.dumps(news).encode())

    def _requested(self, seen: Seen) -> bool:
        if seen.path == "/v1/notices":
            for line in seen.body.splitlines():
                self._ended(json.loads(line))
        return self._watch(seen)

    def _ended(self, notice: dict[str, Any]) -> None:
        name, _, life = notice["message"].partition("~")
        told = self._handed_in.get(name)
        if told is None or int(life or 0) != told.lives:
            return  # submitted by another client, or reported before
        told.ended = notice["outcome"]
        if told.ended == "handed_back":
            told.lives += 1
            after = notice.get("retry_in_ms", 1000) / 1000
            asyncio.get_running_loop().call_later(after, told.client.ask, name)
