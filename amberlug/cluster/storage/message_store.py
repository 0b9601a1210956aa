"""The database file of a storage node: open messages with bodies, outcomes of ended ones, fencing tokens.

This module contains all SQL of a storage node. Each open message has a checksum over its body and metadata; a
corrupt row is skipped, as if the replica were lost.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from amberlug.cluster.interfaces import OnWritten
from amberlug.cluster.storage.group_commit import GroupCommitWriter, open_file
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME, MessageOutcome
from amberlug.cluster.storage.records import (
    DeletionRow,
    EnrollmentRow,
    FenceRow,
    NewDiskRow,
    OutcomeRow,
    ReplicaRow,
    StorageRow,
    StoredContents,
    StoredMessage,
)

FILE_NAME = "chest.db"  # historical name, kept for folders of earlier versions
FILE_SUFFIXES = ("", "-wal")
FORMAT = 1  # a file with another format version is replaced by an empty one
SCHEMA = """
create table if not exists about (name text primary key, value text not null);
create table if not exists fence (shard integer primary key, epoch integer not null);
create table if not exists message (
    id text primary key, shard integer not null, epoch integer not null, seq integer not null,
    meta text not null, body blob, sum integer not null,
    end text not null, seal text not null, keep_until real not null
) without rowid;
"""


def _checksum(message_id: str, shard: int, metadata_text: str, content: bytes) -> int:
    return zlib.crc32(content, zlib.crc32(f"{message_id} {shard} {metadata_text}".encode()))


def execute_rows(database: sqlite3.Connection, rows: Sequence[StorageRow]) -> None:
    """Execute the statements that write rows, in order.

    :raises sqlite3.Error: if one fails.
    """
    for row in rows:
        _execute_row(database, row)


def _execute_row(database: sqlite3.Connection, row: StorageRow) -> None:
    match row:
        case ReplicaRow():
            _write_replica(database, row)
        case OutcomeRow():
            _write_outcome(database, row)
        case FenceRow(shard, epoch):
            database.execute("insert or replace into fence values (?, ?)", (shard, epoch))
        case EnrollmentRow(roster_index):
            database.execute("insert or replace into about values ('enrolled', ?)", (roster_index,))
        case NewDiskRow(disk_id):
            database.execute("delete from message")
            database.execute("delete from about where name = 'enrolled'")
            database.execute("insert or replace into about values ('disk', ?)", (disk_id,))
        case DeletionRow(message_id):
            database.execute("delete from message where id = ?", (message_id,))


def _write_replica(database: sqlite3.Connection, row: ReplicaRow) -> None:
    metadata_text = json.dumps(row.metadata, separators=(",", ":"))
    checksum = _checksum(row.message_id, row.shard, metadata_text, row.content)
    database.execute(
        "insert or replace into message values (?, ?, ?, ?, ?, ?, ?, '', '', 0)",
        (
            row.message_id,
            row.shard,
            row.accepted_epoch,
            row.sequence,
            metadata_text,
            row.content,
            checksum,
        ),
    )


def _write_outcome(database: sqlite3.Connection, row: OutcomeRow) -> None:
    status, receipt = row.outcome.status, row.outcome.receipt
    delete_content = "" if status == DEAD_OUTCOME else ", body = null"
    cursor = database.execute(
        f"update message set end = ?, seal = ?, keep_until = ?{delete_content} where id = ?",
        (status, receipt, row.retain_until, row.message_id),
    )
    if cursor.rowcount == 0:
        database.execute(
            "insert into message values (?, ?, 0, 0, '{}', null, 0, ?, ?, ?)",
            (row.message_id, row.shard, status, receipt, row.retain_until),
        )


class _MessageColumns(NamedTuple):
    """One row of the table `message`, in column order."""

    id: str
    shard: int
    epoch: int
    seq: int
    meta: str
    body: bytes | None
    sum: int
    end: str
    seal: str
    keep_until: float

    @property
    def is_corrupt(self) -> bool:
        """Whether the checksum of an open message is wrong; ended messages have no body to check."""
        if self.end:
            return False
        return self.body is None or _checksum(self.id, self.shard, self.meta, self.body) != self.sum

    def to_message(self) -> StoredMessage:
        """Decode the columns except the body."""
        return StoredMessage(
            self.shard,
            self.epoch,
            self.seq,
            json.loads(self.meta),
            len(self.body) if self.body is not None else 0,
            MessageOutcome(self.end, self.seal),
            self.keep_until,
        )


def _load(database: sqlite3.Connection, about: dict[str, str]) -> StoredContents:
    contents = StoredContents(about["disk"], dict(database.execute("select shard, epoch from fence")))
    contents.enrolled_index = int(about.get("enrolled", 0))
    columns = ", ".join(_MessageColumns._fields)
    for values in database.execute(f"select {columns} from message"):
        row = _MessageColumns(*values)
        if row.is_corrupt:
            contents.corrupt_ids.append(row.id)
        else:
            contents.messages[row.id] = row.to_message()
    return contents


def _read_contents(database: sqlite3.Connection, message_ids: Sequence[str]) -> dict[str, bytes]:
    intact = {}
    for message_id in message_ids:
        row = database.execute(
            "select shard, meta, body, sum from message where id = ?", (message_id,)
        ).fetchone()
        if row is None:
            continue
        shard, metadata_text, content, checksum = row
        if content is not None and _checksum(message_id, shard, metadata_text, content) == checksum:
            intact[message_id] = bytes(content)
    return intact


class MessageStore:
    """Writes to and reads from one disk; see `GroupCommitWriter` for threading and durability.

    :param post: runs a callback on the node's thread.
    """

    def __init__(self, database: sqlite3.Connection, post: Callable[[Callable[[], None]], None]) -> None:
        self._writer: GroupCommitWriter[StorageRow] = GroupCommitWriter(database, execute_rows, post)

    def write(self, rows: Sequence[StorageRow], on_written: OnWritten) -> None:
        """Write rows in one transaction.

        :param on_written: called once they are synced, or with the reason why none of them is stored.
        """
        self._writer.write(rows, on_written)

    def read(self, message_ids: Sequence[str], on_read: Callable[[dict[str, bytes]], None]) -> None:
        """Read bodies after all earlier writes; missing and corrupt ones are omitted."""
        self._writer.query(lambda database: _read_contents(database, message_ids), on_read)

    def close(self) -> None:
        """Execute queued writes, then close the file."""
        self._writer.close()


class OpenedMessageStore(NamedTuple):
    """A storage node's disk: its contents and the store to write to."""

    contents: StoredContents
    store: MessageStore


def open_message_store(
    folder: Path, new_disk_id: Callable[[], str], post: Callable[[Callable[[], None]], None]
) -> OpenedMessageStore:
    """Open or create the database file in a storage node's folder.

    A file that can't be read is replaced by an empty one, which counts as another disk: the roster still
    contains the old one, whose replicas are lost.

    :param new_disk_id: generates the id of a new disk.
    :param post: runs a callback on the node's thread.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    database = sqlite3.connect(":memory:")
    try:
        database = open_file(path, SCHEMA)
        about = dict(database.execute("select name, value from about"))
        if about.get("format") == str(FORMAT):
            return OpenedMessageStore(_load(database, about), MessageStore(database, post))
        is_unreadable = bool(about)
    except (sqlite3.Error, ValueError):
        is_unreadable = True
    if is_unreadable:
        database.close()
        _delete_files(folder)
        database = open_file(path, SCHEMA)
    disk_id = new_disk_id()
    _begin_disk(database, disk_id)
    return OpenedMessageStore(StoredContents(disk_id), MessageStore(database, post))


def _delete_files(folder: Path) -> None:
    for suffix in FILE_SUFFIXES:
        (folder / f"{FILE_NAME}{suffix}").unlink(missing_ok=True)


def _begin_disk(database: sqlite3.Connection, disk_id: str) -> None:
    database.execute("begin immediate")
    database.executemany("insert into about values (?, ?)", [("format", str(FORMAT)), ("disk", disk_id)])
    database.execute("commit")
