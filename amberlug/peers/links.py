"""Connections between relays: one for each direction, opened by the sending side.

After a handshake of names and incarnations, frames flow one way only. Each carries its number, the highest
frame number received from the other side, the sender's watermark, and messages of one event loop turn.
So each side knows whether the other receives its frames: a link without acknowledgements for a while counts
as down, whether it was closed, has stalled or is cut in one direction.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any

from amberlug.core.log import log
from amberlug.peers.fleet import Fleet, Member
from amberlug.peers.frames import (
    VERSIONS,
    BadFrameError,
    FrameDecoder,
    FrameEncoder,
    FrameKind,
    derive_key,
    negotiate_version,
)

CONNECT_TIMEOUT_S = 1.0  # seconds for connecting and the handshake
# Without an acknowledgement a link then counts as down: more than three heartbeats (`machine.BEAT_US`).
ACK_TIMEOUT_S = 0.9
RECONNECT_DELAY_S = 0.1, 1.0  # least and greatest delay between connection attempts, in seconds; randomized
MAX_WRITE_BUFFER_BYTES = 8 << 20  # bytes waiting to be written to one relay; the link is reset above it
TARGET_FRAME_BYTES = 256 << 10  # approximate size of the messages in one frame
READ_CHUNK_BYTES = 1 << 16


class DropCounter:
    """Counts dropped input and messages, and links reset for slow reading, by reason; logs some of them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count(self, peer_name: str, reason: str) -> None:
        """Count one event; the first of a reason and every hundredth after it are logged."""
        self.counts[reason] += 1
        if self.counts[reason] % 100 == 1:
            log(f"peers: {peer_name}: {reason} ({self.counts[reason]} so far from all relays)")


class Peer:
    """Another relay: the outgoing link, and the acknowledgements that arrive on the incoming one."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.incarnation = ""  # of the relay process that the link is connected to
        self.writer: asyncio.StreamWriter | None = None
        self.encoder: FrameEncoder | None = None
        self.reported_up = False  # `changed` was last told that the relay is reachable
        self.sent_number = 0  # frames sent on this link
        self.received_number = 0  # highest frame number received from the relay
        self.unacknowledged: dict[int, float] = {}  # send time of each unacknowledged frame
        self.queue: list[Any] = []

    def on_frame(self, number: int, acknowledged: int) -> None:
        """Handle the frame number and the acknowledgement of an incoming frame."""
        self.received_number = max(self.received_number, number)
        for sent in [it for it in self.unacknowledged if it <= acknowledged]:
            del self.unacknowledged[sent]

    def is_reachable(self, now: float) -> bool:
        """Whether frames sent now are expected to arrive."""
        if self.writer is None:
            return False
        return not self.unacknowledged or now - next(iter(self.unacknowledged.values())) < ACK_TIMEOUT_S


class Links:
    """All links of one relay.

    `receive` takes (name, incarnation, watermark, message); `changed` is called with (name, incarnation) when
    a relay becomes reachable, and with (name, None) when it no longer is.
    """

    def __init__(
        self,
        fleet: Fleet,
        incarnation: str,
        watermark: Callable[[], Sequence[int]],
        receive: Callable[[str, str, Sequence[int], Any], None],
        changed: Callable[[str, str | None], None],
    ) -> None:
        self._fleet, self._incarnation, self._watermark = fleet, incarnation, watermark
        self._receive, self._changed = receive, changed
        self.peers = {member.name: Peer(member) for member in fleet.members if member.name != fleet.name}
        self.drops = DropCounter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._inbound: dict[str, tuple[str, asyncio.StreamWriter]] = {}
        self._flush_scheduled = False

    async def start(self) -> None:
        """Listen, and start connecting to all peers; `OSError` if the address can't be used."""
        host, port = self._fleet.listen or self._fleet.own.address
        self._server = await asyncio.start_server(self._serve_connection, host, port)
        for peer in self.peers.values():
            self._spawn(self._maintain(peer))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Close all connections and the listener."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for peer in self.peers.values():
            self._disconnect(peer)
        for _, writer in self._inbound.values():
            writer.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Outgoing connections.

    async def _maintain(self, peer: Peer) -> None:
        """Keep a link connected until cancelled."""
        while True:
            reader = await self._connect(peer)
            if reader is not None:
                with suppress(OSError):
                    await reader.read(1)  # nothing is ever sent here: returns when the connection ends
                self._disconnect(peer)
            await asyncio.sleep(random.uniform(*RECONNECT_DELAY_S))

    async def _connect(self, peer: Peer) -> asyncio.StreamReader | None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*peer.member.address)
                await self._handshake(peer, reader, writer)
                return reader
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except BadFrameError as error:
            self.drops.count(peer.member.name, str(error))
        if writer is not None:
            writer.close()
        return None

    async def _handshake(
        self, peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Exchange names and nonces, then switch to this connection's own key."""
        nonce = secrets.token_bytes(16)
        handshake_key = derive_key(self._fleet.key)
        hello = [self._fleet.name, self._incarnation, list(VERSIONS), nonce, peer.member.name]
        writer.write(FrameEncoder(handshake_key).encode(FrameKind.HELLO, hello))
        decoder = FrameDecoder(handshake_key)
        while True:
            data = await reader.read(READ_CHUNK_BYTES)
            if not data:
                raise ConnectionError("connection closed during the handshake")
            decoder.feed(data)
            for kind, content in decoder.frames():
                if kind is not FrameKind.WELCOME:
                    raise BadFrameError("expected a WELCOME frame")
                name, incarnation, version, peer_nonce = _fields(content, 4)
                if name != peer.member.name or not VERSIONS[0] <= version <= VERSIONS[1]:
                    raise BadFrameError(f"unexpected relay {name!r} with version {version!r} at this address")
                peer.encoder = FrameEncoder(derive_key(self._fleet.key, nonce + bytes(peer_nonce)))
                peer.writer, peer.incarnation = writer, str(incarnation)
                peer.sent_number, peer.unacknowledged, peer.queue = 0, {}, []
                self._report_up(peer)
                return

    def _report_up(self, peer: Peer) -> None:
        if not peer.reported_up:
            peer.reported_up = True
            self._changed(peer.member.name, peer.incarnation)

    def _disconnect(self, peer: Peer) -> None:
        if peer.writer is not None:
            peer.writer.transport.abort()
            peer.writer = None
        self._report_down(peer)

    def _report_down(self, peer: Peer) -> None:
        peer.queue.clear()
        if peer.reported_up:
            peer.reported_up = False
            self._changed(peer.member.name, None)

    def send(self, name: str, message: Any) -> None:
        """Queue a message for the frame of this event loop turn; dropped if there is no connection."""
        peer = self.peers.get(name)
        if peer is None or peer.writer is None:
            return
        peer.queue.append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for peer in self.peers.values():
            if peer.queue:
                self._write(peer)

    def _write(self, peer: Peer) -> None:
        queue, peer.queue = peer.queue, []
        part, size = list[Any](), 0
        for message in queue:
            part.append(message)
            size += _approximate_size(message)
            if size > TARGET_FRAME_BYTES:
                self._send_frame(peer, part)
                part, size = [], 0
        if part:
            self._send_frame(peer, part)

    def _send_frame(self, peer: Peer, messages: list[Any]) -> None:
        if peer.writer is None or peer.encoder is None:
            return
        peer.sent_number += 1
        peer.unacknowledged[peer.sent_number] = asyncio.get_running_loop().time()
        content = [peer.sent_number, peer.received_number, list(self._watermark()), messages]
        try:
            peer.writer.write(peer.encoder.encode(FrameKind.MESSAGES, content))
        except ValueError as error:
            self.drops.count(peer.member.name, f"not sent: {error}")
        # Bounds the memory used for a slow relay; this relay, as owner, sends the records again.
        if peer.writer.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.drops.count(peer.member.name, "reads too slowly; resetting the link")
            self._disconnect(peer)

    def check_links(self) -> None:
        """Update which relays are reachable; call several times a second."""
        now = asyncio.get_running_loop().time()
        for peer in self.peers.values():
            if peer.writer is None:
                continue
            if peer.is_reachable(now):
                self._report_up(peer)
            elif peer.reported_up:
                log(f"peers: {peer.member.name} does not acknowledge frames; link counts as down")
                self._report_down(peer)
            elif now - next(iter(peer.unacknowledged.values()), now) > 4 * ACK_TIMEOUT_S:
                self._disconnect(peer)  # a middlebox may have dropped the connection's state: reconnect
            if not peer.reported_up:
                self._send_frame(peer, [])  # a probe: its acknowledgement brings the link up again

    # Incoming connections.

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        label, reason = str(writer.get_extra_info("peername")), ""
        decoder = FrameDecoder(derive_key(self._fleet.key))
        peer_name, incarnation = "", ""
        try:
            while data := await reader.read(READ_CHUNK_BYTES):
                decoder.feed(data)
                for kind, content in decoder.frames():
                    if not peer_name:
                        peer_name, incarnation = self._accept_hello(kind, content, decoder, writer)
                        label = peer_name
                    elif self._inbound.get(peer_name, (None, None))[1] is not writer:
                        return  # replaced by a newer connection from the same relay
                    else:
                        self._handle_messages(peer_name, incarnation, kind, content)
        except BadFrameError as error:
            reason = str(error)
        except OSError:
            pass
        finally:
            if reason:
                self.drops.count(label, reason)
            if peer_name and self._inbound.get(peer_name, (None, None))[1] is writer:
                del self._inbound[peer_name]
            writer.close()

    def _accept_hello(
        self, kind: FrameKind, content: Any, decoder: FrameDecoder, writer: asyncio.StreamWriter
    ) -> tuple[str, str]:
        if kind is not FrameKind.HELLO:
            raise BadFrameError("expected a HELLO frame")
        name, incarnation, versions, peer_nonce, destination = _fields(content, 5)
        if name not in self.peers or destination != self._fleet.name:
            raise BadFrameError(f"unknown relay {name!r}, or wrong destination {destination!r}")
        version = negotiate_version(_fields(versions, 2))
        before = self._inbound.get(name)
        if before is not None and before[0] != incarnation:
            log(f"peers: two relays call themselves {name}, or its state directory changed; newest link wins")
        if before is not None:
            before[1].close()
        self._inbound[name] = str(incarnation), writer
        nonce = secrets.token_bytes(16)
        answer = [self._fleet.name, self._incarnation, version, nonce]
        writer.write(FrameEncoder(derive_key(self._fleet.key)).encode(FrameKind.WELCOME, answer))
        decoder.rekey(derive_key(self._fleet.key, bytes(peer_nonce) + nonce))
        self.peers[name].received_number = 0
        return name, str(incarnation)

    def _handle_messages(self, name: str, incarnation: str, kind: FrameKind, content: Any) -> None:
        if kind is not FrameKind.MESSAGES:
            raise BadFrameError("expected a MESSAGES frame")
        number, acknowledged, watermark, messages = _fields(content, 4)
        if not isinstance(number, int) or not isinstance(acknowledged, int) or not isinstance(messages, list):
            raise BadFrameError("malformed frame content")
        self.peers[name].on_frame(number, acknowledged)
        for message in messages:
            try:
                self._receive(name, incarnation, watermark, message)
            except ValueError as error:
                raise BadFrameError(str(error)) from None


def _fields(content: Any, count: int) -> list[Any]:
    if not isinstance(content, list) or len(content) != count:
        raise BadFrameError("malformed frame content")
    return content


def _approximate_size(message: Any) -> int:
    """Approximate encoded size; only records and states matter, the rest is small."""
    if isinstance(message, list):
        return sum(map(_approximate_size, message)) + 2
    return len(message) if isinstance(message, bytes | str) else 8
