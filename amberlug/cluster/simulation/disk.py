"""Models of durable storage, row by row: a control-plane node's log and a storage node's messages."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from amberlug.cluster.consensus import storage
from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState, StoredEntry, assemble
from amberlug.cluster.consensus.rows import (
    AcknowledgedRow,
    EntryRow,
    NewIncarnationRow,
    SnapshotRow,
    TermRow,
    TruncateRow,
    row_from,
)
from amberlug.cluster.interfaces import OnWritten, WriteFailure, WriteFailureReason
from amberlug.cluster.simulation.boundary_digest import BoundaryDigest
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.network import Incarnation
from amberlug.cluster.storage import message_store
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME
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

Row = Any  # each disk model has its own row type
OUT_OF_SPACE = WriteFailure(WriteFailureReason.OUT_OF_SPACE)
READ_S = 0.0005


class SimulatedDisk:
    """The disk of one machine: queued writes are committed in one batch, and each commit is atomic."""

    def __init__(self, clock: Clock, rng: random.Random, sync_s: float) -> None:
        self.clock, self.rng, self.sync_s = clock, rng, sync_s
        self.stalled_until = 0.0
        self.full = False
        self.on_durable: Callable[[], None] = lambda: None  # called once a message or log entry is durable
        self._queue: list[tuple[list[Row] | None, Callable[[Any], None]]] = []
        self._batch: list[tuple[list[Row] | None, Callable[[Any], None]]] = []
        self._number = 0
        self.name, self.digest = "", BoundaryDigest(lambda: clock.now)

    def put(self, rows: list[Row] | None, then: Callable[[Any], None]) -> None:
        """Queue a write, or with None a read that sees all writes before it."""
        if rows is not None:
            rows = [self.copy_row(row) for row in rows]
        self._queue.append((rows, then))
        if not self._batch:
            self._start_batch()

    def _start_batch(self) -> None:
        if not self._queue:
            return
        looks = [at for at, (rows, _) in enumerate(self._queue) if rows is None]
        upto = max(1, looks[0]) if looks else len(self._queue)
        self._batch, self._queue = self._queue[:upto], self._queue[upto:]
        seconds = READ_S if self._batch[0][0] is None else self.sync_s * self.rng.uniform(0.8, 1.6)
        seconds += max(0.0, self.stalled_until - self.clock.now)
        self._number += 1
        self.clock.call_later(seconds, partial(self._finish_batch, self._number))

    def _finish_batch(self, number: int) -> None:
        if number != self._number or not self._batch:
            return
        batch, self._batch = self._batch, []
        for rows, then in batch:
            if self.full and any(self.needs_space(row) for row in rows or ()):
                then(OUT_OF_SPACE)
                continue
            self._commit(rows or [])
            then(None)
        if not self.full and any(self.needs_space(row) for rows, _ in batch for row in rows or ()):
            self.on_durable()
        if not self._batch:  # otherwise a callback has already started the next batch
            self._start_batch()

    def lose(self) -> None:
        """Simulate a crash: the batch in progress is committed or lost, and queued writes are lost."""
        batch, self._batch, self._queue = self._batch, [], []
        self._number += 1
        if self.rng.random() < 0.5 and not self.full:
            for rows, _ in batch:
                self._commit(rows or [])

    def close(self) -> None:
        """Close in an orderly way: commit the batch in progress and all queued writes."""
        for rows, _ in self._batch + self._queue:
            self._commit(rows or [])
        self._batch, self._queue = [], []
        self._number += 1

    def _commit(self, rows: list[Row]) -> None:
        self.digest.commit(self.name, self.execute, rows)
        for row in rows:
            self.apply(row)

    def execute(self, base: Any, rows: list[Row]) -> None:
        """Execute the SQL statements that write these rows, as the program does."""
        raise NotImplementedError

    def copy_row(self, row: Row) -> Row:
        """Copy a row as it is now: objects that it refers to may change before the commit."""
        raise NotImplementedError

    def needs_space(self, row: Row) -> bool:
        """Whether a full disk rejects a row."""
        raise NotImplementedError

    def apply(self, row: Row) -> None:
        """Apply a committed row to the durable state."""
        raise NotImplementedError


class ControlDisk(SimulatedDisk):
    """The disk of a control-plane node: a snapshot, and log rows by index, as in the database file."""

    def __init__(self, clock: Clock, rng: random.Random, sync_s: float) -> None:
        super().__init__(clock, rng, sync_s)
        self._saved: PersistentState | None = None
        self._rows: dict[int, Entry] = {}

    def load(self, blank: Callable[[], PersistentState]) -> PersistentState:
        """Read the state that a starting process finds; a gap in the log makes it start with a blank one."""
        found = None
        if self._saved is not None:
            it = self._saved
            state, members, log = json.loads(
                json.dumps([it.snapshot_state, it.members.to_wire(), sorted(self._rows.items())])
            )
            found = PersistentState(
                it.member_id,
                it.term,
                it.voted_for,
                it.snapshot_index,
                it.snapshot_term,
                state,
                Members.from_wire(members),
            )
            found.acknowledged = dict(it.acknowledged)
            found = assemble(found, [StoredEntry(index, *entry) for index, entry in log])
        if found is None:
            self.wipe()
            found = blank()
            self._saved = PersistentState(
                found.member_id,
                found.term,
                found.voted_for,
                found.snapshot_index,
                found.snapshot_term,
                found.snapshot_state,
                found.members,
            )
        return found

    def execute(self, base: Any, rows: list[Row]) -> None:
        """Execute the SQL statements that write these log rows, as the program does."""
        storage.execute_rows(base, rows)

    def wipe(self) -> None:
        """Empty the disk: the next process that starts finds no state."""
        self._saved = None
        self._rows.clear()

    def copy_row(self, row: Row) -> Row:
        """Copy a row through JSON, as the database file stores it."""
        kind, values = row
        return kind, tuple(json.loads(json.dumps(values)))

    def needs_space(self, row: Row) -> bool:
        """Whether a full disk rejects a row: only log entries are rejected."""
        return bool(row[0] == "entry")

    def apply(self, row: Row) -> None:
        """Apply a committed row to the durable state."""
        self.keep(*row)

    def keep(self, kind: str, values: tuple[Any, ...]) -> None:
        """Apply a row, given as its kind and values; raises AssertionError if the disk was not loaded."""
        saved = self._saved
        assert saved is not None, "a disk is begun before it is written to"
        match row_from(kind, values):
            case TermRow(term, voted_for):
                saved.term, saved.voted_for = term, voted_for
            case AcknowledgedRow(indexes):
                saved.acknowledged = indexes
            case NewIncarnationRow(member_id):
                self._saved = PersistentState(member_id)
                self._rows.clear()
            case TruncateRow(first_index):
                self._rows = {index: entry for index, entry in self._rows.items() if index < first_index}
            case EntryRow(index, term, command):
                self._rows[index] = Entry(term, command)
            case SnapshotRow(snapshot_index, term, state, members, first_kept):
                saved.snapshot_index, saved.snapshot_term = snapshot_index, term
                saved.snapshot_state, saved.members = state, members
                self._rows = {index: entry for index, entry in self._rows.items() if index >= first_kept}


class MessageDisk(SimulatedDisk):
    """The disk of a storage node."""

    def __init__(self, clock: Clock, rng: random.Random, sync_s: float) -> None:
        super().__init__(clock, rng, sync_s)
        # Called when the storage node empties the disk and gives it a new id.
        self.on_disk_reset: Callable[[], None] = lambda: None
        self.wipe()

    def execute(self, base: Any, rows: list[Row]) -> None:
        """Execute the SQL statements that write these message rows, as the program does."""
        message_store.execute_rows(base, rows)

    def wipe(self) -> None:
        """Replace the disk by an empty one with a new id."""
        self._disk_id, self._enrolled_index = f"{self.rng.getrandbits(64):x}", 0
        self._fencing_tokens: dict[int, int] = {}
        self._messages: dict[str, StoredMessage] = {}
        self._contents: dict[str, bytes] = {}

    def load(self) -> StoredContents:
        """Read the state that a starting process finds."""
        messages = {
            message_id: replace(message, metadata=dict(message.metadata))
            for message_id, message in self._messages.items()
        }
        return StoredContents(self._disk_id, dict(self._fencing_tokens), messages, self._enrolled_index)

    def copy_row(self, row: StorageRow) -> StorageRow:
        """Return the row itself, without copying it."""
        return row

    def needs_space(self, row: StorageRow) -> bool:
        """Whether a full disk rejects a row: only replicas are rejected."""
        return isinstance(row, ReplicaRow)

    def apply(self, row: StorageRow) -> None:
        """Apply a committed row to the stored messages, fencing tokens and disk id."""
        match row:
            case ReplicaRow():
                self._apply_replica(row)
            case OutcomeRow():
                self._apply_outcome(row)
            case FenceRow(shard, epoch):
                self._fencing_tokens[shard] = epoch
            case EnrollmentRow(roster_index):
                self._enrolled_index = roster_index
            case NewDiskRow(disk_id):
                self._disk_id, self._enrolled_index = disk_id, 0
                self._messages.clear()
                self._contents.clear()
                self.on_disk_reset()
            case DeletionRow(message_id):
                self._messages.pop(message_id, None)
                self._contents.pop(message_id, None)

    def _apply_replica(self, row: ReplicaRow) -> None:
        self._messages[row.message_id] = StoredMessage(
            row.shard, row.accepted_epoch, row.sequence, row.metadata, len(row.content)
        )
        self._contents[row.message_id] = row.content

    def _apply_outcome(self, row: OutcomeRow) -> None:
        message = self._messages.setdefault(row.message_id, StoredMessage(row.shard, 0, 0, {}, 0))
        message.outcome, message.retain_until = row.outcome, row.retain_until
        if row.outcome.status != DEAD_OUTCOME:
            self._contents.pop(row.message_id, None)

    def holds(self, name: str) -> tuple[bool, bool]:
        """Whether a message is durable here without an outcome, and whether it is with one."""
        message = self._messages.get(name)
        return (
            message is not None and message.outcome.is_open,
            message is not None and not message.outcome.is_open,
        )

    def bodies(self, names: Sequence[str]) -> dict[str, bytes]:
        """The bodies of those messages whose body is stored here."""
        return {name: self._contents[name] for name in names if name in self._contents}


class ProcessDisk:
    """A disk as one incarnation of a process uses it."""

    def __init__(self, incarnation: Incarnation, disk_model: SimulatedDisk) -> None:
        self.incarnation, self.disk_model = incarnation, disk_model

    def write(self, rows: Sequence[Row], then: OnWritten) -> None:
        """Queue rows; `then` gets None once they are durable, or the failure, unless the process ends."""
        if not self.incarnation.over:  # the process may end during the call that writes
            self.disk_model.put(list(rows), lambda error: self.incarnation.do(partial(then, error)))


class ProcessMessageDisk(ProcessDisk):
    """The disk of a storage node, which can also read message bodies."""

    def __init__(self, incarnation: Incarnation, message_disk: MessageDisk) -> None:
        super().__init__(incarnation, message_disk)
        self.message_disk = message_disk

    def read(self, names: Sequence[str], then: Callable[[dict[str, bytes]], None]) -> None:
        """Read the bodies of these messages, after all earlier writes; names without a body are omitted."""
        self.disk_model.put(
            None, lambda _: self.incarnation.do(lambda: then(self.message_disk.bodies(names)))
        )
