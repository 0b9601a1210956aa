"""Tells the ends of messages that came by MQTT, at least once, until they are acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from amberlug.core.log import log
from amberlug.core.messages import End
from amberlug.core.ports import OutcomeNotifier
from amberlug.mqtt import replies
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.replies import Reply
from amberlug.mqtt.sessions import Fate

LOOK = 5.0  # seconds between looks for ends that nobody has acknowledged for too long
TELLING_MOST = 200  # ends that are on their way at once, over all

QUOTA = 0x97
AGAIN = 1.0  # seconds after which an end is told again that had no room there
Told = Callable[[Fate, int], None]  # how, and the reason code


class Front(Protocol):
    """Whoever can publish at one front."""

    def tell(self, packet: Publish, done: Told) -> bool | None:
        """Publish at QoS 1; None where nobody is there to hear it, False where no more is taken now."""


class MqttEnds:
    """The core's `OutcomeNotifier`.

    Each goes where its message came from, and to the platform where that is told.
    """

    def __init__(self, notices: OutcomeNotifier, keep_s: int) -> None:
        self._notices, self._keep = notices, keep_s
        self.fronts: dict[str, Front] = {}
        self._pending: dict[str, tuple[End, float]] = {}  # by message, and since when
        self._places: dict[tuple[str, str], dict[str, None]] = {}  # messages by front and topic
        self._telling: set[str] = set()
        self._queued: dict[str, dict[str, None]] = {}  # by front, those that found no room
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
        for name in self._queued.pop(front, {}):
            self._publish(name)

    def _publish(self, name: str) -> None:
        if name in self._telling or name not in self._pending:
            return
        end, _ = self._pending[name]
        reply = replies.decode(end.reply)
        front = self.fronts.get(reply.front)
        if front is None:
            return  # the file no longer names it; kept for its time, in case it does again
        if len(self._telling) < TELLING_MOST:
            self._telling.add(name)
            how = front.tell(replies.publish(end, reply), partial(self._told, name, reply))
            if how is not False:
                if how is None:
                    self._telling.discard(name)  # told when somebody listens
                return
            self._telling.discard(name)
        self._queued.setdefault(reply.front, {})[name] = None

    def _told(self, name: str, reply: Reply, fate: Fate, code: int) -> None:
        self._telling.discard(name)
        if fate is Fate.REFUSED and code == QUOTA:
            asyncio.get_running_loop().call_later(AGAIN, self._publish, name)
        elif fate is Fate.REFUSED:
            log(f"mqtt: the end of {name} was refused at {reply.front} with 0x{code:02x}: dropped")
            self._done(name, reply)
        elif fate is Fate.ACKNOWLEDGED:
            self._done(name, reply)
        # One place is free: the first that waits for one at this front, or at another.
        for front in (reply.front, *self._queued):
            if queued := self._queued.get(front):
                first = next(iter(queued))
                del queued[first]
                self._publish(first)
                return

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
