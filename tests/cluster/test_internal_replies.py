"""Matching of replies to requests, with late, repeated and reordered replies and broken connections."""

import asyncio
import random
from collections import Counter

import pytest
from result import Err, Ok, Result

from amberlug.cluster.interfaces import RawMessage, Reply, RequestFailure, Respond
from amberlug.cluster.rpc.client_connection import CONNECT_TIMEOUT_S
from amberlug.cluster.rpc.framing import encode_reply
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.simulation.mutations_answers import FAULTS
from tests.cluster.memory_loop import Loop, run

REQUESTS = 60
TIMEOUT_S = 0.3
ADDRESS = "10.0.0.2", 7300


class Peer:
    """A peer that replies once, twice, late, out of order or never, and may restart."""

    def __init__(self, loop: Loop, rng: random.Random, slow_connect_probability: float = 0.1) -> None:
        self.loop, self.rng, self.slow_connect_probability = loop, rng, slow_connect_probability
        self.received: Counter[str] = Counter()
        self.starts = 0
        self.peers = PeerTransport(self.receive, lambda address: None)
        self.requests: list[tuple[Respond, str]] = []

    async def start(self) -> None:
        self.starts += 1
        self.peers = PeerTransport(self.receive, lambda address: None)
        await self.peers.listen(ADDRESS[0], range(ADDRESS[1], ADDRESS[1] + 1))
        accept = self.loop.listeners[ADDRESS]

        def connect_slowly() -> asyncio.Protocol:
            if self.rng.random() < self.slow_connect_probability:  # the peer that connects is delayed
                self.loop.stall(CONNECT_TIMEOUT_S)
            return accept()

        self.loop.listeners[ADDRESS] = connect_slowly

    def kill(self) -> None:
        self.loop.listeners.pop(ADDRESS, None)
        for connection in list(self.peers.server_connections):
            assert connection.transport is not None, "a connection that was established"
            connection.transport.abort()

    def receive(self, message: RawMessage, origin: str, respond: Respond) -> None:
        number, rng = message.body["number"], self.rng
        self.received[number] += 1
        self.requests.append((respond, number))
        fault = rng.choice(("once", "once", "twice", "late", "never", "another", "stall", "broken"))
        if fault == "another":  # a handler replies again to an earlier request
            respond, number = rng.choice(self.requests)
        if fault == "stall":
            self.loop.stall(rng.uniform(0.01, 0.5))
        if fault == "broken":
            self.loop.call_later(rng.uniform(0.0, 0.1), self.reset)
        seconds = rng.uniform(0.0, TIMEOUT_S * (2.0 if fault == "late" else 0.5))
        for _ in range({"twice": 2, "never": 0}.get(fault, 1)):
            self.loop.call_later(seconds, respond, {"number": number}, number.encode() * 3)
            seconds += rng.choice((0.0, 0.1))

    def reset(self) -> None:
        for stream_end in self.loop.ends:
            if not stream_end.closing and self.rng.random() < 0.5:
                self.rng.choice((stream_end, stream_end.other)).abort()


class Requester:
    """A client that sends requests, and checks each reply that it receives."""

    def __init__(self, loop: Loop, rng: random.Random, peer: Peer, retry_probability: float = 0.2) -> None:
        self.loop, self.rng, self.peer, self.retry_probability = loop, rng, peer, retry_probability
        self.peers = PeerTransport(lambda *args: None, lambda address: None)
        self.peers.address = "10.0.0.1:7300"
        self.outcomes: Counter[str] = Counter()
        self.not_sent: set[str] = set()

    def request(self, number: str) -> None:
        def on_reply(reply: Result[Reply, RequestFailure]) -> None:
            self.outcomes[number] += 1
            if isinstance(reply, Ok):
                result = reply.ok_value.body["number"], reply.ok_value.blob
                assert result == (number, number.encode() * 3), "a reply to another request"
                assert self.peer.received[number], "a reply to a request that was not received"
            elif reply.err_value is RequestFailure.NOT_SENT:
                self.not_sent.add(number)
            if isinstance(reply, Err) and self.rng.random() < self.retry_probability:
                self.request(f"{number}+")  # immediate retry, over another connection

        message = RawMessage("word", {"number": number})
        self.peers.request(f"{ADDRESS[0]}:{ADDRESS[1]}", message, TIMEOUT_S, on_reply)


async def exchange(loop: Loop, rng: random.Random) -> None:
    peer = Peer(loop, rng)
    requester = Requester(loop, rng, peer)
    await peer.start()
    for number in range(REQUESTS):
        loop.call_later(rng.uniform(0.0, 4.0), requester.request, str(number))
    for _ in range(4):
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        fault = rng.choice(("kill", "reset", "deaf", "stall"))
        if fault == "kill":
            peer.kill()
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            await peer.start()
        elif fault == "reset":
            peer.reset()
        elif fault == "deaf":
            loop.deaf.add(ADDRESS)
            peer.reset()
            loop.call_later(rng.uniform(0.1, 1.2), loop.deaf.discard, ADDRESS)
        else:
            loop.stall(rng.uniform(0.1, 1.0))
    await asyncio.sleep(8.0)
    assert set(requester.outcomes.values()) == {1}, "a request has one outcome"
    assert sum(1 for number in requester.outcomes if "+" not in number) == REQUESTS
    assert max(peer.received.values()) == 1, "a request is received once"
    assert not requester.not_sent & set(peer.received), "a request that was received is reported as not sent"


def play(seeds: range) -> None:
    for seed in seeds:
        run(seed, exchange)


def test_each_request_gets_its_own_reply_or_a_failure() -> None:
    play(range(60))


@pytest.mark.parametrize("name", ["reply-by-order", "reply-after-replacement", "unsent-after-dial"])
def test_a_mutation_of_the_transport_is_detected(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        play(range(60))


def test_a_connection_with_an_invalid_frame_is_closed() -> None:
    """Data after an invalid frame must not be taken for a reply."""

    async def truncate_frames(loop: Loop, rng: random.Random) -> None:
        frame = encode_reply(1, {"number": "1"}, b"111").unwrap()
        for length in range(len(frame)):
            peer = Peer(loop, rng, slow_connect_probability=0.0)
            await peer.start()
            requester = Requester(loop, rng, peer, retry_probability=0.0)
            requester.request("1")
            connection = requester.peers._client_connections[f"{ADDRESS[0]}:{ADDRESS[1]}"]
            await asyncio.sleep(0.01)
            assert connection.transport is not None
            connection.data_received(frame[:length])
            if length % 2:
                connection.data_received(b"\xff" * len(frame))
            peer.kill()
            await asyncio.sleep(0.5)
            assert requester.outcomes == {"1": 1}
            assert not connection.pending

    run(2, truncate_frames)
