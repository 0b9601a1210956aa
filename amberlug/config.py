"""What a relay is told at its start, and again on SIGHUP: reads it, and shares out the limits in it."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from amberlug.discovery import News, address, read_news
from stoatusher.interface import Settings
from stoatusher.settings import read_settings


@dataclass(frozen=True, slots=True)
class Config:
    """What a relay is told at its start."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    disk_bytes: int
    known: News
    settings: Settings


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration; `ValueError` or `OSError` where it is bad or missing."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ValueError("ROUTER_CONFIG is not set")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
        settings = read_settings(data["settings"])
        known = read_news(data["known"], settings.kinds)
        state = environ.get("ROUTER_STATE")
        if not state or not Path(state).is_dir():
            raise ValueError("ROUTER_STATE is not a folder")
        return Config(
            listen=address(environ.get("ROUTER_LISTEN") or data["listen"]),
            discovery=_discovery(environ, data),
            state=Path(state),
            seed=int(str(data["seed"]), 16),
            disk_bytes=int(float(data["limits"]["disk_mb"]) * 1_000_000),
            known=known,
            settings=settings,
        )
    except (KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ValueError(f"the configuration is malformed: {error!r}") from None


def _discovery(environ: Mapping[str, str], data: Any) -> tuple[str, int]:
    """Tell where discovery is: by the file, which may be newer than the environment of the start."""
    return address(data["discovery"] if "discovery" in data else environ.get("ROUTER_DISCOVERY", ""))
