"""Converts PUBLISH packets to messages, and accepts, refuses or defers them. Does no I/O of its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from amberlug.core.log import log
from amberlug.core.messages import Message, PendingRequest, Refusal
from amberlug.core.ports import Clock
from amberlug.mqtt.mapping import QUOTA_EXCEEDED, BadPublishError, MqttConfig, ReceivedPublish
from amberlug.mqtt.packets import TOPIC_NAME_INVALID, Publish
from amberlug.mqtt.properties import P
from amberlug.mqtt.replies import Reply
from amberlug.policy.interface import Effect, Settings

MAX_REPLY_BYTES = 512  # bytes of response topic and correlation data: both are stored with the message


class Node(Protocol):
    """The part of the relay that the intake uses."""

    ready: bool

    @property
    def crowded(self) -> bool:
        """Whether so many messages are held that the policy will soon have to hand some back."""

    def serves(self, destination: int) -> bool:
        """Whether the endpoint list contains a destination."""

    def hand_in(self, message: Message, left_us: int, waited_us: int, exchange: PendingRequest) -> None:
        """Submit a message, with the time left and the time already waited in microseconds."""

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """Withdraw a message whose sender disconnected before the decision."""


@dataclass(frozen=True, slots=True)
class Decision:
    """Result of a publish: accepted (code 0), or a reason and the delay before a retry."""

    code: int = 0
    text: str = ""
    retry_ms: int = 0


Done = Callable[[Decision], None]


class PendingPublish:
    """One publish that waits until the core accepts or refuses it."""

    def __init__(self, done: Done) -> None:
        self._done: Done | None = done

    @property
    def decided(self) -> bool:
        """Whether the result is known, or was withdrawn."""
        return self._done is None

    def settle(self, refusal: Refusal | None) -> None:
        """Take the core's decision and pass it on."""
        done, self._done = self._done, None
        if done is None:
            return
        if refusal is None:
            done(Decision())
        else:
            done(Decision(QUOTA_EXCEEDED, refusal.reason.value, max(1, refusal.retry_us // 1000)))

    def withdraw(self) -> None:
        """Ignore any later decision."""
        self._done = None


class Intake:
    """Maps publishes to messages as configured, and submits them to the core."""

    def __init__(self, config: MqttConfig, settings: Settings, clock: Clock) -> None:
        self._config, self._settings, self._clock = config, settings, clock
        self.node: Node | None = None
        self.dropped = 0  # retained, or refused at QoS 0, where the sender can't be informed

    def submit(self, origin: str, packet: Publish, default_topic: str, done: Done) -> PendingPublish | None:
        """Submit a publish; `done` is called once, possibly before this returns.

        Returns what `withdraw` takes, or None if the publish was refused at once.
        """
        try:
            message, left_us = self._read(origin, packet, default_topic)
        except BadPublishError as error:
            done(Decision(error.code, str(error)))
            return None
        assert self.node is not None
        publish = PendingPublish(done)
        self.node.hand_in(message, left_us, 0, publish)
        return publish

    @property
    def crowded(self) -> bool:
        """Whether senders that can wait should: an accepted message might soon be handed back."""
        return self.node is None or self.node.crowded

    def withdraw(self, publish: PendingPublish) -> None:
        """Withdraw a publish whose sender disconnected; it is not accepted any more."""
        publish.withdraw()
        assert self.node is not None
        self.node.client_disconnected(publish)

    def reply(self, origin: str, packet: Publish, default_topic: str) -> Reply | None:
        """Return where the outcome of a message is to be sent; None if none was requested."""
        found = self._config.route(origin, packet.topic)
        topic = ""
        if found is not None:
            topic = found[0].end_topic(ReceivedPublish(packet, found[1]))
        if not (topic := topic or default_topic):
            return None
        return Reply(origin, topic, packet.properties.get(P.CORRELATION_DATA, b""))

    def _read(self, origin: str, packet: Publish, default_topic: str) -> tuple[Message, int]:
        found = self._config.route(origin, packet.topic)
        if found is None:
            raise BadPublishError(TOPIC_NAME_INVALID, "no route for this topic")
        route, levels = found
        if route.effect is Effect.UNSAFE and packet.qos == 0:
            # Guards against a payment whose sender can't be informed that it was not accepted.
            raise BadPublishError(TOPIC_NAME_INVALID, f"{route.message_class} is not taken on at QoS 0")
        message, left_us = route.read(ReceivedPublish(packet, levels), self._settings, self._clock.wall_ms())
        assert self.node is not None
        if not self.node.serves(message.destination):
            raise BadPublishError(TOPIC_NAME_INVALID, f"no such destination: {message.destination}")
        if (reply := self.reply(origin, packet, default_topic)) is not None:
            if self._config.route(reply.origin, reply.topic) is not None:
                # Guards against a loop: the outcome would be received as a message with an outcome itself.
                raise BadPublishError(TOPIC_NAME_INVALID, "messages come from the response topic")
            message.reply = reply.encode()
            if len(message.reply) > MAX_REPLY_BYTES:
                raise BadPublishError(TOPIC_NAME_INVALID, "response topic and correlation data are too long")
        message.noticed, message.replies = False, 1
        return message, left_us

    def count_dropped(self, origin: str, packet: Publish, why: str) -> None:
        """Count a publish that is dropped without informing its sender; log at powers of two."""
        self.dropped += 1
        if self.dropped & (self.dropped - 1) == 0:  # the first, second, fourth, eighth ...
            log(f"mqtt: {origin}: {packet.topic[:80]!r} {why}: dropped ({self.dropped} so far)")
