"""Simulated transport for the core: connection setup, idle connections, latency, responses, timeouts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from amberlug.core.messages import Attempt, AttemptResult
from amberlug.core.ports import Address, Calls
from amberlug.lab.clock import ProcessClock, Timer
from amberlug.lab.partners import Answer, Endpoint, Pending
from amberlug.policy.interface import Result
from amberlug.standin.checker import Checker

UNCONNECTED = Answer(Result.UNCONNECTED)


@dataclass(slots=True, eq=False)
class ActiveCall:
    """One call in progress."""

    endpoint: str
    attempts: list[Attempt]
    timer: Timer | None = None
    pending: Pending | None = None
    over: bool = False


class ModelTransport:
    """Calls of one relay process. `work` queues response handling until the relay's CPU is free."""

    def __init__(
        self,
        endpoints: Mapping[str, Endpoint],
        clock: ProcessClock,
        network_us: int,
        idle_us: int,
        work: Callable[[Callable[[], None]], None],
        checker: Checker,
        dial_us: int,
        is_partitioned: Callable[[str], bool],
    ) -> None:
        self._endpoints, self._clock, self._work, self._checker = endpoints, clock, work, checker
        # `is_partitioned` tells whether a network partition blocks an endpoint.
        self._dial_us, self._is_partitioned = dial_us, is_partitioned
        self._network_us, self._idle_us = network_us, idle_us
        self._idle: dict[str, deque[int]] = {}
        self._active_calls: dict[Attempt, ActiveCall] = {}

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._active_calls)

    def bind(self, calls: Calls) -> None:
        """Set the callbacks; called before any other method."""
        self._calls = calls

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Call an endpoint on an idle connection, or on a new one if there is none or `fresh` is set."""
        out, idle, now = ActiveCall(endpoint, attempts), self._idle.get(endpoint), self._clock.now_us()
        for attempt in attempts:
            self._active_calls[attempt] = out
        while idle and idle[0] <= now - self._idle_us:
            idle.popleft()
        reused = bool(idle) and not fresh
        if reused and idle:
            idled_us = now - idle.pop()
            for attempt in attempts:
                attempt.idle_us = idled_us
            self._clock.at(now + 1, self._send, out, True)
        else:
            self._clock.at(now + 2 * self._network_us, self._send, out, False)

    def _send(self, out: ActiveCall, reused: bool) -> None:
        cleared = self._calls.clear(out.attempts)
        for attempt in out.attempts:
            if attempt not in cleared:
                self._ended(attempt, AttemptResult(Result.UNSENT))
        if not cleared:
            return
        out.attempts = cleared
        for attempt in cleared:
            attempt.reused = reused
        until_us = min(it.until_us for it in cleared)
        out.timer = self._clock.at(until_us, self._time_out, out)
        self._clock.at(self._clock.now_us() + self._network_us, self._deliver, out, reused)

    def _deliver(self, out: ActiveCall, reused: bool) -> None:
        if out.over:
            return
        if self._is_partitioned(out.endpoint):
            if not reused:  # a new connection fails; an established one stays silent
                self._clock.at(self._clock.now_us() + self._dial_us, self._answer, out, UNCONNECTED)
            return
        endpoint = self._endpoints[out.endpoint]
        names = [it.message.name for it in out.attempts]

        def answered(answer: Answer) -> None:
            """Deliver the response after the network delay; it is lost in a partition."""
            if self._is_partitioned(out.endpoint):
                return
            at_us = self._clock.now_us() + self._network_us
            self._clock.at(at_us, self._work, lambda: self._answer(out, answer))

        out.pending = endpoint.receive_call(self._checker, names, reused, answered)
        if out.pending is None:
            answered(UNCONNECTED)

    def _answer(self, out: ActiveCall, answer: Answer) -> None:
        if out.over or answer.result is None:
            return
        if answer.result is not Result.RESET and answer.result is not Result.UNCONNECTED:
            self._idle.setdefault(out.endpoint, deque()).append(self._clock.now_us())
        self._finish(out, AttemptResult(answer.result, answer.wait_us))

    def _time_out(self, out: ActiveCall) -> None:
        if not out.over:
            self._give_up(out, AttemptResult(Result.TIMED_OUT))

    def _give_up(self, out: ActiveCall, how: AttemptResult) -> None:
        if out.pending is not None:
            endpoint = self._endpoints[out.endpoint]
            (endpoint.call_abandoned if self._is_partitioned(out.endpoint) else endpoint.connection_closed)(
                out.pending
            )
        self._finish(out, how)

    def _finish(self, out: ActiveCall, how: AttemptResult) -> None:
        out.over = True
        if out.timer is not None:
            out.timer.cancel()
        for attempt in out.attempts:
            self._ended(attempt, how)

    def _ended(self, attempt: Attempt, how: AttemptResult) -> None:
        if not attempt.ended:
            attempt.ended = True
            del self._active_calls[attempt]
            self._calls.ended(attempt, how)

    def call_off(self, attempt: Attempt) -> None:
        """Call off an attempt; the call is abandoned once all its attempts are called off."""
        attempt.called_off = True
        if (out := self._active_calls.get(attempt)) is not None and all(it.called_off for it in out.attempts):
            self._give_up(out, AttemptResult(Result.CALLED_OFF))

    def abandon(self) -> None:
        """Close all connections when the process ends, without reporting results."""
        for out in set(self._active_calls.values()):
            out.over = True
            if out.pending is not None:
                self._endpoints[out.endpoint].connection_closed(out.pending)

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Probe an endpoint; after a round trip, `ended` gets `DONE`, or `RESET` if the probe failed."""
        well = not self._is_partitioned(endpoint) and self._endpoints[endpoint].receive_probe(self._checker)
        self._clock.at(
            self._clock.now_us() + 2 * self._network_us,
            ended,
            AttemptResult(Result.DONE if well else Result.RESET),
        )

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Close an endpoint's idle connections if it has no address any more."""
        if address is None:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections to an endpoint."""
        self._idle.pop(endpoint, None)
