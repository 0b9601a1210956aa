"""What is known of messages that have ended, after storage nodes were lost or taken away."""

from collections.abc import Callable
from functools import partial

import pytest

from amberlug.cluster.simulation.history import Standing
from amberlug.cluster.simulation.machine import Machine
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.simulation.scenarios import TRAFFIC_S, Day

pytestmark = pytest.mark.usefixtures("suppressed_logs")

ENDED_S = 12.0  # by then all that was sent has ended
DROPPED_S = 5.0  # until a storage node that is gone is on the roster no more
ANSWERED_S = 2.5  # clients wait two seconds for an answer


class EndedMessages:
    """A deployment whose messages have all ended."""

    def __init__(self, seed: int) -> None:
        self.day = Day(seed, "quiet")
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
        """Play on for some seconds."""
        self.clock.run(self.clock.now + seconds)

    def cut_all_power(self, also: Callable[[], None] = lambda: None) -> None:
        """All processes end at once and start again: what only memory has is gone.

        :param also: done while nothing runs.
        """
        for machine in self.deployment.machines:
            machine.power_off()
        also()
        self.wait(1.0)
        for machine in self.deployment.machines:
            machine.start()
        self.wait(DROPPED_S)

    def statuses(self) -> dict[str, Standing]:
        """What any edge node answers about each message now."""
        found: dict[str, Standing] = {}
        for name in self.names:
            self.day.clients.ask(name, partial(found.__setitem__, name))
        self.wait(ANSWERED_S)
        return found

    def not_ended_without(self, silent: Machine) -> list[str]:
        """The messages that are not answered as ended while a storage node does not respond."""
        silent.freeze()
        found = self.statuses()
        silent.thaw()
        self.wait(1.0)
        return [
            f"{name}: {standing.status} {standing.condition}"
            for name, standing in found.items()
            if standing.condition not in ("completed", "failed")
        ]


def lose_disk(ended: EndedMessages) -> None:
    """All lose power, and one storage node its disk."""
    ended.cut_all_power(ended.deployment.stores[0].wipe)


def retire(ended: EndedMessages) -> None:
    """A storage node is emptied by order and taken away with its disk; then all lose power."""
    retired, zone = ended.deployment.stores[0], ended.deployment.stores[0].zone
    ended.deployment.add("store", zone).start()
    ended.wait(1.0)
    ended.day.storage_faults.empty(retired)
    ended.wait(DROPPED_S)
    assert retired not in ended.deployment.stores
    ended.cut_all_power()


@pytest.mark.parametrize("is_gone", [lose_disk, retire])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ended_messages_are_known_without_any_one_storage_node(
    seed: int, is_gone: Callable[[EndedMessages], None]
) -> None:
    ended = EndedMessages(seed)
    is_gone(ended)
    for silent in ended.deployment.stores:
        assert ended.not_ended_without(silent) == []


def test_a_mutation_that_repairs_no_outcomes_is_detected() -> None:
    with mutated("outcomes-unrepaired"):
        ended = EndedMessages(2)
        lose_disk(ended)
        # Look-ups repair what they find: one that alone has outcomes is silent first.
        assert any(ended.not_ended_without(silent) for silent in reversed(ended.deployment.stores))
