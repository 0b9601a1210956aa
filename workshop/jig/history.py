"""What clients, endpoints and the operator of a play saw, as it happened."""

from __future__ import annotations

from dataclasses import dataclass, field

from workshop.jig.clock import Clock
from workshop.ports import Json


@dataclass(slots=True, eq=False)
class Sent:
    """One try of a client."""

    attempt: str
    host: str
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
    services: dict[str, str] = field(default_factory=dict)  # by path prefix

    @property
    def acked(self) -> bool:
        return self.status == 200


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that was done to a machine."""

    at: float
    until: float
    what: str
    planned: bool


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
        self.drained: dict[str, float] = {}  # endpoint -> when that was acknowledged
        self.rates: dict[str, float] = {}
        self.faults: list[Broken] = []
        self.read_back: Json | None = None
        self.over_at = 0.0  # when traffic ended
        self.lines: list[str] = []

    def say(self, text: str) -> None:
        """Add a line to the trace."""
        self.lines.append(f"{self.clock.now:8.3f}  {text}")

    def trouble(self, what: str, seconds: float = 0.0, planned: bool = False) -> None:
        """Something is done to a machine, for so long."""
        self.say(what)
        self.troubles.append(Trouble(self.clock.now, self.clock.now + seconds, what, planned))

    def calm(self, since: float, until: float, planned_too: bool = True) -> bool:
        """Whether nothing was done to any machine between these times."""
        return not any(
            it.at <= until and it.until >= since and (planned_too or not it.planned) for it in self.troubles
        )
