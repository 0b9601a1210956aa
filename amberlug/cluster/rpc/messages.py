"""Typed messages between nodes: a frozen dataclass a message, its tag and its wire form in one place.

A message class declares its `wire_tag`, and converts itself by `to_wire` and `from_wire`. Handlers are
declared by `handles`, requests are made by `request`: nothing else sees the bare JSON object of a frame. Tags
and JSON fields are a protocol between versions. They stay as they are when a class or a field is renamed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar, Generic, Protocol, Self, TypeVar

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json, RawMessage, Reply, RequestFailure, Respond, Runtime


class WireBody(Protocol):
    """What can stand in a frame: a JSON object, and bytes beside it."""

    @property
    def payload(self) -> bytes:
        """Bytes beside the JSON object; empty for most messages."""

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Read what a peer of this version or of an earlier one has sent.

        :raises KeyError: where a field without a default is missing.
        """


class Body:
    """A part of a frame without bytes beside it: the base of most messages and replies."""

    __slots__ = ()

    @property
    def payload(self) -> bytes:
        """No bytes."""
        return b""

    def to_wire(self) -> Json:
        """The JSON object, with the fields in the order in which they are sent."""
        raise NotImplementedError

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Self:
        """Read what a peer of this version or of an earlier one has sent."""
        raise NotImplementedError


ReplyT = TypeVar("ReplyT", bound=WireBody)


class Notification(Body):
    """A message that nobody answers."""

    __slots__ = ()
    wire_tag: ClassVar[str]


class Request(Body, Generic[ReplyT]):
    """A message that is answered by one `ReplyT`, which `reply_type` names."""

    __slots__ = ()
    wire_tag: ClassVar[str]
    reply_type: ClassVar[type[Any]]


class _Sendable(WireBody, Protocol):
    wire_tag: ClassVar[str]


def raw_message(message: _Sendable) -> RawMessage:
    """A typed message as it stands in a frame."""
    return RawMessage(message.wire_tag, message.to_wire(), message.payload)


def send(runtime: Runtime, address: str, message: _Sendable) -> None:
    """Send a notification to the peer at an address; whether it arrives is not known."""
    runtime.send(address, raw_message(message))


def request(
    runtime: Runtime,
    address: str,
    message: Request[ReplyT],
    timeout_s: float,
    on_reply: Callable[[Result[ReplyT, RequestFailure]], None],
) -> None:
    """Send a request to the peer at an address.

    :param timeout_s: seconds until the request counts as timed out.
    :param on_reply: called once, with the typed reply or with the reason why there is none.
    """
    reply_type: type[ReplyT] = message.reply_type

    def decode(reply: Result[Reply, RequestFailure]) -> None:
        if isinstance(reply, Err):
            on_reply(Err(reply.err_value))
        else:
            on_reply(Ok(reply_type.from_wire(reply.ok_value.body, reply.ok_value.blob)))

    runtime.request(address, raw_message(message), timeout_s, decode)


Responder = Callable[[WireBody], None]
RawHandler = Callable[[Json, bytes, str, Respond], None]
_DECLARED = "_handled_message"


def handles(message_type: type[_Sendable]) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Declare a method as the handler of a message: `(message, origin_address, respond)`."""

    def declare(handler: Callable[..., None]) -> Callable[..., None]:
        handler.__dict__[_DECLARED] = message_type
        return handler

    return declare


def raw_handler(message_type: type[_Sendable], handler: Callable[..., None]) -> RawHandler:
    """A handler of frames that decodes the message for a typed handler, and encodes its reply."""

    def handle(body: Json, payload: bytes, origin: str, respond: Respond) -> None:
        def answer(reply: WireBody) -> None:
            respond(reply.to_wire(), reply.payload)

        handler(message_type.from_wire(body, payload), origin, answer)

    return handle


def handlers_of(component: object) -> dict[str, Callable[..., None]]:
    """The frame handlers that the class of a component declares, by wire tag."""
    found: dict[str, Callable[..., None]] = {}
    for cls in type(component).__mro__:
        for name, member in vars(cls).items():
            declared = getattr(member, "__dict__", {}) if callable(member) else {}
            message_type = declared.get(_DECLARED)
            if message_type is not None and message_type.wire_tag not in found:
                found[message_type.wire_tag] = raw_handler(message_type, getattr(component, name))
    return found
