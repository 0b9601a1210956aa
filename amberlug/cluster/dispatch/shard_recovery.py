"""Reads what is open in shards that an edge takes over, after older owners are fenced out. No I/O.

The order of the steps keeps two invariants. No older owner can have a message acknowledged once the new one
serves: each storage node that counts as read rejects older fencing tokens from then on, and what was not read
is too little for a write quorum. And no message that has ended is taken up again: an outcome that any of the
read storage nodes has is looked up before the shards are served.
"""

from __future__ import annotations

from functools import partial
from typing import Protocol

from result import Err, Ok, Result

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

FENCE_TIMEOUT_S = 0.6  # a storage node reads its open messages, with their bodies, for the reply
FENCE_RETRY_S = 0.25  # until storage nodes that did not reply are asked again
HANDOVER_TIMEOUT_S = 0.6  # for the previous owner, where it is up, to report what it has in flight
HANDOVER_CHECKS = 6  # looks for its handover in that time


class RecoveryOwner(Protocol):
    """The owner of shards, as a recovery sees it."""

    def owns(self, shard: int, epoch: int) -> bool:
        """Whether the shard is owned in that epoch still."""

    def awaits_handover(self, shard: int, epoch: int) -> bool:
        """Whether the shard is owned, and its previous owner is up and has not handed it over yet."""

    def has_handover(self, shard: int, epoch: int) -> bool:
        """Whether the previous owner has handed the shard over for that epoch."""

    def recovered(self, recovery: ShardRecovery) -> None:
        """Serve what was read."""


class ShardRecovery:
    """The take-over of shards that came with one table.

    :param epochs: by shard: the epoch of its new owner, which is its fencing token.
    :param required_roster: log index of the roster that the table was agreed on. Until that one is known
        here, storage nodes may be missing that have acknowledged messages.
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
        self._in_flight: set[str] = set()  # disks with a fence request under way
        self._fenced: set[str] = set()  # disks that reject older owners
        self.read_disks: set[str] = set()
        self.open_messages: dict[str, Message] = {}
        self._open_at: dict[str, set[str]] = {}  # by disk: ids of the messages that it has as open
        self._lookups_in_flight = 0
        self.is_read = False
        self.is_fencing = True  # some storage node that takes replicas may not reject older owners yet

    @property
    def unread_disks(self) -> frozenset[str]:
        """Disks of the roster that have not reported what they have."""
        return frozenset(set(self._replicator.stores) - self.read_disks)

    # -- fencing

    def fence(self) -> None:
        """Have all storage nodes reject older owners, again and again until those that take replicas do.

        Guards against an owner of before that still writes where no fence has come: together with a disk that
        is dropped meanwhile, and does not know it, these could be enough replicas, of which nobody learns.
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
            self.epochs.pop(shard, None)  # a later owner was there already: its table is on its way
        if fence.disk_id != disk:
            return  # the machine has lost the disk that is meant: this reply says nothing of that one
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
        """Merge one replica into what was read; the latest position that any replica has is the message's."""
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

    # -- the end of the reading

    def finish_if_read(self) -> None:
        """Continue once enough storage nodes were read, and previous owners that are up have handed over."""
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
        """Ask each storage node for the outcomes of messages that only others have as open."""
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
        # The previous owner may have ended some after they were read, and had that acknowledged before it
        # learned of its successor: then it hands over neither their calls nor their outcomes.
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
            # Guards against an open replica that outlasts all disks which know of its outcome.
            message.possible_holders |= self.unread_disks
            self._replicator.record_outcome(message, outcome)
