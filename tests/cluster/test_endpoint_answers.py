"""Whose an endpoint's answer is: late, doubled, cut and foreign ones on connections that are used again.

The calls go through the real `Service`, `Caller` and `Link`; the endpoints are scripts drawn from a seed.
"""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import pytest

from amberlug.cluster.asyncio_runtime import AsyncioRuntime
from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.dispatch.call_outcome import judge
from amberlug.cluster.dispatch.dispatcher import TIMEOUT_SLACK_S, DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_client import EndpointClient
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.simulation.mutations_answers import FAULTS
from amberlug.http.link import BODY_MOST
from tests.cluster.memory_loop import End, Loop, run

EXPIRY_S = 0.4
MAX_ATTEMPTS = 3
MESSAGES = 30
FAULT_KINDS = (
    "fine",
    "fine",
    "fine",
    "fine",
    "fine",
    "fine",
    "fails",
    "fails",
    "full",
    "dead",
    "late",
    "doubled",
    "doubled later",
    "doubled later",
    "doubled later",
    "stale",
    "nameless",
    "cut",
    "never",
    "reset",
    "closes",
    "closes later",
    "garbage",
    "informs",
    "large",
    "just in time",
)


@dataclass(eq=False)
class Ask:
    """One request that an endpoint has read whole."""

    call: str  # the number of the call, which a header carries
    attempt: str
    end: End  # of the endpoint
    status: int = 0
    seal: str = ""
    answered: bool = False  # its whole answer has left
    copy: bytes = b""


@dataclass
class Site:
    """All endpoints of a play, and what they saw."""

    loop: Loop
    rng: random.Random
    asks: list[Ask] = field(default_factory=list)
    by_attempt: dict[str, list[Ask]] = field(default_factory=lambda: defaultdict(list))
    known: set[str] = field(default_factory=set)  # attempts whose success their sender has read


class Endpoint(asyncio.Protocol):
    """One connection at an endpoint."""

    def __init__(self, site: Site) -> None:
        self.site, self.read, self.response_text = site, b"", b""
        self.before: Ask | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.end = transport
        # Now and then not all of a request leaves, or not at once.
        if self.site.rng.random() < 0.1:
            transport.other.window = self.site.rng.randrange(0, 300)
            self.site.loop.call_later(
                self.site.rng.uniform(0.01, 0.2),
                self.site.rng.choice((transport.other.open, transport.abort)),
            )

    def data_received(self, data: bytes) -> None:
        self.read += data
        head, found, rest = self.read.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(header_text.split(": ", 1) for header_text in head.decode().split("\r\n")[1:])
        length = int(fields["Content-Length"])
        assert len(rest) <= length, "a further request before the answer"
        if len(rest) == length:
            self.read = b""
            self._take(Ask(fields["X-Call"], fields["Amberlug-Attempt-Id"], self.end))

    def _take(self, ask: Ask) -> None:
        site, here = self.site, ask.end.other
        assert all(it.call != ask.call for it in site.asks), "one call is sent twice"
        assert (
            here.closing or here.arrived_before_write == self.response_text
        ), "a connection is used again on which more has come"
        if not here.closing:  # else it was given up while it was on its way
            assert ask.attempt not in site.known, "a success that is known runs again"
            for before in site.by_attempt[ask.attempt]:
                out = not before.answered and not before.end.closing and not before.end.other.closing
                assert not out, "a second call while the first is under way"
        site.asks.append(ask)
        site.by_attempt[ask.attempt].append(ask)
        what = site.rng.choice(FAULT_KINDS)
        ask.status = {"fails": 500, "full": 503, "dead": 422}.get(what, 200)
        if what == "doubled later":
            ask.status = site.rng.choice((200, 500, 500, 503))
        ask.seal = f"seal-{ask.call}" if ask.status == 200 else ""
        named = f"Amberlug-Attempt-Id: {ask.attempt}\r\n" if what != "nameless" else ""
        body = b"x" * (300_000 if what == "large" else site.rng.choice((0, 2, 900)))
        ask.copy = (
            f"HTTP/1.1 {ask.status} Said\r\n{named}Amberlug-Server-Seal: {ask.seal}\r\n"
            f"X-Call: {ask.call}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        seconds = site.rng.uniform(0.0, 0.1)
        if what == "late":
            seconds = EXPIRY_S + site.rng.uniform(0.1, 0.4)
        elif what == "just in time":
            seconds = EXPIRY_S + TIMEOUT_SLACK_S - 0.01
            site.loop.call_later(seconds + 0.00005, site.loop.stall, 0.02)  # who waits for it is held up
        site.loop.call_later(seconds, self._answer, what, ask)

    def _answer(self, what: str, ask: Ask) -> None:
        site, end, before = self.site, self.end, self.before
        if end.closing:
            return
        if site.rng.random() < 0.1:
            site.loop.stall(site.rng.uniform(0.01, 0.3))
        copy, again = ask.copy, site.rng.uniform(0.0, 0.3)
        if what == "reset":
            return end.abort()
        if what == "never":
            return None
        if what == "cut":
            end.write(copy[: site.rng.randrange(len(copy))])
            end_it = site.rng.choice((end.abort, end.close, lambda: None))
            site.loop.call_later(site.rng.choice((0.0, 0.01, 0.6)), end_it)
            return None
        if what == "garbage":
            end.write(site.rng.choice((b"\x00\xffnonsense\r\n\r\n", b"HTTP/1.1 20", copy[7:])))
            return None
        if what == "stale" and before is not None:
            end.write(before.copy)
            site.loop.call_later(again, end.write, copy)
        elif what == "informs":
            self.response_text += b"HTTP/1.1 103 Early Hints\r\n\r\n"
            end.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + copy)
        else:
            end.write(copy * (2 if what == "doubled" else 1))
        self.response_text += copy
        ask.answered = True
        self.before = ask
        if what == "doubled later":
            site.loop.call_later(again, end.write, copy)
        elif what.startswith("closes"):
            site.loop.call_later(again if what == "closes later" else 0.0, end.close)
        return None


class Owner:
    """Sends messages as an edge does, and looks at each answer that it is given."""

    def __init__(self, site: Site) -> None:
        self.site, self.loop = site, site.loop
        self.caller = EndpointClient()
        self.calls = 0
        self.sent: dict[int, EndpointCall] = {}
        self.failures: dict[str, int] = defaultdict(int)
        self.ended: dict[str, str] = {}
        self.messages: dict[str, Message] = {}
        world = AsyncioRuntime(PeerTransport(lambda *given: None, lambda address: None), site.rng)
        pool = EndpointPool("z", site.rng, self.caller.available_connections)
        for number in range(2):
            at = f"10.0.0.{number}", 80
            site.loop.listeners[at] = lambda: Endpoint(site)
            announcement = PublishedEndpoint("s", f"{at[0]}:80", "z", 3, "", 0, "ready")
            pool.update(f"i{number}", announcement, 0.0)
        callbacks = DispatchCallbacks(lambda message: EXPIRY_S, self.finished)
        self.service = Dispatcher("s", world, pool, self, callbacks)
        self.close_idle_connections, self.available_connections = (
            self.caller.close_idle_connections,
            self.caller.available_connections,
        )

    def call(self, delivery: EndpointCall, then: Any) -> None:
        """Send a call with a number of its own, and see that what is said of it is true."""
        self.calls += 1
        number = str(self.calls)
        numbered = EndpointCall(
            delivery.address,
            delivery.instance,
            delivery.attempt_id,
            delivery.method,
            delivery.target,
            (*delivery.headers, ("X-Call", number)),
            delivery.body,
            delivery.timeout_s,
        )

        until = self.loop.time() + delivery.timeout_s

        def hear(called: CallResult) -> None:
            ran = next((it for it in self.site.asks if it.call == number), None)
            if called.verdict is CallVerdict.NOT_CONNECTED:
                self.loop.call_later(1.0, self.never_ran, number)
                assert ran is None, "a call that has run is said not to have"
            elif called.verdict is CallVerdict.ANSWERED:
                assert called.header("x-call") == number, "an answer to another call"
                assert ran is not None, "an answer to a call that was never read"
                assert (called.status, called.header("amberlug-server-seal")) == (ran.status, ran.seal)
            elif called.verdict is CallVerdict.TIMED_OUT and ran is not None:
                passed = ran.end.other.read_at > until or len(ran.copy) > BODY_MOST
                assert (
                    passed or ran.copy not in ran.end.other.received
                ), "an answer that was read is called silence"
            then(called)

        self.caller.call(numbered, hear)

    def never_ran(self, number: str) -> None:
        assert all(it.call != number for it in self.site.asks), "a call runs that was said not to have"

    def finished(self, message: Message, called: CallResult) -> None:
        outcome = judge(message, called, MAX_ATTEMPTS)
        message.failures += outcome.is_failure
        asks = self.site.by_attempt[message.attempt_id]
        assert message.failures <= sum(it.status == 500 for it in asks), "a failure counts twice"
        if outcome.end:
            if outcome.end == "done":
                assert outcome.seal in {it.seal for it in asks}, "a success of another message"
                self.site.known.add(message.attempt_id)
            message.ended = True
            self.ended[message.attempt_id] = outcome.end
        else:
            self.loop.call_later(outcome.retry_delay_s, self.again, message)

    def again(self, message: Message) -> None:
        message.in_flight = False
        self.service.add(message)

    def send(self, number: int) -> None:
        message = Message(
            f"1-a{number}", 1, f"a{number}", "h", "POST", "/", "r", "", 0.0, 0.0, body=b"b" * 20
        )
        message.service = "s"
        self.messages[message.attempt_id] = message
        self.service.add(message)


async def scene(loop: Loop, rng: random.Random) -> None:
    site = Site(loop, rng)
    owner = Owner(site)
    for number in range(MESSAGES):
        loop.call_later(rng.uniform(0.0, 3.0), owner.send, number)
    for _ in range(400):
        await asyncio.sleep(0.1)
        owner.caller.sweep()
        if len(owner.ended) == MESSAGES:
            break
    await asyncio.sleep(2.0)  # nothing runs again
    assert len(owner.ended) == MESSAGES
    assert not owner.service.calls


def play(seeds: range) -> None:
    for seed in seeds:
        run(seed, scene)


def test_each_call_gets_its_own_response_or_the_failure_that_happened() -> None:
    play(range(40))


@pytest.mark.parametrize(
    "name",
    ["answer-by-order", "attempt-by-order", "read-answer-lost", "silent-open", "sent-again", "extra-kept"],
)
def test_a_mutation_is_detected(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        play(range(40))
