"""`amberlug check`: validates a configuration, an MQTT mapping or a fleet file."""

from __future__ import annotations

import json
import sys
import tomllib
from dataclasses import asdict
from pathlib import Path

from amberlug.platform.checking import Problem, check
from amberlug.policy.settings import read_settings


def main(path: Path, config: Path | None, as_json: bool) -> int:
    """Print all problems of a file; returns 1 if there are any, 2 if it cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
        beside = config.read_text(encoding="utf-8") if config is not None else None
    except (OSError, UnicodeDecodeError) as error:
        print(f"amberlug: {error}", file=sys.stderr)
        return 2
    found = _check_toml(path, text, beside) if path.suffix == ".toml" else check(text)
    if as_json:
        print(json.dumps({"file": str(path), "problems": [asdict(it) for it in found]}))
    else:
        for it in found:
            print(f"{path}: {it.where}: {it.what}")
        if not found:
            print(f"{path}: no problems")
    return 1 if found else 0


def _check_toml(path: Path, text: str, beside: str | None) -> list[Problem]:
    """The problems of a fleet file, recognized by its members, or else of an MQTT mapping.

    It is also checked against the settings of a configuration if one is given.
    """
    settings = None
    if beside is not None:
        if wrong := check(beside):
            return [Problem(f"--config {it.where}", it.what) for it in wrong]
        settings = read_settings(json.loads(beside)["settings"])
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [Problem("the whole", str(error))]
    if "member" in table:
        from amberlug.peers import fleet

        read, problems = fleet.read(table, path.parent)
        classes = set(read.classes) if read is not None and settings is not None else set()
        unknown = classes - set(settings.classes) if settings is not None else set()
        return [*problems, *(Problem(f"classes.{name}", "no such class") for name in sorted(unknown))]
    from amberlug.mqtt import mapping

    return mapping.read(table, settings)[1]
