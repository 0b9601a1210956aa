"""Publishes the outcomes of messages received over MQTT, at least once, until they are acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from amberlug.core.log import log
from amberlug.core.messages import End
from amberlug.core.ports import OutcomeNotifier
from amberlug.mqtt import replies
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.replies import Reply
from amberlug.mqtt.sessions import PublishResult

EXPIRY_CHECK_INTERVAL = 5.0  # seconds between checks for outcomes not acknowledged in `keep_ends_s`
MAX_IN_FLIGHT = 200  # outcomes published and not yet acknowledged, over all origins

QUOTA_EXCEEDED = 0x97
QUOTA_RETRY_DELAY = 1.0  # seconds before an outcome refused with "quota exceeded" is published again
PublishDone = Callable[[PublishResult, int], None]  # called with the result and its reason code


class Origin(Protocol):
    """An origin of messages, to which outcomes can be published: a broker, or the listener."""

    def tell(self, packet: Publish, done: PublishDone) -> bool | None:
        """Publish at QoS 1. Returns None without a recipient, False while the send window is full."""


class MqttOutcomeNotifier:
    """The core's `OutcomeNotifier`.

    Sends each outcome to the origin of its message, and to the platform if the platform is to be notified.
    """

    def __init__(self, notices: OutcomeNotifier, keep_s: int) -> None:
        self._notices, self._keep = notices, keep_s
        self.origins: dict[str, Origin] = {}
        self._pending: dict[str, tuple[End, float]] = {}  # by message; when it was added
        self._by_address: dict[tuple[str, str], dict[str, None]] = {}  # messages by origin and topic
        self._in_flight: set[str] = set()
        self._queued: dict[str, dict[str, None]] = {}  # by origin, messages that wait for a free place
        self._unacknowledged_notices: set[str] = set()  # message names
        self._expiry_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        """Whether an acknowledgement is outstanding, from an origin or the platform."""
        return self._notices.waiting or bool(self._in_flight)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        """Set the callback for acknowledged outcomes; its argument is the message's name."""
        self._acknowledged = acknowledged
        self._notices.bind(self._notice_acknowledged)

    def owed(self, end: End) -> bool:
        """Whether this outcome must be acknowledged, by the message's origin or the platform."""
        return bool(end.reply) or (end.noticed and self._notices.owed(end))

    def tell(self, end: End) -> None:
        """Queue an outcome for publishing; a repeat for the same message replaces the earlier one."""
        if end.noticed and self._notices.owed(end):
            self._unacknowledged_notices.add(end.message)
            self._notices.tell(end)
        if end.reply:
            try:
                reply = replies.decode(end.reply)
            except ValueError:
                log(f"mqtt: dropping the outcome of message {end.message}: its reply address can't be parsed")
                self._report_acknowledged(end.message)
                return
            self._pending[end.message] = end, asyncio.get_running_loop().time()
            self._by_address.setdefault((reply.origin, reply.topic), {})[end.message] = None
            self._publish(end.message)

    def send(self) -> None:
        """Send the outcomes queued for the platform now; origins get theirs without this."""
        self._notices.send()

    def start(self) -> None:
        """Start the periodic check for outcomes that are not acknowledged."""
        self._expiry_timer = asyncio.get_running_loop().call_later(EXPIRY_CHECK_INTERVAL, self._drop_expired)

    def stop(self) -> None:
        """Stop publishing; unacknowledged outcomes are published after the next start."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._pending.clear()
        self._by_address.clear()

    def subscribed(self, origin: str, is_subscribed: Callable[[str], bool]) -> None:
        """Publish the pending outcomes that an origin has subscribers for again."""
        for address in [key for key in self._by_address if key[0] == origin and is_subscribed(key[1])]:
            for name in list(self._by_address.get(address, ())):
                self._publish(name)
        for name in self._queued.pop(origin, {}):
            self._publish(name)

    def _publish(self, name: str) -> None:
        if name in self._in_flight or name not in self._pending:
            return
        end, _ = self._pending[name]
        reply = replies.decode(end.reply)
        origin = self.origins.get(reply.origin)
        if origin is None:
            return  # no longer configured; kept until it expires, in case it is configured again
        if len(self._in_flight) < MAX_IN_FLIGHT:
            self._in_flight.add(name)
            published = origin.tell(replies.publish(end, reply), partial(self._on_published, name, reply))
            if published is not False:
                if published is None:
                    self._in_flight.discard(name)  # published once there is a recipient
                return
            self._in_flight.discard(name)
        self._queued.setdefault(reply.origin, {})[name] = None

    def _on_published(self, name: str, reply: Reply, result: PublishResult, code: int) -> None:
        self._in_flight.discard(name)
        if result is PublishResult.REFUSED and code == QUOTA_EXCEEDED:
            asyncio.get_running_loop().call_later(QUOTA_RETRY_DELAY, self._publish, name)
        elif result is PublishResult.REFUSED:
            log(f"mqtt: {reply.origin} refused the outcome of {name} with 0x{code:02x}: dropped")
            self._finish(name, reply)
        elif result is PublishResult.ACKNOWLEDGED:
            self._finish(name, reply)
        # One place is free: publish the first queued outcome, those of this origin before others.
        for origin in (reply.origin, *self._queued):
            if queued := self._queued.get(origin):
                first = next(iter(queued))
                del queued[first]
                self._publish(first)
                return

    def _finish(self, name: str, reply: Reply) -> None:
        pending = self._pending.get(name)
        if pending is None or replies.decode(pending[0].reply) != reply:
            return  # replaced meanwhile by an outcome with another reply address
        del self._pending[name]
        self._remove_address(name, reply)
        if name not in self._unacknowledged_notices:
            self._report_acknowledged(name)

    def _remove_address(self, name: str, reply: Reply) -> None:
        address = reply.origin, reply.topic
        names = self._by_address.get(address, {})
        names.pop(name, None)
        if not names:
            self._by_address.pop(address, None)

    def _notice_acknowledged(self, name: str) -> None:
        self._unacknowledged_notices.discard(name)
        if name not in self._pending:
            self._report_acknowledged(name)

    def _report_acknowledged(self, name: str) -> None:
        self._acknowledged(name)

    def _drop_expired(self) -> None:
        """Drop outcomes that were not acknowledged in time, because they would fill the journal."""
        loop = asyncio.get_running_loop()
        late = [name for name, (_, since) in self._pending.items() if since + self._keep <= loop.time()]
        for name in late:
            end, _ = self._pending[name]
            log(f"mqtt: dropping the outcome of {name}: not acknowledged within {self._keep} s")
            self._finish(name, replies.decode(end.reply))
        self._expiry_timer = loop.call_later(EXPIRY_CHECK_INTERVAL, self._drop_expired)
