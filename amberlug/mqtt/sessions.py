"""What one side of an MQTT session remembers of publishes on their way, without I/O.

`Incoming` answers for what the other side publishes, `Outgoing` for what this one does. Both outlast a
connection where the session does. Source: OASIS MQTT 5.0, sections 4.3, 4.4 and 4.9.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.packets import Ack, Kind, Publish
from amberlug.mqtt.properties import NONE, Properties

TOO_MANY = 0x93  # receive maximum exceeded
NOT_FOUND = 0x92  # packet id not found
IDS = 0xFFFF


class Incoming:
    """Publishes that have come: each is answered once what becomes of it is known.

    At QoS 2 a packet id whose PUBREC said yes stays until its PUBREL; a publish with it until then is the
    same one, and is answered again without being offered to anybody.
    """

    def __init__(self, window: int) -> None:
        self._window = window
        self._open: dict[int, int] = {}  # packet ids that wait for an answer, and their QoS
        self._received: set[int] = set()  # that wait for their PUBREL

    def came(self, packet: Publish) -> tuple[bool, Ack | None]:
        """Whether a publish is to be offered, and what goes out at once; `MqttError` if it is too many."""
        if not packet.qos:
            return True, None
        if packet.packet_id in self._received and packet.qos == 2:
            return False, Ack(Kind.PUBREC, packet.packet_id)
        if packet.packet_id in self._open:
            return False, None  # the one that is being dealt with
        if len(self._open) + len(self._received) >= self._window:
            raise MqttError(TOO_MANY, f"more than {self._window} publishes at once")
        self._open[packet.packet_id] = packet.qos
        return True, None

    def answer(self, packet_id: int, code: int = 0, told: Properties = NONE) -> Ack | None:
        """The answer to a publish; None where the connection that it came on was lost meanwhile."""
        qos = self._open.pop(packet_id, 0)
        if not qos:
            return None
        if qos == 1:
            return Ack(Kind.PUBACK, packet_id, code, told)
        if code < 0x80:
            self._received.add(packet_id)
        return Ack(Kind.PUBREC, packet_id, code, told)

    def released(self, packet_id: int) -> Ack:
        """The answer to a PUBREL."""
        known = packet_id in self._received
        self._received.discard(packet_id)
        return Ack(Kind.PUBCOMP, packet_id, 0 if known else NOT_FOUND)

    def connected(self, session_present: bool) -> None:
        """Begin on a new connection: what was not answered comes again, or never."""
        self._open.clear()
        if not session_present:
            self._received.clear()


class Stage(Enum):
    """What an own publish waits for."""

    PUBACK = "puback"
    PUBREC = "pubrec"
    PUBCOMP = "pubcomp"


class Fate(Enum):
    """What became of an own publish."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # by a reason code
    LOST = "lost"  # it left, and nothing more will be heard of it
    DROPPED = "dropped"  # it never left


Done = Callable[[Fate, int, Properties], None]  # how, the reason code, what stood with it


@dataclass(slots=True)
class _Out:
    """An own publish on its way."""

    done: Done
    stage: Stage


class Outgoing:
    """Own publishes: packet ids, the other side's window, and answers.

    Nothing is published again from here: what was lost with a connection is told so, and whoever asked
    decides. Only at QoS 2, once PUBREC has come, it goes on with PUBREL where the session is still there.
    A packet id that was lost at QoS 2 is not used again in the same session: the other side may still know
    it, and would take another message for the same.
    """

    def __init__(self, write: Callable[[Publish | Ack], None]) -> None:
        self._write = write
        self._out: dict[int, _Out] = {}
        self._burnt: set[int] = set()
        self._last = 0
        self._reserved = 0
        self._window = 0  # of the other side; 0 while there is no connection

    @property
    def room(self) -> bool:
        """Whether a further publish may leave."""
        return len(self._out) + self._reserved < self._window

    @property
    def unreleased(self) -> bool:
        """Whether the session is worth keeping: a PUBREL is to be sent or answered."""
        return any(it.stage is Stage.PUBCOMP for it in self._out.values())

    def reserve(self) -> None:
        """Keep room for a publish that is about to leave."""
        self._reserved += 1

    def free(self) -> None:
        """Give up what was reserved."""
        self._reserved -= 1

    def publish(self, packet: Publish, done: Done) -> None:
        """Publish now, at QoS 1 or 2; `DROPPED` where there is no connection any more."""
        if not self._window:
            done(Fate.DROPPED, 0, NONE)
            return
        packet_id = self._free_id()
        self._out[packet_id] = _Out(done, Stage.PUBACK if packet.qos == 1 else Stage.PUBREC)
        self._write(replace(packet, packet_id=packet_id))

    def _free_id(self) -> int:
        """One that is not in use: a window and what is burnt are far fewer than there are."""
        while True:
            self._last = self._last % IDS + 1
            if self._last not in self._out and self._last not in self._burnt:
                return self._last

    def came(self, ack: Ack) -> None:
        """Take an answer in. One that nothing waits for is passed over, a PUBREC of that kind told so."""
        out = self._out.get(ack.packet_id)
        if out is None or out.stage is not _STAGES[ack.kind]:
            if ack.kind is Kind.PUBREC and (out is None or out.stage is Stage.PUBCOMP):
                self._write(Ack(Kind.PUBREL, ack.packet_id, NOT_FOUND if out is None else 0))
            return
        if ack.kind is Kind.PUBREC and ack.code < 0x80:
            out.stage = Stage.PUBCOMP
            self._write(Ack(Kind.PUBREL, ack.packet_id))
            return
        del self._out[ack.packet_id]
        fate = Fate.ACKNOWLEDGED
        if ack.code >= 0x80:
            # A PUBCOMP that does not know the packet id: the other side released it before, or lost it.
            fate = Fate.LOST if ack.kind is Kind.PUBCOMP else Fate.REFUSED
        out.done(fate, ack.code, ack.properties)

    def lost(self) -> None:
        """The connection is gone: what left and was not answered is lost, but for what waits for PUBCOMP."""
        self._window = 0
        gone = {number: it for number, it in self._out.items() if it.stage is not Stage.PUBCOMP}
        for number, it in gone.items():
            del self._out[number]
            if it.stage is Stage.PUBREC:
                self._burnt.add(number)
        for it in gone.values():
            it.done(Fate.LOST, 0, NONE)

    def connected(self, session_present: bool, window: int) -> None:
        """Go on upon a new connection, whose other side takes so many publishes at once."""
        self._window = window
        if not session_present:
            self._burnt.clear()
            self.abandon()
        for number in self._out:
            self._write(Ack(Kind.PUBREL, number))

    def abandon(self) -> None:
        """Wait for nothing any more: the session is gone."""
        gone, self._out = self._out, {}
        for it in gone.values():
            it.done(Fate.LOST, 0, NONE)


_STAGES = {Kind.PUBACK: Stage.PUBACK, Kind.PUBREC: Stage.PUBREC, Kind.PUBCOMP: Stage.PUBCOMP}
