"""Mutations of how the Raft log is sent, stored and read back."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.consensus import chunk_sender, log, persistent_state
from amberlug.cluster.consensus.election import MAX_ELECTION_TIMEOUT_S
from amberlug.cluster.consensus.log import Log
from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import PersistentState, StoredEntry
from amberlug.cluster.consensus.replication import HEARTBEAT_INTERVAL_S, Replication
from amberlug.cluster.consensus.snapshot_transfer import IncomingTransfer, OutgoingTransfer
from amberlug.cluster.simulation import disk


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _batch_unbounded() -> AbstractContextManager[Any]:
    """A message holds a number of entries, whatever their size."""
    return _both(
        patch.object(chunk_sender, "CHUNK_BYTES", 1 << 40), patch.object(log, "CHUNK_BYTES", 1 << 40)
    )


def _members_left_behind() -> AbstractContextManager[Any]:
    """A snapshot keeps the membership of the previous snapshot."""

    def members_until(self: Log, index: int) -> Members:
        """Return the membership of the previous snapshot for any index."""
        return self.snapshot_members

    return patch.object(Log, "members_until", members_until)


def _sum_unchecked() -> AbstractContextManager[Any]:
    """The checksum of a transfer in chunks is not verified."""

    def verified(self: IncomingTransfer) -> bytes | None:
        """Return the received data without verifying its checksum."""
        return bytes(self.data)

    return patch.object(IncomingTransfer, "verified", verified)


def _part_missing() -> AbstractContextManager[Any]:
    """Chunks are appended in any order, and the checksum is not verified."""

    def add(self: IncomingTransfer, offset_bytes: int, data: bytes) -> None:
        """Append a chunk without checking its offset."""
        self.data += data

    return patch.multiple(IncomingTransfer, add=add, verified=lambda self: bytes(self.data))


def _part_from_the_start() -> AbstractContextManager[Any]:
    """A transfer in chunks restarts from the beginning after a connection is lost."""

    def lost(self: OutgoingTransfer, number: int = 0) -> None:
        """Restart the transfer from its first byte."""
        self._in_flight.clear()
        self.sent_bytes = self.received_bytes = 0

    return patch.multiple(
        OutgoingTransfer,
        on_lost=lost,
        on_status=lambda self, received_bytes: None,
        on_acknowledged=lambda self, number, received_bytes, now: True,
    )


def _snapshot_unsynced() -> AbstractContextManager[Any]:
    """A snapshot counts as synced as soon as its write is queued."""
    save = Log._save

    def early(self: Log, rows: Any, write: Any, snapshot_index: int = 0) -> None:
        """Count a snapshot as synced before its write is queued."""
        self.synced_index = max(self.synced_index, snapshot_index)
        save(self, rows, write, snapshot_index)

    return patch.object(Log, "_save", early)


def _last_forgotten() -> AbstractContextManager[Any]:
    """A restarted member loses the last entry that it acknowledged."""
    assemble = persistent_state.assemble

    def forget(saved: PersistentState, rows: Iterable[StoredEntry]) -> PersistentState | None:
        """Drop the last entry of the log that was read."""
        found = assemble(saved, rows)
        if found is not None:
            del found.entries[-1:]
        return found

    return patch.object(disk, "assemble", forget)


def _beat_after_work() -> AbstractContextManager[Any]:
    """The next heartbeat is scheduled after all sends, and an error for one peer stops heartbeats."""

    def send_heartbeats(self: Replication) -> None:
        """Schedule the next heartbeat last; a ValueError for one peer ends the heartbeats."""
        raft = self.raft
        if not raft.is_leader or raft.is_stopped:
            return
        responsive = {name for name in self.peers if self.unresponsive_s(name) < MAX_ELECTION_TIMEOUT_S}
        if not raft.has_majority(responsive | {raft.member_id}):
            raft.step_down()
            return
        for name, peer in list(self.peers.items()):
            try:
                self.send_next(name, peer)
            except ValueError:
                return
        raft.schedule(HEARTBEAT_INTERVAL_S, self.send_heartbeats)

    return patch.object(Replication, "send_heartbeats", send_heartbeats)


def _cut_by_count_alone() -> AbstractContextManager[Any]:
    """The log is compacted after a number of entries, whatever their size."""
    return patch.object(log, "SNAPSHOT_BYTES", 1 << 40)


# By name: the mutation, and a scenario family in which it may be looked for as well.
FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "batch-unbounded": (_batch_unbounded, "core"),
    "members-left-behind": (_members_left_behind, "storage"),
    "sum-unchecked": (_sum_unchecked, "core"),
    "part-missing": (_part_missing, "core"),
    "part-from-start": (_part_from_the_start, "core"),
    "snapshot-unsynced": (_snapshot_unsynced, "storage"),
    "last-forgotten": (_last_forgotten, "core"),
    "beat-after-work": (_beat_after_work, "core"),
    "cut-by-count-alone": (_cut_by_count_alone, "core"),
}
