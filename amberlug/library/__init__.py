"""The relay as a library, for applications that embed it instead of calling a daemon over a socket.

    async with Relay(settings, folder, StaticEndpoints(Endpoint("e1", 7, "10.0.0.4:7070"))) as relay:
        taken = await relay.hand_in(Message(7, "fee-payment", b"..."))
        end = await taken.end()

An accepted message is in the journal and gets exactly one outcome, before or after a restart of the host:
delivered, handed back (it may safely be submitted again) or given up (it is unknown whether it was executed).
"""

from amberlug.core.journal import Durability
from amberlug.core.lock import FolderInUseError, ForkedError
from amberlug.core.messages import End, Outcome, Reason
from amberlug.library.blocking import BlockingRelay, BlockingTaken
from amberlug.library.endpoints import Discovery, Endpoint, EndpointFile, Endpoints, StaticEndpoints
from amberlug.library.messages import (
    AcknowledgedError,
    BadMessageError,
    Message,
    RefusedError,
    RelayClosedError,
)
from amberlug.library.relay import Relay
from amberlug.library.settings import message_class, settings
from amberlug.library.taken import Taken
from amberlug.library.transport import Call, Deliver, NotSentError, Outgoing, TurnedAwayError
from amberlug.policy.interface import Effect, Kind, MessageClass, Settings

__all__ = [
    "AcknowledgedError",
    "BadMessageError",
    "BlockingRelay",
    "BlockingTaken",
    "Call",
    "Deliver",
    "Discovery",
    "Durability",
    "Effect",
    "End",
    "Endpoint",
    "EndpointFile",
    "Endpoints",
    "FolderInUseError",
    "ForkedError",
    "Kind",
    "Message",
    "MessageClass",
    "NotSentError",
    "Outcome",
    "Outgoing",
    "Reason",
    "RefusedError",
    "Relay",
    "RelayClosedError",
    "Settings",
    "StaticEndpoints",
    "Taken",
    "TurnedAwayError",
    "message_class",
    "settings",
]
