"""Each client of the HTTP server gets the response to its own request.

Handlers, drawn from a seed, respond late, repeatedly or never, or fail. Clients pipeline their requests, so
that a misplaced response would answer another request of the same connection.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

import pytest

from amberlug.cluster.http.connection import RespondCallback
from amberlug.cluster.http.message import Request, Response
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server
from amberlug.cluster.simulation.mutations_answers import FAULTS
from tests.cluster.memory_loop import End, Loop, run

SERVER_ADDRESS = "10.0.0.3", 8080
CONNECTIONS = 25


class Handlers:
    """Responds immediately, later, never, twice or again to an earlier request, or raises."""

    def __init__(self, loop: Loop, rng: random.Random) -> None:
        self.loop, self.rng = loop, rng
        self.seen: list[str] = []
        self.replies: list[Callable[[], None]] = []

    def handle(self, request: Request, reply: RespondCallback) -> None:
        self.seen.append(request.target)
        body = request.target.encode()

        def answer() -> None:
            with contextlib.suppress(RuntimeError):  # the request already has its response
                reply(Response(200, (("X-For", request.target),), body))

        self.replies.append(answer)
        behavior = self.rng.choice(("once", "once", "later", "later", "twice", "earlier", "never", "fails"))
        if behavior == "fails":
            raise ZeroDivisionError
        if behavior == "earlier":  # a handler responds again to some request at any time
            for _ in range(3):
                self.rng.choice(self.replies)()
        if behavior in ("once", "twice", "earlier"):
            answer()
        if behavior in ("twice", "later"):
            self.loop.call_later(self.rng.uniform(0.0, 0.5), answer)


class Client(asyncio.Protocol):
    """Pipelines requests in pieces of random size, and checks the responses in order."""

    def __init__(self, loop: Loop, rng: random.Random, name: int) -> None:
        self.loop, self.rng, self.buffer = loop, rng, b""
        self.targets = [f"/c{name}-{number}" for number in range(rng.randrange(1, 12))]
        self.sent_bytes = 0
        self.requests = [
            f"POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" for target in self.targets
        ]
        self.data = "".join(self.requests).encode()
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.transport = transport
        self.send()
        if self.rng.random() < 0.4:  # the client disconnects, possibly during a request
            self.loop.call_later(
                self.rng.uniform(0.0, 1.0), self.rng.choice((transport.abort, transport.close))
            )

    def send(self) -> None:
        size = self.rng.choice((7, 60, 200, 2000))
        self.transport.write(self.data[self.sent_bytes : self.sent_bytes + size])
        self.sent_bytes += size
        if self.sent_bytes < len(self.data):
            self.loop.call_later(self.rng.uniform(0.0, 0.1), self.send)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while self.buffer:
            head, separator, rest = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            status = int(head.split()[1])
            fields = dict(field.split(": ", 1) for field in head.decode().split("\r\n")[1:])
            length = int(fields["Content-Length"])
            if len(rest) < length:
                return
            requested_bytes = sum(len(request) for request in self.requests[: self.answers + 1])
            assert requested_bytes <= self.sent_bytes, "a response to a request that was not sent"
            assert self.answers < len(self.targets), "more responses than requests"
            target = self.targets[self.answers]
            assert status in (200, 408, 500), status
            if status == 200:
                assert (fields["X-For"], rest[:length].decode()) == (
                    target,
                    target,
                ), "a response to another request"
            self.answers, self.buffer = self.answers + 1, rest[length:]


async def serve_clients(loop: Loop, rng: random.Random) -> None:
    handlers = Handlers(loop, rng)
    server = Server(handlers.handle, lambda: Limits(header_s=1.0, idle_s=2.0))
    await server.listen(*SERVER_ADDRESS)
    clients = [Client(loop, rng, name) for name in range(CONNECTIONS)]
    for client in clients:
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        await loop.create_connection(lambda client=client: client, *SERVER_ADDRESS)
    await asyncio.sleep(10.0)
    assert len(set(handlers.seen)) == len(handlers.seen), "a request was handled twice"
    targets = {target for client in clients for target in client.targets}
    assert set(handlers.seen) <= targets
    server.stop()
    server.abort()
    await asyncio.sleep(1.0)
    failures, loop.failures = loop.failures, []
    loop.failures = [failure for failure in failures if not isinstance(failure, ZeroDivisionError)]


def run_seeds(seeds: range) -> None:
    for seed in seeds:
        run(seed, serve_clients)


def test_each_request_gets_its_own_response_in_order() -> None:
    run_seeds(range(40))


@pytest.mark.parametrize("name", ["answer-to-next", "answer-again-within"])
def test_a_mutation_is_detected(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        run_seeds(range(40))
