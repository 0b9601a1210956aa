"""Operators' calls for messages that ended without success, as the storage nodes have them. No I/O."""

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
    """Reads messages that ended without success from the storage nodes."""

    def __init__(self, runtime: Runtime, cluster_state: ClusterState) -> None:
        self._runtime, self._cluster_state = runtime, cluster_state

    @api_call("GET", "/-/Foreman.Dead")
    def list_messages(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with one page of messages by name, those after the query's `after`, `most` at the most."""
        message = _page_request(request.target)
        if isinstance(message, Err):
            respond(HttpResponse(400, {"cause": message.err_value}))
            return
        limit = message.ok_value.limit

        def receive(replies: Replies[DeadMessagesReply]) -> None:
            unresponsive = sorted(disk for disk, reply in replies.items() if isinstance(reply, Err))
            if len(unresponsive) == len(replies):
                respond(HttpResponse(503, {"cause": "no store answers"}, 1))
                return
            page = merge_pages(replies, limit)
            respond(HttpResponse(200, {**page.to_json(), "silent": unresponsive}))

        self._query_stores(message.ok_value, receive)

    @api_call("GET", "/-/Foreman.Dead/")
    def read_message(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with one message and its bytes."""

        def receive(replies: Replies[DeadMessagesReply]) -> None:
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
        """Reply with a message and its bytes, from any of the storage nodes that has them."""

        def receive(replies: Replies[ContentReply]) -> None:
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
    """What to ask storage nodes for, or what is wrong with the query of a request's target."""
    query = parse_qs(target.partition("?")[2])
    after, limit = query.get("after", [""])[0], query.get("most", [str(DEAD_MESSAGES_PER_PAGE)])[0]
    if not limit.isdigit() or not 0 < int(limit) <= DEAD_MESSAGES_PER_PAGE:
        return Err(f"most: no number from 1 to {DEAD_MESSAGES_PER_PAGE}")
    return Ok(DeadMessagesRequest(after=after, limit=int(limit)))


@value
class DeadMessagePage:
    """One page of messages for an operator, by name.

    :param next_after: the name after which the next page begins; None after the last one.
    """

    messages: Sequence[DeadMessage]
    next_after: str | None = None

    def to_json(self) -> Json:
        """The page as operators get it."""
        document: Json = {"rows": [message_to_json(message) for message in self.messages]}
        return document if self.next_after is None else {**document, "after": self.next_after}


def merge_pages(replies: Replies[DeadMessagesReply], limit: int) -> DeadMessagePage:
    """One page made of the pages of those storage nodes that replied, with `limit` messages at the most."""
    pages = [reply.ok_value for reply in replies.values() if isinstance(reply, Ok)]
    messages: dict[str, DeadMessage] = {}
    page_ends: list[str] = []  # last names of pages that were cut off: what follows them may be missing
    for page in pages:
        for message in page.messages:
            known = messages.get(message.message_id)
            if known is None or _knows_more(message, known):
                messages[message.message_id] = message
        if page.has_more:
            page_ends.append(page.messages[-1].message_id)
    names = sorted(messages)
    complete = [name for name in names if not page_ends or name <= min(page_ends)]
    selected = complete[:limit]
    next_after = selected[-1] if selected and len(selected) < len(names) else None
    return DeadMessagePage([messages[name] for name in selected], next_after)


def _knows_more(message: DeadMessage, other: DeadMessage) -> bool:
    """Whether a storage node stored the message, where another one was notified only of its end."""
    return bool(message.metadata and not other.metadata.get("m"))


def message_to_json(message: DeadMessage) -> Json:
    """A message as operators get it; names of its metadata are those of `dispatch.message`."""
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
