"""Whose an answer to a client is: the HTTP server of edge and control-plane nodes, with drawn handlers."""

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

AT = "10.0.0.3", 8080
CONNECTIONS = 25


class Handlers:
    """Answers at once, later, never, twice, again for an earlier request, or fails."""

    def __init__(self, loop: Loop, rng: random.Random) -> None:
        self.loop, self.rng = loop, rng
        self.seen: list[str] = []
        self.replies: list[Callable[[], None]] = []

    def handle(self, request: Request, reply: RespondCallback) -> None:
        self.seen.append(request.target)
        body = request.target.encode()

        def answer() -> None:
            with contextlib.suppress(RuntimeError):  # what is answered already
                reply(Response(200, (("X-For", request.target),), body))

        self.replies.append(answer)
        what = self.rng.choice(("once", "once", "later", "later", "twice", "earlier", "never", "fails"))
        if what == "fails":
            raise ZeroDivisionError
        if what == "earlier":  # a handler that is done with some request says so again, at any moment
            for _ in range(3):
                self.rng.choice(self.replies)()
        if what in ("once", "twice", "earlier"):
            answer()
        if what in ("twice", "later"):
            self.loop.call_later(self.rng.uniform(0.0, 0.5), answer)


class Client(asyncio.Protocol):
    """Sends requests one behind the other, in pieces, and reads the answers in order."""

    def __init__(self, loop: Loop, rng: random.Random, name: int) -> None:
        self.loop, self.rng, self.read = loop, rng, b""
        self.targets = [f"/c{name}-{number}" for number in range(rng.randrange(1, 12))]
        self.sent = 0  # bytes
        self.lines = [f"POST {it} HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" for it in self.targets]
        self.whole = "".join(self.lines).encode()
        self.answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.end = transport
        self.send()
        if self.rng.random() < 0.4:  # it leaves, whatever is under way
            self.loop.call_later(
                self.rng.uniform(0.0, 1.0), self.rng.choice((transport.abort, transport.close))
            )

    def send(self) -> None:
        size = self.rng.choice((7, 60, 200, 2000))
        self.end.write(self.whole[self.sent : self.sent + size])
        self.sent += size
        if self.sent < len(self.whole):
            self.loop.call_later(self.rng.uniform(0.0, 0.1), self.send)

    def data_received(self, data: bytes) -> None:
        self.read += data
        while self.read:
            head, whole, rest = self.read.partition(b"\r\n\r\n")
            if not whole:
                return
            status = int(head.split()[1])
            fields = dict(field.split(": ", 1) for field in head.decode().split("\r\n")[1:])
            length = int(fields["Content-Length"])
            if len(rest) < length:
                return
            requested_bytes = sum(len(it) for it in self.lines[: self.answers + 1])
            assert requested_bytes <= self.sent, "an answer to what was not asked"
            assert self.answers < len(self.targets), "an answer too many"
            target = self.targets[self.answers]
            assert status in (200, 408, 500), status
            if status == 200:
                assert (fields["X-For"], rest[:length].decode()) == (
                    target,
                    target,
                ), "an answer to another request"
            self.answers, self.read = self.answers + 1, rest[length:]


async def scene(loop: Loop, rng: random.Random) -> None:
    handlers = Handlers(loop, rng)
    server = Server(handlers.handle, lambda: Limits(header_s=1.0, idle_s=2.0))
    await server.listen(*AT)
    clients = [Client(loop, rng, name) for name in range(CONNECTIONS)]
    for client in clients:
        await asyncio.sleep(rng.uniform(0.0, 0.1))
        await loop.create_connection(lambda client=client: client, *AT)
    await asyncio.sleep(10.0)
    assert len(set(handlers.seen)) == len(handlers.seen), "a request is handed over twice"
    requested_bytes = {target for client in clients for target in client.targets}
    assert set(handlers.seen) <= requested_bytes
    server.stop()
    server.abort()
    await asyncio.sleep(1.0)
    failures, loop.failures = loop.failures, []
    loop.failures = [it for it in failures if not isinstance(it, ZeroDivisionError)]


def play(seeds: range) -> None:
    for seed in seeds:
        run(seed, scene)


def test_each_request_gets_its_own_response_in_order() -> None:
    play(range(40))


@pytest.mark.parametrize("name", ["answer-to-next", "answer-again-within"])
def test_a_mutation_is_detected(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        play(range(40))
