"""Handles client requests: validates submissions, creates messages and builds responses. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from amberlug.cluster.control.shard_assignment import SHARD_COUNT
from amberlug.cluster.dispatch.message import Message, message_id_of, shard_of
from amberlug.cluster.dispatch.messages import AdmissionOutcome
from amberlug.cluster.edge.answer_history import AnswerHistory
from amberlug.cluster.edge.context import EdgeContext
from amberlug.cluster.edge.delivery import MessageDelivery
from amberlug.cluster.edge.forwarding import Forwarder
from amberlug.cluster.http.api import AdminApi, HttpRequest, HttpResponse
from amberlug.cluster.http.routing import Route
from amberlug.cluster.interfaces import Headers, Json
from amberlug.cluster.values import value

DEFAULT_CLIENT_TIMEOUT_S = 1.5  # if the client specifies no valid timeout
MAX_BODIES_MEMORY_FRACTION = 0.35  # of the node's memory; the rest is for connections and the process
MAX_ATTEMPT_ID_CHARACTERS = 58  # a message id, made of shard and attempt id, is limited to 64
MAX_NOT_BEFORE_DIGITS = 12  # milliseconds: about 30 years
RETRY_AFTER_S = 1  # sent with rejections; a failover of shards is complete by then
BYTES_PER_MB = 1e6

# Hop-by-hop headers, and headers rewritten on each delivery; they are not stored with the message.
HEADERS_NOT_FORWARDED = frozenset(
    (
        "host",
        "content-length",
        "transfer-encoding",
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "expect",
        "proxy-connection",
        "amberlug-time-remaining",
        "amberlug-attempt-id",
        "amberlug-not-before",
        "amberlug-target-instance",
        "amberlug-notify-uri",
    )
)


class ClientRequest(HttpRequest, Protocol):
    """A client request; header names are lower-case."""

    @property
    def headers(self) -> Headers:
        """Names and values in the order received."""


@value
class ClientResponse:
    """A response to a client: a JSON body, or bytes if `body` is None."""

    status: int
    body: Json | None = None
    headers: Headers = ()
    payload: bytes = b""


RespondToClient = Callable[[ClientResponse], None]


@value
class SubmissionHeaders:
    """The parsed headers of a submission."""

    attempt_id: str
    delay_ms: int  # after arrival
    timeout_s: float


def _is_number(text: str) -> bool:
    """Whether the text consists of ASCII digits only; `isdigit` alone also accepts superscripts."""
    return text.isascii() and text.isdigit()


def parse_submission_headers(request: ClientRequest) -> Result[SubmissionHeaders, str]:
    """Parse the headers of a submission.

    Without a valid timeout, `DEFAULT_CLIENT_TIMEOUT_S` applies.

    :returns: the headers, or a description of what is wrong with them.
    """
    attempt_id = request.header("amberlug-attempt-id")
    if (
        not attempt_id
        or len(attempt_id) > MAX_ATTEMPT_ID_CHARACTERS
        or not all(character.isalnum() or character in "-_." for character in attempt_id)
    ):
        return Err("Amberlug-Attempt-Id: none, or not one of up to 58 letters, digits or -_.")
    not_before = request.header("amberlug-not-before") or "0"
    if not _is_number(not_before) or len(not_before) > MAX_NOT_BEFORE_DIGITS:
        return Err("Amberlug-Not-Before: no whole number of milliseconds")
    remaining_ms = request.header("amberlug-time-remaining")
    has_timeout = remaining_ms is not None and _is_number(remaining_ms)
    timeout_s = int(remaining_ms or 0) / 1000 if has_timeout else DEFAULT_CLIENT_TIMEOUT_S
    return Ok(SubmissionHeaders(attempt_id, int(not_before), timeout_s))


class Intake:
    """Handles the client requests that arrive at an edge node."""

    def __init__(
        self,
        context: EdgeContext,
        delivery: MessageDelivery,
        forwarder: Forwarder,
        api: AdminApi,
        history: AnswerHistory,
    ) -> None:
        self._context, self._delivery, self._forwarder, self._api = context, delivery, forwarder, api
        self._history = history

    def handle(self, request: ClientRequest, respond: RespondToClient) -> None:
        """Handle a request: an API call under `/-/`, or a submission to a configured route."""
        if request.target.startswith("/-/"):
            self._api.handle(request, lambda response: respond(_client_response(response)))
            return
        if not (self._context.has_routes and self._context.session.is_confirmed):
            # There is no routing table, or it may be older than an acknowledged one.
            self._reject(respond, 503, "no configuration that a majority has confirmed")
            return
        route = self._context.routes.match(request.header("host") or "", request.target)
        if route is None:
            self._context.count("no route")
            respond(ClientResponse(404, {"cause": "no route"}))
            return
        self._submit(request, route, respond)

    def _submit(self, request: ClientRequest, route: Route, respond: RespondToClient) -> None:
        parsed = parse_submission_headers(request)
        if isinstance(parsed, Err):
            respond(ClientResponse(400, {"cause": parsed.err_value}))
            return
        if self._has_too_many_bytes():
            self._reject(respond, 429, "too much is in hand")
            return
        key = (request.header("amberlug-sequence-key") or "") if route.in_sequence else ""
        shard = self._choose_shard(key)
        if shard is None:
            self._reject(respond, 503, "no shard has an owner")
            return
        if shard in self._delivery.shard_owner.owned and self._context.replicator.check_unavailable():
            self._reject(respond, 503, "too few stores answer")
            return
        message = self._new_message(request, parsed.ok_value, route, shard, key)
        self._forwarder.submit(
            message,
            parsed.ok_value.timeout_s,
            lambda outcome: self._answer_submission(message.id, outcome, respond),
        )

    def _has_too_many_bytes(self) -> bool:
        memory_bytes = self._context.settings.memory_mb * BYTES_PER_MB
        return self._delivery.pending_bytes > MAX_BODIES_MEMORY_FRACTION * memory_bytes

    def _choose_shard(self, key: str) -> int | None:
        """The shard of a sequence key; without a key, one served here, or else any with an owner."""
        if key:
            return shard_of(key, SHARD_COUNT)
        shard_owner = self._delivery.shard_owner
        serving = [number for number, shard in shard_owner.owned.items() if shard.serving]
        if serving:
            return self._context.runtime.rng.choice(serving)
        with_owner = [
            number for number in range(len(shard_owner.table)) if shard_owner.owner_of(number) is not None
        ]
        return self._context.runtime.rng.choice(with_owner) if with_owner else None

    def _new_message(
        self, request: ClientRequest, submission: SubmissionHeaders, route: Route, shard: int, key: str
    ) -> Message:
        accepted_at = self._context.runtime.wall_clock()
        return Message(
            id=message_id_of(shard, submission.attempt_id),
            shard=shard,
            attempt_id=submission.attempt_id,
            host=request.header("host") or "",
            method=request.method,
            target=request.target,
            accepted_route=route.name,
            sequence_key=key,
            accepted_at=accepted_at,
            due_at=accepted_at + submission.delay_ms / 1000,
            headers=tuple(
                (name, text) for name, text in request.headers if name not in HEADERS_NOT_FORWARDED
            ),
            body=request.body,
            body_bytes=len(request.body),
            config_index=self._context.routes.index,
        )

    def _answer_submission(
        self, message_id: str, outcome: AdmissionOutcome, respond: RespondToClient
    ) -> None:
        if outcome is AdmissionOutcome.ACCEPTED:
            self._context.count("accepted")
            self._history.accepted(message_id)
            respond(ClientResponse(202, headers=(("Amberlug-Message-Name", message_id),)))
        elif outcome is AdmissionOutcome.OUTCOME_UNKNOWN:
            self._context.count("outcome unknown")
            respond(ClientResponse(504, {"cause": "it is not known whether the message is kept"}))
        else:
            self._reject(respond, 503, "not enough stores can be reached")

    def _reject(self, respond: RespondToClient, status: int, cause: str) -> None:
        """Respond that the message is not stored, and when the client may retry."""
        self._context.count("rejected")
        respond(ClientResponse(status, {"cause": cause}, _retry_after(RETRY_AFTER_S)))


def _retry_after(seconds: int) -> Headers:
    return (("Retry-After", str(seconds)),)


def _client_response(response: HttpResponse) -> ClientResponse:
    """Convert the response of an API call; a field `blob` holds bytes that replace the JSON body."""
    payload = response.body.get("blob")
    headers = _retry_after(response.retry_after) if response.retry_after is not None else ()
    if isinstance(payload, bytes):
        return ClientResponse(response.status, None, headers, payload)
    return ClientResponse(response.status, response.body, headers)
