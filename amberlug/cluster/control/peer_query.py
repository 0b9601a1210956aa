"""Queries to several peers at once, whose replies are collected within one deadline."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import Generic, TypeAlias

from result import Result

from amberlug.cluster.interfaces import RequestFailure, Runtime
from amberlug.cluster.rpc.messages import ReplyT, Request, request

QUERY_TIMEOUT_S = 0.6  # for peers to reply: operators wait for one second

Replies: TypeAlias = Mapping[str, Result[ReplyT, RequestFailure]]  # by request name


class PeerQuery(Generic[ReplyT]):
    """Collects the replies to several requests.

    :param on_replies: called once, with a reply or a failure for each request.
    """

    def __init__(self, runtime: Runtime, on_replies: Callable[[Replies[ReplyT]], None]) -> None:
        self._runtime, self._on_replies = runtime, on_replies
        self._replies: dict[str, Result[ReplyT, RequestFailure]] = {}
        self._pending = 1  # counts the query itself until all requests are sent

    def request(self, name: str, address: str, message: Request[ReplyT]) -> None:
        """Send a request whose reply is stored under a name."""
        self._pending += 1
        request(self._runtime, address, message, QUERY_TIMEOUT_S, partial(self._receive, name))

    def wait(self) -> Callable[[], None]:
        """Also wait for another event, at most until the timeout of a request.

        :returns: a callback that signals the event.
        """
        self._pending += 1
        waiting = [self._finish_one]

        def finish() -> None:
            """Stop waiting for the event; further calls have no effect."""
            if waiting:
                waiting.pop()()

        self._runtime.call_later(QUERY_TIMEOUT_S, finish)
        return finish

    def finish_sending(self) -> None:
        """Signal that all requests have been sent."""
        self._finish_one()

    def _receive(self, name: str, reply: Result[ReplyT, RequestFailure]) -> None:
        self._replies[name] = reply
        self._finish_one()

    def _finish_one(self) -> None:
        self._pending -= 1
        if self._pending == 0:
            self._on_replies(self._replies)
