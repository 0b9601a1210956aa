"""The log of a member, in memory and on its way to disk, and the snapshot that replaces a prefix of it.

All writes go through `Disk`. Snapshots follow section 7 of the Raft paper. Limits apply to bytes as well as
to the number of entries, since a single entry can have 4 MiB: a snapshot is taken after a number of entries,
or after a number of bytes that is at least the size of the last snapshot. A tail of entries before the
snapshot is kept for followers that lag only a little.

Invariant: `synced_index` covers only what a restart recovers, so that everything acknowledged is durable.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice

from amberlug.cluster.consensus.membership import Members, Membership
from amberlug.cluster.consensus.opaque import MachineState
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState, Snapshot, encode
from amberlug.cluster.consensus.rows import EntryRow, Row, SnapshotRow, TruncateRow, raw_rows
from amberlug.cluster.consensus.snapshot_transfer import CHUNK_BYTES, TransferHeader
from amberlug.cluster.interfaces import Disk, Runtime, WriteFailure
from amberlug.cluster.values import value

MAX_BATCH_ENTRIES = 64  # per message; their total size is also limited to CHUNK_BYTES
# Entries applied since the last snapshot that trigger another one; replaying them at startup takes
# milliseconds.
SNAPSHOT_ENTRIES = 512
# Applied bytes that trigger a snapshot; at least the size of the last one, so that a large snapshot is not
# written at each change.
SNAPSHOT_BYTES = 4 << 20
TAIL_ENTRIES = 128  # kept before the snapshot: followers that lack only a few need no snapshot transfer
TAIL_BYTES = 1 << 20  # maximum size of that tail
WRITE_RETRY_S = 0.1  # delay before a failed write is retried; doubles with each failure
MAX_WRITE_RETRY_S = 1.6  # after four failures in a row; freed disk space is noticed within seconds


@dataclass(slots=True, eq=False)
class _PendingWrite:
    """A range of entries that is being written to disk."""

    first_index: int
    last_index: int


@value
class _EncodedEntry:
    """The encoded text of a long entry, cached for all peers; index 0 means empty."""

    index: int = 0
    term: int = 0
    text: str = ""


class Log:
    """The entries after `base_index`, and a snapshot up to `snapshot_index`, which is at least `base_index`.

    :param on_synced: called when further entries are durable.
    """

    def __init__(
        self, runtime: Runtime, disk: Disk, saved: PersistentState, on_synced: Callable[[], None]
    ) -> None:
        self._runtime, self._disk, self._on_synced = runtime, disk, on_synced
        self.snapshot_index, self.snapshot_term = saved.snapshot_index, saved.snapshot_term
        self.snapshot_state, self.snapshot_members = saved.snapshot_state, saved.members
        self.base_index, self.base_term = saved.snapshot_index, saved.snapshot_term
        self.entries = list(saved.entries)
        if saved.tail:
            self.base_index = saved.snapshot_index - len(saved.tail) + 1
            self.base_term = saved.tail[0].term
            self.entries = saved.tail[1:] + self.entries
        self.sizes_bytes = [len(encode(entry.command)) for entry in self.entries]
        self._long_entry_cache = _EncodedEntry()
        self.synced_index = self.last_index  # up to here, everything is on disk, as entries or as a snapshot
        self._synced_snapshot_index = self.snapshot_index
        self._snapshot_bytes = len(encode(self.snapshot_state))
        self._applied_bytes = 0  # since the snapshot
        self._pending_writes: list[_PendingWrite] = []
        self._is_retry_scheduled = False  # after a failed write
        self._is_closed = False
        self._retry_s = WRITE_RETRY_S

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index, which must still be in the log."""
        return self.entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index; -1 if it is unknown."""
        if index == self.base_index:
            return self.base_term
        return self.entry_at(index).term if self.base_index < index <= self.last_index else -1

    def newest_membership(self) -> Membership:
        """Return the newest membership in the log, committed or not (dissertation, section 4.1)."""
        for offset_from_end, entry in enumerate(reversed(self.entries)):
            members = entry.members
            if members is not None:
                return Membership(members, self.last_index - offset_from_end)
        return Membership(self.snapshot_members, self.base_index)

    def members_until(self, index: int) -> Members:
        """Return the members of the configuration in effect at an index."""
        members = self.snapshot_members
        for entry in self.entries[: index - self.base_index]:
            if entry.members is not None:
                members = entry.members
        return members

    def batch_after(self, index: int) -> list[Entry]:
        """Return the entries after an index for one message, limited by number and by size.

        The batch is empty if the first entry is too long; such entries are sent in chunks.
        """
        entries: list[Entry] = []
        remaining_bytes, offset = CHUNK_BYTES, index - self.base_index
        sized = zip(self.entries, self.sizes_bytes, strict=True)
        for entry, size in islice(sized, offset, offset + MAX_BATCH_ENTRIES):
            if size > remaining_bytes:
                break
            entries.append(entry)
            remaining_bytes -= size
        return entries

    def size_bytes(self, first_index: int, count: int = 1) -> int:
        """Return the total size of `count` entries, beginning at `first_index`."""
        offset = first_index - self.base_index - 1
        return sum(self.sizes_bytes[offset : offset + count])

    def encoded_entry(self, index: int) -> str:
        """Return the encoded command of an entry."""
        encoded = self._long_entry_cache
        if (encoded.index, encoded.term) == (index, self.term_at(index)):
            return encoded.text
        return encode(self.entry_at(index).command)

    def encoded_snapshot(self) -> str:
        """Return the snapshot as it is sent to peers."""
        return Snapshot(self.snapshot_state, self.snapshot_members).encoded()

    # -- changes

    def append(self, entries: Sequence[Entry], truncate_from: int = 0) -> None:
        """Append entries.

        :param truncate_from: replace the entries from this index on, which must be uncommitted; 0: none.
        """
        if truncate_from:
            del self.entries[truncate_from - self.base_index - 1 :]
            del self.sizes_bytes[truncate_from - self.base_index - 1 :]
            self._cap_synced_index(truncate_from - 1)
        first_index = self.last_index + 1
        for entry in entries:
            text = encode(entry.command)
            self.entries.append(entry)
            self.sizes_bytes.append(len(text))
            if len(text) > CHUNK_BYTES:
                self._long_entry_cache = _EncodedEntry(self.last_index, entry.term, text)
        rows: list[Row] = [TruncateRow(truncate_from)] if truncate_from else []
        rows += self._entry_rows(first_index, entries)
        self._save(rows, _PendingWrite(first_index, self.last_index))

    def record_applied(self, index: int) -> bool:
        """Account for an applied entry.

        :returns: whether a snapshot is due.
        """
        self._applied_bytes += self.size_bytes(index)
        if index - self.snapshot_index >= SNAPSHOT_ENTRIES:
            return True
        return self._applied_bytes >= max(SNAPSHOT_BYTES, self._snapshot_bytes)

    def compact(self, index: int, state: MachineState) -> None:
        """Replace the entries up to an applied index by a snapshot, except for a tail (Raft, section 7)."""
        members = self.members_until(index)
        self.snapshot_term = self.term_at(index)
        self.snapshot_index, self.snapshot_state, self.snapshot_members = index, state, members
        self._snapshot_bytes, self._applied_bytes = len(encode(state)), 0
        base_index = index - self._tail_length(index)
        self.base_term = self.term_at(base_index)
        del self.entries[: base_index - self.base_index]
        del self.sizes_bytes[: base_index - self.base_index]
        self.base_index = base_index
        self._long_entry_cache = _EncodedEntry()
        # The snapshot also makes entries durable whose own writes have failed.
        self._save([self._snapshot_row()], _PendingWrite(index + 1, index), index)

    def _tail_length(self, index: int) -> int:
        """Return how many entries to keep before a snapshot up to an index."""
        count, remaining_bytes = 0, TAIL_BYTES
        while count < min(TAIL_ENTRIES, index - self.base_index - 1):
            remaining_bytes -= self.sizes_bytes[index - self.base_index - count - 1]
            if remaining_bytes < 0:
                break
            count += 1
        return count

    def install(self, header: TransferHeader, snapshot: Snapshot, commit_index: int) -> None:
        """Replace everything that a leader's snapshot covers; later entries are kept if they are consistent.

        Invariant (Log Matching): an entry with the snapshot's last index and term is identical to the
        leader's, and so are all entries before it. Without such an entry, later entries may conflict and are
        discarded (Raft, section 7; figure 13, steps 6 and 7).
        """
        index, term = header.last_index, header.last_term
        keeps_suffix = self.term_at(index) == term
        self.entries = self.entries[index - self.base_index :] if keeps_suffix else []
        self.sizes_bytes = self.sizes_bytes[index - self.base_index :] if keeps_suffix else []
        if not keeps_suffix:
            self._cap_synced_index(commit_index)
        self.base_index = self.snapshot_index = index
        self.base_term = self.snapshot_term = term
        self.snapshot_state, self.snapshot_members = snapshot.state, snapshot.members
        self._snapshot_bytes, self._applied_bytes = header.size_bytes, 0
        rows: list[Row] = [] if keeps_suffix else [TruncateRow(1)]
        self._save([*rows, self._snapshot_row()], _PendingWrite(index + 1, index), index)

    def _cap_synced_index(self, index: int) -> None:
        """Exclude the entries after an index, which were replaced, from what is or will be synced."""
        self.synced_index = min(self.synced_index, index)
        for write in self._pending_writes:
            write.last_index = min(write.last_index, index)

    # -- the disk

    def close(self) -> None:
        """Stop writing: the file now belongs to the log of another incarnation."""
        self._is_closed = True

    def _save(self, rows: Sequence[Row], write: _PendingWrite, snapshot_index: int = 0) -> None:
        """Write rows to disk.

        :param snapshot_index: index of the snapshot among the rows; 0 if there is none.
        """

        def on_written(failure: WriteFailure | None) -> None:
            """Advance the synced indexes after a write, or schedule a retry if it failed."""
            if self._is_closed:
                return
            if write in self._pending_writes:
                self._pending_writes.remove(write)
            if failure is not None:
                self._schedule_retry()
                return
            self._retry_s = WRITE_RETRY_S
            self._synced_snapshot_index = max(self._synced_snapshot_index, snapshot_index)
            self.synced_index = max(self.synced_index, snapshot_index)
            if write.first_index <= self.synced_index + 1:
                self.synced_index = max(self.synced_index, write.last_index)
            self._on_synced()

        if not self._is_retry_scheduled:  # otherwise the scheduled retry writes these rows as well
            self._pending_writes.append(write)
            self._disk.write(raw_rows(rows), on_written)

    def _schedule_retry(self) -> None:
        """Schedule one retry, after a failed write, of everything that is not on disk."""
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._runtime.call_later(self._retry_s, self._save_unsynced)
            self._retry_s = min(MAX_WRITE_RETRY_S, 2 * self._retry_s)

    def _save_unsynced(self) -> None:
        """Write everything that is not known to be on disk: a log with a gap is unusable after a restart."""
        if self._is_closed:
            return
        self._is_retry_scheduled = False
        rows: list[Row] = []
        if self._synced_snapshot_index < self.snapshot_index:
            rows.append(self._snapshot_row())
        first_index = max(self.synced_index, self.base_index) + 1
        rows.append(TruncateRow(first_index))
        rows += self._entry_rows(first_index, self.entries[first_index - self.base_index - 1 :])
        self._save(rows, _PendingWrite(first_index, self.last_index), self.snapshot_index)

    @staticmethod
    def _entry_rows(first_index: int, entries: Sequence[Entry]) -> list[EntryRow]:
        return [
            EntryRow(first_index + offset, entry.term, entry.command) for offset, entry in enumerate(entries)
        ]

    def _snapshot_row(self) -> SnapshotRow:
        return SnapshotRow(
            self.snapshot_index,
            self.snapshot_term,
            self.snapshot_state,
            self.snapshot_members,
            self.base_index,
        )
