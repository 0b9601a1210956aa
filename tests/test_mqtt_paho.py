"""The paho client: interoperates with the listener, and why the relay itself does not use it."""

import asyncio
import json
import threading
from pathlib import Path
from typing import Any

import paho.mqtt.client as paho
import pytest
from paho.mqtt.enums import CallbackAPIVersion, MQTTProtocolVersion
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties

from amberlug.standin import broker as mqtt
from amberlug.standin.broker import Broker
from amberlug.standin.wire import PATIENCE
from tests.rig import run
from tests.test_mqtt import user, world

VERSIONS = {"5.0": MQTTProtocolVersion.MQTTv5, "3.1.1": MQTTProtocolVersion.MQTTv311}


@pytest.mark.parametrize("version", VERSIONS)
def test_another_s_client_publishes_and_hears_its_ends(tmp_path: Path, version: str) -> None:
    heard: list[dict[str, Any]] = []
    all_heard = threading.Event()

    def on_message(client: paho.Client, data: Any, message: paho.MQTTMessage) -> None:
        heard.append(json.loads(message.payload))
        if len(heard) == 2:
            all_heard.set()

    def talk(port: int) -> None:
        client = paho.Client(CallbackAPIVersion.VERSION2, "board", protocol=VERSIONS[version])
        client.on_message = on_message
        client.connect("127.0.0.1", port)
        client.loop_start()
        client.subscribe("ends/board", 1)
        own = None
        if version == "5.0":
            own = Properties(PacketTypes.PUBLISH)  # type: ignore[no-untyped-call]
            own.ResponseTopic, own.CorrelationData = "ends/board", b"c"
        for qos in (1, 2):
            body = json.dumps({"entry": {"key": f"k{qos}"}})
            client.publish("entry/1", body, qos, properties=own).wait_for_publish(PATIENCE)
        assert all_heard.wait(PATIENCE)
        client.disconnect()
        client.loop_stop()

    async def scenario() -> None:
        async with world(tmp_path) as it:
            await asyncio.to_thread(talk, it.port)
            assert {one.headers["idempotency-key"] for one in it.partner.seen} == {"k1", "k2"}
            assert [one["outcome"] for one in heard] == ["delivered", "delivered"]

    run(scenario())


def test_its_pubrec_goes_out_before_anybody_could_have_kept_the_message() -> None:
    """paho sends PUBREC before the application has the message: a crash between loses it at QoS 2."""

    async def scenario() -> None:
        broker = await Broker().start()
        kept = threading.Event()
        client = paho.Client(
            CallbackAPIVersion.VERSION2, "c", protocol=MQTTProtocolVersion.MQTTv5, manual_ack=True
        )
        client.on_message = lambda client, data, message: kept.set()

        def hold(broker: Broker, session: mqtt.Session, packet: mqtt.Packet) -> bool:
            return bool(packet["kind"] == mqtt.PUBREC)  # suppress the PUBREL

        broker.faults.append(hold)
        client.connect("127.0.0.1", broker.port)
        client.loop_start()
        client.subscribe("pay/1", 2)
        await broker.subscribed("c")
        broker.offer("pay/1", b"x", 2, properties=user(id="p1"))
        await broker.until(lambda: bool(broker.of(mqtt.PUBREC)))
        assert not kept.is_set()
        client.disconnect()
        await asyncio.to_thread(client.loop_stop)
        await broker.stop()

    run(scenario())


def test_it_publishes_again_by_itself_what_was_lost() -> None:
    """paho retransmits lost publishes by itself: for a payment that would be a second attempt."""

    async def scenario() -> None:
        broker = await Broker().start()
        client = paho.Client(
            CallbackAPIVersion.VERSION2, "c", protocol=MQTTProtocolVersion.MQTTv311, clean_session=False
        )
        client.reconnect_delay_set(1, 1)
        broker.faults.append(mqtt.once(mqtt.PUBLISH, lambda broker, session, packet: broker.cut_off(session)))
        client.connect("127.0.0.1", broker.port)
        client.loop_start()
        client.publish("pay/1", b"x", 1)
        await broker.until(lambda: len(broker.of(mqtt.PUBLISH)) == 2)
        first, second = broker.of(mqtt.PUBLISH)
        assert (first["id"], first["payload"], second["dup"]) == (second["id"], second["payload"], True)
        client.disconnect()
        await asyncio.to_thread(client.loop_stop)
        await broker.stop()

    run(scenario())
