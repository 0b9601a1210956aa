"""Messages from a broker: subscribed to, and acknowledged once the journal has them."""

from __future__ import annotations

import asyncio

from amberlug.core.log import log
from amberlug.mqtt import replies
from amberlug.mqtt.ends import MqttEnds, Told
from amberlug.mqtt.intake import Intake, Offer, Verdict
from amberlug.mqtt.link import Link
from amberlug.mqtt.mapping import QUOTA, Login, Mapped
from amberlug.mqtt.packets import V5, Publish, Wanted
from amberlug.mqtt.properties import P

CROWDED_MS = 100  # until the next look for room
AGAIN_MOST = 5.0  # seconds at most after which what had no room is offered again


class Subscriber:
    """One broker's messages.

    What finds no room is not acknowledged, and offered again when it was told to: the broker brings no more
    than the window meanwhile, so that nothing is dropped and memory is bounded. Of 3.1.1, which has no
    window, no more is read than that.
    """

    def __init__(self, login: Login, mapped: Mapped, intake: Intake, ends: MqttEnds) -> None:
        self._login, self._intake, self._ends = login, intake, ends
        routes = [it for it in mapped.routes if login.name in it.sources]
        never = 2 * (login.version == V5)  # no retained messages, where that can be asked for
        wanted = {it.subscription: Wanted(it.subscription, it.qos, retain=never) for it in routes}
        self.link = Link(login, login.address, tuple(wanted.values()), self._came, self._up)
        self._offers: set[Offer] = set()
        self._life = 0  # of the connection: what an earlier one brought comes again
        self._waiting = 0  # publishes that are not answered yet
        self._closing = False
        ends.fronts[login.name] = self

    def start(self) -> None:
        self.link.start()

    def close(self) -> None:
        """Take nothing more on, and let the broker keep what was not acknowledged."""
        self._closing = True
        for offer in list(self._offers):
            self._intake.withdraw(offer)
        self._offers.clear()
        self.link.stop()

    def _up(self) -> None:
        self._life += 1
        self._waiting = 0
        for offer in list(self._offers):
            self._intake.withdraw(offer)  # the broker brings it again, or another relay has it by now
        self._offers.clear()
        self._ends.listening(self._login.name, lambda topic: True)

    def _came(self, packet: Publish) -> None:
        if packet.retain:
            # What a broker has kept is no news: it may be days old, and was brought when it was new.
            self._intake.pass_over(self._login.name, packet, "is retained")
            self._answer(packet, Verdict())
            return
        self._waiting += 1
        if self._login.version != V5 and self._waiting >= self._login.window:
            self.link.hold(True)
        self._offer(packet, self._life)

    def _offer(self, packet: Publish, life: int) -> None:
        if life != self._life or self._closing:
            return
        if packet.qos and self._intake.crowded:
            # A publisher behind a broker may never hear that its message was handed back. It waits there.
            self._judged(packet, Verdict(QUOTA, "no room", CROWDED_MS), life)
            return
        offers: list[Offer] = []

        def done(verdict: Verdict) -> None:
            self._offers.difference_update(offers)
            self._judged(packet, verdict, life)

        offer = self._intake.offer(self._login.name, packet, "", done)
        if offer is not None and not offer.settled:
            offers.append(offer)
            self._offers.add(offer)

    def _judged(self, packet: Publish, verdict: Verdict, life: int) -> None:
        if life != self._life or self._closing:
            return
        if verdict.retry_ms and packet.qos:
            pause = min(verdict.retry_ms / 1000, AGAIN_MOST)
            asyncio.get_running_loop().call_later(pause, self._offer, packet, life)
            return
        self._waiting -= 1
        if self._waiting < self._login.window:
            self.link.hold(False)
        if not packet.qos:
            if verdict.code:
                self._intake.pass_over(self._login.name, packet, verdict.text)
            return
        if verdict.code:
            self._refused(packet, verdict)
        self._answer(packet, verdict)

    def _refused(self, packet: Publish, verdict: Verdict) -> None:
        """Tell that a publish is no message: to whoever listens for its end, and in the log."""
        log(f"mqtt: {self._login.name}: {packet.topic[:80]!r} is refused: {verdict.text}")
        reply = self._intake.reply(self._login.name, packet, "")
        if reply is not None:
            self.tell(replies.refusal(reply, verdict.text), lambda fate, code: None)

    def _answer(self, packet: Publish, verdict: Verdict) -> None:
        if packet.qos:
            told: dict[P, object] = {P.REASON_STRING: verdict.text} if verdict.code else {}
            self.link.answer(packet.packet_id, verdict.code, told)

    def tell(self, packet: Publish, done: Told) -> bool | None:
        """Publish an end; None where the broker is not there, False where it takes no more for now."""
        if not self.link.connected:
            return None
        if not self.link.outgoing.room:
            return False
        self.link.outgoing.publish(packet, lambda fate, code, told: done(fate, code))
        return True
