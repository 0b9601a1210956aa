"""An MQTT connection on a socket: encodes and decodes packets, with bounded buffers in both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from amberlug.core.messages import MAX_BODY_BYTES
from amberlug.mqtt.fields import MqttError
from amberlug.mqtt.packets import V5, Decoder, Disconnect, Packet, encode

MAX_PACKET_BYTES = MAX_BODY_BYTES + 8192  # the largest payload, with topic and properties
WRITE_BUFFER_LIMIT = 1 << 18  # high-water mark of the write buffer in bytes


class Wire(asyncio.Protocol):
    """A connection: `on_packet` is called with each packet, `on_lost` once with the reason when it ends."""

    def __init__(
        self, on_packet: Callable[[Packet], None], on_lost: Callable[[str], None], version: int = 0
    ) -> None:
        self._on_packet, self._on_lost = on_packet, on_lost
        self._decoder = Decoder(MAX_PACKET_BYTES, version)
        self._transport: asyncio.Transport | None = None
        self._out: list[bytes] = []
        self._why = "closed by the other side"
        self._partial_since: float | None = None
        self.reading_paused = False
        self.closing = False
        self.last_received = 0.0

    @property
    def version(self) -> int:
        """The protocol level; 0 until known."""
        return self._decoder.version

    def incomplete_for(self, now: float) -> float:
        """Seconds since the first byte of an incomplete packet; 0 if there is none."""
        return 0.0 if self._partial_since is None else now - self._partial_since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection; it is aborted if it was closed before it was made."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT)
        self.last_received = asyncio.get_running_loop().time()
        if self.closing:  # closed before the connection was made
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection with its reason."""
        self.closing = True
        self._on_lost(self._why if error is None else f"{self._why}: {error}")

    def data_received(self, data: bytes) -> None:
        """Decode the received data and pass on each packet."""
        self.last_received = asyncio.get_running_loop().time()
        self._decoder.feed(data)
        self._read()

    def _read(self) -> None:
        while not self.closing and not self.reading_paused:
            try:
                packet = self._decoder.next()
                if packet is None:
                    # Guards against a packet sent byte by byte forever: its time counts from the first byte.
                    since = self._partial_since if self._partial_since is not None else self.last_received
                    self._partial_since = since if self._decoder.has_partial else None
                    return
                self._partial_since = None
                self._on_packet(packet)
            except MqttError as error:
                self.fail(error.code, str(error))

    def pause_writing(self) -> None:
        """Guard against responses that pile up for a peer that sends but does not read."""
        self.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading once the write buffer has drained."""
        self.resume_reading()

    def pause_reading(self) -> None:
        """Pause reading: too much is pending."""
        self.reading_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        if self.reading_paused and not self.closing and self._transport is not None:
            self.reading_paused = False
            self._transport.resume_reading()
            asyncio.get_running_loop().call_soon(self._read)

    def write(self, packet: Packet) -> None:
        """Queue a packet; all packets of one loop iteration are sent together."""
        if self.closing or self._transport is None:
            return
        if not self._out:
            asyncio.get_running_loop().call_soon(self.flush)
        self._out.append(encode(packet, self.version))

    def flush(self) -> None:
        """Send all queued packets now."""
        out, self._out = self._out, []
        if out and self._transport is not None:
            self._transport.write(b"".join(out))

    def fail(self, code: int, why: str) -> None:
        """Close the connection because of an error, with a DISCONNECT in 5.0."""
        if not self.closing:
            if self.version == V5:
                self.write(Disconnect(code))
            self.close(why)

    def close(self, why: str) -> None:
        """Close the connection after sending what is queued."""
        if not self.closing:
            self._why = why
            self.flush()
            self.closing = True
            if self._transport is not None:
                self._transport.close()

    def abort(self, why: str) -> None:
        """Close the connection at once."""
        self._why, self.closing = why, True
        if self._transport is not None:
            self._transport.abort()
