"""Faults put into how the log is sent, kept and read back."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

from amberlug.cluster.consensus import log, raft
from amberlug.cluster.consensus.log import Log, PersistentState
from amberlug.cluster.consensus.raft import RaftNode
from amberlug.cluster.consensus.snapshot_transfer import IncomingTransfer, OutgoingTransfer
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation import disk


@contextmanager
def _both(*those: AbstractContextManager[Any]) -> Iterator[None]:
    with those[0], those[1]:
        yield


def _batch_unbounded() -> AbstractContextManager[Any]:
    """A message takes so many entries, whatever their size."""
    return _both(patch.object(raft, "PART", 1 << 40), patch.object(log, "PART", 1 << 40))


def _members_left_behind() -> AbstractContextManager[Any]:
    """A snapshot keeps the membership of the one before."""

    def members_until(self: Log, index: int) -> Json:
        return self.base_members

    return patch.object(Log, "members_until", members_until)


def _sum_unchecked() -> AbstractContextManager[Any]:
    """What came in parts is taken whether or not it is what was sent."""

    def verified(self: IncomingTransfer) -> bytes | None:
        return bytes(self.data)

    return patch.object(IncomingTransfer, "verified", verified)


def _part_missing() -> AbstractContextManager[Any]:
    """A part is put behind the others, whichever it is, and the sum is not looked at."""

    def take(self: IncomingTransfer, offset: int, data: bytes) -> None:
        self.data += data

    return patch.multiple(IncomingTransfer, take=take, verified=lambda self: bytes(self.data))


def _part_from_the_start() -> AbstractContextManager[Any]:
    """What goes in parts begins anew after a connection was lost."""

    def lost(self: OutgoingTransfer, number: int = 0) -> None:
        self._out.clear()
        self.sent = self.had = 0

    return patch.multiple(
        OutgoingTransfer,
        lost=lost,
        stands_at=lambda self, had: None,
        took=lambda self, number, had, now: True,
    )


def _snapshot_unsynced() -> AbstractContextManager[Any]:
    """A snapshot counts as being on disk as soon as it is on its way there."""
    save = Log._save

    def early(self: Log, rows: Any, write: Any, snap: int = 0) -> None:
        self.synced = max(self.synced, snap)
        save(self, rows, write, snap)

    return patch.object(Log, "_save", early)


def _last_forgotten() -> AbstractContextManager[Any]:
    """A restarted member forgets the last entry that it acknowledged."""
    assemble = log.assemble

    def forget(
        saved: PersistentState, rows: Iterable[tuple[int, int, Json | None]]
    ) -> PersistentState | None:
        found = assemble(saved, rows)
        if found is not None:
            del found.entries[-1:]
        return found

    return patch.object(disk, "assemble", forget)


def _beat_after_work() -> AbstractContextManager[Any]:
    """The next beat is set once all was sent, and an error for one peer ends it."""

    def beat(self: RaftNode) -> None:
        if self.role is not raft.Role.LEADER or self._stopped:
            return
        now = self.world.now()
        heard = {name for name, it in self._peers.items() if now - it.heard < raft.ELECTION_S[1]}
        if not self._majority(heard | {self.me}):
            self._step_down()
            return
        for name, peer in list(self._peers.items()):
            try:
                self._send_next(name, peer)
            except ValueError:
                return
        self._after(raft.BEAT_S, self._beat)

    return patch.object(RaftNode, "_beat", beat)


def _cut_by_count_alone() -> AbstractContextManager[Any]:
    """The log is cut after so many entries, whatever their size."""
    return patch.object(log, "COMPACT_BYTES", 1 << 40)


# By name: the fault, and the aim of the days in which it may be looked for as well.
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
