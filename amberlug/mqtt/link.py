"""A reconnecting client connection to a broker: one session over successive sockets."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from amberlug.core.log import log
from amberlug.core.ports import Address
from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.mapping import Login
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
    TopicSubscription,
)
from amberlug.mqtt.properties import PROTOCOL_ERROR, P, Properties
from amberlug.mqtt.sessions import Incoming, Outgoing
from amberlug.mqtt.wire import MAX_PACKET_BYTES, Wire

CONNECT_TIMEOUT = 2.0  # seconds to connect, and again to receive the CONNACK
BACKOFF = 0.1, 5.0  # first and longest reconnect delay in seconds; jittered to between half and all of it
STABLE_AFTER = 10.0  # seconds after which losing a connection resets the reconnect delay
DEFAULT_WINDOW_V3 = 20  # in-flight publishes to a 3.1.1 broker, which can't announce a receive maximum


@dataclass(frozen=True, slots=True)
class Session:
    """Session state from a broker's CONNACK."""

    present: bool
    window: int


class Link:
    """A session with one broker. `publish` is called with each received publish and must not block.

    With `filters` it stays connected and reconnects after each loss; without, it connects only while a
    publish waits for it. `up` is called after each accepted connection.
    """

    def __init__(
        self,
        login: Login,
        address: Address,
        filters: tuple[TopicSubscription, ...] = (),
        publish: Callable[[Publish], None] | None = None,
        up: Callable[[], None] | None = None,
    ) -> None:
        self.login, self._address, self._filters = login, address, filters
        self._publish, self._up = publish, up
        self.incoming = Incoming(login.window)
        self.outgoing = Outgoing(self._write)
        self._wire: Wire | None = None
        self._session: asyncio.Future[Session] | None = None
        self._ended: asyncio.Future[str] | None = None
        self._task: asyncio.Task[None] | None = None
        self._window_waiters: deque[asyncio.Future[bool]] = deque()
        self._was_connected = False  # whether this process has been connected before
        self._stopped = False
        self.connected = False

    def start(self) -> None:
        """Start connecting."""
        if self._task is None and not self._stopped:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Send DISCONNECT and close; in-flight publishes get no result."""
        self._stopped = True
        if self._wire is not None:
            self._wire.write(Disconnect())
            self._wire.close("stopped")
        if self._task is not None:
            self._task.cancel()
        self._fail_waiters()

    def abort(self, why: str) -> None:
        """Close the connection at once; it is reestablished if it is still needed."""
        if self._wire is not None:
            self._wire.abort(why)

    @property
    def last_received(self) -> float:
        """When data was last received, by the loop's clock."""
        return self._wire.last_received if self._wire is not None else 0.0

    async def reserve(self) -> bool:
        """Wait for and reserve a place in the send window; False if there is no connection."""
        if self.outgoing.has_room and not self._window_waiters:
            self.outgoing.reserve()
            return True
        if self._stopped:
            return False
        self.start()
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._window_waiters.append(waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.release()
            raise

    def release(self) -> None:
        """Release a reserved place without publishing."""
        self.outgoing.release()
        self._wake_waiters()

    def send(self, packet: Publish, done: Callable[..., None]) -> None:
        """Publish, using the reserved place."""
        self.outgoing.release()
        self.outgoing.publish(packet, done)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        while self._window_waiters and self.outgoing.has_room:
            waiter = self._window_waiters.popleft()
            if not waiter.done():
                self.outgoing.reserve()
                waiter.set_result(True)

    def _fail_waiters(self) -> None:
        while self._window_waiters:
            waiter = self._window_waiters.popleft()
            if not waiter.done():
                waiter.set_result(False)

    # The connection.

    @property
    def _needed(self) -> bool:
        return bool(self._filters or self._window_waiters or self.outgoing.awaiting_pubcomp)

    async def _run(self) -> None:
        pause, loop = BACKOFF[0], asyncio.get_running_loop()
        try:
            while self._needed and not self._stopped:
                start = loop.time()
                why = await self._serve_connection()
                self.connected = False
                self.outgoing.connection_lost()
                if self._stopped:
                    return
                log(f"mqtt: {self.login.name}: {why}")
                if not self.outgoing.awaiting_pubcomp:
                    self._fail_waiters()
                pause = BACKOFF[0] if loop.time() - start > STABLE_AFTER else min(2 * pause, BACKOFF[1])
                if self._needed:
                    await asyncio.sleep(pause * random.uniform(0.5, 1.0))
        finally:
            self._task = None
            self._fail_waiters()

    async def _serve_connection(self) -> str:
        """Connect once and serve the connection until it ends; return the reason for the end."""
        loop = asyncio.get_running_loop()
        session, ended = loop.create_future(), loop.create_future()
        self._session, self._ended = session, ended
        wire = Wire(self._on_packet, self._on_lost, self.login.version)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: wire, *self._address)
        except (OSError, TimeoutError) as error:
            return f"no connection: {error or 'timed out'}"
        self._wire = wire
        try:
            self._send_connect(wire)
            done, _ = await asyncio.wait(
                {session, ended}, timeout=CONNECT_TIMEOUT, return_when=asyncio.FIRST_COMPLETED
            )
            if not session.done():
                return str(ended.result()) if ended in done else "no CONNACK in time"
            if session.exception() is not None:
                return str(session.exception())
            return await self._keep_alive(wire, ended)
        finally:
            wire.abort("left")
            self._wire = None

    def _send_connect(self, wire: Wire) -> None:
        keep = bool(self._filters) or self.outgoing.awaiting_pubcomp
        properties: dict[P, object] = {
            P.RECEIVE_MAXIMUM: self.login.window,
            P.MAXIMUM_PACKET_SIZE: MAX_PACKET_BYTES,
        }
        properties[P.SESSION_EXPIRY] = self.login.session_expiry
        login = self.login
        password = None if login.password is None else login.password.encode()
        wire.write(
            Connect(
                login.client_id,
                login.version,
                not keep,
                login.keep_alive,
                login.username,
                password,
                properties=properties,
            )
        )

    def _on_accepted(self, session: Session) -> None:
        """Resume work on a connection that the broker has accepted."""
        # Guards against a broker that reports a session which this process never had: packet ids that it
        # still holds from an earlier process would be mistaken for this one's.
        self.incoming.connected(session.present)
        self.outgoing.connected(session.present and self._was_connected, session.window)
        self._was_connected = True
        self.connected = True
        log(f"mqtt: {self.login.name}: connected, session {'resumed' if session.present else 'new'}")
        if self._filters:
            self._write(Subscribe(1, self._filters))
        self._wake_waiters()
        if self._up is not None:
            self._up()

    async def _keep_alive(self, wire: Wire, ended: asyncio.Future[str]) -> str:
        """Wait until the connection ends; send PINGREQ, and abort it if the broker stays silent."""
        loop, every = asyncio.get_running_loop(), self.login.keep_alive / 2
        while not ended.done():
            await asyncio.wait({ended}, timeout=every)
            silent = loop.time() - wire.last_received > self.login.keep_alive * 1.5
            if not ended.done() and silent and not wire.reading_paused:
                wire.abort("silent")
            elif not ended.done():
                wire.write(Ping(Kind.PINGREQ))
        return ended.result()

    def _on_lost(self, why: str) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(why)

    def _write(self, packet: Packet) -> None:
        if self._wire is not None:
            self._wire.write(packet)

    def answer(self, packet_id: int, code: int = 0, properties: Properties | None = None) -> None:
        """Acknowledge a received publish."""
        if (ack := self.incoming.answer(packet_id, code, properties or {})) is not None:
            self._write(ack)

    def set_reading_paused(self, paused: bool) -> None:
        """Pause reading, or resume it."""
        if self._wire is not None:
            if paused:
                self._wire.pause_reading()
            else:
                self._wire.resume_reading()

    def _on_packet(self, packet: Packet) -> None:
        match packet:
            case Connack():
                self._on_connack(packet)
            case Publish() if self.connected:
                self._on_publish(packet)
            case Ack(Kind.PUBREL, packet_id):
                self._write(self.incoming.release(packet_id))
            case Ack():
                self.outgoing.handle_ack(packet)
                self._wake_waiters()
            case SubscriptionAck(Kind.SUBACK, _, codes):
                for subscription, code in zip(self._filters, codes, strict=False):
                    if code >= 0x80:
                        log(
                            f"mqtt: {self.login.name}: "
                            f"subscription to {subscription.filter} refused: 0x{code:02x}"
                        )
            case Ping(Kind.PINGRESP) | SubscriptionAck():
                pass
            case Disconnect(code):
                if self._wire is not None:
                    self._wire.close(f"disconnected by the broker with 0x{code:02x}")
            case _:
                raise MqttError(PROTOCOL_ERROR, f"unexpected {type(packet).__name__} from a broker")

    def _on_connack(self, packet: Connack) -> None:
        assert self._session is not None
        if self._session.done():
            raise MqttError(PROTOCOL_ERROR, "second CONNACK on a connection")
        if packet.code:
            self._session.set_exception(ConnectionError(f"connection refused: 0x{packet.code:02x}"))
            return
        if self.login.version == V5:
            window = int(packet.properties.get(P.RECEIVE_MAXIMUM, 0xFFFF))
        else:
            window = DEFAULT_WINDOW_V3
        session = Session(packet.session_present, min(window, self.login.window))
        self._session.set_result(session)
        self._on_accepted(session)  # synchronously: redelivered publishes may follow in the same read

    def _on_publish(self, packet: Publish) -> None:
        if not packet.topic:
            raise MqttError(PROTOCOL_ERROR, "topic alias used, but the topic alias maximum is 0")
        is_new, ack = self.incoming.receive(packet)
        if ack is not None:
            self._write(ack)
        if is_new and self._publish is not None:
            self._publish(packet)
