"""Clients that send invalid input or none: they get an error or a close, and no message is accepted."""

import asyncio
import socket
import time
from pathlib import Path

import pytest

from amberlug.standin.wire import StandIn
from tests.rig import Relay, hand_in, run, world

HEAD = "POST /safe HTTP/1.1\r\nHost: a\r\n" + "".join(f"{k}: {v}\r\n" for k, v in hand_in("m1").items())
TIME_LIMIT_S = 3.0  # from the connect to an error or a close


async def exchange(relay: Relay, text: bytes) -> bytes:
    """Send bytes on a new connection and read until the relay closes it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
    writer.write(text)
    said = b""
    try:
        while data := await reader.read(1 << 16):
            said += data
    except ConnectionError:
        pass
    writer.close()
    return said


def memory_mb(relay: Relay) -> float:
    assert relay.process is not None
    status = Path(f"/proc/{relay.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1000


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"", b""),
        (b"POST /sa", b"408"),
        (HEAD.encode(), b"408"),
        (f"{HEAD}Content-Length: 500\r\n\r\nhalf".encode(), b"408"),
        (f"{HEAD}Content-Length: -5\r\n\r\nhello".encode(), b"400"),
        (f"{HEAD}Content-Length: {10**12}\r\n\r\n".encode(), b"413"),
        (f"{HEAD}Content-Length: {1 << 22}\r\n\r\n".encode() + b"x" * (1 << 19), b"413"),
        (f"{HEAD}Req-Id: m2\r\nContent-Length: 0\r\n\r\n".encode(), b"400"),
        (HEAD.encode() + b"a: b\r\n" * 10_000, b"431"),
        (b"\x00\x01\x02\r\n\r\n", b"400"),
    ],
    ids=["silent", "part", "head", "half", "negative", "huge", "long", "twice", "endless", "noise"],
)
def test_an_invalid_request_is_answered_and_closed_in_time(
    tmp_path: Path, text: bytes, status: bytes
) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, _):
            start = time.monotonic()
            said = await exchange(relay, text)
            assert time.monotonic() - start < TIME_LIMIT_S
            assert said[9:12] == status
            await relay.hand_in("last")
            assert [seen.name for seen in await endpoint.requests(1)] == ["last"]

    run(scenario())


def test_a_request_truncated_at_any_byte_is_not_accepted(tmp_path: Path) -> None:
    """Half of the clients close at the cut; the others only shut down sending and wait for the response."""

    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, platform):
            whole = f"{HEAD}Content-Length: 5\r\n\r\nhello".encode()

            async def cut_off(cut: int) -> None:
                reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
                writer.write(whole[:cut])
                if cut % 2:
                    writer.write_eof()
                    assert b" 202 " not in await reader.read()
                writer.close()

            await asyncio.gather(*map(cut_off, range(len(whole))))
            await relay.hand_in("last")
            assert [seen.name for seen in await endpoint.requests(1)] == ["last"]
            await relay.hand_in("m1")
            assert [seen.name for seen in await endpoint.requests(2)] == ["last", "m1"]
            assert platform.notices == []

    run(scenario())


def test_a_smuggled_request_is_not_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, _):
            hidden = HEAD.replace("m1", "m2") + "Content-Length: 0\r\n\r\n"
            body = f"0\r\n\r\n{hidden}"
            both = f"{HEAD}Content-Length: {len(body)}\r\nTransfer-Encoding: chunked\r\n\r\n{body}"
            assert (await exchange(relay, both.encode()))[9:12] == b"400"
            await relay.hand_in("last")
            assert [seen.name for seen in await endpoint.requests(1)] == ["last"]

    run(scenario())


def test_an_unknown_destination_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn()) as (relay, _):
            assert (await relay.hand_in("m1", Envelope="dest=2")).status == 404
            assert (await relay.hand_in("m1", Envelope="dest=1")).status == 202

    run(scenario())


def test_silent_connections_do_not_exhaust_the_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint, limits={"sockets": 100}) as (relay, platform):
            await platform.watched(1)
            assert relay.process is not None
            silent = [await asyncio.open_connection("127.0.0.1", relay.port) for _ in range(300)]
            start = time.monotonic()
            for count in range(5):
                assert (await relay.hand_in(f"m{count}")).status == 202
                assert len(list(Path(f"/proc/{relay.process.pid}/fd").iterdir())) < 100
            await endpoint.requests(5)
            for reader, writer in silent:  # all are closed, the most recent ones by the timeout
                with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                    await reader.readexactly(1)
                writer.close()
            assert time.monotonic() - start < TIME_LIMIT_S

    run(scenario())


def test_a_disconnect_behind_surplus_input_withdraws_the_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint, GranularityUs=1_000_000) as (relay, _):
            await relay.hand_in("m0")  # the next round is one second away
            with socket.create_connection(("127.0.0.1", relay.port)) as client:
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                client.send(f"{HEAD}Content-Length: 0\r\n\r\n".encode())
                for _ in range(1000):  # 64 MB: what the relay buffers shows in its memory use
                    await loop.sock_sendall(client, b"x" * (1 << 16))
            assert (await relay.hand_in("last")).status == 202
            assert [seen.name for seen in await endpoint.requests(2)] == ["m0", "last"]
            assert memory_mb(relay) < 60

    run(scenario())


def test_an_idle_client_connection_is_closed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn()) as (relay, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await reader.readuntil(b"up\n")).startswith(b"HTTP/1.1 200")
            start = time.monotonic()
            assert await reader.read() == b""
            assert time.monotonic() - start > 2.0  # not earlier: it may send another request
            writer.close()

    run(scenario())


def test_an_active_client_is_served_while_idle_ones_hold_all_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn(), limits={"sockets": 100}) as (relay, _):
            resting = []
            for _ in range(60):  # new connections must not be closed in favour of idle ones
                reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await reader.readuntil(b"up\n")).startswith(b"HTTP/1.1 200")
                resting.append(writer)
            for writer in resting:
                writer.close()

    run(scenario())
