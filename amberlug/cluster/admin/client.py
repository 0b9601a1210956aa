"""HTTP client for operators: calls control-plane and edge nodes in turn until one responds."""

from __future__ import annotations

import http.client
import json
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import SplitResult, urlsplit

from result import Err, Ok, Result

from amberlug.cluster.interfaces import Headers

RESPONSE_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0  # cap of the exponential backoff
MAX_REDIRECTS = 2
DEFAULT_HTTP_PORT = 80
# Statuses by which an edge node rejects a message: it has not accepted it and will not do so later.
REJECTED_STATUSES = frozenset((408, 421, 429, 503))
# Statuses besides 5xx after which another node, or the same node later, may respond differently.
UNSETTLED_STATUSES = frozenset((408, 429))


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """The response of a node.

    :param headers: header names are in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_settled(self) -> bool:
        """Whether the call is settled: no other node would respond differently."""
        return self.status < 500 and self.status not in UNSETTLED_STATUSES

    @property
    def json(self) -> Any:
        """The body parsed as JSON; an empty object if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def cause(self) -> str:
        """Why the call was rejected: the `cause` in the response, else its status."""
        data = self.json
        cause = data.get("cause") if isinstance(data, dict) else None
        return str(cause) if cause else f"status {self.status}"


@dataclass(frozen=True, slots=True)
class Call:
    """A request; it is identical on each attempt."""

    method: str
    path: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def has_host_header(self) -> bool:
        """Whether the headers include `Host`, so that the client does not add one."""
        return any(name.lower() == "host" for name, _ in self.headers)


def send_once(address: str, call: Call, timeout_s: float = RESPONSE_TIMEOUT_S) -> Result[NodeResponse, str]:
    """Send a call to one address, following redirects.

    :param address: `host:port`.
    :param timeout_s: timeout for each response.
    :returns: the response, or why there is none.
    """
    path = call.path
    for _ in range(MAX_REDIRECTS + 1):
        try:
            response = _send_request(address, path, call, timeout_s)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return Err(f"{address}: {error or type(error).__name__}")
        location = urlsplit(response.headers.get("location", ""))
        if response.status != 307 or not location.hostname:
            return Ok(response)
        address, path = f"{location.hostname}:{location.port or DEFAULT_HTTP_PORT}", _path_and_query(location)
    return Err(f"{address}: too many redirects")


def _send_request(address: str, path: str, call: Call, timeout_s: float) -> NodeResponse:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.putrequest(call.method, path, skip_accept_encoding=True, skip_host=call.has_host_header)
        for name, value in (*call.headers, ("Content-Length", str(len(call.body)))):
            connection.putheader(name, value)
        connection.endheaders(call.body)
        response = connection.getresponse()
        headers = {name.lower(): value for name, value in response.headers.items()}
        return NodeResponse(response.status, headers, response.read())
    finally:
        connection.close()


def _path_and_query(location: SplitResult) -> str:
    return location.path + (f"?{location.query}" if location.query else "")


def send_to_any(addresses: Sequence[str], call: Call) -> Result[NodeResponse, list[str]]:
    """Send a call to each address in turn until one settles it.

    :returns: the response that settles it, or for each address the reason why it did not.
    """
    failures = []
    for address in addresses:
        sent = send_once(address, call)
        if isinstance(sent, Ok) and sent.ok_value.is_settled:
            return sent
        failures.append(sent.err_value if isinstance(sent, Err) else f"{address}: {sent.ok_value.cause}")
    return Err(failures)


def send_until_settled(
    addresses: Sequence[str], call: Call, timeout_s: float
) -> Result[NodeResponse, list[str]]:
    """Retry an idempotent call, unchanged, on all addresses until one settles it or the timeout expires."""
    deadline = time.monotonic() + timeout_s
    for delay_s in _retry_delays_s():
        sent = send_to_any(addresses, call)
        if isinstance(sent, Ok) or time.monotonic() + delay_s > deadline:
            break
        time.sleep(delay_s)
    return sent


def submit_message(addresses: Sequence[str], call: Call, timeout_s: float) -> Result[NodeResponse, list[str]]:
    """Submit a message to edge nodes in turn until one accepts it or the timeout expires.

    It is retried only after a rejection. After any other failure a node may have accepted the message, and a
    retry would execute it twice.

    :returns: the response, or why the outcome is unknown.
    """
    deadline = time.monotonic() + timeout_s
    for attempt, delay_s in enumerate(_retry_delays_s()):
        address = addresses[attempt % len(addresses)]
        sent = send_once(address, call, timeout_s)
        if isinstance(sent, Err):
            return Err([sent.err_value])
        response = sent.ok_value
        is_rejected = response.status in REJECTED_STATUSES
        if not is_rejected and not response.is_settled:
            return Err([f"{address}: {response.cause}"])
        if not is_rejected or time.monotonic() + delay_s > deadline:
            break
        time.sleep(delay_s)
    return Ok(response)


def _retry_delays_s() -> Iterator[float]:
    delay_s = MIN_RETRY_DELAY_S
    while True:
        yield delay_s
        delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
