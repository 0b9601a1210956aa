"""TCP settings shared by both sides of a connection between nodes."""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 1500  # closes connections with unacknowledged data: a node that lost power sends no reset
MAX_WRITE_BUFFER_BYTES = 16 << 20  # bounds the memory used for a peer that does not read


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close the connection if sent data is not acknowledged for `USER_TIMEOUT_MS`."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def abort_if_not_reading(transport: asyncio.Transport) -> bool:
    """Abort a connection with more than `MAX_WRITE_BUFFER_BYTES` buffered; returns whether it was aborted."""
    if transport.get_write_buffer_size() <= MAX_WRITE_BUFFER_BYTES:
        return False
    transport.abort()
    return True
