"""Calls and probes to endpoints over pooled connections."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Mapping, Sequence
from functools import partial
from typing import Any

from amberlug.core.attempt_clearance import clear_attempts
from amberlug.core.messages import Attempt, AttemptResult, Message
from amberlug.core.ports import Address, Calls, Clock
from amberlug.http.link import ConnectionLostError, OutgoingConnection, Reply, dial
from amberlug.policy.interface import Result, Settings

IDLE_MARGIN_S = 0.5  # time by which an idle connection is closed before the endpoint's idle timeout
MAX_WAIT_MS = 3_600_000  # cap on the wait that an endpoint asks for
BATCH_RESULTS = {
    "ok": AttemptResult(Result.DONE),
    "error": AttemptResult(Result.ERROR),
    "later": AttemptResult(Result.REFUSED),
    "gone": AttemptResult(Result.UNSENT, over=True),
    "exhausted": AttemptResult(Result.UNSENT),
}


def parse_load_report(text: str, names: Sequence[str]) -> tuple[float, ...]:
    """Parse the values of a load report, in the order of the settings; () if it is malformed."""
    found: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            found[name] = float(value)
        except ValueError:
            return ()
        # Rejects impossible values, which would otherwise enter the limit of the endpoint's account.
        if not 0 <= found[name] < math.inf:
            return ()
    return tuple(found.get(name, 0.0) for name in names) if names else ()


def parse_wait_us(reply: Reply) -> int:
    """Parse the requested wait in microseconds; 0 if it is malformed."""
    text = reply.headers.get("wait-ms", "").strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    # Prevents the error that int() raises for very long digit strings; no message lives as long as the cap.
    return min(int(text[:18]), MAX_WAIT_MS) * 1000


def parse_result(reply: Reply, names: Sequence[str]) -> AttemptResult:
    """Map the response to a call with a single result to that result."""
    told = parse_load_report(reply.headers.get("srv-load", ""), names)
    if reply.status == 200:
        return AttemptResult(Result.DONE, parse_wait_us(reply), report=told)
    if reply.status in (429, 503):
        if reply.headers.get("slots-taken") == "1":
            return AttemptResult(Result.UNSENT, report=told)
        return AttemptResult(Result.REFUSED, parse_wait_us(reply), report=told)
    if reply.status in (400, 413, 504):  # not executed
        return AttemptResult(Result.UNSENT, report=told)
    if reply.status == 410:
        return AttemptResult(Result.UNSENT, over=True, report=told)
    return AttemptResult(Result.ERROR, parse_wait_us(reply), report=told)


def parse_batch_results(reply: Reply, names: Sequence[str]) -> Mapping[str, AttemptResult]:
    """Parse the results per message of a batch response; a message it omits may have been executed."""
    told, wait = parse_load_report(reply.headers.get("srv-load", ""), names), parse_wait_us(reply)
    ends: dict[str, AttemptResult] = {}
    for line in reply.body.decode("latin-1").splitlines():
        name, _, word = line.strip().partition(" ")
        if word in BATCH_RESULTS:
            known = BATCH_RESULTS[word]
            ends[name] = AttemptResult(known.result, wait, known.over, told)
    return ends


def lost(error: ConnectionLostError) -> AttemptResult:
    """Map a lost connection to a result: a call that was written or partly answered may have run."""
    # A corrupt response head is not trusted: a 429 in it does not prove that the call was not executed.
    if error.answered:
        return AttemptResult(Result.SPOILT)
    return AttemptResult(Result.RESET if error.written else Result.UNCONNECTED)


class ConnectionPool:
    """Connections to endpoints; the most recently used one is reused first."""

    def __init__(self, settings: Settings, most: int) -> None:
        self._most = most
        self._dial = settings.dial_us / 1e6
        self._keep_s = max(0.1, settings.idle_us / 1e6 - IDLE_MARGIN_S)
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, list[OutgoingConnection]] = {}
        # Idle connections with their endpoints and timers, in the order in which they became idle.
        self._timers: dict[OutgoingConnection, tuple[str, asyncio.TimerHandle]] = {}
        self._connections: set[OutgoingConnection] = set()
        self.dialing = 0

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Set the address of an endpoint, or remove it."""
        if address != self._addresses.get(endpoint):
            self.close_idle(endpoint)
        if address is None:
            self._addresses.pop(endpoint, None)
        else:
            self._addresses[endpoint] = address

    async def take(self, endpoint: str, seconds: float, fresh: bool = False) -> OutgoingConnection | None:
        """Acquire an idle connection or open a new one; None if none could be established."""
        if fresh and endpoint in self._idle:
            # The new one replaces it in the endpoint's connection table.
            self._close_idle_connection(self._idle[endpoint][0])
        while not fresh and (idle := self._idle.get(endpoint)) is not None:
            connection = idle[-1]
            self._remove_idle(connection)
            if connection.usable:
                connection.idled_us = int((asyncio.get_running_loop().time() - connection.idle_since) * 1e6)
                return connection
            connection.close()
        address = self._addresses.get(endpoint)
        if address is None:
            return None
        self._evict_idle()
        self.dialing += 1
        try:
            dialed = await dial(*address, min(self._dial, seconds))
        finally:
            self.dialing -= 1
        if dialed is not None:
            self._connections.add(dialed)
            dialed.on_lost = self._lost
        return dialed

    def _evict_idle(self) -> None:
        """Close the connection that has been idle longest if another one would exceed the maximum."""
        # Prevents running out of file descriptors. Active calls cannot exceed them: the decision module has
        # fewer slots than there are connections.
        if len(self._connections) + self.dialing >= self._most and self._timers:
            self._close_idle_connection(next(iter(self._timers)))

    def give(self, endpoint: str, connection: OutgoingConnection) -> None:
        """Return a connection to the pool for reuse, for less than the endpoint's idle timeout."""
        # Drops connections to an address that the endpoint no longer has, or to a removed endpoint.
        if not connection.usable or self._addresses.get(endpoint) != connection.where:
            connection.close()
            return
        connection.reused, connection.idle_since = True, asyncio.get_running_loop().time()
        self._idle.setdefault(endpoint, []).append(connection)
        timer = asyncio.get_running_loop().call_later(self._keep_s, self._close_idle_connection, connection)
        self._timers[connection] = endpoint, timer

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        for connection in list(self._idle.get(endpoint, ())):
            self._close_idle_connection(connection)

    def _close_idle_connection(self, connection: OutgoingConnection) -> None:
        self._remove_idle(connection)
        connection.close()

    def _lost(self, connection: OutgoingConnection) -> None:
        self._remove_idle(connection)
        self._connections.discard(connection)

    def _remove_idle(self, connection: OutgoingConnection) -> None:
        """Remove a connection from the idle ones, and the endpoint's entry if it was the last."""
        if connection not in self._timers:
            return
        endpoint, timer = self._timers.pop(connection)
        timer.cancel()
        self._idle[endpoint].remove(connection)
        if not self._idle[endpoint]:
            del self._idle[endpoint]


class HttpTransport:
    """Makes calls, one at a time per connection, and reports the result of each attempt once."""

    def __init__(self, settings: Settings, connections: int, clock: Clock) -> None:
        self._settings, self._clock = settings, clock.now_us
        self.pool = ConnectionPool(settings, connections)
        self.locate, self.close_idle = self.pool.locate, self.pool.close_idle
        self._tasks: set[asyncio.Task[None]] = set()
        self._wakeups: dict[Attempt, asyncio.Future[None]] = {}

    def bind(self, calls: Calls) -> None:
        """Set the core, which clears attempts to be sent and receives their results."""
        self._calls, self._ended = calls, calls.ended

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._wakeups)

    def abandon(self) -> None:
        """Cancel all calls, close all connections and report no more results."""
        self._ended = _discard_result
        for task in list(self._tasks):
            task.cancel()
        self.pool.close()

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Send one call with one or more messages, on a new connection if `fresh` is set."""
        self._arm_wakeup(attempts)
        self._start(self._call(endpoint, attempts, fresh))

    def _arm_wakeup(self, attempts: Sequence[Attempt]) -> asyncio.Future[None]:
        """Create the future that wakes the call's task on a response, a timeout or a cancelled attempt."""
        wakeup = asyncio.get_running_loop().create_future()
        self._wakeups.update(dict.fromkeys((it for it in attempts if not it.ended), wakeup))
        return wakeup

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its result is reported like any other."""
        attempt.called_off = True
        if (wakeup := self._wakeups.get(attempt)) is not None:
            _wake(wakeup)

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Send a health probe to an endpoint."""
        self._start(self._probe(endpoint, ended))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _report(self, attempt: Attempt, how: AttemptResult) -> None:
        if not attempt.ended:
            attempt.ended = True
            del self._wakeups[attempt]
            self._ended(attempt, how)

    def _report_all(self, attempts: Sequence[Attempt], how: AttemptResult) -> None:
        for attempt in attempts:
            self._report(attempt, how)

    async def _call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        try:
            until = max(attempt.until_us for attempt in attempts)
            connection = await self.pool.take(endpoint, max(0.0, (until - self._clock()) / 1e6), fresh)
            if connection is None:
                self._report_all(attempts, AttemptResult(Result.UNCONNECTED))
                return
            try:
                await self._send_cleared(connection, attempts)
            finally:
                self.pool.give(endpoint, connection)
        finally:
            # Ensures that an error never leaves an attempt without a result, which would occupy its slot
            # forever.
            self._report_all(attempts, AttemptResult(Result.RESET))

    async def _send_cleared(self, connection: OutgoingConnection, attempts: list[Attempt]) -> None:
        # Connecting takes time: a drain, a requested wait or an outcome may have ruled out sending since.
        cleared = await clear_attempts(self._calls, attempts)
        self._report_all(
            [attempt for attempt in attempts if attempt not in cleared], AttemptResult(Result.UNSENT)
        )
        for attempt in cleared:
            attempt.reused, attempt.idle_us = connection.reused, connection.idled_us
        if cleared:
            await self._exchange(connection, cleared)

    async def _exchange(self, connection: OutgoingConnection, attempts: list[Attempt]) -> None:
        reply = self._write(connection, attempts)
        while not reply.done():
            waits_us = self._expire(attempts)
            if not any(not attempt.ended for attempt in attempts):
                connection.close()  # an abandoned attempt must not stay outstanding on an open connection
                return
            wakeup = self._arm_wakeup(attempts)
            reply.add_done_callback(partial(_wake, wakeup))
            timer = asyncio.get_running_loop().call_later(waits_us / 1e6, _wake, wakeup)
            await wakeup
            timer.cancel()
        try:
            self._read(reply.result(), attempts)
        except ConnectionLostError as error:
            done = error.ok and len(attempts) == 1  # a batch needs the complete response for its results
            self._report_all(attempts, AttemptResult(Result.DONE) if done else lost(error))

    def _write(self, connection: OutgoingConnection, attempts: list[Attempt]) -> asyncio.Future[Reply]:
        left_ms = max(1, (max(it.until_us for it in attempts) - self._clock()) // 1000)
        headers = [("Req-Deadline-Ms", str(left_ms))]
        if len(attempts) > 1:
            return connection.request("POST", "/hook/batch", headers, b"".join(map(_batch_entry, attempts)))
        message: Message = attempts[0].message
        headers.append(("Req-Id", message.name))
        if message.key is not None:
            headers.append(("Idempotency-Key", message.key))
        return connection.request("POST", "/hook", headers, message.body)

    def _read(self, reply: Reply, attempts: list[Attempt]) -> None:
        names = self._settings.report_names
        if len(attempts) == 1 or reply.status != 200:
            self._report_all(attempts, parse_result(reply, names))
            return
        if min(attempt.until_us for attempt in attempts) <= self._clock():
            # A delayed event loop may read a late batch response before it times the call out. Its results
            # must not count for any message. Cost: a batch response that arrived just in time is discarded
            # too.
            self._report_all(attempts, AttemptResult(Result.SPOILT, parse_wait_us(reply)))
            return
        ends = parse_batch_results(reply, names)
        for attempt in attempts:
            self._report(
                attempt, ends.get(attempt.message.name, AttemptResult(Result.ERROR, parse_wait_us(reply)))
            )

    def _expire(self, attempts: list[Attempt]) -> int:
        """Report timed out and cancelled attempts; returns the microseconds until the next timeout.

        While other attempts of the call are pending, an attempt whose message has no outcome stays
        outstanding with them: retrying it now would send a duplicate, and closing the connection would fail
        the others.
        """
        now = self._clock()
        left = [attempt for attempt in attempts if not attempt.ended]
        alive = [attempt for attempt in left if not attempt.called_off and attempt.until_us > now]
        for attempt in left:
            if attempt not in alive and (not alive or attempt.message.over):
                result = Result.CALLED_OFF if attempt.called_off else Result.TIMED_OUT
                self._report(attempt, AttemptResult(result))
        return min((attempt.until_us for attempt in alive), default=now) - now

    async def _probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        how = AttemptResult(Result.RESET)
        try:
            how = await self._send_probe(endpoint)
        finally:
            ended(how)

    async def _send_probe(self, endpoint: str) -> AttemptResult:
        seconds, names = self._settings.dial_us / 1e6, self._settings.report_names
        connection = await self.pool.take(endpoint, seconds)
        if connection is None:
            return AttemptResult(Result.UNCONNECTED)
        try:
            async with asyncio.timeout(seconds):
                reply = await connection.request("GET", "/metrics/load" if names else "/alive", [])
        except TimeoutError:
            connection.close()
            return AttemptResult(Result.TIMED_OUT)
        except ConnectionLostError as error:
            return lost(error)
        self.pool.give(endpoint, connection)
        how = parse_result(reply, names)
        told = how.report or parse_load_report(reply.body.decode("latin-1"), names)
        return AttemptResult(how.result, how.wait_us, report=told)


def _discard_result(attempt: Attempt, how: AttemptResult) -> None:
    """Discard the results of calls that a closing relay abandoned: they are not known."""


def _wake(wakeup: asyncio.Future[None], _: object = None) -> None:
    if not wakeup.done():
        wakeup.set_result(None)


def _batch_entry(attempt: Attempt) -> bytes:
    message = attempt.message
    head = f"{message.name} {message.key or '-'} {len(message.body)}\r\n"
    return head.encode("latin-1") + message.body + b"\r\n"
