"""Checks of the files that operators write: they report all errors, each with the path of its setting."""

from __future__ import annotations

import tomllib
from collections import Counter
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

import trafaret as t
from result import Err, Ok, Result

from amberlug.cluster.control.config_validation import parse, validate
from amberlug.cluster.control.state_entries import ConfigDocument
from amberlug.cluster.settings import Settings, read_settings_file

ROLES = ("edge", "storage", "control_plane")  # roles that a process may serve
# The settings that a process requires to serve a role.
REQUIRED_SETTINGS = {
    "edge": ("front", "readiness"),
    "storage": ("dataDir",),
    "control_plane": ("control", "dataDir"),
}
SHELL_CHARACTERS = frozenset("|&;<>$`\"'*?~")  # have no effect, since commands run without a shell
WRAPPER_PROGRAMS = frozenset(("env", "npx", "sh", "bash"))  # the platform starts the program directly
PACKAGE_NAME = r"[a-z0-9][a-z0-9+.-]+\Z"  # Debian policy manual, section 5.6.1
MAX_ROLES_PER_MACHINE = 2
STORAGE_CLASS = "storage"  # the machine class of storage nodes


def _read_bytes(path: Path) -> Result[bytes, list[str]]:
    try:
        return Ok(path.read_bytes())
    except OSError as error:
        return Err([f"file: {error.strerror or error}"])


# -- configurations and settings


def read_config(path: Path) -> Result[ConfigDocument, list[str]]:
    """Read an operator's configuration and validate it as a control-plane node does."""
    content = _read_bytes(path)
    if isinstance(content, Err):
        return content
    document = parse(content.ok_value).and_then(validate)
    return document.map_err(lambda errors: [str(error) for error in errors])


def check_settings(path: Path) -> list[str]:
    """List all errors of a settings file, including those that would keep the process from starting."""
    read = read_settings_file(str(path))
    if isinstance(read, Err):
        return [str(error) for error in read.err_value]
    return list(_settings_errors(read.ok_value))


def _settings_errors(settings: Settings) -> Iterator[str]:
    names = ", ".join(ROLES)
    for role in sorted(settings.serves - set(ROLES)):
        yield f"serves: {role!r} is not one of {names}"
    served = sorted(settings.serves & set(ROLES))
    if len(served) != 1:
        yield f"serves: one process serves exactly one role of {names}"
    if not settings.seeds:
        yield "seedNodes: at least one is required to find the other nodes"
    for role in served:
        for name in REQUIRED_SETTINGS[role]:
            if _setting(settings, name) is None:
                setting_path = name if name == "dataDir" else f"bindings.{name}"
                yield f"{setting_path}: missing, but required to serve {role}"


def _setting(settings: Settings, name: str) -> object:
    by_name = {
        "front": settings.front,
        "readiness": settings.readiness,
        "control": settings.control,
        "dataDir": settings.data_dir,
    }
    return by_name[name]


# -- deploy files


def _check_command(value: str) -> str:
    arguments = value.split()
    if not arguments:
        raise t.DataError("does not name a program", value=value)
    if arguments[0] in WRAPPER_PROGRAMS:
        raise t.DataError(f"starts with the wrapper program {arguments[0]!r}", value=value)
    found = sorted(set(value) & SHELL_CHARACTERS)
    if found:
        raise t.DataError(f"runs without a shell, but contains {' '.join(found)}", value=value)
    return value


def _check_share(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value <= 1:
        raise t.DataError("must be a number greater than 0 and at most 1", value=value)
    return float(value)


_ROLE = t.Dict(
    {
        t.Key("run"): t.String() & _check_command,
        t.Key("on"): t.String(),
        t.Key("share", optional=True): t.Any() & _check_share,
        t.Key("count", optional=True): t.Int(gte=1),
        t.Key("apart", optional=True): t.Bool(),
        t.Key("serves", default=list): t.List(t.Enum(*ROLES)),
    }
)
_DEPLOY = t.Dict(
    {
        t.Key("build", optional=True): t.String(),
        t.Key("packages", optional=True): t.List(t.Regexp(PACKAGE_NAME)),
        t.Key("roles"): t.Dict(allow_extra="*", allow_extra_trafaret=_ROLE),
    },
)


class _DeployRole(NamedTuple):
    """One role of a deploy file."""

    name: str
    machine_class: str
    serves: tuple[str, ...]
    has_share: bool
    has_count: bool
    runs_on_all: bool  # runs on each machine of its class

    @classmethod
    def from_file(cls, name: str, role: Mapping[str, Any]) -> _DeployRole:
        """Convert a role that was validated against the schema."""
        return cls(
            name=name,
            machine_class=role["on"],
            serves=tuple(role["serves"]),
            has_share="share" in role,
            has_count="count" in role,
            runs_on_all=role.get("share") == 1,
        )


def check_deploy(path: Path) -> list[str]:
    """List all errors of a deploy file."""
    text = _read_bytes(path)
    if isinstance(text, Err):
        return text.err_value
    try:
        data = tomllib.loads(text.ok_value.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [f"file: {error}"]
    try:
        checked = _DEPLOY.check(data)["roles"]
    except t.DataError as error:
        return list(_schema_errors(error))
    roles = [_DeployRole.from_file(name, role) for name, role in checked.items()]
    return [*_role_errors(roles), *_machine_class_errors(roles)]


def _schema_errors(error: Any, path: str = "") -> Iterator[str]:
    """Flatten a tree of schema errors, in the order of the schema."""
    if isinstance(error, t.DataError):
        yield from _schema_errors(error.error, path)
    elif isinstance(error, dict):
        for key, child in error.items():
            yield from _schema_errors(child, f"{path}.{key}" if path else str(key))
    else:
        yield f"{path or 'file'}: {error}"


def _role_errors(roles: list[_DeployRole]) -> Iterator[str]:
    for role in roles:
        if role.has_share == role.has_count:
            yield f"roles.{role.name}: takes one of share and count"
        if len(role.serves) > 1:
            yield f"roles.{role.name}.serves: one process serves exactly one role of {', '.join(ROLES)}"
        if "storage" in role.serves and role.machine_class != STORAGE_CLASS:
            yield f"roles.{role.name}.serves: only machines of the class storage may serve storage"


def _machine_class_errors(roles: list[_DeployRole]) -> Iterator[str]:
    """Check all roles together, by the machine class on which they run."""
    for served in ROLES:
        classes = Counter(role.machine_class for role in roles if served in role.serves)
        if not classes:
            yield f"roles: none serves {served}"
        for machine_class, count in classes.items():
            if count > 1:
                yield f"roles: {count} on the class {machine_class} serve {served}; at most one may"
    for machine_class, count in Counter(role.machine_class for role in roles if role.runs_on_all).items():
        if count > MAX_ROLES_PER_MACHINE:
            yield (
                f"roles: {count} on each machine of the class {machine_class}; "
                f"at most {MAX_ROLES_PER_MACHINE} may"
            )
