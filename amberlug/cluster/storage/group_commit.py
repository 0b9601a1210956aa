"""Group commit: an SQLite database with a dedicated thread, where queued writes share one transaction.

A sync takes milliseconds regardless of its size. Writes that arrive during a sync are queued and committed
together in the next transaction, so that throughput grows with load at a latency of two syncs.
"""

from __future__ import annotations

import queue
import sqlite3
import threading
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Generic, NamedTuple, TypeVar

from amberlug.cluster.interfaces import OnWritten, WriteFailure, WriteFailureReason
from amberlug.cluster.values import value

MAX_WRITES_PER_COMMIT = 256  # bounds the time that the first write of a commit waits for the others
THREAD_NAME = "group-commit"
PRIMARY_RESULT_CODE = 0xFF  # mask that removes the extension bits of an SQLite result code
FAILURE_REASONS = {
    sqlite3.SQLITE_FULL: WriteFailureReason.OUT_OF_SPACE,
    sqlite3.SQLITE_IOERR: WriteFailureReason.IO_ERROR,
}

RowT = TypeVar("RowT")
ResultT = TypeVar("ResultT")
Callback = Callable[[], None]


def open_file(path: Path, schema: str) -> sqlite3.Connection:
    """Open or create a database file.

    It uses WAL mode without shared memory, since only one process opens it. Each commit is synced before it
    returns.

    :param schema: statements that create missing tables.
    :raises sqlite3.Error: if the file can't be opened or is not a database.
    """
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    # Set before the first access, so that no shared-memory file is created.
    database.execute("pragma locking_mode=exclusive")
    database.execute("pragma journal_mode=wal")
    database.execute("pragma synchronous=full")
    database.execute("pragma wal_autocheckpoint=400")
    database.executescript(schema)
    return database


def write_failure(error: sqlite3.Error) -> WriteFailure:
    """Classify an SQLite error."""
    code = getattr(error, "sqlite_errorcode", 0) & PRIMARY_RESULT_CODE
    reason = FAILURE_REASONS.get(code, WriteFailureReason.DATABASE_ERROR)
    return WriteFailure(reason, f"{type(error).__name__}: {error}")


@value
class _Write(Generic[RowT]):
    rows: Sequence[RowT]
    on_written: OnWritten


class _Batch(NamedTuple, Generic[RowT]):
    """The writes of one transaction.

    :param last_item: the item that ended the batch: its last write, or the query or None that followed it.
    """

    writes: list[_Write[RowT]]
    last_item: _Write[RowT] | Callback | None


def _notify(batch: Sequence[_Write[RowT]], failure: WriteFailure | None) -> None:
    for write in batch:
        write.on_written(failure)


class GroupCommitWriter(Generic[RowT]):
    """Executes writes and queries on one database, in call order.

    Threading: `write`, `query` and `close` must be called from one thread, that of the node. The database is
    used by the writer's own thread from construction to the end of `close`. Callbacks are passed to `post`,
    which runs them on the node's thread in call order.

    Durability: the rows of one `write` are in one transaction. Its callback gets None only after the
    transaction is synced; on failure none of its rows is stored. After a crash the file contains a prefix of
    the writes that did not fail.

    :param execute_rows: executes the statements for rows; raises `sqlite3.Error` if one fails.
    :param post: runs a callback on the node's thread.
    """

    def __init__(
        self,
        database: sqlite3.Connection,
        execute_rows: Callable[[sqlite3.Connection, list[RowT]], None],
        post: Callable[[Callback], None],
    ) -> None:
        self._database, self._execute_rows, self._post = database, execute_rows, post
        self._queue: queue.SimpleQueue[_Write[RowT] | Callback | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=THREAD_NAME, daemon=True)
        self._thread.start()

    def write(self, rows: Sequence[RowT], on_written: OnWritten) -> None:
        """Queue rows for the next transaction.

        :param on_written: called once they are synced, or with the reason why none of them is stored.
        """
        self._queue.put(_Write(rows, on_written))

    def query(
        self, run_query: Callable[[sqlite3.Connection], ResultT], on_result: Callable[[ResultT], None]
    ) -> None:
        """Queue a query; it sees all writes queued before it."""
        self._queue.put(partial(self._run_query, run_query, on_result))

    def close(self) -> None:
        """Execute the queued items, then stop the thread and close the database."""
        self._queue.put(None)
        self._thread.join()
        self._database.close()

    def _run_query(
        self, run_query: Callable[[sqlite3.Connection], ResultT], on_result: Callable[[ResultT], None]
    ) -> None:
        self._post(partial(on_result, run_query(self._database)))

    def _run(self) -> None:
        while self._serve_batch():
            pass

    def _serve_batch(self) -> bool:
        """Commit the next consecutive writes as one transaction, then run the query after them if any.

        :returns: False if `close` was called and all items queued before are processed.
        """
        writes, last_item = self._next_batch()
        if writes:
            self._commit(writes)
        if last_item is not None and not isinstance(last_item, _Write):
            last_item()
        return last_item is not None

    def _next_batch(self) -> _Batch[RowT]:
        """Wait for an item, and collect the writes queued after it, up to the limit."""
        writes: list[_Write[RowT]] = []
        item = self._queue.get()
        while isinstance(item, _Write):
            writes.append(item)
            if len(writes) >= MAX_WRITES_PER_COMMIT or self._queue.empty():
                break
            item = self._queue.get()
        return _Batch(writes, item)

    def _commit(self, batch: list[_Write[RowT]]) -> None:
        """Commit writes together; on failure commit each separately, so that one does not fail the others."""
        failure = self._try_commit([row for write in batch for row in write.rows])
        if failure is not None and len(batch) > 1:
            for write in batch:
                self._commit([write])
            return
        self._post(partial(_notify, batch, failure))

    def _try_commit(self, rows: list[RowT]) -> WriteFailure | None:
        if not rows:
            return None
        try:
            self._database.execute("begin immediate")
            self._execute_rows(self._database, rows)
            self._database.execute("commit")
        except sqlite3.Error as error:
            if self._database.in_transaction:
                self._database.execute("rollback")
            return write_failure(error)
        return None
