"""Restores missing replicas and outcomes of messages on too few storage nodes. No I/O."""

from __future__ import annotations

from functools import partial

from amberlug.cluster.control.published_state import StorageRoster
from amberlug.cluster.control.session_attributes import EdgeAttributes
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.outcome_repair import OutcomeRepairs
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.storage_reads import StorageReader

REPAIR_INTERVAL_S = 0.1  # between searches for under-replicated messages
MAX_CONCURRENT_REPAIRS = 16  # limits the delay that repairs cause for new messages


class ReplicaRepair:
    """Re-replicates messages after a roster change, with limited concurrency."""

    def __init__(self, context: EdgeContext, delivery: MessageDelivery, reader: StorageReader) -> None:
        self._context, self._delivery, self._reader = context, delivery, reader
        self._outcome_repairs = OutcomeRepairs(context.runtime, context.replicator)
        self._in_progress: set[str] = set()  # ids of messages
        self._owned_epochs: dict[int, int] = {}  # by shard, according to the newest shard table
        self._roster_changed_at = 0.0

    def begin(self) -> None:
        """Start the periodic search for under-replicated messages."""
        self._context.runtime.call_later(REPAIR_INTERVAL_S, self._search)

    def apply_roster(self, roster: StorageRoster) -> None:
        """Apply a new roster of storage nodes."""
        replicator = self._context.replicator
        counted_before = set(replicator.writable_disks)
        replicator.update_roster(roster)
        if counted_before <= set(replicator.writable_disks):
            self._outcome_repairs.roster_changed()
        else:
            self._outcome_repairs.restart(self._delivery.shard_owner.owned)
        self._roster_changed_at = self._context.runtime.now()
        self._delivery.shard_owner.roster_changed()
        self._delivery.under_replicated = {
            message_id: message
            for message_id, message in self._delivery.queue.messages.items()
            if not replicator.is_write_quorum(message.holders)
        }

    def apply_shard_table(self) -> None:
        """Repair the outcomes of gained shards, since their previous owner may not have finished doing so."""
        owned = {number: shard.epoch for number, shard in self._delivery.shard_owner.owned.items()}
        gained = [number for number, epoch in owned.items() if self._owned_epochs.get(number) != epoch]
        self._owned_epochs = owned
        self._outcome_repairs.repair(gained)

    def progress(self) -> EdgeAttributes:
        """The progress of this node in applying the newest roster that it knows."""
        shard_owner = self._delivery.shard_owner
        # A write that began under the previous roster may still end with replicas that no longer count.
        early_writes = sum(
            1 for began_at in shard_owner.write_started_at.values() if began_at <= self._roster_changed_at
        )
        unread_shards = sum(not shard.serving for shard in shard_owner.owned.values())
        return EdgeAttributes(
            roster_index=self._context.replicator.roster_index,
            shard_table_index=shard_owner.table.index,
            recovering_shards=unread_shards + shard_owner.unfenced_recoveries,
            under_replicated_messages=len(self._delivery.under_replicated)
            + early_writes
            + self._outcome_repairs.unfinished,
        )

    def _search(self) -> None:
        self._context.runtime.call_later(REPAIR_INTERVAL_S, self._search)
        self._repair_more()

    def _repair_more(self) -> None:
        under_replicated = self._delivery.under_replicated
        for message_id, message in list(under_replicated.items()):
            if (
                message.ended
                or message_id not in self._delivery.queue.messages
                or self._context.replicator.is_write_quorum(message.holders)
            ):
                del under_replicated[message_id]
            elif message_id not in self._in_progress:
                if len(self._in_progress) >= MAX_CONCURRENT_REPAIRS:
                    return
                self._in_progress.add(message_id)
                self._write_replicas(message)

    def _write_replicas(self, message: Message) -> None:
        shard = self._delivery.shard_owner.owned.get(message.shard)
        if message.body is None:
            self._reader.read_body(message, partial(self._on_body_read, message))
        elif shard is None or message.ended:
            self.repair_finished(message)
        else:
            self._context.replicator.replicate(
                message, shard.epoch, lambda outcome: self.repair_finished(message)
            )

    def _on_body_read(self, message: Message, is_read: bool) -> None:
        if is_read:
            self._write_replicas(message)
        else:
            self.repair_finished(message)

    def repair_finished(self, message: Message) -> None:
        """Apply the result of a repair; if replicas are still missing, the next search retries."""
        self._in_progress.discard(message.id)
        if not message.outcome.is_open and not message.ended:
            self._delivery.apply_stored_outcome(message)
        if self._context.replicator.is_write_quorum(message.holders):
            self._context.count("repaired")
            self._delivery.under_replicated.pop(message.id, None)
            if self._delivery.under_replicated and not self._in_progress:
                self._context.runtime.call_later(0.0, self._repair_more)
