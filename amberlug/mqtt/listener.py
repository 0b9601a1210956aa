"""MQTT server for publishers without a broker: takes their publishes and sends them the outcomes."""

from __future__ import annotations

import asyncio
import hmac
import socket
from enum import Enum
from uuid import uuid4

from amberlug.core.log import log
from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.intake import Decision, Intake, PendingPublish
from amberlug.mqtt.mapping import LISTENER, NOT_AUTHORIZED
from amberlug.mqtt.mapping import Listener as ListenerConfig
from amberlug.mqtt.outcomes import MqttOutcomeNotifier, PublishDone
from amberlug.mqtt.packets import (
    V5,
    Ack,
    Connack,
    Connect,
    Disconnect,
    Kind,
    Packet,
    Ping,
    Publish,
    Subscribe,
    SubscriptionAck,
    Unsubscribe,
)
from amberlug.mqtt.properties import PROTOCOL_ERROR, P
from amberlug.mqtt.replies import RETRY
from amberlug.mqtt.sessions import Incoming, Outgoing
from amberlug.mqtt.topics import matches
from amberlug.mqtt.wire import MAX_PACKET_BYTES, Wire

CONNECT_TIMEOUT = 2.0  # seconds until the whole CONNECT must have arrived
PACKET_TIMEOUT = 5.0  # seconds from the first byte of a packet to its last
TIMEOUT_CHECK_INTERVAL = 0.25  # seconds between checks for connections that have timed out
BACKLOG, ACCEPTS_PER_ITERATION = 512, 16
OUTCOME_TOPICS = "ends"  # first level of outcome topics; the client id is the second
MAX_FILTERS = 8  # subscriptions per connection
DEFAULT_WINDOW_V3 = 20  # in-flight outcomes to a 3.1.1 client, which can't announce a receive maximum
BAD_CREDENTIALS, SERVER_BUSY, SESSION_TAKEN_OVER = 0x86, 0x89, 0x8E
SERVER_SHUTTING_DOWN, KEEP_ALIVE_TIMEOUT, RETAIN_NOT_SUPPORTED = 0x8B, 0x8D, 0x9A
# 5.0 reason code to 3.1.1 return code.
RETURN_CODES = {BAD_CREDENTIALS: 4, SERVER_BUSY: 3, 0x84: 1, 0x85: 2, NOT_AUTHORIZED: 5}


def outcome_topic(client_id: str) -> str:
    """Return the topic for a client's outcomes, unless a publish names a response topic below it."""
    return f"{OUTCOME_TOPICS}/{client_id}"


class Phase(Enum):
    """State of a connection."""

    AWAITING_CONNECT = "connect"
    OPEN = "open"
    CLOSED = "closed"


class Session:
    """One connection of a publisher. No session state outlasts it, and the CONNACK says so."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self.wire = Wire(self._on_packet, self._on_lost)
        self.phase = Phase.AWAITING_CONNECT
        self.client_id = ""
        self.since = asyncio.get_running_loop().time()
        self._incoming = Incoming(listener.allowed.window)
        self._outgoing = Outgoing(self.wire.write)
        self._pending: dict[PendingPublish, None] = {}
        self.filters: set[str] = set()
        self._keep_alive = 0.0

    # Timeouts.

    def timeout(self, now: float) -> tuple[int, str] | None:
        """Return the reason code and text if the connection has timed out."""
        if self.phase is Phase.AWAITING_CONNECT:
            return (KEEP_ALIVE_TIMEOUT, "no CONNECT in time") if now - self.since > CONNECT_TIMEOUT else None
        if now - self.wire.last_received > self._keep_alive:
            return KEEP_ALIVE_TIMEOUT, "silent for longer than its keep-alive"
        if self.wire.incomplete_for(now) > PACKET_TIMEOUT:
            return KEEP_ALIVE_TIMEOUT, "incomplete packet timed out"
        return None

    # Received packets.

    def _on_packet(self, packet: Packet) -> None:
        if self.phase is Phase.AWAITING_CONNECT:
            if not isinstance(packet, Connect):
                raise MqttError(PROTOCOL_ERROR, "packet before CONNECT")
            self._on_connect(packet)
            return
        match packet:
            case Publish():
                self._on_publish(packet)
            case Ack(Kind.PUBREL, packet_id):
                self.wire.write(self._incoming.release(packet_id))
            case Ack():
                self._outgoing.handle_ack(packet)
            case Subscribe():
                self._on_subscribe(packet)
            case Unsubscribe(packet_id, filters):
                self.filters.difference_update(filters)
                self.wire.write(SubscriptionAck(Kind.UNSUBACK, packet_id, (0,) * len(filters)))
            case Ping(Kind.PINGREQ):
                self.wire.write(Ping(Kind.PINGRESP))
            case Disconnect():
                self.wire.close("it left")
            case _:
                raise MqttError(PROTOCOL_ERROR, f"unexpected {type(packet).__name__} from a client")

    def _on_connect(self, packet: Connect) -> None:
        code = self._listener.check_connect(packet)
        if code:
            self.wire.write(Connack(code if packet.version == V5 else RETURN_CODES.get(code, 3)))
            self.wire.close(f"connection refused: 0x{code:02x}")
            return
        allowed = self._listener.allowed
        max_keep_alive = allowed.keep_alive
        keep_alive = min(packet.keep_alive or max_keep_alive, max_keep_alive)
        properties: dict[P, object] = {
            P.RECEIVE_MAXIMUM: allowed.window,
            P.MAXIMUM_PACKET_SIZE: MAX_PACKET_BYTES,
            P.SESSION_EXPIRY: 0,
            P.RETAIN_AVAILABLE: 0,
            P.SHARED_AVAILABLE: 0,
            P.SUBSCRIPTION_ID_AVAILABLE: 0,
        }
        if keep_alive != packet.keep_alive:
            properties[P.SERVER_KEEP_ALIVE] = keep_alive
        self.client_id = packet.client_id
        if not self.client_id:
            self.client_id = properties[P.ASSIGNED_CLIENT_ID] = uuid4().hex
        self._keep_alive = (
            packet.keep_alive if packet.version != V5 else keep_alive
        ) * 1.5 or max_keep_alive * 1.5
        self.phase = Phase.OPEN
        receive_maximum = packet.properties.get(P.RECEIVE_MAXIMUM, 0xFFFF)
        self._outgoing.connected(False, receive_maximum if packet.version == V5 else DEFAULT_WINDOW_V3)
        self._listener.register(self)
        self.wire.write(Connack(0, False, properties))

    def _on_publish(self, packet: Publish) -> None:
        if packet.retain and self.wire.version == V5:
            raise MqttError(RETAIN_NOT_SUPPORTED, "retained messages are not supported")
        if not packet.topic:
            raise MqttError(0x94, "topic alias used, but the topic alias maximum is 0")
        is_new, ack = self._incoming.receive(packet)
        if ack is not None:
            self.wire.write(ack)
        if not is_new:
            return
        topic = packet.properties.get(P.RESPONSE_TOPIC, "")
        if topic and not self._may_subscribe(topic):
            text = f"ends go to {outcome_topic(self.client_id)} alone"
            self._on_decision(packet, Decision(NOT_AUTHORIZED, text))
            return
        is_subscribed = any(
            matches(topic_filter, outcome_topic(self.client_id)) for topic_filter in self.filters
        )
        default = outcome_topic(self.client_id) if is_subscribed else ""
        pending: list[PendingPublish] = []

        def done(decision: Decision) -> None:
            """Stop tracking the publish, and answer it."""
            for publish in pending:
                self._pending.pop(publish, None)
            self._on_decision(packet, decision)

        publish = self._listener.intake.submit(LISTENER, packet, default, done)
        if publish is not None:
            pending.append(publish)
            if not publish.decided:
                self._pending[publish] = None

    def _on_decision(self, packet: Publish, decision: Decision) -> None:
        """Answer a publish: by reason code in 5.0; 3.1.1 can refuse only by closing the connection."""
        if not packet.qos:
            if decision.code:
                self._listener.intake.count_dropped(LISTENER, packet, decision.text)
            return
        if decision.code and self.wire.version != V5:
            # An acknowledgement would mean acceptance. The client reconnects after its own delay and
            # publishes again what was not acknowledged.
            self.wire.close(f"{packet.topic[:80]!r} refused by closing the 3.1.1 connection: {decision.text}")
            return
        properties: dict[P, object] = {}
        if decision.code:
            properties[P.REASON_STRING] = decision.text
        if decision.retry_ms:
            properties[P.USER] = [(RETRY, str(decision.retry_ms))]
        if (ack := self._incoming.answer(packet.packet_id, decision.code, properties)) is not None:
            self.wire.write(ack)

    def _on_subscribe(self, packet: Subscribe) -> None:
        codes = []
        for subscription in packet.subscriptions:
            if subscription.filter in self.filters or len(self.filters) < MAX_FILTERS:
                name = subscription.filter
                good = self._may_subscribe(name.removesuffix("/#")) and "+" not in name
                if good:
                    self.filters.add(subscription.filter)
                codes.append(min(subscription.qos, 1) if good else self._suback_code(NOT_AUTHORIZED))
            else:
                codes.append(self._suback_code(0x97))
        self.wire.write(SubscriptionAck(Kind.SUBACK, packet.packet_id, tuple(codes)))
        self._listener.subscribed(self)

    def _suback_code(self, code: int) -> int:
        return code if self.wire.version == V5 else 0x80

    def _may_subscribe(self, topic: str) -> bool:
        client_topic = outcome_topic(self.client_id)
        return topic == client_topic or topic.startswith(client_topic + "/")

    # Sent packets.

    def is_subscribed(self, topic: str) -> bool:
        """Whether the client has subscribed to a topic."""
        return any(matches(topic_filter, topic) for topic_filter in self.filters)

    def tell(self, packet: Publish, done: PublishDone) -> bool:
        """Publish an outcome; False while the send window is full."""
        if not self._outgoing.has_room:
            return False
        self._outgoing.publish(packet, lambda result, code, properties: done(result, code))
        return True

    def disconnect(self, code: int, why: str) -> None:
        """Disconnect the client with a reason code."""
        self.wire.fail(code, why)

    def _on_lost(self, why: str) -> None:
        was_open = self.phase is Phase.OPEN
        self.phase = Phase.CLOSED
        self._listener.closed(self)
        for publish in list(self._pending):
            self._listener.intake.withdraw(publish)
        self._pending.clear()
        self._outgoing.connection_lost()
        if was_open and why not in ("it left", "closed by the other side"):
            log(f"mqtt: {self.client_id[:80]!r}: {why}")


class Listener:
    """Accepts connections up to a limit, and sends publishers the outcomes of their messages."""

    def __init__(self, allowed: ListenerConfig, intake: Intake, notifier: MqttOutcomeNotifier) -> None:
        self.allowed, self.intake, self._notifier = allowed, intake, notifier
        self._sessions: dict[Session, None] = {}  # the oldest first
        self._clients: dict[str, Session] = {}
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._closing = False
        notifier.origins[LISTENER] = self

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address can't be bound."""
        loop = asyncio.get_running_loop()
        host = self.allowed.address[0]
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server(self.allowed.address, family=family)
        # asyncio accepts up to `backlog` connections per loop iteration, so the socket's own is set after.
        self._server = await loop.create_server(self._accept, sock=sock, backlog=ACCEPTS_PER_ITERATION)
        sock.listen(BACKLOG)
        self._close_timed_out()

    def _accept(self) -> Wire:
        session = Session(self)
        self._sessions[session] = None
        if len(self._sessions) > self.allowed.connections:
            # Guards against hundreds of connections without a CONNECT: the oldest of those is closed.
            silent = next(
                (other for other in self._sessions if other.phase is Phase.AWAITING_CONNECT), session
            )
            asyncio.get_running_loop().call_soon(silent.wire.abort, "too many connections")
        return session.wire

    def check_connect(self, packet: Connect) -> int:
        """Return the reason code for a CONNECT; 0 if it is accepted."""
        if self._closing:
            return SERVER_SHUTTING_DOWN
        if self.intake.node is None or not self.intake.node.ready:
            return SERVER_BUSY
        if any(sign in packet.client_id for sign in "/+#") or len(packet.client_id) > 128:
            return 0x85
        users = self.allowed.users
        if users:
            secret = users.get(packet.username or "")
            given = packet.password or b""
            if secret is None or not hmac.compare_digest(secret.encode(), given):
                return BAD_CREDENTIALS
        return 0

    def register(self, session: Session) -> None:
        """Register a client after its CONNECT; an older connection with the same id is closed."""
        older = self._clients.get(session.client_id)
        self._clients[session.client_id] = session
        if older is not None:
            older.disconnect(SESSION_TAKEN_OVER, "taken over by another connection")

    def closed(self, session: Session) -> None:
        """Unregister a session whose connection has ended."""
        self._sessions.pop(session, None)
        if self._clients.get(session.client_id) is session:
            del self._clients[session.client_id]

    def subscribed(self, session: Session) -> None:
        """Publish the pending outcomes to whose topics a session is subscribed."""
        self._notifier.subscribed(LISTENER, session.is_subscribed)

    def tell(self, packet: Publish, done: PublishDone) -> bool | None:
        """Publish an outcome. Returns None without a subscriber, False while the send window is full."""
        client = packet.topic.split("/")[1] if packet.topic.startswith(f"{OUTCOME_TOPICS}/") else ""
        session = self._clients.get(client)
        if session is None or session.phase is not Phase.OPEN or not session.is_subscribed(packet.topic):
            return None
        return session.tell(packet, done)

    def _close_timed_out(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for session in list(self._sessions):
            if (timeout := session.timeout(now)) is not None:
                session.disconnect(*timeout)
        self._timeout_timer = loop.call_later(TIMEOUT_CHECK_INTERVAL, self._close_timed_out)

    def close(self) -> None:
        """Stop accepting connections, and disconnect the open ones."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for session in list(self._sessions):
            session.disconnect(SERVER_SHUTTING_DOWN, "server shutting down")
