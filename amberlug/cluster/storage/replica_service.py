"""Request handlers of a storage node: replica writes, outcomes, fencing, lookups, deletion. No I/O.

Invariants:

- A write is confirmed only once its row is synced.
- Once a fence is confirmed, replicas from owners with a smaller epoch are rejected, and the reply to the
  fence lists every open replica that was confirmed before. So a new owner that has fenced enough storage
  nodes knows every open message that its predecessors have confirmed.
- An outcome is final: it is accepted regardless of fences, and the first one is kept. It is acknowledged and
  reported to others only once its row is synced.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from absl import logging

from amberlug.cluster.interfaces import Runtime, WriteFailure
from amberlug.cluster.rpc.messages import Responder, handles
from amberlug.cluster.storage.content_messages import ContentReply, ContentRequest
from amberlug.cluster.storage.messages import (
    Acknowledgement,
    AcknowledgeReply,
    AcknowledgeRequest,
    EndedMessagesReply,
    EndedMessagesRequest,
    FenceReply,
    FenceRequest,
    OpenMessage,
    OutcomesReply,
    OutcomesRequest,
    ReplicaWriteReply,
    ReplicaWriteRequest,
    ReplicaWriteResult,
)
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME, OPEN
from amberlug.cluster.storage.records import (
    DeletionRow,
    DurableStore,
    FenceRow,
    OutcomeRow,
    ReplicaRow,
    StorageRow,
    StoredContents,
    StoredMessage,
)
from amberlug.cluster.values import value

EXPIRY_INTERVAL_S = 2.0  # between searches for expired outcomes
# Maximum total size of bodies in a fence reply; larger frames would delay later frames on the connection.
INCLUDED_CONTENT_BYTES = 1 << 20
ENDED_MESSAGES_PER_PAGE = 1024  # about 100 KiB
RETAIN_UNTIL_DIGITS = 3  # decimal places of wall-clock seconds in frames


def ignore_failure(failure: WriteFailure | None) -> None:
    """Completion callback of writes that are repeated later if they fail."""


@value
class _PendingWrite:
    """A replica whose row is being written."""

    message_id: str
    message: StoredMessage
    disk_id: str
    respond: Responder


@value
class _PendingFence:
    """A fence whose rows are being written, and the candidate open messages for its reply."""

    rejected: dict[int, int]  # by shard that was not fenced: its larger token
    candidates: dict[str, StoredMessage]
    respond: Responder


class ReplicaService:
    """The replicas of one storage node.

    :param contents: the state of the disk, shared with the node's other components.
    :param store: the disk.
    """

    def __init__(self, runtime: Runtime, contents: StoredContents, store: DurableStore) -> None:
        self.contents, self.counters = contents, dict[str, int]()
        self.is_full = False  # whether the disk could not store the newest replica
        self._runtime, self._store = runtime, store

    def begin(self) -> None:
        """Start the periodic deletion of expired outcomes."""
        self._runtime.call_later(EXPIRY_INTERVAL_S, self._delete_expired)

    def _count(self, name: str, increment: int = 1) -> None:
        self.counters[name] = self.counters.get(name, 0) + increment

    # -- writing

    @handles(ReplicaWriteRequest)
    def on_replica_write(self, request: ReplicaWriteRequest, origin: str, respond: Responder) -> None:
        """Store a replica; reply once it is durable, or with the reason why it is not."""
        reply = self._reply_without_write(request)
        if reply is not None:
            respond(reply)
            return
        message = self._message_of(request)
        # Added before it is durable, so that a fence that arrives meanwhile lists it.
        self.contents.messages[request.message_id] = message
        pending = _PendingWrite(request.message_id, message, self.contents.disk_id, respond)
        self._store.write([_row_of(request)], partial(self._on_replica_written, pending))

    def _message_of(self, request: ReplicaWriteRequest) -> StoredMessage:
        """The message of a replica, marked as durable only if an earlier replica of it is."""
        earlier = self.contents.messages.get(request.message_id)
        return StoredMessage(
            request.shard,
            # A repaired replica keeps the position at which the message was accepted.
            request.accepted_epoch,
            request.sequence,
            request.metadata,
            len(request.content),
            is_durable=earlier is not None and earlier.is_durable,
        )

    def _reply_without_write(self, request: ReplicaWriteRequest) -> ReplicaWriteReply | None:
        """The reply if the replica is rejected or its message has ended; None if it must be written."""
        contents = self.contents
        if contents.is_fenced(request.shard, request.epoch):
            self._count("writes fenced")
            token = contents.fencing_tokens[request.shard]
            return ReplicaWriteReply(ReplicaWriteResult.FENCED, fencing_token=token)
        if not contents.enrolled_index:
            self._count("writes before enrollment")
            return ReplicaWriteReply(ReplicaWriteResult.NOT_ENROLLED)
        stored = contents.messages.get(request.message_id)
        if stored is not None and not stored.outcome.is_open:
            return ReplicaWriteReply(ReplicaWriteResult.STORED, contents.disk_id, stored.outcome)
        return None

    def _on_replica_written(self, pending: _PendingWrite, failure: WriteFailure | None) -> None:
        if pending.disk_id != self.contents.disk_id:  # the disk was wiped meanwhile, including this replica
            pending.respond(ReplicaWriteReply(ReplicaWriteResult.NOT_ENROLLED))
        elif failure is None:
            self.is_full = False
            self._count("replicas stored")
            # Another write of the same message may have failed meanwhile and removed the entry.
            self.contents.messages.setdefault(pending.message_id, pending.message).is_durable = True
            pending.respond(ReplicaWriteReply(ReplicaWriteResult.STORED, pending.disk_id))
        else:
            self._on_replica_failed(pending, failure)

    def _on_replica_failed(self, pending: _PendingWrite, failure: WriteFailure) -> None:
        if not self.is_full:
            logging.error("a replica can't be stored: %s", failure)
        self.is_full = True
        message = self.contents.messages.get(pending.message_id)
        if message is not None and not message.is_durable and message.outcome.is_open:
            del self.contents.messages[pending.message_id]
        pending.respond(ReplicaWriteReply(ReplicaWriteResult.STORAGE_FULL))

    @handles(AcknowledgeRequest)
    def on_acknowledge(self, request: AcknowledgeRequest, origin: str, respond: Responder) -> None:
        """Store the outcomes of messages; an empty request is a probe, which also waits for the disk."""
        written: list[StoredMessage] = []
        rows: list[StorageRow] = []
        for ended in request.acknowledgements:
            stored = self._record_outcome(ended)
            if not stored.is_outcome_durable:
                written.append(stored)
                rows.append(OutcomeRow(ended.message_id, ended.shard, stored.outcome, stored.retain_until))
        self._count("outcomes stored", len(rows))
        self._store.write(rows, partial(self._on_outcomes_written, written, respond))

    def _record_outcome(self, ended: Acknowledgement) -> StoredMessage:
        """Record the outcome of a message in memory; the first outcome is kept."""
        stored = self.contents.messages.get(ended.message_id)
        if stored is None:
            stored = self.contents.messages[ended.message_id] = StoredMessage(ended.shard, 0, 0, {}, 0)
        if stored.outcome.is_open:
            stored.outcome, stored.retain_until = ended.outcome, ended.retain_until
            stored.is_outcome_durable = False
        return stored

    def _on_outcomes_written(
        self, written: list[StoredMessage], respond: Responder, failure: WriteFailure | None
    ) -> None:
        """Mark outcomes as durable if they are synced; failed ones are written again on the next request."""
        if failure is None:
            for stored in written:
                stored.is_outcome_durable = True
        else:
            self._count("outcomes rejected by the disk", len(written))
        respond(AcknowledgeReply(failure is None, self.contents.disk_id))

    # -- fencing

    @handles(FenceRequest)
    def on_fence(self, request: FenceRequest, origin: str, respond: Responder) -> None:
        """Fence older owners of these shards, and reply with the open messages."""
        tokens = self.contents.fencing_tokens
        rejected = {
            shard: tokens[shard]
            for shard, epoch in request.fencing_tokens.items()
            if self.contents.is_fenced(shard, epoch)
        }
        fenced = {shard: epoch for shard, epoch in request.fencing_tokens.items() if shard not in rejected}
        rows = [FenceRow(shard, epoch) for shard, epoch in fenced.items() if tokens.get(shard) != epoch]
        tokens.update(fenced)
        candidates = {
            message_id: message
            for message_id, message in self.contents.messages.items()
            if message.shard in fenced and message.has_replica and message.durable_outcome.is_open
        }
        self._count("fencing tokens raised", len(fenced))
        pending = _PendingFence(rejected, candidates, respond)
        self._store.write(rows, partial(self._on_fence_written, pending))

    def _on_fence_written(self, pending: _PendingFence, failure: WriteFailure | None) -> None:
        if failure is not None:
            pending.respond(FenceReply(False))
            return
        included = _leading_messages_that_fit(pending.candidates)
        if included:
            self._store.read(included, partial(self._reply_to_fence, pending))
        else:
            self._reply_to_fence(pending, {})

    def _reply_to_fence(self, pending: _PendingFence, contents: dict[str, bytes]) -> None:
        open_messages = tuple(
            OpenMessage(
                message_id,
                message.shard,
                message.accepted_epoch,
                message.sequence,
                message.metadata,
                message.size_bytes,
                contents.get(message_id),
            )
            for message_id, message in pending.candidates.items()
            # Since the fence arrived, the write of a replica may have failed, or its outcome may have become
            # durable. A new owner that read it as open would execute it again.
            if message_id in self.contents.messages and message.durable_outcome.is_open
        )
        pending.respond(FenceReply(True, self.contents.disk_id, pending.rejected, open_messages))

    # -- reading

    @handles(OutcomesRequest)
    def on_outcomes(self, request: OutcomesRequest, origin: str, respond: Responder) -> None:
        """Reply with the outcomes of the messages known here."""
        known = {
            message_id: stored
            for message_id in request.message_ids
            if (stored := self.contents.messages.get(message_id)) is not None
            and (stored.has_replica or stored.is_outcome_durable)
        }
        outcomes = {message_id: stored.durable_outcome for message_id, stored in known.items()}
        retain_until = {
            message_id: round(known[message_id].retain_until, RETAIN_UNTIL_DIGITS)
            for message_id, outcome in outcomes.items()
            if not outcome.is_open
        }
        contents = self.contents
        respond(OutcomesReply(outcomes, contents.disk_id, retain_until, contents.enrolled_index))

    @handles(EndedMessagesRequest)
    def on_ended_messages(self, request: EndedMessagesRequest, origin: str, respond: Responder) -> None:
        """Reply with the next page of durable outcomes."""
        shards = frozenset(request.shards)
        messages = self.contents.messages
        following = sorted(
            (message.shard, message_id)
            for message_id, message in messages.items()
            if message.shard in shards
            and not message.durable_outcome.is_open
            and (message.shard, message_id) > request.after
        )
        page = tuple(
            Acknowledgement(
                message_id,
                shard,
                messages[message_id].outcome,
                round(messages[message_id].retain_until, RETAIN_UNTIL_DIGITS),
            )
            for shard, message_id in following[:ENDED_MESSAGES_PER_PAGE]
        )
        respond(EndedMessagesReply(page, self.contents.disk_id, len(following) > len(page)))

    @handles(ContentRequest)
    def on_content(self, request: ContentRequest, origin: str, respond: Responder) -> None:
        """Reply with the body of an open or dead message; for others only with the outcome."""
        message = self.contents.messages.get(request.message_id)
        outcome = message.durable_outcome if message is not None else OPEN
        if message is None or outcome.status not in (OPEN.status, DEAD_OUTCOME):
            respond(ContentReply(None, outcome, self.contents.disk_id))
            return
        self._store.read(
            [request.message_id],
            lambda contents: respond(
                ContentReply(contents.get(request.message_id), outcome, self.contents.disk_id)
            ),
        )

    # -- deletion

    def _delete_expired(self) -> None:
        self._runtime.call_later(EXPIRY_INTERVAL_S, self._delete_expired)
        now = self._runtime.wall_clock()
        messages = self.contents.messages
        expired = [
            message_id
            for message_id, message in messages.items()
            if not message.outcome.is_open and message.retain_until < now
        ]
        for message_id in expired:
            del messages[message_id]
        if expired:
            self._count("outcomes deleted", len(expired))
            self._store.write([DeletionRow(message_id) for message_id in expired], ignore_failure)


def _row_of(request: ReplicaWriteRequest) -> ReplicaRow:
    return ReplicaRow(
        request.message_id,
        request.shard,
        request.accepted_epoch,
        request.sequence,
        request.metadata,
        request.content,
    )


def _leading_messages_that_fit(candidates: Mapping[str, StoredMessage]) -> list[str]:
    """The leading messages whose bodies together fit into `INCLUDED_CONTENT_BYTES`."""
    total_bytes = 0
    included = []
    for message_id, message in candidates.items():
        total_bytes += message.size_bytes
        if total_bytes <= INCLUDED_CONTENT_BYTES:
            included.append(message_id)
    return included
