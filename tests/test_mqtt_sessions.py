"""MQTT sessions and outcomes without sockets: packet ids, windows, QoS 2, outcomes that wait."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.core.messages import End, Outcome
from amberlug.mqtt import outcomes as outcomes_module
from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.outcomes import MqttOutcomeNotifier, PublishDone
from amberlug.mqtt.packets import V5, Ack, Kind, Publish
from amberlug.mqtt.publisher import attempt_result
from amberlug.mqtt.replies import Reply, decode
from amberlug.mqtt.sessions import Incoming, Outgoing, PublishResult
from amberlug.mqtt.wire import Wire
from amberlug.policy.interface import Result


@dataclass
class Side:
    """An `Outgoing` that records what it wrote and the result of each publish."""

    written: list[Publish | Ack] = field(default_factory=list)
    results: dict[str, PublishResult] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.out = Outgoing(self.written.append)
        self.out.connected(False, 10)

    def publish(self, name: str, qos: int = 2) -> int:
        def done(result: PublishResult, code: int, properties: object) -> None:
            assert name not in self.results
            self.results[name] = result

        self.out.publish(Publish(name, b"", qos), done)
        packet = self.written[-1]
        assert isinstance(packet, Publish)
        return packet.packet_id

    def released(self) -> list[int]:
        return [
            packet.packet_id
            for packet in self.written
            if isinstance(packet, Ack) and packet.kind is Kind.PUBREL
        ]


def test_a_qos_2_publish_is_acknowledged_by_pubcomp() -> None:
    side = Side()
    number = side.publish("a")
    side.out.handle_ack(Ack(Kind.PUBACK, number))  # the wrong kind
    side.out.handle_ack(Ack(Kind.PUBREC, number + 1))  # an unknown packet id
    assert side.written[-1] == Ack(Kind.PUBREL, number + 1, 0x92)
    side.out.handle_ack(Ack(Kind.PUBREC, number))
    assert side.results == {}
    side.out.handle_ack(Ack(Kind.PUBREC, number))  # twice
    side.out.handle_ack(Ack(Kind.PUBCOMP, number))
    side.out.handle_ack(Ack(Kind.PUBCOMP, number))
    assert side.results == {"a": PublishResult.ACKNOWLEDGED}


def test_a_lost_packet_id_is_not_reused_in_its_session() -> None:
    side = Side()
    lost = side.publish("a")
    side.out.connection_lost()
    assert side.results == {"a": PublishResult.LOST}
    side.out.connected(True, 10)
    side.out._last = 0  # as after the ids have wrapped around
    assert side.publish("b") != lost
    side.out.connection_lost()
    side.out.connected(False, 10)
    side.out._last = 0
    assert side.publish("c") == lost  # a new session does not know the id


def test_an_exchange_after_pubrec_continues_only_in_its_session() -> None:
    side = Side()
    numbers = [side.publish("a"), side.publish("b")]
    side.out.handle_ack(Ack(Kind.PUBREC, numbers[0]))
    side.out.connection_lost()
    assert side.results == {"b": PublishResult.LOST}
    assert (side.out.awaiting_pubcomp, side.out.has_room) == (True, False)
    side.out.connected(True, 10)
    assert side.released() == [numbers[0]] * 2
    side.out.connection_lost()
    side.out.connected(False, 10)
    assert side.results == {"b": PublishResult.LOST, "a": PublishResult.LOST}
    assert side.out.awaiting_pubcomp is False


def test_the_window_limits_in_flight_and_reserved_publishes() -> None:
    side = Side()
    side.out.connected(False, 2)
    side.publish("a", 1)
    side.out.reserve()
    assert side.out.has_room is False
    side.out.release()
    assert side.out.has_room is True
    side.out.connection_lost()
    side.out.publish(Publish("b", b"", 1), lambda result, code, properties: side.results.update(b=result))
    assert side.results["b"] is PublishResult.DROPPED


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["publish", "puback", "pubrec", "pubcomp", "lost", "kept", "new"]),
            st.integers(1, 6),
            st.sampled_from([0, 0x87]),
        ),
        max_size=40,
    )
)
def test_each_publish_has_one_result_whatever_comes(steps: list[tuple[str, int, int]]) -> None:
    side, names, up = Side(), 0, True
    kinds = {"puback": Kind.PUBACK, "pubrec": Kind.PUBREC, "pubcomp": Kind.PUBCOMP}
    for step, number, code in steps:
        if step == "publish":
            if up and side.out.has_room:
                side.publish(f"{names}", 1 + number % 2)
                names += 1
        elif step in kinds and up:
            side.out.handle_ack(Ack(kinds[step], number, code))
        elif step == "lost" and up:
            side.out.connection_lost()
            up = False
        elif step in ("kept", "new") and not up:
            side.out.connected(step == "kept", 4)
            up = True
    published = [packet.packet_id for packet in side.written if isinstance(packet, Publish)]
    assert all(1 <= packet_id <= 0xFFFF for packet_id in published)
    side.out.connection_lost()
    side.out.connected(False, 4)
    assert len(side.results) == names  # `publish` asserts that none has two


def test_publishes_are_answered_once_and_qos_2_duplicates_not_processed() -> None:
    side = Incoming(2)
    first = Publish("a", b"", 2, 1)
    assert side.receive(first) == (True, None)
    assert side.receive(first) == (False, None)  # still in progress
    assert side.answer(1) == Ack(Kind.PUBREC, 1)
    assert side.answer(1) is None
    assert side.receive(first) == (False, Ack(Kind.PUBREC, 1))
    assert side.receive(Publish("a", b"", 1, 2)) == (True, None)
    with pytest.raises(MqttError) as error:
        side.receive(Publish("a", b"", 1, 3))
    assert error.value.code == 0x93
    side.connected(True)
    assert side.answer(2) is None  # the broker redelivers it
    assert side.release(1) == Ack(Kind.PUBCOMP, 1)
    assert side.release(1) == Ack(Kind.PUBCOMP, 1, 0x92)
    assert side.receive(first) == (True, None)
    assert side.answer(1, 0x97) == Ack(Kind.PUBREC, 1, 0x97)
    assert side.receive(first) == (True, None)  # refused before, so it is a new publish


class Pipe(asyncio.Transport):
    """A transport without a socket; records pauses and aborts."""

    def __init__(self) -> None:
        super().__init__()
        self.reading, self.aborted = True, False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def abort(self) -> None:
        self.aborted = True


def test_a_packet_timeout_counts_from_its_first_byte() -> None:
    async def scenario() -> None:
        wire, loop = Wire(lambda packet: None, lambda why: None, V5), asyncio.get_running_loop()
        wire.connection_made(Pipe())
        assert wire.incomplete_for(loop.time() + 9) == 0.0
        wire.data_received(b"\xc0")
        began = loop.time()
        for _ in range(3):
            wire.data_received(b"")
        assert wire.incomplete_for(began + 9) >= 9
        wire.data_received(b"\0" + b"\xc0")  # completes that packet and begins another
        assert wire.incomplete_for(loop.time()) < 1
        wire.data_received(b"\0")
        assert wire.incomplete_for(loop.time() + 9) == 0.0

    asyncio.run(scenario())


def test_reading_pauses_while_the_peer_does_not_read() -> None:
    async def scenario() -> None:
        heard, pipe = list[object](), Pipe()
        wire = Wire(heard.append, lambda why: None, V5)
        wire.connection_made(pipe)
        wire.pause_writing()
        wire.data_received(b"\xc0\0" * 3)
        assert (heard, pipe.reading) == ([], False)
        wire.resume_writing()
        await asyncio.sleep(0)
        assert (len(heard), pipe.reading) == (3, True)

    asyncio.run(scenario())


def test_a_connection_closed_before_it_is_made_is_aborted() -> None:
    async def scenario() -> None:
        wire, pipe = Wire(lambda packet: None, lambda why: None), Pipe()
        wire.abort("too many")
        wire.connection_made(pipe)
        assert pipe.aborted

    asyncio.run(scenario())


def test_what_a_publish_result_means_for_an_attempt() -> None:
    results = {
        (PublishResult.ACKNOWLEDGED, 0): Result.DONE,
        (PublishResult.ACKNOWLEDGED, 0x10): Result.DONE,
        (PublishResult.DROPPED, 0): Result.UNCONNECTED,
        (PublishResult.LOST, 0): Result.RESET,
        (PublishResult.REFUSED, 0x97): Result.REFUSED,
        (PublishResult.REFUSED, 0x87): Result.UNSENT,
        (PublishResult.REFUSED, 0x80): Result.ERROR,
        (PublishResult.REFUSED, 0xFF): Result.ERROR,
    }
    assert {case: attempt_result(*case, {}).result for case in results} == results


# Outcomes.


class Origin:
    """An origin with a limited send window and a set of subscribed topics."""

    def __init__(self, room: int) -> None:
        self.room, self.heard = room, set[str]()
        self.out: dict[str, PublishDone] = {}
        self.published: list[str] = []

    def tell(self, packet: Publish, done: PublishDone) -> bool | None:
        if packet.topic not in self.heard:
            return None
        if len(self.out) >= self.room:
            return False
        name = packet.payload.split(b'"')[3].decode()
        assert name not in self.out
        self.out[name] = done
        self.published.append(name)
        return True

    def finish(self, name: str, result: PublishResult = PublishResult.ACKNOWLEDGED, code: int = 0) -> None:
        self.out.pop(name)(result, code)


class NoNotices:
    waiting = False

    def __init__(self) -> None:
        self.sent: list[str] = []

    def bind(self, acknowledged: Callable[[str], None]) -> None:
        self.acknowledged = acknowledged

    def owed(self, end: End) -> bool:
        return end.outcome is not Outcome.DELIVERED

    def tell(self, end: End) -> None:
        self.sent.append(end.message)

    def send(self) -> None:
        pass


def end(name: str, topic: str = "t", noticed: bool = False, origin: str = "hall") -> End:
    return End(name, Outcome.GIVEN_UP, reply=Reply(origin, topic, b"\0c").encode(), noticed=noticed)


def make_notifier(
    room: int = 2, keep_s: int = 100
) -> tuple[MqttOutcomeNotifier, Origin, NoNotices, list[str]]:
    notices, origin, acknowledged = NoNotices(), Origin(room), list[str]()
    notifier = MqttOutcomeNotifier(notices, keep_s)
    notifier.bind(acknowledged.append)
    notifier.origins["hall"] = origin
    return notifier, origin, notices, acknowledged


def test_outcomes_over_the_window_are_sent_as_others_are_acknowledged() -> None:
    async def scenario() -> None:
        notifier, origin, _, acknowledged = make_notifier(room=2)
        origin.heard = {f"t{number}" for number in range(7)}
        for number in range(7):
            notifier.tell(end(f"m{number}", f"t{number}"))
        assert origin.published == ["m0", "m1"]
        while origin.out:
            origin.finish(next(iter(origin.out)))
        assert origin.published == acknowledged == [f"m{number}" for number in range(7)]
        assert not notifier.waiting

    asyncio.run(scenario())


def test_an_outcome_waits_for_a_subscriber_and_is_resent_when_lost() -> None:
    async def scenario() -> None:
        notifier, origin, _, acknowledged = make_notifier()
        notifier.tell(end("m"))
        assert origin.published == []
        origin.heard = {"t"}
        notifier.subscribed("other", lambda topic: True)
        assert origin.published == []
        notifier.subscribed("hall", lambda topic: topic == "t")
        origin.finish("m", PublishResult.LOST)
        assert (origin.published, acknowledged) == (["m"], [])
        notifier.subscribed("hall", lambda topic: True)
        origin.finish("m")
        assert (origin.published, acknowledged) == (["m", "m"], ["m"])
        notifier.subscribed("hall", lambda topic: True)
        assert origin.published == ["m", "m"]

    asyncio.run(scenario())


def test_an_outcome_with_a_notice_is_done_once_both_are_acknowledged() -> None:
    async def scenario() -> None:
        notifier, origin, notices, acknowledged = make_notifier()
        origin.heard = {"t"}
        notifier.tell(end("m", noticed=True))
        assert notices.sent == ["m"]
        origin.finish("m")
        assert acknowledged == []
        notices.acknowledged("m")
        assert acknowledged == ["m"]
        notifier.tell(End("h", Outcome.GIVEN_UP))  # over HTTP only
        notices.acknowledged("h")
        assert acknowledged == ["m", "h"]
        assert notifier.owed(End("h", Outcome.DELIVERED)) is False
        assert notifier.owed(End("m", Outcome.DELIVERED, reply=b"x")) is True

    asyncio.run(scenario())


def test_an_outcome_replaced_in_flight_is_sent_to_the_new_address() -> None:
    async def scenario() -> None:
        notifier, origin, _, acknowledged = make_notifier()
        origin.heard = {"t", "u"}
        notifier.tell(end("m", "t"))
        notifier.tell(end("m", "u"))
        origin.finish("m")  # acknowledged at the old reply address, which the later one replaced
        assert acknowledged == []
        notifier.subscribed("hall", lambda topic: topic == "u")
        origin.finish("m")
        assert acknowledged == ["m"]

    asyncio.run(scenario())


def test_refused_outcomes_are_dropped_and_those_over_quota_resent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(outcomes_module, "QUOTA_RETRY_DELAY", 0.0)
        notifier, origin, _, acknowledged = make_notifier()
        origin.heard = {"t"}
        notifier.tell(end("a"))
        notifier.tell(end("b"))
        origin.finish("a", PublishResult.REFUSED, 0x87)
        origin.finish("b", PublishResult.REFUSED, 0x97)
        assert acknowledged == ["a"]
        await asyncio.sleep(0.01)
        origin.finish("b")
        assert acknowledged == ["a", "b"]

    asyncio.run(scenario())


def test_unacknowledged_outcomes_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(outcomes_module, "EXPIRY_CHECK_INTERVAL", 0.001)
        notifier, _, _, acknowledged = make_notifier(keep_s=0)
        notifier.start()
        notifier.tell(end("m"))
        notifier.tell(end("gone", origin="no longer in the file"))
        notifier.tell(End("bad", Outcome.GIVEN_UP, reply=b"no address", noticed=False))
        assert acknowledged == ["bad"]
        await asyncio.sleep(0.02)
        assert set(acknowledged) == {"bad", "m", "gone"}
        notifier.stop()

    asyncio.run(scenario())


def test_a_reply_address_round_trips() -> None:
    reply = Reply("hall", "ends/é", b"\0\xff\0")
    assert decode(reply.encode()) == reply
    with pytest.raises(ValueError, match="."):
        decode(b"hall\0")
