"""Client lookups of a message's status and body. No I/O."""

from __future__ import annotations

from result import Ok, Result

from amberlug.cluster.dispatch.message import shard_of_message
from amberlug.cluster.dispatch.messages import StandingReply, StandingRequest
from amberlug.cluster.edge.answer_history import AnswerHistory
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.outcomes import NOT_FOUND
from amberlug.cluster.edge.storage_reads import READ_TIMEOUT_S, FoundBody, OutcomeCallback, StorageReader
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call
from amberlug.cluster.interfaces import RequestFailure
from amberlug.cluster.rpc.messages import Responder, handles, request
from amberlug.cluster.storage.outcomes import OPEN, MessageOutcome

LOOKUP_TIMEOUT_S = 1.7  # to answer a client; clients wait two seconds
RETRY_AFTER_S = 1  # sent if the answer can't be determined now


class MessageLookup:
    """Finds the status of a message in memory, at the owner of its shard, or at the storage nodes."""

    def __init__(
        self, context: EdgeContext, delivery: MessageDelivery, reader: StorageReader, history: AnswerHistory
    ) -> None:
        self._context, self._delivery, self._reader = context, delivery, reader
        self._history = history

    @api_call("GET", "/-/message/")
    def message(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Respond with the status of a message."""

        def answer(outcome: MessageOutcome | None) -> None:
            """Respond with the status; "not found" is unknown without a control-plane connection."""
            if outcome == NOT_FOUND and not self._context.session.control_address:
                outcome = (
                    None  # the roster may have changed; only nodes in contact with a majority learn of it
                )
            respond(_outcome_response(self._history.checked(name, outcome)))

        self.find_outcome(name, answer)

    @api_call("GET", "/-/message-body/")
    def message_body(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Respond with the body of a message that is open or has failed."""
        pending = self._delivery.queue.messages.get(name)
        if pending is not None and pending.body is not None:
            respond(HttpResponse(200, {"blob": pending.body}))
            return
        self._reader.find_body(name, lambda found: respond(_body_response(found)))

    @handles(StandingRequest)
    def on_standing(self, question: StandingRequest, origin: str, respond: Responder) -> None:
        """Reply to another edge node with the status of a message in a shard owned here."""
        respond(StandingReply(self.local_outcome(question.message_id)))

    def local_outcome(self, message_id: str) -> MessageOutcome | None:
        """The status of a message in this node's memory; None if it is not known.

        Invariant: a message is reported as ended only once its outcome survives the tolerated losses.
        Otherwise a client could later see it as pending again.
        """
        if (
            message_id in self._delivery.queue.messages
            or message_id in self._delivery.shard_owner.pending_writes
        ):
            return OPEN
        if self._context.replicator.is_outcome_unconfirmed(message_id):
            return None  # fall back to the storage nodes, which report it only once it is on enough disks
        return self._delivery.outcomes.get(message_id)

    def find_outcome(self, message_id: str, on_outcome: OutcomeCallback) -> None:
        """Find the status of a message.

        :param on_outcome: called once, with None if it can't be determined now.
        """
        local_outcome = self.local_outcome(message_id)
        if local_outcome is not None:
            on_outcome(local_outcome)
            return
        runtime = self._context.runtime
        owner = self._delivery.shard_owner.owner_of(shard_of_message(message_id))
        if owner is None or owner.node_id == self._context.session.id:
            self._reader.find_outcome(message_id, runtime.now() + LOOKUP_TIMEOUT_S, on_outcome)
            return

        def on_reply(reply: Result[StandingReply, RequestFailure]) -> None:
            """Report the outcome received from the owner, or else look it up at the storage nodes."""
            if isinstance(reply, Ok) and reply.ok_value.outcome is not None:
                on_outcome(reply.ok_value.outcome)
                return
            deadline = runtime.now() + LOOKUP_TIMEOUT_S - READ_TIMEOUT_S
            self._reader.find_outcome(message_id, deadline, on_outcome)

        request(runtime, owner.address, StandingRequest(message_id), READ_TIMEOUT_S, on_reply)


def _outcome_response(outcome: MessageOutcome | None) -> HttpResponse:
    if outcome is None:
        return HttpResponse(503, {"cause": "it can't be known now"}, RETRY_AFTER_S)
    if outcome == NOT_FOUND:
        return HttpResponse(404, {"cause": "no such message"})
    if outcome.is_completed:
        return HttpResponse(200, {"condition": "completed", "seal": outcome.receipt})
    return HttpResponse(200, {"condition": "pending" if outcome.is_open else "failed"})


def _body_response(found: FoundBody) -> HttpResponse:
    if found.body is not None:
        return HttpResponse(200, {"blob": found.body})
    if found.is_certain:
        return HttpResponse(404, {"cause": "no store has its bytes"})
    return HttpResponse(503, {"cause": "too few stores answer"}, RETRY_AFTER_S)
