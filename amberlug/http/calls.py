"""Connections to endpoints, and the calls and probes on them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Mapping, Sequence
from functools import partial
from typing import Any

from amberlug.core.attempt_clearance import clear_attempts
from amberlug.core.messages import Attempt, AttemptResult, Message
from amberlug.core.ports import Address, Calls, Clock
from amberlug.http.link import Link, LinkLostError, Reply, dial
from amberlug.policy.interface import Result, Settings

IDLE_MARGIN = 0.5  # seconds that an idle connection is closed before the endpoint may close it
WAIT_MOST_MS = 3_600_000  # longest told wait that is kept
BATCH_ENDS = {
    "ok": AttemptResult(Result.DONE),
    "error": AttemptResult(Result.ERROR),
    "later": AttemptResult(Result.REFUSED),
    "gone": AttemptResult(Result.UNSENT, over=True),
    "exhausted": AttemptResult(Result.UNSENT),
}


def report(text: str, names: Sequence[str]) -> tuple[float, ...]:
    """Read a load report's values in the order of the settings; () where it can't be read."""
    found: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        try:
            found[name] = float(value)
        except ValueError:
            return ()
        # Guards against figures that no endpoint can mean: they would pass into an account's limit.
        if not 0 <= found[name] < math.inf:
            return ()
    return tuple(found.get(name, 0.0) for name in names) if names else ()


def wait_us(reply: Reply) -> int:
    """Read the told wait; one that can't be read is none."""
    text = reply.headers.get("wait-ms", "").strip()
    if not (text.isascii() and text.isdigit()):
        return 0
    # Guards against digits without end, on which int() raises; no message lives as long as the longest wait.
    return min(int(text[:18]), WAIT_MOST_MS) * 1000


def ending(reply: Reply, names: Sequence[str]) -> AttemptResult:
    """Tell what an answer to a call with one fate means."""
    told = report(reply.headers.get("srv-load", ""), names)
    if reply.status == 200:
        return AttemptResult(Result.DONE, wait_us(reply), report=told)
    if reply.status in (429, 503):
        if reply.headers.get("slots-taken") == "1":
            return AttemptResult(Result.UNSENT, report=told)
        return AttemptResult(Result.REFUSED, wait_us(reply), report=told)
    if reply.status in (400, 413, 504):  # never ran
        return AttemptResult(Result.UNSENT, report=told)
    if reply.status == 410:
        return AttemptResult(Result.UNSENT, over=True, report=told)
    return AttemptResult(Result.ERROR, wait_us(reply), report=told)


def batch_endings(reply: Reply, names: Sequence[str]) -> Mapping[str, AttemptResult]:
    """Tell each message's end from the answer to a batch; one that is not named may have run."""
    told, wait = report(reply.headers.get("srv-load", ""), names), wait_us(reply)
    ends: dict[str, AttemptResult] = {}
    for line in reply.body.decode("latin-1").splitlines():
        name, _, word = line.strip().partition(" ")
        if word in BATCH_ENDS:
            known = BATCH_ENDS[word]
            ends[name] = AttemptResult(known.result, wait, known.over, told)
    return ends


def lost(error: LinkLostError) -> AttemptResult:
    """Tell what a lost connection means: what was written or had an answer may have run."""
    # Guards against trusting a spoilt head: a 429 there does not tell that the call never ran.
    if error.answered:
        return AttemptResult(Result.SPOILT)
    return AttemptResult(Result.RESET if error.written else Result.UNCONNECTED)


class Pool:
    """Connections to endpoints, the one used last taken first."""

    def __init__(self, settings: Settings, most: int) -> None:
        self._most = most
        self._dial = settings.dial_us / 1e6
        self._life = max(0.1, settings.idle_us / 1e6 - IDLE_MARGIN)
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, list[Link]] = {}
        self._timers: dict[
            Link, tuple[str, asyncio.TimerHandle]
        ] = {}  # of those that idle, the longest first
        self._links: set[Link] = set()
        self.dialing = 0

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Learn where an endpoint is, or that it is gone."""
        if address != self._addresses.get(endpoint):
            self.close_idle(endpoint)
        if address is None:
            self._addresses.pop(endpoint, None)
        else:
            self._addresses[endpoint] = address

    async def take(self, endpoint: str, seconds: float, fresh: bool = False) -> Link | None:
        """Take an idle connection or dial a new one; None where none came up."""
        if fresh and endpoint in self._idle:
            self._retire(self._idle[endpoint][0])  # the new one takes its place at the endpoint
        while not fresh and (idle := self._idle.get(endpoint)) is not None:
            link = idle[-1]
            self._forget(link)
            if link.usable:
                link.idled_us = int((asyncio.get_running_loop().time() - link.idle_since) * 1e6)
                return link
            link.close()
        address = self._addresses.get(endpoint)
        if address is None:
            return None
        self._make_room()
        self.dialing += 1
        try:
            link_or_none = await dial(*address, min(self._dial, seconds))
        finally:
            self.dialing -= 1
        if link_or_none is not None:
            self._links.add(link_or_none)
            link_or_none.on_lost = self._lost
        return link_or_none

    def _make_room(self) -> None:
        """Close what has been idle longest where a further connection would be one too many."""
        # Guards against running out of descriptors. Calls alone don't: the module has fewer slots than links.
        if len(self._links) + self.dialing >= self._most and self._timers:
            self._retire(next(iter(self._timers)))

    def give(self, endpoint: str, link: Link) -> None:
        """Keep a connection for the next call, for less than the time that the endpoint keeps it."""
        # Guards against keeping one to where the endpoint no longer is, or of one that is gone.
        if not link.usable or self._addresses.get(endpoint) != link.where:
            link.close()
            return
        link.reused, link.idle_since = True, asyncio.get_running_loop().time()
        self._idle.setdefault(endpoint, []).append(link)
        timer = asyncio.get_running_loop().call_later(self._life, self._retire, link)
        self._timers[link] = endpoint, timer

    def close(self) -> None:
        """Close all connections."""
        for link in list(self._links):
            link.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the connections to an endpoint that carry no call."""
        for link in list(self._idle.get(endpoint, ())):
            self._retire(link)

    def _retire(self, link: Link) -> None:
        self._forget(link)
        link.close()

    def _lost(self, link: Link) -> None:
        self._forget(link)
        self._links.discard(link)

    def _forget(self, link: Link) -> None:
        """Take a connection out of those that idle; an endpoint without any leaves no record."""
        if link not in self._timers:
            return
        endpoint, timer = self._timers.pop(link)
        timer.cancel()
        self._idle[endpoint].remove(link)
        if not self._idle[endpoint]:
            del self._idle[endpoint]


class Caller:
    """Makes the calls: one at a time on a connection, each attempt's end reported once."""

    def __init__(self, settings: Settings, links: int, clock: Clock) -> None:
        self._settings, self._clock = settings, clock.now_us
        self.pool = Pool(settings, links)
        self.locate, self.close_idle = self.pool.locate, self.pool.close_idle
        self._tasks: set[asyncio.Task[None]] = set()
        self._nudges: dict[Attempt, asyncio.Future[None]] = {}

    def bind(self, calls: Calls) -> None:
        """Learn who clears attempts and is told their ends."""
        self._calls, self._ended = calls, calls.ended

    @property
    def busy(self) -> bool:
        return bool(self._nudges)

    def abandon(self) -> None:
        """Give up all calls and connections; no more ends are reported."""
        self._ended = _unheard
        for task in list(self._tasks):
            task.cancel()
        self.pool.close()

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Send one call with one or more messages, on a new connection where that is wanted."""
        self._listen(attempts)
        self._start(self._call(endpoint, attempts, fresh))

    def _listen(self, attempts: Sequence[Attempt]) -> asyncio.Future[None]:
        """Make what wakes the call's task: an answer, its time, or an attempt that is called off."""
        nudge = asyncio.get_running_loop().create_future()
        self._nudges.update(dict.fromkeys((it for it in attempts if not it.ended), nudge))
        return nudge

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its end is reported as any other."""
        attempt.called_off = True
        if (nudge := self._nudges.get(attempt)) is not None:
            _wake(nudge)

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Ask an endpoint whether it is well."""
        self._start(self._probe(endpoint, ended))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _end(self, attempt: Attempt, how: AttemptResult) -> None:
        if not attempt.ended:
            attempt.ended = True
            del self._nudges[attempt]
            self._ended(attempt, how)

    def _end_all(self, attempts: Sequence[Attempt], how: AttemptResult) -> None:
        for attempt in attempts:
            self._end(attempt, how)

    async def _call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        try:
            until = max(attempt.until_us for attempt in attempts)
            link = await self.pool.take(endpoint, max(0.0, (until - self._clock()) / 1e6), fresh)
            if link is None:
                self._end_all(attempts, AttemptResult(Result.UNCONNECTED))
                return
            try:
                await self._use(link, attempts)
            finally:
                self.pool.give(endpoint, link)
        finally:
            # Guards against an error that leaves an attempt without an outcome, and its slot taken for good.
            self._end_all(attempts, AttemptResult(Result.RESET))

    async def _use(self, link: Link, attempts: list[Attempt]) -> None:
        # A dial takes time: what a drain, a wait or an end forbids by now is not sent.
        cleared = await clear_attempts(self._calls, attempts)
        self._end_all(
            [attempt for attempt in attempts if attempt not in cleared], AttemptResult(Result.UNSENT)
        )
        for attempt in cleared:
            attempt.reused, attempt.idle_us = link.reused, link.idled_us
        if cleared:
            await self._converse(link, cleared)

    async def _converse(self, link: Link, attempts: list[Attempt]) -> None:
        reply = self._write(link, attempts)
        while not reply.done():
            waits_us = self._give_up(attempts)
            if not any(not attempt.ended for attempt in attempts):
                link.close()  # an attempt that was given up must not stay out on an open connection
                return
            nudge = self._listen(attempts)
            reply.add_done_callback(partial(_wake, nudge))
            timer = asyncio.get_running_loop().call_later(waits_us / 1e6, _wake, nudge)
            await nudge
            timer.cancel()
        try:
            self._read(reply.result(), attempts)
        except LinkLostError as error:
            done = error.ok and len(attempts) == 1  # of several, only the whole answer tells each one's end
            self._end_all(attempts, AttemptResult(Result.DONE) if done else lost(error))

    def _write(self, link: Link, attempts: list[Attempt]) -> asyncio.Future[Reply]:
        left_ms = max(1, (max(it.until_us for it in attempts) - self._clock()) // 1000)
        headers = [("Req-Deadline-Ms", str(left_ms))]
        if len(attempts) > 1:
            return link.request("POST", "/hook/batch", headers, b"".join(map(_frame, attempts)))
        message: Message = attempts[0].message
        headers.append(("Req-Id", message.name))
        if message.key is not None:
            headers.append(("Idempotency-Key", message.key))
        return link.request("POST", "/hook", headers, message.body)

    def _read(self, reply: Reply, attempts: list[Attempt]) -> None:
        names = self._settings.report_names
        if len(attempts) == 1 or reply.status != 200:
            self._end_all(attempts, ending(reply, names))
            return
        if min(attempt.until_us for attempt in attempts) <= self._clock():
            # Guards against a late answer to several that a loop held up reads before it gives the call up:
            # what it says of each may count for nobody. It could do harm to one that came just in time.
            self._end_all(attempts, AttemptResult(Result.SPOILT, wait_us(reply)))
            return
        ends = batch_endings(reply, names)
        for attempt in attempts:
            self._end(attempt, ends.get(attempt.message.name, AttemptResult(Result.ERROR, wait_us(reply))))

    def _give_up(self, attempts: list[Attempt]) -> int:
        """End what is out of time; how long the next one has.

        While others in the call still wait, an attempt whose message lives on stays out with them: sent
        again now it would be a second copy, and closing the connection would spoil the others.
        """
        now = self._clock()
        left = [attempt for attempt in attempts if not attempt.ended]
        alive = [attempt for attempt in left if not attempt.called_off and attempt.until_us > now]
        for attempt in left:
            if attempt not in alive and (not alive or attempt.message.over):
                result = Result.CALLED_OFF if attempt.called_off else Result.TIMED_OUT
                self._end(attempt, AttemptResult(result))
        return min((attempt.until_us for attempt in alive), default=now) - now

    async def _probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        how = AttemptResult(Result.RESET)
        try:
            how = await self._sound_out(endpoint)
        finally:
            ended(how)

    async def _sound_out(self, endpoint: str) -> AttemptResult:
        seconds, names = self._settings.dial_us / 1e6, self._settings.report_names
        link = await self.pool.take(endpoint, seconds)
        if link is None:
            return AttemptResult(Result.UNCONNECTED)
        try:
            async with asyncio.timeout(seconds):
                reply = await link.request("GET", "/metrics/load" if names else "/alive", [])
        except TimeoutError:
            link.close()
            return AttemptResult(Result.TIMED_OUT)
        except LinkLostError as error:
            return lost(error)
        self.pool.give(endpoint, link)
        how = ending(reply, names)
        told = how.report or report(reply.body.decode("latin-1"), names)
        return AttemptResult(how.result, how.wait_us, report=told)


def _unheard(attempt: Attempt, how: AttemptResult) -> None:
    """Guard against ends of calls that the closing relay gave up: nothing was learned of them."""


def _wake(nudge: asyncio.Future[None], _: object = None) -> None:
    if not nudge.done():
        nudge.set_result(None)


def _frame(attempt: Attempt) -> bytes:
    message = attempt.message
    head = f"{message.name} {message.key or '-'} {len(message.body)}\r\n"
    return head.encode("latin-1") + message.body + b"\r\n"
