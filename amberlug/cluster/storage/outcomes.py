"""Message outcomes and metadata: types shared by edges and storage nodes. No I/O."""

from __future__ import annotations

from typing import Any

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

DONE_OUTCOME = "done"  # an endpoint has executed the message successfully
DEAD_OUTCOME = "dead"  # delivery was given up; the body stays readable

# Metadata that a shard's owner stores with a body, encoded and decoded by
# `amberlug.cluster.dispatch.message`. Storage nodes return it unchanged, including fields unknown to them.
MessageMetadata = dict[str, Any]


@value
class MessageOutcome:
    """The outcome of a message: its status, which is empty while it is open, and the receipt of a success.

    The receipt is the value of the header `amberlug-server-seal` in the endpoint's successful response; on
    the wire and on disk it is called `seal`.
    """

    status: str = ""
    receipt: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the message has not ended."""
        return not self.status

    @property
    def is_completed(self) -> bool:
        """Whether an endpoint has executed the message successfully."""
        return self.status == DONE_OUTCOME

    def to_fields(self) -> Json:
        """Encode as `end` and `seal` for a JSON object; empty for an open message."""
        return {} if self.is_open else {"end": self.status, "seal": self.receipt}

    @classmethod
    def from_fields(cls, body: Json) -> MessageOutcome:
        """Decode `end` and `seal`; without them the message is open.

        :raises KeyError: if there is an `end` without a `seal`.
        """
        return cls(body["end"], body["seal"]) if body.get("end") else OPEN

    def to_pair(self) -> list[str]:
        """Encode as status and receipt for a JSON array."""
        return [self.status, self.receipt]


OPEN = MessageOutcome()
