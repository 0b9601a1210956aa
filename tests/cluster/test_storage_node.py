"""A single storage node confirms only what is on its disk."""

from collections.abc import Callable, Sequence

import pytest

from amberlug.cluster.interfaces import Json, OnWritten, WriteFailure, WriteFailureReason
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.mutations import mutated
from amberlug.cluster.storage.node import StorageNode
from amberlug.cluster.storage.records import OutcomeRow, StorageRow, StoredContents
from tests.cluster.fakes import UnresponsiveRuntime, settings

OUT_OF_SPACE = WriteFailure(WriteFailureReason.OUT_OF_SPACE)


class ManualDisk:
    """A disk whose writes the test completes in order."""

    def __init__(self) -> None:
        self.pending: list[OnWritten] = []
        self.newest_rows: Sequence[StorageRow] = ()

    def write(self, rows: Sequence[StorageRow], on_written: OnWritten) -> None:
        self.newest_rows = rows
        self.pending.append(on_written)

    def read(self, message_ids: Sequence[str], on_read: Callable[[dict[str, bytes]], None]) -> None:
        on_read({})

    def finish_write(self, failure: WriteFailure | None) -> None:
        self.pending.pop(0)(failure)


class Rig:
    """A storage node with a scripted disk, and its replies."""

    def __init__(self) -> None:
        self.clock, self.disk, self.replies = Clock(), ManualDisk(), list[Json]()
        contents = StoredContents("d", enrolled_index=1)  # enrolled, so that it accepts replicas
        runtime = UnresponsiveRuntime(self.clock)
        self.node = StorageNode(runtime, settings("store"), "10.0.0.1:7300", self.disk, contents)

    def request(self, tag: str, body: Json) -> None:
        self.node.handlers[tag](body, b"", "10.0.0.9:7300", lambda reply, blob: self.replies.append(reply))

    def put(self, sequence: int) -> None:
        self.request("put", {"id": "1-a", "shard": 1, "epoch": 5, "order": [5, sequence], "meta": {}})

    def acknowledge(self, outcome: str) -> None:
        self.request("marks", {"marks": [["1-a", 1, outcome, "", 1e9]]})

    def open_messages(self) -> list[str]:
        """The open messages in the reply to a fence, after all writes have succeeded."""
        self.request("fence", {"shards": {"1": 5}})
        while self.disk.pending:
            self.disk.finish_write(None)
        return [row[0] for row in self.replies[-1]["open"]]


def test_a_mutation_that_reports_an_outcome_before_it_is_on_disk_is_detected() -> None:
    with mutated("unsynced-outcome"), pytest.raises(AssertionError, match="its row is not synced yet"):
        test_an_outcome_is_reported_and_acknowledged_only_once_it_is_on_disk()


def test_an_outcome_is_reported_and_acknowledged_only_once_it_is_on_disk() -> None:
    rig = Rig()
    rig.put(1)
    rig.disk.finish_write(None)
    rig.acknowledge("done")
    rig.request("find", {"ids": ["1-a"]})
    assert rig.replies[-1]["found"] == {"1-a": ["", ""]}, "its row is not synced yet"
    rig.disk.finish_write(OUT_OF_SPACE)
    assert rig.replies[-1] == {"ok": False}
    rig.acknowledge("done")
    assert [row for row in rig.disk.newest_rows if isinstance(row, OutcomeRow)], "it is written again"
    rig.disk.finish_write(None)
    assert rig.replies[-1] == {"ok": True, "disk": "d"}
    rig.request("find", {"ids": ["1-a"]})
    assert rig.replies[-1]["found"] == {"1-a": ["done", ""]}


def test_an_outcome_that_the_disk_rejected_leaves_the_message_open() -> None:
    rig = Rig()
    rig.put(1)
    rig.disk.finish_write(None)
    rig.acknowledge("done")
    rig.disk.finish_write(OUT_OF_SPACE)
    assert rig.open_messages() == ["1-a"]


def test_a_message_is_not_stored_if_both_of_its_replica_writes_fail() -> None:
    rig = Rig()
    rig.put(1)
    rig.put(2)
    rig.disk.finish_write(OUT_OF_SPACE)
    rig.disk.finish_write(OUT_OF_SPACE)
    assert rig.replies == [{"full": True}, {"full": True}]
    assert rig.open_messages() == []


def test_a_message_stays_stored_if_one_of_its_two_replica_writes_succeeds() -> None:
    for first, second in ((None, OUT_OF_SPACE), (OUT_OF_SPACE, None)):
        rig = Rig()
        rig.put(1)
        rig.put(2)
        rig.disk.finish_write(first)
        rig.disk.finish_write(second)
        assert rig.open_messages() == ["1-a"]


def test_a_fence_reply_leaves_out_a_replica_whose_write_failed_meanwhile() -> None:
    rig = Rig()
    rig.put(1)
    rig.request("fence", {"shards": {"1": 6}})
    rig.disk.finish_write(OUT_OF_SPACE)
    while rig.disk.pending:
        rig.disk.finish_write(None)
    assert rig.replies[-1]["open"] == []


def test_a_replica_write_of_a_fenced_owner_is_rejected() -> None:
    rig = Rig()
    rig.request("fence", {"shards": {"1": 6, "2": 3}})
    rig.request("fence", {"shards": {"1": 5, "2": 4}})
    while rig.disk.pending:
        rig.disk.finish_write(None)
    assert rig.replies[-1]["refused"] == {"1": 6}
    rig.put(1)
    assert rig.replies[-1] == {"fenced": 6}
    assert not rig.disk.pending


def test_a_fence_that_is_not_durable_is_not_confirmed() -> None:
    rig = Rig()
    rig.request("fence", {"shards": {"1": 6}})
    rig.disk.finish_write(OUT_OF_SPACE)
    assert rig.replies == [{"ok": False}]


def test_the_first_outcome_is_final_and_is_the_reply_to_a_later_replica_write() -> None:
    rig = Rig()
    for outcome in ("done", "dead"):
        rig.acknowledge(outcome)
        rig.disk.finish_write(None)
    rig.put(1)
    assert rig.replies == [
        {"ok": True, "disk": "d"},
        {"ok": True, "disk": "d"},
        {"ok": True, "disk": "d", "end": "done", "seal": ""},
    ]
    assert rig.open_messages() == []


def test_an_outcome_that_has_expired_is_deleted_and_an_open_message_is_not() -> None:
    rig = Rig()
    rig.node.begin()
    rig.request("marks", {"marks": [["1-b", 1, "done", "", 1.0]]})
    rig.put(1)
    rig.clock.run(3.0)
    assert list(rig.node.contents.messages) == ["1-a"]
