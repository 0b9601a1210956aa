"""Delivers the messages of the shards that this edge node owns, from acceptance to outcome. No I/O."""

from __future__ import annotations

from functools import partial

from absl import logging

from amberlug.cluster.dispatch.call_outcome import CallOutcome, evaluate_result
from amberlug.cluster.dispatch.delivery_queue import DeliveryQueue
from amberlug.cluster.dispatch.handover import DeliveryCallbacks, LocalOwner
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import CallEnded
from amberlug.cluster.dispatch.shard_owner import ShardOwner
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.dispatchers import ServiceDispatchers
from amberlug.cluster.edge.outcomes import DROPPED, EXPIRED, NOT_FOUND, RecentOutcomes
from amberlug.cluster.edge.storage_reads import READ_TIMEOUT_S, OutcomeCallback, StorageReader
from amberlug.cluster.http.routing import Route
from amberlug.cluster.interfaces import CallResult, Endpoints
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome

SWEEP_INTERVAL_S = 1.0  # between searches for expired messages; retention times are typically hours
RETENTION_SLACK_S = 0.5  # for the unknown time between sending and arrival of a message
BODY_READ_RETRY_S = 0.03  # before the body of a due message is read from another replica
UNROUTED_MAX_ATTEMPTS = 1  # for a message whose route was removed while its call was in flight


class MessageDelivery:
    """Delivers each message of the owned shards until it has ended, and records its outcome at its replicas.

    Invariant: until it ends, a stored message is in the `queue` of its shard's owner, or in flight at the
    previous owner, which then reports the outcome of the call. A message ends once.

    Invariant: a message is called only at the service that the newest configuration known here gives for its
    host and target, and not before the configuration by which it was accepted is known here. The name of the
    route that accepted it is not used: a later configuration may give that name to another route.
    """

    def __init__(self, context: EdgeContext, endpoints: Endpoints, reader: StorageReader) -> None:
        self._context, self._reader = context, reader
        self.queue = DeliveryQueue(context.runtime, self._dispatch)
        self.outcomes = RecentOutcomes()
        callbacks = DeliveryCallbacks(
            self.add,
            self.release_shard,
            self._on_call_ended,
            self._is_admitted,
            self._is_safe,
            self._hold,
            self._longest_call_s,
            self._find_outcome,
        )
        local = LocalOwner(context.session.id, context.session.node.address)
        self.shard_owner = ShardOwner(context.runtime, context.replicator, local, callbacks)
        self.dispatchers = ServiceDispatchers(context, self.shard_owner, endpoints, self._call_finished)
        self.pending_bytes = 0  # of the bodies of the messages in `queue`
        self.under_replicated: dict[str, Message] = {}  # by id: messages with too few replicas
        self._in_flight_of_released_shards: set[Message] = set()

    def begin(self) -> None:
        """Start the periodic search for expired messages."""
        self._context.runtime.call_later(SWEEP_INTERVAL_S, self.sweep)

    @property
    def is_idle(self) -> bool:
        """Whether this node owns no shards and no other node waits for anything from it."""
        return not (
            self.dispatchers.has_calls
            or self.shard_owner.owned
            or self.shard_owner.pending_writes
            or not self.shard_owner.handover.is_idle
            or self._context.replicator.pending_outcomes
        )

    def _is_admitted(self, message_id: str) -> bool:
        return message_id in self.queue.messages or message_id in self.outcomes

    def _is_safe(self, message_id: str) -> bool:
        """Whether an admitted message, or its outcome, is on enough disks to be acknowledged."""
        replicator = self._context.replicator
        message = self.queue.messages.get(message_id)
        if message is not None:
            return replicator.is_write_quorum(message.holders)
        return not replicator.is_outcome_unconfirmed(message_id)

    # -- new messages: accepted from a client, or recovered from storage

    def add(self, message: Message) -> None:
        """Start delivering a stored message."""
        self._assign_route(message)
        if self._is_dropped(message):
            message.ended = True
            self._count_end(message.id, DROPPED)
            self._context.replicator.record_outcome(message, DROPPED)
            return
        self.pending_bytes += message.body_bytes
        self.queue.add(message)
        if not self._context.replicator.is_write_quorum(message.holders):
            self.under_replicated[message.id] = message

    # -- routes

    def _awaits_configuration(self, message: Message) -> bool:
        """Whether the configuration by which a message was accepted has not arrived here yet."""
        return message.config_index > self._context.routes.index

    def _assign_route(self, message: Message) -> bool:
        """Set a message's route by the current routing table.

        :returns: whether the message is now delivered to another service than before.
        """
        if self._awaits_configuration(message):
            return False
        service_before = message.service
        message.route = self._context.routes.match(message.host, message.target)
        if message.route is None:
            return False
        # A replica that a lost storage node brings back after that has expired and is not executed.
        message.keep_until = message.accepted_at + message.route.retention_s + 2 * RETENTION_SLACK_S
        return message.service != service_before

    def _is_dropped(self, message: Message) -> bool:
        """Whether the current routing table has no route for a message, which therefore ends."""
        return message.route is None and not self._awaits_configuration(message)

    def apply_routes(self) -> None:
        """Apply a new routing table."""
        self.dispatchers.apply_routes()
        messages = list(self.queue.messages.values())
        # All routes are assigned before a message is ended or offered, which may dispatch others.
        moved = [message for message in messages if self._assign_route(message)]
        dropped = [message for message in messages if self._is_dropped(message)]
        if moved or dropped:
            logging.info(
                "configuration %d: %d waiting messages change service, %d have no route any more",
                self._context.routes.edition,
                len(moved),
                len(dropped),
            )
        with self.queue.batch():
            for message in dropped:
                if not message.in_flight:
                    self._end(message, DROPPED)
            for message in moved:
                if not message.in_flight:
                    self.queue.requeue(message)
        self.dispatchers.apply_rate_limits()

    # -- calls

    def _dispatch(self, message: Message) -> None:
        """Dispatch a message that is due and the first of its sequence key."""
        if self._is_being_called(message):
            message.in_flight = True
            return  # `_call_finished` or `_on_call_ended` offers it again
        if self._awaits_configuration(message):
            return  # `apply_routes` offers it again
        if message.route is None:
            self._end(message, DROPPED)
        elif self._is_expired(message, message.route):
            self._end(message, EXPIRED)
        elif message.body is None:
            self._read_body(message)
        else:
            self.dispatchers.dispatch(message.route.service, message)

    def _is_being_called(self, message: Message) -> bool:
        """Whether a call of a message can still run, here or at another node."""
        return message.call_ends_by is not None or not self.shard_owner.may_be_called(message.id)

    def _is_expired(self, message: Message, route: Route) -> bool:
        age_s = self._context.runtime.wall_clock() - message.accepted_at
        return age_s > route.retention_s + RETENTION_SLACK_S

    def _read_body(self, message: Message) -> None:
        message.in_flight = True
        self._reader.read_body(message, partial(self._on_body_read, message))

    def _on_body_read(self, message: Message, is_read: bool) -> None:
        if not message.outcome.is_open and not message.ended:
            self.apply_stored_outcome(message)
        elif is_read:
            self.queue.requeue(message)
        elif not message.ended:
            self._context.runtime.call_later(BODY_READ_RETRY_S, lambda: self._read_body(message))

    def _call_finished(self, message: Message, result: CallResult) -> None:
        max_attempts = message.route.max_attempts if message.route is not None else UNROUTED_MAX_ATTEMPTS
        outcome = evaluate_result(message, result, max_attempts)
        self._context.count(f"calls: {outcome.end or result.verdict.description}")
        message.failures += outcome.is_failure
        if message in self._in_flight_of_released_shards:
            self._call_of_released_shard_finished(message, outcome)
        elif message.ended:
            return
        elif outcome.end:
            message.in_flight = False
            self._end(message, outcome.message_outcome)
        elif outcome.retry_delay_s > 0:
            self._context.runtime.call_later(outcome.retry_delay_s, lambda: self._retry(message))
        else:
            self._retry(message)

    def _call_of_released_shard_finished(self, message: Message, outcome: CallOutcome) -> None:
        self._in_flight_of_released_shards.discard(message)
        message.in_flight = False
        message_outcome = outcome.message_outcome
        if not message_outcome.is_open:
            self._context.replicator.record_outcome(message, message_outcome)
            self._remember(message.id, message_outcome)
        self.shard_owner.report_end(message, message_outcome, outcome.is_failure)

    def _retry(self, message: Message) -> None:
        if self._is_being_called(message):
            return  # retried once that call has ended
        if message.id in self.queue.messages and not message.ended:
            message.in_flight = False
            if self._is_dropped(message):
                self._end(message, DROPPED)
            else:
                self.queue.requeue(message)

    # -- calls of other nodes

    def _hold(self, message_id: str) -> None:
        """Keep a waiting message from being called: another node has a call of it in flight."""
        message = self.queue.messages.get(message_id)
        if message is not None and message.call_ends_by is None:
            self._context.count("calls of other nodes: reported late")
            message.in_flight = True

    def _longest_call_s(self, message: Message) -> float:
        """The longest time for which a call of a recovered message can run, in seconds."""
        self._assign_route(message)
        return self.dispatchers.longest_call_s(message)

    def _find_outcome(self, message_id: str, on_outcome: OutcomeCallback) -> None:
        """Read the stored outcome of a message whose call at another node is over without a report."""
        self._context.count("calls of other nodes: not reported")
        deadline = self._context.runtime.now() + READ_TIMEOUT_S

        def receive(outcome: MessageOutcome | None) -> None:
            """Pass the outcome on; a message that is being delivered here has been stored."""
            on_outcome(OPEN if outcome == NOT_FOUND else outcome)

        self._reader.find_outcome(message_id, deadline, receive)

    # -- outcomes and release

    def _end(self, message: Message, outcome: MessageOutcome) -> None:
        assert not message.ended, "message has already ended"
        self.pending_bytes -= message.body_bytes
        self._count_end(message.id, outcome)
        self.queue.end(message)
        self._context.replicator.record_outcome(message, outcome)

    def _count_end(self, message_id: str, outcome: MessageOutcome) -> None:
        self._context.count(f"ended: {outcome.status}")
        self._remember(message_id, outcome)

    def _remember(self, message_id: str, outcome: MessageOutcome) -> None:
        self.outcomes.record(message_id, outcome, self._context.runtime.now())

    def _on_call_ended(self, ended: CallEnded) -> None:
        """Apply the result of a call that another node had in flight."""
        message, outcome = self.queue.messages.get(ended.message_id), ended.outcome
        if message is None or message.ended:
            if message is None and not outcome.is_open:
                self._remember(ended.message_id, outcome)
            return
        message.failures += ended.is_failure
        if outcome.is_open:
            self._retry(message)
        else:
            message.in_flight = False
            self._end(message, outcome)

    def apply_stored_outcome(self, message: Message) -> None:
        """End a message with the outcome a storage node reported and an earlier owner did not hand over."""
        self._on_call_ended(CallEnded(message.id, message.outcome, False))

    def release_shard(self, shard: int) -> list[Message]:
        """Stop delivering the messages of a shard that now has another owner.

        Calls in flight continue, and their results are reported to the new owner.

        :returns: the messages that were pending.
        """
        released = [message for message in self.queue.messages.values() if message.shard == shard]
        for message in released:
            self.queue.drop(message)
            self.pending_bytes -= message.body_bytes
            if message.call_ends_by is not None:
                self._in_flight_of_released_shards.add(message)
            else:
                message.in_flight = False
                message.ended = True  # on this node, so that remaining references do not cause a call
        return released

    def sweep(self) -> None:
        """Expire messages past their retention time, forget old outcomes, and reschedule the sweep."""
        runtime = self._context.runtime
        runtime.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.outcomes.forget_before(runtime.now() - self._context.settings.seconds("statusTtlS"))
        with self.queue.batch():
            for message in list(self.queue.messages.values()):
                if self._has_expired_waiting(message):
                    self._end(message, EXPIRED)

    def _has_expired_waiting(self, message: Message) -> bool:
        """Whether a message without a call in flight is past its retention time."""
        route = message.route
        return route is not None and not message.in_flight and self._is_expired(message, route)
