"""The history of a run: what clients, endpoints and the operator observed, and which faults were injected."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock


@dataclass(slots=True, eq=False)
class Sent:
    """One attempt of a client to submit a message."""

    attempt: str
    target: str
    key: str
    body: bytes
    at: float
    first_at: float  # time of the first attempt for the same message
    due_at: float
    process: str = ""  # the edge process that answered
    status: int = 0
    answered_at: float = 0.0
    name: str = ""  # message id, once accepted


@dataclass(slots=True, eq=False)
class Run:
    """One delivery of a message to an endpoint."""

    attempt: str
    endpoint: str
    service: str
    process: str  # the edge process that sent it
    sent: float
    arrived: float
    seconds: float  # time remaining, as told to the endpoint
    body: bytes
    began: float | None = None
    ended: float | None = None
    what: str = ""  # done, dead, failed, stopped
    seal: str = ""
    read: float | None = None  # when the edge process read the response


@dataclass(slots=True, eq=False)
class Version:
    """One version of the configuration that an operator submitted."""

    edition: int
    base: int
    config: Json
    valid: bool
    at: float
    status: int = 0  # of the definite response, if any
    answered_at: float = 0.0
    taken_at: float = 1e9  # first acknowledgement by a control-plane node, even if that response was lost
    refusals: list[tuple[float, int, str]] = field(default_factory=list)  # time, status, node name
    until: float = 1e9  # when the operator got a definite response, or gave up
    may_use_any_node: bool = True  # whether retries went to any control-plane node, not just to one
    services: dict[str, str] = field(default_factory=dict)  # service name by path prefix
    retention_s: dict[str, float] = field(default_factory=dict)  # by path prefix

    @property
    def is_acknowledged(self) -> bool:
        """Whether the operator got a 200 for this version."""
        return self.status == 200


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault or planned operation on a machine."""

    at: float
    until: float
    planned: bool
    is_in_events: bool = False  # whether events record all of it: machine, links and times


class What(Enum):
    """What happened to the process of a machine, or to its connections."""

    START = "start"
    END = "end"  # of the process, for any reason
    TERM = "term"  # orderly shutdown requested
    FREEZE = "freeze"
    THAW = "thaw"
    RESET = "reset"  # connections reset


@dataclass(frozen=True, slots=True)
class Event:
    """An event at one machine."""

    at: float
    machine: str
    what: What


@dataclass(frozen=True, slots=True)
class MachineInfo:
    """A machine of the deployment, as the checks see it."""

    name: str
    kind: str  # edge, store or core


@dataclass(slots=True, eq=False)
class Call:
    """One request of an operator to a control-plane node, and its response."""

    what: str  # read, retire, retire-read
    name: str  # of the storage node concerned
    core: str
    at: float
    status: int = 0
    answered_at: float = 0.0
    said: Json | None = None


@dataclass(frozen=True, slots=True)
class StatusReply:
    """The response to a query for the status or the body of a message."""

    name: str
    asked: float
    told: float
    status: int
    condition: str
    seal: str
    body: bytes | None = None
    is_of_body: bool = False

    @property
    def says_ended(self) -> bool:
        """Whether the response reports a final outcome."""
        return self.condition in ("completed", "failed")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant."""

    invariant: str
    what: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.what}"


class History:
    """Everything that was observed in a run, and a readable trace."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.versions: list[Version] = []
        self.disturbances: list[Disturbance] = []
        self.status_replies: list[StatusReply] = []
        self.events: list[Event] = []
        self.machine_infos: dict[str, MachineInfo] = {}  # all machines ever added
        self.cuts: list[tuple[float, frozenset[tuple[str, str]]]] = [(0.0, frozenset())]
        # Whether links lose packets throughout the run; then no machine counts as in contact.
        self.lossy = False
        self.emptied: list[tuple[float, str]] = []  # time and name of storage nodes that emptied their disk
        self.calls: list[Call] = []
        self.polls: list[tuple[float, str, bool]] = []  # time, edge node, whether it was ready
        self.leaving: dict[str, float] = {}  # endpoint -> first announcement of draining
        self.drained: dict[str, float] = {}  # endpoint -> acknowledgement of draining
        self.drained_by: dict[str, str] = {}  # endpoint -> control-plane node that acknowledged draining
        self.rates: dict[str, float] = {}
        self.faults: list[Violation] = []
        self.read_back: Json | None = None
        self.traffic_ended_at = 0.0  # when traffic ended
        self.lines: list[str] = []

    def trace(self, text: str) -> None:
        """Add a line to the trace."""
        self.lines.append(f"{self.clock.now:8.3f}  {text}")

    def record_disturbance(
        self, what: str, seconds: float = 0.0, planned: bool = False, is_in_events: bool = False
    ) -> None:
        """Record a fault or a planned operation; `is_in_events` if events record all of it."""
        self.trace(what)
        self.disturbances.append(Disturbance(self.clock.now, self.clock.now + seconds, planned, is_in_events))

    def record_event(self, machine: str, what: What) -> None:
        """Record an event at a machine, at the current time."""
        self.events.append(Event(self.clock.now, machine, what))

    def record_emptied_store(self, store: str) -> None:
        """Record that a storage node has discarded the content of its disk."""
        self.trace(f"{store} discards the content of its disk")
        self.emptied.append((self.clock.now, store))

    def record_partitions(self, cut: frozenset[tuple[str, str]]) -> None:
        """Record the current partitions: no packet gets from the first to the second machine of each pair."""
        self.cuts.append((self.clock.now, cut))

    def is_undisturbed(self, since: float, until: float, planned_too: bool = True) -> bool:
        """Whether there was no fault, and optionally no planned operation, between these times."""
        return not any(
            it.at <= until and it.until >= since and (planned_too or not it.planned)
            for it in self.disturbances
        )
