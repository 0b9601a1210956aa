"""Connections between relays: one for each direction, opened by the sending side.

After a handshake of names and incarnations, frames flow one way only. Each carries its number, the highest
frame number received from the other side, the sender's watermark, and all messages of one event loop turn.
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
from amberlug.peers.frames import VERSIONS, BadFrameError, Kind, Opener, Sealer, key_of, version_of

DIAL = 1.0  # seconds for connecting and the handshake
QUIET = 0.9  # seconds without an acknowledgement before a link counts as down: a little over three heartbeats
AGAIN = 0.1, 1.0  # least and greatest delay between connection attempts, in seconds; randomized
QUEUE_MOST = 8 << 20  # bytes waiting to be written to one relay; the link is reset above it
FRAME_BYTES = 256 << 10  # approximate size of the messages in one frame
READ = 1 << 16


class Bad:
    """Counts dropped input and messages by reason, and logs some of them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def note(self, who: str, why: str) -> None:
        """Count one event; the first of a reason and every hundredth after it are logged."""
        self.counts[why] += 1
        if self.counts[why] % 100 == 1:
            log(f"peers: {who}: {why} ({self.counts[why]} so far)")


class Peer:
    """Another relay: the outgoing link and what the incoming one says about it."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.incarnation = ""  # of the relay process that the link is connected to
        self.writer: asyncio.StreamWriter | None = None
        self.sealer: Sealer | None = None
        self.up = False  # `changed` was last told that the relay is reachable
        self.count = 0  # frames sent on this link
        self.seen = 0  # highest frame number received from the relay
        self.waiting: dict[int, float] = {}  # send time of each unacknowledged frame
        self.queue: list[Any] = []

    def heard(self, count: int, echo: int) -> None:
        """Handle the frame number and the acknowledgement of an incoming frame."""
        self.seen = max(self.seen, count)
        for known in [it for it in self.waiting if it <= echo]:
            del self.waiting[known]

    def reaches(self, now: float) -> bool:
        """Whether frames sent now are expected to arrive."""
        if self.writer is None:
            return False
        return not self.waiting or now - next(iter(self.waiting.values())) < QUIET


class Links:
    """All links of one relay.

    `receive` takes (name, incarnation, watermark, message); `changed` is called with (name, incarnation) when
    a relay becomes reachable, and with (name, None) when it no longer is.
    """

    def __init__(
        self,
        fleet: Fleet,
        incarnation: str,
        water: Callable[[], Sequence[int]],
        receive: Callable[[str, str, Sequence[int], Any], None],
        changed: Callable[[str, str | None], None],
    ) -> None:
        self._fleet, self._incarnation, self._water = fleet, incarnation, water
        self._receive, self._changed = receive, changed
        self.peers = {it.name: Peer(it) for it in fleet.members if it.name != fleet.name}
        self.bad = Bad()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._inbound: dict[str, tuple[str, asyncio.StreamWriter]] = {}
        self._due = False

    async def start(self) -> None:
        """Listen, and start connecting to all peers; `OSError` if the address can't be used."""
        host, port = self._fleet.listen or self._fleet.own.address
        self._server = await asyncio.start_server(self._accepted, host, port)
        for peer in self.peers.values():
            self._begin(self._keep(peer))

    def _begin(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Close all connections and the listener."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for peer in self.peers.values():
            self._drop(peer)
        for _, writer in self._inbound.values():
            writer.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Outgoing connections.

    async def _keep(self, peer: Peer) -> None:
        """Keep a link connected until cancelled."""
        while True:
            reader = await self._dial(peer)
            if reader is not None:
                with suppress(OSError):
                    await reader.read(1)  # nothing is ever sent here: returns when the connection ends
                self._drop(peer)
            await asyncio.sleep(random.uniform(*AGAIN))

    async def _dial(self, peer: Peer) -> asyncio.StreamReader | None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(DIAL):
                reader, writer = await asyncio.open_connection(*peer.member.address)
                await self._greet(peer, reader, writer)
                return reader
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except BadFrameError as error:
            self.bad.note(peer.member.name, str(error))
        if writer is not None:
            writer.close()
        return None

    async def _greet(self, peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange names and nonces, then switch to this connection's own key."""
        nonce = secrets.token_bytes(16)
        first = key_of(self._fleet.key)
        hello = [self._fleet.name, self._incarnation, list(VERSIONS), nonce, peer.member.name]
        writer.write(Sealer(first).frame(Kind.HELLO, hello))
        opener = Opener(first)
        while True:
            data = await reader.read(READ)
            if not data:
                raise ConnectionError("connection closed during the handshake")
            opener.feed(data)
            for kind, told in opener.frames():
                if kind is not Kind.WELCOME:
                    raise BadFrameError("expected a WELCOME frame")
                name, incarnation, version, theirs = _words(told, 4)
                if name != peer.member.name or not VERSIONS[0] <= version <= VERSIONS[1]:
                    raise BadFrameError(f"unexpected relay {name!r} with version {version!r} at this address")
                peer.sealer = Sealer(key_of(self._fleet.key, nonce + bytes(theirs)))
                peer.writer, peer.incarnation = writer, str(incarnation)
                peer.count, peer.waiting, peer.queue = 0, {}, []
                self._reached(peer)
                return

    def _reached(self, peer: Peer) -> None:
        if not peer.up:
            peer.up = True
            self._changed(peer.member.name, peer.incarnation)

    def _drop(self, peer: Peer) -> None:
        if peer.writer is not None:
            peer.writer.transport.abort()
            peer.writer = None
        self._unreached(peer)

    def _unreached(self, peer: Peer) -> None:
        peer.queue.clear()
        if peer.up:
            peer.up = False
            self._changed(peer.member.name, None)

    def send(self, name: str, message: Any) -> None:
        """Queue a message for the frame of this event loop turn; dropped if there is no connection."""
        peer = self.peers.get(name)
        if peer is None or peer.writer is None:
            return
        peer.queue.append(message)
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._due = False
        for peer in self.peers.values():
            if peer.queue:
                self._write(peer)

    def _write(self, peer: Peer) -> None:
        queue, peer.queue = peer.queue, []
        part, size = list[Any](), 0
        for message in queue:
            part.append(message)
            size += _size(message)
            if size > FRAME_BYTES:
                self._frame(peer, part)
                part, size = [], 0
        if part:
            self._frame(peer, part)

    def _frame(self, peer: Peer, messages: list[Any]) -> None:
        if peer.writer is None or peer.sealer is None:
            return
        peer.count += 1
        peer.waiting[peer.count] = asyncio.get_running_loop().time()
        content = [peer.count, peer.seen, list(self._water()), messages]
        try:
            peer.writer.write(peer.sealer.frame(Kind.MESSAGES, content))
        except ValueError as error:
            self.bad.note(peer.member.name, f"not sent: {error}")
        # Bounds the memory used for a slow relay; its owner sends the records again.
        if peer.writer.transport.get_write_buffer_size() > QUEUE_MOST:
            self.bad.note(peer.member.name, "reads too slowly, link begun anew")
            self._drop(peer)

    def look(self) -> None:
        """Update which relays are reachable; call several times a second."""
        now = asyncio.get_running_loop().time()
        for peer in self.peers.values():
            if peer.writer is None:
                continue
            if peer.reaches(now):
                self._reached(peer)
            elif peer.up:
                log(f"peers: {peer.member.name} does not acknowledge frames; link counts as down")
                self._unreached(peer)
            elif now - next(iter(peer.waiting.values()), now) > 4 * QUIET:
                self._drop(peer)  # a middlebox that lost the connection's state requires a new connection
            if not peer.up:
                self._frame(peer, [])  # a probe: its acknowledgement brings the link up again

    # Incoming connections.

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name, bad = str(writer.get_extra_info("peername")), ""
        opener = Opener(key_of(self._fleet.key))
        own, incarnation = "", ""
        try:
            while data := await reader.read(READ):
                opener.feed(data)
                for kind, told in opener.frames():
                    if not own:
                        own, incarnation = self._welcome(kind, told, opener, writer)
                        name = own
                    elif self._inbound.get(own, (None, None))[1] is not writer:
                        return  # replaced by a newer connection from the same relay
                    else:
                        self._messages(own, incarnation, kind, told)
        except BadFrameError as error:
            bad = str(error)
        except OSError:
            pass
        finally:
            if bad:
                self.bad.note(name, bad)
            if own and self._inbound.get(own, (None, None))[1] is writer:
                del self._inbound[own]
            writer.close()

    def _welcome(
        self, kind: Kind, told: Any, opener: Opener, writer: asyncio.StreamWriter
    ) -> tuple[str, str]:
        if kind is not Kind.HELLO:
            raise BadFrameError("expected a HELLO frame")
        name, incarnation, versions, theirs, to = _words(told, 5)
        if name not in self.peers or to != self._fleet.name:
            raise BadFrameError(f"unknown relay {name!r}, or wrong destination {to!r}")
        version = version_of(_words(versions, 2))
        before = self._inbound.get(name)
        if before is not None and before[0] != incarnation:
            log(f"peers: two relays call themselves {name}, or its folder changed; using the newest link")
        if before is not None:
            before[1].close()
        self._inbound[name] = str(incarnation), writer
        nonce = secrets.token_bytes(16)
        answer = [self._fleet.name, self._incarnation, version, nonce]
        writer.write(Sealer(key_of(self._fleet.key)).frame(Kind.WELCOME, answer))
        opener.rekey(key_of(self._fleet.key, bytes(theirs) + nonce))
        self.peers[name].seen = 0
        return name, str(incarnation)

    def _messages(self, name: str, incarnation: str, kind: Kind, told: Any) -> None:
        if kind is not Kind.MESSAGES:
            raise BadFrameError("expected a MESSAGES frame")
        count, echo, water, messages = _words(told, 4)
        if not isinstance(count, int) or not isinstance(echo, int) or not isinstance(messages, list):
            raise BadFrameError("malformed frame content")
        self.peers[name].heard(count, echo)
        for message in messages:
            try:
                self._receive(name, incarnation, water, message)
            except ValueError as error:
                raise BadFrameError(str(error)) from None


def _words(told: Any, count: int) -> list[Any]:
    if not isinstance(told, list) or len(told) != count:
        raise BadFrameError("malformed frame content")
    return told


def _size(message: Any) -> int:
    """Approximate encoded size; only records and states matter, the rest is small."""
    if isinstance(message, list):
        return sum(map(_size, message)) + 2
    return len(message) if isinstance(message, bytes | str) else 8
