"""Calls of endpoints and operators over HTTP: each is declared beside its handler."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from amberlug.cluster.interfaces import Json


class HttpRequest(Protocol):
    """A request, as far as orders look at it."""

    @property
    def method(self) -> str: ...
    @property
    def target(self) -> str: ...
    @property
    def body(self) -> bytes: ...
    def header(self, name: str) -> str | None: ...


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer to an order; one with a `page` is plain text instead of its body."""

    status: int
    body: Json
    retry_after: int | None = None
    page: bytes | None = None


RespondHttp = Callable[[HttpResponse], None]
Handler = Callable[[Any, HttpRequest, str, RespondHttp], None]


@dataclass(frozen=True, slots=True)
class ApiCall:
    """One declared call: its method, its path, and whether a name follows it."""

    method: str
    path: str
    named: bool
    handler: str


def order(method: str, path: str) -> Callable[[Handler], Handler]:
    """Declare a method as the handler of a call; a path that ends with `/` is followed by a name."""

    def mark(handler: Handler) -> Handler:
        handler.__dict__["order"] = method, path
        return handler

    return mark


class AdminApi:
    """Finds the handler of a request among those that the classes of some objects declare."""

    def __init__(self, *things: object) -> None:
        self._exact: dict[str, dict[str, Callable[..., None]]] = {}
        self._named: dict[str, dict[str, Callable[..., None]]] = {}
        for thing in things:
            self._add(thing)

    def _add(self, thing: object) -> None:
        for kind in type(thing).__mro__:
            for name, member in vars(kind).items():
                declared = getattr(member, "__dict__", {}).get("order") if callable(member) else None
                if declared is not None:
                    method, path = declared
                    table = self._named if path.endswith("/") else self._exact
                    table.setdefault(path, {}).setdefault(method, getattr(thing, name))

    def take(self, asked: HttpRequest, say: RespondHttp) -> None:
        """Have a request handled; 404 and 405 are answered here."""
        path = asked.target.partition("?")[0]
        methods, name = self._exact.get(path), ""
        if methods is None:
            before, slash, name = path.rpartition("/")
            methods = self._named.get(before + slash) if name else None
        if methods is None:
            say(HttpResponse(404, {"cause": f"no call {path}"}))
        elif asked.method not in methods:
            say(HttpResponse(405, {"cause": f"{path} takes {', '.join(sorted(methods))}"}))
        else:
            methods[asked.method](asked, name, say)


def pack(body: Json) -> bytes:
    """A body of an answer."""
    return json.dumps(body, separators=(",", ":")).encode()
