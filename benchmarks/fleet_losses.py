"""Where a fleet's worth went: its relays' traces, summed up by partner and cause.

    AMBERLUG_TRACE=log ... 2> logs/n0.log            # of each relay
    .venv/bin/python -m benchmarks.fleet_losses logs [--destination 7] [--until 20] [--plot FILE.svg]

Each message that was first handed in to a relay brings worth; what it did not earn is put down to one cause,
so that the causes sum up to the whole loss: to what its last attempt met, or, where it had none, to what its
relay had last met at that partner. A refusal on a new connection that came sooner than a handshake takes is a
full table's. `--until` leaves out what was handed in later: where a day is cut off, it has no ends.
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

SECOND = 1_000_000
FRESH_US = (
    SECOND // 20
)  # a message this much younger than its class's deadline is handed in for the first time
SOON = 0.6  # part of the quickest answer past a table, as in amberlug/policy/connections.py


@dataclass(slots=True)
class Kind:
    """A class of message."""

    worth: float
    aim_us: int
    deadline_us: int
    late: float

    def earned(self, age_us: int) -> float:
        """What a delivery at that age brings."""
        over = max(0, age_us - self.aim_us) / max(1, self.deadline_us - self.aim_us)
        return self.worth * (1 - (1 - self.late) * min(1.0, over))


@dataclass(slots=True)
class Message:
    """One message at one relay."""

    destination: int
    kind: Kind
    handed_us: int  # when a client first had it
    first: bool
    met: str = ""


@dataclass(slots=True)
class Relay:
    """What is known while a relay's log is read."""

    quickest_us: float = float("inf")
    messages: dict[str, Message] = field(default_factory=dict)
    last: dict[int, str] = field(default_factory=dict)  # what it met last, by partner


@dataclass(slots=True)
class Count:
    """All relays together."""

    until_us: float = float("inf")  # by the relays' clock, from the first line
    began_us: int | None = None
    kinds: dict[str, Kind] = field(default_factory=dict)
    served_by: dict[str, int] = field(default_factory=dict)
    rates: dict[int, float] = field(default_factory=dict)
    offered: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))  # worth, by partner
    losses: defaultdict[tuple[int, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )  # and cause
    events: defaultdict[tuple[int, float], Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def lose(self, message: Message, worth: float, cause: str) -> None:
        """Put a loss down to a cause; what comes again is its first hand-in's."""
        if message.first and worth > 0:
            self.losses[message.destination, cause] += worth

    def by_cause(self, to: int | None = None) -> list[tuple[str, float]]:
        """What was lost, at one partner or all, the largest first."""
        causes: defaultdict[str, float] = defaultdict(float)
        for (at, cause), worth in self.losses.items():
            if to in (None, at):
                causes[cause] += worth
        return sorted(causes.items(), key=lambda it: -it[1])

    def partners(self) -> list[tuple[int, float]]:
        """Each partner with what was lost there, the largest first."""
        lost = {to: sum(worth for _, worth in self.by_cause(to)) for to in self.offered}
        return sorted(lost.items(), key=lambda it: -it[1])


def obstacle(relay: Relay, result: str, wait_us: int, reused: bool, took_us: int) -> str:
    """Name what an attempt met."""
    if not reused and (result == "done" or wait_us):
        relay.quickest_us = min(relay.quickest_us, took_us)
    if result != "refused":
        return result.replace("_", " ")
    if wait_us >= 3 * SECOND:
        return "shut"
    return (
        "table full" if not (reused or wait_us) and took_us < SOON * relay.quickest_us else "over the limit"
    )


def words(path: Path) -> Iterator[tuple[int, list[str]]]:
    """The words of a log's traced rounds, with their times."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            _, mark, rest = line.partition("~ ")
            told = rest.split()
            if mark and told and told[0].isdigit():
                for word in told[1:]:
                    yield int(told[0]), word.split(":")


def read(path: Path, count: Count, step_us: int) -> None:
    """Take one relay's log in."""
    relay = Relay()
    for now, (what, *parts) in words(path):
        if what == "K":
            name, worth, aim, deadline, late = parts
            count.kinds[name] = Kind(float(worth), int(aim), int(deadline), float(late))
            relay = Relay()  # a process begins
        elif what == "L" and parts[2]:
            count.served_by[parts[0]] = int(parts[1])
            count.rates[int(parts[1])] = float(parts[4])
        elif what == "T":
            kind, left_us = count.kinds[parts[2]], int(parts[3])
            age_us = kind.deadline_us - left_us
            if count.began_us is None:
                count.began_us = now
            counts = age_us < FRESH_US and now - count.began_us < count.until_us
            message = Message(int(parts[1]), kind, now - age_us, counts)
            relay.messages[parts[0]] = message
            count.events[message.destination, now // step_us]["taken"] += 1
            if message.first:
                count.offered[message.destination] += kind.worth
        elif what == "S" and parts[0] == parts[2]:
            count.events[count.served_by.get(parts[1], -1), now // step_us]["calls"] += 1
        elif what == "O":
            to = count.served_by.get(parts[2], -1)
            met = obstacle(relay, parts[3], int(parts[4]), parts[5] == "1", int(parts[6]))
            count.events[to, now // step_us][met] += 1
            relay.last[to] = met
            if (called := relay.messages.get(parts[0])) is not None and met == "done":
                earned = called.kind.earned(now - called.handed_us)
                count.lose(called, called.kind.worth - earned, f"late: {called.met or 'waited'}")
                del relay.messages[parts[0]]
            elif called is not None:
                called.met = met
        elif what in "RF" and (over := relay.messages.pop(parts[0], None)) is not None:
            message, ended = over, "handed back" if what == "R" else "given up"
            count.events[message.destination, now // step_us][ended] += 1
            cause = message.met or f"not called: {relay.last.get(message.destination, 'nothing met')}"
            count.lose(message, message.kind.worth, cause)
    for message in relay.messages.values():
        count.lose(message, message.kind.worth, "no end in the log")


def table(count: Count) -> None:
    """Print the loss by partner and cause, as parts of all worth offered."""
    whole = sum(count.offered.values()) or 1.0
    for to, lost in count.partners():
        parts = ", ".join(f"{cause} {worth / whole:.3f}" for cause, worth in count.by_cause(to)[:5])
        print(f"{to:4} rate {count.rates.get(to, 0):5.0f}  lost {lost / whole:.3f} of all: {parts}")
    print(f" all lost {sum(count.losses.values()) / whole:.3f}")
    for cause, worth in count.by_cause():
        print(f"     {worth / whole:.3f} {cause}")


def course(count: Count, to: int, step_us: int) -> None:
    """Print what happened at one partner, step by step."""
    names = list(dict.fromkeys(name for (at, _), it in count.events.items() if at == to for name in it))
    print("     s " + " ".join(f"{name:>14}" for name in names))
    for at in sorted(step for number, step in count.events if number == to):
        row = count.events[to, at]
        print(f"{at * step_us / SECOND:6.1f} " + " ".join(f"{row[name]:14}" for name in names))


def plot(count: Count, path: Path) -> None:
    """Draw the loss by partner and cause."""
    from matplotlib import pyplot

    whole = sum(count.offered.values()) or 1.0
    order = [to for to, _ in count.partners()]
    _, axes = pyplot.subplots(figsize=(8, 4))
    below = [0.0] * len(order)
    for cause, _ in count.by_cause()[:8]:
        part = [count.losses.get((to, cause), 0.0) / whole for to in order]
        axes.bar([str(it) for it in order], part, bottom=below, label=cause)
        below = [low + high for low, high in zip(below, part, strict=True)]
    axes.set_xlabel("partner")
    axes.set_ylabel("lost, as part of all worth offered")
    axes.legend(fontsize=7)
    pyplot.tight_layout()
    pyplot.savefig(path, metadata={"Date": None})


def main() -> None:
    """Read the arguments, count, print."""
    it = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    it.add_argument("logs", type=Path, nargs="+", help="folders of logs, or logs")
    it.add_argument("--destination", type=int, help="its course, step by step")
    it.add_argument("--step", type=float, default=0.5, help="seconds")
    it.add_argument("--until", type=float, default=float("inf"), help="seconds from the first message on")
    it.add_argument("--plot", type=Path)
    told = it.parse_args()
    count, step_us = Count(told.until * SECOND), int(told.step * SECOND)
    for place in told.logs:
        for path in sorted(place.glob("*.log")) if place.is_dir() else [place]:
            read(path, count, step_us)
    table(count)
    if told.destination is not None:
        course(count, told.destination, step_us)
    if told.plot is not None:
        plot(count, told.plot)


if __name__ == "__main__":
    main()
