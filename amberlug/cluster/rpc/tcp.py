"""What both sides of a connection between nodes ask of TCP."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 1500  # until unacknowledged bytes end a connection: a node without power sends no reset
MAX_WRITE_BUFFER_BYTES = 16 << 20  # for a peer that does not read: bounds memory


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end the connection when the peer acknowledges nothing for `USER_TIMEOUT_MS`."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def abort_if_not_reading(transport: asyncio.Transport) -> bool:
    """End a connection whose peer has let more than `MAX_WRITE_BUFFER_BYTES` pile up; returns whether."""
    if transport.get_write_buffer_size() <= MAX_WRITE_BUFFER_BYTES:
        return False
    transport.abort()
    return True
