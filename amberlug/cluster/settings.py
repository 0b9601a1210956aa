"""What a process is told: the settings file, checked whole, as one immutable value."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trafaret as t
import yaml
from result import Err, Ok, Result

VARIABLE = "AMBERLUG_NODE_FILE"
DEFAULT = "/etc/amberlug/boot.yaml"


def _address(value: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise t.DataError("no address of the form host:port", value=value)
    return host, int(port)


_ADDRESS = t.String() & _address
_POSITIVE = t.ToFloat(gte=0)
_BOUNDS = {
    "seedLagS": 3.0,
    "reuseAfterS": 2.0,
    "contactMs": 4000.0,
    "ackMs": 5000.0,
    "catchUpS": 5.0,
    "drainMs": 3000.0,
    "graceS": 6.0,
    "configApplyMs": 3000.0,
    "completedS": 10.0,
    "statusTtlS": 120.0,
    "earlyMs": 100.0,
    "ceilingWindowS": 5.0,
    "ceilingOver": 1.1,
}
_TOLERANCE = {"machines": 1, "zones": 0, "regions": 0}

SCHEMA = t.Dict(
    {
        t.Key("nodeName"): t.String(),
        t.Key("machineClass", default=""): t.String(allow_blank=True),
        t.Key("serves", default=list): t.List(t.String()),
        t.Key("ipAddress"): t.String(),
        t.Key("zone"): t.String(),
        t.Key("region", default=""): t.String(allow_blank=True),
        t.Key("zones", default=dict): t.Mapping(t.String(), t.String(allow_blank=True)),
        t.Key("bindings", default=dict): t.Mapping(t.String(), _ADDRESS),
        t.Key("internalPorts"): t.List(t.ToInt(gte=1, lte=65535), min_length=2, max_length=2),
        t.Key("seedNodes", default=list): t.List(_ADDRESS),
        t.Key("firstStart", default=False): t.Bool(),
        t.Key("counted", default=False): t.Bool(),
        t.Key("dataDir", default=None): t.Null() | t.String(),
        t.Key("heartbeatMs", default=1000): t.ToFloat(gt=0),
        t.Key("faultTolerance", default=dict): t.Dict(
            {t.Key(name, default=value): t.ToInt(gte=0) for name, value in _TOLERANCE.items()},
            ignore_extra="*",
        ),
        t.Key("bounds", default=dict): t.Dict(
            {t.Key(name, default=value): _POSITIVE for name, value in _BOUNDS.items()}, ignore_extra="*"
        ),
        t.Key("limits", default=dict): t.Dict(
            {
                t.Key("memoryMb", default=300): t.ToFloat(gt=0),
                t.Key("diskMb", default=0): t.ToFloat(gte=0),
                t.Key("fileDescriptors", default=1024): t.ToInt(gt=0),
            },
            ignore_extra="*",
        ),
    },
    ignore_extra="*",
)


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once with all rules kept: so many machines, or zones, or regions."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    def holds(self, places: list[tuple[str, str]]) -> bool:
        """Whether copies at machines in these (zone, region) outlast what may be lost."""
        return (
            len(places) > self.machines
            and len({zone for zone, _ in places}) > self.zones
            and len({region for _, region in places}) > self.regions
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings file; times in seconds."""

    name: str
    ip: str
    zone: str
    region: str
    serves: frozenset[str]
    machine_class: str
    front: tuple[str, int] | None
    readiness: tuple[str, int] | None
    control: tuple[str, int] | None
    ports: range
    seeds: tuple[tuple[str, int], ...]
    first_start: bool
    data_dir: str | None
    heartbeat_s: float
    tolerance: Tolerance
    memory_mb: float
    disk_mb: float
    bounds: dict[str, float] = field(hash=False)
    regions: dict[str, str] = field(hash=False, default_factory=dict)

    def seconds(self, name: str) -> float:
        """A bound in seconds, whatever its unit in the file."""
        value = self.bounds[name]
        return value / 1000 if name.endswith("Ms") else value


def _errors(error: t.DataError, path: str = "") -> list[str]:
    said = error.error
    if isinstance(said, dict):
        return [
            line for key, it in said.items() for line in _errors(it, f"{path}.{key}" if path else str(key))
        ]
    return [f"{path or 'file'}: {said}"]


def _build(data: dict[str, Any]) -> Settings:
    low, high = data["internalPorts"]
    bindings = data["bindings"]
    return Settings(
        name=data["nodeName"],
        ip=data["ipAddress"],
        zone=data["zone"],
        region=data["region"] or data["zones"].get(data["zone"], ""),
        serves=frozenset(data["serves"]),
        machine_class=data["machineClass"],
        front=bindings.get("front"),
        readiness=bindings.get("readiness"),
        control=bindings.get("control"),
        ports=range(low, max(low, high) + 1),
        seeds=tuple(data["seedNodes"]),
        first_start=data["firstStart"],
        data_dir=data["dataDir"],
        heartbeat_s=data["heartbeatMs"] / 1000,
        tolerance=Tolerance(**data["faultTolerance"]),
        memory_mb=data["limits"]["memoryMb"],
        disk_mb=data["limits"]["diskMb"],
        bounds={name: float(value) for name, value in data["bounds"].items()},
        regions=dict(data["zones"]),
    )


def read(text: str) -> Result[Settings, list[str]]:
    """Read a settings file; all of its errors with their places."""
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        data = yaml.load(text, Loader=loader)
    except yaml.YAMLError as error:
        return Err([f"file: {' '.join(str(error).split())}"])
    try:
        return Ok(_build(SCHEMA.check(data)))
    except t.DataError as error:
        return Err(_errors(error))


def read_file(path: str) -> Result[Settings, list[str]]:
    """Read the settings file at a path."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"file: {error}"])
    return read(text)
