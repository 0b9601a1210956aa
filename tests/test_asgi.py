"""The ASGI middleware with Starlette, FastAPI and plain applications."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from fastapi import FastAPI, Request
from starlette.applications import Starlette
from starlette.requests import Request as StarletteRequest
from starlette.responses import JSONResponse
from starlette.routing import Route

from amberlug.asgi import Application, Event, Receive, RelayMiddleware, Scope, Send
from amberlug.core.messages import MAX_BODY_BYTES
from amberlug.http.link import Reply, dial
from amberlug.library import Endpoint, Message, Outcome, Relay, StaticEndpoints
from amberlug.standin.wire import PATIENCE, StandIn
from tests.asgi_host import Host
from tests.hosts import SETTINGS, ScriptedTransport, never_return, relay_on
from tests.rig import ROOT, free_port, hand_in, run


def starlette_app() -> Application:
    async def pay(request: StarletteRequest) -> JSONResponse:
        taken = await request.state.relay.hand_in(Message(1, "unsafe", await request.body()))
        return JSONResponse({"outcome": (await taken.end()).outcome.value})

    return Starlette(routes=[Route("/pay", pay, methods=["POST"])])


def fastapi_app() -> Application:
    app = FastAPI()

    @app.post("/pay")
    async def pay(request: Request) -> dict[str, str]:
        taken = await request.state.relay.hand_in(Message(1, "unsafe", await request.body()))
        return {"outcome": (await taken.end()).outcome.value}

    return app


async def plain_app(scope: Scope, receive: Receive, send: Send) -> None:
    """An application without a lifespan, as the specification allows."""
    assert scope["type"] == "http"
    await send({"type": "http.response.start", "status": 418, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body", "body": b""})


@asynccontextmanager
async def hosted(app: Application, relay: Relay) -> AsyncIterator[Host]:
    host = await Host(RelayMiddleware(app, relay)).start()
    try:
        yield host
    finally:
        await host.stop()


async def ask(
    port: int, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> Reply:
    link = await dial("127.0.0.1", port, PATIENCE)
    assert link is not None
    reply = await link.request(method, path, list((headers or {}).items()), body)
    link.close()
    return reply


@pytest.mark.parametrize("make", [starlette_app, fastapi_app])
def test_handlers_use_the_relay_and_clients_hand_in_beside_them(
    tmp_path: Path, make: Callable[[], Application]
) -> None:
    async def scenario() -> None:
        partner = ScriptedTransport()
        async with hosted(make(), relay_on(tmp_path, partner)) as host:
            assert (await ask(host.port, "GET", "/relay/up")).status == 200
            paid = await ask(host.port, "POST", "/pay", body=b"fee")
            assert (paid.status, json.loads(bytes(paid.body))) == (200, {"outcome": "delivered"})
            reply = await ask(host.port, "POST", "/relay/safe", hand_in("m1"), b"hello")
            assert (reply.status, bytes(reply.body)) == (202, b"")
            calls = await partner.called(2)
            assert [call.message.body for call in calls] == [b"fee", b"hello"]
            assert (await ask(host.port, "GET", "/other")).status == 404
        async with relay_on(tmp_path, partner) as relay:  # closed with the host; the folder is unlocked
            assert [end.message for end in relay.unclaimed()] == ["m1"]

    run(scenario())


def test_an_application_without_a_lifespan_is_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with hosted(plain_app, relay_on(tmp_path, ScriptedTransport())) as host:
            assert (await ask(host.port, "GET", "/relay/up")).status == 200
            assert (await ask(host.port, "GET", "/relays")).status == 418

    run(scenario())


def test_the_application_starts_and_stops_while_the_relay_is_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        relay = relay_on(tmp_path, ScriptedTransport())
        steps: list[Any] = []

        @asynccontextmanager
        async def lifespan(app: Starlette) -> AsyncIterator[dict[str, str]]:
            steps.append(relay.is_open)
            yield {"own": "state"}
            steps.append((await (await relay.hand_in(Message(1, "safe"))).end()).outcome)

        async def own(request: StarletteRequest) -> JSONResponse:
            return JSONResponse([request.state.own, request.state.relay is relay])

        app = Starlette(routes=[Route("/own", own)], lifespan=lifespan)
        async with hosted(app, relay) as host:
            assert json.loads(bytes((await ask(host.port, "GET", "/own")).body)) == ["state", True]
        assert steps == [True, Outcome.DELIVERED]
        assert not relay.is_open
        async with hosted(app, relay):  # it may be opened again
            assert relay.is_open

    run(scenario())


def test_a_failed_startup_is_reported_and_releases_the_folder(tmp_path: Path) -> None:
    async def scenario() -> None:
        @asynccontextmanager
        async def lifespan(app: Starlette) -> AsyncIterator[None]:
            raise OSError("no database")
            yield

        with pytest.raises(RuntimeError, match="no database"):
            await Host(
                RelayMiddleware(Starlette(lifespan=lifespan), relay_on(tmp_path, ScriptedTransport()))
            ).start()
        async with relay_on(tmp_path, ScriptedTransport()):
            with pytest.raises(RuntimeError, match="another relay has"):
                await Host(RelayMiddleware(plain_app, relay_on(tmp_path, ScriptedTransport()))).start()

    run(scenario())


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status"),
    [
        ("POST", "/relay/none", {}, b"", 404),
        ("POST", "/relay", {}, b"", 404),
        ("GET", "/relay/safe", {}, b"", 405),
        ("POST", "/relay/up", {}, b"", 405),
        ("POST", "/relay/safe", {}, b"", 400),
        ("POST", "/relay/safe", {**hand_in("m1"), "Req-Id": "x" * 200}, b"", 400),
        ("POST", "/relay/safe", {**hand_in("m1"), "Req-Deadline-Ms": "soon"}, b"", 400),
        ("POST", "/relay/safe", {**hand_in("m1"), "Envelope": "dest=9"}, b"", 404),
        ("POST", "/relay/safe", {**hand_in("m1"), "req-id": "m2"}, b"", 400),
        ("POST", "/relay/safe", hand_in("m1"), b"x" * (MAX_BODY_BYTES + 1), 413),
    ],
)
def test_invalid_input_is_rejected_with_a_clear_error(
    tmp_path: Path, method: str, path: str, headers: dict[str, str], body: bytes, status: int
) -> None:
    async def scenario() -> None:
        relay = relay_on(tmp_path, partner := ScriptedTransport())
        async with hosted(starlette_app(), relay) as host:
            reply = await ask(host.port, method, path, headers, body)
            assert reply.status == status
            assert reply.body.count(b"\n") == 1
            assert (relay.find("m1"), partner.calls) == (None, [])

    run(scenario())


class Client:
    """Sends single ASGI events to the middleware, in sequences that a real server does not produce."""

    def __init__(self, app: Application, headers: dict[str, str], path: str = "/relay/safe") -> None:
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.said: list[Event] = []
        fields = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        scope = {"type": "http", "method": "POST", "path": path, "headers": fields}

        async def send(event: Event) -> None:
            self.said.append(event)

        self.task = asyncio.ensure_future(app(scope, self.events.get, send))

    def body(self, data: bytes, more: bool = False) -> None:
        self.events.put_nowait({"type": "http.request", "body": data, "more_body": more})

    def leave(self) -> None:
        self.events.put_nowait({"type": "http.disconnect"})

    @property
    def status(self) -> int | None:
        return self.said[0]["status"] if self.said else None


# The round interval is long enough for a client to disconnect between its request and the response.
SLOW_ROUNDS = replace(SETTINGS, granularity_us=200_000)


def test_a_client_that_disconnects_before_the_response_withdraws_its_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relay_on(tmp_path, partner := ScriptedTransport(), settings=SLOW_ROUNDS) as relay:
            app = RelayMiddleware(plain_app, relay)
            half, whole = Client(app, hand_in("m1")), Client(app, hand_in("m2"))
            half.body(b"hel", more=True)
            half.leave()
            whole.body(b"hello")
            whole.leave()
            await asyncio.gather(half.task, whole.task)
            assert (half.said, whole.said) == ([], [])
            assert relay.find("m1") is relay.find("m2") is None
            again = Client(app, hand_in("m2"))
            again.body(b"hello")
            await again.task
            assert again.status == 202
            await partner.called(1)
            assert partner.names == ["m2"]

    run(scenario())


def test_a_request_that_the_host_cancels_is_withdrawn(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with relay_on(tmp_path, ScriptedTransport(), settings=SLOW_ROUNDS) as relay:
            client = Client(RelayMiddleware(plain_app, relay), hand_in("m1"))
            client.body(b"hello")
            await asyncio.sleep(0)
            client.task.cancel()
            await asyncio.wait({client.task})
            assert client.task.cancelled()
            assert relay.find("m1") is None
            assert (await (await relay.hand_in(Message(1, "safe", id="m1"))).end()).message == "m1"

    run(scenario())


def test_bodies_that_are_slow_or_many_are_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("amberlug.asgi.BODY_TIMEOUT_S", 0.05)
    monkeypatch.setattr("amberlug.asgi.MAX_CONCURRENT_BODIES", 2)

    async def scenario() -> None:
        async with relay_on(tmp_path, ScriptedTransport()) as relay:
            app = RelayMiddleware(plain_app, relay)
            clients = [Client(app, hand_in(f"m{count}")) for count in range(3)]
            for client in clients:
                client.body(b"h", more=True)
            await asyncio.gather(*(client.task for client in clients))
            assert sorted(client.status or 0 for client in clients) == [408, 408, 503]
            (busy,) = (client for client in clients if client.status == 503)
            assert (b"retry-after", b"1.000") in busy.said[0]["headers"]

    run(scenario())


def test_without_a_lifespan_the_relay_is_reported_as_not_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        app = RelayMiddleware(plain_app, relay_on(tmp_path, ScriptedTransport()))
        client = Client(app, hand_in("m1"))
        client.body(b"hello")
        await client.task
        assert client.status == 503

    run(scenario())


def test_a_websocket_under_the_prefix_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        said: list[Event] = []

        async def receive() -> Event:
            return {"type": "websocket.connect"}

        async def send(event: Event) -> None:
            said.append(event)

        app = RelayMiddleware(plain_app, relay_on(tmp_path, ScriptedTransport()))
        await app({"type": "websocket", "path": "/relay/safe"}, receive, send)
        assert [event["type"] for event in said] == ["websocket.close"]

    run(scenario())


def test_messages_survive_a_cancelled_lifespan(tmp_path: Path) -> None:
    async def scenario() -> None:
        relay = relay_on(tmp_path, partner := ScriptedTransport(never_return))
        host = await Host(RelayMiddleware(starlette_app(), relay)).start()
        assert (await ask(host.port, "POST", "/relay/unsafe", hand_in("m1", "unsafe"))).status == 202
        await partner.called(1)
        host.lifespan.task.cancel()
        await asyncio.wait({host.lifespan.task})
        host._server.close()
        assert not relay.is_open
        async with relay_on(tmp_path, second := ScriptedTransport()) as relay:
            taken = relay.find("m1")
            assert taken is not None
            assert (await taken.end()).outcome is Outcome.GIVEN_UP
            assert second.calls == []

    run(scenario())


def hosted_app(folder: str, endpoint: str) -> Application:
    """The application that the process in the next test serves."""
    where = StaticEndpoints(Endpoint("e1", 1, f"127.0.0.1:{endpoint}", rate=50.0))
    return RelayMiddleware(starlette_app(), Relay(SETTINGS, folder, where, seed=1))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_host_that_is_signalled_leaves_each_message_one_outcome(
    tmp_path: Path, number: signal.Signals
) -> None:
    async def scenario() -> None:
        endpoint = await StandIn(None).start()
        port = free_port()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.asgi_host",
            "tests.test_asgi:hosted_app",
            str(port),
            str(tmp_path),
            str(endpoint.port),
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        async with asyncio.timeout(PATIENCE):
            assert await process.stdout.readline() == b"serving\n"
            assert (await ask(port, "POST", "/relay/unsafe", hand_in("m1", "unsafe"))).status == 202
            (seen,) = await endpoint.requests(1)
            process.send_signal(number)
            if number is signal.SIGTERM:
                seen.answer((200, [], b""))  # the outstanding call is still completed
            out, _ = await process.communicate()
        assert out == (b"lifespan.shutdown.complete\n" if number is signal.SIGTERM else b"")
        async with relay_on(tmp_path, partner := ScriptedTransport()) as relay:
            taken = relay.find("m1")
            assert taken is not None
            delivered = number is signal.SIGTERM
            assert (await taken.end()).outcome is (Outcome.DELIVERED if delivered else Outcome.GIVEN_UP)
            assert partner.calls == []
        assert len(endpoint.seen) == 1
        await endpoint.stop()

    run(scenario())
