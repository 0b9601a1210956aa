"""A scenario: a TOML file that tells world, load and faults. Every error is told with its place."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import MISSING, dataclass, field, fields
from pathlib import Path
from typing import Any, get_type_hints


class BadScenarioError(ValueError):
    """All that is wrong with a scenario, each with its place."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class World:
    """How long it is played, and what there is."""

    seconds: float = 30.0
    relays: int = 1
    destinations: int = 20
    endpoints: int = 2  # of each destination
    slots: int = 32  # of each relay
    max_open: int = 500
    network_ms: float = 0.3  # one way
    list_s: float = 0.5  # until relays hear of a change of the list
    uneven: float = 0.0  # of the logarithm of what each relay gets
    idle_s: float = 5.0  # that a connection idles until its endpoint closes it
    cpu_us: float = 0.0  # of a relay's core for a hand-in, and as much for the end of a call
    disk_mb: float = 3.0
    remembers: int = 1  # 0: what a relay has learned is lost with its process


@dataclass(frozen=True, slots=True)
class Load:
    """What clients hand in: a Poisson process, and what they do with a refusal."""

    per_second: float = 50.0
    skew: float = 0.8  # exponent of how unevenly destinations are wanted; 0 for evenly
    result: float = 0.56  # parts of the classes
    entry: float = 0.22
    payment: float = 0.22
    returns: int = 3  # times that a client comes again
    garbage: float = 0.0  # part of hand-ins of which only a part comes, and then the client's end


@dataclass(frozen=True, slots=True)
class Partner:
    """How endpoints behave where no fault says otherwise."""

    answer_ms: float = 150.0  # median
    spread: float = 0.3  # of the logarithm of answer times
    pace_spread: float = 0.4  # of that between endpoints
    concurrency: int = 8  # calls that an endpoint serves at once
    queue: int = 32  # calls that wait there; more are turned away
    rate: float = 0.0  # calls a second that a destination takes, as listed; 0 for any number
    tells_wait: float = 0.5  # part of refusals that tell a wait
    wait_ms: float = 400.0
    errors: float = 0.0  # part of calls answered with an error
    resets: float = 0.0  # part of calls on used connections that are reset
    lost: float = 0.0  # part of calls whose answer is lost with its connection, though they were served
    garbage: float = 0.0  # part of calls whose answer can't be read: half of them were served


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
    """Something that happens at a time, for a while."""

    what: str = ""
    at: float = 0.0
    lasts: float = 5.0
    destinations: int = 1  # the most wanted ones
    part: float = 0.6  # of calls that fail (errors), of the rate (limit); times slower (slow) or more (burst)
    relay: int = 0  # the first that is restarted, killed, hears no list (deaf) or reaches no partner (cut)
    relays: int = 1  # that many, one after the other
    over: float = 0.0  # seconds, from the first to the last


@dataclass(frozen=True, slots=True)
class Scenario:
    """All of it."""

    name: str
    world: World = field(default_factory=World)
    load: Load = field(default_factory=Load)
    partner: Partner = field(default_factory=Partner)
    faults: tuple[Fault, ...] = ()


PARTS: dict[str, type] = {"world": World, "load": Load, "partner": Partner}


def read(path: Path) -> Scenario:
    """Read a scenario's file; `BadScenarioError` with all that is wrong, `OSError` where there is none."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadScenarioError([str(error)]) from None
    return scenario_of(path.stem, data)


def scenario_of(name: str, data: Mapping[str, Any]) -> Scenario:
    """Make a scenario of what a file holds."""
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
            problems.append(f"{where}.{name}: {value!r} is no {'text' if want is str else 'number'}")
        elif not 0 <= value < 1e9 or (want is int and value != int(value)):
            problems.append(f"{where}.{name}: {value!r} is out of bounds")
        else:
            given[name] = want(value)
    assert all(it.default is not MISSING for it in fields(kind))
    return kind(**given)
