"""Reply addresses of messages received over MQTT, and the format of published outcomes. Does no I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from amberlug.core.messages import End
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.properties import P

RETRY = "retry-in-ms"  # user property: milliseconds before the message may be sent again


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply address: the origin (a broker's name, or the listener), a topic there, correlation data."""

    origin: str
    topic: str
    correlation: bytes = b""

    def encode(self) -> bytes:
        """Encode it for the journal."""
        return f"{self.origin}\0{self.topic}\0".encode() + self.correlation


def decode(data: bytes) -> Reply:
    """Decode what `Reply.encode` returned; raises `ValueError` if malformed."""
    origin, topic, correlation = data.split(b"\0", 2)
    return Reply(origin.decode(), topic.decode(), correlation)


def publish(end: End, reply: Reply) -> Publish:
    """Build the QoS 1 PUBLISH for an outcome."""
    fields: dict[str, str | int] = {"message": end.message, "outcome": end.outcome.value}
    user_properties = [("outcome", end.outcome.value)]
    if end.retry_ms > 0:
        fields["retry_in_ms"] = end.retry_ms
        user_properties.append((RETRY, str(end.retry_ms)))
    return _publish(reply, fields, user_properties)


def refusal(reply: Reply, text: str) -> Publish:
    """Build the PUBLISH that tells a sender that its publish was refused."""
    return _publish(reply, {"outcome": "refused", "reason": text}, [("outcome", "refused")])


def _publish(reply: Reply, fields: dict[str, str | int], user_properties: list[tuple[str, str]]) -> Publish:
    properties: dict[P, object] = {P.USER: user_properties}
    if reply.correlation:
        properties[P.CORRELATION_DATA] = reply.correlation
    payload = json.dumps(fields, separators=(",", ":")).encode()
    return Publish(reply.topic, payload, 1, properties=properties)
