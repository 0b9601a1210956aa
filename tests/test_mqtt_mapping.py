"""The MQTT configuration: how publishes become messages, and that each error in a file is reported."""

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest

from amberlug.cli.main import main
from amberlug.mqtt import mapping
from amberlug.mqtt.mapping import BadPublishError, MqttConfig, ReceivedPublish
from amberlug.mqtt.packets import Publish
from amberlug.mqtt.properties import P
from amberlug.policy.settings import read_settings
from tests.conftest import message_class, setup

ROOT = Path(__file__).parents[1]
NOW_MS = 1_000_000
CLASSES = [
    message_class("fee-payment", "unsafe"),
    message_class("game-result", "safe"),
    message_class("entry", "keyed"),
]
SETTINGS = read_settings(
    setup(
        Categories=CLASSES,
        Kinds=["plain", "scoreboard", "bundled"],
        FamilyInfo__BundleMax=[1, 1, 3],
        Accounts=[{"Name": "north", "QuotaPerS": 5.0}],
        FamilyInfo__RoutesApart=[False] * 3,
        FamilyInfo__Carriage=[0.0] * 3,
    )
)
FILE = """
[broker.hall]
address = "127.0.0.1:1883"
client_id = "relay-1"
[listener]
address = "127.0.0.1:1884"
[[in]]
from = ["hall"]
filter = "fees/+/paid"
class = "fee-payment"
destination = "level:1"
tenant = "north"
id = "property:id"
deadline_ms = 20000
qos = 2
[[in]]
from = ["hall", "listener"]
filter = "results/+/#"
share = "relays"
class = "game-result"
destination = "field:venue.cell"
tenant = "field:club"
id = { digest = ["topic", "field:match", "field:minute"] }
deadline_ms = "property:deadline-ms"
deadline_default_ms = 5000
ends = "ends/{1}"
[[in]]
from = ["listener"]
filter = "entry/#"
class = "entry"
destination = 7
tenant = "property:club"
key = "field:key"
deadline_ms = 1000
"""


def config() -> MqttConfig:
    found, problems = mapping.read(tomllib.loads(FILE), SETTINGS)
    assert problems == []
    return found


def publish(topic: str, fields: Any = None, **more: Any) -> Publish:
    user = [(name.replace("_", "-"), value) for name, value in more.pop("user", {}).items()]
    payload = json.dumps(fields).encode() if fields is not None else b"no json"
    return Publish(topic, payload, 1, 1, properties={P.USER: user})


def read(origin: str, packet: Publish) -> tuple[Any, int]:
    found = config().route(origin, packet.topic)
    assert found is not None
    return found[0].read(ReceivedPublish(packet, found[1]), SETTINGS, NOW_MS)


RESULT = {"venue": {"cell": 12}, "club": "north", "match": "m7", "minute": 90}


def test_a_publish_becomes_a_message() -> None:
    message, left_us = read("hall", publish("fees/3/paid", user={"id": "p1"}))
    assert (message.name, message.message_class, message.destination) == ("p1", "fee-payment", 3)
    assert (message.tenant, message.key, message.body) == ("north", None, b"no json")
    assert (left_us, message.deadline_ms) == (20_000_000, NOW_MS + 20_000)
    message, left_us = read("listener", publish("results/x/y", RESULT, user={"deadline_ms": "300"}))
    assert (message.destination, message.tenant, left_us) == (12, "north", 300_000)
    message, _ = read("listener", publish("entry", {"key": "k1"}, user={"club": "north"}))
    assert (message.destination, message.key, message.message_class) == (7, "k1", "entry")


def test_a_digest_is_the_same_for_the_same_fields_alone() -> None:
    def name(**changes: Any) -> str:
        return str(read("hall", publish("results/x", RESULT | changes))[0].name)

    assert name() == name(score="2:1")
    # Another value, the same characters split differently, or another topic give different names.
    names = {name(), name(minute=91), name(match="m79", minute=0), name(match="m", minute=790)}
    assert len(names) == 4
    assert read("hall", publish("results/y", RESULT))[0].name != name()


def test_a_keyed_message_without_an_id_is_known_by_its_key() -> None:
    names = [
        read("listener", publish("entry", {"key": key, "more": more}, user={"club": "north"}))[0].name
        for key, more in (("k1", 1), ("k1", 2), ("k2", 1))
    ]
    assert names[0] == names[1] != names[2]


def test_what_expires_first_counts() -> None:
    packet = publish("results/x", RESULT, user={"deadline_ms": "9000"})
    late = Publish(packet.topic, packet.payload, 1, 1, properties={**packet.properties, P.MESSAGE_EXPIRY: 2})
    assert read("hall", late)[1] == 2_000_000


def test_ends_go_to_the_response_topic_or_the_file_s() -> None:
    route, levels = config().route("hall", "results/x/y") or pytest.fail("no route")
    assert route.end_topic(ReceivedPublish(publish("results/x/y"), levels)) == "ends/x"
    with_response_topic = Publish("results/x/y", b"", 1, 1, properties={P.RESPONSE_TOPIC: "mine"})
    assert route.end_topic(ReceivedPublish(with_response_topic, levels)) == "mine"
    assert route.subscription == "$share/relays/results/+/#"


def test_the_first_matching_route_of_an_origin_applies() -> None:
    found = config()
    assert found.route("hall", "entry") is None
    assert found.route("listener", "results/x")[0].message_class == "game-result"  # type: ignore[index]
    assert found.route("listener", "fees/3/paid") is None


BAD_PUBLISHES: list[tuple[str, Publish, int]] = [
    ("hall", publish("fees/3/paid"), 0x99),
    ("hall", publish("fees/3/paid", user={"id": ""}), 0x99),
    ("hall", publish("fees/3/paid", user={"id": "a b"}), 0x99),
    ("hall", publish("fees/3/paid", user={"id": "x" * 129}), 0x99),
    ("hall", publish("fees/x/paid", user={"id": "a"}), 0x99),
    ("hall", publish("fees/-1/paid", user={"id": "a"}), 0x99),
    ("hall", publish("fees/99999999999/paid", user={"id": "a"}), 0x99),
    ("hall", publish("results/x"), 0x99),
    ("hall", publish("results/x", [1]), 0x99),
    ("hall", publish("results/x", RESULT | {"venue": {}}), 0x99),
    ("hall", publish("results/x", RESULT | {"venue": {"cell": 1.5}}), 0x99),
    ("hall", publish("results/x", RESULT | {"venue": {"cell": True}}), 0x99),
    ("hall", publish("results/x", RESULT | {"club": "south"}), 0x87),
    ("hall", publish("results/x", RESULT | {"match": None}), 0x99),
    ("hall", publish("results/x", RESULT, user={"deadline_ms": "soon"}), 0x99),
    ("hall", Publish("results/x", b"[" * 60_000, 1, 1), 0x99),
    ("hall", Publish("fees/3/paid", b"x" * 65_537, 1, 1, properties={P.USER: [("id", "a")]}), 0x95),
    ("listener", publish("entry", {}, user={"club": "north"}), 0x99),
]


@pytest.mark.parametrize("number", range(len(BAD_PUBLISHES)))
def test_what_is_no_message_is_refused_with_a_code(number: int) -> None:
    origin, packet, code = BAD_PUBLISHES[number]
    with pytest.raises(BadPublishError) as error:
        read(origin, packet)
    assert error.value.code == code


BAD_FILES = {
    ('client_id = "relay-1"', "client_id = 7"): ("broker.hall.client_id", "not a string"),
    ('client_id = "relay-1"', ""): ("broker.hall.client_id", "missing"),
    ("127.0.0.1:1883", "broker.example:1883"): ("broker.hall.address", "not an IP address"),
    ('client_id = "relay-1"', 'client_id = "a"\nversion = "4"'): ("broker.hall.version", "neither"),
    ('client_id = "relay-1"', 'client_id = "a"\nwindow = 0'): ("broker.hall.window", "not from 1"),
    ('client_id = "relay-1"', 'client_id = "a"\npassword = "x"'): ("broker.hall.password", "username"),
    ('client_id = "relay-1"', 'client_id = "a"\nclean = true'): ("broker.hall.clean", "unknown"),
    ("[broker.hall]", "[broker.listener]"): ("broker.listener", "reserved name"),
    ("127.0.0.1:1884", "127.0.0.1"): ("listener.address", "not an IP address"),
    ('["hall"]', '["hell"]'): ("in[0].from", "no such broker"),
    ("fees/+/paid", "fees/#/paid"): ("in[0].filter", "not a topic filter"),
    ("fees/+/paid", "$share/g/fees/+"): ("in[0].filter", "share"),
    ("fees/+/paid", "fees/paid"): ("in[0].destination", "0 levels"),
    ('"level:1"', '"level:2"'): ("in[0].destination", "1 levels"),
    ('"level:1"', '"somewhere"'): ("in[0].destination", "none of topic"),
    ('destination = "level:1"', ""): ("in[0].destination", "missing"),
    ('class = "fee-payment"', 'class = "fees"'): ("in[0].class", "known are"),
    ('id = "property:id"', ""): ("in[0].id", "may not take effect twice"),
    ("deadline_ms = 20000\nqos = 2", "deadline_ms = 20000\nqos = 0"): ("in[0].qos", "without notice"),
    ("deadline_ms = 20000", "deadline_ms = 0"): ("in[0].deadline_ms", "not from 1"),
    ("deadline_ms = 20000", ""): ("in[0].deadline_ms", "missing"),
    ('tenant = "north"', 'tenant = "south"'): ("in[0].tenant", "unknown"),
    ('tenant = "north"', ""): ("in[0].tenant", "define tenants"),
    ('share = "relays"', 'share = "a/+"'): ("in[1].share", "not a valid group name"),
    ("ends/{1}", "ends/{2}"): ("in[1].ends", "does not have"),
    ("ends/{1}", "ends/#"): ("in[1].ends", "not a topic"),
    ("ends/{1}", "results/{1}/end"): ("ends 'results/{1}/end'", "match the inbound filter"),
    ("{ digest = [", "{ hash = ["): ("in[1].id", "digest"),
    ('"field:match"', '"match"'): ("in[1].id", "none of topic"),
    ('key = "field:key"', ""): ("in[2].key", "identified by their key"),
    ("destination = 7", "destination = -7"): ("in[2].destination", "not from 0"),
    ("[listener]", "[lisener]"): ("lisener", "unknown; known are"),
}
OUT = '[out.scoreboard]\ntopic = "clubs/{destination}"\nclient_id = "out"\nqos = { fee-payment = 2 }\n'
BAD_OUTS = {
    ("scoreboard", "telex"): ("out.telex", "no such kind"),
    ("scoreboard", "bundled"): ("out.bundled", "bundles"),
    ("{destination}", "{club}"): ("out.scoreboard.topic", "other than {destination}"),
    ("clubs/", "clubs/+/"): ("out.scoreboard.topic", "not a topic"),
    ("payment = 2", "payment = 0"): ("out.scoreboard.qos.fee-payment", "neither 1 nor 2"),
    ("{ fee-payment", "{ fees"): ("out.scoreboard.qos.fees", "no such class"),
    ('"out"', '"relay-1"'): ("out.scoreboard.client_id", "the same as in broker.hall"),
}


@pytest.mark.parametrize("number", range(len(BAD_FILES) + len(BAD_OUTS)))
def test_each_mistake_is_told_with_its_place(number: int) -> None:
    cases = [
        *((FILE, case) for case in BAD_FILES.items()),
        *((FILE + OUT, case) for case in BAD_OUTS.items()),
    ]
    text, ((good, bad), (where, what)) = cases[number]
    assert good in text
    problems = mapping.read(tomllib.loads(text.replace(good, bad, 1)), SETTINGS)[1]
    assert [
        problem for problem in problems if problem.where.rstrip(".") == where and what in problem.what
    ], problems


def test_all_mistakes_are_told_at_once() -> None:
    text = FILE
    for good, bad in (("[listener]", "[listener]\nx = 1"), ("level:1", "level:9"), ('hall"]', 'hell"]')):
        text = text.replace(good, bad)
    text = text.replace("field:key", "key")
    assert len(mapping.read(tomllib.loads(text), SETTINGS)[1]) == 4


def test_the_example_is_good_and_the_command_checks_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    example = ROOT / "deploy" / "mqtt.example.toml"
    found, problems = mapping.read(tomllib.loads(example.read_text()), SETTINGS)
    assert problems == []
    assert (len(found.routes), set(found.targets)) == (2, {"scoreboard"})
    assert main(["check", str(example)]) == 0
    bad = tmp_path / "bad.toml"
    bad.write_text(example.read_text().replace("fees/+/paid", "fees/#/paid"))
    assert main(["check", str(bad), "--json"]) == 1
    report = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert [problem["where"] for problem in report["problems"]] == ["in[0].filter", "in[0].destination"]
    bad.write_text("[[in]\n")
    assert main(["check", str(bad)]) == 1
