"""The log of a member, in memory and on its way to disk, and the snapshot that replaces a prefix of it.

Nothing here is written but through `Disk`. Snapshots follow section 7 of the Raft paper. Entries are counted
by bytes as well as by number, since one may have 4 MiB: a snapshot is made after so many of either, never
more often than its own size warrants, and a tail of entries before it stays for followers that lack only a
little.

Invariant: `synced_index` covers only what a restart finds again, so that what is acknowledged is durable.
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

MAX_BATCH_ENTRIES = 64  # in one message; they are of CHUNK_BYTES at most in all
# Applied since the last snapshot until another one is made: their replay at a start takes milliseconds.
SNAPSHOT_ENTRIES = 512
# The same in bytes, or as many as the snapshot has, so that a large one is not written at each change.
SNAPSHOT_BYTES = 4 << 20
TAIL_ENTRIES = 128  # kept before the snapshot, so that followers that lack a few need no transfer of it
TAIL_BYTES = 1 << 20  # of the tail at most
WRITE_RETRY_S = 0.1  # until what the disk refused is written again, doubled at each refusal
MAX_WRITE_RETRY_S = 1.6  # after four refusals in a row: a disk with space again is noticed within seconds


@dataclass(slots=True, eq=False)
class _PendingWrite:
    """Entries on their way to the disk."""

    first_index: int
    last_index: int


@value
class _EncodedEntry:
    """The text of a long entry, which is encoded once for all peers; index 0: of none."""

    index: int = 0
    term: int = 0
    text: str = ""


class Log:
    """Entries after `base_index`, and a snapshot up to `snapshot_index`, which is the same or a later one.

    :param on_synced: called when more entries are on disk.
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
        self._newest_long = _EncodedEntry()
        self.synced_index = self.last_index  # entries up to here are on disk, as such or in a snapshot
        self._synced_snapshot_index = self.snapshot_index
        self._snapshot_bytes = len(encode(self.snapshot_state))
        self._applied_bytes = 0  # since the snapshot
        self._pending_writes: list[_PendingWrite] = []
        self._has_refused_writes = False  # the disk has refused something that is not written again yet
        self._is_closed = False
        self._retry_s = WRITE_RETRY_S

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self.entries)

    def entry_at(self, index: int) -> Entry:
        """The entry at an index that the log still has."""
        return self.entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int:
        """The term of an entry; -1 where it is not known."""
        if index == self.base_index:
            return self.base_term
        return self.entry_at(index).term if self.base_index < index <= self.last_index else -1

    def newest_membership(self) -> Membership:
        """The newest membership in the log, committed or not (dissertation, section 4.1)."""
        for count_behind, entry in enumerate(reversed(self.entries)):
            members = entry.members
            if members is not None:
                return Membership(members, self.last_index - count_behind)
        return Membership(self.snapshot_members, self.base_index)

    def members_until(self, index: int) -> Members:
        """The members of the configuration that holds at an entry of the log."""
        members = self.snapshot_members
        for entry in self.entries[: index - self.base_index]:
            if entry.members is not None:
                members = entry.members
        return members

    def batch_after(self, index: int) -> list[Entry]:
        """The entries after an index that one message takes: bounded by number and by bytes.

        It takes none where the first is too long: that one goes in chunks.
        """
        entries: list[Entry] = []
        left_bytes, offset = CHUNK_BYTES, index - self.base_index
        sized = zip(self.entries, self.sizes_bytes, strict=True)
        for entry, size in islice(sized, offset, offset + MAX_BATCH_ENTRIES):
            if size > left_bytes:
                break
            entries.append(entry)
            left_bytes -= size
        return entries

    def size_bytes(self, first_index: int, count: int = 1) -> int:
        """The size of so many entries, from one on."""
        offset = first_index - self.base_index - 1
        return sum(self.sizes_bytes[offset : offset + count])

    def encoded_entry(self, index: int) -> str:
        """An entry's command as text."""
        encoded = self._newest_long
        if (encoded.index, encoded.term) == (index, self.term_at(index)):
            return encoded.text
        return encode(self.entry_at(index).command)

    def encoded_snapshot(self) -> str:
        """The snapshot as text, as it goes to others."""
        return Snapshot(self.snapshot_state, self.snapshot_members).encoded()

    # -- changes

    def append(self, entries: Sequence[Entry], truncate_from: int = 0) -> None:
        """Append entries.

        :param truncate_from: entries from this index on are replaced, none of which was committed; 0: none.
        """
        if truncate_from:
            del self.entries[truncate_from - self.base_index - 1 :]
            del self.sizes_bytes[truncate_from - self.base_index - 1 :]
            self._limit_synced(truncate_from - 1)
        first_index = self.last_index + 1
        for entry in entries:
            text = encode(entry.command)
            self.entries.append(entry)
            self.sizes_bytes.append(len(text))
            if len(text) > CHUNK_BYTES:
                self._newest_long = _EncodedEntry(self.last_index, entry.term, text)
        rows: list[Row] = [TruncateRow(truncate_from)] if truncate_from else []
        rows += self._entry_rows(first_index, entries)
        self._save(rows, _PendingWrite(first_index, self.last_index))

    def count_applied(self, index: int) -> bool:
        """Count an entry that was applied.

        :returns: whether it is time for a snapshot.
        """
        self._applied_bytes += self.size_bytes(index)
        if index - self.snapshot_index >= SNAPSHOT_ENTRIES:
            return True
        return self._applied_bytes >= max(SNAPSHOT_BYTES, self._snapshot_bytes)

    def compact(self, index: int, state: MachineState) -> None:
        """Replace the entries up to an applied index by a snapshot, but for a tail (Raft, section 7)."""
        members = self.members_until(index)
        self.snapshot_term = self.term_at(index)
        self.snapshot_index, self.snapshot_state, self.snapshot_members = index, state, members
        self._snapshot_bytes, self._applied_bytes = len(encode(state)), 0
        base_index = index - self._tail_length(index)
        self.base_term = self.term_at(base_index)
        del self.entries[: base_index - self.base_index]
        del self.sizes_bytes[: base_index - self.base_index]
        self.base_index = base_index
        self._newest_long = _EncodedEntry()
        # What is not on disk yet counts as being there once the snapshot is: a disk may refuse it.
        self._save([self._snapshot_row()], _PendingWrite(index + 1, index), index)

    def _tail_length(self, index: int) -> int:
        """How many entries before a snapshot up to an index are kept."""
        count, left_bytes = 0, TAIL_BYTES
        while count < min(TAIL_ENTRIES, index - self.base_index - 1):
            left_bytes -= self.sizes_bytes[index - self.base_index - count - 1]
            if left_bytes < 0:
                break
            count += 1
        return count

    def install(self, header: TransferHeader, snapshot: Snapshot, commit_index: int) -> None:
        """Replace all that a leader's snapshot covers; entries behind it stay if they follow from it.

        Invariant (Log Matching): an entry that has the snapshot's last index and term is the same, and so are
        all before it; else what is behind it may conflict, and goes (Raft, section 7; figure 13, steps 6, 7).
        """
        index, term = header.last_index, header.last_term
        keeps_rest = self.term_at(index) == term
        self.entries = self.entries[index - self.base_index :] if keeps_rest else []
        self.sizes_bytes = self.sizes_bytes[index - self.base_index :] if keeps_rest else []
        if not keeps_rest:
            self._limit_synced(commit_index)
        self.base_index = self.snapshot_index = index
        self.base_term = self.snapshot_term = term
        self.snapshot_state, self.snapshot_members = snapshot.state, snapshot.members
        self._snapshot_bytes, self._applied_bytes = header.size_bytes, 0
        rows: list[Row] = [] if keeps_rest else [TruncateRow(1)]
        self._save([*rows, self._snapshot_row()], _PendingWrite(index + 1, index), index)

    def _limit_synced(self, index: int) -> None:
        """What is behind an index was replaced: it is not on disk, nor will be by writes under way."""
        self.synced_index = min(self.synced_index, index)
        for write in self._pending_writes:
            write.last_index = min(write.last_index, index)

    # -- the disk

    def close(self) -> None:
        """Write nothing more: what follows is another incarnation's log."""
        self._is_closed = True

    def _save(self, rows: Sequence[Row], write: _PendingWrite, snapshot_index: int = 0) -> None:
        """Write rows.

        :param snapshot_index: of the snapshot among the rows; 0: there is none.
        """

        def on_written(failure: WriteFailure | None) -> None:
            if self._is_closed:
                return
            if write in self._pending_writes:
                self._pending_writes.remove(write)
            if failure is not None:
                self._retry_later()
                return
            self._retry_s = WRITE_RETRY_S
            self._synced_snapshot_index = max(self._synced_snapshot_index, snapshot_index)
            self.synced_index = max(self.synced_index, snapshot_index)
            if write.first_index <= self.synced_index + 1:
                self.synced_index = max(self.synced_index, write.last_index)
            self._on_synced()

        if not self._has_refused_writes:  # else it is written with the rest
            self._pending_writes.append(write)
            self._disk.write(raw_rows(rows), on_written)

    def _retry_later(self) -> None:
        """The disk has refused a write: write all that is missing, once, a while later."""
        if not self._has_refused_writes:
            self._has_refused_writes = True
            self._runtime.call_later(self._retry_s, self._save_rest)
            self._retry_s = min(MAX_WRITE_RETRY_S, 2 * self._retry_s)

    def _save_rest(self) -> None:
        """Write all that is not known to be on disk: a log with a gap would be worth nothing at a start."""
        if self._is_closed:
            return
        self._has_refused_writes = False
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
