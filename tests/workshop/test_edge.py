"""An edge alone."""

from collections.abc import Callable

from tests.workshop.fakes import Alone, settings
from workshop.jig.clock import Clock
from workshop.lathe.message import Message
from workshop.machine.edge import Edge
from workshop.ports import Called, Delivery


class Nowhere:
    """Endpoints that do not answer."""

    def call(self, delivery: Delivery, then: Callable[[Called], None]) -> None:
        pass

    def idle(self, address: str) -> int:
        return 0

    def forget(self, address: str) -> None:
        pass


def test_a_message_that_a_store_knows_as_ended_is_not_run_once_it_is_copied() -> None:
    edge = Edge(Alone(Clock()), settings("edge"), "10.0.0.1:7300", Nowhere())
    message = Message("0-x", 0, "x", "", "POST", "/", "r", "", 0.0, 100.0)
    edge.rack.add(message)
    message.end, message.seal = "done", "seal"  # as the answer to a put sets them
    edge._copied(message)
    assert edge.rack.messages == {}
    assert edge.ends["0-x"][:2] == ("done", "seal")
