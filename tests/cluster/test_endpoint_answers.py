"""Each call gets the response to its own request, despite faulty responses on reused connections.

Endpoints send late, duplicated, truncated and foreign responses, which could complete the wrong call. The
calls go through the real `Dispatcher`, `EndpointClient` and `OutgoingConnection`; the endpoints' behavior is
drawn from a seed.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from amberlug.cluster.asyncio_runtime import AsyncioRuntime
from amberlug.cluster.control.published_state import PublishedEndpoint
from amberlug.cluster.dispatch.call_outcome import evaluate_result
from amberlug.cluster.dispatch.dispatcher import TIMEOUT_SLACK_S, DispatchCallbacks, Dispatcher
from amberlug.cluster.dispatch.endpoint_client import EndpointClient
from amberlug.cluster.dispatch.endpoint_pool import EndpointPool
from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import CallResult, CallVerdict, EndpointCall
from amberlug.cluster.rpc.transport import PeerTransport
from amberlug.cluster.simulation.mutations_answers import FAULTS
from amberlug.http.link import MAX_RESPONSE_BODY_BYTES
from tests.cluster.fakes import ROUTE_TO_S
from tests.cluster.memory_loop import End, Loop, run

EXPIRY_S = 0.4
MAX_ATTEMPTS = 3
MESSAGES = 30
FAULT_KINDS = (
    "fine",
    "fine",
    "fine",
    "fine",
    "fine",
    "fine",
    "fails",
    "fails",
    "full",
    "dead",
    "late",
    "doubled",
    "doubled later",
    "doubled later",
    "doubled later",
    "stale",
    "nameless",
    "cut",
    "never",
    "reset",
    "closes",
    "closes later",
    "garbage",
    "early hints",
    "large",
    "just in time",
)


@dataclass(eq=False)
class ReceivedRequest:
    """A request that an endpoint has read completely."""

    call: str  # number of the call, from the header `X-Call`
    attempt: str
    connection: End  # the endpoint's side
    status: int = 0
    seal: str = ""
    answered: bool = False  # the complete response was written
    response: bytes = b""


@dataclass
class EndpointLog:
    """What all endpoints of a run have received."""

    loop: Loop
    rng: random.Random
    requests: list[ReceivedRequest] = field(default_factory=list)
    by_attempt: dict[str, list[ReceivedRequest]] = field(default_factory=lambda: defaultdict(list))
    completed: set[str] = field(default_factory=set)  # attempts whose success was read by the sender


class Endpoint(asyncio.Protocol):
    """The endpoint's side of one connection, which responds with faults."""

    def __init__(self, log: EndpointLog) -> None:
        self.log, self.buffer, self.sent_responses = log, b"", b""
        self.previous: ReceivedRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, End)
        self.connection = transport
        # Some requests are sent only in part, or with a delay.
        if self.log.rng.random() < 0.1:
            transport.other.window = self.log.rng.randrange(0, 300)
            self.log.loop.call_later(
                self.log.rng.uniform(0.01, 0.2),
                self.log.rng.choice((transport.other.open, transport.abort)),
            )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        fields = dict(header_text.split(": ", 1) for header_text in head.decode().split("\r\n")[1:])
        length = int(fields["Content-Length"])
        assert len(rest) <= length, "a further request was sent before the response"
        if len(rest) == length:
            self.buffer = b""
            self._receive(ReceivedRequest(fields["X-Call"], fields["Amberlug-Attempt-Id"], self.connection))

    def _receive(self, request: ReceivedRequest) -> None:
        log, client_end = self.log, request.connection.other
        assert all(earlier.call != request.call for earlier in log.requests), "a call was sent twice"
        assert (
            client_end.closing or client_end.arrived_before_write == self.sent_responses
        ), "a connection with surplus data was reused"
        if not client_end.closing:  # otherwise the call timed out while the request was in transit
            assert request.attempt not in log.completed, "a completed attempt was executed again"
            for earlier in log.by_attempt[request.attempt]:
                in_progress = (
                    not earlier.answered
                    and not earlier.connection.closing
                    and not earlier.connection.other.closing
                )
                assert not in_progress, "a second call was sent while the first was in progress"
        log.requests.append(request)
        log.by_attempt[request.attempt].append(request)
        fault = log.rng.choice(FAULT_KINDS)
        request.status = {"fails": 500, "full": 503, "dead": 422}.get(fault, 200)
        if fault == "doubled later":
            request.status = log.rng.choice((200, 500, 500, 503))
        request.seal = f"seal-{request.call}" if request.status == 200 else ""
        attempt_header = f"Amberlug-Attempt-Id: {request.attempt}\r\n" if fault != "nameless" else ""
        body = b"x" * (300_000 if fault == "large" else log.rng.choice((0, 2, 900)))
        request.response = (
            f"HTTP/1.1 {request.status} Said\r\n{attempt_header}Amberlug-Server-Seal: {request.seal}\r\n"
            f"X-Call: {request.call}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        delay_s = log.rng.uniform(0.0, 0.1)
        if fault == "late":
            delay_s = EXPIRY_S + log.rng.uniform(0.1, 0.4)
        elif fault == "just in time":
            delay_s = EXPIRY_S + TIMEOUT_SLACK_S - 0.01
            # The client's event loop stalls before it can read the response.
            log.loop.call_later(delay_s + 0.00005, log.loop.stall, 0.02)
        log.loop.call_later(delay_s, self._respond, fault, request)

    def _respond(self, fault: str, request: ReceivedRequest) -> None:
        log, connection, previous = self.log, self.connection, self.previous
        if connection.closing:
            return
        if log.rng.random() < 0.1:
            log.loop.stall(log.rng.uniform(0.01, 0.3))
        response, delay_s = request.response, log.rng.uniform(0.0, 0.3)
        if fault == "reset":
            return connection.abort()
        if fault == "never":
            return None
        if fault == "cut":
            connection.write(response[: log.rng.randrange(len(response))])
            end_connection = log.rng.choice((connection.abort, connection.close, lambda: None))
            log.loop.call_later(log.rng.choice((0.0, 0.01, 0.6)), end_connection)
            return None
        if fault == "garbage":
            garbage = log.rng.choice((b"\x00\xffnonsense\r\n\r\n", b"HTTP/1.1 20", response[7:]))
            connection.write(garbage)
            return None
        if fault == "stale" and previous is not None:
            connection.write(previous.response)
            log.loop.call_later(delay_s, connection.write, response)
        elif fault == "early hints":
            self.sent_responses += b"HTTP/1.1 103 Early Hints\r\n\r\n"
            connection.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + response)
        else:
            connection.write(response * (2 if fault == "doubled" else 1))
        self.sent_responses += response
        request.answered = True
        self.previous = request
        if fault == "doubled later":
            log.loop.call_later(delay_s, connection.write, response)
        elif fault.startswith("closes"):
            log.loop.call_later(delay_s if fault == "closes later" else 0.0, connection.close)
        return None


class CheckingSender:
    """Sends messages as an edge does, and checks each call result against the endpoints' log."""

    def __init__(self, log: EndpointLog) -> None:
        self.log, self.loop = log, log.loop
        self.client = EndpointClient()
        self.calls = 0
        self.sent: dict[int, EndpointCall] = {}
        self.failures: dict[str, int] = defaultdict(int)
        self.ended: dict[str, str] = {}
        self.messages: dict[str, Message] = {}
        runtime = AsyncioRuntime(PeerTransport(lambda *given: None, lambda address: None), log.rng)
        pool = EndpointPool("z", log.rng, self.client.available_connections)
        for number in range(2):
            address = f"10.0.0.{number}", 80
            log.loop.listeners[address] = lambda: Endpoint(log)
            announcement = PublishedEndpoint("s", f"{address[0]}:80", "z", 3, "", 0, "ready")
            pool.update(f"i{number}", announcement, 0.0)
        callbacks = DispatchCallbacks(lambda message: EXPIRY_S, self.on_result)
        self.dispatcher = Dispatcher("s", runtime, pool, self, callbacks)
        self.close_idle_connections, self.available_connections = (
            self.client.close_idle_connections,
            self.client.available_connections,
        )

    def call(self, call: EndpointCall, on_result: Callable[[CallResult], None]) -> None:
        """Send a call with a unique number, and check that its result is correct."""
        self.calls += 1
        number = str(self.calls)
        numbered = EndpointCall(
            call.address,
            call.instance,
            call.attempt_id,
            call.method,
            call.target,
            (*call.headers, ("X-Call", number)),
            call.body,
            call.timeout_s,
        )

        deadline = self.loop.time() + call.timeout_s

        def check(result: CallResult) -> None:
            received = next((request for request in self.log.requests if request.call == number), None)
            if result.verdict is CallVerdict.NOT_CONNECTED:
                self.loop.call_later(1.0, self.check_not_received, number)
                assert received is None, "a call that was executed was reported as not sent"
            elif result.verdict is CallVerdict.ANSWERED:
                assert result.header("x-call") == number, "the response belongs to another call"
                assert received is not None, "a response to a call that was never received"
                response = result.status, result.header("amberlug-server-seal")
                assert response == (received.status, received.seal)
            elif result.verdict is CallVerdict.TIMED_OUT and received is not None:
                client_end = received.connection.other
                is_excused = client_end.read_at > deadline or len(received.response) > MAX_RESPONSE_BODY_BYTES
                assert (
                    is_excused or received.response not in client_end.received
                ), "a response that was read was reported as a timeout"
            on_result(result)

        self.client.call(numbered, check)

    def check_not_received(self, number: str) -> None:
        assert all(
            request.call != number for request in self.log.requests
        ), "a call that was reported as not sent was executed"

    def on_result(self, message: Message, result: CallResult) -> None:
        outcome = evaluate_result(message, result, MAX_ATTEMPTS)
        message.failures += outcome.is_failure
        requests = self.log.by_attempt[message.attempt_id]
        failed_requests = sum(request.status == 500 for request in requests)
        assert message.failures <= failed_requests, "a failure was counted twice"
        if outcome.end:
            if outcome.end == "done":
                seals = {request.seal for request in requests}
                assert outcome.seal in seals, "a success of another message was accepted"
                self.log.completed.add(message.attempt_id)
            message.ended = True
            self.ended[message.attempt_id] = outcome.end
        else:
            self.loop.call_later(outcome.retry_delay_s, self.retry, message)

    def retry(self, message: Message) -> None:
        message.in_flight = False
        self.dispatcher.add(message)

    def send(self, number: int) -> None:
        message = Message(
            f"1-a{number}", 1, f"a{number}", "h", "POST", "/", "r", "", 0.0, 0.0, body=b"b" * 20
        )
        message.route = ROUTE_TO_S
        self.messages[message.attempt_id] = message
        self.dispatcher.add(message)


async def deliver_messages(loop: Loop, rng: random.Random) -> None:
    sender = CheckingSender(EndpointLog(loop, rng))
    for number in range(MESSAGES):
        loop.call_later(rng.uniform(0.0, 3.0), sender.send, number)
    for _ in range(400):
        await asyncio.sleep(0.1)
        sender.client.sweep()
        if len(sender.ended) == MESSAGES:
            break
    await asyncio.sleep(2.0)  # `EndpointLog` checks detect messages that are executed again
    assert len(sender.ended) == MESSAGES
    assert not sender.dispatcher.calls


def run_seeds(seeds: range) -> None:
    for seed in seeds:
        run(seed, deliver_messages)


def test_each_call_gets_its_own_response_or_the_failure_that_happened() -> None:
    run_seeds(range(40))


@pytest.mark.parametrize(
    "name",
    ["answer-by-order", "attempt-by-order", "read-answer-lost", "silent-open", "sent-again", "extra-kept"],
)
def test_a_mutation_is_detected(name: str) -> None:
    with FAULTS[name][0](), pytest.raises(AssertionError):
        run_seeds(range(40))
