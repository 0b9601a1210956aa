"""One message on its way to enough replicas. No I/O.

Storage nodes are asked in the order of their rank, no more of them than are needed. Further ones are asked as
soon as one fails, and also while one is slow (a hedged request).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Set
from enum import Enum
from functools import partial
from typing import Protocol

from result import Err, Ok, Result

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.store_health import SUSPECT_DISCONNECTED_S, StoreHealth
from amberlug.cluster.interfaces import RequestFailure, Runtime, TimerHandle
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.settings import Tolerance
from amberlug.cluster.storage.messages import ReplicaWriteReply, ReplicaWriteRequest, ReplicaWriteResult
from amberlug.cluster.storage.outcomes import MessageOutcome

HEDGE_INTERVAL_S = 0.03  # without a response until a further storage node is asked: three times a usual write
WRITE_TIMEOUT_S = 1.2  # for enough replicas: clients wait for 1.5 s where they do not say
MIN_REQUEST_TIMEOUT_S = 0.05  # of a request that is sent as the write is about to time out
SUSPECT_TIMED_OUT_S = 1.0  # a storage node that did not respond in time is asked last for so long
SUSPECT_FULL_S = 3.0  # and one without space
SUSPECT_NOT_ENROLLED_S = 0.1  # and one that joined a moment ago


class ReplicationOutcome(Enum):
    """What came of writing a message's replicas."""

    REPLICATED = "held"
    FENCED = "fenced"  # a later owner has the shard; it may find the replicas that were written
    OUTCOME_UNKNOWN = "unclear"  # some replica may exist
    REJECTED = "refused"  # no storage node was reached: no replica exists


class ReplicaLocation(Protocol):
    """Where a disk's storage node is."""

    @property
    def address(self) -> str:
        """For peers, `host:port`."""

    @property
    def zone(self) -> str:
        """Its failure domain below a region."""


class ReplicaPlacement(Protocol):
    """What a write knows of the storage nodes: who they are, and which disks are enough."""

    @property
    def runtime(self) -> Runtime:
        """Clock, timers and peers."""

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once."""

    @property
    def health(self) -> StoreHealth:
        """Which storage nodes respond."""

    @property
    def stores(self) -> Mapping[str, ReplicaLocation]:
        """The roster by disk."""

    def is_write_quorum(self, disks: Set[str]) -> bool:
        """Whether replicas on these disks outlast what may be lost at once."""

    def record_outcome(
        self, message: Message, outcome: MessageOutcome, on_durable: Callable[[], None] | None = None
    ) -> None:
        """Have the storage nodes learn how a message ended.

        :param on_durable: called once, when the outcome is on enough disks.
        """


class ReplicaWrite:
    """The write of one message.

    Invariant: it ends once, and with `REJECTED` only if no request may have been acted on.

    :param epoch: the fencing token of the writer.
    :param ranked: the disks that take replicas, the preferred ones first.
    :param on_complete: called once with the outcome.
    """

    def __init__(
        self,
        replicator: ReplicaPlacement,
        message: Message,
        epoch: int,
        ranked: list[str],
        on_complete: Callable[[ReplicationOutcome], None],
    ) -> None:
        assert message.body is not None, "a replica has the message's body"
        self.replicator, self.message, self._on_complete = replicator, message, on_complete
        # Disks that have a replica already are not asked again: a repair adds only those that are lacking.
        self._chosen = {disk for disk in message.holders if disk in ranked}
        self._remaining = [disk for disk in ranked if disk not in self._chosen]
        self._in_flight: set[str] = set()
        self._is_over = False
        self._may_exist = False  # a request failed that may have been acted on
        self._has_ended = False  # a storage node knows that the message ended under an earlier owner
        self._timer: TimerHandle | None = None
        self._deadline = replicator.runtime.now() + WRITE_TIMEOUT_S
        accepted_epoch, sequence = message.position
        self._request = ReplicaWriteRequest(
            message.id,
            message.shard,
            epoch,
            accepted_epoch,
            sequence,
            message.encode_metadata(),
            message.body,
        )

    def begin(self) -> None:
        """Ask as many storage nodes as are needed."""
        if not self.replicator.is_write_quorum(self._chosen | set(self._remaining)):
            self.complete(ReplicationOutcome.REJECTED)
            return
        while not self._is_over and not self.replicator.is_write_quorum(self._chosen):
            # A disk in a zone that has a replica is passed over until it is needed.
            useful = (disk for disk in self._remaining if not self._is_redundant(disk))
            self._send(next(useful, self._remaining[0]))
        self._schedule_hedge()

    def _is_redundant(self, disk: str) -> bool:
        """Whether a replica there would add no zone, while zones or regions have to be outlived."""
        tolerance = self.replicator.tolerance
        if tolerance.zones == 0 and tolerance.regions == 0:
            return False
        zones = {self.replicator.stores[chosen].zone for chosen in self._chosen}
        return self.replicator.stores[disk].zone in zones

    def _schedule_hedge(self) -> None:
        if not self._is_over:
            self._timer = self.replicator.runtime.call_later(HEDGE_INTERVAL_S, self._hedge)

    def _hedge(self) -> None:
        """Ask a further storage node while some have not responded, until the write times out."""
        if self._is_over:
            return
        if self.replicator.runtime.now() >= self._deadline:
            self.complete(ReplicationOutcome.OUTCOME_UNKNOWN)
            return
        for disk in sorted(self._in_flight):
            self.replicator.health.suspect(disk, HEDGE_INTERVAL_S)
        self._drop_removed()
        if self._remaining and not self._has_ended:
            self._send(self._remaining[0])
        self._schedule_hedge()

    def _drop_removed(self) -> None:
        """Pass over disks that were dropped from the roster while the write was under way."""
        self._remaining = [disk for disk in self._remaining if disk in self.replicator.stores]

    def _send(self, disk: str) -> None:
        self._remaining.remove(disk)
        self._chosen.add(disk)
        self.message.possible_holders.add(disk)
        self._in_flight.add(disk)
        runtime, health = self.replicator.runtime, self.replicator.health
        sent_at = health.request_sent(disk)
        timeout_s = max(MIN_REQUEST_TIMEOUT_S, self._deadline - runtime.now())

        def on_reply(reply: Result[ReplicaWriteReply, RequestFailure]) -> None:
            if isinstance(reply, Ok):
                health.response_received(disk, sent_at)
            self.on_reply(disk, reply)

        request(runtime, self.replicator.stores[disk].address, self._request, timeout_s, on_reply)

    def on_reply(self, disk: str, reply: Result[ReplicaWriteReply, RequestFailure]) -> None:
        """Handle the end of one request, then go on or end the write."""
        self._in_flight.discard(disk)
        if isinstance(reply, Err):
            self._on_failure(disk, reply.err_value)
        elif reply.ok_value.result is ReplicaWriteResult.STORED:
            self._on_stored(reply.ok_value)
        elif reply.ok_value.result is ReplicaWriteResult.FENCED:
            self.complete(ReplicationOutcome.FENCED)
        elif reply.ok_value.result is ReplicaWriteResult.STORAGE_FULL:
            self.replicator.health.suspect(disk, SUSPECT_FULL_S)
            self.replicator.health.mark_full(disk)
        else:
            self.replicator.health.suspect(disk, SUSPECT_NOT_ENROLLED_S)
        if not self._is_over:
            self._continue()

    def _on_failure(self, disk: str, failure: RequestFailure) -> None:
        self._may_exist |= failure is not RequestFailure.NOT_SENT
        is_timeout = failure is RequestFailure.TIMED_OUT
        self.replicator.health.suspect(disk, SUSPECT_TIMED_OUT_S if is_timeout else SUSPECT_DISCONNECTED_S)

    def _on_stored(self, reply: ReplicaWriteReply) -> None:
        if not reply.outcome.is_open:  # it was admitted by an earlier owner, and has ended
            self._on_ended_earlier(reply)
            return
        self.message.holders.add(reply.disk_id)  # not the disk that was meant, if the machine has a new one
        if not self.message.outcome.is_open:
            self.replicator.record_outcome(self.message, self.message.outcome)

    def _on_ended_earlier(self, reply: ReplicaWriteReply) -> None:
        """End once the outcome, which perhaps this one disk alone knows, is on enough disks."""
        self.message.possible_holders.add(reply.disk_id)
        self._may_exist = True
        if not self._has_ended:
            self._has_ended = True
            on_durable = partial(self.complete, ReplicationOutcome.REPLICATED)
            self.replicator.record_outcome(self.message, reply.outcome, on_durable)

    def _continue(self) -> None:
        """End where enough replicas are durable, else ask a further storage node where it is needed."""
        if self._has_ended:
            return  # its outcome is being recorded: no further replica is needed
        if self.replicator.is_write_quorum(self.message.holders):
            self.complete(ReplicationOutcome.REPLICATED)
            return
        if self.replicator.is_write_quorum(self.message.holders | self._in_flight):
            return
        self._drop_removed()
        if self._remaining:
            self._send(self._remaining[0])
        elif not self._in_flight:
            may_exist = self._may_exist or bool(self.message.holders)
            self.complete(ReplicationOutcome.OUTCOME_UNKNOWN if may_exist else ReplicationOutcome.REJECTED)

    def complete(self, outcome: ReplicationOutcome) -> None:
        """End the write with its first outcome; later ones are ignored."""
        if self._is_over:
            return
        self._is_over = True
        if self._timer is not None:
            self._timer.cancel()
        self._on_complete(outcome)
