"""A blocked event loop: requests that arrive meanwhile are refused with a Retry-After."""

import asyncio
import json
import socket
import time
from pathlib import Path

import pytest

from amberlug.core.clock import LoopClock
from amberlug.core.endpoint_list import read_list_update
from amberlug.http.server import Server
from amberlug.platform.loop_lag import LoopLagSelector
from amberlug.policy.settings import read_settings
from amberlug.standin.wire import StandIn
from tests.conftest import setup
from tests.rig import hand_in, member, news, node_in

BLOCKED_S = 0.4


def test_an_idle_loop_makes_nothing_wait() -> None:
    selector = LoopLagSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(asyncio.sleep(BLOCKED_S))
        assert selector.waited_us() < BLOCKED_S / 2 * 1e6


@pytest.mark.parametrize(("blocked_s", "status"), [(0.0, b"202"), (BLOCKED_S, b"429")])
def test_what_waits_while_the_loop_is_held_up_is_refused(
    tmp_path: Path, blocked_s: float, status: bytes
) -> None:
    """Clients that wait too long disconnect and retry, while their first request is still being sent."""
    selector = LoopLagSelector()

    async def scenario() -> None:
        endpoint = await StandIn().start()
        settings = read_settings(setup(Weights="nominal"))
        node = node_in(tmp_path, settings)
        node.listed(read_list_update(json.loads(news(member(endpoint.port))), list(settings.kinds)))
        node.restore()
        loop = asyncio.get_running_loop()
        server = Server(settings, node, LoopClock().wall_ms, selector.waited_us, 9)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        with socket.create_connection(listener.sockets[0].getsockname()[:2]) as client:
            await asyncio.sleep(0.05)  # the connection is accepted
            head = "".join(f"{name}: {value}\r\n" for name, value in hand_in("m1").items())
            client.sendall(f"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n{head}\r\n".encode())
            time.sleep(blocked_s)
            client.setblocking(False)
            answer = await loop.sock_recv(client, 4096)
        assert answer.split()[1] == status
        assert (b"retry-after: " in answer.lower()) == (status == b"429")
        listener.close()
        await endpoint.stop()

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(scenario())
