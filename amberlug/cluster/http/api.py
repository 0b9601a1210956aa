"""The HTTP API for endpoints and operators: each call is declared by a decorator on its handler."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value


class HttpRequest(Protocol):
    """The part of a request that handlers of API calls use."""

    @property
    def method(self) -> str:
        """The method, in upper case."""

    @property
    def target(self) -> str:
        """The path, with the query if there is one."""

    @property
    def body(self) -> bytes:
        """The complete body."""

    def header(self, name: str) -> str | None:
        """The value of a header, by its name in lower case; None if it is missing."""


@value
class HttpResponse:
    """A response to an API call.

    :param body: the JSON object that is sent.
    :param retry_after: seconds after which the caller may try again.
    :param page: plain text that is sent instead of `body`.
    """

    status: int
    body: Json
    retry_after: int | None = None
    page: bytes | None = None


RespondHttp = Callable[[HttpResponse], None]
Handler = Callable[[Any, HttpRequest, str, RespondHttp], None]
_API_CALL_ATTRIBUTE = "_api_call"


@value
class ApiCall:
    """A declared API call; a path that ends with `/` is followed by a name."""

    method: str
    path: str

    @property
    def takes_name(self) -> bool:
        """Whether the path is followed by a name."""
        return self.path.endswith("/")


def api_call(method: str, path: str) -> Callable[[Handler], Handler]:
    """Declare a method as the handler of an API call; it takes `(request, name, respond)`.

    :param path: if it ends with `/`, it is followed by a name, which is passed to the handler.
    """

    def declare(handler: Handler) -> Handler:
        """Attach the call's method and path to the handler."""
        handler.__dict__[_API_CALL_ATTRIBUTE] = ApiCall(method, path)
        return handler

    return declare


class AdminApi:
    """Dispatches requests to the handlers that the classes of the given components declare."""

    def __init__(self, *components: object) -> None:
        self._methods_by_path: dict[str, dict[str, Callable[..., None]]] = {}
        self._methods_by_parent_path: dict[str, dict[str, Callable[..., None]]] = {}
        for component in components:
            self._add(component)

    def _add(self, component: object) -> None:
        for cls in type(component).__mro__:
            for name, member in vars(cls).items():
                call = getattr(member, "__dict__", {}).get(_API_CALL_ATTRIBUTE) if callable(member) else None
                if call is not None:
                    table = self._methods_by_parent_path if call.takes_name else self._methods_by_path
                    table.setdefault(call.path, {}).setdefault(call.method, getattr(component, name))

    def handle(self, request: HttpRequest, respond: RespondHttp) -> None:
        """Dispatch a request; responds with 404 or 405 if there is no handler for its path or method."""
        path = request.target.partition("?")[0]
        methods, name = self._methods_by_path.get(path), ""
        if methods is None:
            parent, slash, name = path.rpartition("/")
            methods = self._methods_by_parent_path.get(parent + slash) if name else None
        if methods is None:
            respond(HttpResponse(404, {"cause": f"no call {path}"}))
        elif request.method not in methods:
            respond(HttpResponse(405, {"cause": f"{path} takes {', '.join(sorted(methods))}"}))
        else:
            methods[request.method](request, name, respond)


def read_json_object(request: HttpRequest, respond: RespondHttp, max_bytes: int) -> Json | None:
    """Parse a request's body as a JSON object of limited size.

    :returns: None if it is not a JSON object or too large; an error response was sent in that case.
    """
    if len(request.body) > max_bytes:
        respond(HttpResponse(413, {"cause": f"{len(request.body)} bytes are too many"}))
        return None
    try:
        data = json.loads(request.body)
    except (ValueError, RecursionError):
        respond(HttpResponse(400, {"cause": "no JSON"}))
        return None
    if not isinstance(data, dict):
        respond(HttpResponse(400, {"cause": "no object"}))
        return None
    return data


def unconfirmed() -> HttpResponse:
    """The response to a call whose outcome no majority has confirmed; the caller may retry it."""
    return HttpResponse(503, {"cause": "no answer of a majority"}, 1)


def encode_json(body: Json) -> bytes:
    """Encode a response's body."""
    return json.dumps(body, separators=(",", ":")).encode()
