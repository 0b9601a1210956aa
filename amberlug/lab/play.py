"""Runs a scenario in virtual time: endpoints, clients and relays; returns the resulting figures."""

from __future__ import annotations

import hashlib
import statistics
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import Any

import numpy as np

from amberlug.core.messages import End, Message, Refusal
from amberlug.lab.clock import SECOND, START_MS, START_US, EventQueue
from amberlug.lab.partners import Destination, Endpoint
from amberlug.lab.relay import Relay
from amberlug.lab.scenario import Fault, Scenario
from amberlug.policy import interface as api
from amberlug.policy.settings import read_settings
from amberlug.standin.checker import OUTCOME_GRACE, MessageRecord, Repeat
from amberlug.standin.deployment import settings as usual_settings

KEY_LIFE_S = 15.0
LIST_KNOWN_AFTER_S = 6.0  # after which a list change counts as known, whether or not it was received
CLIENT_TIMEOUT_S = 0.4  # client timeout; the client then retries immediately
IMMEDIATE_RETRY_S = 0.001  # delay of an immediate retry
DEFAULT_RETRY_S = 0.5  # client retry delay without a Retry-After


@dataclass(frozen=True, slots=True)
class Kind:
    """One message class of the simulation."""

    name: str
    repeat: Repeat
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float


KINDS = (
    Kind("result", Repeat.SAFE, 1.0, 6.0, 2.0, 0.1),
    Kind("entry", Repeat.KEYED, 4.0, 16.0, 1.0, 0.5),
    Kind("payment", Repeat.UNSAFE, 2.0, 20.0, 4.0, 0.4),
)


def stream(seed: int, name: str) -> np.random.SeedSequence:
    """Derive the random stream of one entity, so that changes in one do not affect the others."""
    words = np.frombuffer(hashlib.blake2b(name.encode(), digest_size=16).digest(), dtype=np.uint32)
    return np.random.SeedSequence(entropy=seed, spawn_key=tuple(int(it) for it in words))


def settings_of(scenario: Scenario) -> api.Settings:
    """Build the settings that the platform would give a relay of this scenario."""
    world, told = scenario.world, usual_settings()
    told["Categories"] = [
        {
            "Name": it.name,
            "Semantics": it.repeat.value,
            "Group": "all",
            "KeyTtlUs": int(KEY_LIFE_S * SECOND),
            "AimUs": int(it.aim_s * SECOND),
            "DeadlineUs": int(it.deadline_s * SECOND),
            "Worth": it.worth,
            "LateWorth": it.late_worth,
        }
        for it in KINDS
    ]
    told |= {"Balancers": world.relays, "Weights": "nominal" if scenario.partner.rate else "none"}
    told["FamilyInfo"]["Slots"] = world.slots
    told["Bounds"] |= {"MaxOpen": world.max_open, "ConnIdleUs": int(world.idle_s * SECOND)}
    return read_settings(told)


@dataclass(slots=True)
class ClientMessage:
    """A message that a client wants delivered, over all retries; it counts at its first delivery."""

    kind: Kind
    began_us: int
    tries: int = 0
    delivered_us: int | None = None


class Request:
    """One submission of a client's message; each retry has its own id."""

    def __init__(
        self, play: Play, relay: Relay, client_message: ClientMessage, name: str, number: int
    ) -> None:
        self._play, self.relay, self.client_message, self.name, self.number = (
            play,
            relay,
            client_message,
            name,
            number,
        )
        self.over = False  # answered, or the client has disconnected

    def settle(self, refusal: Refusal | None) -> None:
        """Handle the relay's decision, unless this submission is over."""
        if not self.over:
            self.over = True
            self._play.answered(self, refusal)

    def leave(self) -> None:
        """Disconnect the client after its timeout; a later delivery of this submission does not count."""
        if not self.over:
            self.over = True
            self.relay.client_disconnected(self)
            self._play.left(self)


class Play:
    """One run of a scenario with a seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.time = scenario, seed, EventQueue()
        world = scenario.world
        self._trace = hashlib.blake2b(digest_size=16)
        self.endpoints: dict[str, Endpoint] = {}
        numbers = range(1, world.destinations + 1)
        self._destinations = [Destination(number, scenario.partner.rate) for number in numbers]
        self._entries: dict[str, api.Entry] = {}
        self._draining: set[str] = set()  # endpoints being replaced
        for to in self._destinations:
            for place in range(world.endpoints):
                self._add(f"e{to.number}{'abcdefgh'[place % 8]}{place // 8 or ''}", to)
        self._message_rng = np.random.Generator(np.random.PCG64(stream(seed, "messages")))
        self._arrival_rng = np.random.Generator(np.random.PCG64(stream(seed, "arrivals")))
        self._truncation_rng = np.random.Generator(np.random.PCG64(stream(seed, "garbage")))
        shares = np.random.Generator(np.random.PCG64(stream(seed, "relays")))
        uneven = np.exp(shares.normal(0, world.uneven, world.relays))
        self._relay_cdf = np.cumsum(uneven / uneven.sum())
        weights = 1.0 / np.arange(1, world.destinations + 1) ** scenario.load.skew
        self._destination_cdf = np.cumsum(weights / weights.sum())
        parts = np.array([scenario.load.result, scenario.load.entry, scenario.load.payment])
        self._class_cdf = np.cumsum(parts / parts.sum())
        self._burst_factor = 1.0
        self._client_messages: list[ClientMessage] = []
        self._requests: dict[str, Request] = {}
        read = settings_of(scenario)
        self.relays = [
            Relay(
                self.time,
                read,
                world,
                seed * 1000 + number,
                self.endpoints,
                self._list_endpoints,
                self._on_outcome,
            )
            for number in range(world.relays)
        ]

    def _add(self, name: str, to: Destination) -> None:
        seed = stream(self.seed, f"endpoint {name}")
        self.endpoints[name] = Endpoint(name, to, self.scenario.partner, self.time, seed)
        rate = self.scenario.partner.rate
        self._entries[name] = api.Entry(name, "a", "plain", to.number, api.State.IN, rate, "127.0.0.1:1")

    def _list_endpoints(self) -> list[api.Entry]:
        return list(self._entries.values())

    def run(self) -> dict[str, Any]:
        """Run the scenario, then continue until the last message deadline has passed."""
        world = self.scenario.world
        for fault in self.scenario.faults:
            self.time.after(fault.at * SECOND, self._start_fault, fault)
        self._schedule_arrival()
        end_us = START_US + int(world.seconds * SECOND)
        self.time.run(end_us + int(max(it.deadline_s for it in KINDS) + 3) * SECOND)
        return self._figures()

    # Clients.

    def _schedule_arrival(self) -> None:
        gap = float(self._arrival_rng.exponential(1.0)) / (self.scenario.load.per_second * self._burst_factor)
        if self.time.now_us + gap * SECOND < START_US + self.scenario.world.seconds * SECOND:
            self.time.after(gap * SECOND, self._arrive)

    def _arrive(self) -> None:
        drawn = self._message_rng.random(3)
        kind = KINDS[int(np.searchsorted(self._class_cdf, drawn[0]))]
        number = int(np.searchsorted(self._destination_cdf, drawn[1])) + 1
        client_message = ClientMessage(kind, self.time.now_us)
        self._client_messages.append(client_message)
        self._hand_in(
            f"m{len(self._client_messages):07d}",
            client_message,
            number,
            int(np.searchsorted(self._relay_cdf, drawn[2])),
        )
        self._schedule_arrival()

    def _hand_in(self, name: str, client_message: ClientMessage, number: int, place: int) -> None:
        now, kind = self.time.now_us, client_message.kind
        until_us = client_message.began_us + int(kind.deadline_s * SECOND)
        relay = self.relays[place % len(self.relays)]
        record = MessageRecord(name, number, kind.repeat, KEY_LIFE_S, now / SECOND, until_us / SECOND)
        relay.checker.handed_in(record)
        self._requests[name] = request = Request(self, relay, client_message, name, number)
        key = f"key-{name}" if kind.repeat is Repeat.KEYED else None
        deadline_ms = START_MS + (until_us - START_US) // 1000
        message = Message(name, kind.name, None, number, key, b"x" * 100, deadline_ms)
        network_us = self.scenario.world.network_ms * 1000
        if self.scenario.load.garbage and float(self._truncation_rng.random()) < self.scenario.load.garbage:
            self.time.after(network_us, relay.receive_truncated)
        else:
            self.time.after(network_us, relay.hand_in, message, until_us, request)
        self.time.after(CLIENT_TIMEOUT_S * SECOND, request.leave)

    def answered(self, request: Request, refusal: Refusal | None) -> None:
        """Handle the relay's response to a client: accepted or rejected."""
        if refusal is None:
            request.relay.checker.taken(request.name, self.time.now_us / SECOND)
            self._trace_event("taken", request.name)
        else:
            self._trace_event("refused", request.name)
            self._retry(request, refusal.retry_us / SECOND)

    def left(self, request: Request) -> None:
        """Retry at another relay after a client timeout."""
        self._trace_event("left", request.name)
        self._retry(request, IMMEDIATE_RETRY_S)

    def _retry(self, request: Request, seconds: float) -> None:
        seconds, client_message = seconds or DEFAULT_RETRY_S, request.client_message
        left = (
            client_message.began_us
            + client_message.kind.deadline_s * SECOND
            - self.time.now_us
            - seconds * SECOND
        )
        if (
            client_message.tries < self.scenario.load.returns
            and left > 0
            and client_message.delivered_us is None
        ):
            client_message.tries += 1
            first, _, _ = request.name.partition("~")
            again, place = f"{first}~{client_message.tries}", int(first[1:]) + client_message.tries
            self.time.after(seconds * SECOND, self._hand_in, again, client_message, request.number, place)

    def _on_outcome(self, relay: Relay, end: End) -> None:
        relay.checker.outcome_reported(end.message, end.outcome.value, self.time.now_us / SECOND)
        self._trace_event(end.outcome.value, end.message)
        if end.outcome.value == "handed_back" and end.message in self._requests:
            self._retry(self._requests[end.message], end.retry_ms / 1000)

    def _trace_event(self, what: str, name: str) -> None:
        self._trace.update(f"{self.time.now_us} {what} {name}\n".encode())

    # Faults.

    def _start_fault(self, fault: Fault) -> None:
        affected = [it for it in self.endpoints.values() if it.of.number <= fault.destinations]
        if fault.what in ("kill", "restart", "deaf", "cut"):
            for place in range(fault.relays):
                relay = self.relays[(fault.relay + place) % len(self.relays)]
                later_us = fault.over * SECOND * place / max(1, fault.relays - 1)
                self.time.after(later_us, self._apply_to_relay, relay, fault)
        elif fault.what == "limit":
            for to in self._destinations[: fault.destinations]:
                to.part = fault.part
                self.time.after(fault.lasts * SECOND, setattr, to, "part", 1.0)
        elif fault.what == "drain":
            self._replace(affected)
        elif fault.what == "burst":
            self._burst_factor *= fault.part
            self.time.after(fault.lasts * SECOND, self._end_burst, fault.part)
        else:
            for it in affected:
                it.fail(fault.what, fault.part)
                self.time.after(fault.lasts * SECOND, it.recover)

    def _apply_to_relay(self, relay: Relay, fault: Fault) -> None:
        """Apply a fault to one relay."""
        if fault.what == "kill":
            relay.kill()
        elif fault.what == "restart":
            relay.restart()
        elif fault.what == "cut":
            until_us = self.time.now_us + int(fault.lasts * SECOND)
            relay.cut |= {to.number: until_us for to in self._destinations[: fault.destinations]}
        else:
            relay.list_blocked_until_us = self.time.now_us + int(fault.lasts * SECOND)
            self.time.at(relay.list_blocked_until_us, relay.receive_list)

    def _end_burst(self, part: float) -> None:
        self._burst_factor /= part

    def _replace(self, old: list[Endpoint]) -> None:
        for it in old:
            if it.name in self._entries and it.name not in self._draining:
                self._draining.add(it.name)
                self._add(f"{it.name}+", it.of)
                self.time.after(self.scenario.world.list_s * SECOND, self._announce_drain, it.name)

    def _announce_drain(self, name: str) -> None:
        """Mark an endpoint as draining; relays count as informed after `LIST_KNOWN_AFTER_S` at the latest."""
        self._entries[name] = replace(self._entries[name], state=api.State.DRAINING)
        for relay in self.relays:
            told_us = min(
                max(self.time.now_us, relay.list_blocked_until_us),
                self.time.now_us + LIST_KNOWN_AFTER_S * SECOND,
            )
            relay.checker.drained(name, told_us / SECOND)
            relay.receive_list()

    # Results.

    def _figures(self) -> dict[str, Any]:
        for name, request in self._requests.items():
            record, client_message = request.relay.checker.records[name], request.client_message
            for began_us, over_us in request.relay.downtimes:  # an outcome due meanwhile may come after it
                if began_us <= (record.until + OUTCOME_GRACE) * SECOND <= over_us + OUTCOME_GRACE * SECOND:
                    record.until = over_us / SECOND
            if record.delivered is not None and record.taken is not None:  # accepted, and the client was told
                at_us = int(record.delivered * SECOND)
                client_message.delivered_us = min(at_us, client_message.delivered_us or at_us)
                self._trace.update(f"{at_us} delivered {name} {len(record.calls)}\n".encode())
        broken = [line for relay in self.relays for line in relay.checker.finish(self.time.now_us / SECOND)]
        broken += [f"{it.name} was pushed over" for it in self.endpoints.values() if it.overload_violation]
        done = [(it, it.delivered_us) for it in self._client_messages if it.delivered_us is not None]
        took = sorted((at_us - it.began_us) / SECOND for it, at_us in done)
        served: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for it in self._client_messages:
            for part in (it.kind.name, "all"):
                served[part][0] += worth(it)
                served[part][1] += it.kind.worth
        calls = sum(it.calls for it in self.endpoints.values())
        return {
            "scenario": self.scenario.name,
            "seed": self.seed,
            "messages": len(self._client_messages),
            "service": round(served["all"][0] / max(1e-9, served["all"][1]), 4),
            "service by class": {
                it.name: round(served[it.name][0] / max(1e-9, served[it.name][1]), 4) for it in KINDS
            },
            "delivered": len(took),
            "median_s": round(statistics.median(took), 4) if took else None,
            "p99_s": round(took[int(len(took) * 0.99)], 4) if took else None,
            "calls a message": round(calls / max(1, len(self._client_messages)), 4),
            "calls refused": sum(it.refused for it in self.endpoints.values()),
            "MB written": round(sum(it.written for it in self.relays) / 1e6, 3),
            "fell over": sum(it.overloaded for it in self.endpoints.values()),
            "lives": sum(it.lives for it in self.relays),
            "events": self.time.executed,
            "broken": broken,
            "trace": self._trace.hexdigest(),
        }


def worth(client_message: ClientMessage) -> float:
    """Value of a delivery: full within the aim, then falling linearly to `late_worth` at the deadline."""
    if client_message.delivered_us is None:
        return 0.0
    took, kind = (client_message.delivered_us - client_message.began_us) / SECOND, client_message.kind
    over = max(0.0, took - kind.aim_s) / (kind.deadline_s - kind.aim_s)
    return kind.worth * (1 - (1 - kind.late_worth) * over) if over <= 1 else 0.0
