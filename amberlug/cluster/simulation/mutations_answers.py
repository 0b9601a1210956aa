"""Mutations of how responses are matched to requests, on the four kinds of link."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from result import Err, Result

from amberlug.cluster.consensus.raft import ProposalRejected, RejectionReason
from amberlug.cluster.control.command_results import CommandOutcome
from amberlug.cluster.control.command_service import CommandService, OutcomeCallback
from amberlug.cluster.control.submitted_commands import SubmittedCommand
from amberlug.cluster.dispatch.call_outcome import CallOutcome, evaluate_result
from amberlug.cluster.dispatch.endpoint_client import EndpointClient
from amberlug.cluster.dispatch.handover import ShardHandover
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.dispatch.messages import Handover
from amberlug.cluster.edge import delivery
from amberlug.cluster.http.connection import Responder as HttpResponder
from amberlug.cluster.http.message import Response
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall, Json, RequestFailure, Respond
from amberlug.cluster.rpc.client_connection import ClientConnection
from amberlug.cluster.rpc.messages import Responder
from amberlug.cluster.rpc.server_connection import ConnectionOwner, ServerConnection
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.http.link import OutgoingConnection


def _answer_by_order() -> AbstractContextManager[Any]:
    """The next response on a connection is matched to the call, whatever attempt id it has."""
    return patch.object(EndpointClient, "is_response_to", staticmethod(lambda call, response: True))


def _attempt_by_order() -> AbstractContextManager[Any]:
    """An attempt is repeated on a connection where a second copy of its last response may still arrive."""
    pop_idle = EndpointClient._pop_idle
    return patch.object(
        EndpointClient, "_pop_idle", lambda self, address, attempt: pop_idle(self, address, "")
    )


def _read_answer_lost() -> AbstractContextManager[Any]:
    """A response that a delayed process has already read is treated as a timeout."""
    return patch.object(EndpointClient, "_completed_response", staticmethod(lambda waiter: None))


def _silent_open() -> AbstractContextManager[Any]:
    """A call that timed out is not aborted, and its message is called again."""
    return patch.object(OutgoingConnection, "close", lambda self: None)


def _sent_again() -> AbstractContextManager[Any]:
    """A call whose connection is lost is retried at once, as HTTP clients do."""
    attempt = EndpointClient._try

    async def again(self: EndpointClient, delivery: EndpointCall) -> CallResult:
        """Repeat a call with the same attempt id if its connection is lost."""
        called = await attempt(self, delivery)
        return await attempt(self, delivery) if called.verdict is CallVerdict.CONNECTION_LOST else called

    return patch.object(EndpointClient, "_try", again)


@contextmanager
def _extra_kept() -> Iterator[None]:
    """A connection is reused although it received unsolicited data."""

    def finish(self: OutgoingConnection) -> None:
        """Finish a response and keep the connection, whatever surplus bytes arrived."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._http.start_next_cycle()
        if self._waiter is not None and self._reply is not None and not self._waiter.done():
            self._waiter.set_result(self._reply)

    received = OutgoingConnection.data_received

    def skip(self: OutgoingConnection, data: bytes) -> None:
        """Ignore data that arrives while no call waits for a response."""
        if self._waiter is not None and not self._waiter.done():
            received(self, data)

    unread = patch.object(OutgoingConnection, "_has_unread_input", lambda self, transport: False)
    with (
        patch.object(OutgoingConnection, "_finish", finish),
        patch.object(OutgoingConnection, "data_received", skip),
        unread,
    ):
        yield


@contextmanager
def _reply_by_order() -> Iterator[None]:
    """The next reply on a connection is matched to the oldest request, whatever its number."""
    received = ClientConnection.data_received

    def in_order(self: ClientConnection, data: bytes) -> None:
        """Match each received reply to the oldest pending request."""
        self.pending = _Oldest(self.pending)
        received(self, data)
        self.pending = dict(self.pending)

    with patch.object(ClientConnection, "data_received", in_order):
        yield


class _Oldest(dict[int, Any]):
    """A dict whose `pop` returns the oldest item for any key."""

    def pop(self, key: int, *default: Any) -> Any:
        """Remove and return the oldest item, whatever the key; raises KeyError if empty without a default."""
        return super().pop(next(iter(self), key), *default)


@contextmanager
def _reply_after_replacement() -> Iterator[None]:
    """Each connection numbers requests from 1, and replies use the newest connection from the sender."""
    respond_to, request = ServerConnection._respond_to, PeerTransport.request
    newest: dict[tuple[ConnectionOwner, str], ServerConnection] = {}

    def numbered(self: PeerTransport, address: str, *rest: Any, **more: Any) -> None:
        """Number the requests of each connection from 1, instead of those of all connections."""
        connection = self._connection_to(address)
        self._request_numbers = itertools.count(1 + len(connection.__dict__.setdefault("numbered", [])))
        connection.__dict__["numbered"].append(address)
        request(self, address, *rest, **more)

    def on_newest(self: ServerConnection, number: object) -> Respond:
        """Remember the connection as the newest from its sender, and reply on the newest one."""
        newest[self.owner, self.origin] = self

        def respond(body: Json, payload: bytes = b"") -> None:
            """Send the reply on the newest connection from the sender."""
            respond_to(newest[self.owner, self.origin], number)(body, payload)

        return respond

    on_newest_connection = patch.object(ServerConnection, "_respond_to", on_newest)
    with patch.object(PeerTransport, "request", numbered), on_newest_connection:
        yield


def _unsent_after_dial() -> AbstractContextManager[Any]:
    """A request counts as not sent if its connection attempt is given up as it succeeds."""
    return patch.object(ClientConnection, "on_connect_failed", lambda self: self.end(RequestFailure.NOT_SENT))


def _answer_to_next() -> AbstractContextManager[Any]:
    """A second response to a request goes to whatever request its connection serves by then."""
    return patch.object(
        HttpResponder, "__call__", lambda self, response: self._connection.respond(response, False)
    )


def _answer_again_within() -> AbstractContextManager[Any]:
    """A request is marked as answered only after its connection has started the next one."""

    def respond(self: HttpResponder, response: Response) -> None:
        """Mark the request as answered after its response; raises RuntimeError on a second response."""
        if self.is_used:
            raise RuntimeError("a request has one response")
        self._connection.respond(response, self._is_head)
        self.is_used = True

    return patch.object(HttpResponder, "__call__", respond)


@contextmanager
def _answer_believed() -> Iterator[None]:
    """Any response on a connection ends the message whose call is in flight there."""

    def believe(message: Message, called: CallResult, max_attempts: int) -> CallOutcome:
        """Evaluate a response as if it had the attempt id of the message."""
        rest = tuple(it for it in called.headers if it[0] != "amberlug-attempt-id")
        named = (("amberlug-attempt-id", message.attempt_id), *rest)
        return evaluate_result(message, CallResult(called.verdict, called.status, named), max_attempts)

    with _answer_by_order(), patch.object(delivery, "evaluate_result", believe):
        yield


@contextmanager
def _out_elsewhere() -> Iterator[None]:
    """A new shard owner calls at once the messages that the former owner has in flight."""
    handover = ShardHandover.on_handover

    def nothing_out(self: ShardHandover, message: Handover, origin: str, respond: Responder) -> None:
        """Handle a handover without its list of calls in flight."""
        handover(self, replace(message, in_flight=()), origin, respond)

    nothing_out.__dict__.update(handover.__dict__)  # its declared message type
    with patch.object(ShardHandover, "on_handover", nothing_out):
        yield


def _order_again() -> AbstractContextManager[Any]:
    """A command whose outcome is unknown is forwarded a second time."""
    submit = CommandService.submit

    def twice(self: CommandService, command: SubmittedCommand, on_outcome: OutcomeCallback) -> None:
        """Submit a command, and submit it again if its outcome is unknown."""

        def receive(outcome: Result[CommandOutcome, ProposalRejected]) -> None:
            """Submit the command again if its outcome is unknown; otherwise pass the outcome on."""
            if isinstance(outcome, Err) and outcome.err_value.reason is RejectionReason.OUTCOME_UNKNOWN:
                submit(self, command, on_outcome)
            else:
                on_outcome(outcome)

        submit(self, command, receive)

    return patch.object(CommandService, "submit", twice)


FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "answer-by-order": (_answer_by_order, "answers"),
    "attempt-by-order": (_attempt_by_order, "answers"),
    "read-answer-lost": (_read_answer_lost, "answers"),
    "silent-open": (_silent_open, "answers"),
    "sent-again": (_sent_again, "answers"),
    "extra-kept": (_extra_kept, "answers"),
    "reply-by-order": (_reply_by_order, "answers"),
    "reply-after-replacement": (_reply_after_replacement, "answers"),
    "answer-to-next": (_answer_to_next, "answers"),
    "answer-again-within": (_answer_again_within, "answers"),
    "answer-believed": (_answer_believed, "answers"),
    "out-elsewhere": (_out_elsewhere, "roll"),
    "order-again": (_order_again, "config"),
    "unsent-after-dial": (_unsent_after_dial, "answers"),
}
