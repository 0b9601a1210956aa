"""Tests of connections between nodes: frame encoding, oversized frames, and clients that are not nodes."""

import asyncio

import pytest
from result import Err, Result

from amberlug.cluster.interfaces import Json, RawMessage, Reply, RequestFailure, Respond
from amberlug.cluster.rpc.client_connection import ClientConnection, ConnectError
from amberlug.cluster.rpc.framing import (
    MAX_NETSTRING_BYTES,
    BadFrameError,
    Frame,
    FrameReader,
    FrameTooLong,
    encode_frame,
    encode_handshake,
    encode_message,
    encode_reply,
)
from amberlug.cluster.rpc.server_connection import MAX_HANDSHAKE_BYTES
from amberlug.cluster.rpc.transport import PeerTransport


def port_of(transport: PeerTransport) -> int:
    assert transport._server is not None
    return int(transport._server.sockets[0].getsockname()[1])


def test_frames_are_the_bytes_that_earlier_versions_read() -> None:
    assert encode_handshake("10.0.0.1:7300") == b'42:{"w":"hello","b":{"from":"10.0.0.1:7300"}},'
    assert encode_message(RawMessage("beat", {"a": 1})) == encode_message(
        RawMessage("beat", {"a": 1}, b""), None
    )
    assert encode_message(RawMessage("beat", {"a": 1})).unwrap() == b'24:{"w":"beat","b":{"a":1}},'
    request = encode_message(RawMessage("store", {"a": 1}, b"data"), 7).unwrap()
    assert request == b'37:{"w":"store","b":{"a":1},"n":7,"x":1},4:data,'
    assert encode_reply(7, {}, b"").unwrap() == b'14:{"n":7,"b":{}},'
    frames = list(FrameReader().feed(request + request))
    assert frames == [Frame({"w": "store", "b": {"a": 1}, "n": 7, "x": 1}, b"data")] * 2


def test_a_frame_that_is_too_long_is_not_encoded() -> None:
    frame = encode_frame({}, b"x" * (MAX_NETSTRING_BYTES + 1))
    assert frame == Err(FrameTooLong(len('{"x":1}') + MAX_NETSTRING_BYTES + 1, MAX_NETSTRING_BYTES))


@pytest.mark.parametrize("data", [b"x" * 8, b"99999999:", b"2:{};", b"2:[],", b"2:{x,"])
def test_a_malformed_frame_is_an_error_with_a_reason(data: bytes) -> None:
    with pytest.raises(BadFrameError) as caught:
        list(FrameReader().feed(data))
    assert caught.value.reason


def test_a_frame_that_is_too_long_is_an_outcome_and_the_connection_goes_on() -> None:
    received: list[str] = []

    def handle(message: RawMessage, origin: str, respond: Respond) -> None:
        received.append(message.tag)
        respond({"text": "x" * message.body.get("reply", 0)}, b"")

    async def scenario() -> list[Result[Reply, RequestFailure]]:
        a, b = PeerTransport(handle, lambda address: None), PeerTransport(handle, lambda address: None)
        await a.listen("127.0.0.1", range(0, 1))
        address = f"127.0.0.1:{port_of(a)}"
        b.address = "b"
        loop = asyncio.get_running_loop()

        async def request(body: Json, timeout_s: float = 2.0) -> Result[Reply, RequestFailure]:
            reply: asyncio.Future[Result[Reply, RequestFailure]] = loop.create_future()
            b.request(address, RawMessage("request", body), timeout_s, reply.set_result)
            return await reply

        b.send(address, RawMessage("notification", {"text": "x" * MAX_NETSTRING_BYTES}))
        replies = [
            await request({"text": "x" * MAX_NETSTRING_BYTES}),
            await request({"reply": MAX_NETSTRING_BYTES}, 0.05),
            await request({"reply": 3}),
        ]
        assert (a.oversized_frames, b.oversized_frames) == (1, 2)
        a.close()
        b.close()
        return replies

    long_request, long_reply, short = asyncio.run(scenario())
    assert (long_request, long_reply) == (Err(RequestFailure.NOT_SENT), Err(RequestFailure.TIMED_OUT))
    assert short.unwrap().body == {"text": "xxx"}
    assert received == ["request", "request"]


@pytest.mark.parametrize(
    "data",
    [
        encode_message(RawMessage("request", {"from": "10.0.0.9:7300"}), 1).unwrap(),
        encode_message(RawMessage("hello", {"from": ""})).unwrap(),
        b"%d:" % (MAX_HANDSHAKE_BYTES + 1),
        encode_handshake("10.0.0.9:7300") + encode_reply(1, {}, b"").unwrap(),
    ],
)
def test_a_client_that_is_not_a_node_is_disconnected(data: bytes) -> None:
    async def scenario() -> None:
        received: list[RawMessage] = []
        node = PeerTransport(lambda message, origin, respond: received.append(message), lambda address: None)
        await node.listen("127.0.0.1", range(0, 1))
        reader, writer = await asyncio.open_connection("127.0.0.1", port_of(node))
        writer.write(data)
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        assert (node.rejected_connections, node.server_connections, received) == (1, {}, [])
        writer.close()
        node.close()

    asyncio.run(scenario())


def test_a_connection_that_is_refused_names_the_peer() -> None:
    async def scenario() -> None:
        node = PeerTransport(lambda message, origin, respond: None, lambda address: None)
        await node.listen("127.0.0.1", range(0, 1))
        address = f"127.0.0.1:{port_of(node)}"
        node.close()
        connection = ClientConnection("b", address, lambda connection: None, lambda address: None)
        with pytest.raises(ConnectError) as caught:
            await connection.connect()
        assert (caught.value.address, bool(caught.value.reason)) == (address, True)

    asyncio.run(scenario())
