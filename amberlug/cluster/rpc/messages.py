"""Typed messages between nodes: each message class defines its wire tag and its wire format.

A message class declares its `wire_tag` and converts itself with `to_wire` and `from_wire`. Handlers are
declared with `handles`, and requests are sent with `request`, so that no other code accesses the raw JSON
object of a frame. Tags and JSON fields are part of the protocol between versions: they do not change when a
class or a field is renamed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, Generic, Protocol, Self, TypeVar

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json, RawMessage, Reply, RequestFailure, Respond, Runtime


class WireBody(Protocol):
    """The content of a frame: a JSON object and a binary payload."""

    @property
    def payload(self) -> bytes:
        """The binary payload; empty for most messages."""

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Decode a message from a peer of this or an earlier version.

        :raises KeyError: if a field without a default is missing.
        """


class Body:
    """Base class of messages and replies, by default without payload."""

    __slots__ = ()

    @property
    def payload(self) -> bytes:
        """The empty payload."""
        return b""

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        raise NotImplementedError

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Decode a message from a peer of this or an earlier version."""
        raise NotImplementedError


ReplyT = TypeVar("ReplyT", bound=WireBody)


class Notification(Body):
    """A message without a reply."""

    __slots__ = ()
    wire_tag: ClassVar[str]


class Request(Body, Generic[ReplyT]):
    """A message with a reply of type `ReplyT`, declared in `reply_type`."""

    __slots__ = ()
    wire_tag: ClassVar[str]
    reply_type: ClassVar[type[Any]]


class _Sendable(WireBody, Protocol):
    wire_tag: ClassVar[str]


def raw_message(message: _Sendable) -> RawMessage:
    """Encode a typed message."""
    return RawMessage(message.wire_tag, message.to_wire(), message.payload)


def send(runtime: Runtime, address: str, message: _Sendable) -> None:
    """Send a notification to the peer at an address, without delivery guarantee."""
    runtime.send(address, raw_message(message))


def request(
    runtime: Runtime,
    address: str,
    message: Request[ReplyT],
    timeout_s: float,
    on_reply: Callable[[Result[ReplyT, RequestFailure]], None],
) -> None:
    """Send a request to the peer at an address.

    :param timeout_s: seconds until the request times out.
    :param on_reply: called once, with the typed reply or the reason for the failure.
    """
    reply_type: type[ReplyT] = message.reply_type

    def decode(reply: Result[Reply, RequestFailure]) -> None:
        """Pass on the decoded reply, or the reason for the failure."""
        if isinstance(reply, Err):
            on_reply(Err(reply.err_value))
        else:
            on_reply(Ok(reply_type.from_wire(reply.ok_value.body, reply.ok_value.blob)))

    runtime.request(address, raw_message(message), timeout_s, decode)


Responder = Callable[[WireBody], None]
RawHandler = Callable[[Json, bytes, str, Respond], None]
_DECLARED = "_handled_message"


def handles(message_type: type[_Sendable]) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Mark a method as the handler of a message type: `(message, origin_address, respond)`."""

    def declare(handler: Callable[..., None]) -> Callable[..., None]:
        """Attach the message type to the handler."""
        handler.__dict__[_DECLARED] = message_type
        return handler

    return declare


def raw_handler(message_type: type[_Sendable], handler: Callable[..., None]) -> RawHandler:
    """Wrap a typed handler: decodes the message and encodes the reply."""

    def handle(body: Json, payload: bytes, origin: str, respond: Respond) -> None:
        """Decode a message and pass it to the typed handler."""

        def answer(reply: WireBody) -> None:
            """Encode and send the reply."""
            respond(reply.to_wire(), reply.payload)

        handler(message_type.from_wire(body, payload), origin, answer)

    return handle


def handlers_of(component: object) -> dict[str, Callable[..., None]]:
    """Return the handlers that a component declares, by wire tag."""
    found: dict[str, Callable[..., None]] = {}
    for cls in type(component).__mro__:
        for name, member in vars(cls).items():
            declared = getattr(member, "__dict__", {}) if callable(member) else {}
            message_type = declared.get(_DECLARED)
            if message_type is not None and message_type.wire_tag not in found:
                found[message_type.wire_tag] = raw_handler(message_type, getattr(component, name))
    return found
