"""Writes the replicas of one message to a write quorum of storage nodes. No I/O.

Storage nodes are tried in the order of their rank, initially as many as a quorum needs. Further ones are
tried as soon as one fails, and also while one is slow (hedged requests).
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

HEDGE_INTERVAL_S = 0.03  # between hedged requests: three times the duration of a typical write
WRITE_TIMEOUT_S = 1.2  # for a write quorum; below the default client timeout of 1.5 s
MIN_REQUEST_TIMEOUT_S = 0.05  # of a request sent shortly before the write times out
SUSPECT_TIMED_OUT_S = 1.0  # how long a storage node is tried last after a timeout
SUSPECT_FULL_S = 3.0  # the same after it reported a full disk
SUSPECT_NOT_ENROLLED_S = 0.1  # the same after it reported that it is not enrolled yet


class ReplicationOutcome(Enum):
    """The result of writing a message's replicas."""

    REPLICATED = "held"
    FENCED = "fenced"  # the shard has a later owner, which may find the replicas written so far
    OUTCOME_UNKNOWN = "unclear"  # some replica may exist
    REJECTED = "refused"  # no replica exists: no storage node can have executed a request


class ReplicaLocation(Protocol):
    """The location of a disk's storage node."""

    @property
    def address(self) -> str:
        """The peer address, `host:port`."""

    @property
    def zone(self) -> str:
        """The failure domain within its region."""


class ReplicaPlacement(Protocol):
    """The storage nodes and quorum rules as a write uses them."""

    @property
    def runtime(self) -> Runtime:
        """The clock, timers and connections to peers."""

    @property
    def tolerance(self) -> Tolerance:
        """The simultaneous losses to be tolerated."""

    @property
    def health(self) -> StoreHealth:
        """The health of the storage nodes."""

    @property
    def stores(self) -> Mapping[str, ReplicaLocation]:
        """The roster by disk."""

    def is_write_quorum(self, disks: Set[str]) -> bool:
        """Whether replicas on these disks survive the tolerated losses."""

    def record_outcome(
        self, message: Message, outcome: MessageOutcome, on_durable: Callable[[], None] | None = None
    ) -> None:
        """Record on the storage nodes how a message ended.

        :param on_durable: called once the outcome is on enough disks.
        """


class ReplicaWrite:
    """The write of one message.

    Invariant: it completes once, and with `REJECTED` only if no request can have been executed.

    :param epoch: the fencing token of the writer.
    :param ranked: the disks that accept replicas, in order of preference.
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
        assert message.body is not None, "body of the message is not loaded"
        self.replicator, self.message, self._on_complete = replicator, message, on_complete
        # Disks that have a replica already are skipped, so that a repair writes only the missing replicas.
        self._chosen = {disk for disk in message.holders if disk in ranked}
        self._remaining = [disk for disk in ranked if disk not in self._chosen]
        self._in_flight: set[str] = set()
        self._is_finished = False
        self._replica_may_exist = False  # a failed request may have been executed
        self._has_ended = False  # a storage node has reported that the message ended under an earlier owner
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
        """Send requests to as many storage nodes as a write quorum needs."""
        if not self.replicator.is_write_quorum(self._chosen | set(self._remaining)):
            self.complete(ReplicationOutcome.REJECTED)
            return
        while not self._is_finished and not self.replicator.is_write_quorum(self._chosen):
            # Prefer disks in zones without a replica.
            useful = (disk for disk in self._remaining if not self._is_redundant(disk))
            self._send(next(useful, self._remaining[0]))
        self._schedule_hedge()

    def _is_redundant(self, disk: str) -> bool:
        """Whether losses of zones or regions are tolerated and a replica on this disk would add no zone."""
        tolerance = self.replicator.tolerance
        if tolerance.zones == 0 and tolerance.regions == 0:
            return False
        zones = {self.replicator.stores[chosen].zone for chosen in self._chosen}
        return self.replicator.stores[disk].zone in zones

    def _schedule_hedge(self) -> None:
        if not self._is_finished:
            self._timer = self.replicator.runtime.call_later(HEDGE_INTERVAL_S, self._hedge)

    def _hedge(self) -> None:
        """Send a request to a further storage node, or end the write at its deadline."""
        if self._is_finished:
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
        """Skip disks that were dropped from the roster since the write began."""
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
            """Record a response of the disk, then handle the end of the request."""
            if isinstance(reply, Ok):
                health.response_received(disk, sent_at)
            self.on_reply(disk, reply)

        request(runtime, self.replicator.stores[disk].address, self._request, timeout_s, on_reply)

    def on_reply(self, disk: str, reply: Result[ReplicaWriteReply, RequestFailure]) -> None:
        """Handle the end of one request, then continue or complete the write."""
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
        if not self._is_finished:
            self._continue()

    def _on_failure(self, disk: str, failure: RequestFailure) -> None:
        self._replica_may_exist |= failure is not RequestFailure.NOT_SENT
        is_timeout = failure is RequestFailure.TIMED_OUT
        self.replicator.health.suspect(disk, SUSPECT_TIMED_OUT_S if is_timeout else SUSPECT_DISCONNECTED_S)

    def _on_stored(self, reply: ReplicaWriteReply) -> None:
        if not reply.outcome.is_open:  # the message was admitted by an earlier owner and has ended
            self._on_ended_earlier(reply)
            return
        self.message.holders.add(reply.disk_id)  # not `disk` if the machine has a new one
        if not self.message.outcome.is_open:
            self.replicator.record_outcome(self.message, self.message.outcome)

    def _on_ended_earlier(self, reply: ReplicaWriteReply) -> None:
        """Complete once the outcome, which may be on this disk only, is on enough disks."""
        self.message.possible_holders.add(reply.disk_id)
        self._replica_may_exist = True
        if not self._has_ended:
            self._has_ended = True
            on_durable = partial(self.complete, ReplicationOutcome.REPLICATED)
            self.replicator.record_outcome(self.message, reply.outcome, on_durable)

    def _continue(self) -> None:
        """Complete if enough replicas are durable, else try a further storage node if needed."""
        if self._has_ended:
            return  # no further replica is needed while its outcome is being recorded
        if self.replicator.is_write_quorum(self.message.holders):
            self.complete(ReplicationOutcome.REPLICATED)
            return
        if self.replicator.is_write_quorum(self.message.holders | self._in_flight):
            return
        self._drop_removed()
        if self._remaining:
            self._send(self._remaining[0])
        elif not self._in_flight:
            may_exist = self._replica_may_exist or bool(self.message.holders)
            self.complete(ReplicationOutcome.OUTCOME_UNKNOWN if may_exist else ReplicationOutcome.REJECTED)

    def complete(self, outcome: ReplicationOutcome) -> None:
        """Complete the write; only the first call has an effect."""
        if self._is_finished:
            return
        self._is_finished = True
        if self._timer is not None:
            self._timer.cancel()
        self._on_complete(outcome)
