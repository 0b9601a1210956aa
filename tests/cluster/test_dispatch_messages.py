"""Wire compatibility of the messages between edges with recorded frames."""

import json
from pathlib import Path

import pytest

from amberlug.cluster.dispatch.messages import (
    AdmissionOutcome,
    CallEnded,
    Handover,
    Offer,
    OfferReply,
    StandingReply,
    StandingRequest,
)
from amberlug.cluster.rpc.messages import WireBody
from amberlug.cluster.storage.outcomes import MessageOutcome

FRAMES = json.loads((Path(__file__).parent.parent / "data" / "frames.json").read_text())
TYPES: dict[str, type[WireBody]] = {
    "handover": Handover,
    "offer": Offer,
    "offer/reply": OfferReply,
    "outcome": CallEnded,
    "standing": StandingRequest,
    "standing/reply": StandingReply,
}


@pytest.mark.parametrize("name", TYPES)
def test_a_recorded_frame_decodes_and_encodes_to_the_same_bytes(name: str) -> None:
    body, payload = json.loads(FRAMES[name]["body"]), bytes.fromhex(FRAMES[name]["blob"])
    message = TYPES[name].from_wire(body, payload)
    assert json.dumps(message.to_wire()) == FRAMES[name]["body"]
    assert message.payload == payload


@pytest.mark.parametrize(
    ("reply", "body"),
    [
        (OfferReply(AdmissionOutcome.ACCEPTED), {"taken": "held"}),
        (OfferReply(AdmissionOutcome.NOT_OWNER), {"taken": "elsewhere"}),
        (OfferReply(AdmissionOutcome.OUTCOME_UNKNOWN), {"taken": "unclear"}),
        (OfferReply(AdmissionOutcome.REJECTED, is_unavailable=True), {"taken": "refused", "dark": True}),
        (StandingReply(None), {"known": None}),
        (StandingReply(MessageOutcome()), {"known": ["", ""]}),
        (StandingReply(MessageOutcome("done", "seal")), {"known": ["done", "seal"]}),
    ],
)
def test_each_shape_of_a_reply_is_encoded_and_decoded(
    reply: OfferReply | StandingReply, body: dict[str, object]
) -> None:
    assert reply.to_wire() == body
    assert type(reply).from_wire(body, b"") == reply


def test_a_standing_reply_without_its_field_has_no_outcome() -> None:
    assert StandingReply.from_wire({}, b"") == StandingReply(None)


def test_an_offer_carries_the_message_to_its_owner() -> None:
    offer = Offer.from_wire(json.loads(FRAMES["offer"]["body"]), bytes.fromhex(FRAMES["offer"]["blob"]))
    assert json.dumps(Offer.of(offer.to_message()).to_wire()) == FRAMES["offer"]["body"]
    assert offer.to_message().body == offer.content
