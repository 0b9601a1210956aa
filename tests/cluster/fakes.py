"""Test doubles for tests of a single node."""

import random
from collections.abc import Callable

from amberlug.cluster.http.routing import Route
from amberlug.cluster.interfaces import Json, RawMessage, ReplyCallback
from amberlug.cluster.settings import Settings
from amberlug.cluster.simulation.clock import Clock, Timer
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.machine import Machine

ROUTE_TO_S = Route("r", "", "/", "s", 1.0, 0, 3, False, 90.0)  # of all requests, to the service `s`


class UnresponsiveRuntime:
    """A runtime on a virtual clock that records notifications and requests, and never replies."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.rng = clock, random.Random(1)
        self.requests: list[tuple[str, str, Json, ReplyCallback]] = []
        self.sent: list[tuple[str, RawMessage]] = []  # notifications, with the address of the recipient

    def now(self) -> float:
        return self.clock.now

    def wall_clock(self) -> float:
        return self.clock.now

    def call_later(self, seconds: float, act: Callable[[], None]) -> Timer:
        timer = Timer(act)
        self.clock.call_later(seconds, timer.fire)
        return timer

    def send(self, address: str, message: RawMessage) -> None:
        self.sent.append((address, message))

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        self.requests.append((address, message.tag, message.body, on_reply))


def settings(kind: str) -> Settings:
    """The settings of a node of the given kind in a small deployment."""
    deployment = Deployment(1, 3, 1, 3, 3, [], 1.0)
    machines: dict[str, list[Machine]] = {
        "edge": deployment.edges,
        "store": deployment.stores,
        "core": deployment.cores,
    }
    return deployment.settings(machines[kind][0])
