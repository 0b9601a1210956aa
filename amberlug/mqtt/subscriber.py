"""Subscribes to a broker's messages, and acknowledges each once it is in the journal."""

from __future__ import annotations

import asyncio

from amberlug.core.log import log
from amberlug.mqtt import replies
from amberlug.mqtt.intake import Decision, Intake, PendingPublish
from amberlug.mqtt.link import Link
from amberlug.mqtt.mapping import QUOTA_EXCEEDED, Login, MqttConfig
from amberlug.mqtt.outcomes import MqttOutcomeNotifier, PublishDone
from amberlug.mqtt.packets import V5, Publish, TopicSubscription
from amberlug.mqtt.properties import P

BUSY_RETRY_MS = 100  # retry delay while the relay is near its limits
MAX_RETRY_DELAY = 5.0  # longest delay in seconds before a refused publish is submitted again


class Subscriber:
    """Receives one broker's messages.

    A publish that the relay has no capacity for stays unacknowledged and is submitted again after the given
    delay. The broker sends no more than the receive maximum meanwhile, so nothing is dropped and memory is
    bounded. For 3.1.1, which has no receive maximum, reading pauses at that number.
    """

    def __init__(
        self, login: Login, config: MqttConfig, intake: Intake, notifier: MqttOutcomeNotifier
    ) -> None:
        self._login, self._intake, self._notifier = login, intake, notifier
        routes = [route for route in config.routes if login.name in route.sources]
        never = 2 * (login.version == V5)  # retain handling "never", an option of 5.0 only
        subscriptions = {
            route.subscription: TopicSubscription(route.subscription, route.qos, retain=never)
            for route in routes
        }
        self.link = Link(
            login, login.address, tuple(subscriptions.values()), self._on_publish, self._on_connected
        )
        self._pending: set[PendingPublish] = set()
        self._connection_number = 0  # connection counter: publishes of earlier connections are redelivered
        self._unacknowledged = 0  # publishes that are not acknowledged yet
        self._closing = False
        notifier.origins[login.name] = self

    def start(self) -> None:
        """Start the connection to the broker."""
        self.link.start()

    def close(self) -> None:
        """Stop accepting messages; the broker keeps what was not acknowledged."""
        self._closing = True
        for publish in list(self._pending):
            self._intake.withdraw(publish)
        self._pending.clear()
        self.link.stop()

    def _on_connected(self) -> None:
        self._connection_number += 1
        self._unacknowledged = 0
        for publish in list(self._pending):
            self._intake.withdraw(publish)  # redelivered here, or to another relay
        self._pending.clear()
        self._notifier.subscribed(self._login.name, lambda topic: True)

    def _on_publish(self, packet: Publish) -> None:
        if packet.retain:
            # A retained message may be days old, and was already delivered when it was new.
            self._intake.count_dropped(self._login.name, packet, "is retained")
            self._answer(packet, Decision())
            return
        self._unacknowledged += 1
        if self._login.version != V5 and self._unacknowledged >= self._login.window:
            self.link.set_reading_paused(True)
        self._submit(packet, self._connection_number)

    def _submit(self, packet: Publish, connection: int) -> None:
        if connection != self._connection_number or self._closing:
            return
        if packet.qos and self._intake.crowded:
            # A publisher behind a broker might never learn that its message was handed back, so the message
            # waits at the broker instead.
            self._on_decision(packet, Decision(QUOTA_EXCEEDED, "no room", BUSY_RETRY_MS), connection)
            return
        pending: list[PendingPublish] = []

        def done(decision: Decision) -> None:
            """Stop tracking the publish, and handle the decision."""
            self._pending.difference_update(pending)
            self._on_decision(packet, decision, connection)

        publish = self._intake.submit(self._login.name, packet, "", done)
        if publish is not None and not publish.decided:
            pending.append(publish)
            self._pending.add(publish)

    def _on_decision(self, packet: Publish, decision: Decision, connection: int) -> None:
        if connection != self._connection_number or self._closing:
            return
        if decision.retry_ms and packet.qos:
            pause = min(decision.retry_ms / 1000, MAX_RETRY_DELAY)
            asyncio.get_running_loop().call_later(pause, self._submit, packet, connection)
            return
        self._unacknowledged -= 1
        if self._unacknowledged < self._login.window:
            self.link.set_reading_paused(False)
        if not packet.qos:
            if decision.code:
                self._intake.count_dropped(self._login.name, packet, decision.text)
            return
        if decision.code:
            self._report_refusal(packet, decision)
        self._answer(packet, decision)

    def _report_refusal(self, packet: Publish, decision: Decision) -> None:
        """Report a refused publish in the log, and to the reply address if there is one."""
        log(f"mqtt: {self._login.name}: {packet.topic[:80]!r} refused: {decision.text}")
        reply = self._intake.reply(self._login.name, packet, "")
        if reply is not None:
            self.tell(replies.refusal(reply, decision.text), lambda result, code: None)

    def _answer(self, packet: Publish, decision: Decision) -> None:
        if packet.qos:
            properties: dict[P, object] = {P.REASON_STRING: decision.text} if decision.code else {}
            self.link.answer(packet.packet_id, decision.code, properties)

    def tell(self, packet: Publish, done: PublishDone) -> bool | None:
        """Publish an outcome. Returns None while disconnected, False while the send window is full."""
        if not self.link.connected:
            return None
        if not self.link.outgoing.has_room:
            return False
        self.link.outgoing.publish(packet, lambda result, code, properties: done(result, code))
        return True
