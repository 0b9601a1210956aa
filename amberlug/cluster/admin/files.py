"""Checks of the files that operators write: all errors, each with its place."""

from __future__ import annotations

import json
import tomllib
from collections import Counter as Tally
from pathlib import Path
from typing import Any

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.control.config_validation import parse, validate
from amberlug.cluster.interfaces import Json
from amberlug.cluster.settings import read_settings_file

PARTS = ("edge", "storage", "control_plane")
NEEDS = {  # what a part can't begin without
    "edge": ("front", "readiness"),
    "storage": ("dataDir",),
    "control_plane": ("control", "dataDir"),
}
SHELL = frozenset("|&;<>$`\"'*?~")  # in a command that no shell reads
PACKAGE = r"[a-z0-9][a-z0-9+.-]+\Z"  # a Debian package's name, as Debian's policy manual has it (5.6.1)
HELPERS = frozenset(("env", "npx", "sh", "bash"))
ROLES_MOST = 2  # on one machine


def _read(path: Path) -> Result[bytes, list[str]]:
    try:
        return Ok(path.read_bytes())
    except OSError as error:
        return Err([f"file: {error.strerror or error}"])


def read_config(path: Path) -> Result[Json, list[str]]:
    """An operator's configuration, checked by what a control relay would check it by."""
    content = _read(path)
    if isinstance(content, Err):
        return content
    config = parse(content.ok_value).and_then(validate)
    return config.map_err(lambda errors: [str(error) for error in errors])


def check_settings(path: Path) -> list[str]:
    """All errors of a settings file, those among them by which the process would not begin."""
    read = read_settings_file(str(path))
    if isinstance(read, Err):
        return [str(error) for error in read.err_value]
    settings = read.ok_value
    errors = [f"serves: {it!r} is none of {', '.join(PARTS)}" for it in sorted(settings.serves - set(PARTS))]
    if len(settings.serves & set(PARTS)) != 1:
        errors.append(f"serves: one process plays one part of {', '.join(PARTS)}")
    if not settings.seeds:
        errors.append("seedNodes: without one the process finds nobody")
    here = {
        "front": settings.front,
        "readiness": settings.readiness,
        "control": settings.control,
        "dataDir": settings.data_dir,
    }
    for part in sorted(settings.serves & set(PARTS)):
        for name in NEEDS[part]:
            if here[name] is None:
                place = name if name == "dataDir" else f"bindings.{name}"
                errors.append(f"{place}: missing, and {part} needs it")
    return errors


def _command(value: str) -> str:
    words = value.split()
    if not words:
        raise t.DataError("names no program", value=value)
    if words[0] in HELPERS:
        raise t.DataError(f"begins with the helper {words[0]!r}", value=value)
    odd = sorted(set(value) & SHELL)
    if odd:
        raise t.DataError(f"no shell reads it, but it holds {' '.join(odd)}", value=value)
    return value


def _share(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1:
        raise t.DataError("is no number over 0 and up to 1", value=value)
    return float(value)


_ROLE = t.Dict(
    {
        t.Key("run"): t.String() & _command,
        t.Key("on"): t.String(),
        t.Key("share", optional=True): t.Any() & _share,
        t.Key("count", optional=True): t.Int(gte=1),
        t.Key("apart", optional=True): t.Bool(),
        t.Key("serves", default=list): t.List(t.Enum(*PARTS)),
    }
)
_DEPLOY = t.Dict(
    {
        t.Key("build", optional=True): t.String(),
        t.Key("packages", optional=True): t.List(t.Regexp(PACKAGE)),
        t.Key("roles"): t.Dict(allow_extra="*", allow_extra_trafaret=_ROLE),
    },
)


def check_deploy(path: Path) -> list[str]:
    """All errors of a deploy file."""
    text = _read(path)
    if isinstance(text, Err):
        return text.err_value
    try:
        data = tomllib.loads(text.ok_value.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [f"file: {error}"]
    try:
        roles: dict[str, Any] = _DEPLOY.check(data)["roles"]
    except t.DataError as error:
        return _places(error)
    errors = []
    for name, role in roles.items():
        if ("share" in role) == ("count" in role):
            errors.append(f"roles.{name}: takes one of share and count")
        if len(role["serves"]) > 1:
            errors.append(f"roles.{name}.serves: one process plays one part of {', '.join(PARTS)}")
        if ("storage" in role["serves"]) and role["on"] != "storage":
            errors.append(f"roles.{name}.serves: storage, which only machines of the class storage may")
    for part in PARTS:
        serving = [name for name, role in roles.items() if part in role["serves"]]
        if not serving:
            errors.append(f"roles: none serves {part}")
        for on, number in Tally(roles[name]["on"] for name in serving).items():
            if number > 1:
                errors.append(f"roles: {number} on the class {on} serve {part}, and one may")
    for on, number in Tally(role["on"] for role in roles.values() if role.get("share") == 1).items():
        if number > ROLES_MOST:
            errors.append(f"roles: {number} on each machine of the class {on}, and {ROLES_MOST} may")
    return errors


def _places(error: t.DataError) -> list[str]:
    lines = []

    def walk(said: Any, path: str) -> None:
        if isinstance(said, t.DataError):
            walk(said.error, path)
        elif isinstance(said, dict):
            for key, it in said.items():
                walk(it, f"{path}.{key}" if path else str(key))
        else:
            lines.append(f"{path or 'file'}: {said}")

    walk(error, "")
    return lines


def differences(before: Json, after: Json) -> list[str]:
    """What another configuration changes: items by name, then their fields."""
    lines = []
    for table in ("routeTable", "serviceTable"):
        old = {it["name"]: it for it in before.get(table, [])}
        new = {it["name"]: it for it in after.get(table, [])}
        lines += [f"- {table} {name}" for name in old if name not in new]
        lines += [f"+ {table} {name}" for name in new if name not in old]
        for name in (it for it in new if it in old):
            lines += _fields(f"{table} {name}", old[name], new[name])
    lines += _fields("limits", before.get("limits", {}), after.get("limits", {}))
    return lines + _fields("configuration", _plain(before), _plain(after))


def _plain(config: Json) -> Json:
    return {key: it for key, it in config.items() if key not in ("routeTable", "serviceTable", "limits")}


def _fields(place: str, old: Json, new: Json) -> list[str]:
    names = [*old, *(it for it in new if it not in old)]
    return [
        f"~ {place}: {name} {_said(old, name)} -> {_said(new, name)}"
        for name in names
        if _said(old, name) != _said(new, name)
    ]


def _said(fields: Json, name: str) -> str:
    return json.dumps(fields[name], sort_keys=True) if name in fields else "none"
