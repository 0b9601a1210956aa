"""What a relay is told at its start, and again on SIGHUP: reads it, and shares out the limits in it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from amberlug.core.endpoint_list import CHUNK_BYTES, parse_address, read_list_update, read_object_with_list
from amberlug.core.journal import Durability
from amberlug.core.messages import MAX_BODY_BYTES
from amberlug.core.ports import Address, EndpointListUpdate
from amberlug.learning import read_key
from amberlug.policy.interface import Settings
from amberlug.policy.settings import read_settings

SPARE = 48  # descriptors for watch, notices, files and signals, and for what is accepted or dialed meanwhile
CLIENTS = (
    0.6  # part of the others for clients, who hold a third of all at most for requests; the rest for calls
)
BODIES = 0.25  # part of the memory that the bodies being read may take


@dataclass(frozen=True, slots=True)
class Limits:
    """How much each side of the relay may hold at once, out of what the deployment allows."""

    clients: int  # connections of clients
    links: int  # connections to endpoints
    disk_bytes: int


def read_limits(data: Any) -> Limits:
    """Share out the limits; `ValueError` where they are too tight to serve."""
    sockets = int(float(data["sockets"])) - SPARE
    clients = min(int(sockets * CLIENTS), int(float(data["memory_mb"]) * 1_000_000 * BODIES / MAX_BODY_BYTES))
    links = sockets - int(sockets * CLIENTS)
    if clients < 1 or links < 1:
        raise ValueError("the limits leave no room to serve")
    return Limits(clients, links, int(float(data["disk_mb"]) * 1_000_000))


@dataclass(frozen=True, slots=True)
class Config:
    """What a relay is told at its start."""

    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known: EndpointListUpdate
    settings: Settings
    durability: Durability
    learning_key: bytes  # empty where none is set


def read_learning_key(data: Mapping[str, Any]) -> bytes:
    """Read the key that vouches for what was learned: an operator's file, which the platform leaves out."""
    path = data.get("learning_key_file")
    return b"" if path is None else read_key(Path(path))


def read_durability(data: Mapping[str, Any]) -> Durability:
    """Read what a message that was taken on outlasts: an operator's choice, which the platform leaves out."""
    return Durability(data.get("durability", Durability.PROCESS.value))


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration; `ValueError` or `OSError` where it is bad or missing."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ValueError("ROUTER_CONFIG is not set")
    try:
        with Path(path).open("rb") as file:
            data = read_object_with_list(iter(partial(file.read, CHUNK_BYTES), b""), "known")
        limits, settings = read_limits(data["limits"]), read_settings(data["settings"])
        # Guards against calls that the module starts and no connection can carry.
        settings = replace(settings, slots=min(settings.slots, limits.links))
        known = read_list_update(data["known"], settings.kinds)
        state = environ.get("ROUTER_STATE")
        if not state or not Path(state).is_dir():
            raise ValueError("ROUTER_STATE is not a folder")
        return Config(
            listen=parse_address(environ.get("ROUTER_LISTEN") or data["listen"]),
            discovery=_discovery(environ, data),
            state=Path(state),
            seed=int(str(data["seed"]), 16),
            limits=limits,
            known=known,
            settings=settings,
            durability=read_durability(data),
            learning_key=read_learning_key(data),
        )
    except (KeyError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ValueError(f"the configuration is malformed: {error!r}") from None


def _discovery(environ: Mapping[str, str], data: Any) -> Address:
    """Tell where discovery is: by the file, which may be newer than the environment of the start."""
    return parse_address(data["discovery"] if "discovery" in data else environ.get("ROUTER_DISCOVERY", ""))
