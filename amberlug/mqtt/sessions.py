"""In-flight state of one side of an MQTT session, without I/O.

`Incoming` tracks publishes from the peer, `Outgoing` this side's own. Both outlast a connection if the
session does. Source: OASIS MQTT 5.0, sections 4.3, 4.4 and 4.9.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.packets import Ack, Kind, Publish
from amberlug.mqtt.properties import NONE, Properties

RECEIVE_MAXIMUM_EXCEEDED = 0x93
PACKET_ID_NOT_FOUND = 0x92
MAX_PACKET_ID = 0xFFFF


class Incoming:
    """Received publishes: each is acknowledged once it is accepted or refused.

    At QoS 2 a packet id stays in use from a successful PUBREC until its PUBREL; a publish with that id is a
    duplicate until then, and is acknowledged again without being processed.
    """

    def __init__(self, window: int) -> None:
        self._window = window
        self._open: dict[int, int] = {}  # unacknowledged packet ids and their QoS
        self._received: set[int] = set()  # packet ids that wait for PUBREL

    def receive(self, packet: Publish) -> tuple[bool, Ack | None]:
        """Return whether to process a publish, and any immediate answer; raises `MqttError` if too many."""
        if not packet.qos:
            return True, None
        if packet.packet_id in self._received and packet.qos == 2:
            return False, Ack(Kind.PUBREC, packet.packet_id)
        if packet.packet_id in self._open:
            return False, None  # duplicate of a publish in progress
        if len(self._open) + len(self._received) >= self._window:
            raise MqttError(RECEIVE_MAXIMUM_EXCEEDED, f"more than {self._window} publishes in flight")
        self._open[packet.packet_id] = packet.qos
        return True, None

    def answer(self, packet_id: int, code: int = 0, properties: Properties = NONE) -> Ack | None:
        """Return the acknowledgement of a publish; None if its connection was lost meanwhile."""
        qos = self._open.pop(packet_id, 0)
        if not qos:
            return None
        if qos == 1:
            return Ack(Kind.PUBACK, packet_id, code, properties)
        if code < 0x80:
            self._received.add(packet_id)
        return Ack(Kind.PUBREC, packet_id, code, properties)

    def release(self, packet_id: int) -> Ack:
        """Return the answer to a PUBREL."""
        known = packet_id in self._received
        self._received.discard(packet_id)
        return Ack(Kind.PUBCOMP, packet_id, 0 if known else PACKET_ID_NOT_FOUND)

    def connected(self, session_present: bool) -> None:
        """Start on a new connection: the peer may redeliver publishes that were not acknowledged."""
        self._open.clear()
        if not session_present:
            self._received.clear()


class Stage(Enum):
    """The packet that an own publish waits for."""

    PUBACK = "puback"
    PUBREC = "pubrec"
    PUBCOMP = "pubcomp"


class PublishResult(Enum):
    """The result of an own publish."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # by a reason code
    LOST = "lost"  # sent, but its acknowledgement will never arrive
    DROPPED = "dropped"  # never sent


Done = Callable[[PublishResult, int, Properties], None]  # result, reason code, properties


@dataclass(slots=True)
class _InFlight:
    """An own publish in flight."""

    done: Done
    stage: Stage


class Outgoing:
    """Own publishes: packet ids, the peer's receive maximum, and acknowledgements.

    Never retransmits a PUBLISH: one that was lost with its connection is reported as lost, and the caller
    decides. Only at QoS 2 after PUBREC does the exchange continue with PUBREL if the session still exists.
    A packet id lost at QoS 2 is not reused in the same session: the peer may still hold it, and would take a
    new message for a duplicate.
    """

    def __init__(self, write: Callable[[Publish | Ack], None]) -> None:
        self._write = write
        self._in_flight: dict[int, _InFlight] = {}
        self._blocked_ids: set[int] = set()
        self._last = 0
        self._reserved = 0
        self._window = 0  # the peer's receive maximum; 0 while disconnected

    @property
    def has_room(self) -> bool:
        """Whether the send window has a free place."""
        return len(self._in_flight) + self._reserved < self._window

    @property
    def awaiting_pubcomp(self) -> bool:
        """Whether the session must be kept, because a PUBREL is to be sent or answered."""
        return any(publish.stage is Stage.PUBCOMP for publish in self._in_flight.values())

    def reserve(self) -> None:
        """Reserve a place in the send window."""
        self._reserved += 1

    def release(self) -> None:
        """Release a reserved place."""
        self._reserved -= 1

    def publish(self, packet: Publish, done: Done) -> None:
        """Publish now, at QoS 1 or 2; reports `DROPPED` if disconnected."""
        if not self._window:
            done(PublishResult.DROPPED, 0, NONE)
            return
        packet_id = self._next_id()
        self._in_flight[packet_id] = _InFlight(done, Stage.PUBACK if packet.qos == 1 else Stage.PUBREC)
        self._write(replace(packet, packet_id=packet_id))

    def _next_id(self) -> int:
        """Return an unused packet id; those in flight or blocked are far fewer than the 65,535 that exist."""
        while True:
            self._last = self._last % MAX_PACKET_ID + 1
            if self._last not in self._in_flight and self._last not in self._blocked_ids:
                return self._last

    def handle_ack(self, ack: Ack) -> None:
        """Process an acknowledgement. Unexpected ones are ignored, except that a PUBREC gets a PUBREL."""
        out = self._in_flight.get(ack.packet_id)
        if out is None or out.stage is not _STAGES[ack.kind]:
            if ack.kind is Kind.PUBREC and (out is None or out.stage is Stage.PUBCOMP):
                self._write(Ack(Kind.PUBREL, ack.packet_id, PACKET_ID_NOT_FOUND if out is None else 0))
            return
        if ack.kind is Kind.PUBREC and ack.code < 0x80:
            out.stage = Stage.PUBCOMP
            self._write(Ack(Kind.PUBREL, ack.packet_id))
            return
        del self._in_flight[ack.packet_id]
        result = PublishResult.ACKNOWLEDGED
        if ack.code >= 0x80:
            # A PUBCOMP with "packet identifier not found": the peer released it before, or lost it.
            result = PublishResult.LOST if ack.kind is Kind.PUBCOMP else PublishResult.REFUSED
        out.done(result, ack.code, ack.properties)

    def connection_lost(self) -> None:
        """Handle a lost connection: unacknowledged publishes are lost, except those waiting for PUBCOMP."""
        self._window = 0
        lost = {
            number: publish
            for number, publish in self._in_flight.items()
            if publish.stage is not Stage.PUBCOMP
        }
        for number, publish in lost.items():
            del self._in_flight[number]
            if publish.stage is Stage.PUBREC:
                self._blocked_ids.add(number)
        for publish in lost.values():
            publish.done(PublishResult.LOST, 0, NONE)

    def connected(self, session_present: bool, window: int) -> None:
        """Resume on a new connection; `window` is the peer's receive maximum."""
        self._window = window
        if not session_present:
            self._blocked_ids.clear()
            self.abandon()
        for number in self._in_flight:
            self._write(Ack(Kind.PUBREL, number))

    def abandon(self) -> None:
        """Report everything in flight as lost, because the session no longer exists."""
        lost, self._in_flight = self._in_flight, {}
        for publish in lost.values():
            publish.done(PublishResult.LOST, 0, NONE)


_STAGES = {Kind.PUBACK: Stage.PUBACK, Kind.PUBREC: Stage.PUBREC, Kind.PUBCOMP: Stage.PUBCOMP}
