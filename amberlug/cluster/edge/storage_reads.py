"""Reads from storage nodes: bodies and status of messages. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from absl import logging
from result import Ok, Result

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.outcomes import NOT_FOUND
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import request
from amberlug.cluster.storage.content_messages import ContentReply, ContentRequest
from amberlug.cluster.storage.messages import OutcomesReply, OutcomesRequest
from amberlug.cluster.storage.outcomes import MessageOutcome

READ_TIMEOUT_S = 0.5  # for a storage node, or an edge node that is asked, to answer
READ_SLACK_S = 0.05  # beyond it, until a read of several nodes ends without those that have not answered
NOT_FOUND_LOG_INTERVAL_S = 1.0  # at least, between lines about messages that were not found

OutcomeCallback = Callable[[MessageOutcome | None], None]


class StorageReader:
    """Reads messages from the storage nodes of the roster."""

    def __init__(self, context: EdgeContext) -> None:
        self._context = context

    def read_body(self, message: Message, on_done: Callable[[bool], None]) -> None:
        """Read the body of a message into it, from one of its replicas.

        Where the storage node knows that the message has ended, its `outcome` is set.

        :param on_done: called once, with whether the body was read.
        """
        storage_nodes = self._context.replicator.stores
        replicas = [disk for disk in sorted(message.holders) if disk in storage_nodes] or list(storage_nodes)

        def receive(reply: Result[ContentReply, RequestFailure]) -> None:
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

    def find_body(self, message_id: str, on_body: Callable[[bytes | None], None]) -> None:
        """Read the body of a message from all storage nodes.

        :param on_body: called once, with the first body that comes, or with None once none has it. It is not
            called where there is no storage node.
        """
        storage_nodes = self._context.replicator.stores
        unanswered = len(storage_nodes)
        finished = False

        def receive(reply: Result[ContentReply, RequestFailure]) -> None:
            nonlocal unanswered, finished
            unanswered -= 1
            if finished:
                return
            if isinstance(reply, Ok) and reply.ok_value.content is not None:
                finished = True
                on_body(reply.ok_value.content)
            elif unanswered == 0:
                finished = True
                on_body(None)

        for storage_node in storage_nodes.values():
            self._request_body(storage_node.address, message_id, receive)

    def find_outcome(self, message_id: str, deadline: float, on_outcome: OutcomeCallback) -> None:
        """Ask all storage nodes for the status of a message.

        :param deadline: monotonic time in seconds at which None is reported at the latest.
        :param on_outcome: called once, see `_OutcomeQuery`.
        """
        _OutcomeQuery(self._context, message_id, on_outcome).begin(deadline)

    def _request_body(
        self, address: str, message_id: str, receive: Callable[[Result[ContentReply, RequestFailure]], None]
    ) -> None:
        request(self._context.runtime, address, ContentRequest(message_id), READ_TIMEOUT_S, receive)


class _OutcomeQuery:
    """One request to all storage nodes for the status of a message.

    Invariant: a message is reported as open or as not found only if the storage nodes that have answered are
    so many that the others alone can't hold a message (a read quorum). That it has ended is reported at once,
    since an end is final.
    """

    def __init__(self, context: EdgeContext, message_id: str, on_outcome: OutcomeCallback) -> None:
        self._context = context
        self._runtime, self._replicator = context.runtime, context.replicator
        self._message_id, self._on_outcome = message_id, on_outcome
        self._answered_disks: set[str] = set()
        self._outcomes: list[MessageOutcome] = []
        self._finished = False

    def begin(self, deadline: float) -> None:
        """Send the requests, and report None at the deadline (monotonic time in seconds)."""
        for disk, storage_node in self._replicator.stores.items():
            question = OutcomesRequest((self._message_id,))
            on_reply = partial(self._answered, disk)
            request(self._runtime, storage_node.address, question, READ_TIMEOUT_S, on_reply)
        timeout_s = max(0.0, deadline - self._runtime.now())
        self._runtime.call_later(min(READ_TIMEOUT_S + READ_SLACK_S, timeout_s), self._timed_out)

    def _answered(self, disk: str, reply: Result[OutcomesReply, RequestFailure]) -> None:
        if self._finished:
            return
        # An answer in the name of another disk is none: the machine has lost the one that is meant.
        if isinstance(reply, Ok) and reply.ok_value.disk_id == disk:
            self._answered_disks.add(disk)
            outcome = reply.ok_value.outcomes.get(self._message_id)
            if outcome is not None:
                self._outcomes.append(outcome)
        ended = [outcome for outcome in self._outcomes if not outcome.is_open]
        if ended or self._replicator.covers_all_messages(self._answered_disks):
            outcome = next(iter(ended or self._outcomes), NOT_FOUND)
            if outcome == NOT_FOUND:
                self._log_not_found()
            self._finish(outcome)

    def _log_not_found(self) -> None:
        """Say on whose answers a message counts as never stored: no client may hear that of one that was."""
        self._context.count("lookups: not found")
        stores = self._replicator.stores
        logging.log_every_n_seconds(
            logging.INFO,
            "message %s is not found: %s do not have it, %s have not answered (roster %d)",
            NOT_FOUND_LOG_INTERVAL_S,
            self._message_id,
            sorted(stores[disk].name for disk in self._answered_disks if disk in stores),
            sorted(store.name for disk, store in stores.items() if disk not in self._answered_disks),
            self._replicator.roster_index,
        )

    def _timed_out(self) -> None:
        if not self._finished:
            self._context.count("lookups: unanswered")
            self._finish(None)

    def _finish(self, outcome: MessageOutcome | None) -> None:
        self._finished = True
        self._on_outcome(outcome)
