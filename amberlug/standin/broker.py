"""A test MQTT broker on loopback with scripted faults, and a scripted client.

Written from the standard (OASIS MQTT 5.0 and 3.1.1) without any code of the relay, so that it does not repeat
the relay's mistakes: packets are parsed and built by hand, and kept as plain dicts. It delivers QoS 1 and 2
to subscribers, keeps sessions, and serves shared subscriptions round-robin.
"""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from amberlug.standin.wire import PATIENCE

(
    CONNECT,
    CONNACK,
    PUBLISH,
    PUBACK,
    PUBREC,
    PUBREL,
    PUBCOMP,
    SUBSCRIBE,
    SUBACK,
    UNSUBSCRIBE,
    UNSUBACK,
    PINGREQ,
    PINGRESP,
    DISCONNECT,
) = range(1, 15)
NAMES = dict(
    enumerate(
        "connect connack publish puback pubrec pubrel pubcomp subscribe suback unsubscribe "
        "unsuback pingreq pingresp disconnect".split(),
        1,
    )
)
# Property encodings: b byte, h two bytes, i four bytes, v variable byte integer, s string, d binary data,
# p string pair.
PROPERTY_ENCODINGS = {
    1: "b",
    2: "i",
    3: "s",
    8: "s",
    9: "d",
    11: "v",
    17: "i",
    18: "s",
    19: "h",
    21: "s",
    22: "d",
    23: "b",
    24: "i",
    25: "b",
    26: "s",
    28: "s",
    31: "s",
    33: "h",
    34: "h",
    35: "h",
    36: "b",
    37: "b",
    38: "p",
    39: "i",
    40: "b",
    41: "b",
    42: "b",
}
RESPONSE, CORRELATION, RECEIVE_MAXIMUM, USER = 8, 9, 33, 38
Packet = dict[str, Any]


# Encoding and decoding.


def _variable(number: int) -> bytes:
    out = b""
    while number > 127:
        out += bytes([number % 128 + 128])
        number //= 128
    return out + bytes([number])


def _string(text: str | bytes) -> bytes:
    data = text.encode() if isinstance(text, str) else text
    return struct.pack("!H", len(data)) + data


def props(values: dict[int, Any] | None) -> bytes:
    """Encode properties; the value of the user property is a list of pairs."""
    out = b""
    for number, value in (values or {}).items():
        form = PROPERTY_ENCODINGS[number]
        for one in value if form == "p" else [value]:
            out += bytes([number])
            if form in "bhi":
                out += struct.pack({"b": "!B", "h": "!H", "i": "!I"}[form], one)
            elif form == "v":
                out += _variable(one)
            elif form == "p":
                out += _string(one[0]) + _string(one[1])
            else:
                out += _string(one)
    return _variable(len(out)) + out


def frame(kind: int, body: bytes, flags: int = 0) -> bytes:
    """Encode a packet from its type, flags and body."""
    return bytes([kind * 16 + flags]) + _variable(len(body)) + body


def publish(
    topic: str, payload: bytes, qos: int = 0, packet_id: int = 0, v5: bool = True, **more: Any
) -> bytes:
    """Encode a PUBLISH; `more` may hold dup, retain and properties."""
    body = _string(topic) + (struct.pack("!H", packet_id) if qos else b"")
    body += (props(more.get("properties")) if v5 else b"") + payload
    return frame(PUBLISH, body, 8 * bool(more.get("dup")) + 2 * qos + bool(more.get("retain")))


def ack(kind: int, packet_id: int, code: int = 0, v5: bool = True, properties: Any = None) -> bytes:
    """Encode a PUBACK, PUBREC, PUBREL or PUBCOMP."""
    body = struct.pack("!H", packet_id)
    if v5 and (code or properties):
        body += bytes([code]) + props(properties)
    return frame(kind, body, 2 * (kind == PUBREL))


class PacketDecoder:
    """Splits a byte stream into packets."""

    def __init__(self) -> None:
        self.data = b""
        self.v5 = True

    def decode(self, data: bytes) -> Iterator[Packet]:
        self.data += data
        while len(self.data) >= 2:
            size, shift, at = 0, 0, 1
            while True:
                if at >= len(self.data):
                    return
                byte = self.data[at]
                size += (byte & 127) << shift
                shift, at = shift + 7, at + 1
                if byte < 128:
                    break
            if len(self.data) < at + size:
                return
            first, body, self.data = self.data[0], self.data[at : at + size], self.data[at + size :]
            yield self._packet(first // 16, first % 16, body)

    def _packet(self, kind: int, flags: int, body: bytes) -> Packet:
        it: Packet = {"kind": kind, "name": NAMES[kind], "flags": flags}
        if kind == CONNECT:
            self.v5 = body[6] == 5
            it |= {"v5": self.v5, "clean": bool(body[7] & 2), "keep_alive": int.from_bytes(body[8:10], "big")}
            it["properties"], body = self._props(body[10:])
            size = int.from_bytes(body[:2], "big")
            it["client"] = body[2 : 2 + size].decode()
        elif kind == CONNACK:
            it |= {"present": bool(body[0] & 1), "code": body[1], "properties": self._props(body[2:])[0]}
        elif kind == PUBLISH:
            size = int.from_bytes(body[:2], "big")
            it |= {"topic": body[2 : 2 + size].decode(), "qos": flags >> 1 & 3, "dup": bool(flags & 8)}
            body = body[2 + size :]
            it["retain"] = bool(flags & 1)
            if it["qos"]:
                it["id"], body = int.from_bytes(body[:2], "big"), body[2:]
            it["properties"], it["payload"] = self._props(body)
        elif kind in (PUBACK, PUBREC, PUBREL, PUBCOMP):
            it |= {"id": int.from_bytes(body[:2], "big"), "code": body[2] if len(body) > 2 else 0}
            it["properties"] = self._props(body[3:])[0] if len(body) > 3 else {}
        elif kind in (SUBSCRIBE, UNSUBSCRIBE):
            it["id"] = int.from_bytes(body[:2], "big")
            _, body = self._props(body[2:])
            it["filters"] = []
            while body:
                size = int.from_bytes(body[:2], "big")
                name, body = body[2 : 2 + size].decode(), body[2 + size :]
                options = 0
                if kind == SUBSCRIBE:
                    options, body = body[0], body[1:]
                it["filters"].append((name, options))
        elif kind in (SUBACK, UNSUBACK):
            it["id"] = int.from_bytes(body[:2], "big")
            _, body = self._props(body[2:])
            it["codes"] = list(body)
        elif kind == DISCONNECT:
            it["code"] = body[0] if body else 0
        return it

    def _props(self, body: bytes) -> tuple[dict[int, Any], bytes]:
        if not self.v5 or not body:
            return {}, body
        size, shift, at = 0, 0, 0
        while True:
            byte = body[at]
            size += (byte & 127) << shift
            shift, at = shift + 7, at + 1
            if byte < 128:
                break
        inner, rest, found = body[at : at + size], body[at + size :], dict[int, Any]()
        while inner:
            number, inner = inner[0], inner[1:]
            form = PROPERTY_ENCODINGS[number]
            if form in "bhi":
                width = {"b": 1, "h": 2, "i": 4}[form]
                value: Any = int.from_bytes(inner[:width], "big")
                inner = inner[width:]
            elif form == "v":
                value, inner = inner[0], inner[1:]  # one byte is enough for the values in tests
            else:
                value, inner = self._text(inner)
                value = value if form == "d" else value.decode()
                if form == "p":
                    second, inner = self._text(inner)
                    found.setdefault(number, []).append((value, second.decode()))
                    continue
            found[number] = value
        return found, rest

    @staticmethod
    def _text(data: bytes) -> tuple[bytes, bytes]:
        size = int.from_bytes(data[:2], "big")
        return data[2 : 2 + size], data[2 + size :]


# The client.


class ScriptedClient:
    """A scripted client: sends what a test asks for, and records all received packets."""

    def __init__(self, v5: bool = True) -> None:
        self.v5 = v5
        self.seen: list[Packet] = []
        self.closed = False
        self._changed = asyncio.Condition()
        self._decoder = PacketDecoder()
        self._decoder.v5 = v5

    async def connect(
        self, port: int, client: str = "c", properties: Any = None, clean: bool = True, **more: Any
    ) -> Packet:
        """Open a connection, send CONNECT, and return the CONNACK."""
        await self.open(port)
        flags = 2 * clean + 128 * ("user" in more) + 64 * ("password" in more)
        body = (
            _string("MQTT") + bytes([5 if self.v5 else 4, flags]) + struct.pack("!H", more.get("alive", 60))
        )
        body += (props(properties) if self.v5 else b"") + _string(client)
        body += _string(more["user"]) if "user" in more else b""
        body += _string(more["password"]) if "password" in more else b""
        self.send(frame(CONNECT, body))
        return await self.until(CONNACK)

    async def open(self, port: int) -> None:
        """Open a connection without sending anything."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        try:
            while data := await self._reader.read(65536):
                for packet in self._decoder.decode(data):
                    self.seen.append(packet)
                async with self._changed:
                    self._changed.notify_all()
        except ConnectionError:
            pass
        self.closed = True
        async with self._changed:
            self._changed.notify_all()

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(data)

    def publish(self, topic: str, payload: bytes, qos: int = 1, packet_id: int = 1, **more: Any) -> None:
        """Send a PUBLISH."""
        self.send(publish(topic, payload, qos, packet_id, self.v5, **more))

    def subscribe(self, *filters: str, packet_id: int = 99) -> None:
        """Send a SUBSCRIBE with QoS 1."""
        body = struct.pack("!H", packet_id) + (b"\0" if self.v5 else b"")
        self.send(frame(SUBSCRIBE, body + b"".join(_string(it) + b"\x01" for it in filters), 2))

    async def until(self, kind: int, count: int = 1) -> Packet:
        """Wait for the `count`-th packet of a kind; raises `ConnectionError` if closed before."""
        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(lambda: len(self.of(kind)) >= count or self.closed)
        if len(self.of(kind)) < count:
            raise ConnectionError(f"closed before {NAMES[kind]} {count}; seen {self.seen}")
        return self.of(kind)[count - 1]

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(lambda: self.closed)

    def of(self, kind: int) -> list[Packet]:
        """Return all received packets of a kind."""
        return [it for it in self.seen if it["kind"] == kind]

    def close(self) -> None:
        """Close without DISCONNECT."""
        self._writer.transport.abort()
        self._task.cancel()


# The broker.


@dataclass(eq=False)
class Session:
    """The broker's session state of a client."""

    client: str
    filters: dict[str, int] = field(default_factory=dict)
    queue: deque[Packet] = field(default_factory=deque)  # not sent yet
    in_flight: dict[int, Packet] = field(default_factory=dict)  # sent, and not acknowledged
    released: set[int] = field(default_factory=set)  # sent at QoS 2, PUBREC received, PUBREL sent
    received: dict[int, Packet] = field(default_factory=dict)  # received at QoS 2, waiting for PUBREL
    last: int = 0
    window: int = 65535
    writer: asyncio.StreamWriter | None = None
    v5: bool = True
    connects: int = 0


Fault = Callable[["Broker", Session, Packet], bool]  # returns whether it has handled the packet


class Broker:
    """The broker. `faults` are tried in order on each packet from a client; the first to handle it wins.

    `taken` holds all accepted messages, each once, in order; `packets` all received ones with their client.
    """

    def __init__(self) -> None:
        self.sessions: dict[str, Session] = {}
        self.taken: list[Packet] = []
        self.packets: list[tuple[str, Packet]] = []
        self.faults: list[Fault] = []
        self.connack: dict[int, Any] = {}  # properties of every CONNACK
        self.forced_session_present: bool | None = None
        self.refuse_connects = 0  # reason code for refusing CONNECTs; 0 to accept them
        self.port = 0
        self._next_member = 0
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> Broker:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.drop_all()

    def drop_all(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def until(self, true: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked after each packet."""
        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(true)

    def of(self, kind: int, client: str | None = None) -> list[Packet]:
        """Return all received packets of a kind."""
        return [it for who, it in self.packets if it["kind"] == kind and client in (None, who)]

    def session(self, client: str) -> Session:
        """Return the session of a client."""
        return self.sessions[client]

    async def subscribed(self, client: str, count: int = 1) -> None:
        """Wait until a client has subscribed `count` times."""
        await self.until(lambda: len(self.of(SUBSCRIBE, client)) >= count)

    # Serving.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder, session = PacketDecoder(), None
        self._writers.add(writer)
        try:
            while data := await reader.read(65536):
                for packet in decoder.decode(data):
                    if packet["kind"] == CONNECT:
                        session = self._on_connect(packet, writer)
                    if session is not None:
                        self.packets.append((session.client, packet))
                        if not any(fault(self, session, packet) for fault in self.faults):
                            self.handle(session, packet)
                async with self._changed:
                    self._changed.notify_all()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
            if session is not None and session.writer is writer:
                session.writer = None

    def _on_connect(self, packet: Packet, writer: asyncio.StreamWriter) -> Session | None:
        v5, client = packet["v5"], packet["client"]
        if self.refuse_connects:
            writer.write(frame(CONNACK, bytes([0, self.refuse_connects]) + (b"\0" if v5 else b"")))
            writer.close()
            return None
        before = self.sessions.get(client)
        if before is not None and before.writer is not None:
            if v5:
                before.writer.write(frame(DISCONNECT, b"\x8e"))
            before.writer.close()
        kept = before is not None and not packet["clean"]
        session = before if before is not None and kept else Session(client)
        session.connects = 1 if before is None else before.connects + 1
        self.sessions[client] = session
        session.writer, session.v5 = writer, v5
        session.window = packet["properties"].get(RECEIVE_MAXIMUM, 65535) if v5 else 65535
        present = kept if self.forced_session_present is None else self.forced_session_present
        writer.write(frame(CONNACK, bytes([present, 0]) + (props(self.connack) if v5 else b"")))
        return session

    def handle(self, session: Session, packet: Packet) -> None:
        """Handle a packet as the standard requires."""
        kind = packet["kind"]
        if kind == CONNECT:
            self._resume(session)
        elif kind == PUBLISH:
            self._on_publish(session, packet)
        elif kind == PUBREL:
            message = session.received.pop(packet["id"], None)
            if message is not None:
                self.take(message)
            self.write(session, ack(PUBCOMP, packet["id"], 0 if message else 0x92, session.v5))
        elif kind in (PUBACK, PUBCOMP):
            session.in_flight.pop(packet["id"], None)
            session.released.discard(packet["id"])
            self._deliver(session)
        elif kind == PUBREC:
            if packet["code"] >= 0x80:
                session.in_flight.pop(packet["id"], None)
                self._deliver(session)
            else:
                session.released.add(packet["id"])
                self.write(session, ack(PUBREL, packet["id"], 0, session.v5))
        elif kind == SUBSCRIBE:
            session.filters |= {name: options & 3 for name, options in packet["filters"]}
            granted = bytes(options & 3 for _, options in packet["filters"])
            body = struct.pack("!H", packet["id"]) + (b"\0" if session.v5 else b"") + granted
            self.write(session, frame(SUBACK, body))
        elif kind == PINGREQ:
            self.write(session, frame(PINGRESP, b""))

    def _resume(self, session: Session) -> None:
        """Resend unacknowledged packets under their packet ids."""
        for packet_id, message in session.in_flight.items():
            if packet_id in session.released:
                self.write(session, ack(PUBREL, packet_id, 0, session.v5))
            else:
                self._send_publish(session, packet_id, message, dup=True)
        self._deliver(session)

    def _on_publish(self, session: Session, packet: Packet) -> None:
        if packet["qos"] == 2:
            session.received.setdefault(packet["id"], packet)
            self.write(session, ack(PUBREC, packet["id"], 0, session.v5))
            return
        self.take(packet)
        if packet["qos"]:
            self.write(session, ack(PUBACK, packet["id"], 0, session.v5))

    def take(self, message: Packet) -> None:
        """Accept a message, and deliver it to its subscribers."""
        self.taken.append(message)
        shared: dict[str, list[tuple[Session, int]]] = {}
        for session in self.sessions.values():
            for name, qos in session.filters.items():
                group, _, rest = name.removeprefix("$share/").partition("/")
                if not name.startswith("$share/"):
                    if _matches(name, message["topic"]):
                        self._put(session, message, qos)
                elif _matches(rest, message["topic"]):
                    shared.setdefault(group, []).append((session, qos))
        for members in shared.values():
            online = [it for it in members if it[0].writer is not None] or members
            self._next_member += 1
            session, qos = online[self._next_member % len(online)]
            self._put(session, message, qos)

    def _put(self, session: Session, message: Packet, qos: int) -> None:
        session.queue.append(message | {"qos": min(qos, message["qos"])})
        self._deliver(session)

    def _deliver(self, session: Session) -> None:
        while session.queue and session.writer is not None and len(session.in_flight) < session.window:
            message = session.queue.popleft()
            if not message["qos"]:
                self._send_publish(session, 0, message)
                continue
            session.last = session.last % 65535 + 1
            while session.last in session.in_flight:
                session.last = session.last % 65535 + 1
            session.in_flight[session.last] = message
            self._send_publish(session, session.last, message)

    def _send_publish(self, session: Session, packet_id: int, message: Packet, dup: bool = False) -> None:
        self.write(
            session,
            publish(
                message["topic"],
                message["payload"],
                message["qos"],
                packet_id,
                session.v5,
                dup=dup,
                properties=message["properties"],
                retain=message.get("kept", False),
            ),
        )

    def write(self, session: Session, data: bytes) -> None:
        """Write to a client if it is connected."""
        if session.writer is not None:
            session.writer.write(data)

    def offer(self, topic: str, payload: bytes, qos: int = 1, **more: Any) -> None:
        """Accept a message as if a publisher had sent it; `more`: properties, and kept for a retained one."""
        message = {"topic": topic, "payload": payload, "qos": qos, "properties": more.get("properties", {})}
        self.take(message | {"kept": more.get("kept", False)})

    def cut_off(self, session: Session, keep: bool = True) -> None:
        """Reset a client's connection, and discard its session unless `keep`."""
        if session.writer is not None:
            session.writer.transport.abort()
            session.writer = None
        if not keep:
            self.sessions.pop(session.client, None)


def _matches(name: str, topic: str) -> bool:
    wanted, given = name.split("/"), topic.split("/")
    for at, level in enumerate(wanted):
        if level == "#":
            return True
        if at >= len(given) or level not in ("+", given[at]):
            return False
    return len(wanted) == len(given)


# Faults.


def once(kind: int, deal: Callable[[Broker, Session, Packet], None], after: int = 0) -> Fault:
    """Return a fault that handles one packet of a kind with `deal`, after `after` handled normally."""
    left = [after]

    def fault(broker: Broker, session: Session, packet: Packet) -> bool:
        if packet["kind"] != kind or left[0] < 0:
            return False
        left[0] -= 1
        if left[0] >= 0:
            return False
        deal(broker, session, packet)
        return True

    return fault
