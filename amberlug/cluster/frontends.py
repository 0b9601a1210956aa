"""HTTP frontends of nodes: map node responses to clients, probes and operators onto the HTTP server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amberlug.cluster import metrics
from amberlug.cluster.http.api import HttpResponse, encode_json
from amberlug.cluster.http.connection import RespondCallback
from amberlug.cluster.http.message import Request, Response
from amberlug.cluster.http.parser import Limits

if TYPE_CHECKING:
    from amberlug.cluster.edge.intake import ClientResponse
    from amberlug.cluster.edge.node import EdgeNode

READINESS_PATH = "/-/readiness"
JSON_CONTENT = (("Content-Type", "application/json"),)
TEXT_CONTENT = (("Content-Type", "text/plain; charset=utf-8"),)


class EdgeFrontend:
    """The HTTP frontend of an edge node: client requests, the readiness probe and the counters page."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    def limits(self) -> Limits:
        """Return the HTTP limits of the current configuration."""
        routes = self._node.routes
        return Limits(routes.header_bytes, routes.body_bytes, routes.header_s, routes.idle_s)

    def handle(self, request: Request, respond: RespondCallback) -> None:
        """Pass a client request to the node."""

        def send(response: ClientResponse) -> None:
            """Send the response: its body as JSON if there is one, else its payload."""
            if response.body is not None:
                respond(
                    Response(response.status, response.headers + JSON_CONTENT, encode_json(response.body))
                )
            else:
                respond(Response(response.status, response.headers, response.payload))

        self._node.handle(request, send)

    def handle_probe(self, request: Request, respond: RespondCallback) -> None:
        """Serve the readiness probe (200 or 503) and the counters page."""
        path = request.target.partition("?")[0]
        if path == metrics.PATH:
            respond(Response(200, TEXT_CONTENT, metrics.page(self._node.counters)))
        elif path == READINESS_PATH:
            respond(Response(200 if self._node.ready else 503, JSON_CONTENT, b"{}"))
        else:
            respond(Response(404, JSON_CONTENT, b"{}"))


def respond_to_operator(respond: RespondCallback, response: HttpResponse) -> None:
    """Send the response to a control API call: a text page or a JSON object."""
    headers = (("Retry-After", str(response.retry_after)),) if response.retry_after is not None else ()
    if response.page is not None:
        respond(Response(response.status, TEXT_CONTENT + headers, response.page))
    else:
        respond(Response(response.status, JSON_CONTENT + headers, encode_json(response.body)))
