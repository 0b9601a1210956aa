"""Tells the ends of messages that came by MQTT, at least once, until they are acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from amberlug.core.log import log
from amberlug.core.messages import End
from amberlug.core.ports import Ends
from amberlug.mqtt import replies
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.replies import Reply
from amberlug.mqtt.sessions import Fate

LOOK = 5.0  # seconds between looks for ends that nobody has acknowledged for too long
TELLING_MOST = 200  # ends that are on their way at once, over all

Told = Callable[[Fate], None]


class Front(Protocol):
    """Whoever can publish at one front."""

    def tell(self, packet: Publish, done: Told) -> bool:
        """Publish at QoS 1; False where nobody is there to hear it now."""


class MqttEnds:
    """The core's `Ends`: each goes where its message came from, and to the platform where that is told."""

    def __init__(self, notices: Ends, keep_s: int) -> None:
        self._notices, self._keep = notices, keep_s
        self.fronts: dict[str, Front] = {}
        self._pending: dict[str, tuple[End, float]] = {}  # by message, and since when
        self._places: dict[tuple[str, str], dict[str, None]] = {}  # messages by front and topic
        self._telling: set[str] = set()
        self._noticing: set[str] = set()  # of which the platform has not acknowledged a notice
        self._look: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        return self._notices.waiting or bool(self._telling)

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        self._acknowledged = acknowledged
        self._notices.bind(self._noticed)

    def owed(self, end: End) -> bool:
        return bool(end.reply) or (end.noticed and self._notices.owed(end))

    def tell(self, end: End) -> None:
        """Take an end, to be told with others of its round; one that is told again replaces the first."""
        if end.noticed and self._notices.owed(end):
            self._noticing.add(end.message)
            self._notices.tell(end)
        if end.reply:
            try:
                reply = replies.decode(end.reply)
            except ValueError:
                log(f"mqtt: where message {end.message} is to be told can't be read: dropped")
                self._over(end.message)
                return
            self._pending[end.message] = end, asyncio.get_running_loop().time()
            self._places.setdefault((reply.front, reply.topic), {})[end.message] = None
            self._publish(end.message)

    def send(self) -> None:
        self._notices.send()

    def start(self) -> None:
        """Begin to look for what nobody acknowledges."""
        self._look = asyncio.get_running_loop().call_later(LOOK, self._forget)

    def stop(self) -> None:
        """Tell nothing any more; what is not acknowledged is told by the next life."""
        if self._look is not None:
            self._look.cancel()
        self._pending.clear()
        self._places.clear()

    def listening(self, front: str, hears: Callable[[str], bool]) -> None:
        """Somebody listens at a front again: tell what waits for those topics."""
        for place in [it for it in self._places if it[0] == front and hears(it[1])]:
            for name in list(self._places.get(place, ())):
                self._publish(name)

    def _publish(self, name: str) -> None:
        if name in self._telling or name not in self._pending or len(self._telling) >= TELLING_MOST:
            return
        end, _ = self._pending[name]
        reply = replies.decode(end.reply)
        front = self.fronts.get(reply.front)
        if front is None:
            return  # the file no longer names it; kept for its time, in case it does again
        self._telling.add(name)
        if not front.tell(replies.publish(end, reply), lambda fate: self._told(name, reply, fate)):
            self._telling.discard(name)

    def _told(self, name: str, reply: Reply, fate: Fate) -> None:
        self._telling.discard(name)
        if fate is Fate.ACKNOWLEDGED:
            self._done(name, reply)
        elif fate is Fate.REFUSED:
            log(f"mqtt: the end of {name} was refused at {reply.front}: dropped")
            self._done(name, reply)
        else:
            return  # told again when somebody listens
        for other in list(self._places.get((reply.front, reply.topic), ())):
            if len(self._telling) >= TELLING_MOST:
                return
            self._publish(other)

    def _done(self, name: str, reply: Reply) -> None:
        pending = self._pending.get(name)
        if pending is None or replies.decode(pending[0].reply) != reply:
            return  # told anew meanwhile, at another place
        del self._pending[name]
        self._leave(name, reply)
        if name not in self._noticing:
            self._over(name)

    def _leave(self, name: str, reply: Reply) -> None:
        place = reply.front, reply.topic
        names = self._places.get(place, {})
        names.pop(name, None)
        if not names:
            self._places.pop(place, None)

    def _noticed(self, name: str) -> None:
        self._noticing.discard(name)
        if name not in self._pending:
            self._over(name)

    def _over(self, name: str) -> None:
        self._acknowledged(name)

    def _forget(self) -> None:
        """Give up on those that nobody has acknowledged for too long: they would fill the journal."""
        loop = asyncio.get_running_loop()
        late = [name for name, (_, since) in self._pending.items() if since + self._keep <= loop.time()]
        for name in late:
            end, _ = self._pending[name]
            log(f"mqtt: nobody acknowledged the end of {name} for {self._keep} s: dropped")
            self._done(name, replies.decode(end.reply))
        self._look = loop.call_later(LOOK, self._forget)
