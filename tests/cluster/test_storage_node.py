"""A store alone: what it says is on its disk, is."""

from collections.abc import Callable
from typing import Any

from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.storage.message_store import StoredContents
from amberlug.cluster.storage.node import StorageNode
from tests.cluster.fakes import Alone, settings

Rows = list[tuple[str, tuple[Any, ...]]]


class Slow:
    """A disk whose writes are decided by the test, in their order."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[str | None], None]] = []

    def write(self, rows: Rows, then: Callable[[str | None], None]) -> None:
        self.waiting.append(then)

    def read(self, names: list[str], then: Callable[[dict[str, bytes]], None]) -> None:
        then({})

    def decide(self, error: str | None) -> None:
        self.waiting.pop(0)(error)


class Rig:
    """A store and what it answered."""

    def __init__(self) -> None:
        self.disk, self.said = Slow(), list[Json]()
        contents = StoredContents("d", enrolled=1)  # one that may be written to
        self.store = StorageNode(Alone(Clock()), settings("store"), "10.0.0.1:7300", self.disk, contents)

    def ask(self, word: str, body: Json) -> None:
        self.store.handlers[word](body, b"", "10.0.0.9:7300", lambda said, blob: self.said.append(said))

    def put(self, number: int) -> None:
        self.ask("put", {"id": "1-a", "shard": 1, "epoch": 5, "order": [5, number], "meta": {}})

    def open(self) -> list[str]:
        """What a new owner is told, once the disk is done."""
        self.ask("fence", {"shards": {"1": 5}})
        while self.disk.waiting:
            self.disk.decide(None)
        return [it[0] for it in self.said[-1]["open"]]


def test_two_puts_that_the_disk_refuses_leave_nothing() -> None:
    rig = Rig()
    rig.put(1)
    rig.put(2)
    rig.disk.decide("no space is left")
    rig.disk.decide("no space is left")
    assert rig.said == [{"full": True}, {"full": True}]
    assert rig.open() == []


def test_one_of_two_puts_that_is_kept_stays() -> None:
    for first, second in ((None, "no space is left"), ("no space is left", None)):
        rig = Rig()
        rig.put(1)
        rig.put(2)
        rig.disk.decide(first)
        rig.disk.decide(second)
        assert rig.open() == ["1-a"]


def test_a_put_that_is_refused_while_a_new_owner_asks_is_not_told() -> None:
    rig = Rig()
    rig.put(1)
    rig.ask("fence", {"shards": {"1": 6}})
    rig.disk.decide("no space is left")
    while rig.disk.waiting:
        rig.disk.decide(None)
    assert rig.said[-1]["open"] == []
