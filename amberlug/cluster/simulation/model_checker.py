"""Explores all interleavings of Raft among three members and a fourth that may join, to a bounded depth.

A step is one of: a member's election timeout expires and it starts an election; a message is delivered, and
the receiver's disk syncs or delays its writes; a disk syncs delayed writes; a member loses power with its
unsynced writes, or loses its whole disk; a leader gets a command, or changes the membership by one member
(added, made a voter, made a learner, removed); a member compacts its log into a snapshot; a member whose
removal its leader reports as complete is taken away with its disk. A message that is never delivered is lost.
A branch ends where the same state was already visited with at least as many steps left.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from copy import copy, deepcopy
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

from result import Ok

from amberlug.cluster.consensus import log
from amberlug.cluster.consensus.membership import Member, Members, Membership
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState
from amberlug.cluster.consensus.raft import RaftNode, Role, StateMachine
from amberlug.cluster.consensus.rows import (
    AcknowledgedRow,
    EntryRow,
    SnapshotRow,
    TermRow,
    TruncateRow,
    row_from,
)
from amberlug.cluster.interfaces import Json, OnWritten, RawMessage, Reply, ReplyCallback
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Timer

NAMES = ("a", "b", "c")
VOTERS = Members.from_wire({name: {"addr": name, "voter": True} for name in NAMES})
NEW = "d"  # not a member at first
RNG = random.Random(1)  # has no effect here, since timers never fire
STEP_S = 1.0  # long enough that contact with a leader before a step has expired after it
Step = tuple[str, str, int]  # action, member, number of a message or change
Rows = list[tuple[str, tuple[Any, ...]]]


class InvariantError(Exception):
    """An invariant is violated."""


@dataclass(frozen=True, slots=True)
class InitialState:
    """An initial state: the contents of the members' disks, and how often each kind of step may be taken."""

    disks: dict[str, tuple[int, str, list[int]]]  # by member: term, vote, terms of the log entries
    elections: int
    losses: int  # power losses
    wipes: int
    first: tuple[tuple[str, str, str], ...] = ()  # steps taken before: action, member, message prefix
    writes: int = 0
    changes: int = 0  # membership changes
    compactions: int = 0  # log compactions
    departures: int = 0  # removed members that are taken away with their disks
    plan: Callable[[Execution], None] | None = None  # further setup, after those steps


def _elect_first(play: Execution) -> None:
    """Elect the first member, and replicate its first entry to all."""
    play.take(("stand", "a", 0))
    play.deliver_all()


def _change(play: Execution, leader: str, name: str, voter: bool | None) -> None:
    """Add a member, make it a voter or learner, or remove it (`voter` is None); all members learn of it."""
    for at, after in enumerate(play.changes(leader)):
        before = play.members[leader].raft.members.get(name)
        if after.get(name) != before and (after[name].is_voter if name in after else None) is voter:
            play.take(("change", leader, at))
            play.deliver_all()
            return
    raise AssertionError("the leader has no such membership change")


def _with_learner(play: Execution) -> None:
    _elect_first(play)
    _change(play, "a", NEW, False)


def _with_four(play: Execution) -> None:
    _with_learner(play)
    _change(play, "a", NEW, True)


def _without_c(play: Execution) -> None:
    _elect_first(play)
    _change(play, "a", "c", None)


# Empty disks; and a leader with an entry of an older term, while another member has one of a newer term.
INITIAL_STATES = {
    "fresh": InitialState({name: (0, "", []) for name in NAMES}, 2, 1, 1),
    "older": InitialState(
        {"a": (2, "", [1]), "b": (2, "b", [2]), "c": (2, "b", [])},
        2,
        1,
        0,
        (
            ("stand", "a", ""),
            ("deliver", "b", "a"),
            ("deliver", "c", "a"),
            ("unsynced", "a", "c"),
            ("deliver", "c", 'a ["vise.append'),
            ("unsynced", "a", 'c ["vise.append'),
        ),
    ),
}


# With a fourth member, starting from an elected leader; and the depth to which the tests explore.
_EMPTY: dict[str, tuple[int, str, list[int]]] = {name: (0, "", []) for name in (*NAMES, NEW)}
MEMBERSHIP_STATES = {
    "learner": (InitialState(_EMPTY, 1, 0, 0, writes=1, plan=_with_learner), 6),
    "removed": (InitialState(_EMPTY, 2, 1, 0, plan=_without_c), 6),
    "leaving": (InitialState(_EMPTY, 0, 0, 1, writes=1, changes=1, departures=1, plan=_elect_first), 5),
    "changes": (InitialState(_EMPTY, 2, 0, 0, changes=2, plan=_with_learner), 4),
    "snapshots": (InitialState(_EMPTY, 1, 0, 0, changes=1, compactions=2, plan=_elect_first), 5),
    "all of it": (
        InitialState(_EMPTY, 1, 1, 1, writes=1, changes=2, compactions=1, departures=1, plan=_with_four),
        3,
    ),
}


@dataclass(slots=True)
class _Message:
    to: str
    text: str
    act: Callable[[], None]


@dataclass(slots=True)
class _Member:
    """One member: its process, its disk, and the writes that are not synced yet."""

    saved: PersistentState
    raft: Any = None
    handlers: dict[str, Callable[..., None]] = field(default_factory=dict)
    cluster_state: Json = field(default_factory=dict)  # applied commands by index
    waiting: list[tuple[Rows, OnWritten]] = field(default_factory=list)
    incarnation: int = 0

    def apply(self, index: int, command: Json) -> Json:
        """Record a committed command at its index; the result is always empty."""
        self.cluster_state[str(index)] = command
        return {}

    def snapshot(self) -> Json:
        """Copy the applied commands for a snapshot."""
        return dict(self.cluster_state)

    def restore(self, state: Json) -> None:
        """Replace the applied commands by those of a snapshot."""
        self.cluster_state = dict(state)


class _ModelRuntime:
    """The runtime of one incarnation of a member; nothing happens but through explicit steps."""

    def __init__(self, play: Execution, name: str) -> None:
        self.play, self.name, self.rng = play, name, RNG
        self.incarnation = play.members[name].incarnation

    def now(self) -> float:
        """Return the time of the execution in seconds; each step adds STEP_S."""
        return self.play.now

    def wall_clock(self) -> float:
        """Return the same time as `now`: wall clocks do not differ here."""
        return self.play.now

    def call_later(self, seconds: float, act: Callable[[], None]) -> Timer:
        """Return a timer that never fires: an election timeout is a step of its own."""
        return Timer(act)

    def send(self, address: str, message: RawMessage) -> None:
        """Put a notification in flight; its reply is ignored."""
        self.request(address, message, 0.0, lambda reply: None)

    def request(self, address: str, message: RawMessage, timeout_s: float, on_reply: ReplyCallback) -> None:
        """Put a request in flight; `timeout_s` has no effect, and a reply is delivered by another step."""
        play, name, incarnation = self.play, self.name, self.incarnation
        tag, payload = message.tag, message.payload
        text = json.dumps([tag, message.body, payload.decode()])

        def back(said: Json) -> None:
            """Pass the reply on, unless the requesting member has restarted since."""
            if play.members[name].incarnation == incarnation:
                on_reply(Ok(Reply(said, b"")))

        def respond(said: Json, blob: bytes = b"") -> None:
            """Put the reply in flight, as JSON text; its payload is dropped."""
            reply = json.dumps(said)
            play.post(name, f"{address} {text} {reply}", lambda: back(json.loads(reply)))

        def arrive() -> None:
            """Have the current incarnation of the receiver handle the request."""
            play.members[address].handlers[tag](json.loads(text)[1], payload, name, respond)

        play.post(address, f"{name} {text}", arrive)


class Execution:
    """One sequence of steps from an initial state."""

    def __init__(
        self, start: InitialState, blank: Callable[[str, int], PersistentState], like: Execution | None = None
    ) -> None:
        self.blank, self.now = blank, 0.0
        self.left = {
            "stand": start.elections,
            "power": start.losses,
            "wipe": start.wipes,
            "write": start.writes,
            "change": start.changes,
            "cut": start.compactions,
            "away": start.departures,
        }
        self.messages: dict[int, _Message] = {}
        self._numbers = 0
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.committed_in: dict[int, int] = {}  # by index, the term of the leader that committed the entry
        self.members: dict[str, _Member] = {}
        for name, (term, vote, entries) in start.disks.items():
            rows = [Entry(it, None) for it in entries]
            members = VOTERS if name in NAMES else Members()
            self.members[name] = _Member(PersistentState(name, term, vote, members=members, entries=rows))
        for name in self.members:
            self._begin(name)
        if like is not None:
            self._copy(like)
            return
        for what, name, text in start.first:
            which = [key for key, it in self.messages.items() if it.to == name and it.text.startswith(text)]
            self.take((what, name, which[0] if which else 0))
        if start.plan is not None:
            left = dict(self.left)
            self.left = dict.fromkeys(left, 9)
            start.plan(self)
            self.left = left

    def _copy(self, like: Execution) -> None:
        """Copy the state of another run of the same start without messages in flight or unsynced writes."""
        assert not like.messages, "messages can't be copied"
        self.now, self._numbers = like.now, like._numbers
        self.leaders, self.committed = dict(like.leaders), dict(like.committed)
        self.committed_in = dict(like.committed_in)
        for name, member in self.members.items():
            it = like.members[name]
            assert not it.waiting, "writes under way can't be copied"
            member.saved, member.cluster_state = (
                replace(it.saved, entries=list(it.saved.entries)),
                dict(it.cluster_state),
            )
            raft, other = member.raft, it.raft
            for ours, theirs in zip(_parts_of(raft), _parts_of(other), strict=True):
                for key, value in vars(theirs).items():
                    if key == "peers":
                        setattr(ours, key, deepcopy(value))
                    elif isinstance(
                        value, bool | int | float | str | tuple | list | dict | Role | Members | Membership
                    ):
                        setattr(ours, key, copy(value))

    # -- members

    def _begin(self, name: str) -> None:
        member, saved = self.members[name], self.members[name].saved
        member.incarnation += 1
        member.waiting = []
        member.cluster_state = {}
        member.raft = RaftNode(
            _ModelRuntime(self, name),
            _Disk(member, member.incarnation),
            replace(saved, entries=list(saved.entries)),
            StateMachine(member.apply, member.snapshot, member.restore),
        )
        member.handlers = handlers_of(member.raft)
        member.raft.leader_contact_at = -1e9

    def post(self, to: str, text: str, act: Callable[[], None]) -> None:
        """Put a message in flight, unless an identical one to the same member is already."""
        if any(it.to == to and it.text == text for it in self.messages.values()):
            return
        self._numbers += 1
        self.messages[self._numbers] = _Message(to, text, act)

    # -- steps

    def steps(self) -> list[Step]:
        """List all steps that are possible now."""
        found: list[Step] = []
        late = self.left["power"] > 0  # unsynced writes matter only if they can be lost
        for number, message in self.messages.items():
            found.append(("deliver", message.to, number))
            if late:
                found.append(("unsynced", message.to, number))
        for name, member in self.members.items():
            if member.waiting:
                found.append(("sync", name, 0))
            if self.left["stand"] and member.raft.is_voter and member.raft.role is not Role.LEADER:
                found.append(("stand", name, 0))
            found += [(what, name, 0) for what in ("power", "wipe") if self.left[what]]
            if member.raft.role is Role.LEADER:
                if self.left["write"]:
                    found.append(("write", name, 0))
                if self.left["change"]:
                    found += [("change", name, at) for at in range(len(self.changes(name)))]
                if self.left["away"] and member.raft.is_membership_committed:
                    gone = [it for it in self.members if self._may_be_taken_away(member.raft, it)]
                    found += [("away", it, 0) for it in gone]
            if self.left["cut"] and member.raft.last_applied > member.raft.log.base_index:
                found.append(("cut", name, 0))
        return found

    def changes(self, leader: str) -> list[Members]:
        """All memberships that differ from a leader's by one member."""
        members: Members = self.members[leader].raft.members
        after = [members.with_member(name, it.with_vote(not it.is_voter)) for name, it in members.items()]
        after += [members.without(name) for name in members]
        if NEW not in members and NEW in self.members:
            after.append(members.with_member(NEW, Member.from_wire({"addr": NEW, "voter": False})))
        return [it for it in after if it.voters]

    def _may_be_taken_away(self, raft: Any, name: str) -> bool:
        """Whether operators may take away a member, since this leader reports its removal as complete."""
        told = (
            raft.role is Role.LEADER
            and raft.is_membership_committed
            and raft.term_at(raft.commit_index) == raft.term
        )
        return (
            told and name not in raft.members and name in NAMES and self.members[name].saved.member_id == name
        )

    def take(self, step: Step) -> None:
        """Take a step, and check the invariants."""
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
                member.raft.election.start(member.raft.term + 1, True)
                self._sync(member)  # a power loss before this sync is explored as another step
            elif what == "write":
                member.raft.propose({"n": self.left[what]}, lambda result: None)
                self._sync(member)
            elif what == "change":
                member.raft.change_members(self.changes(name)[number], lambda result: None)
                self._sync(member)
            elif what == "cut":
                _compact(member.raft)
                self._sync(member)
            elif what == "away":
                self._check_copies(name)
                member.saved = PersistentState(f"{name}/away", members=Members())
                self._begin(name)
            elif what == "wipe":
                member.saved = self.blank(name, member.incarnation)
                self._begin(name)
            else:
                self._begin(name)
        self._check()

    def deliver_all(self) -> None:
        """Deliver all messages, and those sent in response, until none is left."""
        while self.messages:
            number, message = next(iter(self.messages.items()))
            self.take(("deliver", message.to, number))

    @staticmethod
    def _sync(member: _Member) -> None:
        waiting, member.waiting = member.waiting, []
        for rows, _ in waiting:
            for kind, values in rows:
                _apply_row(member.saved, kind, values)
        for _, then in waiting:
            then(None)

    # -- invariants

    def _check(self) -> None:
        for name, member in self.members.items():
            raft = member.raft
            self._check_snapshot(name, member)
            if raft.role is Role.LEADER:
                if (
                    self.leaders.setdefault(raft.term, f"{name}#{member.incarnation}")
                    != f"{name}#{member.incarnation}"
                ):
                    raise InvariantError(f"two leaders in term {raft.term}")
                for index, entry in self.committed.items():
                    at = index - raft.log.base_index - 1
                    if raft.term <= self.committed_in[index]:
                        continue  # a leader that has not noticed a newer one may lack it
                    if index > raft.log.last_index or (at >= 0 and raft.log.entries[at] != entry):
                        raise InvariantError(f"{name} leads without the entry that was committed at {index}")
            for index in range(raft.log.base_index + 1, raft.commit_index + 1):
                entry = raft.log.entries[index - raft.log.base_index - 1]
                self.committed_in.setdefault(index, raft.term)
                if self.committed.setdefault(index, entry) != entry:
                    raise InvariantError(f"two entries are committed at {index}")
        self._check_majorities()

    def _membership(self, upto: int) -> Members:
        """The newest membership that is committed up to an index."""
        for index in range(upto, 0, -1):
            members = self.committed[index].members
            if members is not None:
                return members
        return VOTERS

    def _check_snapshot(self, name: str, member: _Member) -> None:
        """A snapshot holds only committed commands, and the newest membership at its index."""
        raft = member.raft
        for index, command in member.cluster_state.items():
            if int(index) <= raft.log.snapshot_index and self.committed[int(index)][1] != command:
                raise InvariantError(f"{name} holds a snapshot of what was not committed at {index}")
        # A new member does not know the founding members, which no entry lists; a later entry added it.
        snap = raft.log.snapshot_index
        if snap and raft.log.snapshot_members and raft.log.snapshot_members != self._membership(snap):
            raise InvariantError(f"{name} holds a snapshot with members that were not the newest")

    def _check_majorities(self) -> None:
        """Majorities of the newest leader's voters and of the newest committed voters always overlap."""
        leaders = [it.raft for it in self.members.values() if it.raft.role is Role.LEADER]
        if not leaders:
            return
        raft = max(leaders, key=lambda it: int(it.term))
        if raft.term_at(raft.commit_index) == raft.term:
            theirs = set(self._membership(raft.commit_index).voters)
            ours = set(raft.members.voters)
            if len(theirs) // 2 + len(ours) // 2 + 2 <= len(theirs | ours):
                raise InvariantError(f"majorities of {sorted(theirs)} and {sorted(ours)} can be disjoint")

    def _check_copies(self, name: str) -> None:
        """As a member is taken away, a majority of the rest, minus lost disks, has all committed entries."""
        raft = next(it.raft for it in self.members.values() if self._may_be_taken_away(it.raft, name))
        saved = [self.members[it].saved for it in raft.members.voters]
        lost = sum(1 for key, it in zip(raft.members.voters, saved, strict=True) if it.member_id != key)

        def has(it: PersistentState, index: int, entry: Entry) -> bool:
            """Whether a disk has a committed entry, in its log or covered by its snapshot."""
            rest = it.entries[max(0, index - it.snapshot_index - 1) :]
            return index <= it.snapshot_index or (bool(rest) and rest[0] == entry)

        for index, entry in self.committed.items():
            held = sum(1 for it in saved if has(it, index, entry))
            if held < len(saved) // 2 + 1 - lost:
                raise InvariantError(f"{name} is taken away and leaves {held} copies of the entry at {index}")

    def state(self) -> int:
        """A hash of everything that later steps depend on."""
        members = []
        for name, it in self.members.items():
            raft = it.raft
            peers = [
                (key, peer.next_index, peer.match_index)
                for key, peer in sorted(raft.replication.peers.items())
            ]
            rows = [rows for rows, _ in it.waiting]
            leads = raft.role is Role.LEADER
            log = (
                raft.log.base_index,
                str(raft.log.snapshot_members),
                str(raft.log.entries),
                raft.commit_index,
                raft.log.synced_index,
            )
            parts = (
                [str(peer.transfer) for _, peer in sorted(raft.replication.peers.items())],
                str(raft.follower.incoming),
            )
            now = raft.member_id, raft.term, raft.voted_for, raft.role.value, log, str(parts)
            disk = (
                it.saved.member_id,
                it.saved.term,
                it.saved.voted_for,
                it.saved.snapshot_index,
                str(it.saved.entries),
            )
            members.append((name, now, disk, str(peers) if leads else "", str(rows)))
        wire = sorted((it.to, it.text) for it in self.messages.values())
        return hash((tuple(members), tuple(wire), tuple(self.left.values()), str(self.committed)))


def _parts_of(raft: RaftNode) -> tuple[object, ...]:
    """The objects that hold the in-memory state of a member."""
    return (
        raft,
        raft.log,
        raft.rollback_guard,
        raft.replication,
        raft.follower,
        raft.reads,
        raft.proposals,
        raft.election,
    )


def _compact(raft: RaftNode) -> None:
    """Compact the log of a member into a snapshot that leaves no entry behind."""
    with patch.object(log, "TAIL_ENTRIES", 0):
        raft.log.compact(raft.last_applied, raft.state_machine.snapshot())


def _apply_row(saved: PersistentState, kind: str, values: tuple[Any, ...]) -> None:
    match row_from(kind, values):
        case TermRow(term, voted_for):
            saved.term, saved.voted_for = term, voted_for
        case AcknowledgedRow(indexes):
            saved.acknowledged = indexes
        case TruncateRow(first_index):
            del saved.entries[max(0, first_index - saved.snapshot_index - 1) :]
        case SnapshotRow(snapshot_index, term, state, members, _):
            rest = saved.entries[max(0, snapshot_index - saved.snapshot_index) :]
            saved.snapshot_index, saved.snapshot_term, saved.snapshot_state = snapshot_index, term, state
            saved.members, saved.entries = members, rest
        case EntryRow(index, term, command):
            offset = index - saved.snapshot_index - 1
            saved.entries[offset : offset + 1] = [Entry(term, command)]
        case row:
            raise AssertionError(f"unexpected row: no member starts a new incarnation here: {row}")


class _Disk:
    """A disk whose writes wait until a step syncs them."""

    def __init__(self, member: _Member, incarnation: int) -> None:
        self.member, self.incarnation = member, incarnation

    def write(self, rows: Rows, then: OnWritten) -> None:
        """Queue rows until a step syncs them; writes of an earlier incarnation are dropped."""
        if self.member.incarnation == self.incarnation:
            self.member.waiting.append((rows, then))


def stranger(name: str, incarnation: int) -> PersistentState:
    """The state of a wiped member: it returns with a new id and no members."""
    return PersistentState(f"{name}/{incarnation}", members=Members())


def same_identity(name: str, incarnation: int) -> PersistentState:
    """A faulty state of a wiped member: it returns with the id that it had."""
    return PersistentState(name, members=VOTERS)


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """The result of an exploration: its size, and the first violation with the steps to it."""

    states: int
    steps: int
    whole: bool  # whether all states to this depth were visited
    found: str = ""
    path: tuple[Step, ...] = ()


def explore(
    start: InitialState,
    depth: int,
    blank: Callable[[str, int], PersistentState] = stranger,
    most: int = 1_000_000,
) -> ExplorationResult:
    """Visit all states within `depth` steps of an initial state, but no more than `most` states."""
    seen: dict[int, int] = {}
    taken = 0
    path: list[Step] = []
    play = Execution(start, blank)
    like = None if play.messages else Execution(start, blank)
    todo: list[Iterable[Step]] = [iter(play.steps())]
    stale = False  # whether the run has gone beyond `path` and must be rebuilt
    while todo:
        step = next(iter(todo[-1]), None)
        if step is None or len(seen) >= most:
            todo.pop()
            if path:
                path.pop()
            stale = True
            continue
        if stale:
            play, stale = Execution(start, blank, like), False
            for it in path:
                play.take(it)
        taken += 1
        try:
            play.take(step)
        except (InvariantError, AssertionError) as error:
            return ExplorationResult(len(seen), taken, False, str(error), (*path, step))
        key, left = play.state(), depth - len(path) - 1
        if left <= 0 or seen.get(key, -1) >= left:
            seen.setdefault(key, left)
            stale = True
            continue
        seen[key] = left
        path.append(step)
        todo.append(iter(play.steps()))
    return ExplorationResult(len(seen), taken, len(seen) < most)
