"""Tests the nodes' HTTP server over loopback sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest

from amberlug.cluster.http.connection import RespondCallback
from amberlug.cluster.http.message import Request, Response
from amberlug.cluster.http.parser import Limits
from amberlug.cluster.http.server import Server

SMALL_LIMITS = Limits(header_bytes=400, body_bytes=100, header_s=20.0, idle_s=20.0)
SHORT_TIMEOUTS = Limits(header_bytes=400, body_bytes=100, header_s=0.04, idle_s=0.04)
TEST_TIMEOUT_S = 15.0  # generous, since a busy machine is slow
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class EchoServer:
    """A server that echoes bodies immediately, and keeps the responders of requests for /later."""

    def __init__(self, limits: Limits) -> None:
        self.server = Server(self.handle, lambda: limits)
        self.requests: list[Request] = []
        self.deferred: list[RespondCallback] = []
        self.bytes_read = 0
        self._add = self.server.add
        self.server.add = self.add  # type: ignore[method-assign]

    def add(self, connection: Any) -> None:
        """Count the bytes that a connection reads."""
        data_received = connection.data_received

        def count(data: bytes) -> None:
            self.bytes_read += len(data)
            data_received(data)

        connection.data_received = count
        self._add(connection)

    def handle(self, request: Request, reply: RespondCallback) -> None:
        self.requests.append(request)
        if request.target == "/later":
            self.deferred.append(reply)
        elif request.target == "/fails":
            raise ZeroDivisionError
        else:
            reply(Response(204 if request.target == "/none" else 200, (("X-A", "b"),), request.body or b"hi"))

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        before = self.server.accepted_connections
        pair = await asyncio.open_connection("127.0.0.1", self.server.port)
        await self.wait_until(lambda: self.server.accepted_connections > before)
        return pair

    async def exchange(self, *parts: bytes, send_eof: bool = True) -> bytes:
        """Send the parts, each once the one before was read, and read until the server closes."""
        reader, writer = await self.open()
        sent = self.bytes_read
        for chunk in parts:
            writer.write(chunk)
            sent += len(chunk)
            await self.wait_until(partial(self._has_read_bytes, sent))
        if send_eof and self.server._connections:
            writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    def _has_read_bytes(self, count: int) -> bool:
        return self.bytes_read >= count or not self.server._connections

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0.001)


def run_scenario(
    scenario: Callable[[EchoServer], Awaitable[None]], limits: Limits = SMALL_LIMITS
) -> EchoServer:
    async def run() -> EchoServer:
        echo = EchoServer(limits)
        await echo.server.listen("127.0.0.1", 0)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario(echo)
        echo.server.stop()
        echo.server.abort()
        return echo

    return asyncio.run(run())


def post(headers: bytes, body: bytes = b"", version: bytes = b"1.1") -> bytes:
    return b"POST /a HTTP/" + version + b"\r\nHost: x\r\n" + headers + b"\r\n\r\n" + body


CHUNKED = b"Transfer-Encoding: chunked"
REQUEST_CASES = [
    # parts that are sent, expected statuses in order, bodies passed to the handler
    ((GET,), [200], [b""]),
    ((GET * 200,), [200] * 200, [b""] * 200),
    ((GET[:9], GET[9:] + GET), [200, 200], [b"", b""]),
    ((post(b"Content-Length: 5", b"hello") + GET,), [200, 200], [b"hello", b""]),
    ((post(b"Content-Length: 5", b"he"), b"llo"), [200], [b"hello"]),
    ((post(b"Content-Length: 2\r\nContent-Length: 2", b"ok"),), [200], [b"ok"]),
    ((post(CHUNKED, b"3;x=y\r\nabc\r\n2"), b"\r\nde\r", b"\n0\r\nT: u\r\n\r\n"), [200], [b"abcde"]),
    ((post(CHUNKED, b"1\r\na\r\n0\r\n\r\n" + GET),), [200, 200], [b"a", b""]),
    ((post(b"Expect: 100-continue\r\nContent-Length: 2"), b"ok"), [100, 200], [b"ok"]),
    ((b"GET /a HTTP/1.0\r\n\r\n" + GET,), [200], [b""]),
    ((post(b"Connection: x, Close") + GET,), [200], [b""]),
    ((GET.replace(b"/a", b"/fails") + GET,), [500], [b""]),
    # request smuggling and malformed input
    ((post(b"Content-Length: 3\r\n" + CHUNKED, b"0\r\n\r\n"),), [400], []),
    ((post(b"Content-Length: 3\r\nContent-Length: 4", b"abcd"),), [400], []),
    ((post(b"Content-Length: +3", b"abc"),), [400], []),
    ((post(CHUNKED + b"\r\n" + CHUNKED, b"0\r\n\r\n"),), [400], []),
    ((post(b"Transfer-Encoding: gzip, chunked", b"0\r\n\r\n"),), [400], []),
    ((post(CHUNKED, b"0\r\n\r\n", b"1.0"),), [400], []),
    ((post(CHUNKED, b"0\r\n\n" + GET),), [400], []),
    ((post(CHUNKED, b"1\nab\r\n0\r\n\r\n"),), [400], []),
    ((post(CHUNKED, b"1\r\nab\r\n0\r\n\r\n"),), [400], []),
    ((post(CHUNKED, b"1;\r\r\na\r\n0\r\n\r\n"),), [400], []),
    ((post(CHUNKED, b"0\r\nA: b\r\n c\r\n\r\n"),), [400], []),
    ((GET[:-2] + b"A: b\r\n c\r\n\r\n",), [400], []),
    ((GET[:-2] + b"A : b\r\n\r\n",), [400], []),
    ((GET[:-2] + b"A: b\x01\r\n\r\n",), [400], []),
    ((GET[:-2] + b"A: b\rC: d\r\n\r\n",), [400], []),
    ((GET[:-2] + b"Host: x\r\n\r\n",), [400], []),
    ((GET.replace(b": x", b": x/y"),), [400], []),
    ((b"GET /a HTTP/1.1\r\n\r\n",), [400], []),
    ((GET.replace(b"\r\n", b"\n"),), [400], []),
    ((GET.replace(b"/a", b"http://x/a"),), [400], []),
    ((GET.replace(b"/a", b"*"),), [400], []),
    ((GET.replace(b"1.1", b"2.0"),), [400], []),
    ((b"\x16\x03\x01\x02\x00",), [400], []),
    # size limits and timeouts
    ((GET[:-2] + b"A: " + b"b" * 400,), [431], []),
    ((GET[:-2] + b"A: " + b"b" * 400 + b"\r\n\r\n",), [431], []),
    ((post(b"Expect: 100-continue\r\nContent-Length: 101"),), [413], []),
    ((post(CHUNKED, b"60\r\n" + b"a" * 96 + b"\r\n5\r\n"), b"a" * 50_000), [413], []),
    ((GET[:9],), [408], []),
    ((post(b"Content-Length: 5", b"he"),), [408], []),
    ((post(CHUNKED, b"5\r\nhe"),), [408], []),
    ((), [], []),
]


@pytest.mark.filterwarnings("error")
@pytest.mark.parametrize(("parts", "statuses", "bodies"), REQUEST_CASES)
def test_each_request_is_answered_in_order_and_a_malformed_one_is_rejected(
    parts: tuple[bytes, ...], statuses: list[int], bodies: list[bytes]
) -> None:
    expects_timeout = not parts or statuses == [408]  # the server must run into its timeout

    async def scenario(echo: EchoServer) -> None:
        answer = await echo.exchange(*parts, send_eof=not expects_timeout)
        assert [int(part[:3]) for part in answer.split(b"HTTP/1.1 ")[1:]] == statuses
        closed = bool(statuses) and (statuses[-1] >= 400 or b"HTTP/1.0" in parts[0][:20])
        assert not closed or answer.count(b"Connection: close") == 1
        assert [it.body for it in echo.requests] == bodies
        assert echo.server.open_requests == 0

    run_scenario(scenario, SHORT_TIMEOUTS if expects_timeout else SMALL_LIMITS)


def test_responses_have_their_headers_and_length() -> None:
    async def scenario(echo: EchoServer) -> None:
        assert await echo.exchange(GET.replace(b"GET", b"HEAD")) == (
            b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n"
        )
        assert (
            await echo.exchange(GET.replace(b"/a", b"/none")) == b"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"
        )
        await echo.exchange(GET[:-2] + b"X-A: 1\r\nx-A:  \xe9 \r\n\r\n")
        assert (echo.requests[-1].header("x-a"), echo.requests[-1].header("none")) == ("1", None)
        assert echo.requests[-1].headers[-1] == ("x-a", "\xe9")

    run_scenario(scenario)


def test_a_late_response_is_sent_once_and_reading_ahead_is_bounded() -> None:
    async def scenario(echo: EchoServer) -> None:
        later = GET.replace(b"/a", b"/later")
        reader, writer = await echo.open()
        writer.write(later + GET)
        await echo.wait_until(lambda: echo.server.open_requests == 1)
        with pytest.raises(ValueError, match="line break"):
            echo.deferred[0](Response(200, (("A", "b\r\nC: d"),)))
        echo.deferred[0](Response(503))
        with pytest.raises(RuntimeError):
            echo.deferred[0](Response(200))
        assert (await reader.readuntil(b"hi")).count(b"HTTP/1.1") == 2
        writer.write(later + GET * 5_000)  # exceeds the read-ahead limit; the client then disconnects
        await echo.wait_until(lambda: any(it.is_reading_paused for it in echo.server._connections))
        assert max(it.buffered_bytes for it in echo.server._connections) < 400_000
        writer.transport.abort()
        await echo.wait_until(lambda: not echo.server._connections)
        assert echo.server.open_requests == 1
        echo.deferred[1](Response(200))
        assert echo.server.open_requests == 0

    run_scenario(scenario)


def test_drain_stop_and_abort_end_connections_one_kind_after_the_other() -> None:
    async def scenario(echo: EchoServer) -> None:
        (idle_reader, idle_writer), (busy_reader, busy_writer) = await echo.open(), await echo.open()
        idle_writer.write(GET)
        await idle_reader.readuntil(b"hi")
        busy_writer.write(GET.replace(b"/a", b"/later"))
        await echo.wait_until(lambda: echo.server.open_requests == 1)
        echo.server.drain()
        assert await idle_reader.read() == b""
        echo.deferred[0](Response(200))
        assert b"Connection: close" in await busy_reader.read()
        assert b"Connection: close" in await echo.exchange(GET)
        waiting_reader, waiting_writer = await echo.open()
        waiting_writer.write(GET.replace(b"/a", b"/later"))
        await echo.wait_until(lambda: echo.server.open_requests == 1)
        port = echo.server.port
        echo.server.stop()
        with pytest.raises(OSError, match=r".*"):
            await asyncio.open_connection("127.0.0.1", port)
        echo.server.abort()
        assert await waiting_reader.read() == b""

    assert run_scenario(scenario, Limits()).server.accepted_connections == 4
