"""Validates a relay's configuration and reports every error; a start stops at the first one."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from amberlug.core.endpoint_list import parse_address, read_list_update
from amberlug.core.journal import Durability
from amberlug.platform.config import read_durability, read_learning_key, read_limits
from amberlug.policy import settings

LIMIT_NAMES = ("sockets", "memory_mb", "disk_mb")


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation error: its location in the file, and a message."""

    where: str
    what: str


def check(text: str) -> list[Problem]:
    """Return all validation errors of a configuration, in the order of its sections."""
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        return [Problem(f"line {error.lineno} column {error.colno}", error.msg)]
    except RecursionError:
        return [Problem("the whole", "nested too deeply")]
    if not isinstance(data, Mapping):
        return [Problem("the whole", "not a JSON object")]
    sections = (_addresses, _seed, _durability, _learning_key, _limits, _settings, _initial_list)
    return [problem for section in sections for problem in section(data)]


def _addresses(data: Mapping[str, Any]) -> Iterator[Problem]:
    """Check both addresses if present: each may come from the environment instead."""
    for name in ("listen", "discovery"):
        if name not in data:
            continue
        try:
            parse_address(data[name])
        except (ValueError, AttributeError):
            yield Problem(name, f"not an IP address and port: {data[name]!r}")


def _seed(data: Mapping[str, Any]) -> Iterator[Problem]:
    try:
        int(str(data.get("seed", "")), 16)
    except ValueError:
        yield Problem("seed", f"not a hexadecimal number: {data.get('seed')!r}")


def _learning_key(data: Mapping[str, Any]) -> Iterator[Problem]:
    try:
        read_learning_key(data)
    except (ValueError, TypeError, OSError) as error:
        yield Problem("learning_key_file", str(error))


def _durability(data: Mapping[str, Any]) -> Iterator[Problem]:
    try:
        read_durability(data)
    except ValueError:
        words = ", ".join(it.value for it in Durability)
        yield Problem("durability", f"not one of {words}: {data['durability']!r}")


def _limits(data: Mapping[str, Any]) -> Iterator[Problem]:
    limits = data.get("limits")
    if not isinstance(limits, Mapping):
        yield Problem("limits", "missing, or not an object")
        return
    found_error = False
    for name in LIMIT_NAMES:
        value = limits.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
            found_error = True
            yield Problem(f"limits.{name}", f"not a positive number below 1e12: {value!r}")
    if not found_error:
        try:
            read_limits(limits)
        except ValueError as error:
            yield Problem("limits", str(error))


def _settings(data: Mapping[str, Any]) -> Iterator[Problem]:
    table = data.get("settings")
    if not isinstance(table, Mapping):
        yield Problem("settings", "missing, or not an object")
        return
    for line in settings.setting_errors(table):
        place, _, what = line.removeprefix("setting ").partition(" ")
        yield Problem(f"settings.{place}", what)


def _initial_list(data: Mapping[str, Any]) -> Iterator[Problem]:
    """Check the initial list of endpoints; their kinds are checked if the settings define any."""
    known, table = data.get("known"), data.get("settings")
    if not isinstance(known, Mapping) or not isinstance(known.get("members"), list):
        yield Problem("known.members", "missing, or not an array")
        return
    if not isinstance(known.get("revision"), int):
        yield Problem("known.revision", f"not an integer: {known.get('revision')!r}")
    defined_kinds = table.get("Kinds") if isinstance(table, Mapping) else None
    seen: set[str] = set()
    for index, item in enumerate(known["members"]):
        where = f"known.members[{index}]"
        listed_kind = [str(item.get("flavor"))] if isinstance(item, Mapping) else []
        kinds: list[str] = defined_kinds if isinstance(defined_kinds, list) else listed_kind
        try:
            (entry,) = read_list_update({"revision": 0, "complete": True, "members": [item]}, kinds).entries
        except ValueError as error:
            yield Problem(where, str(error))
            continue
        if entry.endpoint in seen:
            yield Problem(where, f"endpoint id {entry.endpoint!r} is listed twice")
        seen.add(entry.endpoint)
