"""Properties of MQTT 5.0 packets: OASIS MQTT 5.0, section 2.2.2."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Any

from amberlug.mqtt import fields
from amberlug.mqtt.fields import MqttError, Reader, malformed

PROTOCOL_ERROR = 0x82


class Property(IntEnum):
    """Property identifiers; includes those that are only parsed."""

    PAYLOAD_FORMAT = 0x01
    MESSAGE_EXPIRY = 0x02
    CONTENT_TYPE = 0x03
    RESPONSE_TOPIC = 0x08
    CORRELATION_DATA = 0x09
    SUBSCRIPTION_ID = 0x0B
    SESSION_EXPIRY = 0x11
    ASSIGNED_CLIENT_ID = 0x12
    SERVER_KEEP_ALIVE = 0x13
    AUTH_METHOD = 0x15
    AUTH_DATA = 0x16
    REQUEST_PROBLEM = 0x17
    WILL_DELAY = 0x18
    REQUEST_RESPONSE = 0x19
    RESPONSE_INFORMATION = 0x1A
    SERVER_REFERENCE = 0x1C
    REASON_STRING = 0x1F
    RECEIVE_MAXIMUM = 0x21
    TOPIC_ALIAS_MAXIMUM = 0x22
    TOPIC_ALIAS = 0x23
    MAXIMUM_QOS = 0x24
    RETAIN_AVAILABLE = 0x25
    USER = 0x26
    MAXIMUM_PACKET_SIZE = 0x27
    WILDCARD_AVAILABLE = 0x28
    SUBSCRIPTION_ID_AVAILABLE = 0x29
    SHARED_AVAILABLE = 0x2A


P = Property
Properties = Mapping[Property, Any]  # `USER` holds a list of string pairs, `SUBSCRIPTION_ID` of numbers
NONE: Properties = {}

_FLAGS = {
    P.PAYLOAD_FORMAT,
    P.REQUEST_PROBLEM,
    P.REQUEST_RESPONSE,
    P.MAXIMUM_QOS,
    P.RETAIN_AVAILABLE,
    P.WILDCARD_AVAILABLE,
    P.SUBSCRIPTION_ID_AVAILABLE,
    P.SHARED_AVAILABLE,
}
_U16 = {P.SERVER_KEEP_ALIVE, P.RECEIVE_MAXIMUM, P.TOPIC_ALIAS_MAXIMUM, P.TOPIC_ALIAS}
_U32 = {P.MESSAGE_EXPIRY, P.SESSION_EXPIRY, P.WILL_DELAY, P.MAXIMUM_PACKET_SIZE}
_BINARY = {P.CORRELATION_DATA, P.AUTH_DATA}
_MANY = {P.USER, P.SUBSCRIPTION_ID}
_NOT_ZERO = {P.RECEIVE_MAXIMUM, P.MAXIMUM_PACKET_SIZE, P.TOPIC_ALIAS, P.SUBSCRIPTION_ID}


def read(reader: Reader, allowed: Iterable[Property]) -> dict[Property, Any]:
    """Decode a packet's properties; raises `MqttError` for one that is not allowed or repeated."""
    inner = Reader(reader.take(reader.variable()))
    found: dict[Property, Any] = {}
    may = frozenset(allowed)
    while inner.left:
        number = inner.variable()
        if number not in may:
            raise malformed(f"property 0x{number:02x} is not allowed in this packet")
        name = Property(number)
        value = _value(inner, name)
        if name in _NOT_ZERO and not value:
            raise MqttError(PROTOCOL_ERROR, f"property 0x{number:02x} is 0")
        if name in _MANY:
            found.setdefault(name, []).append(value)
        elif name in found:
            raise MqttError(PROTOCOL_ERROR, f"property 0x{number:02x} is repeated")
        else:
            found[name] = value
    return found


def _value(reader: Reader, name: Property) -> Any:
    if name in _FLAGS:
        value = reader.u8()
        if value > 1:
            raise MqttError(PROTOCOL_ERROR, f"property 0x{name:02x} is neither 0 nor 1")
        return value
    if name in _U16:
        return reader.u16()
    if name in _U32:
        return reader.u32()
    if name is P.SUBSCRIPTION_ID:
        return reader.variable()
    if name in _BINARY:
        return reader.binary()
    if name is P.USER:
        return reader.text(), reader.text()
    return reader.text()


def encode(values: Properties) -> bytes:
    """Encode properties with their length prefix."""
    parts = []
    for name, value in values.items():
        for one in value if name in _MANY else (value,):
            parts.append(bytes((name,)) + _encoded(name, one))
    body = b"".join(parts)
    return fields.variable(len(body)) + body


def _encoded(name: Property, value: Any) -> bytes:
    if name in _FLAGS:
        return bytes((value,))
    if name in _U16:
        return fields.u16(value)
    if name in _U32:
        return fields.u32(value)
    if name is P.SUBSCRIPTION_ID:
        return fields.variable(value)
    if name in _BINARY:
        return fields.binary(value)
    if name is P.USER:
        return fields.text(value[0]) + fields.text(value[1])
    return fields.text(value)


def user(values: Properties, name: str) -> str | None:
    """Return the first user property with a name."""
    return next((value for key, value in values.get(P.USER, ()) if key == name), None)
