"""Checks a fleet's guarantees from the traffic of clients, partners and platform alone, over all relays.

A message that any relay accepted gets an outcome, whatever happens to that relay; an unsafe message takes
effect at most once; a message that took effect is never reported as handed back. The relays' state is not
used.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class MessageRecord:
    """All observed traffic about one message."""

    name: str
    unsafe: bool
    until: float  # by the checker's clock
    taken: list[tuple[float, str]] = field(default_factory=list)  # time and relay of each acceptance
    refused: int = 0
    effects: int = 0  # calls that took or may have taken effect
    delivered: bool = False
    ends: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class GuaranteeChecker:
    """Records observed traffic, and reports broken guarantees."""

    records: dict[str, MessageRecord] = field(default_factory=dict)
    unknown_messages: list[str] = field(default_factory=list)

    def handed_in(self, name: str, unsafe: bool, until: float) -> None:
        """Record that a client submits a message."""
        self.records.setdefault(name, MessageRecord(name, unsafe, until))

    def answered(self, name: str, relay: str, taken: bool, at: float) -> None:
        """Record that a relay accepted or refused a message."""
        record = self.records[name]
        if taken:
            record.taken.append((at, relay))
        else:
            record.refused += 1

    def called(self, name: str, took_effect: bool, delivered: bool, at: float) -> None:
        """Record that a partner served or refused a call."""
        record = self.records.get(name)
        if record is None:
            self.unknown_messages.append(f"{name}: a call with a message that nobody handed in")
            return
        record.effects += took_effect
        if delivered and not record.delivered:
            record.delivered = True
            record.ends.append((at, "delivered"))

    def told(self, name: str, outcome: str, at: float) -> None:
        """Record an outcome reported to the platform."""
        record = self.records.get(name)
        if record is None:
            self.unknown_messages.append(f"{name}: an end of a message that nobody handed in")
        else:
            record.ends.append((at, outcome))

    @property
    def promised(self) -> list[MessageRecord]:
        """Accepted messages."""
        return [it for it in self.records.values() if it.taken]

    @property
    def open(self) -> list[MessageRecord]:
        """Accepted messages without an outcome."""
        return [it for it in self.promised if not it.ends]

    def broken(self) -> list[str]:
        """Return all broken guarantees; call it once every deadline has passed."""
        found = list(self.unknown_messages)
        for it in self.records.values():
            if it.taken and not it.ends:
                found.append(f"{it.name}: lost, taken on by {it.taken[0][1]}")
            if it.unsafe and it.effects > 1:
                found.append(f"{it.name}: took effect {it.effects} times")
            if it.unsafe and it.effects and any(how == "handed_back" for _, how in it.ends):
                found.append(f"{it.name}: handed back, though it took effect")
        return found

    def late(self, slack: float) -> list[MessageRecord]:
        """Return messages whose outcome came more than `slack` seconds after their deadline."""
        return [it for it in self.promised if it.ends and min(at for at, _ in it.ends) > it.until + slack]
