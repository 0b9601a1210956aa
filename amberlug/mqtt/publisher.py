"""Transport for endpoints that are broker topics; delegates all other endpoints to the HTTP transport."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping

from amberlug.core.attempt_clearance import clear_attempts
from amberlug.core.messages import Attempt, AttemptResult
from amberlug.core.ports import Address, Calls, Clock, Transport
from amberlug.mqtt.link import Link
from amberlug.mqtt.mapping import Target
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.properties import P, Properties, user
from amberlug.mqtt.replies import RETRY
from amberlug.mqtt.sessions import PublishResult
from amberlug.policy.interface import Result

MAX_WAIT_MS = 3_600_000  # upper bound for a retry delay that a broker asks for
# Reason codes that refuse this message for good; it had no effect.
PERMANENT_REFUSALS = frozenset((0x87, 0x90, 0x91, 0x95, 0x99))
QUOTA_EXCEEDED = 0x97
BrokerKey = tuple[str, Address]  # endpoint kind and broker address


def attempt_result(result: PublishResult, code: int, properties: Properties) -> AttemptResult:
    """Map the result of a publish to the result of its attempt."""
    if result is PublishResult.ACKNOWLEDGED:
        return AttemptResult(Result.DONE)
    if result is PublishResult.DROPPED:
        return AttemptResult(Result.UNCONNECTED)
    if result is PublishResult.LOST:
        return AttemptResult(Result.RESET)
    if code == QUOTA_EXCEEDED:
        return AttemptResult(Result.REFUSED, retry_delay_us(properties))
    return AttemptResult(Result.UNSENT if code in PERMANENT_REFUSALS else Result.ERROR)


def retry_delay_us(properties: Properties) -> int:
    """Return the retry delay that the broker asked for; 0 if it is missing or malformed."""
    text = user(properties, RETRY) or ""
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(int(text[:18]), MAX_WAIT_MS) * 1000


class Publisher:
    """The core's transport: publishes to endpoints of the configured kinds, and delegates all others."""

    def __init__(self, others: Transport, targets: Mapping[str, Target], clock: Clock) -> None:
        self._others, self._targets, self._clock = others, targets, clock
        self._broker_keys: dict[str, BrokerKey] = {}  # of endpoints that are topics, by endpoint id
        self._links: dict[BrokerKey, Link] = {}
        self._references: Counter[BrokerKey] = Counter()  # reference counts: listed endpoints and open calls
        self._calls_in_flight: dict[Attempt, asyncio.Future[AttemptResult]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether a call is in progress, here or in the transport for other kinds."""
        return bool(self._tasks) or self._others.busy

    def bind(self, calls: Calls) -> None:
        """Set the callbacks; called before any other method."""
        self._calls = calls
        self._others.bind(calls)

    def locate(self, endpoint: str, address: Address | None, kind: str = "") -> None:
        """Set the broker address of an endpoint; other kinds are delegated."""
        was = self._broker_keys.pop(endpoint, None)
        if kind in self._targets and address is not None:
            self._broker_keys[endpoint] = kind, address
            self._references[kind, address] += 1
        elif was is None:
            self._others.locate(endpoint, address, kind)
        if was is not None:
            self._release(was)

    def _release(self, key: BrokerKey) -> None:
        """Drop one reference to a broker connection; the last one closes it."""
        self._references[key] -= 1
        if not self._references[key]:
            del self._references[key]
            if (link := self._links.pop(key, None)) is not None:
                link.stop()

    def close_idle(self, endpoint: str) -> None:
        """Keep a broker's connection open, because all its endpoints share it; delegate other kinds."""
        if endpoint not in self._broker_keys:
            self._others.close_idle(endpoint)

    def call(self, endpoint: str, attempts: list[Attempt], fresh: bool) -> None:
        """Publish each attempt to the endpoint's broker; other kinds are delegated."""
        key = self._broker_keys.get(endpoint)
        if key is None:
            self._others.call(endpoint, attempts, fresh)
            return
        if (link := self._links.get(key)) is None:
            link = self._links[key] = Link(self._targets[key[0]].login, key[1])
        for attempt in attempts:
            self._calls_in_flight[attempt] = asyncio.get_running_loop().create_future()
            self._references[key] += 1
            task = asyncio.get_running_loop().create_task(self._call(key, link, attempt))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def call_off(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt; its result is reported like any other."""
        waits = self._calls_in_flight.get(attempt)
        if waits is None:
            self._others.call_off(attempt)
            return
        attempt.called_off = True
        _set_result(waits, AttemptResult(Result.CALLED_OFF))

    def probe(self, endpoint: str, ended: Callable[[AttemptResult], None]) -> None:
        """Report `UNSENT` for a topic, which can't be probed; other kinds are delegated."""
        if endpoint not in self._broker_keys:
            self._others.probe(endpoint, ended)
            return
        # A topic can't be probed: only a publish shows whether it is available.
        asyncio.get_running_loop().call_soon(ended, AttemptResult(Result.UNSENT))

    def stop(self) -> None:
        """Close the broker connections."""
        for link in self._links.values():
            link.stop()

    def _remaining(self, attempt: Attempt) -> float:
        return max(0.0, (attempt.until_us - self._clock.now_us()) / 1e6)

    async def _call(self, key: BrokerKey, link: Link, attempt: Attempt) -> None:
        result = AttemptResult(Result.RESET)
        try:
            result = await self._attempt(self._targets[key[0]], link, attempt)
        finally:
            # Guards against an error that leaves an attempt without a result, which would leak its slot.
            del self._calls_in_flight[attempt]
            attempt.ended = True
            self._release(key)
            self._calls.ended(attempt, result)

    async def _attempt(self, target: Target, link: Link, attempt: Attempt) -> AttemptResult:
        called_off = self._calls_in_flight[attempt]
        try:
            async with asyncio.timeout(self._remaining(attempt)):
                room = await link.reserve()
        except TimeoutError:
            return AttemptResult(Result.UNCONNECTED)  # it was never sent
        if not room:
            return AttemptResult(Result.UNCONNECTED)
        left = False
        try:
            # Connecting takes time: meanwhile a drain, a wait or an outcome may have ruled the attempt out.
            if called_off.done() or not await clear_attempts(self._calls, [attempt]):
                return AttemptResult(Result.CALLED_OFF if called_off.done() else Result.UNSENT)
            left = True
        finally:
            if not left:
                link.release()
        written = asyncio.get_running_loop().time()
        link.send(
            self._packet(target, attempt),
            lambda *publish_result: _set_result(called_off, attempt_result(*publish_result)),
        )
        await asyncio.wait({called_off}, timeout=self._remaining(attempt))
        if called_off.done():
            return called_off.result()
        if link.last_received < written:
            link.abort("silent")  # nothing received since: a dead connection would hold its places forever
        return AttemptResult(Result.TIMED_OUT)

    def _packet(self, target: Target, attempt: Attempt) -> Publish:
        message = attempt.message
        user_properties: list[tuple[str, str]] = [("id", message.name)]
        if message.key is not None:
            user_properties.append(("idempotency-key", message.key))
        expiry = max(1, -(-(attempt.until_us - self._clock.now_us()) // 1_000_000))
        topic = target.topic_of(message.destination, attempt.endpoint)
        properties: dict[P, object] = {P.USER: user_properties, P.MESSAGE_EXPIRY: expiry}
        return Publish(topic, message.body, target.qos.get(message.message_class, 1), properties=properties)


def _set_result(future: asyncio.Future[AttemptResult], result: AttemptResult) -> None:
    if not future.done():
        future.set_result(result)
