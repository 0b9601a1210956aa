"""Recovers the open messages of shards that an edge has gained, after fencing older owners. No I/O.

The order of the steps ensures two invariants:

- No older owner can get a message acknowledged once the new one serves: each storage node that counts as read
  rejects older fencing tokens from then on, and the unread ones are too few for a write quorum.
- No message that has ended is delivered again: outcomes are looked up on all storage nodes that were read
  before the shards are served.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from amberlug.cluster.dispatch.handover import HANDOVER_TIMEOUT_S
from amberlug.cluster.dispatch.message import Message, SequencePosition
from amberlug.cluster.dispatch.replicator import Replicator
from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.messages import (
    FenceReply,
    FenceRequest,
    OpenMessage,
    OutcomesReply,
    OutcomesRequest,
)
from amberlug.cluster.storage.outcomes import MessageOutcome

FENCE_TIMEOUT_S = 0.6  # the storage node reads its open messages with their bodies for the reply
FENCE_RETRY_S = 0.25  # before the next request to storage nodes that did not reply
HANDOVER_CHECKS = 6  # how often the handover is checked for in that time


class RecoveryOwner(Protocol):
    """The shard owner as a recovery uses it."""

    def owns(self, shard: int, epoch: int) -> bool:
        """Whether the shard is still owned in that epoch."""

    def awaits_handover(self, shard: int, epoch: int) -> bool:
        """Whether the shard is owned and its previous owner, which is up, has not handed it over yet."""

    def has_handover(self, shard: int, epoch: int) -> bool:
        """Whether the previous owner has handed the shard over for that epoch."""

    def recovered(self, recovery: ShardRecovery) -> None:
        """Serve the recovered shards."""


class ShardRecovery:
    """The recovery of the shards gained with one shard table.

    :param epochs: by shard: the epoch of its new owner, which is the fencing token.
    :param required_roster: log index of the roster on which the table is based. Until that roster is known
        here, storage nodes that have acknowledged messages may be missing.
    """

    def __init__(
        self,
        runtime: Runtime,
        replicator: Replicator,
        owner: RecoveryOwner,
        epochs: dict[int, int],
        required_roster: int,
    ) -> None:
        self._runtime, self._replicator, self._owner = runtime, replicator, owner
        self.epochs = epochs
        self._required_roster = required_roster
        self._started_at = runtime.now()
        self._in_flight: set[str] = set()  # disks with a fence request in flight
        self._fenced: set[str] = set()  # disks that reject older owners
        self.read_disks: set[str] = set()
        self.open_messages: dict[str, Message] = {}
        self._open_at: dict[str, set[str]] = {}  # by disk: ids of the messages that are open there
        self._lookups_in_flight = 0
        self.is_read = False
        self.is_fencing = True  # some writable storage node may not reject older owners yet

    @property
    def unread_disks(self) -> frozenset[str]:
        """Disks of the roster that were not read."""
        return frozenset(set(self._replicator.stores) - self.read_disks)

    # -- fencing

    def fence(self) -> None:
        """Send fences to all storage nodes, and repeat until all writable ones have acknowledged them.

        Otherwise an older owner could still write to an unfenced node, which could form a quorum, unknown to
        the new owner, with a disk that is dropped meanwhile and does not know it.
        """
        writable = self._replicator.writable_disks
        is_current = any(self._owner.owns(shard, epoch) for shard, epoch in self.epochs.items())
        if not is_current or (self.is_read and set(writable) <= self._fenced):
            self.is_fencing = False
            return
        for disk, store in self._replicator.stores.items():
            if disk not in self._fenced and disk not in self._in_flight:
                self._in_flight.add(disk)
                on_reply = partial(self._on_fence_reply, disk)
                request(self._runtime, store.address, FenceRequest(self.epochs), FENCE_TIMEOUT_S, on_reply)
        self._runtime.call_later(FENCE_RETRY_S, self.fence)

    def _on_fence_reply(self, disk: str, reply: Result[FenceReply, RequestFailure]) -> None:
        self._in_flight.discard(disk)
        if isinstance(reply, Err) or not reply.ok_value.durable:
            return
        fence = reply.ok_value
        for shard in fence.rejected:
            self.epochs.pop(shard, None)  # fenced by a later owner, whose shard table has not arrived yet
        if fence.disk_id != disk:
            return  # the machine has a new disk; the reply is not from the requested one
        self._fenced.add(disk)
        if self.is_read:
            return
        self.read_disks.add(disk)
        self._open_at[disk] = set()
        for replica in fence.open_messages:
            if replica.shard in self.epochs:
                self._add(disk, replica)
        self.finish_if_read()

    def _add(self, disk: str, replica: OpenMessage) -> None:
        """Merge one replica into the open messages; the latest position among its replicas wins."""
        self._open_at[disk].add(replica.message_id)
        message = self.open_messages.get(replica.message_id)
        if message is None:
            message = self.open_messages[replica.message_id] = Message.decode(
                replica.message_id, replica.shard, replica.metadata, replica.content, replica.size_bytes
            )
        elif message.body is None:
            message.body = replica.content
        message.position = max(message.position, SequencePosition(replica.accepted_epoch, replica.sequence))
        message.holders.add(disk)

    # -- completion

    def finish_if_read(self) -> None:
        """Continue once enough storage nodes were read and previous owners that are up have handed over."""
        if self.is_read or self._replicator.roster_index < self._required_roster:
            return
        if not self._replicator.covers_all_messages(self.read_disks):
            return
        if self._awaits_handover():
            self._runtime.call_later(HANDOVER_TIMEOUT_S / HANDOVER_CHECKS, self.finish_if_read)
            return
        self.is_read = True
        self._look_up_outcomes()

    def _awaits_handover(self) -> bool:
        if self._runtime.now() - self._started_at >= HANDOVER_TIMEOUT_S:
            return False
        return any(self._owner.awaits_handover(shard, epoch) for shard, epoch in self.epochs.items())

    def _look_up_outcomes(self) -> None:
        """Ask each storage node for outcomes of messages that may have ended there."""
        for disk in sorted(self.read_disks):
            store = self._replicator.stores.get(disk)
            candidates = self._may_have_ended_at(disk)
            if store is not None and candidates:
                self._lookups_in_flight += 1
                message = OutcomesRequest(candidates)
                request(self._runtime, store.address, message, FENCE_TIMEOUT_S, self._on_outcomes)
        if self._lookups_in_flight == 0:
            self._owner.recovered(self)

    def _may_have_ended_at(self, disk: str) -> tuple[str, ...]:
        # A message that is open on this disk may have ended there since it was read: the previous owner may
        # have had its outcome acknowledged before learning of its successor, in which case the handover
        # contains neither the call nor the outcome.
        return tuple(
            message_id
            for message_id, message in self.open_messages.items()
            if message_id not in self._open_at[disk]
            or (
                message.shard in self.epochs
                and self._owner.has_handover(message.shard, self.epochs[message.shard])
            )
        )

    def _on_outcomes(self, reply: Result[OutcomesReply, RequestFailure]) -> None:
        self._lookups_in_flight -= 1
        if isinstance(reply, Ok):
            for message_id, outcome in reply.ok_value.outcomes.items():
                if not outcome.is_open:
                    self._drop_ended(message_id, outcome)
        if self._lookups_in_flight == 0:
            self._owner.recovered(self)

    def _drop_ended(self, message_id: str, outcome: MessageOutcome) -> None:
        message = self.open_messages.pop(message_id, None)
        if message is not None:
            # Otherwise an open replica could outlive all disks that have the outcome.
            message.possible_holders |= self.unread_disks
            self._replicator.record_outcome(message, outcome)
