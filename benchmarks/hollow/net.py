"""Hollow machines: many machines' decisions in one process, over a network that only counts.

Time is virtual, as in `amberlug.cluster.simulation`, but nothing is lost and no disk holds anything: what is
wanted is what each machine says, how many bytes the transport packs it into, and the processor time that its
handlers take. A frame is packed by its sender and read by its receiver as the transport does it, so that both
are in the figures; sockets, the kernel and the HTTP server are not.
"""

from __future__ import annotations

import itertools
import random
import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from result import Err, Ok

from amberlug.cluster.interfaces import (
    CallResult,
    CallVerdict,
    EndpointCall,
    Json,
    RawMessage,
    Reply,
    ReplyCallback,
    RequestFailure,
)
from amberlug.cluster.rpc.framing import FrameReader, encode_frame, encode_message
from amberlug.cluster.settings import Settings, Tolerance
from amberlug.cluster.simulation.clock import Clock, Timer

SYNC_S = 0.002
WITHIN_ZONE_S = 0.0002  # one way between machines of one zone
BOUNDS = {
    "seedLagS": 3.0,
    "reuseAfterS": 2.0,
    "contactMs": 4000.0,
    "ackMs": 5000.0,
    "catchUpS": 4.5,
    "drainMs": 3000.0,
    "graceS": 6.0,
    "configApplyMs": 3000.0,
    "completedS": 10.0,
    "statusTtlS": 120.0,
    "earlyMs": 100.0,
    "ceilingWindowS": 5.0,
    "ceilingOver": 1.1,
}


@dataclass(slots=True)
class Meter:
    """What one machine did since the meter was set back."""

    messages: int = 0  # sent, replies among them
    sent: int = 0  # bytes of frames
    heard: int = 0
    across: int = 0  # bytes sent to another zone
    words: defaultdict[str, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0, 0]))
    processor: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )  # seconds, by cause


class Host:
    """One hollow machine."""

    def __init__(self, role: str, name: str, zone: str, address: str) -> None:
        self.role, self.name, self.zone, self.address = role, name, zone, address
        self.machine: Any = None
        self.over = False
        self.meter = Meter()
        self.spoke: set[str] = set()  # whom it has a connection with
        self.reader = FrameReader()

    def do(self, cause: str, act: Callable[[], None]) -> None:
        """Have something happen in it, on its own bill."""
        if self.over:
            return
        began = time.thread_time()
        act()
        self.meter.processor[cause] += time.thread_time() - began


class HollowNet:
    """The clock, the machines, and what is on its way."""

    def __init__(self, seed: int = 1, between: float = 0.0009) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.between = between
        self.hosts: dict[str, Host] = {}
        self.numbers = itertools.count(1)
        self.asked: dict[int, tuple[Host, str, ReplyCallback]] = {}
        self.apart = ""  # a zone that nothing gets to or from

    def delay(self, a: Host, b: Host) -> float:
        return WITHIN_ZONE_S if a.zone == b.zone else self.between

    def send(self, source: Host, to: Host, word: str, data: bytes, hear: Callable[[], None]) -> None:
        """Count a frame, and have it heard at the other end."""
        meter = source.meter
        meter.messages += 1
        meter.sent += len(data)
        to.meter.heard += len(data)
        if source.zone != to.zone:
            meter.across += len(data)
        told = meter.words[word]
        told[0] += 1
        told[1] += len(data)
        if source.zone != to.zone and self.apart in (source.zone, to.zone):
            return
        source.spoke.add(to.address)
        to.spoke.add(source.address)
        self.clock.call_later(self.delay(source, to), partial(to.do, word, hear))

    def ended(self, number: int, why: RequestFailure) -> None:
        found = self.asked.pop(number, None)
        if found is not None:
            found[0].do("lost", lambda: found[2](Err(why)))

    def kill(self, host: Host) -> None:
        """A process ends: those that it spoke with hear of it."""
        host.over = True
        for address in sorted(host.spoke):
            other = self.hosts[address]
            other.spoke.discard(host.address)
            self.clock.call_later(
                self.delay(host, other), partial(other.do, "broken", partial(_broken, other, host))
            )
        for number, (_, to, _) in list(self.asked.items()):
            if to == host.address:
                self.clock.call_later(0.001, partial(self.ended, number, RequestFailure.CONNECTION_LOST))


def _broken(host: Host, gone: Host) -> None:
    if host.machine is not None:
        host.machine.on_peer_disconnected(gone.address)


class HollowWorld:
    """The world as a hollow machine sees it."""

    def __init__(self, net: HollowNet, host: Host) -> None:
        self.net, self.host = net, host
        self.rng = random.Random(f"{host.address} {net.rng.random()}")

    def now(self) -> float:
        return self.net.clock.now

    def wall_clock(self) -> float:
        return 1.79e9 + self.net.clock.now

    def call_later(self, seconds: float, act: Callable[[], None]) -> Timer:
        timer = Timer(act)
        cause = getattr(act, "__qualname__", "timer").replace(".<locals>", "")
        self.net.clock.call_later(seconds, partial(self.host.do, cause, timer.fire))
        return timer

    def send(self, address: str, message: RawMessage) -> None:
        self._send(None, address, message)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        number = next(self.net.numbers)
        self.net.asked[number] = self.host, address, on_reply
        self.net.clock.call_later(timeout_s, partial(self.net.ended, number, RequestFailure.TIMED_OUT))
        self._send(number, address, message)

    def _send(self, number: int | None, to: str, message: RawMessage) -> None:
        net, here = self.net, self.host
        there = net.hosts.get(to)
        if there is None or there.over:
            if number is not None:
                net.clock.call_later(net.between, partial(net.ended, number, RequestFailure.NOT_SENT))
            return
        word = message.tag
        data = encode_message(message, number).unwrap()

        def respond(said: Json, blob: bytes = b"") -> None:
            if number is None:
                return
            back = encode_frame({"n": number, "b": said}, blob).unwrap()

            def take() -> None:
                found = net.asked.pop(number, None)
                ((head, blob),) = here.reader.feed(back)
                if found is not None:
                    found[2](Ok(Reply(head["b"], blob)))

            net.send(there, here, f"{word} reply", back, take)

        def hear() -> None:
            ((head, blob),) = there.reader.feed(data)
            handler = there.machine.handlers.get(word)
            if handler is not None:
                handler(head["b"], blob, here.address, respond)

        net.send(here, there, word, data, hear)


class HollowDisk:
    """A disk that takes all, two milliseconds later, and gives nothing back."""

    def __init__(self, net: HollowNet, host: Host) -> None:
        self.net, self.host = net, host

    def write(self, rows: Sequence[Any], then: Callable[[None], None]) -> None:
        self.net.clock.call_later(SYNC_S, partial(self.host.do, "written", lambda: then(None)))

    def read(self, names: Sequence[str], then: Callable[[dict[str, bytes]], None]) -> None:
        self.net.clock.call_later(SYNC_S, partial(self.host.do, "read", lambda: then({})))


class Prompt:
    """Endpoints that do what they are called for within five milliseconds."""

    def __init__(self, net: HollowNet, host: Host) -> None:
        self.net, self.host = net, host

    def call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None:
        headers = (("amberlug-attempt-id", delivery.attempt_id), ("amberlug-server-seal", "0123456789abcdef"))
        done = CallResult(CallVerdict.ANSWERED, 200, headers)
        self.net.clock.call_later(0.005, partial(self.host.do, "answered", partial(then, done)))

    def available_connections(self, address: str) -> int:
        return 0

    def close_idle_connections(self, address: str) -> None:
        pass


def settings(host: Host, seeds: list[str]) -> Settings:
    """The settings file of a hollow machine."""
    ip = host.address.rpartition(":")[0]
    control = (ip, 7000) if host.role == "core" else None
    return Settings(
        host.name,
        ip,
        host.zone,
        "r",
        frozenset(),
        None,
        None,
        control,
        range(7300, 7316),
        tuple((it, 7000) for it in seeds),
        True,
        None,
        1.0,
        Tolerance(1, 0, 0),
        300.0,
        BOUNDS,
    )


@contextmanager
def processor(into: list[float], times: int = 1) -> Iterator[None]:
    """Append the processor seconds that the block took, for one of `times`."""
    began = time.thread_time()
    yield
    into.append((time.thread_time() - began) / times)
