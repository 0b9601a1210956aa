"""Checks the relay's rules by what passes on the wires alone: no part of the relay is asked.

Times are seconds of one clock, which whoever watches the wires gives. A call has begun when its last byte has
come, and is over when its answer is written or its connection ends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LATE = 0.35  # seconds after its time that a message may still get its end
WAIT_SLACK = 0.15  # seconds after a told wait is written that a call may still cross it
CROSSING = 0.15  # seconds that an answer may take to its relay: an end that it tells meanwhile does no harm
DRAIN_GRACE = 2.05  # seconds after a drain is told that a call may still begin
MOST_CALLS = 12


class Repeat(Enum):
    """What a repeat of a message may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Ran(Enum):
    """Whether a call took effect, as its partner knows; the relay can know it of an answer alone."""

    NEVER = "never"
    MAY = "may"
    YES = "yes"


@dataclass(slots=True)
class Call:
    """One call with one message."""

    began: float
    ended: float | None = None
    ran: Ran = Ran.MAY
    delivered: bool = False


@dataclass(slots=True)
class Track:
    """All that passed on the wires about one message."""

    name: str
    destination: int
    repeat: Repeat
    key_life: float
    handed_in: float
    until: float
    taken: float | None = None
    calls: list[Call] = field(default_factory=list)
    ends: list[tuple[float, str]] = field(default_factory=list)  # when and how it was told to be over

    @property
    def delivered(self) -> float | None:
        """When the first call that was answered 200 was over."""
        return min((it.ended for it in self.calls if it.delivered and it.ended is not None), default=None)


@dataclass(slots=True)
class Checker:
    """Takes in what passes, and tells which rules were broken."""

    tracks: dict[str, Track] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    _drained: dict[str, float] = field(default_factory=dict)
    _waits: dict[int, list[tuple[float, float]]] = field(default_factory=dict)  # told at, until

    def handed_in(self, track: Track) -> None:
        """A client sends a message."""
        self.tracks[track.name] = track

    def taken(self, name: str, at: float) -> None:
        """Its client is told that it was taken on."""
        self.tracks[name].taken = at

    def drained(self, endpoint: str, at: float) -> None:
        """The relay is told that an endpoint drains or is gone."""
        self._drained.setdefault(endpoint, at)

    def told_wait(self, destination: int, at: float, seconds: float) -> None:
        """An answer with a wait is written to the relay."""
        self._waits.setdefault(destination, []).append((at, at + seconds))

    def began(self, name: str, endpoint: str, at: float) -> Call | None:
        """A call with a message has come; None where nobody handed that in."""
        track = self.tracks.get(name)
        if track is None:
            self.broken.append(f"{name}: a call with a message that nobody handed in")
            return None
        self._check_repeat(track, at)
        self._check_place(track, endpoint, at)
        call = Call(at)
        track.calls.append(call)
        if len(track.calls) > MOST_CALLS:
            self.broken.append(f"{name}: call {len(track.calls)}, {MOST_CALLS} at most")
        return call

    def ended(self, call: Call, at: float, ran: Ran, delivered: bool = False) -> None:
        """A call is over; the first word on it counts."""
        if call.ended is None:
            call.ended, call.ran, call.delivered = at, ran, delivered

    def told_end(self, name: str, outcome: str, at: float) -> None:
        """The platform is told how a message ended that was not delivered."""
        track = self.tracks.get(name)
        if track is None:
            self.broken.append(f"{name}: an end of a message that nobody handed in")
            return
        if any(told != outcome for _, told in track.ends):
            self.broken.append(f"{name}: told {track.ends[0][1]}, then {outcome}")
        if track.delivered is not None and track.delivered + CROSSING < at:
            self.broken.append(f"{name}: told {outcome}, though it was delivered")
        may_have = any(it.ran is not Ran.NEVER for it in track.calls)
        if outcome == "handed_back" and track.repeat is Repeat.UNSAFE and may_have:
            self.broken.append(f"{name}: handed back, though it may have run")
        track.ends.append((at, outcome))

    def finish(self, now: float) -> list[str]:
        """All rules that were broken, once each message that is out of time must have its end."""
        lost = [
            f"{it.name}: lost, with {len(it.calls)} calls"
            for it in self.tracks.values()
            if it.taken is not None and it.until + LATE < now and not self._in_time(it)
        ]
        return [*self.broken, *lost]

    def _in_time(self, track: Track) -> bool:
        times = [at for at, _ in track.ends]
        if track.delivered is not None:
            times.append(track.delivered)
        return bool(times) and min(times) <= track.until + LATE

    def _check_repeat(self, track: Track, at: float) -> None:
        if any(it.ended is None for it in track.calls):
            self.broken.append(f"{track.name}: a second copy while a call is out")
        if track.delivered is not None and track.repeat is Repeat.UNSAFE:
            self.broken.append(f"{track.name}: sent again, though it was delivered")
        ran = [it for it in track.calls if it.ended is not None and it.ran is not Ran.NEVER]
        if track.repeat is Repeat.UNSAFE and ran:
            self.broken.append(f"{track.name}: sent again, though it may have run")
        if track.repeat is Repeat.KEYED and any(at - it.began > track.key_life for it in ran):
            self.broken.append(f"{track.name}: sent again after its key's life")

    def _check_place(self, track: Track, endpoint: str, at: float) -> None:
        if at - self._drained.get(endpoint, at) > DRAIN_GRACE:
            self.broken.append(f"{track.name}: a call to {endpoint}, which drains")
        for told, until in self._waits.get(track.destination, ()):
            if told + WAIT_SLACK < at < until:
                self.broken.append(f"{track.name}: a call in a told wait at destination {track.destination}")
                return
