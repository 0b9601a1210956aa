"""Operators' calls for messages that ended without success, as the storage nodes have them. No I/O."""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from result import Err, Ok

from amberlug.cluster.control.cluster_state import ClusterState
from amberlug.cluster.control.peer_query import PeerQuery, Replies
from amberlug.cluster.control.state_entries import StoreState
from amberlug.cluster.http.api import HttpRequest, HttpResponse, RespondHttp, api_call
from amberlug.cluster.interfaces import Json, Runtime
from amberlug.cluster.storage.limits import DEAD_MESSAGES_PER_PAGE
from amberlug.cluster.values import value

LIST_TAG = "dead"  # asks a storage node for a page of its messages, or for one of them
BODY_TAG = "body"  # asks a storage node for a message's bytes


class DeadMessageApi:
    """Reads messages that ended without success from the storage nodes."""

    def __init__(self, runtime: Runtime, cluster_state: ClusterState) -> None:
        self._runtime, self._cluster_state = runtime, cluster_state

    @api_call("GET", "/-/Foreman.Dead")
    def list_messages(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with one page of messages by name, those after the query's `after`, `most` at the most."""
        query = parse_qs(request.target.partition("?")[2])
        after, limit = query.get("after", [""])[0], query.get("most", [str(DEAD_MESSAGES_PER_PAGE)])[0]
        if not limit.isdigit() or not 0 < int(limit) <= DEAD_MESSAGES_PER_PAGE:
            respond(HttpResponse(400, {"cause": f"most: no number from 1 to {DEAD_MESSAGES_PER_PAGE}"}))
            return

        def receive(replies: Replies) -> None:
            unresponsive = sorted(disk for disk, reply in replies.items() if isinstance(reply, Err))
            if len(unresponsive) == len(replies):
                respond(HttpResponse(503, {"cause": "no store answers"}, 1))
                return
            page = merged(replies, int(limit))
            respond(HttpResponse(200, {**page, "silent": unresponsive}))

        self._query_stores({"after": after, "most": int(limit)}, receive)

    @api_call("GET", "/-/Foreman.Dead/")
    def read_message(self, request: HttpRequest, name: str, respond: RespondHttp) -> None:
        """Reply with one message and its bytes."""

        def receive(replies: Replies) -> None:
            rows = merged(replies, 1)["rows"]
            is_incomplete = not replies or any(isinstance(reply, Err) for reply in replies.values())
            if rows:
                self._read_body(rows[0], replies, respond)
            elif is_incomplete:
                cause = "not all stores answer, and those that do don't know it"
                respond(HttpResponse(503, {"cause": cause}, 1))
            else:
                cause = "no such message has ended without success of late"
                respond(HttpResponse(404, {"cause": cause}))

        self._query_stores({"id": name}, receive)

    def _query_stores(self, body: Json, on_replies: Callable[[Replies], None]) -> None:
        query = PeerQuery(self._runtime, on_replies)
        for disk, store in self._cluster_state.roster.items():
            if store.state is not StoreState.LOST:
                query.request(disk, store.address, LIST_TAG, body)
        query.finish_sending()

    def _read_body(self, row: Json, disks: Iterable[str], respond: RespondHttp) -> None:
        """Add a message's bytes to its row, from any storage node that has them."""

        def receive(replies: Replies) -> None:
            for reply in replies.values():
                if isinstance(reply, Ok) and reply.ok_value.body.get("found"):
                    text = base64.b64encode(reply.ok_value.blob).decode()
                    respond(HttpResponse(200, {**row, "body": text}))
                    return
            respond(HttpResponse(503, {"cause": "no store that answers has its bytes"}, 1))

        query = PeerQuery(self._runtime, receive)
        for disk in disks:
            store = self._cluster_state.roster.get(disk)
            if store is not None:
                query.request(disk, store.address, BODY_TAG, {"id": row["id"]})
        query.finish_sending()


@value
class _StorePages:
    """The pages of several storage nodes, put together.

    :param rows: by name of the message.
    :param ends: the last names of pages that were cut off: what follows them may be missing.
    """

    rows: dict[str, Json]
    ends: list[str]


def _collect(replies: Replies) -> _StorePages:
    pages = _StorePages({}, [])
    for reply in replies.values():
        if not isinstance(reply, Ok):
            continue
        body = reply.ok_value.body
        for row in body["rows"]:
            name, metadata = row[0], row[1]
            # A storage node that was notified only of the end knows nothing else of the message.
            if name not in pages.rows or (metadata and not pages.rows[name]["method"]):
                pages.rows[name] = _document(row)
        if body["more"]:
            pages.ends.append(body["rows"][-1][0])
    return pages


def merged(replies: Replies, limit: int) -> Json:
    """One page made of several storage nodes' pages; `after` is where the next one begins, if any."""
    pages = _collect(replies)
    names = sorted(pages.rows)
    complete = [name for name in names if not pages.ends or name <= min(pages.ends)]
    page = complete[:limit]
    document: Json = {"rows": [pages.rows[name] for name in page]}
    if page and len(page) < len(names):
        document["after"] = page[-1]
    return document


def _document(row: list[Any]) -> Json:
    """A message as operators get it, of the row that a storage node sends."""
    name, metadata, size_bytes, kept_until = row
    return {
        "id": name,
        "route": metadata.get("r", ""),
        "host": metadata.get("h", ""),
        "method": metadata.get("m", ""),
        "target": metadata.get("t", ""),
        "key": metadata.get("k", ""),
        "headers": metadata.get("x", []),
        "taken_at": metadata.get("w"),
        "kept_until": kept_until,
        "size": size_bytes,
    }
