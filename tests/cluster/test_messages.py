"""Tests of typed messages: decoding for handlers, encoding on sending, and propagation of failures."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json, RawMessage, Reply, ReplyCallback, RequestFailure
from amberlug.cluster.rpc.messages import Body, Request, Responder, handlers_of, handles, request
from amberlug.cluster.simulation.clock import Clock
from tests.cluster.fakes import UnresponsiveRuntime


@dataclass(frozen=True, slots=True)
class Length(Body):
    count: int

    def to_wire(self) -> Json:
        return {"n": self.count}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Length:
        return cls(body["n"])


@dataclass(frozen=True, slots=True)
class Measure(Request[Length]):
    wire_tag: ClassVar[str] = "measure"
    reply_type: ClassVar[type[Length]] = Length
    data: bytes

    @property
    def payload(self) -> bytes:
        return self.data

    def to_wire(self) -> Json:
        return {}

    @classmethod
    def from_wire(cls, body: Json, payload: bytes) -> Measure:
        return cls(payload)


class Meter:
    @handles(Measure)
    def on_measure(self, message: Measure, origin: str, respond: Responder) -> None:
        respond(Length(len(message.data)))


class Loopback(UnresponsiveRuntime):
    """A runtime that passes requests to one component; requests without a handler time out."""

    def __init__(self, handlers: dict[str, Callable[..., None]]) -> None:
        super().__init__(Clock())
        self.handlers = handlers

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        handler = self.handlers.get(message.tag)
        if handler is None:
            on_reply(Err(RequestFailure.TIMED_OUT))
        else:
            origin = "10.0.0.9:7300"
            handler(
                message.body,
                message.payload,
                origin,
                lambda body, payload: on_reply(Ok(Reply(body, payload))),
            )


def test_a_request_reaches_its_typed_handler_and_its_reply_comes_back_typed() -> None:
    found: list[Result[Length, RequestFailure]] = []
    request(Loopback(handlers_of(Meter())), "10.0.0.1:7300", Measure(b"four"), 1.0, found.append)
    assert found == [Ok(Length(4))]


def test_a_request_without_a_reply_fails_with_the_reason() -> None:
    found: list[Result[Length, RequestFailure]] = []
    request(Loopback({}), "10.0.0.1:7300", Measure(b""), 1.0, found.append)
    assert found == [Err(RequestFailure.TIMED_OUT)]
