"""A minimal server for the ASGI 3.0 specification: lifespan, HTTP on loopback, shutdown by signal.

`python -m tests.asgi_host module:factory PORT [argument ...]` serves the application that the factory
returns.
"""

from __future__ import annotations

import asyncio
import importlib
import signal
import sys
from typing import Any

import h11

from amberlug.asgi import Application, Event

GRACE = 5.0  # seconds that the shutdown waits for pending requests


class Lifespan:
    """The application's lifespan; by the specification, an application that raises does not support it."""

    def __init__(self, app: Application) -> None:
        self.state: dict[str, Any] = {}
        self._to_app: asyncio.Queue[Event] = asyncio.Queue()
        self._from_app: asyncio.Queue[Event] = asyncio.Queue()
        scope = {"type": "lifespan", "asgi": {"version": "3.0", "spec_version": "2.0"}, "state": self.state}
        self.task = asyncio.ensure_future(app(scope, self._to_app.get, self._from_app.put))

    async def ask(self, what: str) -> Event | None:
        self._to_app.put_nowait({"type": f"lifespan.{what}"})
        said = asyncio.ensure_future(self._from_app.get())
        await asyncio.wait({said, self.task}, return_when=asyncio.FIRST_COMPLETED)
        if said.done():
            return said.result()
        said.cancel()
        return None


class Host:
    """Serves one application on a loopback port."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._open: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> Host:
        """Start serving; raises `RuntimeError` if the application's startup fails."""
        self.lifespan = Lifespan(self._app)
        said = await self.lifespan.ask("startup")
        if said is not None and said["type"] == "lifespan.startup.failed":
            raise RuntimeError(said.get("message", ""))
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> Event | None:
        """Stop accepting connections, wait for pending requests, then shut the application down."""
        self._server.close()
        for writer in list(self._idle):
            writer.transport.abort()
        if self._open:
            await asyncio.wait(self._open, timeout=GRACE)
        return await self.lifespan.ask("shutdown")

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        http = h11.Connection(h11.SERVER)
        self._idle.add(writer)
        try:
            while (request := await self._request(reader, http)) is not None:
                self._idle.discard(writer)
                task = asyncio.ensure_future(Exchange(reader, writer, http).run(self._app, request, self))
                self._open.add(task)
                task.add_done_callback(self._open.discard)
                await asyncio.wait({task})
                if task.exception() is not None or http.our_state is not h11.DONE:
                    break
                if http.their_state is not h11.DONE:
                    break
                http.start_next_cycle()
                self._idle.add(writer)
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            self._idle.discard(writer)
            writer.close()

    async def _request(self, reader: asyncio.StreamReader, http: h11.Connection) -> h11.Request | None:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                return event
            else:
                return None


class Exchange:
    """One request and its response."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, http: h11.Connection
    ) -> None:
        self._reader, self._writer, self._http = reader, writer, http

    async def run(self, app: Application, request: h11.Request, host: Host) -> None:
        path, _, query = request.target.partition(b"?")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": request.method.decode(),
            "scheme": "http",
            "path": path.decode("latin-1"),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": list(request.headers),
            "client": self._writer.get_extra_info("peername"),
            "server": ("127.0.0.1", host.port),
            "state": host.lifespan.state.copy(),
        }
        await app(scope, self._receive, self._send)

    async def _receive(self) -> Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                return {"type": "http.disconnect"}
            if event is h11.NEED_DATA or event is h11.PAUSED:
                data = await self._reader.read(65536)
                if not data:
                    return {"type": "http.disconnect"}
                self._http.receive_data(data)
            elif isinstance(event, h11.Data):
                return {"type": "http.request", "body": bytes(event.data), "more_body": True}
            elif isinstance(event, h11.EndOfMessage):
                return {"type": "http.request", "body": b"", "more_body": False}
            else:
                return {"type": "http.disconnect"}

    async def _send(self, event: Event) -> None:
        if event["type"] == "http.response.start":
            self._write(h11.Response(status_code=event["status"], headers=event["headers"]))
        elif event["type"] == "http.response.body":
            self._write(h11.Data(data=event.get("body", b"")))
            if not event.get("more_body", False):
                self._write(h11.EndOfMessage())

    def _write(self, event: Any) -> None:
        self._writer.write(self._http.send(event) or b"")


async def main(target: str, port: str, *arguments: str) -> None:
    module, _, name = target.partition(":")
    host = Host(getattr(importlib.import_module(module), name)(*arguments))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await host.start(int(port))
    print("serving", flush=True)
    await stop.wait()
    said = await host.stop()
    print(said["type"] if said is not None else "no lifespan", flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
