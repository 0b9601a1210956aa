"""One call over a connection of its own, as clients and endpoints make it."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from amberlug.cluster.interfaces import RequestFailure
from amberlug.http.link import LinkLostError, Reply, dial

WITHIN_S = 2.0


async def ask(
    at: str,
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...] = (),
    body: bytes = b"",
    host: str = "",
    within: float = WITHIN_S,
) -> Result[Reply, RequestFailure]:
    """Send a request to an address; or why no whole answer came in time."""
    name, _, port = at.rpartition(":")
    link = await dial(name, int(port), within)
    if link is None:
        return Err(RequestFailure.NOT_SENT)
    try:
        async with asyncio.timeout(within):
            return Ok(await link.request(method, target, headers, body, host=host or at))
    except LinkLostError as lost:
        return Err(
            RequestFailure.CONNECTION_LOST if lost.written or lost.answered else RequestFailure.NOT_SENT
        )
    except TimeoutError:
        return Err(RequestFailure.TIMED_OUT)
    finally:
        link.close()
