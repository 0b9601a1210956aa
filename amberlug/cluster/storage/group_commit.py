"""Group commit: a sqlite file with a thread of its own, in which queued writes share one synced transaction.

A sync costs milliseconds whatever it writes. While one is under way further writes queue up, and the next
transaction takes them together: throughput grows with load at the latency of two syncs.
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

MAX_WRITES_PER_COMMIT = 256  # bounds how long the first write of a commit waits for the others
THREAD_NAME = "group-commit"
PRIMARY_RESULT_CODE = 0xFF  # mask: the upper bits of a result code of sqlite are its extension
FAILURE_REASONS = {
    sqlite3.SQLITE_FULL: WriteFailureReason.OUT_OF_SPACE,
    sqlite3.SQLITE_IOERR: WriteFailureReason.IO_ERROR,
}

RowT = TypeVar("RowT")
ResultT = TypeVar("ResultT")
Callback = Callable[[], None]


def open_file(path: Path, schema: str) -> sqlite3.Connection:
    """Open a database file, or make it.

    It is in WAL mode without shared memory: one process has it open. Each commit is synced before it returns.

    :param schema: statements that create what is missing.
    :raises sqlite3.Error: where the file can't be opened or is no database.
    """
    database = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    # Before the first access, so that no shared-memory file is made.
    database.execute("pragma locking_mode=exclusive")
    database.execute("pragma journal_mode=wal")
    database.execute("pragma synchronous=full")
    database.execute("pragma wal_autocheckpoint=400")
    database.executescript(schema)
    return database


def write_failure(error: sqlite3.Error) -> WriteFailure:
    """Classify an error of sqlite."""
    code = getattr(error, "sqlite_errorcode", 0) & PRIMARY_RESULT_CODE
    reason = FAILURE_REASONS.get(code, WriteFailureReason.DATABASE_ERROR)
    return WriteFailure(reason, f"{type(error).__name__}: {error}")


@value
class _Write(Generic[RowT]):
    rows: Sequence[RowT]
    on_written: OnWritten


class _Batch(NamedTuple, Generic[RowT]):
    """Writes for one transaction.

    :param last_item: the item that ended the batch: its last write, or a query or None that came next.
    """

    writes: list[_Write[RowT]]
    last_item: _Write[RowT] | Callback | None


def _notify(batch: Sequence[_Write[RowT]], failure: WriteFailure | None) -> None:
    for write in batch:
        write.on_written(failure)


class GroupCommitWriter(Generic[RowT]):
    """Writes and queries of one database, in the order of the calls.

    Threading: `write`, `query` and `close` are called by one thread, that of the node. The database belongs
    to the writer's own thread from the construction to the end of `close`. Callbacks are given to `post`,
    which brings them back to the node's thread; they run in the order of the calls.

    Durability: the rows of one `write` are in one transaction. Its callback gets None only after the
    transaction was synced; with a failure none of its rows is there. After a crash the file contains a prefix
    of the writes that had not failed.

    :param execute_rows: executes the statements of rows; it raises `sqlite3.Error` where one fails.
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

        :param on_written: called once they are synced, or with the reason why none of them is there.
        """
        self._queue.put(_Write(rows, on_written))

    def query(
        self, run_query: Callable[[sqlite3.Connection], ResultT], on_result: Callable[[ResultT], None]
    ) -> None:
        """Queue a query; it sees all writes that were queued before it."""
        self._queue.put(partial(self._run_query, run_query, on_result))

    def close(self) -> None:
        """Write what is queued, then end the thread and close the database."""
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
        """Serve the queue: consecutive writes as one transaction, then the query after them if any.

        :returns: False once `close` was called, and all that was queued before is served.
        """
        writes, last_item = self._next_batch()
        if writes:
            self._commit(writes)
        if last_item is not None and not isinstance(last_item, _Write):
            last_item()
        return last_item is not None

    def _next_batch(self) -> _Batch[RowT]:
        """Wait for an item, and take with it the writes that are queued after it, up to the limit."""
        writes: list[_Write[RowT]] = []
        item = self._queue.get()
        while isinstance(item, _Write):
            writes.append(item)
            if len(writes) >= MAX_WRITES_PER_COMMIT or self._queue.empty():
                break
            item = self._queue.get()
        return _Batch(writes, item)

    def _commit(self, batch: list[_Write[RowT]]) -> None:
        """Commit writes together; where that fails, each on its own, so that one does not fail the others."""
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
