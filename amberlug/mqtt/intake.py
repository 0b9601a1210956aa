"""Publishes become messages: what is taken on, refused, or has to wait. No I/O of its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from amberlug.core.log import log
from amberlug.core.messages import Message, PendingRequest, Refusal
from amberlug.core.ports import Clock
from amberlug.mqtt.mapping import QUOTA, BadPublishError, Heard, Mapped
from amberlug.mqtt.packets import INVALID_TOPIC, Publish
from amberlug.mqtt.properties import P
from amberlug.mqtt.replies import Reply
from amberlug.policy.interface import Effect, Settings

REPLY_MOST = 512  # bytes of a response topic with its correlation data: they are kept with the message


class Node(Protocol):
    """What the intake wants of the relay."""

    ready: bool

    @property
    def crowded(self) -> bool: ...
    def serves(self, destination: int) -> bool: ...
    def hand_in(self, message: Message, left_us: int, waited_us: int, exchange: PendingRequest) -> None: ...
    def client_disconnected(self, exchange: PendingRequest) -> None: ...


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a publish: taken on (code 0), or why not and in how many milliseconds to come again."""

    code: int = 0
    text: str = ""
    retry_ms: int = 0


Done = Callable[[Verdict], None]


class Offer:
    """One publish that waits to hear whether it was taken on."""

    def __init__(self, done: Done) -> None:
        self._done: Done | None = done

    @property
    def settled(self) -> bool:
        """Whether it has heard, or wants to hear nothing any more."""
        return self._done is None

    def settle(self, refusal: Refusal | None) -> None:
        """Hear it from the core."""
        done, self._done = self._done, None
        if done is None:
            return
        if refusal is None:
            done(Verdict())
        else:
            done(Verdict(QUOTA, refusal.reason.value, max(1, refusal.retry_us // 1000)))

    def withdraw(self) -> None:
        """Want to hear nothing any more."""
        self._done = None


class Intake:
    """Reads publishes by the operator's mapping, and hands them in."""

    def __init__(self, mapped: Mapped, settings: Settings, clock: Clock) -> None:
        self._mapped, self._settings, self._clock = mapped, settings, clock
        self.node: Node | None = None
        self.passed_over = 0  # retained, or at QoS 0 without room: nobody can be told

    def offer(self, front: str, packet: Publish, default_topic: str, done: Done) -> Offer | None:
        """Hand a publish in; `done` is called once, maybe before this returns. What can be withdrawn."""
        try:
            message, left_us = self._read(front, packet, default_topic)
        except BadPublishError as error:
            done(Verdict(error.code, str(error)))
            return None
        assert self.node is not None
        offer = Offer(done)
        self.node.hand_in(message, left_us, 0, offer)
        return offer

    @property
    def crowded(self) -> bool:
        """Whether what can wait where it is should: taken on, it may soon be handed back."""
        return self.node is None or self.node.crowded

    def withdraw(self, offer: Offer) -> None:
        """Its sender has gone: what was not taken on by now is not."""
        offer.withdraw()
        assert self.node is not None
        self.node.client_disconnected(offer)

    def reply(self, front: str, packet: Publish, default_topic: str) -> Reply | None:
        """Where the end of a message is told; None where nobody asked for it."""
        found = self._mapped.route(front, packet.topic)
        topic = ""
        if found is not None:
            topic = found[0].end_topic(Heard(packet, found[1]))
        if not (topic := topic or default_topic):
            return None
        return Reply(front, topic, packet.properties.get(P.CORRELATION_DATA, b""))

    def _read(self, front: str, packet: Publish, default_topic: str) -> tuple[Message, int]:
        found = self._mapped.route(front, packet.topic)
        if found is None:
            raise BadPublishError(INVALID_TOPIC, "no route for this topic")
        route, levels = found
        if route.effect is Effect.UNSAFE and packet.qos == 0:
            # Guards against a payment of which nobody can be told that it was not taken on.
            raise BadPublishError(INVALID_TOPIC, f"{route.message_class} is not taken on at QoS 0")
        message, left_us = route.read(Heard(packet, levels), self._settings, self._clock.wall_ms())
        assert self.node is not None
        if not self.node.serves(message.destination):
            raise BadPublishError(INVALID_TOPIC, f"no such destination: {message.destination}")
        if (reply := self.reply(front, packet, default_topic)) is not None:
            if self._mapped.route(reply.front, reply.topic) is not None:
                # Guards against an end that is brought here again as a message, and has an end itself.
                raise BadPublishError(INVALID_TOPIC, "messages come from the response topic")
            message.reply = reply.encode()
            if len(message.reply) > REPLY_MOST:
                raise BadPublishError(INVALID_TOPIC, "response topic and correlation data are too long")
        message.noticed, message.replies = False, 1
        return message, left_us

    def pass_over(self, front: str, packet: Publish, why: str) -> None:
        """Count a publish that is not taken on and of which nobody can be told; say so now and then."""
        self.passed_over += 1
        if self.passed_over & (self.passed_over - 1) == 0:  # the first, second, fourth, eighth ...
            log(f"mqtt: {front}: {packet.topic[:80]!r} {why}: not taken on ({self.passed_over} so far)")
