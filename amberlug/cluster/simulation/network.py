"""Simulated processes and their connections, with the behaviour of the peer transport and the kernel."""

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

CONNECT_TIMEOUT_S = 0.7
GIVE_UP_S = 1.5  # until the kernel closes a connection with unacknowledged data
RETRANSMIT_S = (0.05, 0.6)  # after a partition, until the kernel retransmits
LOST_PACKET_S = 0.2  # delay of a lost packet, which is retransmitted
BETWEEN_REGIONS_S = 0.009  # additional one-way delay


class Host:
    """A machine on the network, which runs at most one process."""

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.powered = True
        self.incarnation: Incarnation | None = None
        self.loss = 0.0  # fraction of its packets that are lost
        self.rate = 0.0  # bytes per second that it sends, and receives; 0: unlimited
        self.busy = [0.0, 0.0]  # when it has sent, and received, everything queued


class Incarnation:
    """One incarnation of a process: events wait while it is frozen, and are dropped once it has ended."""

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
        # Unanswered requests from outside: the function that closes each.
        self.calls: dict[Callable[[], None], None] = {}
        self._waiting: list[Callable[[], None]] = []

    def do(self, act: Callable[[], None]) -> None:
        """Run a callback in this process; a failed assertion ends the process."""
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
        """Resume: run the events that waited, with all timers either before or after all other events."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        first = rng.random() < 0.5
        waiting.sort(key=lambda act: (getattr(act, "__name__", "") == "fire") != first)
        for act in waiting:
            self.do(act)


class Network:
    """The network: addresses, delays, partitions and packet loss."""

    def __init__(self, clock: Clock, rng: random.Random, between_zones: float) -> None:
        self.clock, self.rng, self.between_zones = clock, rng, between_zones
        self.digest = BoundaryDigest(lambda: clock.now)
        self.hosts: dict[str, Host] = {}  # by address
        self.regions: dict[str, str] = {}  # by zone; if empty, all zones are in one region
        self.numbers = itertools.count(1)
        self.too_long = 0  # frames that the sender rejected as too long
        self._cuts: Counter[tuple[str, str]] = Counter()  # number of partitions that include each pair
        self._refused: Counter[tuple[str, str]] = Counter()
        # Called with all partitioned pairs whenever they change.
        self.told: Callable[[frozenset[tuple[str, str]]], None] = lambda pairs: None
        self._held: dict[Link, None] = {}

    def delay(self, a: Host, b: Host) -> float:
        """Draw the one-way delay of a packet."""
        seconds = 0.0002 if a.zone == b.zone else self.between_zones
        if self.regions.get(a.zone) != self.regions.get(b.zone):
            seconds += BETWEEN_REGIONS_S
        loss = a.loss + b.loss
        if loss and self.rng.random() < loss:
            seconds += LOST_PACKET_S
        return seconds + self.rng.expovariate(20000)

    def departure(self, a: Host, b: Host, size: int) -> float:
        """When so many bytes have been sent and received at the hosts' rates, without the network delay."""
        at = self.clock.now
        for side, host in enumerate((a, b)):
            if host.rate:
                at = host.busy[side] = max(at, host.busy[side]) + size / host.rate
        return at

    def is_cut(self, a: Host, b: Host) -> bool:
        """Whether packets from one host to the other are dropped."""
        return (a.name, b.name) in self._cuts

    def is_refused(self, a: Host, b: Host) -> bool:
        """Whether packets from one host to the other are answered by a reset."""
        return (a.name, b.name) in self._refused

    def cut(self, pairs: set[tuple[str, str]], refuse: bool = False) -> None:
        """Partition pairs: packets from the first to the second host are dropped, or answered by a reset."""
        (self._refused if refuse else self._cuts).update(pairs)
        self._tell()

    def heal(self, pairs: set[tuple[str, str]], refuse: bool = False) -> None:
        """End a partition: held data arrives a little later, unless its connection was closed meanwhile."""
        these = self._refused if refuse else self._cuts
        these.subtract(pairs)
        for pair in pairs:
            if these[pair] <= 0:
                del these[pair]
        self._tell()
        held, self._held = self._held, {}
        for link in held:
            self.clock.call_later(self.rng.uniform(*RETRANSMIT_S), link.flush)

    def _tell(self) -> None:
        self.told(frozenset(self._cuts) | frozenset(self._refused))

    def hold(self, link: Link) -> None:
        """Note that a connection holds data that is sent again when a partition ends."""
        self._held[link] = None

    def link(self, source: Incarnation, to: str) -> Link:
        """The connection of a process to an address, opened if there is none."""
        found = source.links.get(to)
        if found is None:
            found = source.links[to] = Link(self, source, to)
        return found

    def reset(self, host: Host, others: frozenset[str] | None = None) -> None:
        """Reset the connections of a machine's process: all of them, or those with certain machines."""
        if host.incarnation is not None:
            for link in [*host.incarnation.links.values(), *host.incarnation.incoming]:
                if others is not None and not others & link.hosts:
                    continue
                link.close(0, RequestFailure.CONNECTION_LOST, False)
                link.close(1, RequestFailure.CONNECTION_LOST, False)


class Link:
    """A connection that one process opened to another: it carries messages there and replies back."""

    def __init__(self, net: Network, source: Incarnation, to: str) -> None:
        self.net, self.to = net, to
        self.ends: list[Incarnation | None] = [source, None]
        self.open = [True, False]
        # Messages sent before the connection is open: number, size, delivery; None once it is open.
        self._waiting: list[tuple[int | None, int, Callable[[], None]]] | None = []
        self._pending_requests: dict[int, tuple[ReplyCallback, Timer]] = {}
        self._last = [0.0, 0.0]
        self._held: list[list[Callable[[], None]]] = [[], []]
        host = net.hosts.get(to)
        net.clock.call_later(CONNECT_TIMEOUT_S, self._on_connect_failed)
        if host is not None:
            net.clock.call_later(net.delay(source.host, host), partial(self._connect, host))

    @property
    def hosts(self) -> set[str]:
        """The names of the machines that it connects; only the opener's until it is open."""
        return {it.host.name for it in self.ends if it is not None}

    def _host(self, side: int) -> Host:
        end = self.ends[side]
        assert end is not None, "an open connection has two ends"
        return end.host

    # -- connecting

    def _on_connect_failed(self) -> None:
        if self._waiting is not None:
            self.close(0, RequestFailure.NOT_SENT, False)

    def _connect(self, host: Host) -> None:
        net, here = self.net, self._host(0)
        if not host.powered or net.is_cut(here, host) or net.is_cut(host, here) or not self.open[0]:
            return
        back = net.delay(host, here)
        refused = net.is_refused(here, host) or net.is_refused(host, here)
        if refused or host.incarnation is None or host.incarnation.over:
            net.clock.call_later(back, self._on_connect_failed)
            return
        self.ends[1], self.open[1] = host.incarnation, True
        host.incarnation.incoming[self] = None
        net.clock.call_later(back, self._on_connected)

    def _on_connected(self) -> None:
        waiting, self._waiting = self._waiting or [], None
        if self.open[0]:
            for _, size, act in waiting:
                self._transmit(0, size, act)

    # -- messages and replies

    def send(self, message: RawMessage) -> None:
        """Send a notification."""
        tag, blob = message.tag, message.payload
        text = json.dumps(message.body)
        if not self._too_long(text, blob):
            self._record(None, tag, text, blob)
            self._send(None, len(text) + len(blob), partial(self._arrive, None, tag, text, blob))

    def request(self, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; `on_reply` is called once."""
        tag, blob = message.tag, message.payload
        number = next(self.net.numbers)
        source = self.ends[0]
        assert source is not None, "a connection has an opener"
        text = json.dumps(message.body)
        if self._too_long(text, blob):
            not_sent = partial(on_reply, Err(RequestFailure.NOT_SENT))
            self.net.clock.call_later(0.0, partial(source.do, not_sent))
            return
        timer = Timer(partial(self._on_timeout, number))
        self._pending_requests[number] = on_reply, timer
        self.net.clock.call_later(timeout_s, partial(source.do, timer.fire))
        self._record(number, tag, text, blob)
        self._send(number, len(text) + len(blob), partial(self._arrive, number, tag, text, blob))

    def _record(self, number: int | None, tag: str, text: str, blob: bytes, side: int = 0) -> None:
        here, there = self.ends[side], self.ends[1 - side]
        assert here is not None, "a frame has a sender"
        target = there.name if side and there is not None else self.to
        self.net.digest.frame(here.name, target, number, tag, text, blob)

    def _too_long(self, text: str, blob: bytes) -> bool:
        """Whether the sender rejects a frame as too long; counts those."""
        if max(len(text), len(blob)) <= MAX_NETSTRING_BYTES:
            return False
        self.net.too_long += 1
        return True

    def _send(self, number: int | None, size: int, act: Callable[[], None]) -> None:
        if self._waiting is not None:
            self._waiting.append((number, size, act))
        else:
            self._transmit(0, size, act)

    def _on_timeout(self, number: int) -> None:
        found = self._pending_requests.pop(number, None)
        if found is None:
            return
        unsent = self._waiting is not None and any(it[0] == number for it in self._waiting)
        if self._waiting is not None:
            self._waiting = [it for it in self._waiting if it[0] != number]
        found[0](Err(RequestFailure.NOT_SENT if unsent else RequestFailure.TIMED_OUT))

    def _arrive(self, number: int | None, tag: str, text: str, blob: bytes) -> None:
        incarnation, source = self.ends[1], self.ends[0]
        assert incarnation is not None, "a message is delivered to a process"
        assert source is not None, "a message has a sender"

        def respond(body: Json, blob: bytes = b"") -> None:
            """Send a reply, unless it is too long, or to a notification, or the connection is closed."""
            if number is not None and self.open[1]:
                text = json.dumps(body)
                if not self._too_long(text, blob):
                    self._record(number, f"{tag}/reply", text, blob, side=1)
                    self._transmit(1, len(text) + len(blob), partial(self._replied, number, text, blob))

        def hear() -> None:
            """Have the receiving process handle the message; unknown tags are ignored."""
            handler = incarnation.machine.handlers.get(tag)
            if handler is not None:
                handler(json.loads(text), blob, source.host.address, respond)

        incarnation.do(hear)

    def _replied(self, number: int, text: str, blob: bytes) -> None:
        source = self.ends[0]
        assert source is not None, "a connection has an opener"

        def hear() -> None:
            """Pass the reply on, unless the request has timed out or the connection was closed."""
            found = self._pending_requests.pop(number, None)
            if found is not None:
                found[1].cancel()
                found[0](Ok(Reply(json.loads(text), blob)))

        source.do(hear)

    # -- on the wire

    def _transmit(self, side: int, size: int, act: Callable[[], None]) -> None:
        net, here, there = self.net, self._host(side), self._host(1 - side)
        arrival = max(self._last[side], net.departure(here, there, size) + net.delay(here, there))
        self._last[side] = arrival
        net.clock.call_later(arrival - net.clock.now, partial(self._receive, side, act))

    def _receive(self, side: int, act: Callable[[], None]) -> None:
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
            # No process has this connection at the other end: it is reset.
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
        """Deliver the data that a partition, which is over now, has held up."""
        for side in (0, 1):
            held, self._held[side] = self._held[side], []
            for act in held:
                self._receive(side, act)

    def close(self, side: int, why: RequestFailure, tell: bool) -> None:
        """Close one end; the other end is notified if `tell`."""
        if not self.open[side]:
            return
        self.open[side] = False
        self._held[side] = []
        me, other = self.ends[side], self.ends[1 - side]
        assert me is not None, "an open end belongs to a process"
        if side == 0:
            if me.links.get(self.to) is self:
                del me.links[self.to]
            asked, self._pending_requests = self._pending_requests, {}
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

    def close_silently(self, side: int) -> None:
        """Close one end without notice, as a power loss does."""
        self.open[side] = False
        self._held[side] = []


class SimulatedRuntime:
    """The runtime of one incarnation of a process: clock, timers and messages."""

    def __init__(self, net: Network, incarnation: Incarnation, rng: random.Random, wall: float) -> None:
        self.net, self.incarnation, self.rng, self._wall = net, incarnation, rng, wall

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.net.clock.now

    def wall_clock(self) -> float:
        """Return the wall clock of the machine in seconds."""
        return self._wall + self.net.clock.now

    def call_later(self, seconds: float, act: Callable[[], None]) -> Timer:
        """Run a callback in this process in so many seconds, unless the timer is cancelled."""
        timer = Timer(act)
        self.net.clock.call_later(seconds, partial(self.incarnation.do, timer.fire))
        return timer

    def send(self, address: str, message: RawMessage) -> None:
        """Send a notification; does nothing once the process has ended."""
        if not self.incarnation.over:  # the process may end during the call that sends
            self.net.link(self.incarnation, address).send(message)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Send a request; `on_reply` is called once, but never after the process has ended."""
        if not self.incarnation.over:
            self.net.link(self.incarnation, address).request(message, timeout_s, on_reply)
