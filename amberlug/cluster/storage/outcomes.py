"""How a message ended, and what is stored beside its body: types that its whole way shares. No I/O."""

from __future__ import annotations

from typing import Any

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

DONE_OUTCOME = "done"  # the outcome of a message that an endpoint has run with success
DEAD_OUTCOME = "dead"  # the outcome of a message that was given up on; its body stays readable

# What a shard's owner stores beside a body. Storage nodes return it as it came, with fields that they do not
# know: `amberlug.cluster.dispatch.message` is where it is read and written.
MessageMetadata = dict[str, Any]


@value
class MessageOutcome:
    """How a message ended: an empty status while it is open, and the receipt of a success.

    The receipt is what the endpoint gave with its success, in the header `amberlug-server-seal`; on the wire
    and on disk it is called `seal`.
    """

    status: str = ""
    receipt: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the message has not ended."""
        return not self.status

    @property
    def is_completed(self) -> bool:
        """Whether an endpoint has run the message with success."""
        return self.status == DONE_OUTCOME

    def to_fields(self) -> Json:
        """`end` and `seal` for a JSON object; nothing of a message that is open."""
        return {} if self.is_open else {"end": self.status, "seal": self.receipt}

    @classmethod
    def from_fields(cls, body: Json) -> MessageOutcome:
        """Read `end` and `seal`; without them the message is open.

        :raises KeyError: where there is an `end` without a `seal`.
        """
        return cls(body["end"], body["seal"]) if body.get("end") else OPEN

    def to_pair(self) -> list[str]:
        """Status and receipt, for a JSON array."""
        return [self.status, self.receipt]


OPEN = MessageOutcome()
