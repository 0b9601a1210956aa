"""Wire compatibility of storage node messages with recorded frames of earlier versions."""

import json
from pathlib import Path

import pytest

from amberlug.cluster.node_status import NodeStatusRequest
from amberlug.cluster.rpc.messages import WireBody
from amberlug.cluster.storage.content_messages import ContentReply, ContentRequest
from amberlug.cluster.storage.messages import (
    Acknowledgement,
    AcknowledgeReply,
    AcknowledgeRequest,
    EndedMessagesReply,
    EndedMessagesRequest,
    FenceReply,
    FenceRequest,
    OpenMessage,
    OutcomesReply,
    OutcomesRequest,
    ReplicaWriteReply,
    ReplicaWriteRequest,
    ReplicaWriteResult,
)
from amberlug.cluster.storage.operator_messages import (
    DEAD_MESSAGES_PER_PAGE,
    DeadMessagesReply,
    DeadMessagesRequest,
    StorageStatusReport,
)
from amberlug.cluster.storage.outcomes import DEAD_OUTCOME, OPEN, MessageOutcome

FRAMES = json.loads((Path(__file__).parents[1] / "data" / "frames.json").read_text())
MESSAGES: dict[str, type[WireBody]] = {
    "put": ReplicaWriteRequest,
    "put/reply": ReplicaWriteReply,
    "marks": AcknowledgeRequest,
    "marks/reply": AcknowledgeReply,
    "fence": FenceRequest,
    "fence/reply": FenceReply,
    "find": OutcomesRequest,
    "find/reply": OutcomesReply,
    "body": ContentRequest,
    "body/reply": ContentReply,
    "dead": DeadMessagesRequest,
    "dead/reply": DeadMessagesReply,
    "status": NodeStatusRequest,
    "status/reply": StorageStatusReport,
}


@pytest.mark.parametrize("tag", MESSAGES)
def test_a_recorded_frame_is_decoded_and_encoded_to_the_same_bytes(tag: str) -> None:
    recorded = FRAMES[tag]
    message = MESSAGES[tag].from_wire(json.loads(recorded["body"]), bytes.fromhex(recorded["blob"]))
    assert json.dumps(message.to_wire()) == recorded["body"]
    assert message.payload.hex() == recorded["blob"]


@pytest.mark.parametrize("tag", [tag for tag in MESSAGES if "/" not in tag])
def test_a_request_has_the_tag_that_was_recorded(tag: str) -> None:
    assert vars(MESSAGES[tag])["wire_tag"] == tag


REPLIES = [
    (ReplicaWriteReply(ReplicaWriteResult.STORED, "d"), '{"ok": true, "disk": "d"}'),
    (
        ReplicaWriteReply(ReplicaWriteResult.STORED, "d", MessageOutcome("done", "r")),
        '{"ok": true, "disk": "d", "end": "done", "seal": "r"}',
    ),
    (ReplicaWriteReply(ReplicaWriteResult.FENCED, fencing_token=7), '{"fenced": 7}'),
    (ReplicaWriteReply(ReplicaWriteResult.STORAGE_FULL), '{"full": true}'),
    (ReplicaWriteReply(ReplicaWriteResult.NOT_ENROLLED), '{"early": true}'),
    (AcknowledgeReply(False), '{"ok": false}'),
    (AcknowledgeReply(True), '{"ok": true}'),
    (AcknowledgeReply(True, "d"), '{"ok": true, "disk": "d"}'),
    (OutcomesReply({}, "d"), '{"found": {}, "disk": "d"}'),
    (
        OutcomesReply({"1-a": MessageOutcome("done", "r")}, "d", {"1-a": 2.5}, 7),
        '{"found": {"1-a": ["done", "r"]}, "disk": "d", "until": {"1-a": 2.5}, "roster": 7}',
    ),
    (EndedMessagesRequest((1, 2), (1, "1-a")), '{"shards": [1, 2], "after": [1, "1-a"]}'),
    (
        EndedMessagesReply((Acknowledgement("1-a", 1, MessageOutcome("done", "r"), 2.5),), "d", False),
        '{"ended": [["1-a", 1, "done", "r", 2.5]], "disk": "d", "more": false}',
    ),
    (ContentReply(None, OPEN, "d"), '{"found": false, "disk": "d"}'),
    (FenceReply(False), '{"ok": false}'),
    (ContentReply(None), '{"found": false}'),
    (ContentReply(b""), '{"found": true}'),
    (ContentReply(None, MessageOutcome("done", "r")), '{"found": false, "end": "done", "seal": "r"}'),
    (DeadMessagesRequest(message_id="1-a"), '{"id": "1-a"}'),
]


@pytest.mark.parametrize(("message", "text"), REPLIES)
def test_each_shape_of_a_reply_keeps_its_wire_format(message: WireBody, text: str) -> None:
    assert json.dumps(message.to_wire()) == text
    assert type(message).from_wire(json.loads(text), message.payload) == message


def test_a_fence_reply_carries_bodies_in_the_order_of_its_open_messages() -> None:
    first, second, third = (OpenMessage("1-a", 1, 2, 3, {}, 4, content) for content in (b"ab", None, b""))
    reply = FenceReply(True, "d", {5: 6}, (first, second, third))
    assert reply.payload == b"ab"
    assert [row[-1] for row in reply.to_wire()["open"]] == [2, -1, 0]
    assert FenceReply.from_wire(reply.to_wire(), reply.payload) == reply


def test_missing_optional_fields_have_defaults() -> None:
    assert ReplicaWriteReply.from_wire({}, b"").result is ReplicaWriteResult.NOT_ENROLLED
    assert AcknowledgeReply.from_wire({}, b"") == AcknowledgeReply(False)
    assert FenceReply.from_wire({}, b"") == FenceReply(False)
    assert ContentReply.from_wire({}, b"") == ContentReply(None, OPEN)
    assert OutcomesReply.from_wire({"found": {}}, b"").disk_id == ""
    assert DeadMessagesRequest.from_wire({"after": "1-a"}, b"").limit == DEAD_MESSAGES_PER_PAGE


def test_the_outcome_of_dead_messages_is_that_of_the_protocol() -> None:
    assert DEAD_OUTCOME == "dead"
    assert not MessageOutcome(DEAD_OUTCOME).is_open
