"""Checks a relay's configuration whole: every error with its place, where a start would tell the first."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from amberlug.core.endpoint_list import parse_address, read_list_update
from amberlug.core.journal import Durability
from amberlug.platform.config import read_durability, read_learning_key, read_limits
from amberlug.policy import settings

LIMITS = ("sockets", "memory_mb", "disk_mb")


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong: its place in the file, and what it is."""

    where: str
    what: str


def check(text: str) -> list[Problem]:
    """All that is wrong with a configuration, in the order of its parts."""
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        return [Problem(f"line {error.lineno} column {error.colno}", error.msg)]
    except RecursionError:
        return [Problem("the whole", "it is nested too deep")]
    if not isinstance(data, Mapping):
        return [Problem("the whole", "it is no object")]
    parts = (_addresses, _seed, _durability, _learning_key, _limits, _settings, _known)
    return [problem for part in parts for problem in part(data)]


def _addresses(data: Mapping[str, Any]) -> Iterator[Problem]:
    """Both may also come from the environment: only what stands here is checked."""
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
        yield Problem("durability", f"none of {words}: {data['durability']!r}")


def _limits(data: Mapping[str, Any]) -> Iterator[Problem]:
    limits = data.get("limits")
    if not isinstance(limits, Mapping):
        yield Problem("limits", "missing, or no object")
        return
    bad = False
    for name in LIMITS:
        value = limits.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
            bad = True
            yield Problem(f"limits.{name}", f"not a number above 0: {value!r}")
    if not bad:
        try:
            read_limits(limits)
        except ValueError as error:
            yield Problem("limits", str(error))


def _settings(data: Mapping[str, Any]) -> Iterator[Problem]:
    table = data.get("settings")
    if not isinstance(table, Mapping):
        yield Problem("settings", "missing, or no object")
        return
    for line in settings.setting_errors(table):
        place, _, what = line.removeprefix("setting ").partition(" ")
        yield Problem(f"settings.{place}", what)


def _known(data: Mapping[str, Any]) -> Iterator[Problem]:
    """The list of endpoints; kinds are looked at where the settings name them."""
    known, table = data.get("known"), data.get("settings")
    if not isinstance(known, Mapping) or not isinstance(known.get("members"), list):
        yield Problem("known.members", "missing, or no list")
        return
    if not isinstance(known.get("revision"), int):
        yield Problem("known.revision", f"not a whole number: {known.get('revision')!r}")
    named = table.get("Kinds") if isinstance(table, Mapping) else None
    seen: set[str] = set()
    for number, item in enumerate(known["members"]):
        where = f"known.members[{number}]"
        own = [str(item.get("flavor"))] if isinstance(item, Mapping) else []
        kinds: list[str] = named if isinstance(named, list) else own
        try:
            (entry,) = read_list_update({"revision": 0, "complete": True, "members": [item]}, kinds).entries
        except ValueError as error:
            yield Problem(where, str(error))
            continue
        if entry.endpoint in seen:
            yield Problem(where, f"the id {entry.endpoint!r} is listed twice")
        seen.add(entry.endpoint)
