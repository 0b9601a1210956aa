"""What clients, endpoints and the operator of a play saw, as it happened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock


@dataclass(slots=True, eq=False)
class Sent:
    """One try of a client."""

    attempt: str
    target: str
    key: str
    body: bytes
    at: float
    first_at: float  # the first try of the same message
    due_at: float
    life: str = ""  # the process that it went to
    status: int = 0
    answered_at: float = 0.0
    name: str = ""  # of the message that was accepted


@dataclass(slots=True, eq=False)
class Run:
    """One arrival of a message at an endpoint."""

    attempt: str
    endpoint: str
    service: str
    life: str  # the process that sent it
    sent: float
    arrived: float
    seconds: float  # that the endpoint was given
    body: bytes
    began: float | None = None
    ended: float | None = None
    what: str = ""  # done, dead, failed, stopped
    seal: str = ""
    read: float | None = None  # when its sender read the answer


@dataclass(slots=True, eq=False)
class Version:
    """One configuration that the operator sent."""

    edition: int
    base: int
    config: Json
    valid: bool
    at: float
    status: int = 0  # the clear answer
    answered_at: float = 0.0
    taken_at: float = 1e9  # when a relay first acknowledged it, also where that answer was lost
    refusals: list[tuple[float, int, str]] = field(default_factory=list)  # when, the status, by whom
    until: float = 1e9  # when its sender had a clear answer, or gave up
    proper: bool = True  # whether its sender had it sent to any relay until the answer was clear
    services: dict[str, str] = field(default_factory=dict)  # by path prefix

    @property
    def acked(self) -> bool:
        return self.status == 200


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that was done to a machine."""

    at: float
    until: float
    planned: bool
    marked: bool = False  # whether events tell all of it: which machine, which links, when


class What(Enum):
    """What happened to a machine's process or to its links."""

    START = "start"
    END = "end"  # of the process, however it came about
    TERM = "term"  # it is told to end
    FREEZE = "freeze"
    THAW = "thaw"
    RESET = "reset"  # connections of it are reset


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened to one machine."""

    at: float
    machine: str
    what: What


@dataclass(frozen=True, slots=True)
class Place:
    """A machine of the deployment, as rules see it."""

    name: str
    kind: str  # edge, store or core


@dataclass(slots=True, eq=False)
class Call:
    """One call of an operator to a control relay, and what came of it."""

    what: str  # read, retire, retire-read
    name: str  # of the store that it is about
    core: str
    at: float
    status: int = 0
    answered_at: float = 0.0
    said: Json | None = None


@dataclass(frozen=True, slots=True)
class Standing:
    """What was said of a message's state, or of its body."""

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
        """Whether the message is said to have ended."""
        return self.condition in ("completed", "failed")


@dataclass(frozen=True, slots=True)
class Broken:
    """A broken rule."""

    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


class History:
    """All of it, and a trace for people."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.versions: list[Version] = []
        self.troubles: list[Trouble] = []
        self.standings: list[Standing] = []
        self.events: list[Event] = []
        self.places: dict[str, Place] = {}  # all machines that there ever were
        self.cuts: list[tuple[float, frozenset[tuple[str, str]]]] = [(0.0, frozenset())]
        self.lossy = False  # whether links lose packets all day long: then nobody is in touch
        self.emptied: list[tuple[float, str]] = []  # stores that gave up their disk's content, and when
        self.calls: list[Call] = []
        self.polls: list[tuple[float, str, bool]] = []  # when, which edge, whether it was ready
        self.leaving: dict[str, float] = {}  # endpoint -> when it first said that it leaves
        self.drained: dict[str, float] = {}  # endpoint -> when that was acknowledged
        self.drained_by: dict[str, str] = {}  # endpoint -> the relay that acknowledged it
        self.rates: dict[str, float] = {}
        self.faults: list[Broken] = []
        self.read_back: Json | None = None
        self.over_at = 0.0  # when traffic ended
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        """Add a line to the trace."""
        self.lines.append(f"{self.clock.now:8.3f}  {text}")

    def trouble(self, what: str, seconds: float = 0.0, planned: bool = False, marked: bool = False) -> None:
        """Something is done to a machine, for so long; `marked` where events tell all of it."""
        self.say(what)
        self.troubles.append(Trouble(self.clock.now, self.clock.now + seconds, planned, marked))

    def mark(self, machine: str, what: What) -> None:
        """Something happened to a machine, just now."""
        self.events.append(Event(self.clock.now, machine, what))

    def store_emptied(self, store: str) -> None:
        """A store has given up what its disk held."""
        self.say(f"{store} gives up what it held")
        self.emptied.append((self.clock.now, store))

    def links_are(self, cut: frozenset[tuple[str, str]]) -> None:
        """From now on, nothing gets from the first to the second of these machines."""
        self.cuts.append((self.clock.now, cut))

    def calm(self, since: float, until: float, planned_too: bool = True) -> bool:
        """Whether nothing was done to any machine between these times."""
        return not any(
            it.at <= until and it.until >= since and (planned_too or not it.planned) for it in self.troubles
        )
