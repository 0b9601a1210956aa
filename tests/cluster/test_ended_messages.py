"""Outcomes of ended messages survive the loss or retirement of a storage node.

Without a repair, outcomes that were on the removed disk may remain on one disk only. A lookup that misses
this disk would then report a message as unknown, and the next loss would remove the outcome.
"""

from collections.abc import Callable
from functools import partial

import pytest

from amberlug.cluster.simulation.history import StatusReply
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.scenarios import TRAFFIC_S, Scenario

pytestmark = pytest.mark.usefixtures("suppressed_logs")

ENDED_S = 12.0  # simulated time by which all messages have ended
DROPPED_S = 5.0  # time for a removed storage node to be dropped from the roster
ANSWERED_S = 2.5  # time to answer all lookups; clients wait two seconds


class EndedMessages:
    """A simulated deployment in which all messages have ended."""

    def __init__(self, seed: int) -> None:
        self.day = Scenario(seed, "quiet")
        self.deployment, self.clock = self.day.deployment, self.day.clock
        for machine in self.deployment.machines:
            machine.start()
        for service in ("alpha", "beta", "gamma"):
            for zone in self.deployment.zones:
                self.clock.call_later(1.2, partial(self.day._start, service, zone))
        self.clock.call_later(0.6, self.day.operator.begin)
        self.day.clients.begin()
        self.clock.run(TRAFFIC_S)
        self.day.clients.open()
        self.clock.run(TRAFFIC_S + 4.0)
        self.day.clients.sending = False
        self.clock.run(ENDED_S)
        self.names = [sent.name for sent in self.day.history.sent.values() if sent.name]

    def wait(self, seconds: float) -> None:
        """Run the simulation for some seconds."""
        self.clock.run(self.clock.now + seconds)

    def restart_all(self, while_down: Callable[[], None] = lambda: None) -> None:
        """Restart all machines at once, so that all in-memory state is lost.

        :param while_down: called while all machines are down.
        """
        for machine in self.deployment.machines:
            machine.power_off()
        while_down()
        self.wait(1.0)
        for machine in self.deployment.machines:
            machine.start()
        self.wait(DROPPED_S)

    def statuses(self) -> dict[str, StatusReply]:
        """The current answer of some edge node about each message."""
        found: dict[str, StatusReply] = {}
        for name in self.names:
            self.day.clients.ask(name, partial(found.__setitem__, name))
        self.wait(ANSWERED_S)
        return found

    def not_ended_without(self, unresponsive: Machine) -> list[str]:
        """The messages that are not reported as ended while a storage node does not respond."""
        unresponsive.freeze()
        found = self.statuses()
        unresponsive.thaw()
        self.wait(1.0)
        return [
            f"{name}: {standing.status} {standing.condition}"
            for name, standing in found.items()
            if standing.condition not in ("completed", "failed")
        ]


def lose_disk(ended: EndedMessages) -> None:
    """Restart all machines, one storage node with a wiped disk."""
    ended.restart_all(ended.deployment.stores[0].wipe)


def retire(ended: EndedMessages) -> None:
    """Retire a storage node as an operator does, then restart all machines."""
    retired, zone = ended.deployment.stores[0], ended.deployment.stores[0].zone
    ended.deployment.add("store", zone).start()
    ended.wait(1.0)
    ended.day.storage_faults.empty(retired)
    ended.wait(DROPPED_S)
    assert retired not in ended.deployment.stores
    ended.restart_all()


@pytest.mark.parametrize("remove_storage_node", [lose_disk, retire])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ended_messages_are_known_without_any_one_storage_node(
    seed: int, remove_storage_node: Callable[[EndedMessages], None]
) -> None:
    ended = EndedMessages(seed)
    remove_storage_node(ended)
    for unresponsive in ended.deployment.stores:
        assert ended.not_ended_without(unresponsive) == []


def test_a_mutation_that_repairs_no_outcomes_is_detected() -> None:
    with mutated("outcomes-unrepaired"):
        ended = EndedMessages(2)
        lose_disk(ended)
        # Lookups repair the outcomes that they find, so the node that may be their only holder is made
        # unresponsive first.
        assert any(ended.not_ended_without(store) for store in reversed(ended.deployment.stores))
