"""MQTT packets: encoding round trips for any chunking, and protocol violations are errors."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.mqtt import packets
from amberlug.mqtt.fields import MqttError, variable
from amberlug.mqtt.packets import (
    V3,
    V5,
    Ack,
    Connack,
    Connect,
    Decoder,
    Disconnect,
    Kind,
    Packet,
    Ping,
    Publish,
    Subscribe,
    SubscriptionAck,
    TopicSubscription,
    Unsubscribe,
)
from amberlug.mqtt.properties import P
from amberlug.mqtt.topics import captured_levels, is_filter, is_topic

TEXT = st.text(st.characters(exclude_categories=["Cs"], exclude_characters="\0"), max_size=8)
TOPIC = st.text(st.sampled_from("ab/é$"), min_size=1, max_size=8)
PACKET_ID = st.integers(1, 0xFFFF)
USER = st.fixed_dictionaries({P.USER: st.lists(st.tuples(TEXT, TEXT), min_size=1, max_size=3)})
OF_PUBLISH = st.fixed_dictionaries(
    {},
    optional={
        P.RESPONSE_TOPIC: TOPIC,
        P.CORRELATION_DATA: st.binary(max_size=5),
        P.MESSAGE_EXPIRY: st.integers(0, 2**32 - 1),
        P.SUBSCRIPTION_ID: st.lists(st.integers(1, 268_435_455), min_size=1, max_size=2),
    },
)
PACKETS: st.SearchStrategy[Packet] = st.one_of(
    st.builds(
        Connect,
        TEXT,
        st.just(V5),
        st.booleans(),
        st.integers(0, 0xFFFF),
        st.none() | TEXT,
        st.none() | st.binary(max_size=4),
        properties=USER,
    ),
    st.builds(Connack, st.integers(0, 255), st.booleans(), USER),
    st.builds(
        Publish,
        TOPIC,
        st.binary(max_size=300),
        st.just(0),
        st.just(0),
        st.just(False),
        st.booleans(),
        OF_PUBLISH,
    ),
    st.builds(
        Publish,
        TOPIC,
        st.binary(max_size=9),
        st.integers(1, 2),
        PACKET_ID,
        st.booleans(),
        st.booleans(),
        OF_PUBLISH,
    ),
    st.builds(
        Ack,
        st.sampled_from([Kind.PUBACK, Kind.PUBREC, Kind.PUBREL, Kind.PUBCOMP]),
        PACKET_ID,
        st.integers(0, 255),
        st.just({}) | USER,
    ),
    st.builds(
        Subscribe,
        PACKET_ID,
        st.tuples(
            st.builds(
                TopicSubscription,
                st.sampled_from(["a/+", "#", "$share/g/a"]),
                st.integers(0, 2),
                st.booleans(),
                st.booleans(),
                st.integers(0, 2),
            )
        ),
        USER,
    ),
    st.builds(Unsubscribe, PACKET_ID, st.tuples(st.just("a/#"), st.just("b"))),
    st.builds(
        SubscriptionAck,
        st.sampled_from([Kind.SUBACK, Kind.UNSUBACK]),
        PACKET_ID,
        st.lists(st.integers(0, 255), min_size=1, max_size=3).map(tuple),
    ),
    st.builds(Ping, st.sampled_from([Kind.PINGREQ, Kind.PINGRESP])),
    st.builds(Disconnect, st.integers(0, 255), USER),
)


def read(data: bytes, version: int = V5, piece: int = 1 << 20, most: int = 1 << 20) -> list[Packet]:
    decoder, found = Decoder(most, version), []
    for at in range(0, len(data), piece):
        decoder.feed(data[at : at + piece])
        while (packet := decoder.next()) is not None:
            found.append(packet)
    assert not decoder.has_partial
    return found


@given(st.lists(PACKETS, min_size=1, max_size=4), st.integers(1, 9))
def test_what_is_written_is_read_again_in_any_pieces(written: list[Packet], piece: int) -> None:
    data = b"".join(packets.encode(packet, V5) for packet in written)
    assert read(data, piece=piece) == written


def test_the_older_version_has_neither_properties_nor_reasons() -> None:
    user = {P.USER: [("a", "b")]}
    assert read(packets.encode(Ack(Kind.PUBACK, 7, 0x97, user), V3), V3) == [Ack(Kind.PUBACK, 7)]
    assert read(packets.encode(Publish("a", b"x", 1, 7, properties=user), V3), V3) == [
        Publish("a", b"x", 1, 7)
    ]
    assert packets.encode(Disconnect(0x97), V3) == b"\xe0\0"
    connect = Connect("me", V3, username="u", password=b"p")
    assert read(packets.encode(connect, V3), 0) == [connect]
    assert read(packets.encode(SubscriptionAck(Kind.UNSUBACK, 7, (0,)), V3), V3) == [
        SubscriptionAck(Kind.UNSUBACK, 7, ())
    ]


def test_bytes_are_those_of_the_standard() -> None:
    """Compares with byte strings derived by hand from the named sections."""
    connect = bytes.fromhex("10 10 00 04 4d515454 05 02 003c 03 21 0014 00 00")  # 3.1: receive maximum 20
    assert read(connect, 0) == [Connect("", V5, True, 60, properties={P.RECEIVE_MAXIMUM: 20})]
    assert packets.encode(Publish("a/b", b"hi", 1, 10), V5) == bytes.fromhex("32 0a 0003 612f62 000a 00 6869")
    assert packets.encode(Ack(Kind.PUBREL, 10), V5) == bytes.fromhex("62 02 000a")
    assert packets.encode(Ack(Kind.PUBACK, 10, 0x97), V5) == bytes.fromhex("40 03 000a 97")
    assert [variable(value).hex() for value in (0, 127, 128, 16_383, 16_384, 268_435_455)] == [
        "00",
        "7f",
        "8001",
        "ff7f",
        "808001",
        "ffffff7f",
    ]


def frame(first: int, body: bytes) -> bytes:
    return bytes((first,)) + variable(len(body)) + body


CONNECT = b"\0\x04MQTT\x05\x02\0\x3c\0\0\0"
BROKEN = {
    "type 0": b"\0\0",
    "flags": b"\x41\x02\0\x01",
    "subscribe flags": b"\x80\x06\0\x01\0\0\x01a",
    "length of five bytes": b"\x30\xff\xff\xff\xff\x01",
    "length in too many bytes": b"\x30\x05\0\x01a\x80\0",
    "auth": frame(0xF0, b""),
    "qos 3": frame(0x36, b"\0\x01a\0\x01\0"),
    "dup at qos 0": frame(0x38, b"\0\x01a\0"),
    "no topic": frame(0x30, b"\0\0\0"),
    "wildcard": frame(0x30, b"\0\x03a/#\0"),
    "plus": frame(0x30, b"\0\x01+\0"),
    "NUL": frame(0x30, b"\0\x01\0\0"),
    "surrogate": frame(0x30, b"\0\x03\xed\xa0\x80\0"),
    "no utf-8": frame(0x30, b"\0\x01\xff\0"),
    "packet id 0": frame(0x32, b"\0\x01a\0\0\0"),
    "topic beyond its end": frame(0x30, b"\0\x09a"),
    "no packet id": frame(0x32, b"\0\x01a"),
    "expiry twice": frame(0x30, b"\0\x01a\x0a\x02\0\0\0\x01\x02\0\0\0\x01"),
    "response topic twice": frame(0x30, b"\0\x01a\x08\x08\0\x01r\x08\0\x01r"),
    "response topic with a wildcard": frame(0x30, b"\0\x01a\x04\x08\0\x01#"),
    "property of another packet": frame(0x30, b"\0\x01a\x03\x21\0\x01"),
    "unknown property": frame(0x30, b"\0\x01a\x02\x7f\0"),
    "alias 0": frame(0x30, b"\0\x01a\x03\x23\0\0"),
    "format 2": frame(0x30, b"\0\x01a\x02\x01\x02"),
    "properties beyond the end": frame(0x30, b"\0\x01a\x05"),
    "behind an ack": frame(0x40, b"\0\x01\0\0\0"),
    "no filter": frame(0x82, b"\0\x01\0"),
    "bad filter": frame(0x82, b"\0\x01\0\0\x03a/#b\0"),
    "hash inside": frame(0x82, b"\0\x01\0\0\x03#/a\0"),
    "share without a group": frame(0x82, b"\0\x01\0\0\x09$share//a\0"),
    "options": frame(0x82, b"\0\x01\0\0\x01a\xc0"),
    "wanted qos 3": frame(0x82, b"\0\x01\0\0\x01a\x03"),
    "ping with a body": frame(0xC0, b"x"),
}
BROKEN_CONNECT = {
    "ahead of CONNECT": frame(0xC0, b""),
    "protocol": frame(0x10, CONNECT.replace(b"MQTT", b"MQTX")),
    "level": frame(0x10, CONNECT.replace(b"\x05\x02", b"\x06\x02")),
    "reserved": frame(0x10, CONNECT.replace(b"\x05\x02", b"\x05\x03")),
    "will qos without a will": frame(0x10, CONNECT.replace(b"\x05\x02", b"\x05\x0a")),
    "cut off": frame(0x10, CONNECT[:-1]),
    "receive maximum 0": frame(0x10, CONNECT[:-3] + b"\x03\x21\0\0\0\0"),
    "password without a name": frame(0x10, b"\0\x04MQTT\x04\x42\0\x3c\0\0\0\0"),
}


@pytest.mark.parametrize("case", [*BROKEN, *BROKEN_CONNECT])
def test_what_breaks_the_protocol_is_an_error(case: str) -> None:
    data = BROKEN.get(case) or BROKEN_CONNECT[case]
    with pytest.raises(MqttError) as error:
        read(data, V5 if case in BROKEN else 0)
    assert error.value.code >= 0x80


def test_a_packet_that_is_too_long_is_an_error_before_it_has_come() -> None:
    decoder = Decoder(100, V5)
    decoder.feed(b"\x30\xff\x01")
    with pytest.raises(MqttError, match="100 bytes") as error:
        decoder.next()
    assert error.value.code == packets.PACKET_TOO_LARGE


@given(st.binary(max_size=40), st.sampled_from([0, V3, V5]))
def test_noise_is_a_packet_or_an_error_and_nothing_else(data: bytes, version: int) -> None:
    decoder = Decoder(1000, version)
    decoder.feed(data)
    try:
        while decoder.next() is not None:
            pass
    except MqttError:
        pass


@pytest.mark.parametrize(
    ("name", "topic", "levels"),
    [
        ("a/+/c", "a/b/c", ("b",)),
        ("a/+/c", "a/b/d", None),
        ("#", "a/b", ()),
        ("a/#", "a", ()),
        ("+/+", "/x", ("", "x")),
        ("+", "/x", None),
        ("a/+", "a", None),
        ("#", "$SYS/x", None),
        ("+/x", "$SYS/x", None),
        ("$SYS/#", "$SYS/x", ()),
        ("a", "a/b", None),
        ("a/+/#", "a/b/c/d", ("b",)),
    ],
)
def test_filters_match_as_the_standard_says(name: str, topic: str, levels: Any) -> None:
    assert captured_levels(name, topic) == levels


def test_topics_and_filters() -> None:
    assert [is_topic(value) for value in ("a/b", "", "a/+", "#", "a\0", "x" * 65_536)] == [True, *[False] * 5]
    good = ("a", "+", "#", "a/+/b", "a/#", "$share/g/a/#", "/")
    bad = ("", "a#", "a/#/b", "a+", "$share/g", "$share//a", "$share/+/a", "$share/g/", "a\0")
    assert all(map(is_filter, good))
    assert not any(map(is_filter, bad))
