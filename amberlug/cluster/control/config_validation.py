"""Validation of operators' configurations: all errors of a configuration, each with its path."""

from __future__ import annotations

import json
from collections.abc import Hashable, Sequence
from typing import Any

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json

MAX_CONFIG_BYTES = 4 << 20  # a large table, and far below what a log entry may have
MAX_NESTING = 32  # levels; no table needs more than five
TABLES = ("routeTable", "serviceTable")


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise t.DataError("no address of the form host:port", value=value)
    return value


_NAME = t.String(min_length=1, max_length=256)
_NATURAL = t.Int(gte=0)
_NUMBER = (t.Int(gte=0) | t.Float(gte=0)) & (lambda value: value)

_ROUTE = t.Dict(
    {
        t.Key("name"): _NAME,
        t.Key("authority"): _NAME,
        t.Key("pathPrefix"): t.String(min_length=1) & t.Regexp(r"^/"),
        t.Key("routeType"): _NAME,
        t.Key("targetService"): _NAME,
        t.Key("expiryMs"): t.Int(gt=0) | t.Float(gt=0),
        t.Key("targetMs", optional=True): _NUMBER,
        t.Key("precedence", optional=True): _NATURAL,
        t.Key("maxAttempts", optional=True): t.Int(gte=1),
        t.Key("inSequence", optional=True): t.Bool(),
        t.Key("retentionS", optional=True): _NUMBER,
        t.Key("notifyUri", optional=True): t.Bool() | t.String(allow_blank=True) | t.Null(),
        t.Key("startTargetMs", optional=True): _NUMBER,
    },
    allow_extra="*",
)
_SERVICE = t.Dict(
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
_LIMITS = t.Dict(
    {
        t.Key(name, optional=True): t.Int(gt=0) | t.Float(gt=0)
        for name in ("maxHeaderBytes", "maxBodyBytes", "headerTimerMs", "idleTimerMs")
    },
    allow_extra="*",
)
_CONFIG = t.Dict(
    {
        t.Key("edition"): t.Int(gte=1),
        t.Key("routeTable"): t.List(_ROUTE),
        t.Key("serviceTable"): t.List(_SERVICE),
        t.Key("limits", optional=True): _LIMITS,
    },
    allow_extra="*",
)
_NAMES = t.Dict({t.Key(name, optional=True): t.List(_NAME) for name in TABLES}, allow_extra="*")
_CHANGE = t.Dict(
    {
        t.Key("edition"): t.Int(gte=1),
        t.Key("upsert", optional=True): t.Dict(
            {
                t.Key("routeTable", optional=True): t.List(_ROUTE),
                t.Key("serviceTable", optional=True): t.List(_SERVICE),
                t.Key("limits", optional=True): _LIMITS,
            },
            allow_extra="*",
        ),
        t.Key("remove", optional=True): _NAMES,
    },
    allow_extra="*",
)


def _messages(error: t.DataError, path: str = "") -> list[str]:
    """The errors of a check, each with its path, in the order of the fields."""
    found = error.error
    if not isinstance(found, dict):
        return [f"{path or 'configuration'}: {found}"]
    messages = []
    for field, nested in found.items():
        messages += _messages(nested, f"{path}.{field}" if path else str(field))
    return messages


def _nesting(value: object, level: int = 0) -> int:
    """Levels of nesting, counted no further than what is too many."""
    if level > MAX_NESTING or not isinstance(value, dict | list):
        return level
    children = value.values() if isinstance(value, dict) else value
    return max((_nesting(child, level + 1) for child in children), default=level)


def _object_of(pairs: list[tuple[str, Any]]) -> Json:
    """A JSON object.

    :raises ValueError: where a name stands twice.
    """
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return found


def parse(body: bytes) -> Result[Json, list[str]]:
    """Read a request's body as one JSON object.

    :returns: the object, or the errors.
    """
    if len(body) > MAX_CONFIG_BYTES:
        return Err([f"configuration: {len(body)} bytes are too many"])
    try:
        data = json.loads(body, object_pairs_hook=_object_of)
    except (ValueError, RecursionError) as error:
        return Err([f"configuration: cannot be read: {error}"])
    if not isinstance(data, dict):
        return Err(["configuration: is no object"])
    if _nesting(data) > MAX_NESTING:
        return Err(["configuration: is nested too deep"])
    return Ok(data)


def _duplicates(table: str, keys: Sequence[Hashable], description: str) -> list[str]:
    first: dict[Hashable, int] = {}
    errors = []
    for position, key in enumerate(keys):
        if key in first:
            errors.append(f"{table}.{position}: {description} of {table}.{first[key]} again")
        first.setdefault(key, position)
    return errors


def find_errors(config: Json) -> list[str]:
    """All errors of a whole configuration; empty for one that can be put in force."""
    try:
        _CONFIG.check(config)
    except t.DataError as error:
        return _messages(error)
    routes, services = config["routeTable"], config["serviceTable"]
    service_names = {service["name"] for service in services}
    errors = [
        f"routeTable.{position}.targetService: no service {route['targetService']!r}"
        for position, route in enumerate(routes)
        if route["targetService"] not in service_names
    ]
    errors += _duplicates("routeTable", [route["name"] for route in routes], "the name")
    errors += _duplicates("serviceTable", [service["name"] for service in services], "the name")
    matched = [(route["authority"].lower(), route["pathPrefix"]) for route in routes]
    return errors + _duplicates("routeTable", matched, "host and prefix")


check = find_errors  # the name that the operators' command imports


def apply_change(current: Json | None, change: Json) -> Result[Json, list[str]]:
    """The whole configuration that a change makes of the one in force.

    :param current: None where none is in force yet.
    :returns: the configuration, which may have errors of its own, or the errors of the change.
    """
    try:
        _CHANGE.check(change)
    except t.DataError as error:
        return Err(_messages(error))
    config = dict(current or {"routeTable": [], "serviceTable": []})
    config["edition"] = change["edition"]
    upsert, remove = change.get("upsert", {}), change.get("remove", {})
    for table in TABLES:
        items = {item["name"]: item for item in config[table]}
        for name in remove.get(table, []):
            items.pop(name, None)
        items.update({item["name"]: item for item in upsert.get(table, [])})
        config[table] = list(items.values())
    if "limits" in upsert:
        config["limits"] = {**config.get("limits", {}), **upsert["limits"]}
    return Ok(config)
