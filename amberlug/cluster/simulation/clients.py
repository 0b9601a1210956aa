"""Simulated clients: an open-loop load through a virtual address, and status queries for messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from amberlug.cluster.simulation.deployment import CLOSED, REFUSED, Deployment, Request
from amberlug.cluster.simulation.history import Sent, StatusReply
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.network import Incarnation

DEADLINE_S = 1.5
PATIENCE_S = 0.3  # after the deadline, before the client closes its connection
TRIES = 3
POLL_S = 1.0
ASKED_S = 2.0
STATUS_PATH, BODY_PATH = "/-/message/", "/-/message-body/"
HOST = "shop.example"


@dataclass(frozen=True, slots=True)
class Load:
    """The traffic that clients generate."""

    rate: float  # messages per second
    paths: tuple[str, ...]  # chosen uniformly; a repeated path is chosen more often
    in_sequence: frozenset[str]
    keys: int
    delayed: float = 0.1  # fraction of messages with Amberlug-Not-Before
    longest_delay_ms: int = 1500
    never: float = 0.02  # fraction of messages that no endpoint ever completes
    asks: float = 3.0  # status queries per second for accepted messages
    extra: float = (
        0.15  # chance that a message is followed by one for a route that was added or removed recently
    )


class Clients:
    """All clients of a deployment, and the health checks of the virtual address."""

    def __init__(self, deployment: Deployment, load: Load) -> None:
        self.deployment, self.load = deployment, load
        self.clock, self.history = deployment.clock, deployment.history
        self.rng = deployment.random_for("clients")
        self.sending = False
        self.extra: list[str] = []  # paths of routes that were added or removed recently
        self._failed_polls: dict[str, int] = {it.name: 2 for it in deployment.edges}
        self._accepted: list[Sent] = []

    def begin(self) -> None:
        """Start polling the readiness of the edge nodes."""
        for edge in self.deployment.edges:
            self._poll(edge)

    def open(self) -> None:
        """Start sending messages and status queries."""
        self.sending = True
        self._next()
        self._schedule_query()

    # -- the virtual address

    def _poll(self, edge: Machine) -> None:
        def ask(incarnation: Incarnation, answer: Callable[..., None]) -> None:
            """Answer 200 if the edge node is ready, 503 if it is not."""
            answer(200 if incarnation.machine.ready else 503, None)

        def hear(status: int, *rest: object) -> None:
            """Record the result of the poll; any status but 200 counts as a failed poll."""
            self.history.polls.append((self.clock.now, edge.name, status == 200))
            self._failed_polls[edge.name] = 0 if status == 200 else self._failed_polls[edge.name] + 1

        self.deployment.call(edge, ask, POLL_S - 0.01, hear)
        self.clock.call_later(POLL_S, lambda: self._poll(edge))

    def choose_edge(self, zone: str) -> Machine:
        """Choose the edge node for a new connection from a zone, as the virtual address does.

        An edge node that failed its last two readiness polls gets no connections. If fewer than half of a
        zone's edge nodes are left, all nodes of the zone are used; if none is, ready nodes of other zones.
        """
        here = [it for it in self.deployment.edges if it.zone == zone]
        into = [it for it in here if self._failed_polls[it.name] < 2]
        if into and 2 * len(into) < len(here):
            into = here
        if not into:
            into = [it for it in self.deployment.edges if self._failed_polls[it.name] < 2]
        return self.rng.choice(into or self.deployment.edges)

    # -- messages

    def _next(self) -> None:
        if self.sending:
            self.clock.call_later(self.rng.expovariate(self.load.rate), self._next)
            self.send(self.rng.choice(self.load.paths))
            if self.extra and self.rng.random() < self.load.extra:
                self.send(self.rng.choice(self.extra))

    def send(self, path: str) -> None:
        """Send one message."""
        rng = self.rng
        key = f"k{rng.randrange(self.load.keys)}" if path in self.load.in_sequence else ""
        delay = rng.randrange(200, self.load.longest_delay_ms) if rng.random() < self.load.delayed else 0
        fate = rng.choice(("dead", "fails")) if rng.random() < self.load.never else ""
        body = f"{rng.getrandbits(48):x}".encode()
        zone = rng.choice(self.deployment.zones)
        self._try(path, key, delay, fate, body, zone, self.clock.now, 1)

    def _try(
        self, path: str, key: str, delay: int, fate: str, body: bytes, zone: str, first: float, number: int
    ) -> None:
        clock = self.clock
        left = DEADLINE_S - (clock.now - first)
        if left <= 0.02:
            return
        sent = Sent(
            f"{self.rng.getrandbits(64):016x}",
            f"{path}a",
            key,
            body,
            clock.now,
            first,
            clock.now + delay / 1000,
        )
        self.history.sent[sent.attempt] = sent
        if fate:
            self.deployment.endpoint_fleet.fates[sent.attempt] = fate
        headers = [
            ("host", HOST),
            ("amberlug-attempt-id", sent.attempt),
            ("amberlug-time-remaining", str(int(left * 1000))),
        ]
        if key:
            headers.append(("amberlug-sequence-key", key))
        if delay:
            headers.append(("amberlug-not-before", str(delay)))

        def again(seconds: float) -> None:
            """Submit the message again in so many seconds, unless all tries are used up."""
            if number < TRIES:
                clock.call_later(
                    seconds,
                    lambda: self._try(path, key, delay, fate, body, zone, first, number + 1),
                )

        def hear(
            status: int, body: object, headers: Any = None, blob: bytes = b"", process: str = ""
        ) -> None:
            """Record the response; retry after 429, 503 or a refused connection."""
            sent.status, sent.answered_at, sent.process = status, clock.now, process
            if status == 202:
                sent.name = headers["Amberlug-Message-Name"]
                self._accepted.append(sent)
            elif status in (429, 503):
                again(min(float(headers.get("Retry-After", 1)), 1.0) * self.rng.uniform(0.3, 1.0))
            elif status == REFUSED:
                again(0.01)

        request = Request("POST", sent.target, tuple(headers), body)
        self.deployment.front(self.choose_edge(zone), request, left + PATIENCE_S, hear)

    # -- status queries

    def _schedule_query(self) -> None:
        if self.sending and self.load.asks:
            self.clock.call_later(self.rng.expovariate(self.load.asks), self._schedule_query)
            if self._accepted:
                recent = self._accepted[-60:]
                self.ask(self.rng.choice(recent).name, lambda standing: None)

    def ask(self, name: str, then: Callable[[StatusReply], None]) -> None:
        """Query the status of a message at any edge node."""
        self._query(name, STATUS_PATH, then)

    def ask_body(self, name: str, then: Callable[[StatusReply], None]) -> None:
        """Request the body of a message at any edge node."""
        self._query(name, BODY_PATH, then)

    def _query(self, name: str, path: str, then: Callable[[StatusReply], None]) -> None:
        asked = self.clock.now
        edge = self.choose_edge(self.rng.choice(self.deployment.zones))

        def hear(
            status: int, body: Any, headers: object = None, blob: bytes = b"", process: str = ""
        ) -> None:
            """Record the response and pass it on; refused and closed connections are passed on only."""
            said = body if isinstance(body, dict) else {}
            standing = StatusReply(
                name,
                asked,
                self.clock.now,
                status,
                said.get("condition", ""),
                said.get("seal", ""),
                blob if status == 200 and body is None else None,
                path == BODY_PATH,
            )
            if status not in (REFUSED, CLOSED):
                self.history.status_replies.append(standing)
            then(standing)

        self.deployment.front(edge, Request("GET", f"{path}{name}", (("host", HOST),)), ASKED_S, hear)

    def ask_all(self, tries: int) -> None:
        """At the end of a run, query the status of accepted messages, and the bodies of pending ones."""
        for sent in self._accepted:
            self._query_until_final(sent, tries)

    def _query_until_final(self, sent: Sent, tries: int) -> None:
        def again() -> None:
            """Query again in 0.5 s, unless all tries are used up."""
            if tries > 1:
                self.clock.call_later(0.5, lambda: self._query_until_final(sent, tries - 1))

        def hear(standing: StatusReply) -> None:
            """Query again after a failure; if the message is pending, request its body."""
            if standing.status != 200:
                again()
            elif standing.condition == "pending":
                self.ask_body(sent.name, lambda found: again() if found.status != 200 else None)

        self.ask(sent.name, hear)
