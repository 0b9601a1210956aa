"""Operators' configurations: read whole, checked whole, every error with its place."""

from __future__ import annotations

import json
from typing import Any

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json

MOST = 4 << 20  # bytes of a configuration
DEEP = 32  # levels of nesting


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise t.DataError("no address of the form host:port", value=value)
    return value


_NAME = t.String(min_length=1, max_length=256)
_WHOLE = t.Int(gte=0)
_NUMBER = (t.Int(gte=0) | t.Float(gte=0)) & (lambda value: value)

ROUTE = t.Dict(
    {
        t.Key("name"): _NAME,
        t.Key("authority"): _NAME,
        t.Key("pathPrefix"): t.String(min_length=1) & t.Regexp(r"^/"),
        t.Key("routeType"): _NAME,
        t.Key("targetService"): _NAME,
        t.Key("expiryMs"): t.Int(gt=0) | t.Float(gt=0),
        t.Key("targetMs", optional=True): _NUMBER,
        t.Key("precedence", optional=True): _WHOLE,
        t.Key("maxAttempts", optional=True): t.Int(gte=1),
        t.Key("inSequence", optional=True): t.Bool(),
        t.Key("retentionS", optional=True): _NUMBER,
        t.Key("notifyUri", optional=True): t.Bool() | t.String(allow_blank=True) | t.Null(),
        t.Key("startTargetMs", optional=True): _NUMBER,
    },
    allow_extra="*",
)
SERVICE = t.Dict(
    {
        t.Key("name"): _NAME,
        t.Key("healthPath", optional=True): t.String(allow_blank=True),
        t.Key("maxConnections", optional=True): t.Int(gte=1),
        t.Key("protocol", optional=True): t.String(),
        t.Key("tls", optional=True): t.Bool(),
        t.Key("ratePerS", optional=True): _NUMBER,
        t.Key("dedupCapable", optional=True): t.Bool(),
        t.Key("pull", optional=True): t.Bool(),
        t.Key("fixedAddress", optional=True): t.Null() | (t.String() & _address),
    },
    allow_extra="*",
)
LIMITS = t.Dict(
    {
        t.Key(name, optional=True): t.Int(gt=0) | t.Float(gt=0)
        for name in ("maxHeaderBytes", "maxBodyBytes", "headerTimerMs", "idleTimerMs")
    },
    allow_extra="*",
)
WHOLE = t.Dict(
    {
        t.Key("edition"): t.Int(gte=1),
        t.Key("routeTable"): t.List(ROUTE),
        t.Key("serviceTable"): t.List(SERVICE),
        t.Key("limits", optional=True): LIMITS,
    },
    allow_extra="*",
)
_NAMES = t.Dict(
    {t.Key(name, optional=True): t.List(_NAME) for name in ("routeTable", "serviceTable")}, allow_extra="*"
)
CHANGE = t.Dict(
    {
        t.Key("edition"): t.Int(gte=1),
        t.Key("upsert", optional=True): t.Dict(
            {
                t.Key("routeTable", optional=True): t.List(ROUTE),
                t.Key("serviceTable", optional=True): t.List(SERVICE),
                t.Key("limits", optional=True): LIMITS,
            },
            allow_extra="*",
        ),
        t.Key("remove", optional=True): _NAMES,
    },
    allow_extra="*",
)


def _lines(error: t.DataError, path: str = "") -> list[str]:
    said = error.error
    if isinstance(said, dict):
        return [
            line for key, it in said.items() for line in _lines(it, f"{path}.{key}" if path else str(key))
        ]
    return [f"{path or 'configuration'}: {said}"]


def _depth(value: Any, level: int = 0) -> int:
    if level > DEEP or not isinstance(value, dict | list):
        return level
    return max(
        (_depth(it, level + 1) for it in (value.values() if isinstance(value, dict) else value)),
        default=level,
    )


def _pairs(pairs: list[tuple[str, Any]]) -> Json:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return found


def parse(body: bytes) -> Result[Json, list[str]]:
    """Read a body as one JSON object."""
    if len(body) > MOST:
        return Err([f"configuration: {len(body)} bytes are too many"])
    try:
        data = json.loads(body, object_pairs_hook=_pairs)
    except (ValueError, RecursionError) as error:
        return Err([f"configuration: cannot be read: {error}"])
    if not isinstance(data, dict):
        return Err(["configuration: is no object"])
    if _depth(data) > DEEP:
        return Err(["configuration: is nested too deep"])
    return Ok(data)


def _twice(path: str, keys: list[Any], what: str) -> list[str]:
    seen: dict[Any, int] = {}
    errors = []
    for at, key in enumerate(keys):
        if key in seen:
            errors.append(f"{path}.{at}: {what} of {path}.{seen[key]} again")
        seen.setdefault(key, at)
    return errors


def check(config: Json) -> list[str]:
    """All errors of a whole configuration."""
    try:
        WHOLE.check(config)
    except t.DataError as error:
        return _lines(error)
    routes, services = config["routeTable"], config["serviceTable"]
    known = {it["name"] for it in services}
    errors = [
        f"routeTable.{at}.targetService: no service {it['targetService']!r}"
        for at, it in enumerate(routes)
        if it["targetService"] not in known
    ]
    errors += _twice("routeTable", [it["name"] for it in routes], "the name")
    errors += _twice("serviceTable", [it["name"] for it in services], "the name")
    return errors + _twice(
        "routeTable", [(it["authority"].lower(), it["pathPrefix"]) for it in routes], "host and prefix"
    )


def changed(current: Json | None, change: Json) -> Result[Json, list[str]]:
    """The whole configuration that a change makes of the current one."""
    try:
        CHANGE.check(change)
    except t.DataError as error:
        return Err(_lines(error))
    whole = dict(current or {"routeTable": [], "serviceTable": []})
    whole["edition"] = change["edition"]
    upsert, remove = change.get("upsert", {}), change.get("remove", {})
    for table in ("routeTable", "serviceTable"):
        items = {it["name"]: it for it in whole[table]}
        for name in remove.get(table, []):
            items.pop(name, None)
        items.update({it["name"]: it for it in upsert.get(table, [])})
        whole[table] = list(items.values())
    if "limits" in upsert:
        whole["limits"] = {**whole.get("limits", {}), **upsert["limits"]}
    return Ok(whole)
