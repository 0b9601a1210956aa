"""Dispatches the due messages of one service within its rate limit and endpoint slots. No I/O.

`amberlug.policy.account` enforces the rate limit as c + r + u <= M over a sliding window, where M is the
number of units allowed, c those consumed, r those reserved by calls in flight, and u those of unknown
outcome.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.cluster.control.published_state import EndpointCondition
from amberlug.cluster.dispatch.call_outcome import NOT_EXECUTED_HEADER
from amberlug.cluster.dispatch.endpoint_pool import Endpoint, EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import (
    CONNECT_TIMEOUT_S,
    CallResult,
    CallVerdict,
    EndpointCall,
    Endpoints,
    Headers,
    Runtime,
    TimerHandle,
)
from amberlug.cluster.values import value
from amberlug.core.default_settings import message_class, settings
from amberlug.policy.account import MIN_WINDOW_US, SECOND, Account
from amberlug.policy.interface import Effect

MAX_CALLS = 1024  # calls in flight for one service at one edge
TIMEOUT_SLACK_S = 0.15  # added to the endpoint's own timeout, for its response to arrive
MIN_TIMER_S = 0.001  # also added to a backoff's end, so that it has passed when the timer fires
_MESSAGE = message_class("deferred", Effect.UNSAFE, deadline=2.0)
_SETTINGS = settings([_MESSAGE], slots=MAX_CALLS)  # `quota_share` accounts for other edges


def longest_call_s(timeout_s: float) -> float:
    """The longest time, in seconds, from the start of a call to its result.

    :param timeout_s: the time that the endpoint has to respond.
    """
    return CONNECT_TIMEOUT_S + timeout_s + TIMEOUT_SLACK_S


@dataclass(slots=True, eq=False)
class InFlightCall:
    """A call in progress."""

    message: Message
    endpoint: Endpoint
    start_us: int  # monotonic clock


@value
class DispatchCallbacks:
    """Callbacks that the owner of the messages passes to a dispatcher."""

    timeout_s: Callable[[Message], float]  # time that an endpoint has to respond
    on_result: Callable[[Message, CallResult], None]  # called when a call has ended


class Dispatcher:
    """Dispatches the due messages of one service, ordered by precedence and then by due time."""

    def __init__(
        self,
        name: str,
        runtime: Runtime,
        pool: EndpointPool,
        endpoints: Endpoints,
        callbacks: DispatchCallbacks,
    ) -> None:
        self.name, self._runtime, self._pool, self._endpoints = name, runtime, pool, endpoints
        self._callbacks = callbacks
        self._account = Account(_SETTINGS, None)
        self._backlog: list[tuple[int, float, int, Message]] = []  # a heap by rank and due time
        self.calls: dict[InFlightCall, None] = {}  # an ordered set: calls by start time
        self._tie_breakers = itertools.count()
        self._timer: TimerHandle | None = None

    def set_rate(self, rate: float, quota_share: float) -> None:
        """Set the part of the service's rate limit that this edge may use.

        :param rate: calls per second over all edges; 0 for no limit.
        :param quota_share: the fraction of it for this edge, above 0 and at most 1.
        """
        units = rate * quota_share if rate > 0 else float("inf")
        account = self._account
        account.window = MIN_WINDOW_US
        if 1.0 < units < float("inf"):
            # Only whole units are consumed: 1.6 per second would round down to 1, so use 2 per 1.25 s.
            account.window = int(MIN_WINDOW_US * math.ceil(units) / units)
            units = math.ceil(units)
        account.units = units
        account.stretched_window = int(account.window / min(1.0, units))

    def add(self, message: Message) -> None:
        """Queue a message that is due and the first of its key, and send it as soon as possible."""
        heapq.heappush(self._backlog, (message.rank, message.due_at, next(self._tie_breakers), message))
        self.send_due()

    def _now_us(self) -> int:
        return int(self._runtime.now() * SECOND)

    def send_due(self) -> None:
        """Send as many queued messages as the rate limit and the endpoints allow now."""
        while self._backlog:
            message = self._backlog[0][3]
            if message.ended or message.in_flight or message.service != self.name:
                heapq.heappop(self._backlog)
                continue
            now_us = self._now_us()
            allowed_at_us = self._account.opening(now_us)
            if allowed_at_us > now_us:
                self._set_timer((allowed_at_us - now_us) / SECOND)
                return
            endpoint = self._pool.pick(self.name, self._runtime.now(), message.last_endpoint_id)
            if endpoint is None or len(self.calls) >= MAX_CALLS:
                self._wait_for_endpoint()
                return
            heapq.heappop(self._backlog)
            self._call(message, endpoint, now_us)

    def _wait_for_endpoint(self) -> None:
        now = self._runtime.now()
        available_at = self._pool.next_available_at(self.name, now)
        if available_at is not None:
            self._set_timer(available_at - now + MIN_TIMER_S)

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._runtime.call_later(max(MIN_TIMER_S, delay_s), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.send_due()

    def _call(self, message: Message, endpoint: Endpoint, now_us: int) -> None:
        assert message.body is not None, "body of the message is not loaded"
        timeout_s = self._callbacks.timeout_s(message)
        call = InFlightCall(message, endpoint, now_us)
        self._account.reserved[call] = None
        self.calls[call] = None
        message.in_flight = True
        message.call_count += 1
        message.last_endpoint_id = endpoint.id
        endpoint.calls_in_flight += 1
        endpoint_call = EndpointCall(
            endpoint.address,
            endpoint.id,
            message.attempt_id,
            message.method,
            message.target,
            self._headers(message, endpoint, timeout_s),
            message.body,
            timeout_s + TIMEOUT_SLACK_S,
        )
        message.call_ends_by = self._runtime.now() + longest_call_s(timeout_s)
        self._endpoints.call(endpoint_call, lambda result: self._on_result(call, result))

    def _headers(self, message: Message, endpoint: Endpoint, timeout_s: float) -> Headers:
        headers = [
            ("Host", message.host),
            *message.headers,
            ("Amberlug-Attempt-Id", message.attempt_id),
            ("Amberlug-Time-Remaining", str(max(1, int(timeout_s * 1000)))),
        ]
        if not endpoint.is_fixed:  # another service may use the address of an announced endpoint by now
            headers.append(("Amberlug-Target-Instance", endpoint.id))
        return tuple(headers)

    def _on_result(self, call: InFlightCall, result: CallResult) -> None:
        """Convert a call's reserved unit to a consumed one, dated at the start of the call."""
        del self.calls[call]
        del self._account.reserved[call]
        call.message.call_ends_by = None
        call.endpoint.calls_in_flight -= 1
        is_answered = result.verdict is CallVerdict.ANSWERED
        was_executed = is_answered and result.header(NOT_EXECUTED_HEADER) is None
        was_reached = result.verdict is not CallVerdict.NOT_CONNECTED
        self._account.buckets.add(call.start_us, 1 if was_reached else 0, was_executed)
        if is_answered:
            call.endpoint.on_response()
            self._update_from_response(call, result)
        elif result.verdict is not CallVerdict.CONNECTION_LOST:
            call.endpoint.on_unreachable(self._runtime.now())
        self._callbacks.on_result(call.message, result)
        self.send_due()

    def _update_from_response(self, call: InFlightCall, result: CallResult) -> None:
        """Update the state of endpoint and rate limit from a response."""
        now_us = self._now_us()
        if result.status == 421 and call.endpoint.is_fixed:
            call.endpoint.on_unreachable(self._runtime.now())  # the configured address is its only one
        elif result.status == 421:
            call.endpoint.condition = EndpointCondition.GONE  # another incarnation now uses its address
            self._endpoints.close_idle_connections(call.endpoint.address)
        elif result.status == 503:
            # 503 tells about the endpoint's slots at that moment, not about the service's rate. If it also
            # lowered the learned rate, the burst after a start would throttle edges to a few units for ten
            # seconds.
            call.endpoint.on_full(self._runtime.now())
        elif result.status == 429:
            call.endpoint.on_full(self._runtime.now())
            self._learn_rate(call, result, now_us)
        else:
            usual_us = self._account.usual_us
            self._account.usual_us += (now_us - call.start_us - usual_us) // 8

    def _learn_rate(self, call: InFlightCall, result: CallResult, now_us: int) -> None:
        if call.start_us > self._account.learned_us:
            self._account.refused(now_us, 1.0)
        retry_after = result.header("retry-after")
        if retry_after is not None and retry_after.isdigit():
            blocked_until = now_us + int(retry_after) * SECOND
            self._account.blocked_until = max(self._account.blocked_until, blocked_until)
