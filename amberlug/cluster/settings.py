"""The settings file of a node: validated as a whole and exposed as one immutable value."""

from __future__ import annotations

from dataclasses import field
from pathlib import Path

import trafaret as t
import yaml
from result import Err, Ok, Result

from amberlug.cluster.interfaces import Json
from amberlug.cluster.values import value

SETTINGS_FILE_VARIABLE = "AMBERLUG_NODE_FILE"  # environment variable that holds the path of the file
DEFAULT_SETTINGS_FILE = "/etc/amberlug/boot.yaml"
MAX_PORT = 65535

HostPort = tuple[str, int]
"""An address: host name or IP address, and port."""

FailureDomain = tuple[str, str]
"""The zone and the region of a node."""


def _parse_address(value: str) -> HostPort:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise t.DataError("no address of the form host:port", value=value)
    return host, int(port)


_ADDRESS = t.String() & _parse_address
_NOT_NEGATIVE = t.ToFloat(gte=0)
# Defaults of the configurable bounds; the suffix of a name is its unit.
_DEFAULT_BOUNDS = {
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
_DEFAULT_TOLERANCE = {"machines": 1, "zones": 0, "regions": 0}

# `machineClass`, `counted`, `diskMb` and `fileDescriptors` are validated but not used.
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
        t.Key("internalPorts"): t.List(t.ToInt(gte=1, lte=MAX_PORT), min_length=2, max_length=2),
        t.Key("seedNodes", default=list): t.List(_ADDRESS),
        t.Key("firstStart", default=False): t.Bool(),
        t.Key("counted", default=False): t.Bool(),
        t.Key("dataDir", default=None): t.Null() | t.String(),
        t.Key("heartbeatMs", default=1000): t.ToFloat(gt=0),
        t.Key("faultTolerance", default=dict): t.Dict(
            {t.Key(name, default=value): t.ToInt(gte=0) for name, value in _DEFAULT_TOLERANCE.items()},
            ignore_extra="*",
        ),
        t.Key("bounds", default=dict): t.Dict(
            {t.Key(name, default=value): _NOT_NEGATIVE for name, value in _DEFAULT_BOUNDS.items()},
            ignore_extra="*",
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


@value
class Tolerance:
    """The failures to survive without data loss: a number of nodes, zones or regions at a time."""

    machines: int = 1
    zones: int = 0
    regions: int = 0

    def holds(self, domains: list[FailureDomain]) -> bool:
        """Whether at least one replica survives every tolerated failure.

        :param domains: the failure domain of each node with a replica.
        """
        return (
            len(domains) > self.machines
            and len({zone for zone, _ in domains}) > self.zones
            and len({region for _, region in domains}) > self.regions
        )


@value
class Settings:
    """The settings of a node.

    :param ip: IP address on which the node listens for peers.
    :param serves: the roles of the process.
    :param front: listen address of the ingest API for clients.
    :param readiness: listen address of the readiness probe and the counters page.
    :param control: listen address of the control API for operators and endpoints.
    :param ports: port range for peers; the first free port is used.
    :param seeds: control-plane nodes used to discover the cluster.
    :param first_start: whether this start bootstraps the control plane.
    :param bounds: bounds by their names in the file, in the unit of the name suffix.
    """

    name: str
    ip: str
    zone: str
    region: str
    serves: frozenset[str]
    front: HostPort | None
    readiness: HostPort | None
    control: HostPort | None
    ports: range
    seeds: tuple[HostPort, ...]
    first_start: bool
    data_dir: str | None
    heartbeat_s: float
    tolerance: Tolerance
    memory_mb: float
    bounds: dict[str, float] = field(hash=False)

    def seconds(self, name: str) -> float:
        """Return a bound in seconds, whatever its unit in the file.

        :raises KeyError: if there is no such bound.
        """
        value = self.bounds[name]
        return value / 1000 if name.endswith("Ms") else value


@value
class SettingsError:
    """An error in a settings file.

    :param path: the path of the setting, joined by dots; `file` if the error concerns the whole file.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line."""
        return f"{self.path}: {self.reason}"


def _settings_errors(error: t.DataError, path: str = "") -> list[SettingsError]:
    """Flatten a tree of validation errors, in schema order."""
    if not isinstance(error.error, dict):
        return [SettingsError(path or "file", str(error.error))]
    return [
        leaf
        for key, child in error.error.items()
        for leaf in _settings_errors(child, f"{path}.{key}" if path else str(key))
    ]


def _from_file(data: Json) -> Settings:
    first_port, last_port = data["internalPorts"]
    bindings = data["bindings"]
    return Settings(
        name=data["nodeName"],
        ip=data["ipAddress"],
        zone=data["zone"],
        region=data["region"] or data["zones"].get(data["zone"], ""),
        serves=frozenset(data["serves"]),
        front=bindings.get("front"),
        readiness=bindings.get("readiness"),
        control=bindings.get("control"),
        ports=range(first_port, max(first_port, last_port) + 1),
        seeds=tuple(data["seedNodes"]),
        first_start=data["firstStart"],
        data_dir=data["dataDir"],
        heartbeat_s=data["heartbeatMs"] / 1000,
        tolerance=Tolerance(**data["faultTolerance"]),
        memory_mb=data["limits"]["memoryMb"],
        bounds={name: float(value) for name, value in data["bounds"].items()},
    )


def parse_settings(text: str) -> Result[Settings, list[SettingsError]]:
    """Parse the text of a settings file, collecting all errors."""
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        data = yaml.load(text, Loader=loader)
    except yaml.YAMLError as error:
        return Err([SettingsError("file", " ".join(str(error).split()))])
    try:
        return Ok(_from_file(SCHEMA.check(data)))
    except t.DataError as error:
        return Err(_settings_errors(error))


def read_settings_file(path: str) -> Result[Settings, list[SettingsError]]:
    """Read and parse a settings file; a file that cannot be read is reported as an error as well."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([SettingsError("file", str(error))])
    return parse_settings(text)
