"""The clients' side: hand-ins, and whether this relay is up."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from typing import Protocol

import h11

from amberlug.messages import Message
from stoatusher.interface import Effect, Settings

BODY_MOST = 1 << 16
UNREAD_MOST = 1 << 20  # of a longer body so much is read and passed over: closing at once would lose the 413
TOO_LONG = "the body is over 64 KiB"
NAME_MOST = 128  # longest id or key
CLIENTS_MOST = 500  # connections of clients at once: the rest of 1,024 descriptors is for endpoints


class Node(Protocol):
    """What the clients' side wants of the relay."""

    ready: bool

    def hand_in(self, message: Message, left_us: int, exchange: Connection) -> None: ...
    def hung_up(self, exchange: Connection) -> None: ...


class BadRequestError(ValueError):
    """A request that is refused with one plain line."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _word(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name.lower(), "")
    if not value or len(value) > NAME_MOST or not value.isascii() or not value.isprintable() or " " in value:
        raise BadRequestError(400, f"{name} is missing or malformed")
    return value


def _digits(text: str, what: str, most: int) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18 and int(text) <= most):
        raise BadRequestError(400, f"{what} is missing or malformed")
    return int(text)


def read_message(
    settings: Settings, path: str, headers: Mapping[str, str], body: bytes, now_ms: int
) -> tuple[Message, int]:
    """Read a hand-in: the message and how long it has left, in microseconds."""
    name, class_name = _word(headers, "Req-Id"), _word(headers, "Req-Kind")
    message_class = settings.classes.get(class_name)
    if message_class is None or path.strip("/").split("/")[0] != class_name:
        raise BadRequestError(400, "Req-Kind is unknown or differs from the path")
    tenant = _word(headers, "Req-Owner") if settings.tenants or "req-owner" in headers else None
    if settings.tenants and tenant not in settings.tenants:
        raise BadRequestError(400, "Req-Owner is unknown")
    left_ms = _digits(headers.get("req-deadline-ms", "").strip(), "Req-Deadline-Ms", 10**9)
    fields = dict(part.strip().partition("=")[::2] for part in headers.get("envelope", "").split(";"))
    destination = _digits(fields.get("dest", ""), "dest", 10**9)
    keyed = message_class.effect is Effect.KEYED or "idempotency-key" in headers
    key = _word(headers, "Idempotency-Key") if keyed else None
    message = Message(name, class_name, tenant, destination, key, body, now_ms + left_ms)
    return message, left_ms * 1000


class Connection(asyncio.Protocol):
    """One client's connection; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._length = 0
        self._asked = False
        self._reading = False

    @property
    def idle(self) -> bool:
        return self._http.states == {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        self._server.used(self)
        self._http.receive_data(data)
        self._read()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.closed(self)
        if self._asked:
            self._asked = False
            self._server.node.hung_up(self)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def answer(self, status: int, text: str = "", retry_us: int = 0) -> None:
        """Answer the request that is being waited on; a client that has hung up is passed over."""
        self._asked = False
        if self._transport is None or self._transport.is_closing():
            return
        body = f"{text}\n".encode() if text else b""
        headers = [("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "text/plain"))
        if retry_us > 0:
            headers.append(("Retry-After", f"{retry_us / 1e6:.3f}"))
        unread = self._http.their_state is not h11.DONE
        if unread or self._server.closing:
            headers.append(("Connection", "close"))
        with contextlib.suppress(h11.LocalProtocolError):
            parts = [
                self._http.send(h11.Response(status_code=status, headers=headers)),
                self._http.send(h11.Data(data=body)) if body else b"",
                self._http.send(h11.EndOfMessage()),
            ]
            self._transport.write(b"".join(part for part in parts if part))
        if self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._http.start_next_cycle()
            self._read()
        else:
            self._transport.close()

    def _read(self) -> None:
        # Guards against many small requests in one read: each answer must not nest the next one's.
        if self._reading:
            return
        self._reading = True
        try:
            while self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self.answer(error.error_status_hint, "the request can't be read")
            self.close()
        finally:
            self._reading = False

    def _take(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self._request, self._body, self._length = event, bytearray(), 0
            if self._http.they_are_waiting_for_100_continue and self._transport is not None:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self._transport.write(self._http.send(go_on) or b"")
        elif isinstance(event, h11.Data):
            self._length += len(event.data)
            if self._length <= BODY_MOST:
                self._body += event.data
            elif self._length > UNREAD_MOST:
                self.answer(413, TOO_LONG)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._asked = True
            self._dispatch()
            return not self._asked
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return isinstance(event, h11.Request | h11.Data)

    def _dispatch(self) -> None:
        assert self._request is not None
        method, target = self._request.method.decode(), self._request.target.decode("latin-1")
        headers = {name.decode(): value.decode("latin-1") for name, value in self._request.headers}
        try:
            if self._length > BODY_MOST:
                raise BadRequestError(413, TOO_LONG)
            self._server.dispatch(self, method, target.partition("?")[0], headers, bytes(self._body))
        except BadRequestError as error:
            self.answer(error.status, str(error))


class Server:
    """All clients' connections; while it closes, each answer ends its connection."""

    def __init__(self, settings: Settings, node: Node, now_ms: Callable[[], int]) -> None:
        self._settings, self.node, self._now_ms = settings, node, now_ms
        self._connections: dict[Connection, None] = {}  # the one used last at the end
        self.closing = False

    def __call__(self) -> Connection:
        return Connection(self)

    def opened(self, connection: Connection) -> None:
        """Take a connection in; past the most, the one that has been idle longest goes."""
        self._connections[connection] = None
        if len(self._connections) > CLIENTS_MOST:
            next((it for it in self._connections if it.idle), connection).close()

    def used(self, connection: Connection) -> None:
        self._connections[connection] = self._connections.pop(connection, None)

    def closed(self, connection: Connection) -> None:
        self._connections.pop(connection, None)

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in [it for it in self._connections if it.idle]:
            connection.close()

    def dispatch(
        self, connection: Connection, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        if path == "/up":
            if method != "GET":
                raise BadRequestError(405, "use GET")
            connection.answer(200 if self.node.ready else 503, "up" if self.node.ready else "not yet")
            return
        if path.strip("/").split("/")[0] not in self._settings.classes:
            raise BadRequestError(404, "no such path")
        if method != "POST":
            raise BadRequestError(405, "use POST")
        message, left_us = read_message(self._settings, path, headers, body, self._now_ms())
        self.node.hand_in(message, left_us, connection)
