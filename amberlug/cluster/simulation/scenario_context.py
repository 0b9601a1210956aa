"""What fault schedules know of the scenario that they act on."""

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
    """A day that is played: its parts, and acts that several schedules share."""

    aim: str
    rng: random.Random
    clients: Clients
    clock: Clock
    deployment: Deployment
    history: History
    home: str
    operator: Operator

    def cut_off(self, machine: Machine, seconds: float, reset: bool = False) -> float:
        """Partition a machine from others for a while; returns the seconds for which it counts as lost."""

    def kill_one(self, machine: Machine) -> float:
        """Kill a process, which starts again; returns the seconds for which it counts as lost."""

    def leader(self) -> Machine | None:
        """The control-plane node that leads, as far as one does."""

    def look_at_routes(self) -> None:
        """Have clients use the routes that were added or removed of late."""

    def replace_endpoint(self) -> float:
        """Have an endpoint leave as planned and another one take its place."""
