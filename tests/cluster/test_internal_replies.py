"""Whose a peer's reply is: late, doubled and out of turn, over connections that break."""

import asyncio
import random
from collections import Counter

import pytest
from result import Err, Ok, Result

from amberlug.cluster.interfaces import Reply, RequestFailure, Respond
from amberlug.cluster.rpc.client_connection import CONNECT_TIMEOUT_S
from amberlug.cluster.rpc.framing import RawMessage, encode_reply
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.simulation.mutations_answers import FAULTS
from tests.cluster.wires import Loop, run

ASKS = 60
WITHIN_S = 0.3
AT = "10.0.0.2", 7300


class Peer:
    """A process that is asked: it replies once, twice, late, out of turn or never, and may restart."""

    def __init__(self, loop: Loop, chance: random.Random, slow: float = 0.1) -> None:
        self.loop, self.chance, self.slow = loop, chance, slow
        self.heard: Counter[str] = Counter()
        self.lives = 0
        self.peers = PeerTransport(self.hear, lambda address: None)
        self.held: list[tuple[Respond, str]] = []

    async def start(self) -> None:
        self.lives += 1
        self.peers = PeerTransport(self.hear, lambda address: None)
        await self.peers.listen(AT[0], range(AT[1], AT[1] + 1))
        door = self.loop.doors[AT]

        def held_up() -> asyncio.Protocol:
            if self.chance.random() < self.slow:  # who dials is held up as the connection comes up
                self.loop.stall(CONNECT_TIMEOUT_S)
            return door()

        self.loop.doors[AT] = held_up

    def kill(self) -> None:
        self.loop.doors.pop(AT, None)
        for it in list(self.peers.server_connections):
            assert it.transport is not None, "a connection that came up"
            it.transport.abort()

    def hear(self, message: RawMessage, origin: str, respond: Respond) -> None:
        number, chance = message.body["number"], self.chance
        self.heard[number] += 1
        self.held.append((respond, number))
        what = chance.choice(("once", "once", "twice", "late", "never", "another", "stall", "broken"))
        if what == "another":  # a handler that is done with an earlier ask says so again
            respond, number = chance.choice(self.held)
        if what == "stall":
            self.loop.stall(chance.uniform(0.01, 0.5))
        if what == "broken":
            self.loop.call_later(chance.uniform(0.0, 0.1), self.reset)
        seconds = chance.uniform(0.0, WITHIN_S * (2.0 if what == "late" else 0.5))
        for _ in range({"twice": 2, "never": 0}.get(what, 1)):
            self.loop.call_later(seconds, respond, {"number": number}, number.encode() * 3)
            seconds += chance.choice((0.0, 0.1))

    def reset(self) -> None:
        for end in self.loop.ends:
            if not end.closing and self.chance.random() < 0.5:
                self.chance.choice((end, end.other)).abort()


class Asker:
    """A process that asks, and looks at each reply that it is given."""

    def __init__(self, loop: Loop, chance: random.Random, peer: Peer, again: float = 0.2) -> None:
        self.loop, self.chance, self.peer, self.again = loop, chance, peer, again
        self.peers = PeerTransport(lambda *given: None, lambda address: None)
        self.peers.address = "10.0.0.1:7300"
        self.said: Counter[str] = Counter()
        self.unsent: set[str] = set()

    def ask(self, number: str) -> None:
        def then(reply: Result[Reply, RequestFailure]) -> None:
            self.said[number] += 1
            if isinstance(reply, Ok):
                got = reply.ok_value.body["number"], reply.ok_value.blob
                assert got == (number, number.encode() * 3), "a reply to another ask"
                assert self.peer.heard[number], "a reply to what was not heard"
            elif reply.err_value is RequestFailure.NOT_SENT:
                self.unsent.add(number)
            if isinstance(reply, Err) and self.chance.random() < self.again:
                self.ask(f"{number}+")  # who hears of a break asks again at once, over another connection

        message = RawMessage("word", {"number": number})
        self.peers.request(f"{AT[0]}:{AT[1]}", message, WITHIN_S, then)


async def scene(loop: Loop, chance: random.Random) -> None:
    peer = Peer(loop, chance)
    asker = Asker(loop, chance, peer)
    await peer.start()
    for number in range(ASKS):
        loop.call_later(chance.uniform(0.0, 4.0), asker.ask, str(number))
    for _ in range(4):
        await asyncio.sleep(chance.uniform(0.1, 1.5))
        what = chance.choice(("kill", "reset", "deaf", "stall"))
        if what == "kill":
            peer.kill()
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            await peer.start()
        elif what == "reset":
            peer.reset()
        elif what == "deaf":
            loop.deaf.add(AT)
            peer.reset()
            loop.call_later(chance.uniform(0.1, 1.2), loop.deaf.discard, AT)
        else:
            loop.stall(chance.uniform(0.1, 1.0))
    await asyncio.sleep(8.0)
    assert set(asker.said.values()) == {1}, "an ask is told of once"
    assert sum(1 for it in asker.said if "+" not in it) == ASKS
    assert max(peer.heard.values()) == 1, "an ask goes out once"
    assert not asker.unsent & set(peer.heard), "what was heard is said not to have been sent"


def play(seeds: range) -> None:
    for seed in seeds:
        run(seed, scene)


def test_each_ask_gets_its_own_reply_or_an_honest_failure() -> None:
    play(range(60))


@pytest.mark.parametrize("name", ["reply-by-order", "reply-after-replacement", "unsent-after-dial"])
def test_a_fault_is_found(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        play(range(60))


def test_a_peer_that_says_no_frame_is_left() -> None:
    """What follows on its connection is no reply to anything."""

    async def cut(loop: Loop, chance: random.Random) -> None:
        frame = encode_reply(1, {"number": "1"}, b"111").unwrap()
        for at in range(len(frame)):
            peer = Peer(loop, chance, slow=0.0)
            await peer.start()
            asker = Asker(loop, chance, peer, again=0.0)
            asker.ask("1")
            link = asker.peers._client_connections[f"{AT[0]}:{AT[1]}"]
            await asyncio.sleep(0.01)
            assert link.transport is not None
            link.data_received(frame[:at])
            if at % 2:
                link.data_received(b"\xff" * len(frame))
            peer.kill()
            await asyncio.sleep(0.5)
            assert asker.said == {"1": 1}
            assert not link.pending

    run(2, cut)
