"""The part of a scenario that fault schedules use."""

from __future__ import annotations

import random
from typing import Protocol

from amberlug.cluster.simulation.clients import Clients
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.deployment import Deployment
from amberlug.cluster.simulation.history import History
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.operator import Operator


class ScenarioContext(Protocol):
    """A running scenario: its parts, and actions that several schedules share."""

    aim: str
    rng: random.Random
    clients: Clients
    clock: Clock
    deployment: Deployment
    history: History
    home: str
    operator: Operator

    def partition(self, machine: Machine, seconds: float, reset: bool = False) -> float:
        """Partition a machine from others for a while; returns the seconds for which it counts as lost."""

    def kill_one(self, machine: Machine) -> float:
        """Kill and restart a process; returns the seconds for which it counts as lost."""

    def leader(self) -> Machine | None:
        """The control-plane node that leads, if any."""

    def use_recent_routes(self) -> None:
        """Have clients use recently added or removed routes."""

    def replace_endpoint(self) -> float:
        """Shut down an endpoint as planned, and start another one in its place."""
