"""The differences between two configurations, as human-readable lines."""

from __future__ import annotations

import json

from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.interfaces import Json

TABLES = ("routeTable", "serviceTable")  # lists of items that are identified by `name`
LIMITS = "limits"


def differences(before: ConfigDocument, after: ConfigDocument) -> list[str]:
    """List removed (`-`) and added (`+`) items, then changed fields (`~`)."""
    lines = []
    for table in TABLES:
        old = {item["name"]: item for item in before.get(table, [])}
        new = {item["name"]: item for item in after.get(table, [])}
        lines += [f"- {table} {name}" for name in old if name not in new]
        lines += [f"+ {table} {name}" for name in new if name not in old]
        for name in (name for name in new if name in old):
            lines += _changed_fields(f"{table} {name}", old[name], new[name])
    lines += _changed_fields(LIMITS, before.get(LIMITS, {}), after.get(LIMITS, {}))
    return lines + _changed_fields("configuration", _other_fields(before), _other_fields(after))


def _other_fields(document: ConfigDocument) -> Json:
    return {name: content for name, content in document.items() if name not in (*TABLES, LIMITS)}


def _changed_fields(item: str, old: Json, new: Json) -> list[str]:
    names = [*old, *(name for name in new if name not in old)]
    return [
        f"~ {item}: {name} {_format_field(old, name)} -> {_format_field(new, name)}"
        for name in names
        if _format_field(old, name) != _format_field(new, name)
    ]


def _format_field(fields: Json, name: str) -> str:
    return json.dumps(fields[name], sort_keys=True) if name in fields else "none"
