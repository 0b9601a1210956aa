"""Validation of operators' configurations, which reports all errors with their paths."""

from __future__ import annotations

import json
from collections.abc import Hashable, Sequence
from typing import Any, TypeAlias

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.values import value

MAX_CONFIG_BYTES = 4 << 20  # enough for a large table, and far below the limit of a log entry
MAX_NESTING = 32  # levels; no table needs more than five
TABLES = ("routeTable", "serviceTable")
ROOT_PATH = "configuration"  # the path of errors that belong to no field

JsonPairs: TypeAlias = list[tuple[str, Any]]
"""Names and values of one JSON object in document order, as the decoder passes them."""


@value
class ConfigError:
    """An error of a configuration.

    :param path: its location: field names and positions in tables, separated by dots.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return the error as displayed to operators."""
        return f"{self.path}: {self.message}"


ConfigErrors: TypeAlias = list[ConfigError]


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise t.DataError("no address of the form host:port", value=value)
    return value


_NAME = t.String(min_length=1, max_length=256)
_NON_NEGATIVE_INT = t.Int(gte=0)
_NON_NEGATIVE_NUMBER = (t.Int(gte=0) | t.Float(gte=0)) & (lambda value: value)

_ROUTE = t.Dict(
    {
        t.Key("name"): _NAME,
        t.Key("authority"): _NAME,
        t.Key("pathPrefix"): t.String(min_length=1) & t.Regexp(r"^/"),
        t.Key("routeType"): _NAME,
        t.Key("targetService"): _NAME,
        t.Key("expiryMs"): t.Int(gt=0) | t.Float(gt=0),
        t.Key("targetMs", optional=True): _NON_NEGATIVE_NUMBER,
        t.Key("precedence", optional=True): _NON_NEGATIVE_INT,
        t.Key("maxAttempts", optional=True): t.Int(gte=1),
        t.Key("inSequence", optional=True): t.Bool(),
        t.Key("retentionS", optional=True): _NON_NEGATIVE_NUMBER,
        t.Key("notifyUri", optional=True): t.Bool() | t.String(allow_blank=True) | t.Null(),
        t.Key("startTargetMs", optional=True): _NON_NEGATIVE_NUMBER,
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
        t.Key("ratePerS", optional=True): _NON_NEGATIVE_NUMBER,
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


def _schema_errors(error: t.DataError, path: str = "") -> ConfigErrors:
    """Flatten a schema error into errors with paths, in the order of the fields."""
    detail = error.error
    if not isinstance(detail, dict):
        return [ConfigError(path or ROOT_PATH, str(detail))]
    errors: ConfigErrors = []
    for field, nested in detail.items():
        errors += _schema_errors(nested, f"{path}.{field}" if path else str(field))
    return errors


def _nesting(value: object, level: int = 0) -> int:
    """Return the number of nesting levels; counting stops just above the maximum."""
    if level > MAX_NESTING or not isinstance(value, dict | list):
        return level
    children = value.values() if isinstance(value, dict) else value
    return max((_nesting(child, level + 1) for child in children), default=level)


def _object_without_duplicates(pairs: JsonPairs) -> ConfigDocument:
    """Build a JSON object from its pairs.

    :raises ValueError: if a name occurs twice.
    """
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("a name stands twice in one object")
    return document


def parse(body: bytes) -> Result[ConfigDocument, ConfigErrors]:
    """Parse a request body as one JSON object.

    :returns: the object, or the errors.
    """
    if len(body) > MAX_CONFIG_BYTES:
        return _document_error(f"{len(body)} bytes are too many")
    try:
        document = json.loads(body, object_pairs_hook=_object_without_duplicates)
    except (ValueError, RecursionError) as error:
        return _document_error(f"cannot be read: {error}")
    if not isinstance(document, dict):
        return _document_error("is no object")
    if _nesting(document) > MAX_NESTING:
        return _document_error("is nested too deep")
    return Ok(document)


def _document_error(message: str) -> Err[ConfigErrors]:
    return Err([ConfigError(ROOT_PATH, message)])


def _duplicates(table: str, keys: Sequence[Hashable], description: str) -> ConfigErrors:
    """Return an error for each row of a table whose key is that of an earlier row."""
    first_positions: dict[Hashable, int] = {}
    errors = []
    for position, key in enumerate(keys):
        if key in first_positions:
            message = f"{description} of {table}.{first_positions[key]} again"
            errors.append(ConfigError(f"{table}.{position}", message))
        first_positions.setdefault(key, position)
    return errors


def find_errors(config: ConfigDocument) -> ConfigErrors:
    """Return all errors of a complete configuration; a valid one has none."""
    try:
        _CONFIG.check(config)
    except t.DataError as error:
        return _schema_errors(error)
    routes, services = config["routeTable"], config["serviceTable"]
    service_names = {service["name"] for service in services}
    errors = [
        ConfigError(f"routeTable.{position}.targetService", f"no service {route['targetService']!r}")
        for position, route in enumerate(routes)
        if route["targetService"] not in service_names
    ]
    errors += _duplicates("routeTable", [route["name"] for route in routes], "the name")
    errors += _duplicates("serviceTable", [service["name"] for service in services], "the name")
    hosts_and_prefixes = [(route["authority"].lower(), route["pathPrefix"]) for route in routes]
    return errors + _duplicates("routeTable", hosts_and_prefixes, "host and prefix")


def validate(config: ConfigDocument) -> Result[ConfigDocument, ConfigErrors]:
    """Return a complete configuration if it is valid, else all its errors."""
    errors = find_errors(config)
    return Err(errors) if errors else Ok(config)


def apply_change(
    current: ConfigDocument | None, change: ConfigDocument
) -> Result[ConfigDocument, ConfigErrors]:
    """Apply a change to the configuration in force.

    :param current: the configuration in force; None if there is none yet.
    :returns: the complete configuration, which is not validated yet, or the errors of the change.
    """
    try:
        _CHANGE.check(change)
    except t.DataError as error:
        return Err(_schema_errors(error))
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
