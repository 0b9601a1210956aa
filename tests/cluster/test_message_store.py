"""The database file of a storage node: group commit, failed writes, corrupt rows."""

import queue
import sqlite3
from collections.abc import Callable
from pathlib import Path

import pytest

from amberlug.cluster.interfaces import WriteFailure, WriteFailureReason
from amberlug.cluster.storage.group_commit import GroupCommitWriter, write_failure
from amberlug.cluster.storage.message_store import FILE_NAME, OpenedMessageStore, open_message_store
from amberlug.cluster.storage.outcomes import MessageOutcome
from amberlug.cluster.storage.records import (
    DeletionRow,
    EnrollmentRow,
    FenceRow,
    NewDiskRow,
    OutcomeRow,
    ReplicaRow,
    StorageRow,
)


class Opened:
    """An open storage folder, and the callbacks posted by its store."""

    def __init__(self, folder: Path, disk_id: str = "d") -> None:
        self.posted: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.path = folder / FILE_NAME
        opened: OpenedMessageStore = open_message_store(folder, lambda: disk_id, self.posted.put)
        self.contents, self.store = opened.contents, opened.store

    def write(self, *rows: StorageRow) -> None:
        failures: list[WriteFailure | None] = []
        self.store.write(rows, failures.append)
        self.posted.get(timeout=5.0)()
        assert failures == [None]

    def read(self, *message_ids: str) -> dict[str, bytes]:
        found: list[dict[str, bytes]] = []
        self.store.read(message_ids, found.append)
        self.posted.get(timeout=5.0)()
        return found[0]

    def reopened(self) -> "Opened":
        self.store.close()
        return Opened(self.path.parent)


def replica(message_id: str) -> ReplicaRow:
    return ReplicaRow(message_id, 1, 5, 7, {"m": "POST"}, b"body")


def test_written_rows_survive_a_restart(tmp_path: Path) -> None:
    opened = Opened(tmp_path)
    opened.write(replica("1-a"), replica("1-b"), replica("1-c"), FenceRow(1, 5), EnrollmentRow(9))
    opened.write(
        OutcomeRow("1-b", 1, MessageOutcome("dead"), 50.0),
        OutcomeRow("1-c", 1, MessageOutcome("done", "r"), 60.0),
        OutcomeRow("1-d", 1, MessageOutcome("done"), 70.0),
    )
    assert opened.read("1-a", "1-b", "1-c", "1-d", "1-e") == {"1-a": b"body", "1-b": b"body"}
    opened = opened.reopened()
    contents = opened.contents
    assert (contents.disk_id, contents.fencing_tokens, contents.enrolled_index) == ("d", {1: 5}, 9)
    assert {
        message_id: (message.outcome.status, message.retain_until)
        for message_id, message in contents.messages.items()
    } == {
        "1-a": ("", 0.0),
        "1-b": ("dead", 50.0),
        "1-c": ("done", 60.0),
        "1-d": ("done", 70.0),
    }
    assert contents.messages["1-c"].outcome.receipt == "r"
    opened.write(DeletionRow("1-c"), DeletionRow("1-d"))
    opened = opened.reopened()
    assert sorted(opened.contents.messages) == ["1-a", "1-b"]
    opened.store.close()


def test_an_emptied_disk_keeps_its_fencing_tokens(tmp_path: Path) -> None:
    opened = Opened(tmp_path)
    opened.write(replica("1-a"), FenceRow(1, 5), EnrollmentRow(9), NewDiskRow("e"))
    opened = opened.reopened()
    contents = opened.contents
    assert (contents.disk_id, contents.messages, contents.enrolled_index) == ("e", {}, 0)
    assert contents.fencing_tokens == {1: 5}
    opened.store.close()


def test_a_row_with_a_wrong_checksum_is_skipped_and_reported(tmp_path: Path) -> None:
    opened = Opened(tmp_path)
    opened.write(replica("1-a"), replica("1-b"))
    opened.store.close()
    database = sqlite3.connect(opened.path)
    database.execute("update message set body = x'00' where id = '1-a'")
    database.commit()
    database.close()
    opened = Opened(tmp_path)
    assert sorted(opened.contents.messages) == ["1-b"]
    assert opened.contents.corrupt_ids == ["1-a"]
    assert opened.read("1-a", "1-b") == {"1-b": b"body"}
    opened.store.close()


def test_a_file_that_is_no_database_is_replaced_by_another_disk(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).write_bytes(b"no database" * 1000)
    opened = Opened(tmp_path, "f")
    assert (opened.contents.disk_id, opened.contents.messages) == ("f", {})
    opened.write(replica("1-a"))
    assert list(opened.reopened().contents.messages) == ["1-a"]


def test_a_failed_write_does_not_fail_the_others_of_its_group_commit() -> None:
    database = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
    database.execute("create table numbers (value integer primary key)")

    def insert(database: sqlite3.Connection, rows: list[int]) -> None:
        database.executemany("insert into numbers values (?)", [(row,) for row in rows])

    posted: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
    writer = GroupCommitWriter(database, insert, posted.put)
    failures: dict[int, WriteFailure | None] = {}
    query_may_end: queue.SimpleQueue[None] = queue.SimpleQueue()
    writer.query(lambda database: query_may_end.get(timeout=5.0), lambda result: None)
    # The writes are queued behind a blocked query, so that one commit takes all of them.
    for number, value in enumerate((1, 2, 1, 3)):
        writer.write([value], lambda failure, number=number: failures.update({number: failure}))  # type: ignore[misc]
    found: list[list[int]] = []
    writer.query(
        lambda database: [row[0] for row in database.execute("select value from numbers order by 1")],
        found.append,
    )
    query_may_end.put(None)
    writer.close()
    while not posted.empty():
        posted.get()()
    assert found == [[1, 2, 3]]
    assert [failures[number] is None for number in range(4)] == [True, True, False, True]
    failure = failures[2]
    assert failure is not None
    assert failure.reason is WriteFailureReason.DATABASE_ERROR
    assert str(failure) == "the database rejected it: IntegrityError: UNIQUE constraint failed: numbers.value"


@pytest.mark.parametrize(
    ("code", "reason"),
    [
        (sqlite3.SQLITE_FULL, WriteFailureReason.OUT_OF_SPACE),
        (sqlite3.SQLITE_IOERR_FSYNC, WriteFailureReason.IO_ERROR),
        (sqlite3.SQLITE_CORRUPT, WriteFailureReason.DATABASE_ERROR),
    ],
)
def test_an_error_code_of_sqlite_gives_the_reason_of_a_failed_write(
    code: int, reason: WriteFailureReason
) -> None:
    error = sqlite3.OperationalError("cause")
    error.sqlite_errorcode = code
    failure = write_failure(error)
    assert failure.reason is reason
    assert str(failure) == f"{reason.value}: OperationalError: cause"


def test_a_full_database_is_out_of_space() -> None:
    database = sqlite3.connect(":memory:", isolation_level=None)
    database.execute("create table bodies (body blob)")
    database.execute("pragma max_page_count = 3")
    with pytest.raises(sqlite3.Error) as raised:
        database.execute("insert into bodies values (zeroblob(1000000))")
    assert write_failure(raised.value).reason is WriteFailureReason.OUT_OF_SPACE
