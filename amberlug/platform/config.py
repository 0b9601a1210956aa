"""Reads a relay's configuration, at startup and on SIGHUP, and divides up the resource limits in it."""

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

# File descriptors for the watch, notices, files, signals, and connections being accepted or dialed.
RESERVED_DESCRIPTORS = 48
# Fraction of the other descriptors for client connections, which use at most a third of all of them for
# requests; the rest is for calls to endpoints.
CLIENT_FRACTION = 0.6
BODY_MEMORY_FRACTION = 0.25  # of the memory limit, for request bodies that are being read


@dataclass(frozen=True, slots=True)
class Limits:
    """What each side of the relay may use at once, within the deployment's limits."""

    client_connections: int
    endpoint_connections: int
    disk_bytes: int


def read_limits(data: Any) -> Limits:
    """Divide up the limits; raises `ValueError` if they are too low to serve with."""
    descriptors = int(float(data["sockets"])) - RESERVED_DESCRIPTORS
    for_clients = int(descriptors * CLIENT_FRACTION)
    body_bytes = float(data["memory_mb"]) * 1_000_000 * BODY_MEMORY_FRACTION
    client_connections = min(for_clients, int(body_bytes / MAX_BODY_BYTES))
    endpoint_connections = descriptors - for_clients
    if client_connections < 1 or endpoint_connections < 1:
        raise ValueError("limits are too low: no client or no endpoint connection is left")
    return Limits(client_connections, endpoint_connections, int(float(data["disk_mb"]) * 1_000_000))


@dataclass(frozen=True, slots=True)
class Config:
    """A relay's configuration."""

    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known: EndpointListUpdate
    settings: Settings
    durability: Durability
    learning_key: bytes  # empty if none is set


def read_learning_key(data: Mapping[str, Any]) -> bytes:
    """Read the key that authenticates learned data: set by operators only, never by the platform."""
    path = data.get("learning_key_file")
    return b"" if path is None else read_key(Path(path))


def read_durability(data: Mapping[str, Any]) -> Durability:
    """Read what accepted messages must survive: set by operators only, never by the platform."""
    return Durability(data.get("durability", Durability.PROCESS.value))


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration; raises `ValueError` or `OSError` if it is invalid or missing."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ValueError("ROUTER_CONFIG is not set")
    try:
        with Path(path).open("rb") as file:
            data = read_object_with_list(iter(partial(file.read, CHUNK_BYTES), b""), "known")
        limits, settings = read_limits(data["limits"]), read_settings(data["settings"])
        # Keeps the decision module from starting calls for which there is no connection.
        settings = replace(settings, slots=min(settings.slots, limits.endpoint_connections))
        known = read_list_update(data["known"], settings.kinds)
        state = environ.get("ROUTER_STATE")
        if not state or not Path(state).is_dir():
            raise ValueError("ROUTER_STATE is not a directory")
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
        raise ValueError(f"malformed configuration: {error!r}") from None


def _discovery(environ: Mapping[str, str], data: Any) -> Address:
    """Return discovery's address; the file takes precedence, as it may be newer than the environment."""
    return parse_address(data["discovery"] if "discovery" in data else environ.get("ROUTER_DISCOVERY", ""))
