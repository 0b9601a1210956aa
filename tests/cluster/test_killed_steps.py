"""A call to an endpoint whose edge node is killed, or loses power, at each stage of the call."""

from dataclasses import replace

import pytest

from amberlug.cluster.dispatch.replica_write import ReplicationOutcome
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.simulation.history import Violation
from amberlug.cluster.simulation.scenarios import TRAFFIC_S, Scenario

pytestmark = pytest.mark.usefixtures("suppressed_logs")

# Milliseconds after the request; they span its acceptance, the call, the response and the stored outcome.
STEPS_MS = (0, 2, 4, 6, 9, 15, 40, 64, 66, 69, 75, 95)


class KilledAt(Scenario):
    """All edge nodes end a given time after one message is sent; there are no other faults."""

    after_s, power = 0.0, False

    def _plan(self, start: float, end: float) -> None:
        self.size = replace(self.size, seconds=6.0)

        def send() -> None:
            self.clients.send("/seq/")
            self.clock.call_later(self.after_s, self.strike)

        self.clock.call_later(start - TRAFFIC_S, send)

    def strike(self) -> None:
        self.history.record_disturbance("all edges end", 1.0)
        for edge in self.deployment.edges:
            edge.power_off() if self.power else edge.kill()
            self.clock.call_later(0.8, edge.start)


def killed(ms: int, power: bool) -> list[Violation]:
    day = KilledAt(3, "quiet")
    day.after_s, day.power = ms / 1000, power
    return day.play()


@pytest.mark.parametrize("power", [False, True])
def test_a_message_is_neither_lost_nor_mixed_up_nor_run_again_after_its_success(power: bool) -> None:
    assert {ms: broken for ms in STEPS_MS if (broken := killed(ms, power))} == {}


def test_a_message_that_is_accepted_before_it_is_durable_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Replicator, "replicate", lambda self, message, epoch, then: then(ReplicationOutcome.REPLICATED)
    )
    assert "LOST" in {it.invariant for ms in (15, 40) for it in killed(ms, False)}
