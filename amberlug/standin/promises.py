"""Checks what a fleet promised by the wires of its clients, partners and platform alone, over all relays.

A message that any relay took on gets an end, whatever became of that relay; an unsafe one takes effect once
at the most; nobody is told that one was handed back which took effect. No part of a relay is asked.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Track:
    """All that passed about one message."""

    name: str
    unsafe: bool
    until: float  # by the checker's clock
    taken: list[tuple[float, str]] = field(default_factory=list)  # when, and by which relay
    refused: int = 0
    effects: int = 0  # calls that took effect, or may have
    delivered: bool = False
    ends: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class Promises:
    """Takes in what passes, and tells what was broken."""

    tracks: dict[str, Track] = field(default_factory=dict)
    strange: list[str] = field(default_factory=list)

    def handed_in(self, name: str, unsafe: bool, until: float) -> None:
        """A client sends a message."""
        self.tracks.setdefault(name, Track(name, unsafe, until))

    def answered(self, name: str, relay: str, taken: bool, at: float) -> None:
        """It is told that a relay took it on, or refused it."""
        track = self.tracks[name]
        if taken:
            track.taken.append((at, relay))
        else:
            track.refused += 1

    def called(self, name: str, took_effect: bool, delivered: bool, at: float) -> None:
        """A partner served a call, or turned it away."""
        track = self.tracks.get(name)
        if track is None:
            self.strange.append(f"{name}: a call with a message that nobody handed in")
            return
        track.effects += took_effect
        if delivered and not track.delivered:
            track.delivered = True
            track.ends.append((at, "delivered"))

    def told(self, name: str, outcome: str, at: float) -> None:
        """The platform is told an end."""
        track = self.tracks.get(name)
        if track is None:
            self.strange.append(f"{name}: an end of a message that nobody handed in")
        else:
            track.ends.append((at, outcome))

    @property
    def promised(self) -> list[Track]:
        """What was taken on, and not only refused."""
        return [it for it in self.tracks.values() if it.taken]

    @property
    def open(self) -> list[Track]:
        """What was taken on and has no end yet."""
        return [it for it in self.promised if not it.ends]

    def broken(self) -> list[str]:
        """All that was broken, once everything has had its time."""
        found = list(self.strange)
        for it in self.tracks.values():
            if it.taken and not it.ends:
                found.append(f"{it.name}: lost, taken on by {it.taken[0][1]}")
            if it.unsafe and it.effects > 1:
                found.append(f"{it.name}: took effect {it.effects} times")
            if it.unsafe and it.effects and any(how == "handed_back" for _, how in it.ends):
                found.append(f"{it.name}: handed back, though it took effect")
        return found

    def late(self, slack: float) -> list[Track]:
        """What got its end later than so many seconds after its time."""
        return [it for it in self.promised if it.ends and min(at for at, _ in it.ends) > it.until + slack]
