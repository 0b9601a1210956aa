"""Enrollment of a disk in the roster of storage nodes, before which it accepts no replicas. No I/O.

The control plane publishes two relevant values: the roster of disks, and the shard table with the epoch of
each shard's owner. An owner fences the disks of the roster on which its table is based. A disk that is
enrolled later was never fenced by it. So a previous owner that resumes and learns of the new disks before it
learns of the new table could find enough disks without a fencing token, and write replicas that no later
owner reads. Therefore a disk accepts no replica until it knows the shard table in force at its enrollment,
and rejects all owners from before that table.
"""

from __future__ import annotations

from absl import logging

from amberlug.cluster.control.published_state import (
    ROSTER_KEY,
    SHARD_TABLE_KEY,
    ShardTable,
    StorageRoster,
    published_index,
)
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.storage.records import (
    DurableStore,
    EnrollmentRow,
    FenceRow,
    NewDiskRow,
    StoredContents,
)
from amberlug.cluster.storage.replica_service import ignore_failure

DISK_ID_BITS = 64  # random, so that collisions are negligible


def new_disk_id(runtime: Runtime) -> str:
    """Generate a random id for an empty disk."""
    return f"{runtime.rng.getrandbits(DISK_ID_BITS):x}"


class Enrollment:
    """Follows the published roster and shard table, and keeps the enrollment of one disk up to date.

    :param contents: the state of the disk, shared with the node's other components.
    """

    def __init__(
        self, runtime: Runtime, contents: StoredContents, store: DurableStore, gossip: GossipStore
    ) -> None:
        self._runtime, self._contents, self._store, self._gossip = runtime, contents, store, gossip

    def on_published(self, key: str) -> None:
        """Re-apply the roster after a change of the roster or the shard table."""
        items = self._gossip.items
        if key in (ROSTER_KEY, SHARD_TABLE_KEY) and ROSTER_KEY in items:
            index = published_index(items, ROSTER_KEY)
            self._apply(StorageRoster.from_wire(index, items[ROSTER_KEY].value))

    def _apply(self, roster: StorageRoster) -> None:
        contents = self._contents
        if roster.index <= contents.enrolled_index:
            return
        if contents.disk_id in roster.stores:
            self._enroll(roster)
        elif contents.enrolled_index:
            self._reset_disk()

    def _enroll(self, roster: StorageRoster) -> None:
        """Record the roster; at the first one, also the fencing tokens at the time of enrollment."""
        fences: list[FenceRow] | None = []
        if not self._contents.enrolled_index:
            fences = self._fence_earlier_owners(roster.stores[self._contents.disk_id].table_index or 0)
        if fences is None:
            return
        self._contents.enrolled_index = roster.index
        self._store.write([*fences, EnrollmentRow(roster.index)], ignore_failure)

    def _fence_earlier_owners(self, table_index: int) -> list[FenceRow] | None:
        """Fence the owners from before the shard table in force at enrollment.

        :param table_index: the log index of that table.
        :returns: the new fencing tokens; None while neither that table nor a later one is known.
        """
        table = self._shard_table()
        if table.index < table_index:
            return None
        tokens = self._contents.fencing_tokens
        rows = [
            FenceRow(shard, row.epoch)
            for shard, row in enumerate(table.rows)
            if row.epoch > tokens.get(shard, 0)
        ]
        tokens.update({row.shard: row.epoch for row in rows})
        return rows

    def _shard_table(self) -> ShardTable:
        items = self._gossip.items
        if SHARD_TABLE_KEY not in items:
            return ShardTable()
        return ShardTable.from_wire(published_index(items, SHARD_TABLE_KEY), items[SHARD_TABLE_KEY].value)

    def _reset_disk(self) -> None:
        """Wipe a disk dropped from the roster, as its open messages may have ended without its knowledge."""
        logging.warning("this disk is no longer on the roster: it is emptied and becomes a new one")
        contents = self._contents
        contents.disk_id, contents.enrolled_index = new_disk_id(self._runtime), 0
        contents.messages.clear()
        self._store.write([NewDiskRow(contents.disk_id)], ignore_failure)
