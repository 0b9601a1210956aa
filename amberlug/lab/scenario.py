"""Scenario files in TOML: world, load, partners and faults. Each error is reported with its location."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, field, fields
from pathlib import Path
from typing import Any, get_type_hints


class BadScenarioError(ValueError):
    """All errors of a scenario file, each with its location."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class World:
    """Duration, topology and resources of a simulation."""

    seconds: float = 30.0
    relays: int = 1
    destinations: int = 20
    endpoints: int = 2  # per destination
    slots: int = 32  # concurrent calls per relay
    max_open: int = 500
    network_ms: float = 0.3  # one way
    list_s: float = 0.5  # delay until relays receive a change of the endpoint list
    uneven: float = 0.0  # standard deviation of the logarithm of each relay's share of the load
    idle_s: float = 5.0  # idle time after which an endpoint closes a connection
    cpu_us: float = 0.0  # CPU time of a relay per submission, and the same again per completed call
    disk_mb: float = 3.0
    remembers: int = 1  # 0: learned state is lost when the process ends


@dataclass(frozen=True, slots=True)
class Load:
    """Client load: a Poisson process of submissions, and how clients react to a rejection."""

    per_second: float = 50.0
    skew: float = 0.8  # Zipf exponent of the popularity of destinations; 0 for uniform
    result: float = 0.56  # relative shares of the message classes
    entry: float = 0.22
    payment: float = 0.22
    returns: int = 3  # how often a client resubmits a message
    garbage: float = 0.0  # fraction of submissions cut off in the middle by the client closing the connection


@dataclass(frozen=True, slots=True)
class Partner:
    """Behaviour of endpoints when no fault is active."""

    answer_ms: float = 150.0  # median
    spread: float = 0.3  # standard deviation of the logarithm of response times
    pace_spread: float = 0.4  # the same between endpoints: spread of their mean speed
    concurrency: int = 8  # calls that an endpoint serves concurrently
    queue: int = 32  # calls queued at an endpoint; further calls are rejected
    rate: float = 0.0  # listed rate limit of a destination in calls per second; 0 for unlimited
    tells_wait: float = 0.5  # fraction of rejections that carry a Retry-After
    wait_ms: float = 400.0
    errors: float = 0.0  # fraction of calls answered with an error
    resets: float = 0.0  # fraction of calls on reused connections that are reset
    lost: float = 0.0  # fraction of calls that are executed but whose response is lost with the connection
    garbage: float = 0.0  # fraction of calls with an unparsable response; half of them were executed


FAULTS = (
    "down",
    "silent",
    "shut",
    "errors",
    "slow",
    "drain",
    "restart",
    "kill",
    "burst",
    "limit",
    "deaf",
    "cut",
)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault with a start time and a duration."""

    what: str = ""
    at: float = 0.0
    lasts: float = 5.0
    destinations: int = 1  # how many of the most popular ones are affected
    part: float = 0.6  # failing calls (errors), rate left (limit); slowdown (slow) or load (burst) factor
    relay: int = 0  # first relay of restart, kill, deaf (no list updates) or cut (no partner reachable)
    relays: int = 1  # how many relays are affected, one after the other
    over: float = 0.0  # seconds between the first and the last relay


@dataclass(frozen=True, slots=True)
class Scenario:
    """A complete scenario."""

    name: str
    world: World = field(default_factory=World)
    load: Load = field(default_factory=Load)
    partner: Partner = field(default_factory=Partner)
    faults: tuple[Fault, ...] = ()


PARTS: dict[str, type] = {"world": World, "load": Load, "partner": Partner}


def read(path: Path) -> Scenario:
    """Read a scenario file. Raises `BadScenarioError` with all errors; `OSError` if it is unreadable."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadScenarioError([str(error)]) from None
    return scenario_of(path.stem, data)


def scenario_of(name: str, data: Mapping[str, Any]) -> Scenario:
    """Validate parsed TOML data and build a scenario from it."""
    problems = [f"{key}: no such part" for key in data if key not in (*PARTS, "fault")]
    parts = {key: _part(kind, data.get(key, {}), key, problems) for key, kind in PARTS.items()}
    listed = data.get("fault", [])
    if not isinstance(listed, list):
        problems.append("fault: not a list of tables")
        listed = []
    faults = tuple(_part(Fault, it, f"fault[{number}]", problems) for number, it in enumerate(listed))
    problems += [
        f"fault[{number}].what: {it.what!r} is none of {', '.join(FAULTS)}"
        for number, it in enumerate(faults)
        if it.what not in FAULTS
    ]
    if problems:
        raise BadScenarioError(problems)
    return Scenario(name, **parts, faults=faults)


def _part(kind: type, told: Any, where: str, problems: list[str]) -> Any:
    if not isinstance(told, Mapping):
        problems.append(f"{where}: not a table")
        return kind()
    types, given = get_type_hints(kind), {}
    for name, value in told.items():
        want = types.get(name)
        if want is None:
            problems.append(f"{where}.{name}: no such setting")
        elif want is str and isinstance(value, str):
            given[name] = value
        elif want is str or isinstance(value, bool) or not isinstance(value, int | float):
            problems.append(f"{where}.{name}: {value!r} is not {'text' if want is str else 'a number'}")
        elif not 0 <= value < 1e9 or (want is int and value != int(value)):
            problems.append(f"{where}.{name}: {value!r} is out of bounds")
        else:
            given[name] = want(value)
    assert all(it.default is not MISSING for it in fields(kind))
    return kind(**given)
