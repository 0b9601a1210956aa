"""A bare asyncio forwarder: answers 202, then makes one call on a kept connection. It promises nothing."""

from __future__ import annotations

import asyncio
import sys

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
_idle: list[Streams] = []
_tasks: set[asyncio.Task[None]] = set()


async def read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one request or answer: its head and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head, await reader.readexactly(length)


async def forward(head: bytes, body: bytes, port: int) -> None:
    """Make one call."""
    reader, writer = _idle.pop() if _idle else await asyncio.open_connection("127.0.0.1", port)
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith((b"req-id", b"idempotency"))]
    lines = [b"POST /hook HTTP/1.1", b"Host: a", *lines, b"Content-Length: %d" % len(body)]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    await read(reader)
    _idle.append((reader, writer))


async def main(listen: int, endpoint: int) -> None:
    """Serve until it is killed."""

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, body = await read(reader)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                task = asyncio.create_task(forward(head, body, endpoint))
                _tasks.add(task)
                task.add_done_callback(_tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(client, "127.0.0.1", listen)
    print("ready on", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
