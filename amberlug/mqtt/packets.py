"""MQTT 5.0 and 3.1.1 control packets: data classes, encoding and decoding, without I/O.

Source: OASIS MQTT 5.0 and 3.1.1, section 3 of each. A packet that violates the protocol raises `MqttError`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from amberlug.mqtt import fields, properties
from amberlug.mqtt.fields import MqttError, Reader, malformed
from amberlug.mqtt.properties import NONE, PROTOCOL_ERROR, P, Properties
from amberlug.mqtt.topics import is_filter, is_topic

V3, V5 = 4, 5  # protocol levels of 3.1.1 and 5.0
UNSUPPORTED_PROTOCOL_VERSION = 0x84
TOPIC_NAME_INVALID = 0x90
PACKET_TOO_LARGE = 0x95


class Kind(IntEnum):
    """Control packet types."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    PUBREC = 5
    PUBREL = 6
    PUBCOMP = 7
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


K = Kind
_ANY = {P.REASON_STRING, P.USER}
_ALLOWED: dict[Kind, set[P]] = {
    K.CONNECT: {
        P.SESSION_EXPIRY,
        P.RECEIVE_MAXIMUM,
        P.MAXIMUM_PACKET_SIZE,
        P.TOPIC_ALIAS_MAXIMUM,
        P.REQUEST_RESPONSE,
        P.REQUEST_PROBLEM,
        P.USER,
        P.AUTH_METHOD,
        P.AUTH_DATA,
    },
    K.CONNACK: {
        P.SESSION_EXPIRY,
        P.RECEIVE_MAXIMUM,
        P.MAXIMUM_QOS,
        P.RETAIN_AVAILABLE,
        P.MAXIMUM_PACKET_SIZE,
        P.ASSIGNED_CLIENT_ID,
        P.TOPIC_ALIAS_MAXIMUM,
        P.WILDCARD_AVAILABLE,
        P.SUBSCRIPTION_ID_AVAILABLE,
        P.SHARED_AVAILABLE,
        P.SERVER_KEEP_ALIVE,
        P.RESPONSE_INFORMATION,
        P.SERVER_REFERENCE,
        P.AUTH_METHOD,
        P.AUTH_DATA,
        *_ANY,
    },
    K.PUBLISH: {
        P.PAYLOAD_FORMAT,
        P.MESSAGE_EXPIRY,
        P.TOPIC_ALIAS,
        P.RESPONSE_TOPIC,
        P.CORRELATION_DATA,
        P.USER,
        P.SUBSCRIPTION_ID,
        P.CONTENT_TYPE,
    },
    K.SUBSCRIBE: {P.SUBSCRIPTION_ID, P.USER},
    K.UNSUBSCRIBE: {P.USER},
    K.DISCONNECT: {P.SESSION_EXPIRY, P.SERVER_REFERENCE, *_ANY},
}
_WILL = {
    P.WILL_DELAY,
    P.PAYLOAD_FORMAT,
    P.MESSAGE_EXPIRY,
    P.CONTENT_TYPE,
    P.RESPONSE_TOPIC,
    P.CORRELATION_DATA,
    P.USER,
}


@dataclass(frozen=True, slots=True)
class Connect:
    """CONNECT. A will message is parsed and discarded, since the relay never publishes one."""

    client_id: str
    version: int = V5
    clean: bool = True
    keep_alive: int = 60  # seconds; 0 for none
    username: str | None = None
    password: bytes | None = None
    will: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Connack:
    """CONNACK. `code` is a 5.0 reason code or a 3.1.1 return code."""

    code: int = 0
    session_present: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Publish:
    """PUBLISH; `packet_id` is 0 at QoS 0."""

    topic: str
    payload: bytes
    qos: int = 0
    packet_id: int = 0
    dup: bool = False
    retain: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ack:
    """PUBACK, PUBREC, PUBREL or PUBCOMP."""

    kind: Kind
    packet_id: int
    code: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TopicSubscription:
    """One filter of a SUBSCRIBE with its options; `retain` is the retain handling (0 always, 2 never)."""

    filter: str
    qos: int
    no_local: bool = False
    as_published: bool = False
    retain: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """SUBSCRIBE."""

    packet_id: int
    subscriptions: tuple[TopicSubscription, ...]
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """UNSUBSCRIBE."""

    packet_id: int
    filters: tuple[str, ...]
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SubscriptionAck:
    """SUBACK or UNSUBACK, with a code for each filter."""

    kind: Kind
    packet_id: int
    codes: tuple[int, ...]
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ping:
    """PINGREQ or PINGRESP."""

    kind: Kind


@dataclass(frozen=True, slots=True)
class Disconnect:
    """DISCONNECT; in 3.1.1 only clients send it."""

    code: int = 0
    properties: Properties = field(default_factory=dict)


Packet = Connect | Connack | Publish | Ack | Subscribe | Unsubscribe | SubscriptionAck | Ping | Disconnect


# Encoding.


def encode(packet: Packet, version: int) -> bytes:
    """Encode a packet for a connection of the given version."""
    flags, body = 0, b""
    match packet:
        case Publish():
            return _publish(packet, version)
        case Ack():
            kind, flags = packet.kind, 2 * (packet.kind is K.PUBREL)
            body = fields.u16(packet.packet_id) + _reason(packet.code, packet.properties, version)
        case Connect():
            kind, body = K.CONNECT, _connect(packet)
        case Connack():
            kind = K.CONNACK
            body = bytes((packet.session_present, packet.code)) + _properties(packet.properties, version)
        case Subscribe():
            kind, flags = K.SUBSCRIBE, 2
            filters = (
                fields.text(subscription.filter) + bytes((_options(subscription),))
                for subscription in packet.subscriptions
            )
            body = fields.u16(packet.packet_id) + _properties(packet.properties, version) + b"".join(filters)
        case Unsubscribe():
            kind, flags = K.UNSUBSCRIBE, 2
            body = fields.u16(packet.packet_id) + _properties(packet.properties, version)
            body += b"".join(map(fields.text, packet.filters))
        case SubscriptionAck():
            kind, body = packet.kind, fields.u16(packet.packet_id) + _properties(packet.properties, version)
            body += bytes(packet.codes) if version == V5 or kind is K.SUBACK else b""
        case Ping():
            kind = packet.kind
        case Disconnect():
            kind, body = K.DISCONNECT, _reason(packet.code, packet.properties, version)
    return bytes((kind << 4 | flags,)) + fields.variable(len(body)) + body


def _properties(values: Properties, version: int) -> bytes:
    return properties.encode(values) if version == V5 else b""


def _reason(code: int, values: Properties, version: int) -> bytes:
    if version != V5 or not (code or values):
        return b""
    return bytes((code,)) + (properties.encode(values) if values else b"")


def _publish(packet: Publish, version: int) -> bytes:
    flags = packet.dup << 3 | packet.qos << 1 | packet.retain
    head = fields.text(packet.topic)
    if packet.qos:
        head += fields.u16(packet.packet_id)
    if version == V5:
        head += properties.encode(packet.properties) if packet.properties else b"\0"
    first = bytes((K.PUBLISH << 4 | flags,))
    return first + fields.variable(len(head) + len(packet.payload)) + head + packet.payload


def _connect(packet: Connect) -> bytes:
    flags = packet.clean << 1 | (packet.username is not None) << 7 | (packet.password is not None) << 6
    body = fields.text("MQTT") + bytes((packet.version, flags)) + fields.u16(packet.keep_alive)
    body += _properties(packet.properties, packet.version) + fields.text(packet.client_id)
    if packet.username is not None:
        body += fields.text(packet.username)
    if packet.password is not None:
        body += fields.binary(packet.password)
    return body


def _options(subscription: TopicSubscription) -> int:
    return (
        subscription.qos
        | subscription.no_local << 2
        | subscription.as_published << 3
        | subscription.retain << 4
    )


# Decoding.


class Decoder:
    """Splits a byte stream into packets. `version` is the connection's, which a server learns from CONNECT.

    `most` limits the size of a whole packet, in bytes. Packets ahead of an invalid one are still returned.
    """

    def __init__(self, most: int, version: int = 0) -> None:
        self.version = version
        self._most = most
        self._data = bytearray()

    @property
    def has_partial(self) -> bool:
        """Whether a part of a packet is buffered."""
        return bool(self._data)

    def feed(self, data: bytes) -> None:
        """Buffer received bytes."""
        self._data += data

    def next(self) -> Packet | None:
        """Return the next whole packet; None if more data is needed."""
        if (found := self._size()) is None:
            return None
        head, size = found
        if len(self._data) < head + size:
            return None
        first, body = self._data[0], bytes(self._data[head : head + size])
        del self._data[: head + size]
        packet = self._read(first, Reader(body))
        if isinstance(packet, Connect):
            self.version = packet.version
        return packet

    def _size(self) -> tuple[int, int] | None:
        """Return the length of the fixed header and the remaining length."""
        size = 0
        for count, byte in enumerate(self._data[1:5]):
            size |= (byte & 0x7F) << 7 * count
            if size + 2 > self._most:
                raise MqttError(PACKET_TOO_LARGE, f"packet exceeds {self._most} bytes")
            if not byte & 0x80:
                return count + 2, size
        if len(self._data) >= 5:
            raise malformed("remaining length is longer than four bytes")
        return None

    def _read(self, first: int, reader: Reader) -> Packet:
        number, flags = first >> 4, first & 0x0F
        if not number:
            raise malformed("packet type 0")
        kind = Kind(number)
        if not self.version and kind is not K.CONNECT:
            raise MqttError(PROTOCOL_ERROR, "packet before CONNECT")
        if kind is K.PUBLISH:
            return self._publish(flags, reader)
        if flags != 2 * (kind in (K.PUBREL, K.SUBSCRIBE, K.UNSUBSCRIBE)):
            raise malformed(f"invalid {kind.name} flags {flags:#x}")
        packet = self._other(kind, reader)
        reader.finish()
        return packet

    def _other(self, kind: Kind, reader: Reader) -> Packet:
        match kind:
            case K.CONNECT:
                return _read_connect(reader)
            case K.CONNACK:
                flags, code = reader.u8(), reader.u8()
                if flags > 1:
                    raise malformed("invalid CONNACK flags")
                return Connack(code, bool(flags), self._properties(kind, reader))
            case K.PUBACK | K.PUBREC | K.PUBREL | K.PUBCOMP:
                packet_id = _packet_id(reader)
                return Ack(kind, packet_id, *self._reason(_ANY, reader))
            case K.SUBSCRIBE:
                return self._subscribe(reader)
            case K.UNSUBSCRIBE:
                packet_id, packet_properties = _packet_id(reader), self._properties(kind, reader)
                filters: list[str] = []
                while reader.left or not filters:
                    filters.append(_filter(reader))
                return Unsubscribe(packet_id, tuple(filters), packet_properties)
            case K.SUBACK | K.UNSUBACK:
                packet_id = _packet_id(reader)
                packet_properties = properties.read(reader, _ANY) if self.version == V5 else NONE
                return SubscriptionAck(kind, packet_id, tuple(reader.rest()), packet_properties)
            case K.DISCONNECT:
                return Disconnect(*self._reason(_ALLOWED[K.DISCONNECT], reader))
            case K.PINGREQ | K.PINGRESP:
                return Ping(kind)
            case _:
                raise MqttError(PROTOCOL_ERROR, f"unexpected {kind.name}")

    def _properties(self, kind: Kind, reader: Reader) -> Properties:
        return properties.read(reader, _ALLOWED[kind]) if self.version == V5 else NONE

    def _reason(self, allowed: set[P], reader: Reader) -> tuple[int, Properties]:
        if self.version != V5 or not reader.left:
            return 0, NONE
        code = reader.u8()
        return code, properties.read(reader, allowed) if reader.left else NONE

    def _publish(self, flags: int, reader: Reader) -> Publish:
        qos, dup, retain = flags >> 1 & 3, bool(flags & 8), bool(flags & 1)
        if qos == 3 or (dup and not qos):
            raise malformed("invalid PUBLISH flags")
        topic = reader.text()
        packet_id = _packet_id(reader) if qos else 0
        packet_properties = self._properties(K.PUBLISH, reader)
        if topic and not is_topic(topic):
            raise MqttError(TOPIC_NAME_INVALID, "invalid topic name")
        if not topic and P.TOPIC_ALIAS not in packet_properties:
            raise MqttError(PROTOCOL_ERROR, "PUBLISH has neither a topic nor a topic alias")
        if P.RESPONSE_TOPIC in packet_properties and not is_topic(packet_properties[P.RESPONSE_TOPIC]):
            raise MqttError(PROTOCOL_ERROR, "response topic is empty or has a wildcard")
        return Publish(topic, reader.rest(), qos, packet_id, dup, retain, packet_properties)

    def _subscribe(self, reader: Reader) -> Subscribe:
        packet_id, packet_properties = _packet_id(reader), self._properties(K.SUBSCRIBE, reader)
        subscriptions: list[TopicSubscription] = []
        while reader.left or not subscriptions:
            name, options = _filter(reader), reader.u8()
            if options & 3 == 3 or options >> 4 == 3 or options & (0xC0 if self.version == V5 else 0xFC):
                raise malformed("invalid subscription options")
            no_local, as_published = bool(options & 4), bool(options & 8)
            subscriptions.append(
                TopicSubscription(name, options & 3, no_local, as_published, options >> 4 & 3)
            )
        return Subscribe(packet_id, tuple(subscriptions), packet_properties)


def _packet_id(reader: Reader) -> int:
    if not (packet_id := reader.u16()):
        raise MqttError(PROTOCOL_ERROR, "packet id is 0")
    return packet_id


def _filter(reader: Reader) -> str:
    name = reader.text()
    if not is_filter(name):
        raise MqttError(0x8F, f"invalid topic filter: {name[:40]!r}")
    return name


def _read_connect(reader: Reader) -> Connect:
    if reader.text() != "MQTT":
        raise MqttError(UNSUPPORTED_PROTOCOL_VERSION, "protocol name is not MQTT")
    version, flags = reader.u8(), reader.u8()
    if version not in (V3, V5):
        raise MqttError(UNSUPPORTED_PROTOCOL_VERSION, f"unsupported protocol level {version}")
    will, named, secret = bool(flags & 4), bool(flags & 0x80), bool(flags & 0x40)
    if flags & 1 or flags >> 3 & 3 == 3 or (not will and flags & 0x38) or (version == V3 and secret > named):
        raise malformed("invalid CONNECT flags")
    keep_alive = reader.u16()
    packet_properties = properties.read(reader, _ALLOWED[K.CONNECT]) if version == V5 else NONE
    client_id = reader.text()
    if will:
        if version == V5:
            properties.read(reader, _WILL)
        if not is_topic(reader.text()):
            raise MqttError(TOPIC_NAME_INVALID, "invalid will topic")
        reader.binary()
    username = reader.text() if named else None
    password = reader.binary() if secret else None
    return Connect(
        client_id, version, bool(flags & 2), keep_alive, username, password, will, packet_properties
    )
