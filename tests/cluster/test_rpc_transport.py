"""Connections between processes: what is too long for a frame."""

import asyncio
from typing import Any

from result import Err, Result

from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Respond
from amberlug.cluster.rpc.framing import MOST
from amberlug.cluster.rpc.transport import PeerTransport


def test_a_frame_that_is_too_long_is_an_outcome_and_the_connection_goes_on() -> None:
    heard: list[str] = []

    def hear(word: str, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        heard.append(word)
        respond({"text": "x" * body.get("reply", 0)}, b"")

    async def play() -> list[Result[Reply, RequestFailure]]:
        a, b = PeerTransport(hear, lambda to: None), PeerTransport(hear, lambda to: None)
        await a.listen("127.0.0.1", range(0, 1))
        assert a._server is not None
        port = a._server.sockets[0].getsockname()[1]
        b.address = "b"
        loop = asyncio.get_running_loop()

        def ask(body: Json, within: float = 2.0) -> Any:
            said: asyncio.Future[Result[Reply, RequestFailure]] = loop.create_future()
            b.request(f"127.0.0.1:{port}", "word", body, within, said.set_result)
            return said

        b.send(f"127.0.0.1:{port}", "told", {"text": "x" * MOST})
        found = [await ask({"text": "x" * MOST}), await ask({"reply": MOST}, 0.05), await ask({"reply": 3})]
        assert (a.too_long, b.too_long) == (1, 2)
        a.close()
        b.close()
        return found

    long, answer, short = asyncio.run(play())
    assert (long, answer) == (Err(RequestFailure.NOT_SENT), Err(RequestFailure.TIMED_OUT))
    assert short.unwrap().body == {"text": "xxx"}
    assert heard == ["word", "word"]
