"""Processes of simulated machines and their connections, as the transport and the kernel have them."""

from __future__ import annotations

import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from result import Err, Ok

from amberlug.cluster.interfaces import Json, RawMessage, Reply, ReplyCallback, RequestFailure
from amberlug.cluster.rpc.framing import MAX_NETSTRING_BYTES
from amberlug.cluster.simulation.boundary_digest import BoundaryDigest
from amberlug.cluster.simulation.clock import Clock, Timer

DIAL_S = 0.7  # until a connection that does not come up is given up
GIVE_UP_S = 1.5  # until one whose bytes are not acknowledged is closed by the kernel
AGAIN_S = (0.05, 0.6)  # after a cut, until the kernel sends again
LOST_S = 0.2  # what a lost packet costs
BETWEEN_REGIONS_S = 0.009  # more, one way


class Host:
    """A machine on the network, with the one process that may run on it."""

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.powered = True
        self.life: Incarnation | None = None
        self.loss = 0.0  # part of its packets that are lost
        self.rate = 0.0  # bytes a second that it sends and that it takes; 0: as many as there are
        self.busy = [0.0, 0.0]  # until when it sends what is queued, and takes it


class Incarnation:
    """One life of a process: what is to happen waits while it is frozen, and is dropped once it is over."""

    def __init__(
        self, host: Host, number: int, failed: Callable[[Incarnation, AssertionError], None]
    ) -> None:
        self.host, self._failed = host, failed
        self.name = f"{host.name}#{number}"
        self.machine: Any = None
        self.over = False
        self.frozen = False
        self.links: dict[str, Link] = {}
        self.incoming: dict[Link, None] = {}
        self.calls: dict[Callable[[], None], None] = {}  # from outside and unanswered: what closes each
        self._waiting: list[Callable[[], None]] = []

    def do(self, act: Callable[[], None]) -> None:
        """Have something happen in this process."""
        if self.over:
            return
        if self.frozen:
            self._waiting.append(act)
            return
        try:
            act()
        except AssertionError as error:
            self._failed(self, error)

    def thaw(self, rng: random.Random) -> None:
        """Run again: what has piled up happens, timers before or after what came from outside."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        first = rng.random() < 0.5
        waiting.sort(key=lambda act: (getattr(act, "__name__", "") == "fire") != first)
        for act in waiting:
            self.do(act)


class Network:
    """Addresses, delays, cuts and losses."""

    def __init__(self, clock: Clock, rng: random.Random, between_zones: float) -> None:
        self.clock, self.rng, self.between_zones = clock, rng, between_zones
        self.digest = BoundaryDigest(lambda: clock.now)
        self.hosts: dict[str, Host] = {}  # by address
        self.regions: dict[str, str] = {}  # by zone; those of one region where there are none
        self.numbers = itertools.count(1)
        self.too_long = 0  # frames that were refused where they were packed
        self._cuts: Counter[tuple[str, str]] = Counter()  # how many cuts hold each pair
        self._refused: Counter[tuple[str, str]] = Counter()
        self.told: Callable[[frozenset[tuple[str, str]]], None] = (
            lambda pairs: None
        )  # hears of all that is cut
        self._held: dict[Link, None] = {}

    def delay(self, a: Host, b: Host) -> float:
        """How long a packet takes now."""
        seconds = 0.0002 if a.zone == b.zone else self.between_zones
        if self.regions.get(a.zone) != self.regions.get(b.zone):
            seconds += BETWEEN_REGIONS_S
        loss = a.loss + b.loss
        if loss and self.rng.random() < loss:
            seconds += LOST_S
        return seconds + self.rng.expovariate(20000)

    def departure(self, a: Host, b: Host, size: int) -> float:
        """When so many bytes have left the one machine and come in at the other, but for the delay."""
        at = self.clock.now
        for side, host in enumerate((a, b)):
            if host.rate:
                at = host.busy[side] = max(at, host.busy[side]) + size / host.rate
        return at

    def is_cut(self, a: Host, b: Host) -> bool:
        """Whether nothing gets from one to the other."""
        return (a.name, b.name) in self._cuts

    def is_refused(self, a: Host, b: Host) -> bool:
        """Whether what gets from one towards the other is answered by a reset."""
        return (a.name, b.name) in self._refused

    def cut(self, pairs: set[tuple[str, str]], refuse: bool = False) -> None:
        """Nothing gets from the first to the second of each pair: it is silent, or what is sent is reset."""
        (self._refused if refuse else self._cuts).update(pairs)
        self._tell()

    def join(self, pairs: set[tuple[str, str]], refuse: bool = False) -> None:
        """Undo a cut: what was held up arrives a little later, where its sender still waits."""
        these = self._refused if refuse else self._cuts
        these.subtract(pairs)
        for pair in pairs:
            if these[pair] <= 0:
                del these[pair]
        self._tell()
        held, self._held = self._held, {}
        for link in held:
            self.clock.call_later(self.rng.uniform(*AGAIN_S), link.flush)

    def _tell(self) -> None:
        self.told(frozenset(self._cuts) | frozenset(self._refused))

    def hold(self, link: Link) -> None:
        self._held[link] = None

    def link(self, source: Incarnation, to: str) -> Link:
        """The connection of a process to an address; it is opened where there is none."""
        found = source.links.get(to)
        if found is None:
            found = source.links[to] = Link(self, source, to)
        return found

    def reset(self, host: Host, others: frozenset[str] | None = None) -> None:
        """Reset the connections of a machine's process, all or those with these machines."""
        if host.life is not None:
            for link in [*host.life.links.values(), *host.life.incoming]:
                if others is not None and not others & link.hosts:
                    continue
                link.close(0, RequestFailure.CONNECTION_LOST, False)
                link.close(1, RequestFailure.CONNECTION_LOST, False)


class Link:
    """A connection that one process opened to another: words go out on it and replies come back."""

    def __init__(self, net: Network, source: Incarnation, to: str) -> None:
        self.net, self.to = net, to
        self.ends: list[Incarnation | None] = [source, None]
        self.open = [True, False]
        # What is said before it is up, with its size; None once it is up.
        self._waiting: list[tuple[int | None, int, Callable[[], None]]] | None = []
        self._asked: dict[int, tuple[ReplyCallback, Timer]] = {}
        self._last = [0.0, 0.0]
        self._held: list[list[Callable[[], None]]] = [[], []]
        host = net.hosts.get(to)
        net.clock.call_later(DIAL_S, self._not_up)
        if host is not None:
            net.clock.call_later(net.delay(source.host, host), partial(self._knock, host))

    @property
    def hosts(self) -> set[str]:
        """The machines at its ends, as far as it is up."""
        return {it.host.name for it in self.ends if it is not None}

    def _host(self, side: int) -> Host:
        end = self.ends[side]
        assert end is not None, "a connection that is up has two ends"
        return end.host

    # -- coming up

    def _not_up(self) -> None:
        if self._waiting is not None:
            self.close(0, RequestFailure.NOT_SENT, False)

    def _knock(self, host: Host) -> None:
        net, here = self.net, self._host(0)
        if not host.powered or net.is_cut(here, host) or net.is_cut(host, here) or not self.open[0]:
            return
        back = net.delay(host, here)
        refused = net.is_refused(here, host) or net.is_refused(host, here)
        if refused or host.life is None or host.life.over:
            net.clock.call_later(back, self._not_up)
            return
        self.ends[1], self.open[1] = host.life, True
        host.life.incoming[self] = None
        net.clock.call_later(back, self._up)

    def _up(self) -> None:
        waiting, self._waiting = self._waiting or [], None
        if self.open[0]:
            for _, size, act in waiting:
                self._transmit(0, size, act)

    # -- words and replies

    def send(self, message: RawMessage) -> None:
        """Send a notification."""
        word, blob = message.tag, message.payload
        text = json.dumps(message.body)
        if not self._too_long(text, blob):
            self._record(None, word, text, blob)
            self._send(None, len(text) + len(blob), partial(self._arrive, None, word, text, blob))

    def request(self, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; `on_reply` is called once."""
        word, blob = message.tag, message.payload
        number = next(self.net.numbers)
        source = self.ends[0]
        assert source is not None, "a connection has an opener"
        text = json.dumps(message.body)
        if self._too_long(text, blob):
            not_sent = partial(on_reply, Err(RequestFailure.NOT_SENT))
            self.net.clock.call_later(0.0, partial(source.do, not_sent))
            return
        timer = Timer(partial(self._late, number))
        self._asked[number] = on_reply, timer
        self.net.clock.call_later(timeout_s, partial(source.do, timer.fire))
        self._record(number, word, text, blob)
        self._send(number, len(text) + len(blob), partial(self._arrive, number, word, text, blob))

    def _record(self, number: int | None, word: str, text: str, blob: bytes, side: int = 0) -> None:
        here, there = self.ends[side], self.ends[1 - side]
        assert here is not None, "a frame has a sender"
        target = there.name if side and there is not None else self.to
        self.net.digest.frame(here.name, target, number, word, text, blob)

    def _too_long(self, text: str, blob: bytes) -> bool:
        """Whether a frame is refused where it is packed."""
        if max(len(text), len(blob)) <= MAX_NETSTRING_BYTES:
            return False
        self.net.too_long += 1
        return True

    def _send(self, number: int | None, size: int, act: Callable[[], None]) -> None:
        if self._waiting is not None:
            self._waiting.append((number, size, act))
        else:
            self._transmit(0, size, act)

    def _late(self, number: int) -> None:
        found = self._asked.pop(number, None)
        if found is None:
            return
        unsent = self._waiting is not None and any(it[0] == number for it in self._waiting)
        if self._waiting is not None:
            self._waiting = [it for it in self._waiting if it[0] != number]
        found[0](Err(RequestFailure.NOT_SENT if unsent else RequestFailure.TIMED_OUT))

    def _arrive(self, number: int | None, word: str, text: str, blob: bytes) -> None:
        life, source = self.ends[1], self.ends[0]
        assert life is not None, "a word arrives somewhere"
        assert source is not None, "a word comes from somewhere"

        def respond(body: Json, blob: bytes = b"") -> None:
            if number is not None and self.open[1]:
                text = json.dumps(body)
                if not self._too_long(text, blob):
                    self._record(number, f"{word}/reply", text, blob, side=1)
                    self._transmit(1, len(text) + len(blob), partial(self._replied, number, text, blob))

        def hear() -> None:
            handler = life.machine.handlers.get(word)
            if handler is not None:
                handler(json.loads(text), blob, source.host.address, respond)

        life.do(hear)

    def _replied(self, number: int, text: str, blob: bytes) -> None:
        source = self.ends[0]
        assert source is not None, "a connection has an opener"

        def hear() -> None:
            found = self._asked.pop(number, None)
            if found is not None:
                found[1].cancel()
                found[0](Ok(Reply(json.loads(text), blob)))

        source.do(hear)

    # -- on the wire

    def _transmit(self, side: int, size: int, act: Callable[[], None]) -> None:
        net, here, there = self.net, self._host(side), self._host(1 - side)
        arrival = max(self._last[side], net.departure(here, there, size) + net.delay(here, there))
        self._last[side] = arrival
        net.clock.call_later(arrival - net.clock.now, partial(self._land, side, act))

    def _land(self, side: int, act: Callable[[], None]) -> None:
        net, here, there = self.net, self._host(side), self._host(1 - side)
        if self._held[side] or net.is_cut(here, there):
            self._held[side].append(act)
            net.hold(self)
            self._await_acknowledgement(side)
            return
        if net.is_refused(here, there):
            net.clock.call_later(
                net.delay(there, here), lambda: self.close(side, RequestFailure.CONNECTION_LOST, False)
            )
            return
        if not there.powered:
            self._await_acknowledgement(side)
        elif not self.open[1 - side]:
            # Nobody holds this connection there: it is reset.
            net.clock.call_later(
                net.delay(there, here), lambda: self.close(side, RequestFailure.CONNECTION_LOST, False)
            )
        else:
            if net.is_cut(there, here):
                self._await_acknowledgement(side)
            act()

    def _await_acknowledgement(self, side: int) -> None:
        self.net.clock.call_later(GIVE_UP_S, partial(self._give_up, side))

    def _give_up(self, side: int) -> None:
        here, there = self._host(side), self._host(1 - side)
        if self._held[side] or self.net.is_cut(there, here) or not there.powered:
            self.close(side, RequestFailure.CONNECTION_LOST, True)

    def flush(self) -> None:
        """What was held up by a cut that is over arrives."""
        for side in (0, 1):
            held, self._held[side] = self._held[side], []
            for act in held:
                self._land(side, act)

    def close(self, side: int, why: RequestFailure, tell: bool) -> None:
        """One end is closed, and the other one hears of it if it is told."""
        if not self.open[side]:
            return
        self.open[side] = False
        self._held[side] = []
        me, other = self.ends[side], self.ends[1 - side]
        assert me is not None, "an open end belongs to a process"
        if side == 0:
            if me.links.get(self.to) is self:
                del me.links[self.to]
            asked, self._asked = self._asked, {}
            for then, timer in asked.values():
                timer.cancel()
                me.do(partial(then, Err(why)))
            self._waiting = None
            me.do(lambda: me.machine.on_peer_disconnected(self.to))
        else:
            me.incoming.pop(self, None)
            assert other is not None, "a connection has an opener"
            me.do(lambda: me.machine.on_peer_disconnected(other.host.address))
        if tell and other is not None:
            self._transmit(side, 0, partial(self.close, 1 - side, RequestFailure.CONNECTION_LOST, False))

    def silence(self, side: int) -> None:
        """One end is without power: nothing more comes from it."""
        self.open[side] = False
        self._held[side] = []


class SimulatedRuntime:
    """The world as one life of a process sees it."""

    def __init__(self, net: Network, life: Incarnation, rng: random.Random, wall: float) -> None:
        self.net, self.life, self.rng, self._wall = net, life, rng, wall

    def now(self) -> float:
        return self.net.clock.now

    def wall_clock(self) -> float:
        return self._wall + self.net.clock.now

    def call_later(self, seconds: float, act: Callable[[], None]) -> Timer:
        timer = Timer(act)
        self.net.clock.call_later(seconds, partial(self.life.do, timer.fire))
        return timer

    def send(self, address: str, message: RawMessage) -> None:
        if not self.life.over:  # it may end in the midst of something
            self.net.link(self.life, address).send(message)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        if not self.life.over:
            self.net.link(self.life, address).request(message, timeout_s, on_reply)
