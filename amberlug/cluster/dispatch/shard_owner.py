"""Ownership of shards by this edge: gain, recovery and loss of shards, admission of messages. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from absl import logging

from amberlug.cluster.control.published_state import ShardTable, TableOwner
from amberlug.cluster.dispatch.handover import (
    DeferredHandover,
    DeliveryCallbacks,
    LocalOwner,
    RecoveryCallbacks,
    ShardHandover,
)
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.messages import AdmissionOutcome, CallEnded
from amberlug.cluster.dispatch.remote_calls import evict_oldest
from amberlug.cluster.dispatch.replica_write import ReplicationOutcome
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.dispatch.shard_recovery import ShardRecovery
from amberlug.cluster.interfaces import Runtime
from amberlug.cluster.storage.outcomes import MessageOutcome

MAX_QUEUED_PER_SHARD = 4000  # messages waiting for the recovery of a shard

AdmissionCallback = Callable[[AdmissionOutcome], None]

_ADMISSION_OF = {
    ReplicationOutcome.REPLICATED: AdmissionOutcome.ACCEPTED,
    ReplicationOutcome.REJECTED: AdmissionOutcome.REJECTED,
    ReplicationOutcome.FENCED: AdmissionOutcome.NOT_OWNER,
    ReplicationOutcome.OUTCOME_UNKNOWN: AdmissionOutcome.OUTCOME_UNKNOWN,
}


class QueuedAdmission(NamedTuple):
    """A message that waits for the recovery of its shard."""

    message: Message
    on_complete: AdmissionCallback


@dataclass(slots=True)
class Shard:
    """A shard that this edge owns."""

    epoch: int
    previous_owner: str  # its address while it is up and may hand over, else empty
    serving: bool = False
    admitted: int = 0  # number of messages that were assigned a position in this epoch
    queued: list[QueuedAdmission] = field(default_factory=list)
    unread_disks: frozenset[str] = frozenset()  # disks that were not read by the recovery


class ShardOwner:
    """The shards that one edge owns according to the shard table.

    Invariant: a message is acknowledged as admitted only after enough replicas of it are durable, written
    with this edge's epoch as the shard's owner.

    :param local: this edge's id in the shard table, and its address.
    """

    def __init__(
        self, runtime: Runtime, replicator: Replicator, local: LocalOwner, delivery: DeliveryCallbacks
    ) -> None:
        self._runtime, self._replicator, self._node_id = runtime, replicator, local.node_id
        self._delivery = delivery
        recovery = RecoveryCallbacks(self._is_serving, self._continue_recoveries)
        self.handover = ShardHandover(runtime, replicator, local, delivery, recovery)
        self.owned: dict[int, Shard] = {}
        self.table = ShardTable()
        self.pending_writes: dict[str, list[AdmissionCallback]] = {}  # by message
        self.write_started_at: dict[str, float] = {}  # by message; monotonic clock
        # Disks that may have a replica of a message that was not admitted, by message.
        self._unadmitted_replicas: dict[str, set[str]] = {}
        self._recoveries: list[ShardRecovery] = []

    @property
    def owners(self) -> tuple[TableOwner, ...]:
        """The edge nodes in the shard table."""
        return self.table.owners

    @property
    def owner_count(self) -> int:
        """The number of edge nodes that own shards, at least one."""
        return self.table.count_owners()

    @property
    def unfenced_recoveries(self) -> int:
        """The number of recoveries whose fence some writable storage node has not acknowledged.

        No disk may be dropped while there are any: an older owner may still write to an unfenced node, which
        could form a quorum, unknown to the new owner, with a dropped disk that does not know it is dropped.
        """
        return sum(recovery.is_fencing for recovery in self._recoveries)

    def owner_of(self, shard: int) -> TableOwner | None:
        """The owner of a shard; None if it has no owner or does not exist."""
        return self.table.owner_of(shard)

    # -- roster and shard table updates

    def roster_changed(self) -> None:
        """Continue recoveries that wait for the roster their shard table requires."""
        self._continue_recoveries()

    def update_table(self, table: ShardTable) -> None:
        """Apply a newer shard table: hand over lost shards and recover gained ones."""
        self.table = table
        epochs = self.table.epochs_of(self._node_id)
        gained = {shard: epoch for shard, epoch in epochs.items() if not self.owns(shard, epoch)}
        lost = sorted(shard for shard in self.owned if shard not in epochs)
        if lost:
            logging.info("%d shards lost to other owners", len(lost))
        awaited = self._lost_before_handover(lost)
        for shard in lost:
            self._lose(shard)
        for shard, epoch in gained.items():
            self._gain(shard, epoch)
        self.handover.update_table(table, lost, awaited)
        if gained:
            logging.info("%d shards gained, %d owned", len(gained), len(self.owned))
            self._recover(gained)

    def _lost_before_handover(self, lost: list[int]) -> dict[int, DeferredHandover]:
        """Those lost shards that the previous owner has not handed over to this edge yet."""
        deferred: dict[int, DeferredHandover] = {}
        for number in lost:
            shard, owner = self.owned[number], self.owner_of(number)
            if owner is not None and not shard.serving and self.awaits_handover(number, shard.epoch):
                epoch = self.table.rows[number].epoch
                deferred[number] = DeferredHandover(shard.previous_owner, shard.epoch, owner.address, epoch)
        return deferred

    def _lose(self, number: int) -> None:
        self._release(number)
        for queued in self.owned.pop(number).queued:
            queued.on_complete(AdmissionOutcome.NOT_OWNER)

    def _release(self, number: int) -> None:
        """Stop delivering the messages of a shard; calls that are in flight here continue."""
        epoch = self.owned[number].epoch
        for message in self._delivery.release(number):
            if message.call_ends_by is not None:
                self.handover.call_released(message, epoch)

    def _gain(self, number: int, epoch: int) -> None:
        previous = self.table.previous_owner_of(number)
        address = previous.address if previous is not None and previous.node_id != self._node_id else ""
        queued: list[QueuedAdmission] = []
        if number in self.owned:  # in an earlier epoch: another edge may have owned it since
            self._release(number)
            queued = self.owned[number].queued
        self.owned[number] = Shard(epoch, address, queued=queued)

    # -- calls of other edges

    def may_be_called(self, message_id: str) -> bool:
        """Whether no call of the message can still run at another edge, as far as is known."""
        return self.handover.may_be_called(message_id)

    def report_end(self, message: Message, outcome: MessageOutcome, is_failure: bool) -> None:
        """Report the end of a call that was in flight here to the present owner of the message's shard."""
        self.handover.report_end(message, outcome, is_failure)

    def connection_lost(self, address: str) -> None:
        """Stop waiting for reports from a process that may have ended."""
        for shard in self.owned.values():
            if shard.previous_owner == address:
                shard.previous_owner = ""
        self.handover.connection_lost(address)
        self._continue_recoveries()

    # -- recovery

    def _recover(self, epochs: dict[int, int]) -> None:
        self._recoveries = [
            recovery for recovery in self._recoveries if recovery.is_fencing or not recovery.is_read
        ]
        roster_index = self.table.roster_index
        recovery = ShardRecovery(self._runtime, self._replicator, self, epochs, roster_index)
        self._recoveries.append(recovery)
        recovery.fence()

    def _continue_recoveries(self) -> None:
        for recovery in list(self._recoveries):
            recovery.finish_if_read()

    def owns(self, shard: int, epoch: int) -> bool:
        """Whether the shard is still owned in that epoch."""
        return shard in self.owned and self.owned[shard].epoch == epoch

    def _is_serving(self, shard: int) -> bool:
        return shard in self.owned and self.owned[shard].serving

    def awaits_handover(self, shard: int, epoch: int) -> bool:
        """Whether the shard is owned and its previous owner, which is up, has not handed it over yet."""
        previous_owner = self.owned[shard].previous_owner if shard in self.owned else ""
        return bool(previous_owner) and not self.handover.has_received(shard, epoch, previous_owner)

    def has_handover(self, shard: int, epoch: int) -> bool:
        """Whether an earlier owner has handed the shard over for that epoch."""
        return self.handover.has_received(shard, epoch)

    def recovered(self, recovery: ShardRecovery) -> None:
        """Admit the recovered open messages in the order of their positions, then serve the shards."""
        if recovery.open_messages:
            logging.info(
                "%d open messages recovered with %d shards", len(recovery.open_messages), len(recovery.epochs)
            )
        shards = {
            number: self.owned[number]
            for number, epoch in recovery.epochs.items()
            if self.owns(number, epoch)
        }
        unread_disks = recovery.unread_disks
        for message in sorted(recovery.open_messages.values(), key=lambda message: message.position):
            if message.shard in shards and not self._delivery.is_admitted(message.id):
                message.possible_holders |= unread_disks
                self._admit_recovered(message, shards[message.shard])
        self.handover.forget_early_ends(shards)
        for number, shard in shards.items():
            self._serve(number, shard, unread_disks)

    def _admit_recovered(self, message: Message, shard: Shard) -> None:
        """Deliver a recovered message unless it has ended meanwhile."""
        for ended in self.handover.pop_early_ends(message.id):
            if not ended.outcome.is_open:
                # The previous owner may stop before it has recorded the outcome on enough storage nodes.
                self._replicator.record_outcome(message, ended.outcome)
                self.handover.forget_message(message.id)
                self._delivery.call_ended(ended)
                return
            message.failures += ended.is_failure
        if self.awaits_handover(message.shard, shard.epoch):
            self.handover.presume_call(message, shard.previous_owner, shard.epoch)
        message.in_flight = not self.may_be_called(message.id)
        self._delivery.admit(message)

    def _serve(self, number: int, shard: Shard, unread_disks: frozenset[str]) -> None:
        shard.serving, shard.unread_disks = True, unread_disks
        queued, shard.queued = shard.queued, []
        for message, on_complete in queued:
            if not self._join_earlier_submission(message, on_complete):
                self._write(number, shard, message, on_complete)

    # -- admission

    def accept(self, message: Message, on_complete: AdmissionCallback) -> None:
        """Admit a message: write enough replicas, then deliver it.

        :param on_complete: called once with the outcome, which is `ACCEPTED` also for a message that was
            already admitted.
        """
        if self._join_earlier_submission(message, on_complete):
            return
        shard = self.owned.get(message.shard)
        if shard is None:
            on_complete(AdmissionOutcome.NOT_OWNER)
        elif shard.serving:
            self._write(message.shard, shard, message, on_complete)
        elif len(shard.queued) < MAX_QUEUED_PER_SHARD:
            shard.queued.append(QueuedAdmission(message, on_complete))
        else:
            on_complete(AdmissionOutcome.REJECTED)

    def _join_earlier_submission(self, message: Message, on_complete: AdmissionCallback) -> bool:
        """Complete a submission with an earlier one of the same message, if there is one.

        A message that was recovered from too few disks is not acknowledged until it is repaired; the client's
        next retry is then accepted.

        :returns: whether there is an earlier one.
        """
        if self._delivery.is_admitted(message.id):
            is_safe = self._delivery.is_safe(message.id)
            on_complete(AdmissionOutcome.ACCEPTED if is_safe else AdmissionOutcome.OUTCOME_UNKNOWN)
            return True
        if message.id in self.pending_writes:
            self.pending_writes[message.id].append(on_complete)
            return True
        return False

    def _write(self, number: int, shard: Shard, message: Message, on_complete: AdmissionCallback) -> None:
        shard.admitted += 1
        message.position = SequencePosition(shard.epoch, shard.admitted)
        # Disks that may have a replica of an earlier attempt must get the outcome too; otherwise the message
        # would reappear as open.
        message.possible_holders |= shard.unread_disks | self._unadmitted_replicas.pop(message.id, set())
        self.pending_writes[message.id] = [on_complete]
        self.write_started_at[message.id] = self._runtime.now()
        on_written = partial(self._on_written, number, shard.epoch, message)
        self._replicator.replicate(message, shard.epoch, on_written)

    def _on_written(self, number: int, epoch: int, message: Message, outcome: ReplicationOutcome) -> None:
        if outcome is not ReplicationOutcome.REPLICATED:
            self._unadmitted_replicas[message.id] = set(message.possible_holders)
            evict_oldest(self._unadmitted_replicas)
        elif not message.outcome.is_open:  # it was admitted by an earlier owner and has ended
            self._delivery.call_ended(CallEnded(message.id, message.outcome, False))
        elif self.owns(number, epoch):
            self._delivery.admit(message)
        del self.write_started_at[message.id]
        for on_complete in self.pending_writes.pop(message.id):
            on_complete(_ADMISSION_OF[outcome])
