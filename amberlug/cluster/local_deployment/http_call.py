"""A single HTTP call over a new connection, as clients and endpoints make it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Headers, RequestFailure
from amberlug.http.link import ConnectionLostError, Reply, dial

RESPONSE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A request.

    :param host: value of the `Host` header; the address if empty.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    host: str = ""


async def send_call(
    address: str, call: HttpCall, timeout_s: float = RESPONSE_TIMEOUT_S
) -> Result[Reply, RequestFailure]:
    """Send a request to an address, `host:port`.

    :returns: the response, or why no complete response was received in time.
    """
    host, _, port = address.rpartition(":")
    link = await dial(host, int(port), timeout_s)
    if link is None:
        return Err(RequestFailure.NOT_SENT)
    try:
        async with asyncio.timeout(timeout_s):
            host_header = call.host or address
            return Ok(await link.request(call.method, call.target, call.headers, call.body, host=host_header))
    except ConnectionLostError as lost:
        may_have_run = lost.written or lost.answered
        return Err(RequestFailure.CONNECTION_LOST if may_have_run else RequestFailure.NOT_SENT)
    except TimeoutError:
        return Err(RequestFailure.TIMED_OUT)
    finally:
        link.close()
