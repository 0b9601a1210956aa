"""Stable storage of a Raft member: the file `vise.db`, whose name is historical.

Every row has a checksum. A mismatch invalidates the whole file: the damage cannot be assessed, and after the
loss of a vote or an entry the member must not vote or acknowledge again under the same name (Raft, section
5.1).
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple, TypeAlias

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.opaque import MachineState
from amberlug.cluster.consensus.persistent_state import PersistentState, StoredEntry, assemble, encode
from amberlug.cluster.consensus.rows import (
    AcknowledgedRow,
    EntryRow,
    NewIncarnationRow,
    RawRow,
    Row,
    SnapshotRow,
    TermRow,
    TruncateRow,
    row_from,
)
from amberlug.cluster.interfaces import Json
from amberlug.cluster.storage.group_commit import GroupCommitWriter, open_file

FILE_NAME = "vise.db"
FORMAT = 1  # file format version; files of other formats are treated as empty
# Names of the values in table `state`. They are historical.
FORMAT_VALUE, MEMBER_ID_VALUE, TERM_VALUE = "format", "me", "term"
SNAPSHOT_VALUE, ACKNOWLEDGED_VALUE = "snap", "floors"
SCHEMA = """
create table if not exists state (name text primary key, value text not null, sum integer not null);
create table if not exists log (
    at integer primary key, term integer not null, command text not null, sum integer not null
);
"""

StoredValue: TypeAlias = int | str | list[int | str] | Json
"""A JSON value of table `state`."""


class ChecksumError(Exception):
    """The checksum of a row does not match its content.

    :param row: the name of a value or the index of an entry.
    """

    def __init__(self, row: str | int) -> None:
        super().__init__(f"checksum mismatch in row {row}")


class OpenedStorage(NamedTuple):
    """The result of `open_raft_storage`."""

    saved: PersistentState
    writer: GroupCommitWriter[RawRow]
    is_new: bool  # whether there was no usable file


def execute_rows(database: sqlite3.Connection, raw: list[RawRow]) -> None:
    """Execute the statements that write the rows, in order."""
    for kind, values in raw:
        _execute_row(database, row_from(kind, values))


def _execute_row(database: sqlite3.Connection, row: Row) -> None:
    match row:
        case EntryRow(index, term, command):
            text = encode(command)
            database.execute(
                "insert or replace into log values (?, ?, ?, ?)",
                (index, term, text, _entry_checksum(index, term, text)),
            )
        case TermRow(term, voted_for):
            _put_value(database, TERM_VALUE, [term, voted_for])
        case AcknowledgedRow(indexes):
            _put_value(database, ACKNOWLEDGED_VALUE, indexes)
        case NewIncarnationRow(member_id):
            database.execute("delete from log")
            stale = (TERM_VALUE, ACKNOWLEDGED_VALUE)
            database.execute("delete from state where name in (?, ?)", stale)
            _put_value(database, MEMBER_ID_VALUE, member_id)
            _put_value(database, SNAPSHOT_VALUE, _snapshot_value(0, 0, None, Members()))
        case TruncateRow(first_index):
            database.execute("delete from log where at >= ?", (first_index,))
        case SnapshotRow(index, term, state, members, first_kept_index):
            _put_value(database, SNAPSHOT_VALUE, _snapshot_value(index, term, state, members))
            database.execute("delete from log where at < ?", (first_kept_index,))


def _snapshot_value(index: int, term: int, state: MachineState | None, members: Members) -> Json:
    return {"start": index, "term": term, "state": state, "members": members.to_wire()}


def _put_value(database: sqlite3.Connection, name: str, value: StoredValue) -> None:
    text = json.dumps(value, separators=(",", ":"))
    database.execute("insert or replace into state values (?, ?, ?)", (name, text, zlib.crc32(text.encode())))


def _entry_checksum(index: int, term: int, text: str) -> int:
    return zlib.crc32(f"{index} {term} {text}".encode())


def _load(database: sqlite3.Connection) -> PersistentState | None:
    """Read the persistent state.

    :returns: None if the file is empty, has another format, or lacks entries.
    :raises ChecksumError: if a row is damaged.
    """
    values = _load_values(database)
    if values.get(FORMAT_VALUE) != FORMAT or MEMBER_ID_VALUE not in values:
        return None
    term, voted_for = values.get(TERM_VALUE, (0, ""))
    snapshot = values[SNAPSHOT_VALUE]
    saved = PersistentState(
        values[MEMBER_ID_VALUE],
        term,
        voted_for,
        snapshot_index=snapshot["start"],
        snapshot_term=snapshot["term"],
        snapshot_state=snapshot["state"],
        members=Members.from_wire(snapshot["members"]),
        acknowledged=values.get(ACKNOWLEDGED_VALUE, {}),
    )
    return assemble(saved, list(_load_entries(database)))


def _load_values(database: sqlite3.Connection) -> Json:
    """Read the JSON values of table `state`, by name."""
    values: Json = {}
    for name, text, checksum in database.execute("select name, value, sum from state"):
        if zlib.crc32(text.encode()) != checksum:
            raise ChecksumError(name)
        values[name] = json.loads(text)
    return values


def _load_entries(database: sqlite3.Connection) -> Iterator[StoredEntry]:
    """Read the entries in index order."""
    for index, term, text, checksum in database.execute("select at, term, command, sum from log order by at"):
        if _entry_checksum(index, term, text) != checksum:
            raise ChecksumError(index)
        yield StoredEntry(index, term, json.loads(text))


def open_raft_storage(
    folder: Path,
    new_state: Callable[[], PersistentState],
    post: Callable[[Callable[[], None]], None],
) -> OpenedStorage:
    """Open or create a member's file in a folder.

    A damaged file is deleted: the machine returns as another incarnation, like one that has lost its disk.

    :param new_state: creates the initial state of an empty disk.
    :param post: runs a callback on the thread that requested a write.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / FILE_NAME
    database = sqlite3.connect(":memory:")
    try:
        database = open_file(path, SCHEMA)
        saved = _load(database)
    except (sqlite3.Error, ValueError, ChecksumError):
        saved = None
    if saved is not None:
        return OpenedStorage(saved, GroupCommitWriter(database, execute_rows, post), False)
    database.close()
    for suffix in ("", "-wal"):
        (folder / f"{FILE_NAME}{suffix}").unlink(missing_ok=True)
    database = open_file(path, SCHEMA)
    saved = new_state()
    _write_new(database, saved)
    return OpenedStorage(saved, GroupCommitWriter(database, execute_rows, post), True)


def _write_new(database: sqlite3.Connection, saved: PersistentState) -> None:
    """Write the initial state of an empty disk."""
    database.execute("begin immediate")
    _put_value(database, FORMAT_VALUE, FORMAT)
    _put_value(database, MEMBER_ID_VALUE, saved.member_id)
    snapshot = _snapshot_value(saved.snapshot_index, saved.snapshot_term, saved.snapshot_state, saved.members)
    _put_value(database, SNAPSHOT_VALUE, snapshot)
    database.execute("commit")
