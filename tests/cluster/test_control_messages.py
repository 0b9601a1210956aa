"""Messages of the control plane: recorded frames are decoded, and encoded again to the same bytes."""

import json
from typing import Any

import pytest

from amberlug.cluster.control.messages import Heartbeat, OpenSession, ReadCurrentState, SessionReport
from amberlug.cluster.control.peer_messages import (
    AnnounceLeaving,
    CommandReply,
    ConfirmIndex,
    ControlStatusReport,
    ForwardCommand,
    JoinCluster,
    ReadControlStatus,
)
from amberlug.cluster.interfaces import Json
from tests.rig import ROOT

RECORDED = json.loads((ROOT / "tests/data/frames.json").read_text())
MESSAGES: dict[str, Any] = {
    message.wire_tag: message
    for message in (
        Heartbeat,
        OpenSession,
        ReadCurrentState,
        SessionReport,
        AnnounceLeaving,
        ConfirmIndex,
        ForwardCommand,
        JoinCluster,
        ReadControlStatus,
    )
}
REPLIES = {
    f"{tag}/reply": message.reply_type for tag, message in MESSAGES.items() if hasattr(message, "reply_type")
}
FRAMES = [
    *((tag, frame["body"]) for tag, frame in RECORDED.items() if tag in MESSAGES.keys() | REPLIES.keys()),
    # Variants that are missing from the recording.
    ("hello/reply", '{"ok": false, "cause": "no contact with a majority"}'),
    ("beat/reply", '{"ok": false, "age": 1000000.0}'),
    ("newest/reply", '{"ok": true, "items": [["cores", [3], {}]], "next": ""}'),
    ("core.leaving", '{"id": "10.0.3.1/0"}'),
    ("core.confirm/reply", '{"index": null}'),
    (
        "core.join",
        '{"id": "10.0.3.1/0", "member": {"addr": "10.0.3.1:7300", "voter": false, "name": "core-0", '
        '"zone": "z0", "region": "r0", "control": ""}, "passed": true}',
    ),
    ("core.order", '{"word": "drain", "body": {"ids": [["i-1", 1, 7]]}}'),
    ("core.order", '{"word": "read", "body": {}}'),
    ("core.order", '{"word": "replace", "body": {"base": 0, "data": {"edition": 1}}}'),
    ("core.order", '{"word": "modify", "body": {"base": 1, "data": {"edition": 2}}}'),
    ("core.order/reply", "{}"),
    ("core.order/reply", '{"said": {"again": true}}'),
    ("core.order/reply", '{"said": {"config": null, "retired": {"store-0": "in_progress"}}}'),
    ("core.order/reply", '{"said": {"status": 412, "cause": "edition 1 is in place, not 0"}}'),
]


@pytest.mark.parametrize(("tag", "text"), FRAMES)
def test_a_recorded_frame_is_decoded_and_encoded_to_the_same_bytes(tag: str, text: str) -> None:
    message = (MESSAGES | REPLIES)[tag].from_wire(json.loads(text), b"")
    assert json.dumps(message.to_wire()) == text
    assert message.payload == b""


def test_a_control_node_reports_its_status_in_the_recorded_form() -> None:
    recorded = RECORDED["core.status/reply"]["body"]
    report = ControlStatusReport.from_wire(json.loads(recorded), b"")
    assert (report.role, report.commit_index, report.counters) == ("follower", 20, {"announced": 2})
    assert json.dumps(report.to_wire()) == recorded


def test_every_message_and_reply_has_an_example() -> None:
    assert MESSAGES.keys() | REPLIES.keys() == {tag for tag, _ in FRAMES}


NODE = {
    "name": "store-4",
    "incarnation": "1a",
    "address": "10.0.2.5:7300",
    "machine_class": "storage",
    "zone": "z0",
    "region": "r0",
    "state": "up",
}


def test_missing_optional_fields_have_defaults() -> None:
    assert OpenSession.from_wire(NODE, b"").node.details == {}
    assert Heartbeat.from_wire({**NODE, "extra": None}, b"").node.details == {}
    assert SessionReport.from_wire({"rows": [], "seen": []}, b"").has_contact
    assert ReadCurrentState.from_wire({}, b"").after_key == ""


@pytest.mark.parametrize("field", NODE)
def test_a_session_request_without_a_required_field_is_an_error(field: str) -> None:
    body: Json = {name: value for name, value in NODE.items() if name != field}
    with pytest.raises(KeyError, match=field):
        OpenSession.from_wire(body, b"")


def test_an_empty_reply_to_a_command_has_no_outcome() -> None:
    assert CommandReply.from_wire({}, b"") == CommandReply(None)
