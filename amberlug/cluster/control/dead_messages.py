"""Operators' calls that read dead messages, those that ended without success, from storage nodes. No I/O."""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable, Sequence
from urllib.parse import parse_qs

from result import Err, Ok, Result

from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.peer_query import PeerQuery, Replies
from amberlug.cluster.control.state_entries import StoreState
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call
from amberlug.cluster.interfaces import Json, Runtime
from amberlug.cluster.storage.content_messages import ContentReply, ContentRequest
from amberlug.cluster.storage.operator_messages import (
    DEAD_MESSAGES_PER_PAGE,
    DeadMessage,
    DeadMessagesReply,
    DeadMessagesRequest,
)
from amberlug.cluster.values import value


class DeadMessageApi:
    """Handles calls that list and read messages that ended without success."""

    def __init__(self, runtime: Runtime, cluster_state: ClusterState) -> None:
        self._runtime, self._cluster_state = runtime, cluster_state

    @api_call("GET", "/-/Foreman.Dead")
    def list_messages(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with a page of messages sorted by id: at most `most` of those after the query's `after`."""
        message = _page_request(request.target)
        if isinstance(message, Err):
            respond(HttpResponse(400, {"cause": message.err_value}))
            return
        limit = message.ok_value.limit

        def receive(replies: Replies[DeadMessagesReply]) -> None:
            """Respond with the merged page; 503 if no storage node replied."""
            unresponsive = sorted(disk for disk, reply in replies.items() if isinstance(reply, Err))
            if len(unresponsive) == len(replies):
                respond(HttpResponse(503, {"cause": "no store answers"}, 1))
                return
            page = merge_pages(replies, limit)
            respond(HttpResponse(200, {**page.to_json(), "silent": unresponsive}))

        self._query_stores(message.ok_value, receive)

    @api_call("GET", "/-/Foreman.Dead/")
    def read_message(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with one message and its body."""

        def receive(replies: Replies[DeadMessagesReply]) -> None:
            """Read the body of the message found; else respond with 404, or 503 if replies are missing."""
            messages = merge_pages(replies, 1).messages
            is_incomplete = not replies or any(isinstance(reply, Err) for reply in replies.values())
            if messages:
                self._read_content(messages[0], replies, respond)
            elif is_incomplete:
                cause = "not all stores answer, and those that do don't know it"
                respond(HttpResponse(503, {"cause": cause}, 1))
            else:
                cause = "no such message has ended without success of late"
                respond(HttpResponse(404, {"cause": cause}))

        self._query_stores(DeadMessagesRequest(message_id=name), receive)

    def _query_stores(
        self, message: DeadMessagesRequest, on_replies: Callable[[Replies[DeadMessagesReply]], None]
    ) -> None:
        query = PeerQuery(self._runtime, on_replies)
        for disk, store in self._cluster_state.roster.items():
            if store.state is not StoreState.LOST:
                query.request(disk, store.address, message)
        query.finish_sending()

    def _read_content(self, message: DeadMessage, disks: Iterable[str], respond: RespondHttp) -> None:
        """Reply with a message and its body, read from any storage node that has it."""

        def receive(replies: Replies[ContentReply]) -> None:
            """Respond with the message and the first body received; 503 if there is none."""
            for reply in replies.values():
                if isinstance(reply, Ok) and reply.ok_value.content is not None:
                    text = base64.b64encode(reply.ok_value.content).decode()
                    respond(HttpResponse(200, {**message_to_json(message), "body": text}))
                    return
            respond(HttpResponse(503, {"cause": "no store that answers has its bytes"}, 1))

        query = PeerQuery(self._runtime, receive)
        for disk in disks:
            store = self._cluster_state.roster.get(disk)
            if store is not None:
                query.request(disk, store.address, ContentRequest(message.message_id))
        query.finish_sending()


def _page_request(target: str) -> Result[DeadMessagesRequest, str]:
    """Parse the query of a request target into a request to storage nodes, or return its error."""
    query = parse_qs(target.partition("?")[2])
    after, limit = query.get("after", [""])[0], query.get("most", [str(DEAD_MESSAGES_PER_PAGE)])[0]
    if not limit.isdigit() or not 0 < int(limit) <= DEAD_MESSAGES_PER_PAGE:
        return Err(f"most: no number from 1 to {DEAD_MESSAGES_PER_PAGE}")
    return Ok(DeadMessagesRequest(after=after, limit=int(limit)))


@value
class DeadMessagePage:
    """One page of messages for an operator, sorted by id.

    :param next_after: the id after which the next page starts; None on the last page.
    """

    messages: Sequence[DeadMessage]
    next_after: str | None = None

    def to_json(self) -> Json:
        """Return the page as sent to operators."""
        document: Json = {"rows": [message_to_json(message) for message in self.messages]}
        return document if self.next_after is None else {**document, "after": self.next_after}


def merge_pages(replies: Replies[DeadMessagesReply], limit: int) -> DeadMessagePage:
    """Merge the pages of the storage nodes that replied into one page of at most `limit` messages."""
    pages = [reply.ok_value for reply in replies.values() if isinstance(reply, Ok)]
    messages: dict[str, DeadMessage] = {}
    page_ends: list[str] = []  # last ids of truncated pages: messages after them may be missing
    for page in pages:
        for message in page.messages:
            known = messages.get(message.message_id)
            if known is None or _has_more_metadata(message, known):
                messages[message.message_id] = message
        if page.has_more:
            page_ends.append(page.messages[-1].message_id)
    names = sorted(messages)
    complete = [name for name in names if not page_ends or name <= min(page_ends)]
    selected = complete[:limit]
    next_after = selected[-1] if selected and len(selected) < len(names) else None
    return DeadMessagePage([messages[name] for name in selected], next_after)


def _has_more_metadata(message: DeadMessage, other: DeadMessage) -> bool:
    """Whether a message has the metadata that `other` lacks, whose node was notified only of the outcome."""
    return bool(message.metadata and not other.metadata.get("m"))


def message_to_json(message: DeadMessage) -> Json:
    """Return a message as sent to operators; the metadata keys are defined by `dispatch.message`."""
    metadata = message.metadata
    return {
        "id": message.message_id,
        "route": metadata.get("r", ""),
        "host": metadata.get("h", ""),
        "method": metadata.get("m", ""),
        "target": metadata.get("t", ""),
        "key": metadata.get("k", ""),
        "headers": metadata.get("x", []),
        "taken_at": metadata.get("w"),
        "kept_until": message.retain_until,
        "size": message.size_bytes,
    }
