"""MQTT with the real daemon: inbound from a broker and direct, outbound to topics, outcomes, and faults."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from amberlug.standin import broker as mqtt
from amberlug.standin.broker import Broker, Packet, ScriptedClient, once
from amberlug.standin.wire import OK, Platform, StandIn
from tests.conftest import setup
from tests.rig import Relay, free_port, hand_in, member, run

MAPPING = """
keep_ends_s = 600

[broker.main]
address = "127.0.0.1:{broker}"
client_id = "relay-in"
version = "{version}"
window = {window}
keep_alive = 2

[listener]
address = "127.0.0.1:{listener}"
connections = 40
keep_alive = 30

[[in]]
from = ["main", "listener"]
filter = "pay/+"
class = "unsafe"
destination = "level:1"
id = "{id}"
deadline_ms = 8000
qos = 2

[[in]]
from = ["main", "listener"]
filter = "result/+/#"
share = "relays"
class = "safe"
destination = "level:1"
deadline_ms = 8000
ends = "ends/of/{{1}}"

[[in]]
from = ["listener"]
filter = "entry/+"
class = "keyed"
destination = "level:1"
key = "field:entry.key"
deadline_ms = 8000

[out.topic]
topic = "partner/{{destination}}/{{endpoint}}"
client_id = "relay-out"
window = 10
keep_alive = 2
qos = {{ unsafe = 2, safe = 1 }}
"""


@dataclass
class World:
    """The relay; a partner over HTTP at destination 1, a topic at 2, both at 3."""

    relay: Relay
    platform: Platform
    broker: Broker
    partner: StandIn
    port: int  # of the listener

    async def client(self, name: str = "board", v5: bool = True, **more: Any) -> ScriptedClient:
        client = ScriptedClient(v5)
        assert (await client.connect(self.port, name, **more))["code"] == 0
        return client

    def names(self) -> list[str]:
        return [it.name for it in self.partner.seen]

    def published(self) -> list[Packet]:
        return [it for it in self.broker.taken if it["topic"].startswith("partner/")]

    async def delivered(self, count: int) -> list[Packet]:
        await self.broker.until(lambda: len(self.published()) >= count)
        return self.published()

    async def ends(self, count: int = 1) -> list[dict[str, Any]]:
        """Outcomes published to the broker."""
        found: list[dict[str, Any]] = []

        def enough() -> bool:
            told = [it for it in self.broker.taken if it["topic"].startswith("ends/")]
            found[:] = [json.loads(it["payload"]) | {"packet": it} for it in told]
            return len(found) >= count

        await self.broker.until(enough)
        return found


@asynccontextmanager
async def world(
    folder: Path,
    partner: StandIn | None = None,
    version: str = "5.0",
    window: int = 20,
    id: str = "property:id",
    broker: Broker | None = None,
    users: str = "",
    **changes: Any,
) -> AsyncIterator[World]:
    platform, partner, broker = Platform(), partner or StandIn(OK), broker or Broker()
    await platform.start()
    await partner.start()
    await broker.start()
    port = free_port()
    text = MAPPING.format(broker=broker.port, listener=port, version=version, window=window, id=id)
    (folder / "mqtt.toml").write_text(text.replace("connections = 40", f"connections = 40\n{users}"))
    members = [
        member(partner.port, "http-1") | {"cell": 1},
        member(broker.port, "topic-2", kind="topic") | {"cell": 2},
        member(partner.port, "http-3") | {"cell": 3},
        member(broker.port, "topic-3", kind="topic") | {"cell": 3},
    ]
    settings = setup(
        **(
            {
                "Kinds": ["plain", "topic"],
                "FamilyInfo__BundleMax": [1, 1],
                "FamilyInfo__Carriage": [0.0, 0.0],
                "FamilyInfo__RoutesApart": [False, False],
                "GranularityUs": 1000,
            }
            | changes
        )
    )
    limits = {"disk_mb": 3.0, "memory_mb": 64, "sockets": 256}
    relay = Relay(folder, platform, members, settings, limits)
    relay.environ = {"AMBERLUG_MQTT": str(folder / "mqtt.toml")}
    await relay.start()
    await broker.subscribed("relay-in")
    try:
        yield World(relay, platform, broker, partner, port)
    finally:
        if relay.process is not None and relay.process.returncode is None:
            await relay.kill()
        for peer in (platform, partner, broker):
            await peer.stop()


def user(**pairs: str) -> dict[int, Any]:
    return {mqtt.USER: [(name.replace("_", "-"), value) for name, value in pairs.items()]}


def asked(topic: str, correlation: bytes, **pairs: str) -> dict[int, Any]:
    return {mqtt.RESPONSE: topic, mqtt.CORRELATION: correlation} | user(**pairs)


# Inbound from a broker.


@pytest.mark.parametrize("version", ["5.0", "3.1.1"])
def test_a_broker_s_messages_are_delivered_and_acknowledged(tmp_path: Path, version: str) -> None:
    async def scenario() -> None:
        async with world(tmp_path, version=version, id="field:id") as it:
            it.broker.offer("pay/1", b'{"id": "p1"}', 2)
            it.broker.offer("result/1/final", b"2:1", 1)
            seen = await it.partner.requests(2)
            assert {one.body for one in seen} == {b'{"id": "p1"}', b"2:1"}
            assert "p1" in it.names()
            session = it.broker.session("relay-in")
            await it.broker.until(lambda: not session.in_flight)
            assert {one["kind"] for _, one in it.broker.packets} >= {mqtt.PUBACK, mqtt.PUBREC, mqtt.PUBCOMP}
            (end,) = await it.ends()
            assert (end["outcome"], end["packet"]["topic"]) == ("delivered", "ends/of/1")

    run(scenario())


def test_ends_go_to_the_response_topic_with_their_correlation(tmp_path: Path) -> None:
    async def scenario() -> None:
        partner = StandIn(OK, (500, [], b""))
        async with world(tmp_path, partner) as it:
            it.broker.offer("pay/1", b"x", 2, properties=asked("ends/a", b"\x01\xff", id="p1"))
            it.broker.offer("pay/1", b"x", 2, properties=asked("ends/b", b"2", id="p2"))
            ends = {end["message"]: end for end in await it.ends(2)}
            assert {name: end["outcome"] for name, end in ends.items()} == {
                "p1": "given_up",
                "p2": "delivered",
            }
            assert ends["p1"]["packet"]["topic"] == "ends/a"
            assert ends["p1"]["packet"]["properties"][mqtt.CORRELATION] == b"\x01\xff"
            assert it.platform.notices == []  # notices are only for messages submitted over HTTP

    run(scenario())


def test_what_is_handed_back_tells_when_to_come_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        partner = StandIn((429, [("Wait-Ms", "5000")], b""))
        async with world(tmp_path, partner) as it:
            it.broker.offer("pay/1", b"x", 1, properties=asked("ends/a", b"1", id="p1"))
            await partner.requests(1)
            gone = [member(partner.port, "http-1", "terminated") | {"cell": 1}]
            it.platform.tell(json.dumps({"revision": 2, "complete": False, "members": gone}).encode())
            (end,) = await it.ends()
            assert (end["message"], end["outcome"]) == ("p1", "handed_back")
            assert end["retry_in_ms"] >= 500
            told = dict(end["packet"]["properties"][mqtt.USER])
            assert told == {"outcome": "handed_back", "retry-in-ms": str(end["retry_in_ms"])}

    run(scenario())


def test_what_is_no_message_is_refused_with_a_reason_and_told(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.offer("pay/1", b"x", 1, properties=asked("ends/a", b"7"))  # unsafe, and no id
            it.broker.offer("pay/9", b"x", 1, properties=user(id="p9"))  # no endpoint serves it
            it.broker.offer("pay/x", b"x", 1, properties=user(id="px"))
            it.broker.offer("pay/1", b"x", 0, properties=user(id="p0"))  # QoS 0: the sender can't be informed
            it.broker.offer("result/1/a", b"old", 1, kept=True)  # retained
            await it.broker.until(lambda: len(it.broker.of(mqtt.PUBACK)) >= 4)
            codes = [one["code"] for one in it.broker.of(mqtt.PUBACK)]
            assert codes == [0x99, 0x90, 0x99, 0]
            (end,) = await it.ends()
            assert (end["outcome"], "id" in end["reason"]) == ("refused", True)
            assert end["packet"]["properties"][mqtt.CORRELATION] == b"7"
            it.broker.offer("pay/1", b"x", 1, properties=user(id="good"))
            await it.partner.requests(1)
            assert it.names() == ["good"]

    run(scenario())


def test_without_room_the_window_narrows_and_nothing_is_dropped(tmp_path: Path) -> None:
    async def scenario() -> None:
        partner = StandIn(None)
        async with world(tmp_path, partner, window=3, Bounds__MaxOpen=3, FamilyInfo__Slots=8) as it:
            for number in range(9):
                it.broker.offer("pay/1", b"x", 1, properties=user(id=f"p{number}"))
            session = it.broker.session("relay-in")
            await it.partner.requests(2)
            await asyncio.sleep(0.3)  # time for a wrong acknowledgement of what exceeds the capacity
            assert len(it.broker.of(mqtt.PUBACK)) == 2
            assert (len(session.in_flight), len(session.queue)) == (3, 4)
            partner.usual = OK
            for seen in list(partner.seen):
                seen.answer(OK)
            await it.broker.until(lambda: not session.in_flight and not session.queue)
            await it.partner.until(lambda: len(set(it.names())) == 9)
            assert len(it.names()) == 9

    run(scenario())


def test_a_kill_before_the_acknowledgement_brings_the_message_again_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            cut: list[str] = []

            def lose(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
                cut.append(packet["name"])
                broker.cut_off(session)

            # Both acknowledgements are lost after the messages are in the journal, so the broker redelivers.
            it.broker.faults += [once(mqtt.PUBACK, lose)]
            it.broker.offer("pay/1", b"x", 1, properties=user(id="p1"))
            await it.partner.requests(1)
            await it.broker.until(lambda: cut == ["puback"])
            await it.relay.kill()
            await it.relay.start()
            await it.broker.until(lambda: len(it.broker.of(mqtt.PUBACK)) == 2)
            it.broker.faults = [once(mqtt.PUBREC, lose)]
            it.broker.offer("pay/1", b"x", 2, properties=user(id="p2"))
            await it.broker.until(lambda: cut == ["puback", "pubrec"])
            # A restart takes a recorded call for one that may have run, so wait until it was made.
            await it.partner.requests(2)
            await it.relay.kill()
            await it.relay.start()
            await it.broker.until(lambda: bool(it.broker.of(mqtt.PUBCOMP)))
            await it.partner.requests(2)
            assert it.names() == ["p1", "p2"]

    run(scenario())


def test_a_kill_between_pubrec_and_pubrel_ends_the_exchange(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:

            def hold(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
                session.released.add(packet["id"])  # suppress its PUBREL

            it.broker.faults.append(once(mqtt.PUBREC, hold))
            it.broker.offer("pay/1", b"x", 2, properties=user(id="p1"))
            await it.partner.requests(1)
            await it.broker.until(lambda: bool(it.broker.of(mqtt.PUBREC)))
            await it.relay.kill()
            await it.relay.start()
            await it.broker.until(lambda: bool(it.broker.of(mqtt.PUBCOMP)))
            assert not it.broker.session("relay-in").in_flight
            assert it.names() == ["p1"]

    run(scenario())


def test_a_session_that_is_gone_or_taken_over_is_subscribed_anew(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.cut_off(it.broker.session("relay-in"), keep=False)
            await it.broker.subscribed("relay-in", 2)
            other = ScriptedClient()
            await other.connect(it.broker.port, "relay-in")  # takes the relay's session over
            await it.broker.subscribed("relay-in", 3)
            await other.wait_closed()
            it.broker.forced_session_present = True  # claims a session that does not exist
            it.broker.cut_off(it.broker.session("relay-in"), keep=False)
            await it.broker.subscribed("relay-in", 4)
            it.broker.offer("pay/1", b"x", 1, properties=user(id="p1"))
            await it.partner.requests(1)

    run(scenario())


# Inbound from direct publishers.


def test_a_publisher_is_answered_once_the_journal_has_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            client = await it.client()
            connack = client.of(mqtt.CONNACK)[0]
            assert connack["present"] is False
            client.subscribe("ends/board")
            client.publish("pay/1", b"x", 1, 1, properties=asked("ends/board", b"a", id="p1"))
            client.publish("pay/1", b"y", 2, 2, properties=asked("ends/board", b"b", id="p2"))
            client.publish("result/1/z", b"z", 0)
            assert (await client.until(mqtt.PUBACK))["code"] == 0
            assert (await client.until(mqtt.PUBREC))["code"] == 0
            client.send(mqtt.ack(mqtt.PUBREL, 2))
            assert (await client.until(mqtt.PUBCOMP))["code"] == 0
            ends = [await client.until(mqtt.PUBLISH, count) for count in (1, 2)]
            assert {one["properties"][mqtt.CORRELATION] for one in ends} == {b"a", b"b"}
            assert all(json.loads(one["payload"])["outcome"] == "delivered" for one in ends)
            seen = await it.partner.requests(3)
            assert sorted(one.body for one in seen) == [b"x", b"y", b"z"]

    run(scenario())


def test_an_end_waits_for_its_publisher_also_over_a_kill(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            client = await it.client()
            client.publish("pay/1", b"x", 1, 1, properties=asked("ends/board/x", b"a", id="p1"))
            await client.until(mqtt.PUBACK)
            client.close()
            await it.partner.requests(1)
            await it.relay.kill()
            await it.relay.start()
            for _ in range(2):  # not acknowledged the first time, so published again
                client = await it.client()
                client.subscribe("ends/board/#")
                end = await client.until(mqtt.PUBLISH)
                assert json.loads(end["payload"])["message"] == "p1"
                if _ == 1:
                    client.send(mqtt.ack(mqtt.PUBACK, end["id"]))
                    client.send(mqtt.frame(mqtt.PINGREQ, b""))
                    await client.until(mqtt.PINGRESP)
                client.close()
            client = await it.client()
            client.subscribe("ends/board/#")
            client.send(mqtt.frame(mqtt.PINGREQ, b""))
            await client.until(mqtt.PINGRESP)
            assert client.of(mqtt.PUBLISH) == []

    run(scenario())


@pytest.mark.parametrize(
    "how", ["same id and dup", "another id", "through the broker", "over http", "http first"]
)
def test_a_payment_that_is_published_again_in_mid_attempt_is_attempted_once(tmp_path: Path, how: str) -> None:
    async def scenario() -> None:
        partner = StandIn(None)
        async with world(tmp_path, partner) as it:
            properties = asked("ends/board", b"a", id="p1")
            first = await it.client()
            if how == "http first":
                assert await give(it, "p1", "unsafe", 1) == 202
            else:
                first.publish("pay/1", b"x", 1, 1, properties=properties)
                await first.until(mqtt.PUBACK)
            await partner.requests(1)
            first.close()
            again = await it.client()
            again.subscribe("ends/board")
            if how == "through the broker":
                it.broker.offer("pay/1", b"x", 1, properties=asked("ends/main", b"c", id="p1"))
                await it.broker.until(lambda: bool(it.broker.of(mqtt.PUBACK)))
            elif how == "over http":
                assert await give(it, "p1", "unsafe", 1) == 202
            else:
                number, dup = (1, True) if "dup" in how else (7, False)
                again.publish("pay/1", b"x", 1, number, dup=dup, properties=properties)
                assert (await again.until(mqtt.PUBACK))["code"] == 0
            partner.seen[0].answer((500, [], b""))
            if how == "through the broker":  # the outcome goes to the latest reply address
                (end,) = await it.ends()
                assert (end["message"], end["outcome"]) == ("p1", "given_up")
            else:
                end = await again.until(mqtt.PUBLISH)
                assert json.loads(end["payload"]) == {"message": "p1", "outcome": "given_up"}
            if "http" in how:
                assert await it.platform.noticed() == [{"message": "p1", "outcome": "given_up"}]
            assert it.names() == ["p1"]

    run(scenario())


@pytest.mark.parametrize("killed", [False, True])
def test_a_payment_published_after_its_end_hears_the_same_end(tmp_path: Path, killed: bool) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn((500, [], b""))) as it:
            client = await it.client()
            client.subscribe("ends/board")
            for count in (1, 2):
                client.publish(
                    "pay/1", b"x", 1, count, properties=asked("ends/board", b"%d" % count, id="p1")
                )
                end = await client.until(mqtt.PUBLISH, 1 if killed else count)
                assert json.loads(end["payload"]) == {"message": "p1", "outcome": "given_up"}
                assert end["properties"][mqtt.CORRELATION] == b"%d" % count
                client.send(mqtt.ack(mqtt.PUBACK, end["id"]))
                if killed:
                    client.send(mqtt.frame(mqtt.PINGREQ, b""))
                    await client.until(mqtt.PINGRESP)
                    await it.relay.kill()
                    await it.relay.start()
                    client = await it.client()
                    client.subscribe("ends/board")
            assert it.names() == ["p1"]

    run(scenario())


def test_refusals_carry_a_reason_code_and_when_to_come_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn(None), Bounds__MaxOpen=2, FamilyInfo__Slots=1) as it:
            client = await it.client()
            properties = [user(id="a"), user(id="b"), {}, asked("ends/other", b"", id="c"), user(id="d")]
            topics = ["pay/1", "pay/1", "pay/1", "pay/1", "elsewhere"]
            for number, (topic, own) in enumerate(zip(topics, properties, strict=True), 1):
                client.publish(topic, b"x", 1, number, properties=own)
                await client.until(mqtt.PUBACK, number)
            codes = [one["code"] for one in client.of(mqtt.PUBACK)]
            assert codes == [0, 0x97, 0x99, 0x87, 0x90]
            told = dict(client.of(mqtt.PUBACK)[1]["properties"][mqtt.USER])
            assert int(told["retry-in-ms"]) >= 100
            older = await it.client("old", v5=False)
            older.publish("pay/1", b"x", 1, 1)  # 3.1.1 can refuse only by closing the connection
            await older.wait_closed()
            assert older.of(mqtt.PUBACK) == []

    run(scenario())


def test_the_older_version_hears_its_ends_where_it_listens(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            client = await it.client("old", v5=False)
            client.subscribe("ends/old", "ends/other")
            assert (await client.until(mqtt.SUBACK))["codes"] == [1, 0x80]
            client.publish("entry/1", b'{"entry": {"key": "k1"}}', 1, 1)
            await client.until(mqtt.PUBACK)
            end = await client.until(mqtt.PUBLISH)
            assert json.loads(end["payload"])["outcome"] == "delivered"
            assert it.partner.seen[0].headers["idempotency-key"] == "k1"

    run(scenario())


BAD: dict[str, Callable[[], bytes]] = {
    "malformed": lambda: b"\x00\x00",
    "ahead of connect": lambda: mqtt.frame(mqtt.PINGREQ, b""),
    "huge": lambda: b"\x30\xff\xff\xff\x7f",
    "http": lambda: b"GET / HTTP/1.1\r\n\r\n",
    "level 9": lambda: mqtt.frame(mqtt.CONNECT, b"\0\x04MQTT\x09\x02\0\x3c\0\0\0"),
}
AFTER = {
    "wildcard": mqtt.publish("pay/#", b"x", 1, 1),
    "NUL": mqtt.publish("pay/\0", b"x", 1, 1),
    "property twice": mqtt.frame(mqtt.PUBLISH, b"\0\x05pay/1\0\x01\x0a\x02\0\0\0\x01\x02\0\0\0\x01x", 2),
    "second connect": mqtt.frame(mqtt.CONNECT, b"\0\x04MQTT\x05\x02\0\x3c\0\0\x01c"),
    "packet id 0": mqtt.publish("pay/1", b"x", 1, 0),
    "retained": mqtt.publish("pay/1", b"x", 1, 1, retain=True),
    "server's packet": mqtt.frame(mqtt.SUBACK, b"\0\x01\0\0"),
    "too large": b"\x30\x80\x80\x08",
}


def test_what_breaks_the_protocol_ends_its_connection_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            good = await it.client("good")
            for make in BAD.values():
                bare = ScriptedClient()
                await bare.open(it.port)
                bare.send(make())
                await bare.wait_closed()
            for data in AFTER.values():
                bare = await it.client("bad")
                bare.send(data)
                await bare.wait_closed()
                assert bare.of(mqtt.DISCONNECT)[0]["code"] >= 0x80
                assert bare.of(mqtt.PUBACK) == []
            good.publish("pay/1", b"x", 1, 1, properties=user(id="p1"))
            await good.until(mqtt.PUBACK)
            await it.partner.requests(1)
            assert it.names() == ["p1"]

    run(scenario())


def test_half_a_packet_and_silence_take_nothing_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            half = await it.client("half")
            half.send(mqtt.publish("pay/1", b"x" * 500, 1, 1, properties=user(id="p1"))[:200])
            half.close()
            quiet = await it.client("quiet", alive=1)
            loop = asyncio.get_running_loop()
            start = loop.time()
            await quiet.wait_closed()
            assert loop.time() - start >= 1.4
            assert quiet.of(mqtt.DISCONNECT)[0]["code"] == 0x8D
            assert it.names() == []

    run(scenario())


@pytest.mark.parametrize(("v5", "code"), [(True, 0x86), (False, 4)])
def test_where_users_are_named_others_are_sent_away(tmp_path: Path, v5: bool, code: int) -> None:
    async def scenario() -> None:
        async with world(tmp_path, users='users = { board = "secret" }') as it:
            for name, secret in (("board", "no"), ("x", "secret")):
                bare = ScriptedClient(v5)
                assert (await bare.connect(it.port, "b", user=name, password=secret))["code"] == code
                await bare.wait_closed()
            good = await it.client(v5=v5, user="board", password="secret")
            good.publish("entry/1", b'{"entry": {"key": "k"}}', 1, 1)
            await good.until(mqtt.PUBACK)

    run(scenario())


def test_many_that_say_nothing_make_room_for_who_speaks(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            silent = [ScriptedClient() for _ in range(300)]
            for bare in silent:
                await bare.open(it.port)
            client = await it.client()
            client.publish("pay/1", b"x", 1, 1, properties=user(id="p1"))
            await client.until(mqtt.PUBACK)
            for bare in silent:
                await bare.wait_closed()

    run(scenario())


def test_a_client_takes_its_own_name_over(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            first = await it.client()
            second = await it.client()
            await first.wait_closed()
            assert first.of(mqtt.DISCONNECT)[0]["code"] == 0x8E
            second.publish("pay/1", b"x", 1, 1, properties=user(id="p1"))
            await second.until(mqtt.PUBACK)

    run(scenario())


# Outbound to topics.


async def give(it: World, name: str, kind: str, destination: int) -> int:
    headers = hand_in(name, kind, Envelope=f"dest={destination}")
    return (await it.relay.ask("POST", f"/{kind}", headers, b"body of " + name.encode())).status


def test_messages_are_published_at_the_qos_of_their_class(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            assert [await give(it, "a", "safe", 2), await give(it, "b", "unsafe", 2)] == [202, 202]
            found = {dict(one["properties"][mqtt.USER])["id"]: one for one in await it.delivered(2)}
            assert {name: one["qos"] for name, one in found.items()} == {"a": 1, "b": 2}
            assert found["a"]["topic"] == "partner/2/topic-2"
            assert found["b"]["payload"] == b"body of b"
            await it.broker.until(lambda: not it.broker.session("relay-out").received)
            assert it.platform.notices == []

    run(scenario())


def drop(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    broker.cut_off(session, keep=False)


def silent(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    """Drop the packet without an answer."""


def cut(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    broker.cut_off(session)


def taken_and_dropped(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    broker.handle(session, packet)
    assert session.writer is not None
    session.writer.close()  # after flushing the acknowledgement
    session.writer = None
    broker.sessions.pop(session.client)


def twice(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    broker.handle(session, packet)
    if packet["qos"] == 1:
        broker.write(session, mqtt.ack(mqtt.PUBACK, packet["id"]))
    else:
        broker.write(session, mqtt.ack(mqtt.PUBREC, packet["id"]))


def other_id(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
    broker.write(session, mqtt.ack(mqtt.PUBACK, packet["id"] + 1000))
    broker.write(session, mqtt.ack(mqtt.PUBCOMP, packet["id"]))
    broker.handle(session, packet)


def refuse(code: int, wait_ms: int = 0) -> Callable[[Broker, mqtt.Session, Packet], None]:
    def deal(broker: Broker, session: mqtt.Session, packet: Packet) -> None:
        kind = mqtt.PUBACK if packet["qos"] == 1 else mqtt.PUBREC
        told = user(retry_in_ms=str(wait_ms)) if wait_ms else None
        broker.write(session, mqtt.ack(kind, packet["id"], code, properties=told))

    return deal


@pytest.mark.parametrize(
    ("fault", "kind", "publishes", "end"),
    [
        (taken_and_dropped, "safe", 1, None),
        (cut, "safe", 2, None),
        (drop, "safe", 2, None),
        (twice, "safe", 1, None),
        (twice, "unsafe", 1, None),
        (other_id, "safe", 1, None),
        (cut, "unsafe", 1, "given_up"),
        (drop, "unsafe", 1, "given_up"),
        (refuse(0x97, 300), "unsafe", 2, None),
        (refuse(0x87), "unsafe", 2, None),
        (refuse(0x80), "unsafe", 1, "given_up"),
        (refuse(0x80), "safe", 2, None),
    ],
)
def test_what_a_broker_does_with_a_publish(
    tmp_path: Path, fault: Any, kind: str, publishes: int, end: str | None
) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.faults.append(once(mqtt.PUBLISH, fault))
            assert await give(it, "a", kind, 2) == 202
            if end is not None:
                assert await it.platform.noticed() == [{"message": "a", "outcome": end}]
            else:
                await it.delivered(1)
            assert await give(it, "b", kind, 2) == 202  # and the next message is not affected
            await it.broker.until(
                lambda: any(dict(one["properties"][mqtt.USER])["id"] == "b" for one in it.published())
            )
            came = [
                dict(one["properties"][mqtt.USER])["id"] for one in it.broker.of(mqtt.PUBLISH, "relay-out")
            ]
            assert came.count("a") == publishes
            assert len(it.platform.notices) == (end is not None)

    run(scenario())


def test_a_told_wait_by_reason_code_is_heeded(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            at: list[float] = []

            def note(broker: Broker, session: mqtt.Session, packet: Packet) -> bool:
                if packet["kind"] == mqtt.PUBLISH and session.client == "relay-out":
                    at.append(asyncio.get_running_loop().time())
                return False

            it.broker.faults += [note, once(mqtt.PUBLISH, refuse(0x97, 700))]
            await give(it, "a", "safe", 2)
            await it.delivered(1)
            assert at[1] - at[0] >= 0.7

    run(scenario())


def test_at_qos_2_it_goes_on_with_pubrel_where_the_session_is_there(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.faults.append(once(mqtt.PUBREL, cut))
            assert await give(it, "a", "unsafe", 2) == 202
            await it.delivered(1)
            await it.broker.until(lambda: len(it.broker.of(mqtt.PUBREL)) == 2)
            assert len(it.broker.of(mqtt.PUBLISH, "relay-out")) == 1
            # Without the session it is unknown whether the message was passed on, so it is not sent again.
            it.broker.faults.append(once(mqtt.PUBREL, drop))
            assert await give(it, "b", "unsafe", 2) == 202
            assert await it.platform.noticed() == [{"message": "b", "outcome": "given_up"}]
            assert len(it.broker.of(mqtt.PUBLISH, "relay-out")) == 2
            assert len(it.published()) == 1

    run(scenario())


def test_a_kill_between_publish_and_acknowledgement_gives_a_payment_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.faults += [once(mqtt.PUBLISH, silent) for _ in range(3)]
            assert await give(it, "a", "unsafe", 2) == 202
            assert await give(it, "b", "safe", 2) == 202
            assert await give(it, "c", "keyed", 2) == 202
            await it.broker.until(lambda: len(it.broker.of(mqtt.PUBLISH, "relay-out")) == 3)
            await it.relay.kill()
            await it.relay.start()
            assert await it.platform.noticed() == [{"message": "a", "outcome": "given_up"}]
            again = [dict(one["properties"][mqtt.USER]) for one in await it.delivered(2)]
            assert {one["id"] for one in again} == {"b", "c"}
            assert {one.get("idempotency-key") for one in again} == {None, "key-c"}

    run(scenario())


def test_a_broker_that_is_silent_or_away_is_found_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            it.broker.faults.append(
                lambda broker, session, packet: session.client == "relay-out"
            )  # half-open
            assert await give(it, "a", "safe", 2) == 202
            await it.broker.until(lambda: len(it.broker.of(mqtt.CONNECT, "relay-out")) >= 2)
            it.broker.faults.clear()
            await it.delivered(1)
            port = it.broker.port
            await it.broker.stop()
            # Only then can no publish be cut off in flight, which might have taken effect.
            await it.relay.said("no connection")
            assert await give(it, "b", "unsafe", 2) == 202  # can't connect, so it can't take effect
            await it.broker.start(port)
            await it.delivered(2)

    run(scenario())


def test_a_broker_with_a_receive_maximum_of_one_is_not_overrun(tmp_path: Path) -> None:
    async def scenario() -> None:
        broker = Broker()
        broker.connack = {mqtt.RECEIVE_MAXIMUM: 1}
        async with world(tmp_path, broker=broker, Weights="none") as it:
            open_now, most = 0, 0

            def count(broker: Broker, session: mqtt.Session, packet: Packet) -> bool:
                nonlocal open_now, most
                if packet["kind"] == mqtt.PUBLISH and session.client == "relay-out":
                    open_now += 1
                    most = max(most, open_now)

                    def answer() -> None:
                        nonlocal open_now
                        open_now -= 1
                        broker.handle(session, packet)

                    asyncio.get_running_loop().call_later(0.005, answer)
                    return True
                return False

            broker.faults.append(count)
            names = [f"m{number}" for number in range(12)]
            assert await asyncio.gather(*(give(it, name, "safe", 2) for name in names)) == [202] * 12
            await broker.until(
                lambda: len(it.published()) >= 12 or (open_now == 0 and len(it.published()) >= 11)
            )
            while len(it.published()) < 12:
                await asyncio.sleep(0.01)
            assert most == 1

    run(scenario())


def test_a_destination_with_both_has_one_wait_and_one_drain(tmp_path: Path) -> None:
    async def scenario() -> None:
        wait = (429, [("Wait-Ms", "600")], b"")
        async with world(tmp_path, StandIn(wait)) as it:
            loop = asyncio.get_running_loop()
            first: list[float] = []

            def note(broker: Broker, session: mqtt.Session, packet: Packet) -> bool:
                if packet["kind"] == mqtt.PUBLISH and session.client == "relay-out":
                    first.append(loop.time())
                return False

            it.broker.faults.append(note)
            while not it.partner.seen:  # until the HTTP endpoint is chosen
                await give(it, f"m{len(it.published())}", "safe", 3)
                await asyncio.sleep(0.05)
            told = loop.time()
            count = len(first)
            await give(it, "later", "safe", 3)
            it.partner.usual = OK
            await asyncio.sleep(0.4)
            assert len(first) == count  # the retry delay from HTTP also holds for the topic
            assert loop.time() - told < 0.6
            drained = [member(it.broker.port, "topic-3", "terminating", "topic") | {"cell": 3}]
            it.platform.tell(json.dumps({"revision": 2, "complete": False, "members": drained}).encode())
            await it.partner.requests(2)
            assert len(first) == count

    run(scenario())


def test_sigterm_takes_nothing_more_and_ends_with_code_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        partner = StandIn(None)
        async with world(tmp_path, partner) as it:
            client = await it.client()
            client.publish("pay/1", b"x", 1, 1, properties=user(id="p1"))
            await client.until(mqtt.PUBACK)
            await partner.requests(1)
            it.relay.signal(signal.SIGTERM)
            await client.wait_closed()
            assert client.of(mqtt.DISCONNECT)[0]["code"] == 0x8B
            it.broker.offer("pay/1", b"x", 1, properties=user(id="p2"))
            partner.seen[0].answer(OK)
            assert await it.relay.ended() == 0
            assert it.names() == ["p1"]
            assert len(it.broker.session("relay-in").queue) == 1  # still queued at the broker

    run(scenario())


def test_a_bad_file_ends_the_start_with_one_line_and_code_2(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path) as it:
            await it.relay.kill()
            (tmp_path / "mqtt.toml").write_text("[[in]]\nfilter = 'a/#/b'\n")
            with pytest.raises(AssertionError):
                await it.relay.start()
            assert it.relay.process is not None
            assert await it.relay.ended() == 2

    run(scenario())
