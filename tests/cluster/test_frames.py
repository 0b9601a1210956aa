"""Recorded frames of an earlier version (tests/data/frames.json) are decoded and encoded to the same bytes.

Packages add their message classes to `MESSAGES`.
"""

import json
from pathlib import Path

import pytest

from amberlug.cluster.consensus.messages import (
    AcknowledgedIndexes,
    AcknowledgedIndexReply,
    AcknowledgedIndexRequest,
    AppendEntries,
    FollowerReply,
    LeaderHeader,
    RequestVote,
    TimeoutNow,
    TransferChunk,
    VoteReply,
)
from amberlug.cluster.consensus.persistent_state import Entry
from amberlug.cluster.consensus.snapshot_transfer import TransferHeader
from amberlug.cluster.rpc.messages import WireBody

FRAMES = json.loads((Path(__file__).parents[1] / "data" / "frames.json").read_text())

# Keyed by the tag of the request or notification; `/reply` is appended for the reply.
MESSAGES: dict[str, type[WireBody]] = {
    "vise.append": AppendEntries,
    "vise.append/reply": FollowerReply,
    "vise.floor": AcknowledgedIndexRequest,
    "vise.floor/reply": AcknowledgedIndexReply,
    "vise.now": TimeoutNow,
    "vise.part": TransferChunk,
    "vise.part/reply": FollowerReply,
    "vise.vote": RequestVote,
    "vise.vote/reply": VoteReply,
}

# Forms of a message other than the recorded one.
OTHER_FORMS: list[tuple[WireBody, str]] = [
    (
        AppendEntries(
            LeaderHeader(2, "a", "b", 7), 7, 1, [Entry(2, {"n": 1})], AcknowledgedIndexes(6, {"a": 7, "b": 6})
        ),
        '{"term": 2, "me": "a", "to": "b", "commit": 7, "prev": 7, "prev_term": 1,'
        ' "entries": [[2, {"n": 1}]], "floor": 6, "floors": {"a": 7, "b": 6}}',
    ),
    (
        TransferChunk(
            LeaderHeader(2, "a", "b", 7),
            TransferHeader("snapshot", 6, 1, 9, "00"),
            -1,
            0,
            b"",
            AcknowledgedIndexes(6),
        ),
        '{"term": 2, "me": "a", "to": "b", "commit": 7, "kind": "snapshot", "last": 6, "last_term": 1,'
        ' "total": 9, "sum": "00", "before_term": -1, "offset": 0, "floor": 6}',
    ),
    (FollowerReply(False, 3, is_wrong_target=False), '{"ok": false, "term": 3, "stranger": false}'),
    (FollowerReply(False, 3, is_wrong_target=True), '{"ok": false, "term": 3, "stranger": true}'),
    (FollowerReply(False, 3, last_index=0), '{"ok": false, "term": 3, "last": 0}'),
    (FollowerReply(False, 3, received_bytes=0), '{"ok": false, "term": 3, "had": 0}'),
    (VoteReply(True, 3, 4), '{"yes": true, "of": 4, "term": 3}'),
    (VoteReply(False, 0), '{"yes": false, "term": 0}'),
    (AcknowledgedIndexReply(None), "{}"),
]


@pytest.mark.parametrize("tag", list(MESSAGES))
def test_a_recorded_frame_is_decoded_and_encoded_to_the_same_bytes(tag: str) -> None:
    recorded = FRAMES[tag]
    message = MESSAGES[tag].from_wire(json.loads(recorded["body"]), bytes.fromhex(recorded["blob"]))
    assert json.dumps(message.to_wire()) == recorded["body"]
    assert message.payload.hex() == recorded["blob"]


@pytest.mark.parametrize("tag", [tag for tag in MESSAGES if not tag.endswith("/reply")])
def test_a_message_has_its_recorded_tag(tag: str) -> None:
    assert vars(MESSAGES[tag])["wire_tag"] == tag


@pytest.mark.parametrize(("message", "body"), OTHER_FORMS)
def test_another_form_is_encoded_and_decoded(message: WireBody, body: str) -> None:
    assert json.dumps(message.to_wire()) == body
    assert type(message).from_wire(json.loads(body), message.payload) == message
