"""The status of a storage node that operators query through a control-plane node. No I/O."""

from __future__ import annotations

from amberlug.cluster.node_status import NodeStatusRequest
from amberlug.cluster.rpc.messages import Responder, handles
from amberlug.cluster.storage.operator_messages import (
    DEAD_MESSAGES_PER_PAGE,
    DeadMessage,
    DeadMessagesReply,
    DeadMessagesRequest,
    StorageStatusReport,
)
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME
from amberlug.cluster.storage.replica_service import ReplicaService

RETAIN_UNTIL_DIGITS = 3  # millisecond precision


class StorageStatus:
    """Handles status requests and requests for dead messages."""

    def __init__(self, replicas: ReplicaService) -> None:
        self._replicas = replicas

    @handles(NodeStatusRequest)
    def on_status(self, request: NodeStatusRequest, origin: str, respond: Responder) -> None:
        """Reply with the state of the disk and the number of its messages."""
        contents = self._replicas.contents
        open_messages = [message for message in contents.messages.values() if message.outcome.is_open]
        report = StorageStatusReport(
            disk_id=contents.disk_id,
            is_full=self._replicas.is_full,
            open_messages=len(open_messages),
            open_bytes=sum(message.size_bytes for message in open_messages),
            dead_messages=sum(
                message.outcome.status == DEAD_OUTCOME for message in contents.messages.values()
            ),
            ended_messages=len(contents.messages) - len(open_messages),
            counters=self._replicas.counters,
        )
        respond(report)

    @handles(DeadMessagesRequest)
    def on_dead_messages(self, request: DeadMessagesRequest, origin: str, respond: Responder) -> None:
        """Reply with a page of dead messages, ordered by id."""
        messages = self._replicas.contents.messages
        matching = sorted(
            message_id
            for message_id, message in messages.items()
            if message.outcome.status == DEAD_OUTCOME and request.includes(message_id)
        )
        limit = min(request.limit, DEAD_MESSAGES_PER_PAGE)
        page = tuple(
            DeadMessage(
                message_id,
                messages[message_id].metadata,
                messages[message_id].size_bytes,
                round(messages[message_id].retain_until, RETAIN_UNTIL_DIGITS),
            )
            for message_id in matching[:limit]
        )
        respond(DeadMessagesReply(page, has_more=len(matching) > limit))
