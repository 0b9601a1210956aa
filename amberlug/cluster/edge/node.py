"""An edge: takes messages from clients, owns shards, and dispatches what is due. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from absl import logging
from result import Err, Ok, Result

from amberlug.cluster.control.cluster_state import SHARDS
from amberlug.cluster.dispatch.call_outcome import judge
from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.dispatcher import DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_pool import EndpointAnnouncement, EndpointPool
from amberlug.cluster.dispatch.message import Message, name_of, shard_in, shard_of
from amberlug.cluster.dispatch.messages import AdmissionOutcome, CallEnded
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_owner import DeliveryCallbacks, ShardOwner
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import AdminApi, HttpRequest, HttpResponse, RespondHttp, order
from amberlug.cluster.http.routing import Route, RoutingTable, build
from amberlug.cluster.interfaces import (
    CallResult,
    Endpoints,
    Json,
    Reply,
    RequestFailure,
    Respond,
    Runtime,
    on,
)
from amberlug.cluster.node_status import EdgeStatus
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import SessionClient, internal
from amberlug.cluster.settings import Settings
from amberlug.cluster.storage.messages import MessageOutcome

MEND_S = 0.1  # between looks for messages that lack copies
MEND_MOST = 16  # copied at once: what is mended must not hold up what is taken in
OFFER_S = 0.5  # for another owner to take a message
OFFER_AGAIN_S = 0.03
NO_OWNER_S = 1.0  # a message waits so long for a shard to have an owner that answers
CLIENT_S = 1.5  # that a client waits where it does not say
ASK_S = 0.5  # for another edge or a store to say how a message stands
ASKED_S = 1.7  # for an answer to who asks: they wait two seconds
SWEEP_S = 1.0
RETENTION_SLACK_S = 0.5  # clients' sends are known only by their arrival
HELD_SHARE = 0.35  # part of the memory that bodies in hand may take
RATE_WAIT_S = 1.0  # until a larger part of a service's rate is used: others have heard of it by then
KEPT_BACK = frozenset(
    (
        "host",
        "content-length",
        "transfer-encoding",
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-connection",
        "amberlug-time-remaining",
        "amberlug-attempt-id",
        "amberlug-not-before",
        "amberlug-target-instance",
        "amberlug-notify-uri",
    )
)


class Request(HttpRequest, Protocol):
    """A client's request."""

    @property
    def headers(self) -> tuple[tuple[str, str], ...]: ...


Finish = Callable[[int, Json | None, tuple[tuple[str, str], ...], bytes], None]


class _Submission:
    """One client's message on its way to an owner."""

    def __init__(
        self, edge: EdgeNode, message: Message, seconds: float, say: Callable[[AdmissionOutcome], None]
    ) -> None:
        self.edge, self.message, self.say = edge, message, say
        now = edge.world.now()
        self.until = now + seconds
        self.patience = now + min(seconds, NO_OWNER_S)
        self.unclear = False
        self.offered = False  # an owner has been given it and has not answered yet
        self.over = False
        self.timer = edge.world.call_later(seconds, self._late)

    def _late(self) -> None:
        self._end(
            AdmissionOutcome.OUTCOME_UNKNOWN if self.unclear or self.offered else AdmissionOutcome.REJECTED
        )

    def go(self) -> None:
        if self.over:
            return
        edge, message = self.edge, self.message
        left = self.until - edge.world.now()
        if left <= 0 or (not self.unclear and edge.world.now() > self.patience):
            self._end(AdmissionOutcome.OUTCOME_UNKNOWN if self.unclear else AdmissionOutcome.REJECTED)
            return
        if message.shard in edge.shards.owned:
            self.offered = True
            edge.shards.accept(message, self._said)
            return
        owner = edge.shards.owner_of(message.shard)
        if owner is None or owner[0] == edge.member.id:
            self._later()
            return
        body = {"id": message.id, "shard": message.shard, "meta": message.metadata()}
        data = message.body
        assert data is not None, "a message that is offered has its body"
        self.offered = True
        edge.world.request(owner[1], "offer", body, min(left, OFFER_S), self._heard, data)

    def _later(self) -> None:
        self.edge.world.call_later(OFFER_AGAIN_S, self.go)

    def _heard(self, reply: Result[Reply, RequestFailure]) -> None:
        if isinstance(reply, Err):
            self.offered = False
            self.unclear |= reply.err_value is not RequestFailure.NOT_SENT
            self._later()
        elif reply.ok_value.body.get("dark") and not self.unclear:
            self._end(AdmissionOutcome.REJECTED)  # its owner wrote nothing, and can't for now
        else:
            self._said(AdmissionOutcome(reply.ok_value.body["taken"]))

    def _said(self, taken: AdmissionOutcome) -> None:
        self.offered = False
        if taken is AdmissionOutcome.ACCEPTED:
            self._end(taken)
            return
        # What another owner had begun to keep may be found by the next: the name stays the same.
        self.unclear |= taken is not AdmissionOutcome.REJECTED
        self._later()

    def _end(self, taken: AdmissionOutcome) -> None:
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.say(taken)


class EdgeNode:
    """One edge machine."""

    def __init__(self, world: Runtime, settings: Settings, address: str, endpoints: Endpoints) -> None:
        self.world, self.settings, self.endpoints = world, settings, endpoints
        self.routes = RoutingTable()
        self.gossip = GossipStore(world, self._others, self._heard)
        self.member = SessionClient(world, settings, address, "edge", self.gossip, self._extra)
        self.replicator = Replicator(
            world, settings.tolerance, settings.zone, settings.region, settings.seconds("statusTtlS")
        )
        self.pool = EndpointPool(settings.zone, world.chance, endpoints.idle)
        self.delivery_queue = DeliveryQueue(world, self._ready)
        callbacks = DeliveryCallbacks(self._take, self._release, self._call_ended, self._is_admitted)
        self.shards = ShardOwner(world, self.replicator, self.member.id, callbacks)
        self.services: dict[str, Dispatcher] = {}
        self.ends: dict[str, tuple[str, str, float]] = {}  # how messages ended, and when by the steady clock
        self.counter = AdminApi(self)
        self.handlers = {**handlers_of(self), **handlers_of(self.gossip), **handlers_of(self.shards)}
        self.handlers |= handlers_of(EdgeStatus(self))
        self.counts: dict[str, int] = {}
        self.leaving = False
        self.size = 0  # bytes of bodies in hand
        self._orphans: set[Message] = set()  # out here, but their shard has another owner by now
        self._parked: list[Message] = []  # of a configuration that is not here yet
        self._was_ready = False
        self._part, self._part_timer = 0.0, False
        self.short: dict[str, Message] = {}  # messages that too few disks hold
        self._mending: set[str] = set()
        self._roster, self._roster_since = 0, 0.0

    def begin(self) -> None:
        self.member.begin()
        self.gossip.begin()
        self.world.call_later(SWEEP_S, self._sweep)
        self.world.call_later(MEND_S, self._mend)

    def leave(self) -> None:
        """A planned end: shards go to others; whoever still comes is served through them."""
        self.leaving = True
        self.member.leave()

    @property
    def idle(self) -> bool:
        """Whether nothing is owed here any more."""
        out = any(it.calls for it in self.services.values())
        return not (
            out or self.shards.owned or self.shards.pending_writes or self.replicator.pending_outcomes
        )

    def settings_are(self, settings: Settings) -> None:
        """Take a settings file that has changed."""
        self.settings = self.member.settings = settings
        self.member.seeds_are(internal(settings))

    def broken(self, address: str) -> None:
        self.member.broken(address)
        self.replicator.connection_lost(address)
        self.shards.connection_lost(address)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _others(self) -> list[str]:
        others = [it.address for it in self.shards.owners if it.node_id != self.member.id]
        return others + ([self.member.relay] if self.member.relay else [])

    # -- what is heard

    def _heard(self, key: str, value: Any) -> None:
        if key.startswith("ep/"):
            over = self.pool.update(key[3:], EndpointAnnouncement.from_wire(value), self.world.now())
            if over is not None and over.state == "gone":
                self.endpoints.forget(over.address)
            service = self.services.get(value["service"])
            if service is not None:
                service.pump()
        elif key == "config":
            self._config_is(build(self.gossip.items[key][0][0], value))
        elif key == "shards":
            self.shards.update_table(value)
            self._parts()
        elif key == "roster":
            self._roster_is(self.gossip.items[key][0][0], value)
        elif key == "cores":
            self.member.cores_are(value)

    def _config_is(self, routes: RoutingTable) -> None:
        assert routes.index > self.routes.index, "a configuration would be taken back"
        self.routes = routes
        logging.info("configuration %d is in force here", routes.edition)
        for name, it in routes.services.items():
            self.pool.set_fixed(name, it.fixed)
            self._service(name)
        for message in list(self.delivery_queue.messages.values()):
            before = message.service
            if self._resolve(message) and before != message.service and not message.in_flight:
                self.delivery_queue.requeue(message)
        parked, self._parked = self._parked, []
        for message in parked:
            if message.id in self.delivery_queue.messages and not message.ended:
                self._ready(message)
        self._part = 0.0
        self._parts()
        for service in self.services.values():
            service.pump()

    def _service(self, name: str) -> Dispatcher:
        service = self.services.get(name)
        if service is None:
            service = Dispatcher(
                name,
                self.world,
                self.pool,
                self.endpoints,
                DispatchCallbacks(self._timeout_s, self._finished),
            )
            self.services[name] = service
        destination = self.routes.services.get(name)
        service.fixed = destination is not None and destination.fixed is not None
        return service

    def _parts(self) -> None:
        """Each edge spends its part of a service's rate; a larger part only once the others spend less."""
        owns = bool(self.shards.owned)
        part = 1 / self.shards.edges if owns else 0.0
        if part > self._part and not self._part_timer:
            self._part_timer = True
            self.world.call_later(RATE_WAIT_S, self._raise_part)
        self._spend(min(part, self._part) if self._part else part / 4)

    def _raise_part(self) -> None:
        self._part_timer = False
        self._spend(1 / self.shards.edges if self.shards.owned else 0.0)

    def _spend(self, part: float) -> None:
        self._part = part
        for name, it in self.routes.services.items():
            if name in self.services:
                self.services[name].set_rate(it.rate, part or 0.01)

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here."""
        ready = (
            not self.leaving
            and self.member.confirmed
            and self.routes.index > 0
            and bool(self.shards.table)
            and not self.replicator.is_unavailable()
        )
        if ready != self._was_ready:
            self._was_ready = ready
            logging.info("ready" if ready else "not ready")
        return ready

    # -- clients

    def handle(self, asked: Request, finish: Finish) -> None:
        """Answer a request on the front."""
        if asked.target.startswith("/-/"):
            self.counter.take(asked, lambda said: self._say(said, finish))
            return
        if self.routes.index == 0 or not self.member.confirmed:
            # What is here may be older than what was acknowledged, or no configuration at all.
            self._refuse(finish, 503, "no configuration that a majority has confirmed")
            return
        host = (asked.header("host") or "").partition(":")[0]
        route = self.routes.match(host, asked.target.partition("?")[0])
        if route is None:
            self._count("no route")
            finish(404, {"cause": "no route"}, (), b"")
            return
        self._take_in(asked, route, finish)

    @staticmethod
    def _say(said: HttpResponse, finish: Finish) -> None:
        blob = said.body.get("blob")
        headers = (("Retry-After", str(said.retry_after)),) if said.retry_after is not None else ()
        if isinstance(blob, bytes):
            finish(said.status, None, headers, blob)
        else:
            finish(said.status, said.body, headers, b"")

    def _refuse(self, finish: Finish, status: int, cause: str) -> None:
        """It was not taken and never will be; the client is told when to come again."""
        self._count("refused")
        finish(status, {"cause": cause}, (("Retry-After", "1"),), b"")

    def _take_in(self, asked: Request, route: Route, finish: Finish) -> None:
        attempt, delay = asked.header("amberlug-attempt-id"), asked.header("amberlug-not-before") or "0"
        left = asked.header("amberlug-time-remaining")
        if not attempt or len(attempt) > 58 or not all(it.isalnum() or it in "-_." for it in attempt):
            finish(
                400,
                {"cause": "Amberlug-Attempt-Id: none, or not one of up to 58 letters, digits or -_."},
                (),
                b"",
            )
            return
        if not delay.isdigit() or len(delay) > 12:
            finish(400, {"cause": "Amberlug-Not-Before: no whole number of milliseconds"}, (), b"")
            return
        if self.size > HELD_SHARE * self.settings.memory_mb * 1e6:
            self._refuse(finish, 429, "too much is in hand")
            return
        key = (asked.header("amberlug-sequence-key") or "") if route.in_sequence else ""
        shard = self._shard_for(key)
        if shard is None:
            self._refuse(finish, 503, "no shard has an owner")
            return
        if shard in self.shards.owned and self.replicator.is_unavailable():
            self._refuse(finish, 503, "too few stores answer")
            return
        wall = self.world.wall_clock()
        message = Message(
            name_of(shard, attempt),
            shard,
            attempt,
            asked.header("host") or "",
            asked.method,
            asked.target,
            route.name,
            key,
            wall,
            wall + int(delay) / 1000,
            tuple((name, value) for name, value in asked.headers if name not in KEPT_BACK),
            asked.body,
            len(asked.body),
            config_index=self.routes.index,
        )
        seconds = int(left) / 1000 if left is not None and left.isdigit() else CLIENT_S

        def say(taken: AdmissionOutcome) -> None:
            if taken is AdmissionOutcome.ACCEPTED:
                self._count("taken")
                finish(202, None, (("Amberlug-Message-Name", message.id),), b"")
            elif taken is AdmissionOutcome.OUTCOME_UNKNOWN:
                self._count("unclear")
                finish(504, {"cause": "it is not known whether the message is kept"}, (), b"")
            else:
                self._refuse(finish, 503, "not enough stores can be reached")

        _Submission(self, message, seconds, say).go()

    def _shard_for(self, key: str) -> int | None:
        if key:
            return shard_of(key, SHARDS)
        serving = [number for number, it in self.shards.owned.items() if it.serving]
        if serving:
            return self.world.chance.choice(serving)
        owned = [
            number for number in range(len(self.shards.table)) if self.shards.owner_of(number) is not None
        ]
        return self.world.chance.choice(owned) if owned else None

    @on("offer")
    def on_offer(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Another edge's client has a message for a shard of this one."""
        message = Message.from_metadata(body["id"], body["shard"], body["meta"], blob, len(blob))
        self._count("offered")
        if message.config_index > self.routes.index:
            self.gossip.compare_with(origin)
        if body["shard"] in self.shards.owned and self.replicator.is_unavailable():
            respond({"taken": AdmissionOutcome.REJECTED.value, "dark": True}, b"")
            return
        self.shards.accept(message, lambda taken: respond({"taken": taken.value}, b""))

    # -- messages in hand

    def _take(self, message: Message) -> None:
        if message.route not in self.routes.by_name and message.config_index <= self.routes.index:
            message.ended = True  # its route was dropped meanwhile
            self._count("ended: dropped")
            self._note(message.id, "dropped", "")
            self.replicator.record_outcome(message, MessageOutcome("dropped"))
            return
        self.size += message.size
        self._resolve(message)
        self.delivery_queue.add(message)
        if not self.replicator.enough(message.holders):
            self.short[message.id] = message

    def _resolve(self, message: Message) -> bool:
        """Give a message its service by the newest configuration; one whose route was dropped ends."""
        route = self.routes.by_name.get(message.route)
        if route is not None:
            message.service, message.rank = route.service, route.rank
            # A copy that a lost store brings back is too old to run by then.
            message.keep_until = message.accepted_at + route.retention_s + 2 * RETENTION_SLACK_S
            return True
        if message.config_index <= self.routes.index and not message.in_flight:
            self._end(message, "dropped", "")
        return False

    def _ready(self, message: Message) -> None:
        """It is due and the first of its key."""
        route = self.routes.by_name.get(message.route)
        if route is None:
            if message.config_index > self.routes.index:
                self._parked.append(message)
            else:
                self._end(message, "dropped", "")
        elif self._too_old(message, route):
            self._end(message, "expired", "")
        elif message.body is None:
            self._fetch(message)
        else:
            self._service(route.service).add(message)

    def _too_old(self, message: Message, route: Route) -> bool:
        return self.world.wall_clock() - message.accepted_at > route.retention_s + RETENTION_SLACK_S

    def _fetch(self, message: Message) -> None:
        """Read its body from a store that has it."""
        message.in_flight = True

        def read(found: bool) -> None:
            if message.end and not message.ended:  # a store knows what an earlier owner did not tell
                self._settle(message.id, message.end, message.seal, False)
            elif found:
                self.delivery_queue.requeue(message)
            elif not message.ended:
                self.world.call_later(OFFER_AGAIN_S, lambda: self._fetch(message))

        self._read_body(message, read)

    def _read_body(self, message: Message, then: Callable[[bool], None]) -> None:
        holders = [it for it in message.holders if it in self.replicator.stores] or list(
            self.replicator.stores
        )

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            found = isinstance(reply, Ok) and bool(reply.ok_value.body.get("found"))
            if isinstance(reply, Ok):
                if found:
                    message.body = reply.ok_value.blob
                if reply.ok_value.body.get("end") and not message.end:
                    message.end, message.seal = reply.ok_value.body["end"], reply.ok_value.body["seal"]
            then(found)

        store = self.replicator.stores[self.world.chance.choice(holders)]
        self.world.request(store.address, "body", {"id": message.id}, ASK_S, hear)

    def _timeout_s(self, message: Message) -> float:
        route = self.routes.by_name.get(message.route)
        return route.expiry_s if route is not None else 1.0

    def _finished(self, message: Message, called: CallResult) -> None:
        """A call ended."""
        route = self.routes.by_name.get(message.route)
        outcome = judge(message, called, route.max_attempts if route is not None else 1)
        self._count(f"called: {outcome.end or called.verdict.value}")
        message.failures += outcome.is_failure
        if message in self._orphans:
            self._orphans.discard(message)
            message.in_flight = False
            if outcome.end:
                self.replicator.record_outcome(message, MessageOutcome(outcome.end, outcome.seal))
                self._note(message.id, outcome.end, outcome.seal)
            self.shards.outcome_elsewhere(
                message, MessageOutcome(outcome.end, outcome.seal), outcome.is_failure
            )
        elif message.ended:
            return
        elif outcome.end:
            message.in_flight = False
            self._end(message, outcome.end, outcome.seal)
        elif outcome.retry_delay_s > 0:
            self.world.call_later(outcome.retry_delay_s, lambda: self._again(message))
        else:
            self._again(message)

    def _again(self, message: Message) -> None:
        if message.id in self.delivery_queue.messages and not message.ended:
            message.in_flight = False
            if self._resolve(message):
                self.delivery_queue.requeue(message)

    def _end(self, message: Message, end: str, seal: str) -> None:
        """It has ended: the stores are told."""
        assert not message.ended, "a message ends twice"
        self.size -= message.size
        self._count(f"ended: {end}")
        self._note(message.id, end, seal)
        self.delivery_queue.end(message)
        self.replicator.record_outcome(message, MessageOutcome(end, seal))

    def _note(self, name: str, end: str, seal: str) -> None:
        self.ends[name] = end, seal, self.world.now()

    def _is_admitted(self, message_id: str) -> bool:
        return message_id in self.delivery_queue.messages or message_id in self.ends

    def _call_ended(self, ended: CallEnded) -> None:
        outcome = ended.outcome
        self._settle(ended.message_id, outcome.status, outcome.receipt, ended.is_failure)

    def _settle(self, name: str, end: str, seal: str, failed: bool) -> None:
        """The owner before tells what came of a call."""
        message = self.delivery_queue.messages.get(name)
        if message is None or message.ended:
            if end and message is None:
                self._note(name, end, seal)
            return
        message.in_flight = False
        message.failures += failed
        if end:
            self._end(message, end, seal)
        else:
            self._again(message)

    def _release(self, shard: int) -> list[Message]:
        """Let go of a shard's messages; calls that are under way go on, and their outcome is told."""
        gone = [it for it in self.delivery_queue.messages.values() if it.shard == shard]
        for message in gone:
            self.delivery_queue.drop(message)
            self.size -= message.size
            if message.in_flight and any(message is it.message for it in self._calls_of(message)):
                self._orphans.add(message)
            else:
                message.in_flight = False
                message.ended = True  # here it is nobody's any more
        return gone

    def _calls_of(self, message: Message) -> list[Any]:
        # A new configuration may have sent the message elsewhere while its call is out at another service.
        return [out for it in self.services.values() for out in it.calls if out.message is message]

    def _sweep(self) -> None:
        self.world.call_later(SWEEP_S, self._sweep)
        before = self.world.now() - self.settings.seconds("statusTtlS")
        while self.ends and next(iter(self.ends.values()))[2] < before:
            del self.ends[next(iter(self.ends))]
        for message in list(self.delivery_queue.messages.values()):
            route = self.routes.by_name.get(message.route)
            if route is not None and not message.in_flight and self._too_old(message, route):
                self._end(message, "expired", "")

    # -- copies that are lacking

    def _roster_is(self, index: int, roster: Json) -> None:
        self.replicator.update_roster(roster, index)
        self._roster, self._roster_since = index, self.world.now()
        self.shards.roster_changed()
        self.short = {
            name: it
            for name, it in self.delivery_queue.messages.items()
            if not self.replicator.enough(it.holders)
        }

    def _extra(self) -> Json:
        """What the leader wants to know before a disk is asked no more."""
        early = sum(1 for since in self.shards.write_started_at.values() if since <= self._roster_since)
        table = self.gossip.items.get("shards")
        return {
            "roster": self._roster,
            "table": table[0][0] if table is not None else 0,
            "loading": sum(1 for it in self.shards.owned.values() if not it.serving) + self.shards.unfenced,
            "short": len(self.short) + early,
        }

    def _mend(self) -> None:
        """Copy what too few disks hold, a few at a time."""
        self.world.call_later(MEND_S, self._mend)
        self._mend_more()

    def _mend_more(self) -> None:
        for name, message in list(self.short.items()):
            if (
                message.ended
                or name not in self.delivery_queue.messages
                or self.replicator.enough(message.holders)
            ):
                del self.short[name]
            elif name not in self._mending:
                if len(self._mending) >= MEND_MOST:
                    return
                self._mending.add(name)
                self._copy(message)

    def _copy(self, message: Message) -> None:
        shard = self.shards.owned.get(message.shard)
        if message.body is None:
            self._read_body(message, lambda found: self._copy(message) if found else self._copied(message))
        elif shard is None or message.ended:
            self._copied(message)
        else:
            self.replicator.put(message, shard.epoch, lambda put: self._copied(message))

    def _copied(self, message: Message) -> None:
        self._mending.discard(message.id)
        if message.end and not message.ended:  # a store knows what an earlier owner did not tell
            self._settle(message.id, message.end, message.seal, False)
        if self.replicator.enough(message.holders):
            self._count("mended")
            self.short.pop(message.id, None)
            if self.short and not self._mending:
                self.world.call_later(0.0, self._mend_more)

    # -- who asks for a message

    @order("GET", "/-/message/")
    def message(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Tell how a message stands."""

        def found(state: tuple[str, str] | None) -> None:
            if state is None:
                say(HttpResponse(503, {"cause": "it can't be known now"}, 1))
                return
            end, seal = state
            if end == "none":
                say(HttpResponse(404, {"cause": "no such message"}))
            elif end == "done":
                say(HttpResponse(200, {"condition": "completed", "seal": seal}))
            else:
                say(HttpResponse(200, {"condition": "failed" if end else "pending"}))

        self._find(name, found)

    def _mine(self, name: str) -> tuple[str, str] | None:
        if name in self.delivery_queue.messages or name in self.shards.pending_writes:
            return "", ""
        known = self.ends.get(name)
        return (known[0], known[1]) if known is not None else None

    def _find(self, name: str, found: Callable[[tuple[str, str] | None], None]) -> None:
        """How a message stands: by what is in hand here, by its owner, else by enough stores."""
        mine = self._mine(name)
        if mine is not None:
            found(mine)
            return
        owner = self.shards.owner_of(shard_in(name))

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if isinstance(reply, Ok) and reply.ok_value.body.get("known"):
                end, seal = reply.ok_value.body["known"]
                found((end, seal))
            else:
                self._find_stored(name, self.world.now() + ASKED_S - ASK_S, found)

        if owner is not None and owner[0] != self.member.id:
            self.world.request(owner[1], "standing", {"id": name}, ASK_S, hear)
        else:
            self._find_stored(name, self.world.now() + ASKED_S, found)

    @on("standing")
    def on_standing(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Another edge asks how a message stands that should be in hand here."""
        respond({"known": self._mine(body["id"])}, b"")

    def _find_stored(self, name: str, until: float, found: Callable[[tuple[str, str] | None], None]) -> None:
        heard: set[str] = set()
        states: list[tuple[str, str]] = []
        over = False

        def hear(disk: str, reply: Result[Reply, RequestFailure]) -> None:
            nonlocal over
            if over:
                return
            if isinstance(reply, Ok) and reply.ok_value.body["disk"] == disk:
                heard.add(disk)
                state = reply.ok_value.body["found"].get(name)
                if state is not None:
                    states.append((state[0], state[1]))
            ended = [it for it in states if it[0]]
            if ended or self.replicator.covers_all_messages(heard):
                over = True
                found(ended[0] if ended else (states[0] if states else ("none", "")))

        def late() -> None:
            nonlocal over
            if not over:
                over = True
                found(None)

        for disk, store in self.replicator.stores.items():
            self.world.request(store.address, "find", {"ids": [name]}, ASK_S, partial(hear, disk))
        self.world.call_later(min(ASK_S + 0.05, max(0.0, until - self.world.now())), late)

    @order("GET", "/-/message-body/")
    def message_body(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Give the bytes of a message that is queued or dead."""
        message = self.delivery_queue.messages.get(name)
        if message is not None and message.body is not None:
            say(HttpResponse(200, {"blob": message.body}))
            return
        waiting = len(self.replicator.stores)
        over = False

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            nonlocal waiting, over
            waiting -= 1
            if over:
                return
            if isinstance(reply, Ok) and reply.ok_value.body.get("found"):
                over = True
                say(HttpResponse(200, {"blob": reply.ok_value.blob}))
            elif waiting == 0:
                over = True
                say(HttpResponse(404, {"cause": "no store has its bytes now"}))

        for store in self.replicator.stores.values():
            self.world.request(store.address, "body", {"id": name}, ASK_S, hear)
        if not waiting:
            say(HttpResponse(503, {"cause": "no store is known"}, 1))
