"""All interleavings of the core's agreement among three members, to some depth, from a few starts.

A step is one of: a member's patience ends and it stands for election; a message is delivered, and its disk
syncs or waits; a disk syncs what waits; a member loses power with what was not synced, or all of its disk.
What is never delivered is lost. A branch ends where the same state was seen with as many steps left.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from result import Ok

from workshop.jig.clock import Timer
from workshop.ports import Json, Reply, Then
from workshop.vise.agree import Role, Vise
from workshop.vise.log import Entry, Saved

NAMES = ("a", "b", "c")
VOTERS: Json = {name: {"addr": name, "voter": True} for name in NAMES}
CHANCE = random.Random(1)  # decides nothing here: no timer fires
STEP_S = 1.0  # what was heard before a step is heard no more after it
Step = tuple[str, str, int]  # what, whose, which message
Rows = list[tuple[str, tuple[Any, ...]]]


class FoundError(Exception):
    """An invariant does not hold."""


@dataclass(frozen=True, slots=True)
class Start:
    """What the members' disks hold at first, and how often what may happen."""

    disks: dict[str, tuple[int, str, list[int]]]  # by member: term, vote, the terms of its entries
    stands: int
    losses: int  # of power
    wipes: int
    first: tuple[tuple[str, str, str], ...] = ()  # steps taken before: what, whose, which message begins so


# Fresh disks; and a leader with an entry of an older term, while another has one of its own of a newer term.
STARTS = {
    "fresh": Start({name: (0, "", []) for name in NAMES}, 2, 1, 1),
    "older": Start(
        {"a": (2, "", [1]), "b": (2, "b", [2]), "c": (2, "b", [])}, 2, 1, 0,
        (
            ("stand", "a", ""), ("deliver", "b", "a"), ("deliver", "c", "a"), ("unsynced", "a", "c"),
            ("deliver", "c", 'a ["vise.append'), ("unsynced", "a", 'c ["vise.append'),
        ),
    ),
}  # fmt: skip


@dataclass(slots=True)
class _Message:
    to: str
    text: str
    act: Callable[[], None]


@dataclass(slots=True)
class _Member:
    """One member: its process, its disk, and what its disk was asked to write."""

    name: str
    saved: Saved
    vise: Any = None
    waiting: list[tuple[Rows, Callable[[str | None], None]]] = field(default_factory=list)
    life: int = 0


class _World:
    """The world as one life of a member sees it; only explicit steps make anything happen."""

    def __init__(self, play: Play, name: str) -> None:
        self.play, self.name, self.chance = play, name, CHANCE
        self.life = play.members[name].life

    def now(self) -> float:
        return self.play.now

    def wall(self) -> float:
        return self.play.now

    def later(self, seconds: float, act: Callable[[], None]) -> Timer:
        return Timer(act)

    def tell(self, to: str, word: str, body: Json, blob: bytes = b"") -> None:
        self.ask(to, word, body, 0.0, lambda reply: None)

    def ask(self, to: str, word: str, body: Json, within: float, then: Then, blob: bytes = b"") -> None:
        play, name, life = self.play, self.name, self.life
        text = json.dumps([word, body])

        def back(said: Json) -> None:
            if play.members[name].life == life:
                then(Ok(Reply(said, b"")))

        def respond(said: Json, blob: bytes = b"") -> None:
            reply = json.dumps(said)
            play.post(name, f"{to} {text} {reply}", lambda: back(json.loads(reply)))

        def arrive() -> None:
            vise = play.members[to].vise
            handler = {"vise.vote": vise.on_vote, "vise.append": vise.on_append}[word]
            handler(json.loads(text)[1], b"", name, respond)

        play.post(to, f"{name} {text}", arrive)


class Play:
    """One sequence of steps, from a start."""

    def __init__(self, start: Start, blank: Callable[[str, int], Saved]) -> None:
        self.start, self.blank, self.now = start, blank, 0.0
        self.left = {"stand": start.stands, "power": start.losses, "wipe": start.wipes}
        self.messages: dict[int, _Message] = {}
        self._numbers = 0
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, str] = {}
        self.members: dict[str, _Member] = {}
        for name, (term, vote, entries) in start.disks.items():
            log: list[Entry] = [(it, None) for it in entries]
            self.members[name] = _Member(name, Saved(name, term, vote, members=VOTERS, entries=log))
        for name in NAMES:
            self._begin(name)
        for what, name, text in start.first:
            which = [key for key, it in self.messages.items() if it.to == name and it.text.startswith(text)]
            self.take((what, name, which[0] if which else 0))

    # -- members

    def _begin(self, name: str) -> None:
        member, saved = self.members[name], self.members[name].saved
        member.life += 1
        member.waiting = []
        copy = Saved(
            saved.me, saved.term, saved.vote, members=saved.members, entries=list(saved.entries),
        )  # fmt: skip
        disk = _Disk(member, member.life)
        member.vise = Vise(
            _World(self, name), disk, copy, lambda index, command: {}, dict, lambda state: None, lambda: None
        )  # fmt: skip
        member.vise.heard = -1e9

    def post(self, to: str, text: str, act: Callable[[], None]) -> None:
        """A message is under way; one that says the same to the same does nothing new."""
        if any(it.to == to and it.text == text for it in self.messages.values()):
            return
        self._numbers += 1
        self.messages[self._numbers] = _Message(to, text, act)

    # -- steps

    def steps(self) -> list[Step]:
        """What may happen next."""
        found: list[Step] = []
        late = self.left["power"] > 0  # what is not synced matters to who may lose it
        for number, message in self.messages.items():
            found.append(("deliver", message.to, number))
            if late:
                found.append(("unsynced", message.to, number))
        for name, member in self.members.items():
            if member.waiting:
                found.append(("sync", name, 0))
            if self.left["stand"] and member.vise.voting and member.vise.role is not Role.LEADER:
                found.append(("stand", name, 0))
            found += [(what, name, 0) for what in ("power", "wipe") if self.left[what]]
        return found

    def take(self, step: Step) -> None:
        """Have it happen, and look whether all is still well."""
        what, name, number = step
        self.now += STEP_S
        member = self.members[name]
        if what in ("deliver", "unsynced"):
            self.messages.pop(number).act()
            if what == "deliver":
                self._sync(member)
        elif what == "sync":
            self._sync(member)
        else:
            self.left[what] -= 1
            if what == "stand":
                member.vise._hold(member.vise.term + 1, True)
                self._sync(member)  # what it may have lost before is lost in another step
            elif what == "wipe":
                member.saved = self.blank(name, member.life)
                self._begin(name)
            else:
                self._begin(name)
        self._check()

    @staticmethod
    def _sync(member: _Member) -> None:
        waiting, member.waiting = member.waiting, []
        for rows, _ in waiting:
            for kind, values in rows:
                _keep(member.saved, kind, values)
        for _, then in waiting:
            then(None)

    # -- what must hold

    def _check(self) -> None:
        for name, member in self.members.items():
            vise = member.vise
            if vise.role is Role.LEADER:
                if self.leaders.setdefault(vise.term, f"{name}#{member.life}") != f"{name}#{member.life}":
                    raise FoundError(f"two leaders in term {vise.term}")
                for index, entry in self.committed.items():
                    if index > vise.last or str(vise.entries[index - 1]) != entry:
                        raise FoundError(f"{name} leads without the entry that was committed at {index}")
            for index in range(1, vise.commit + 1):
                entry = str(vise.entries[index - 1])
                if self.committed.setdefault(index, entry) != entry:
                    raise FoundError(f"two entries are committed at {index}")

    def state(self) -> int:
        """What the future depends on."""
        members = []
        for name, it in self.members.items():
            vise = it.vise
            peers = [(key, peer.next, peer.match) for key, peer in sorted(vise._peers.items())]
            rows = [rows for rows, _ in it.waiting]
            leads = vise.role is Role.LEADER
            now = vise.me, vise.term, vise.vote, vise.role.value, vise.commit, vise.synced, str(vise.entries)
            disk = it.saved.term, it.saved.vote, str(it.saved.entries)
            members.append((name, now, disk, str(peers) if leads else "", str(rows)))
        wire = sorted((it.to, it.text) for it in self.messages.values())
        return hash((tuple(members), tuple(wire), tuple(self.left.values()), str(self.committed)))


def _keep(saved: Saved, kind: str, values: tuple[Any, ...]) -> None:
    if kind == "term":
        saved.term, saved.vote = values
    elif kind == "cut":
        del saved.entries[values[0] - 1 :]
    else:
        at, term, command = values
        saved.entries[at - 1 : at] = [(term, command)]


class _Disk:
    """Writes wait for a step."""

    def __init__(self, member: _Member, life: int) -> None:
        self.member, self.life = member, life

    def write(self, rows: Rows, then: Callable[[str | None], None]) -> None:
        if self.member.life == self.life:
            self.member.waiting.append((rows, then))


def stranger(name: str, life: int) -> Saved:
    """What a wiped member comes back as: another one."""
    return Saved(f"{name}/{life}", members={})


def old_self(name: str, life: int) -> Saved:
    """A fault: a wiped member comes back under the name that it had."""
    return Saved(name, members=VOTERS)


@dataclass(frozen=True, slots=True)
class Explored:
    """What was looked at, and the first steps that break an invariant."""

    depth: int
    states: int
    steps: int
    whole: bool  # whether all states to this depth were looked at
    found: str = ""
    path: tuple[Step, ...] = ()


def explore(
    start: Start, depth: int, blank: Callable[[str, int], Saved] = stranger, most: int = 1_000_000
) -> Explored:
    """Look at all states that so many steps lead to; at `most` of them, if there are more."""
    seen: dict[int, int] = {}
    taken = 0
    path: list[Step] = []
    play = Play(start, blank)
    todo: list[Iterable[Step]] = [iter(play.steps())]
    stale = False  # whether the play has gone on beyond the path
    while todo:
        step = next(iter(todo[-1]), None)
        if step is None or len(seen) >= most:
            todo.pop()
            if path:
                path.pop()
            stale = True
            continue
        if stale:
            play, stale = Play(start, blank), False
            for it in path:
                play.take(it)
        taken += 1
        try:
            play.take(step)
        except (FoundError, AssertionError) as error:
            return Explored(depth, len(seen), taken, False, str(error), (*path, step))
        key, left = play.state(), depth - len(path) - 1
        if left <= 0 or seen.get(key, -1) >= left:
            seen.setdefault(key, left)
            stale = True
            continue
        seen[key] = left
        path.append(step)
        todo.append(iter(play.steps()))
    return Explored(depth, len(seen), taken, len(seen) < most)
