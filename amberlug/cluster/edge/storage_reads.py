"""Reads bodies and outcomes of messages from storage nodes. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from absl import logging
from result import Ok, Result

from amberlug.cluster.dispatch.message import Message, shard_of_message
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.outcomes import NOT_FOUND
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.content_messages import ContentReply, ContentRequest
from amberlug.cluster.storage.messages import Acknowledgement, OutcomesReply, OutcomesRequest
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome
from amberlug.cluster.values import value

READ_TIMEOUT_S = 0.5  # for a storage node or another edge node to reply
READ_SLACK_S = 0.05  # added to it before a read from several nodes ends without the missing replies
LOG_INTERVAL_S = 1.0  # minimum time between log messages about lookups

OutcomeCallback = Callable[[MessageOutcome | None], None]


@value
class FoundBody:
    """The result of reading a body from all storage nodes.

    :param is_certain: whether the nodes that replied without it are a read quorum, so that none has it.
    """

    body: bytes | None
    is_certain: bool = False


class StorageReader:
    """Reads messages from the storage nodes of the roster."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context

    def read_body(self, message: Message, on_done: Callable[[bool], None]) -> None:
        """Read the body of a message from one of its replicas into the message.

        If the storage node knows that the message has ended, the message's `outcome` is set.

        :param on_done: called once, with whether the body was read.
        """
        storage_nodes = self._context.replicator.stores
        replicas = [disk for disk in sorted(message.holders) if disk in storage_nodes] or list(storage_nodes)

        def receive(reply: Result[ContentReply, RequestFailure]) -> None:
            """Store the received body and outcome in the message, and report whether there was a body."""
            if not isinstance(reply, Ok):
                on_done(False)
                return
            content, outcome = reply.ok_value.content, reply.ok_value.outcome
            if content is not None:
                message.body = content
            if not outcome.is_open and message.outcome.is_open:
                message.outcome = outcome
            on_done(content is not None)

        disk = self._context.runtime.rng.choice(replicas)
        self._request_body(storage_nodes[disk].address, message.id, receive)

    def find_body(self, message_id: str, on_body: Callable[[FoundBody], None]) -> None:
        """Read the body of a message from all storage nodes.

        :param on_body: called once, with the first body received, or when all requests have ended.
        """
        storage_nodes = self._context.replicator.stores
        without_body: set[str] = set()
        unanswered = len(storage_nodes)
        finished = False

        def receive(disk: str, reply: Result[ContentReply, RequestFailure]) -> None:
            """Report the first body received, or after the last reply that none was found."""
            nonlocal unanswered, finished
            unanswered -= 1
            if finished:
                return
            if isinstance(reply, Ok) and reply.ok_value.content is not None:
                finished = True
                on_body(FoundBody(reply.ok_value.content))
                return
            if isinstance(reply, Ok) and reply.ok_value.disk_id in ("", disk):
                without_body.add(disk)
            if unanswered == 0:
                on_body(FoundBody(None, self._context.replicator.covers_all_messages(without_body)))

        if not storage_nodes:
            on_body(FoundBody(None))
        for disk, storage_node in storage_nodes.items():
            self._request_body(storage_node.address, message_id, partial(receive, disk))

    def find_outcome(self, message_id: str, deadline: float, on_outcome: OutcomeCallback) -> None:
        """Ask all storage nodes for the status of a message.

        :param deadline: monotonic time in seconds by which None is reported if there is no answer.
        :param on_outcome: called once, see `_OutcomeQuery`.
        """
        _OutcomeQuery(self._context, message_id, on_outcome).begin(deadline)

    def _request_body(
        self, address: str, message_id: str, receive: Callable[[Result[ContentReply, RequestFailure]], None]
    ) -> None:
        request(self._context.runtime, address, ContentRequest(message_id), READ_TIMEOUT_S, receive)


class _OutcomeQuery:
    """A query to all storage nodes for the status of a message.

    Invariant: a message is reported as open or as not found only if the storage nodes that have replied are a
    read quorum, so that the others alone can't hold a message, and none of them knows a newer roster. It is
    reported as ended only once its outcome is on a write quorum: an outcome found on fewer disks is first
    written to others, since these could answer the next client.
    """

    def __init__(self, context: EdgeContext, message_id: str, on_outcome: OutcomeCallback) -> None:
        self._context = context
        self._runtime, self._replicator = context.runtime, context.replicator
        self._message_id, self._on_outcome = message_id, on_outcome
        self._answered_disks: set[str] = set()
        self._ended_disks: set[str] = set()
        self._ended: Acknowledgement | None = None  # the outcome of the first disk that had one
        self._is_open_somewhere = False
        self._newest_roster = 0  # the largest roster index among the replies
        self._is_restoring = False
        self._finished = False

    def begin(self, deadline: float) -> None:
        """Send the requests; None is reported at the deadline (monotonic time in seconds)."""
        for disk, storage_node in self._replicator.stores.items():
            question = OutcomesRequest((self._message_id,))
            on_reply = partial(self._answered, disk)
            request(self._runtime, storage_node.address, question, READ_TIMEOUT_S, on_reply)
        timeout_s = max(0.0, deadline - self._runtime.now())
        self._runtime.call_later(min(READ_TIMEOUT_S + READ_SLACK_S, timeout_s), self._timed_out)

    def _answered(self, disk: str, reply: Result[OutcomesReply, RequestFailure]) -> None:
        # A reply from another disk does not count: the machine has lost the requested one.
        if self._finished or not isinstance(reply, Ok) or reply.ok_value.disk_id != disk:
            return
        self._answered_disks.add(disk)
        self._newest_roster = max(self._newest_roster, reply.ok_value.roster_index)
        self._add_outcome(disk, reply.ok_value)
        if self._ended is not None:
            self._finish_if_ended(self._ended)
        elif self._is_certain():
            self._finish(OPEN if self._is_open_somewhere else NOT_FOUND)

    def _add_outcome(self, disk: str, reply: OutcomesReply) -> None:
        outcome = reply.outcomes.get(self._message_id)
        if outcome is None:
            return
        if outcome.is_open:
            self._is_open_somewhere = True
            return
        self._ended_disks.add(disk)
        if self._ended is None:
            retain_until = reply.retain_until.get(self._message_id, self._replicator.default_retain_until())
            self._ended = Acknowledgement(
                self._message_id, shard_of_message(self._message_id), outcome, retain_until
            )

    def _is_certain(self) -> bool:
        """Whether the disks that have replied are a read quorum of the newest roster."""
        return self._newest_roster <= self._replicator.roster_index and self._replicator.covers_all_messages(
            self._answered_disks
        )

    def _finish_if_ended(self, ended: Acknowledgement) -> None:
        """Report the outcome once it is on enough disks; write it to others if it is not."""
        if self._replicator.is_write_quorum(self._ended_disks):
            self._finish(ended.outcome)
        elif self._is_certain() and not self._is_restoring:
            self._is_restoring = True
            self._context.count("outcomes restored by lookups")
            on_durable = partial(self._finish, ended.outcome)
            self._replicator.restore_outcome(ended, self._ended_disks, on_durable, self._answered_disks)

    def _log_details(self) -> tuple[object, ...]:
        """Arguments for log messages: message id, nodes with and without a reply, local and newest roster."""
        stores = self._replicator.stores
        return (
            self._message_id,
            sorted(stores[disk].name for disk in self._answered_disks if disk in stores),
            sorted(store.name for disk, store in stores.items() if disk not in self._answered_disks),
            self._replicator.roster_index,
            self._newest_roster,
        )

    def _timed_out(self) -> None:
        if self._finished:
            return
        self._context.count("lookups: unanswered")
        logging.log_every_n_seconds(
            logging.INFO,
            "message %s can't be looked up: %s have answered, %s have not (roster %d, heard of %d)",
            LOG_INTERVAL_S,
            *self._log_details(),
        )
        self._finish(None)

    def _finish(self, outcome: MessageOutcome | None) -> None:
        if self._finished:
            return
        self._finished = True
        if outcome == NOT_FOUND:
            self._context.count("lookups: not found")
            logging.log_every_n_seconds(
                logging.INFO,
                "message %s is not found: %s do not have it, %s have not answered (roster %d, heard of %d)",
                LOG_INTERVAL_S,
                *self._log_details(),
            )
        self._on_outcome(outcome)
