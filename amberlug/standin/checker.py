"""Checks the relay's rules from network traffic alone, without access to the relay's state.

Times are in seconds of a single clock supplied by the observers of the traffic. A call begins when its last
byte has been received, and ends when its response is written or its connection closes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

OUTCOME_GRACE = 0.35  # seconds after its deadline in which a message may still get its outcome
RETRY_DELAY_SLACK = 0.15  # seconds after a retry delay is written in which a call may still be on its way
# Seconds in which a response may reach the relay; outcomes reported meanwhile are harmless.
RESPONSE_TRANSIT = 0.15
DRAIN_GRACE = 2.05  # seconds after a drain is announced in which a call may still begin
MAX_CALLS = 12


class Repeat(Enum):
    """Whether a message may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Execution(Enum):
    """Whether a call took effect, as its partner knows; the relay learns it only from a response."""

    NEVER = "never"
    MAY = "may"
    YES = "yes"


@dataclass(slots=True)
class Call:
    """One call with one message."""

    began: float
    ended: float | None = None
    ran: Execution = Execution.MAY
    delivered: bool = False


@dataclass(slots=True)
class MessageRecord:
    """All observed traffic about one message."""

    name: str
    destination: int
    repeat: Repeat
    key_life: float
    handed_in: float
    until: float
    taken: float | None = None
    calls: list[Call] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)  # reported outcomes with their times

    @property
    def delivered(self) -> float | None:
        """When the first call that was answered 200 ended."""
        return min((it.ended for it in self.calls if it.delivered and it.ended is not None), default=None)


@dataclass(slots=True)
class Checker:
    """Records observed traffic, and reports broken rules."""

    records: dict[str, MessageRecord] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    _drained: dict[str, float] = field(default_factory=dict)
    _waits: dict[int, list[tuple[float, float]]] = field(default_factory=dict)  # reported at, valid until

    def handed_in(self, record: MessageRecord) -> None:
        """Record that a client submits a message."""
        self.records[record.name] = record

    def taken(self, name: str, at: float) -> None:
        """Record that the client is told that its message was accepted."""
        self.records[name].taken = at

    def drained(self, endpoint: str, at: float) -> None:
        """Record that the relay is told that an endpoint is draining or gone."""
        self._drained.setdefault(endpoint, at)

    def retry_delay_sent(self, destination: int, at: float, seconds: float) -> None:
        """Record that a response with a retry delay is written to the relay."""
        self._waits.setdefault(destination, []).append((at, at + seconds))

    def began(self, name: str, endpoint: str, at: float) -> Call | None:
        """Record that a call is received; returns None if its message was never submitted."""
        record = self.records.get(name)
        if record is None:
            self.broken.append(f"{name}: a call with a message that nobody handed in")
            return None
        self._check_repeat(record, at)
        self._check_endpoint(record, endpoint, at)
        call = Call(at)
        record.calls.append(call)
        if len(record.calls) > MAX_CALLS:
            self.broken.append(f"{name}: call {len(record.calls)}, {MAX_CALLS} at most")
        return call

    def ended(self, call: Call, at: float, ran: Execution, delivered: bool = False) -> None:
        """Record the end of a call; only the first report counts."""
        if call.ended is None:
            call.ended, call.ran, call.delivered = at, ran, delivered

    def outcome_reported(self, name: str, outcome: str, at: float) -> None:
        """Record the reported outcome of a message that was not delivered."""
        record = self.records.get(name)
        if record is None:
            self.broken.append(f"{name}: an end of a message that nobody handed in")
            return
        if any(told != outcome for _, told in record.ends):
            self.broken.append(f"{name}: told {record.ends[0][1]}, then {outcome}")
        if record.delivered is not None and record.delivered + RESPONSE_TRANSIT < at:
            self.broken.append(f"{name}: told {outcome}, though it was delivered")
        may_have = any(it.ran is not Execution.NEVER for it in record.calls)
        if outcome == "handed_back" and record.repeat is Repeat.UNSAFE and may_have:
            self.broken.append(f"{name}: handed back, though it may have run")
        record.ends.append((at, outcome))

    def finish(self, now: float) -> list[str]:
        """Return all broken rules, including messages past their deadline without an outcome."""
        lost = [
            f"{it.name}: lost, with {len(it.calls)} calls"
            for it in self.records.values()
            if it.taken is not None and it.until + OUTCOME_GRACE < now and not self._in_time(it)
        ]
        return [*self.broken, *lost]

    def _in_time(self, record: MessageRecord) -> bool:
        times = [at for at, _ in record.ends]
        if record.delivered is not None:
            times.append(record.delivered)
        return bool(times) and min(times) <= record.until + OUTCOME_GRACE

    def _check_repeat(self, record: MessageRecord, at: float) -> None:
        if any(it.ended is None for it in record.calls):
            self.broken.append(f"{record.name}: a second copy while a call is out")
        if record.delivered is not None and record.repeat is Repeat.UNSAFE:
            self.broken.append(f"{record.name}: sent again, though it was delivered")
        ran = [it for it in record.calls if it.ended is not None and it.ran is not Execution.NEVER]
        if record.repeat is Repeat.UNSAFE and ran:
            self.broken.append(f"{record.name}: sent again, though it may have run")
        if record.repeat is Repeat.KEYED and any(at - it.began > record.key_life for it in ran):
            self.broken.append(f"{record.name}: sent again after its key's life")

    def _check_endpoint(self, record: MessageRecord, endpoint: str, at: float) -> None:
        if at - self._drained.get(endpoint, at) > DRAIN_GRACE:
            self.broken.append(f"{record.name}: a call to {endpoint}, which drains")
        for told, until in self._waits.get(record.destination, ()):
            if told + RETRY_DELAY_SLACK < at < until:
                self.broken.append(
                    f"{record.name}: a call in a told wait at destination {record.destination}"
                )
                return
