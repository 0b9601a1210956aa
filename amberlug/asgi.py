"""ASGI middleware that serves the relay's submission protocol inside a host's application.

It is pure ASGI 3 and imports no framework. It opens and closes its relay with the host's lifespan, handles
requests under its prefix, and passes the relay to handlers in the scope's state:

    app = RelayMiddleware(app, relay=Relay(...), prefix="/relay")

`POST {prefix}/{class}` submits a message as to the daemon, `GET {prefix}/up` reports whether the relay is
open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from amberlug.core.log import log
from amberlug.core.messages import MAX_BODY_BYTES, Refusal
from amberlug.http.handin import (
    BODY_TOO_LONG,
    BadRequestError,
    HttpResponse,
    answer,
    check_route,
    read_message,
    reject_by_headers,
)
from amberlug.library.relay import Relay

Scope = MutableMapping[str, Any]
Event = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[Event], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

BODY_TIMEOUT_S = 2.0  # timeout for reading a whole body
MAX_CONCURRENT_BODIES = 256  # bodies read concurrently; with 64 KiB each, this bounds memory
BUSY_RETRY_US = 1_000_000
NOT_OPEN: HttpResponse = (503, "the relay is not open", BUSY_RETRY_US)


class _DisconnectedError(Exception):
    """The client has disconnected."""


class RelayMiddleware:
    """An ASGI application that wraps another."""

    def __init__(self, app: Application, relay: Relay, prefix: str = "/relay") -> None:
        if not prefix.startswith("/") or prefix.endswith("/"):
            raise ValueError(f"the prefix must begin with a slash and not end with one: {prefix!r}")
        self._app, self.relay, self._prefix = app, relay, prefix
        self._bodies_in_progress = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await self._run_lifespan(scope, receive, send)
            return
        path = self._relative_path(scope)
        if path is None:
            # The server passes each request a copy of the lifespan's state, or none at all.
            state = {**scope.get("state", {}), "relay": self.relay}
            await self._app({**scope, "state": state}, receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, path, receive, send)
        else:
            await receive()
            # Closed before it is accepted: the server responds with 403.
            await send({"type": "websocket.close", "code": 1000})

    def _relative_path(self, scope: Scope) -> str | None:
        """The path relative to the prefix, or None outside it; the root path of a mount is skipped."""
        path: str = scope["path"]
        root: str = scope.get("root_path", "")
        if root and path.startswith(root):
            path = path[len(root) :]
        under = path == self._prefix or path.startswith(self._prefix + "/")
        return path[len(self._prefix) :] if under else None

    # The lifespan.

    async def _run_lifespan(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Open the relay before the application starts; close it after that has stopped using it."""
        await receive()
        try:
            await self.relay.open()
        except (OSError, ValueError, RuntimeError) as error:
            await send({"type": "lifespan.startup.failed", "message": f"relay: {error}"})
            return
        inner = _InnerLifespan(self._app, {**scope, "state": scope.setdefault("state", {})})
        scope["state"]["relay"] = self.relay
        try:
            failed = await inner.ask("startup")
            await send(failed or {"type": "lifespan.startup.complete"})
            if failed is None:
                await receive()
                failed = await inner.ask("shutdown")
                await self.relay.close()
                await send(failed or {"type": "lifespan.shutdown.complete"})
        finally:
            # Also runs if the lifespan fails or is cancelled; pending messages stay in the folder.
            inner.cancel()
            self.relay.abandon()

    # Submissions.

    async def _serve(self, scope: Scope, path: str, receive: Receive, send: Send) -> None:
        try:
            said = await self._answer(scope, path, receive)
        except _DisconnectedError:
            return
        except BadRequestError as error:
            said = error.status, str(error), 0
        status, text, retry_us = said
        body = f"{text}\n".encode() if text else b""
        headers = [(b"content-length", str(len(body)).encode())]
        if body:
            headers.append((b"content-type", b"text/plain"))
        if retry_us > 0:
            headers.append((b"retry-after", f"{retry_us / 1e6:.3f}".encode()))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _answer(self, scope: Scope, path: str, receive: Receive) -> HttpResponse:
        """The response to a request; raises `BadRequestError` if it is invalid."""
        if path == "/up":
            if scope["method"] != "GET":
                raise BadRequestError(405, "use GET")
            return (200, "up", 0) if self.relay.is_open else NOT_OPEN
        # Checked first: there is no point in reading a request while no message can be accepted.
        if not self.relay.is_open:
            return NOT_OPEN
        headers = [(bytes(name).lower(), bytes(value)) for name, value in scope["headers"]]
        if (refusal := reject_by_headers(headers)) is not None:
            raise BadRequestError(*refusal)
        settings = self.relay.settings
        check_route(settings, scope["method"], path)
        if self._bodies_in_progress >= MAX_CONCURRENT_BODIES:
            return 503, "too many at once", BUSY_RETRY_US
        self._bodies_in_progress += 1
        try:
            body = await _body(receive)
        finally:
            self._bodies_in_progress -= 1
        if not self.relay.is_open:  # closed while the body was read
            return NOT_OPEN
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
        message, left_us = read_message(settings, self.relay.serves, path, fields, body, self.relay.wall_ms())
        told: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()
        hand_in = self.relay.admit(message, left_us, lambda it: None if told.done() else told.set_result(it))
        try:
            return answer(await _wait_for_decision(told, receive))
        finally:
            self.relay.withdraw(hand_in)  # has no effect once it is settled


async def _body(receive: Receive) -> bytes:
    """Read a whole body within the limits of size and time."""
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    raise _DisconnectedError
                body += event.get("body", b"")
                if len(body) > MAX_BODY_BYTES:
                    raise BadRequestError(413, BODY_TOO_LONG)
                if not event.get("more_body", False):
                    return bytes(body)
    except TimeoutError:
        raise BadRequestError(408, "the request did not come in time") from None


async def _wait_for_decision(told: asyncio.Future[Refusal | None], receive: Receive) -> Refusal | None:
    """Wait for the decision; raises `_DisconnectedError` if the client disconnects first."""
    if told.done():
        return told.result()
    left = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        waits: set[asyncio.Future[Any]] = {told, left}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        if not told.done():
            raise _DisconnectedError
        return told.result()
    finally:
        left.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass


class _InnerLifespan:
    """The lifespan of the wrapped application, which is optional."""

    def __init__(self, app: Application, scope: Scope) -> None:
        self._to_app: asyncio.Queue[Event] = asyncio.Queue()
        self._from_app: asyncio.Queue[Event] = asyncio.Queue()
        self._task = asyncio.ensure_future(_run(app, scope, self._to_app.get, self._from_app.put))

    async def ask(self, what: str) -> Event | None:
        """Request startup or shutdown; returns the event if that failed, None also without a lifespan."""
        self._to_app.put_nowait({"type": f"lifespan.{what}"})
        said = asyncio.ensure_future(self._from_app.get())
        await asyncio.wait({said, self._task}, return_when=asyncio.FIRST_COMPLETED)
        if not said.done():
            said.cancel()
            if not self._task.cancelled() and (error := self._task.exception()) is not None:
                log(f"the application does not support the lifespan protocol: {error!r}")
            return None
        event = said.result()
        return event if event["type"] == f"lifespan.{what}.failed" else None

    def cancel(self) -> None:
        """Cancel it and discard any error."""
        self._task.cancel()
        self._task.add_done_callback(lambda task: task.cancelled() or task.exception())


async def _run(app: Application, scope: Scope, receive: Receive, send: Send) -> None:
    """Run the application inside its task, so that an error raised at once is caught as well."""
    await app(scope, receive, send)
