"""Simulated endpoints: slots and a queue, run times, failures, lost responses, restarts."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from amberlug.cluster.dispatch.endpoint_client import EndpointClient as RealEndpointClient
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.simulation.boundary_digest import BoundaryDigest
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.history import History, Run
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.network import Incarnation
from amberlug.http.link import Reply

DELAY_S = 0.0006
QUEUE = 3
WITHIN_S = 1.0  # timeout of an announcement
PAUSE_S = 0.2
LATE_S = 1.8  # delay of a late response; longer than any call waits
DRAIN_S = 3.0
DROPPED = 0.8  # probability that a run is stopped when its connection closes
NOT_RUN = ("amberlug-not-executed", "1")


@dataclass(slots=True)
class Kind:
    """The endpoints of one service, and their failure rates."""

    name: str
    slots: int
    work_s: float
    dedup: bool
    fails: float = 0.02  # fraction of the runs that are answered with 500
    lost: float = 0.0  # fraction of the responses that are lost, silently or with a reset
    garbled: float = 0.0  # fraction of the responses that are cut off, late, without id, or sent twice


Answer = Callable[[CallResult], None]


class EndpointHost(Protocol):
    """What endpoints need of the deployment that they register with."""

    clock: Clock
    digest: BoundaryDigest
    history: History
    heartbeat_s: float
    cores: list[Machine]

    def random_for(self, what: str) -> random.Random:
        """Create a random number generator for one part."""

    def control(
        self,
        core: Machine,
        method: str,
        target: str,
        body: bytes,
        within: float,
        then: Callable[[int, Any], None],
        headers: tuple[tuple[str, str], ...] = (),
        leaves: Callable[[int], None] = ...,
    ) -> None:
        """Send a request to a control-plane node."""


class Endpoint:
    """One instance of an endpoint."""

    def __init__(self, endpoint_fleet: EndpointFleet, name: str, kind: Kind, address: str, zone: str) -> None:
        self.endpoint_fleet, self.name, self.kind, self.address, self.zone = (
            endpoint_fleet,
            name,
            kind,
            address,
            zone,
        )
        self.deployment = endpoint_fleet.deployment
        self.up, self.silent = True, False
        self.condition = "ready"
        self._sequence = 0
        self._heartbeat_address = ""
        self._runs: dict[Run, tuple[Incarnation, Answer]] = {}
        self._queue: list[tuple[Run, EndpointCall, Incarnation, Answer]] = []

    # -- messages

    def take(self, delivery: EndpointCall, incarnation: Incarnation, sent: float, answer: Answer) -> None:
        """Receive a call: run it, queue it, or reject it."""
        names = {name.lower(): value for name, value in delivery.headers}
        about = ("amberlug-attempt-id", delivery.attempt_id)
        if names.get("amberlug-target-instance", self.name) != self.name:
            answer(CallResult(CallVerdict.ANSWERED, 421, (about, NOT_RUN)))
            return
        now, history = self.deployment.clock.now, self.deployment.history
        run = Run(
            delivery.attempt_id,
            self.name,
            self.kind.name,
            incarnation.name,
            sent,
            now,
            int(names["amberlug-time-remaining"]) / 1000,
            delivery.body,
        )
        history.runs.append(run)
        first = self.endpoint_fleet.done.get(delivery.attempt_id) if self.kind.dedup else None
        if first == "":
            answer(CallResult(CallVerdict.ANSWERED, 409, (about, NOT_RUN)))
        elif first is not None:
            answer(CallResult(CallVerdict.ANSWERED, 200, (about, ("amberlug-server-seal", first))))
        elif len(self._runs) + len(self._queue) >= self.kind.slots + QUEUE:
            answer(CallResult(CallVerdict.ANSWERED, 503, (about, NOT_RUN)))
        else:
            self._queue.append((run, delivery, incarnation, answer))
            self._start_queued()

    def _start_queued(self) -> None:
        clock, rng = self.deployment.clock, self.endpoint_fleet.rng
        while self._queue and len(self._runs) < self.kind.slots:
            run, delivery, incarnation, answer = self._queue.pop(0)
            left = run.seconds - (clock.now - run.arrived)
            if incarnation.over or left <= 0:
                continue
            run.began = clock.now
            self._runs[run] = incarnation, answer
            if self.kind.dedup:
                self.endpoint_fleet.done[run.attempt] = ""
            work = self.kind.work_s * rng.uniform(0.5, 1.6)
            clock.call_later(min(work, left), partial(self._end, run, delivery, work <= left))

    def _end(self, run: Run, delivery: EndpointCall, whole: bool) -> None:
        if run not in self._runs:
            return
        _, answer = self._runs.pop(run)
        fate = self.endpoint_fleet.fate(delivery)
        status = {"dead": 422, "fails": 500}.get(fate, 200)
        if status == 200 and self.endpoint_fleet.rng.random() < self.kind.fails:
            status = 500
        headers = [("amberlug-attempt-id", run.attempt)]
        run.ended = self.deployment.clock.now
        if not whole:
            status, run.what = 504, "stopped"
        elif status == 200:
            run.what, run.seal = "done", f"{self.name}.{self.endpoint_fleet.next_number()}"
            headers.append(("amberlug-server-seal", run.seal))
        else:
            run.what = "dead" if status == 422 else "failed"
        if self.kind.dedup:
            if run.seal:
                self.endpoint_fleet.done[run.attempt] = run.seal
            else:
                del self.endpoint_fleet.done[run.attempt]

        called = CallResult(CallVerdict.ANSWERED, status, tuple(headers))
        if self.endpoint_fleet.rng.random() < self.kind.lost:
            if self.endpoint_fleet.rng.random() < 0.5:
                answer(CallResult(CallVerdict.CONNECTION_LOST))
        elif self.kind.garbled and self.endpoint_fleet.rng.random() < self.kind.garbled:
            self._garble(called, answer)
        else:
            answer(called)
        self._start_queued()

    def _garble(self, called: CallResult, answer: Answer) -> None:
        """Cut off a response, send it too late, omit its attempt id, or repeat it a little later."""
        rng, clock = self.endpoint_fleet.rng, self.deployment.clock
        what = rng.choice(("cut", "late", "nameless", "extra", "extra", "extra"))
        if what == "cut":
            answer(CallResult(CallVerdict.CONNECTION_LOST))
        elif what == "late":
            clock.call_later(LATE_S, lambda: answer(called))
        elif what == "nameless":
            answer(CallResult(called.verdict, called.status, called.headers[1:]))
        else:
            answer(called)
            clock.call_later(rng.choice((0.0, rng.uniform(0.0, 0.3))), lambda: answer(called))

    def closed(self, incarnation: Incarnation) -> None:
        """Drop the queued calls of an edge process that has ended, and stop most of its runs."""
        self._queue = [it for it in self._queue if it[2] is not incarnation]
        for run, (by, _) in list(self._runs.items()):
            if by is incarnation and self.endpoint_fleet.rng.random() < DROPPED:
                self._stop(run)
        self._start_queued()

    def _stop(self, run: Run) -> None:
        del self._runs[run]
        run.ended, run.what = self.deployment.clock.now, "stopped"
        if self.kind.dedup:
            self.endpoint_fleet.done.pop(run.attempt, None)

    def crash(self, silent: bool) -> None:
        """End without notice; `silent` if its machine fails as well, and connections are not closed."""
        self.up, self.silent = False, silent
        waiting = [answer for _, answer in self._runs.values()] + [it[3] for it in self._queue]
        for run in list(self._runs):
            self._stop(run)
        self._queue.clear()
        if not silent:
            for answer in waiting:
                answer(CallResult(CallVerdict.CONNECTION_LOST))

    # -- registration

    def begin(self) -> None:
        """Start sending announcements, one per heartbeat interval."""
        if self.up and self.condition == "ready":
            self._announce(lambda ok: None)
            self.deployment.clock.call_later(self.deployment.heartbeat_s, self.begin)

    def _announce(self, then: Callable[[bool], None]) -> None:
        self._sequence += 1
        body = {
            "targetService": self.kind.name,
            "address": self.address,
            "zone": self.zone,
            "edition": "v1",
            "capacity": self.kind.slots,
            "condition": self.condition,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
        }
        self._call(f"/-/Instances.Announce/{self.name}", json.dumps(body).encode(), 4, then)

    def _call(self, target: str, body: bytes, tries: int, then: Callable[[bool], None]) -> None:
        deployment = self.deployment
        named = [it for it in deployment.cores if it.control == self._heartbeat_address]
        to = named[0] if named else self.endpoint_fleet.rng.choice(deployment.cores)
        self._heartbeat_address = ""

        def hear(status: int, said: object) -> None:
            """Report success on a 2xx status; otherwise retry in PAUSE_S, or report failure at the end."""
            if status // 100 == 2:
                if self.condition == "draining":
                    deployment.history.drained_by.setdefault(self.name, to.name)
                self._heartbeat_address = said.get("heartbeatUri", "") if isinstance(said, dict) else ""
                then(True)
            elif tries > 1 and self.up:
                deployment.clock.call_later(PAUSE_S, lambda: self._call(target, body, tries - 1, then))
            else:
                then(False)

        def leaves(status: int) -> None:
            """Report to the fleet that the drain is acknowledged, as that response is sent."""
            if status == 200 and self.condition == "draining":
                self.endpoint_fleet.on_drained(to)

        deployment.control(to, "POST", target, body, WITHIN_S, hear, leaves=leaves)

    def leave(self, linger_s: float, gone: Callable[[], None]) -> None:
        """End as planned: announce draining, keep serving for a while, deregister and stop."""
        self.condition = "draining"
        deployment = self.deployment
        deployment.history.leaving.setdefault(self.name, deployment.clock.now)

        def drained(ok: bool) -> None:
            """Record an acknowledged drain, and deregister after the drain time and `linger_s`."""
            if ok:
                deployment.history.drained.setdefault(self.name, deployment.clock.now)
                deployment.history.trace(f"{self.name} is acknowledged as draining")
            deployment.clock.call_later(DRAIN_S + linger_s, say_gone)

        def say_gone() -> None:
            """Deregister, unless the endpoint has already ended."""
            if self.up:
                self._call(f"/-/Instances.Deregister/{self.name}", b"{}", 3, end)

        def end(ok: bool) -> None:
            """End the endpoint and report it, whether deregistration succeeded or not."""
            if self.up:
                self.crash(False)
                gone()

        self._announce(drained)


class EndpointFleet:
    """All endpoints of a deployment."""

    def __init__(self, deployment: EndpointHost, kinds: list[Kind]) -> None:
        self.deployment, self.rng = deployment, deployment.random_for("endpoints")
        self.kinds = {it.name: it for it in kinds}
        self.all: list[Endpoint] = []
        self.at: dict[str, Endpoint] = {}
        # The shared deduplication table: by attempt id, the seal of the first success, or "" while it runs.
        self.done: dict[str, str] = {}
        self.fates: dict[str, str] = {}  # of messages that never succeed, by attempt id
        # Called as the acknowledgement of a drain is sent.
        self.on_drained: Callable[[Machine], None] = lambda core: None
        self._numbers = 0

    def next_number(self) -> int:
        """Return the next number, from 1; instance names and seals share one sequence."""
        self._numbers += 1
        return self._numbers

    def fate(self, delivery: EndpointCall) -> str:
        """Return `dead` or `fails` for a message that never succeeds, and an empty string for others."""
        return self.fates.get(delivery.attempt_id, "")

    def start(self, service: str, zone: str, address: str = "", announces: bool = True) -> Endpoint:
        """Start an instance, at a new address or at one that another instance has left.

        :param announces: whether it registers with the control plane; one at a configured address does not.
        """
        number = self.next_number()
        address = address or f"10.100.{number // 250}.{number % 250 + 1}:8080"
        endpoint = Endpoint(self, f"i-{number:x}", self.kinds[service], address, zone)
        self.all.append(endpoint)
        self.at[address] = endpoint
        self.deployment.history.trace(f"{endpoint.name} of {service} starts at {address}")
        if announces:
            self.deployment.clock.call_later(self.rng.uniform(0.0, 0.3), endpoint.begin)
        return endpoint

    def up(self, service: str = "") -> list[Endpoint]:
        """The ready endpoints, of one service or of all."""
        return [it for it in self.all if it.up and it.condition == "ready" and service in ("", it.kind.name)]

    def closed(self, incarnation: Incarnation) -> None:
        """Have endpoints drop the queued calls of an ended edge process, and stop most of its runs."""
        for endpoint in self.all:
            if endpoint.up:
                endpoint.closed(incarnation)


@dataclass(slots=True, eq=False)
class Connection:
    """A connection from an edge process to an endpoint; responses go to the call that it carries then."""

    hear: Callable[[CallResult], None] | None = None
    open: bool = True
    answered: set[str] = field(default_factory=set)  # ids of attempts that were answered without success


class EndpointClient:
    """Calls endpoints for one edge process; the program's own endpoint client matches responses to calls."""

    def __init__(self, endpoint_fleet: EndpointFleet, incarnation: Incarnation) -> None:
        self.endpoint_fleet, self.incarnation = endpoint_fleet, incarnation
        self._kept: set[str] = set()
        self._idle: dict[str, list[Connection]] = {}

    def available_connections(self, address: str) -> int:
        """Return 1 if the last finished call to an address was answered, otherwise 0."""
        return int(address in self._kept)

    def close_idle_connections(self, address: str) -> None:
        """Stop counting the connection to an address as available."""
        self._kept.discard(address)

    def _connection(self, delivery: EndpointCall) -> Connection:
        idle = self._idle.setdefault(delivery.address, [])
        idle[:] = [it for it in idle if it.open]
        found = next((it for it in idle if delivery.attempt_id not in it.answered), None)
        if found is None:
            return Connection()
        idle.remove(found)
        return found

    @staticmethod
    def _arrived(connection: Connection, called: CallResult) -> None:
        if connection.hear is not None:
            connection.hear(called)
        else:
            connection.open = False  # a response on an idle connection belongs to no call

    def call(self, delivery: EndpointCall, then: Callable[[CallResult], None]) -> None:
        """Call an endpoint; `then` gets one result, TIMED_OUT at the timeout, unless the process ends."""
        clock, incarnation, digest = (
            self.endpoint_fleet.deployment.clock,
            self.incarnation,
            self.endpoint_fleet.deployment.digest,
        )
        sent = clock.now
        digest.add(
            "call", incarnation.name, delivery.address, delivery.method, delivery.target, delivery.headers
        )
        digest.add("call body", delivery.body, delivery.instance, delivery.attempt_id, delivery.timeout_s)
        over = False

        def end(called: CallResult) -> None:
            """Report the result, and keep the connection if it was answered; only the first call counts."""
            nonlocal over
            if over:
                return
            over = True
            connection.hear = None
            connection.open = called.verdict is CallVerdict.ANSWERED
            if called.verdict is CallVerdict.ANSWERED:
                if called.header("amberlug-server-seal") is None:
                    connection.answered.add(delivery.attempt_id)
                self._idle.setdefault(delivery.address, []).append(connection)
                self._kept.add(delivery.address)
                for run in reversed(self.endpoint_fleet.deployment.history.runs):
                    if run.sent == sent and run.attempt == delivery.attempt_id:
                        run.read = clock.now
                        break
            else:
                self._kept.discard(delivery.address)
            then(called)

        def hear(called: CallResult) -> None:
            """End the call; a response that belongs to another call counts as a lost connection."""
            reply = Reply(called.status, dict(called.headers))
            theirs = called.verdict is CallVerdict.ANSWERED and not RealEndpointClient.is_response_to(
                delivery, reply
            )
            end(CallResult(CallVerdict.CONNECTION_LOST) if theirs else called)

        connection = self._connection(delivery)
        connection.hear = hear

        def back(called: CallResult) -> None:
            """Send a result back to the edge process, after the network delay."""
            digest.add("call answer", delivery.address, called.verdict.value, called.status, called.headers)
            clock.call_later(DELAY_S, lambda: incarnation.do(partial(self._arrived, connection, called)))

        def arrive() -> None:
            """Deliver the call; if no endpoint is up, fail to connect, or be silent if its machine failed."""
            endpoint = self.endpoint_fleet.at.get(delivery.address)
            if incarnation.over:
                return
            if endpoint is not None and endpoint.up:
                endpoint.take(delivery, incarnation, sent, back)
            elif endpoint is None or not endpoint.silent:
                back(CallResult(CallVerdict.NOT_CONNECTED))

        clock.call_later(
            delivery.timeout_s, lambda: incarnation.do(partial(end, CallResult(CallVerdict.TIMED_OUT)))
        )
        clock.call_later(DELAY_S, arrive)
