"""A replicated log among core machines: elections, entries, membership, snapshots. No I/O.

Members are named `ip/incarnation`: a machine that comes back empty is another one, and its old self's vote is
not cast again. Terms, votes and entries are on disk before they are spoken of. A leader that hears from no
majority steps down; who hears from a leader grants no vote, so one cut one way deposes nobody.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from absl import logging
from result import Err, Ok, Result

from workshop.ports import Disk, Handle, Json, Lost, Reply, Respond, World, on
from workshop.vise.floors import Floors

BEAT_S = 0.1  # between a leader's messages to a member
FIRST_S = (0.05, 0.3)  # the same right after a start, when nobody was heard yet
ELECTION_S = (0.5, 0.9)  # without a leader's word until a member stands for election
ANSWER_S = 0.4  # for a member to answer
BATCH = 64  # entries in one message
COMPACT = 512  # entries in the log until a snapshot takes their place

Entry = tuple[int, Json | None]  # term and command; None: a new leader's first entry


class Role(Enum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotTaken(Enum):
    """Why a command was not taken."""

    ELSEWHERE = "elsewhere"  # this is not the leader: it was not begun
    UNCLEAR = "unclear"  # leadership ended while it was under way: it may or may not be taken


@dataclass(slots=True)
class Saved:
    """What a member has on disk."""

    me: str
    term: int = 0
    vote: str = ""
    start: int = 0  # the last entry that the snapshot covers
    start_term: int = 0
    state: Json | None = None
    members: Json = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    floors: Json = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another member."""

    next: int
    match: int = 0
    out: int = 0  # number of the message that is under way
    out_at: float = 0.0
    heard: float = -1e9
    acked: int = 0  # highest round that it answered


Answered = Callable[[Result[Json, NotTaken]], None]


class Vise:
    """One member."""

    def __init__(
        self,
        world: World,
        disk: Disk,
        saved: Saved,
        apply: Callable[[int, Json], Json],
        snapshot: Callable[[], Json],
        restore: Callable[[Json], None],
        on_change: Callable[[], None],
    ) -> None:
        self.world, self.disk, self.me = world, disk, saved.me
        self._apply, self._snapshot, self._restore, self._on_change = apply, snapshot, restore, on_change
        self.term, self.vote = saved.term, saved.vote
        self.start, self.start_term, self.entries = saved.start, saved.start_term, list(saved.entries)
        self.base_members: Json = saved.members
        self.members: Json = saved.members
        self.members_at = self.start
        self.state = saved.state
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = self.start
        self.synced = self.last  # entries up to here are on disk
        self.heard = world.now()
        self.led_since = 0.0
        self.elections = 0
        self._peers: dict[str, _Peer] = {}
        self._round = 0
        self._numbers = 0
        self._asked: list[tuple[int, Answered]] = []  # index of a command, and who waits for it
        self._confirms: list[tuple[int, Callable[[int | None], None]]] = []
        self._timer: Handle | None = None
        self._stopped = False
        self._refused = False  # whether the disk has refused entries that are not written again yet
        self.floors = Floors(self, saved.floors)
        self._blank = dict(snapshot())  # what it is before anything is applied
        if self.state is not None:
            restore(self.state)
        self._find_members()

    # -- the log

    @property
    def last(self) -> int:
        return self.start + len(self.entries)

    def term_at(self, index: int) -> int:
        if index == self.start:
            return self.start_term
        return self.entries[index - self.start - 1][0] if self.start < index <= self.last else -1

    def _find_members(self) -> None:
        """The newest membership in the log holds as soon as it is there, committed or not."""
        self.members, self.members_at = self.base_members, self.start
        for offset in range(len(self.entries) - 1, -1, -1):
            command = self.entries[offset][1]
            if command is not None and "members" in command:
                self.members, self.members_at = command["members"], self.start + offset + 1
                break

    @property
    def voters(self) -> list[str]:
        return [name for name, it in self.members.items() if it["voter"]]

    @property
    def voting(self) -> bool:
        return bool(self.members.get(self.me, {}).get("voter"))

    def _majority(self, names: set[str]) -> bool:
        voters = self.voters
        return 2 * sum(1 for it in voters if it in names) > len(voters)

    # -- life

    def begin(self) -> None:
        """Start the clockwork."""
        self.heard = -1e9  # no leader was heard in this life: after a loss of all, waiting for one is idle
        self.floors.cleared = False
        self.stand_soon()
        self.floors.ask()

    def stand_soon(self) -> None:
        """Stand for election before long, unless a leader is heard."""
        if self.leader == "":
            self._after(self.world.chance.uniform(*FIRST_S), self._stand)

    def start_anew(self) -> None:
        """The folder was put back: its log ends before what this member once acknowledged.

        Nobody knows what else it forgot, so its vote is worth nothing: it goes on with an empty log as
        another incarnation, which has to be let in, like a machine that has lost its disk.
        """
        if self._stopped:
            return
        me = f"{self.me.rpartition('/')[0]}/{self.world.chance.getrandbits(48):x}"
        logging.warning("%s has less on disk than it acknowledged: it goes on as %s", self.me, me)
        self._step_down()
        self.stop()
        blank, life = self._blank, (self._apply, self._snapshot, self._restore, self._on_change)

        def done(error: str | None) -> None:
            if error is not None:
                self.world.later(BEAT_S, write)
                return
            self._restore(blank)
            Vise.__init__(self, self.world, self.disk, Saved(me), *life)
            self._on_change()
            self.begin()

        def write() -> None:
            self.disk.write([("anew", (me,))], done)

        write()

    @on("vise.floor")
    def on_floor(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Tell a member that has just started what is known to have been on its disk."""
        if body["to"] == self.me and not self._stopped:
            respond({"floor": self.floors.known.get(body["of"], 0)}, b"")
        else:
            respond({}, b"")

    def stop(self) -> None:
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._stopped:
            self._timer = self.world.later(seconds, act)

    def _rest(self) -> None:
        self._after(self.world.chance.uniform(*ELECTION_S), self._stand)

    def _stand(self) -> None:
        """No leader was heard: ask whether an election would be won, then hold it."""
        if not self.voting or not self.floors.cleared:
            self._rest()
            return
        if self.role is Role.LEADER or self.world.now() - self.heard < ELECTION_S[0]:
            self._rest()
            return
        self.leader = ""
        self._rest()
        self._canvass(self.term + 1, True)

    def _canvass(self, term: int, trial: bool, forced: bool = False) -> None:
        body: Json = {"term": term, "last": self.last, "last_term": self.term_at(self.last), "trial": trial}
        body |= {"me": self.me, "forced": forced}
        for_me = {self.me}
        done = False

        def count() -> None:
            nonlocal done
            if done or not self._majority(for_me) or self._stopped:
                return
            if trial and self.term + 1 == term and self.role is not Role.LEADER:
                done = True
                self._hold(term)
            elif not trial and self.term == term and self.role is Role.CANDIDATE:
                done = True
                self._lead()

        def hear(name: str, reply: Result[Reply, Lost]) -> None:
            if isinstance(reply, Ok):
                said = reply.ok_value.body
                if said.get("term", 0) > self.term and not said.get("yes"):
                    self._see_term(said["term"])
                if said.get("yes") and said.get("of") == term:
                    for_me.add(name)
                    count()

        for name in self.voters:
            if name != self.me:
                to, floor = self.members[name]["addr"], self.floors.known.get(name, 0)
                asked = {**body, "to": name, "floor": floor}
                self.world.ask(to, "vise.vote", asked, ANSWER_S, partial(hear, name))
        count()

    def _hold(self, term: int, forced: bool = False) -> None:
        self.role, self.elections = Role.CANDIDATE, self.elections + 1
        self.term, self.vote = term, self.me
        self._save_term(lambda: self._canvass(term, False, forced) if self.term == term else None)

    def _save_term(self, then: Callable[[], None]) -> None:
        term, vote = self.term, self.vote
        self.disk.write([("term", (term, vote))], lambda error: None if error else then())

    def _see_term(self, term: int) -> None:
        """A higher term: whatever this member did in the older one is over."""
        if term <= self.term:
            return
        self.term, self.vote = term, ""
        self._step_down()
        self._save_term(lambda: None)

    def _step_down(self) -> None:
        was = self.role
        self.role = Role.FOLLOWER
        if was is Role.LEADER:
            self.leader = ""
            for _, answered in self._asked:
                answered(Err(NotTaken.UNCLEAR))
            self._asked.clear()
            for _, confirmed in self._confirms:
                confirmed(None)
            self._confirms.clear()
            self._on_change()
        self._rest()

    def _lead(self) -> None:
        self.role, self.leader, self.led_since = Role.LEADER, self.me, self.world.now()
        now = self.world.now()
        self._peers = {name: _Peer(self.last + 1, heard=now) for name in self.members if name != self.me}
        self._append([(self.term, None)])
        self._on_change()
        self._beat()

    # -- votes

    @on("vise.vote")
    def on_vote(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        term, trial = body["term"], body["trial"]
        mine = body.get("to") == self.me and not self._stopped
        if mine and self.floors.short(body):
            self.start_anew()
        if not mine or self._stopped or not self.floors.cleared:
            # Guards against a vote that was cast by the one who was here before: it is not known any more.
            respond({"yes": False, "term": 0}, b"")
            return
        fresh = (body["last_term"], body["last"]) >= (self.term_at(self.last), self.last)
        led = self.role is Role.LEADER or (self.leader and self.world.now() - self.heard < ELECTION_S[0])
        if trial:
            respond({"yes": bool(term > self.term and fresh and not led), "of": term, "term": self.term}, b"")
            return
        if led and term > self.term and not body.get("forced"):
            respond({"yes": False, "term": self.term}, b"")
            return
        self._see_term(term)
        if term == self.term and fresh and self.vote in ("", body["me"]) and self.role is Role.FOLLOWER:
            self.vote = body["me"]
            self.heard = self.world.now()
            self._rest()
            self._save_term(lambda: respond({"yes": True, "of": term, "term": term}, b""))
        else:
            respond({"yes": False, "term": self.term}, b"")

    # -- entries

    def _append(self, entries: list[Entry]) -> None:
        first = self.last + 1
        self.entries += entries
        for term, command in entries:
            del term
            if command is not None and "members" in command:
                self._find_members()
                self._meet()
        self._save_entries(first, entries, 0)

    def _save_entries(
        self, first: int, entries: list[Entry], cut: int, then: Callable[[], None] | None = None
    ) -> None:
        rows: list[tuple[str, tuple[object, ...]]] = [("cut", (cut,))] if cut else []
        rows += [("entry", (first + at, term, command)) for at, (term, command) in enumerate(entries)]
        last, term = first + len(entries) - 1, self.term

        def done(error: str | None) -> None:
            if self._stopped:
                return
            if error is not None:
                if not self._refused:
                    self._refused = True
                    self.world.later(BEAT_S, self._save_rest)
                return
            if self.term == term and first <= self.synced + 1 and last <= self.last:
                self.synced = max(self.synced, last)
            if then is not None:
                then()
            if self.role is Role.LEADER:
                self._count()

        if not self._refused:  # else it is written with the rest
            self.disk.write(rows, done)

    def _save_rest(self, then: Callable[[], None] | None = None) -> None:
        """Write all that is not known to be on disk: a log with a gap would be worth nothing at a start."""
        self._refused = False
        rest = self.entries[max(0, self.synced - self.start) :]
        if rest:
            first = self.last - len(rest) + 1
            self._save_entries(first, rest, first, then)

    def _meet(self) -> None:
        """Keep a record of each other member while leading."""
        if self.role is Role.LEADER:
            now = self.world.now()
            for name in self.members:
                if name != self.me and name not in self._peers:
                    self._peers[name] = _Peer(max(1, self.start), heard=now)
            for name in set(self._peers) - set(self.members):
                del self._peers[name]

    def propose(self, command: Json, answered: Answered) -> None:
        """Have a command taken; `answered` hears what its application said, once."""
        if self.role is not Role.LEADER or self._stopped:
            answered(Err(NotTaken.ELSEWHERE))
            return
        self._append([(self.term, command)])
        self._asked.append((self.last, answered))
        self._push()

    def change_members(self, members: Json, answered: Answered) -> None:
        """Put another membership in place: one change at a time, each of one voter at most.

        It is not begun before the one before it and an entry of this leader's term are committed (else two
        leaders' majorities could be disjoint), nor before a majority of the new voters has what is committed.
        """
        voters = {name for name, it in members.items() if it["voter"]}
        held = sum(1 for name in voters if self.holds(name, self.commit))
        if (
            self.role is not Role.LEADER
            or not self.settled
            or self.term_at(self.commit) != self.term
            or 2 * held <= len(voters)
        ):
            answered(Err(NotTaken.ELSEWHERE))
            return
        assert len(voters ^ set(self.voters)) <= 1, "two voters change at once"
        self.propose({"members": members}, answered)

    def confirm(self, confirmed: Callable[[int | None], None]) -> None:
        """Have the commit index confirmed by a majority: what is applied up to there is the newest."""
        if self.role is not Role.LEADER or self.term_at(self.commit) != self.term:
            confirmed(None)
            return
        self._round += 1
        self._confirms.append((self._round, confirmed))
        self._push(True)
        self._settle_confirms()

    def _settle_confirms(self) -> None:
        reached = {name: it.acked for name, it in self._peers.items()} | {self.me: self._round}
        while self._confirms:
            number, confirmed = self._confirms[0]
            if not self._majority({name for name, acked in reached.items() if acked >= number}):
                return
            self._confirms.pop(0)
            confirmed(self.commit)

    def _beat(self) -> None:
        if self.role is not Role.LEADER or self._stopped:
            return
        now = self.world.now()
        heard = {name for name, it in self._peers.items() if now - it.heard < ELECTION_S[1]} | {self.me}
        if not self._majority(heard):
            self._step_down()
            return
        matched = {name: it.match for name, it in self._peers.items()} | {self.me: self.synced}
        self.floors.note(matched, self.commit)
        self._push(True)
        self._after(BEAT_S, self._beat)

    def _push(self, empty: bool = False) -> None:
        for name, peer in list(self._peers.items()):
            if empty or peer.next <= self.last:
                self._send(name, peer)

    def _send(self, name: str, peer: _Peer) -> None:
        now = self.world.now()
        if peer.out and now - peer.out_at < ANSWER_S:
            return
        self._numbers += 1
        peer.out, peer.out_at = self._numbers, now
        number, term, asked_round = self._numbers, self.term, self._round
        body: Json = {"term": term, "me": self.me, "to": name, "commit": self.commit}
        body |= self.floors.said_to(name)
        if peer.next <= self.start:
            word, upto = "vise.snap", self.start
            body |= {
                "last": self.start,
                "last_term": self.start_term,
                "state": self.state,
                "members": self.base_members,
            }
        else:
            word, before = "vise.append", peer.next - 1
            entries = self.entries[before - self.start : before - self.start + BATCH]
            upto = before + len(entries)
            body |= {"prev": before, "prev_term": self.term_at(before), "entries": entries}

        def hear(reply: Result[Reply, Lost]) -> None:
            if self._peers.get(name) is not peer or self.term != term or self.role is not Role.LEADER:
                return
            if peer.out == number:
                peer.out = 0
            if isinstance(reply, Err):
                return
            said = reply.ok_value.body
            if said.get("term", 0) > self.term:
                self._see_term(said["term"])
                return
            if said.get("stranger"):
                return
            peer.heard = self.world.now()
            peer.acked = max(peer.acked, asked_round)
            if said.get("ok"):
                peer.match = max(peer.match, upto)
                peer.next = max(peer.next, upto + 1)
                self._count()
            else:
                peer.next = max(1, min(peer.next - 1, said.get("last", 0) + 1))
            self._settle_confirms()
            if self.role is Role.LEADER and (peer.next <= self.last or peer.acked < self._round):
                self._send(name, peer)

        self.world.ask(self.members[name]["addr"], word, body, ANSWER_S, hear)

    def _count(self) -> None:
        """Commit what a majority has on disk, if it is of this term: older ones follow along."""
        matched = {name: it.match for name, it in self._peers.items()} | {self.me: self.synced}
        levels = sorted((matched.get(name, 0) for name in self.voters), reverse=True)
        if not levels:
            return
        index = levels[len(levels) // 2]
        if index > self.commit and self.term_at(index) == self.term:
            self.commit = index
            self._apply_committed()
            self._push(True)
            if self.me not in self.members:
                self._step_down()

    def _apply_committed(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            term, command = self.entries[self.applied - self.start - 1]
            said: Json = {}
            if command is not None and "members" not in command:
                said = self._apply(self.applied, command)
            while self._asked and self._asked[0][0] <= self.applied:
                index, answered = self._asked.pop(0)
                answered(Ok(said) if index == self.applied and term == self.term else Err(NotTaken.UNCLEAR))
        if self.applied - self.start >= COMPACT:
            self._compact()
        self._on_change()

    def _compact(self) -> None:
        members = self.base_members
        for term, command in self.entries[: self.applied - self.start]:
            del term
            if command is not None and "members" in command:
                members = command["members"]
        self.start_term = self.term_at(self.applied)
        self.entries = self.entries[self.applied - self.start :]
        self.start, self.state, self.base_members = self.applied, self._snapshot(), members
        self.synced = max(self.synced, self.start)  # a majority has it, and the snapshot comes after
        self.disk.write([("snap", (self.start, self.start_term, self.state, members))], lambda error: None)

    # -- what a follower hears

    def _follow(self, body: Json) -> bool:
        """Whether a leader's message counts; whoever leads in this term is heeded."""
        if body.get("to") != self.me or self._stopped:
            return False
        if body["term"] < self.term:
            return False
        if self.floors.short(body):
            self.start_anew()
            return False
        self.floors.cleared = True
        self._see_term(body["term"])
        assert self.role is not Role.LEADER, "two leaders in one term"
        changed = self.leader != body["me"] or self.role is not Role.FOLLOWER
        self.role, self.leader, self.heard = Role.FOLLOWER, body["me"], self.world.now()
        if changed:
            self._on_change()
        self._rest()
        return True

    @on("vise.append")
    def on_append(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if not self._follow(body):
            stranger = body.get("to") != self.me or self._stopped
            respond({"ok": False, "term": self.term, "stranger": stranger}, b"")
            return
        before, entries = body["prev"], [(it[0], it[1]) for it in body["entries"]]
        if before < self.start:  # what the snapshot covers is committed and the same everywhere
            entries = entries[self.start - before :]
            before = self.start
        elif before > self.last or self.term_at(before) != body["prev_term"]:
            respond({"ok": False, "term": self.term, "last": min(self.last, before - 1)}, b"")
            return
        at = 0
        while (
            at < len(entries) and before + at < self.last and self.term_at(before + at + 1) == entries[at][0]
        ):
            at += 1
        fresh, cut = entries[at:], 0
        upto = before + len(entries)
        if fresh:
            if before + at < self.last:
                cut = before + at + 1
                assert cut > self.commit, "a committed entry would be taken back"
                del self.entries[before + at - self.start :]
                self.synced = min(self.synced, before + at)
            self.entries += fresh
            self._find_members()

        term = body["term"]

        def answer() -> None:
            if self.term == term and self.synced >= upto:
                respond({"ok": True, "term": term}, b"")

        if fresh:
            self._save_entries(before + at + 1, fresh, cut, answer)
        elif self.synced >= upto:
            answer()
        else:
            self._save_rest(answer)
        commit = min(body["commit"], upto)
        if commit > self.commit:
            self.commit = commit
            self._apply_committed()

    @on("vise.snap")
    def on_snap(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if not self._follow(body):
            stranger = body.get("to") != self.me or self._stopped
            respond({"ok": False, "term": self.term, "stranger": stranger}, b"")
            return
        last = body["last"]
        if last <= self.commit:
            respond({"ok": True, "term": self.term}, b"")
            return
        self.entries = [] if self.term_at(last) != body["last_term"] else self.entries[last - self.start :]
        self.start, self.start_term, self.state = last, body["last_term"], body["state"]
        self.base_members = body["members"]
        self.commit = self.applied = last
        self.synced = max(self.synced, last) if self.entries else last
        if self.state is not None:
            self._restore(self.state)
        self._find_members()
        keep = bool(self.entries)
        self.disk.write(
            [("snap", (self.start, self.start_term, self.state, self.base_members, keep))],
            lambda error: respond({"ok": True, "term": self.term}, b"") if error is None else None,
        )
        self._on_change()

    @on("vise.now")
    def on_now(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """The leader leaves in an orderly way, and this member is to follow it at once."""
        if (
            body.get("to") == self.me
            and body["term"] == self.term
            and self.voting
            and self.role is Role.FOLLOWER
        ):
            self.leader, self.heard = "", -1e9
            self._hold(self.term + 1, True)

    def hand_over(self) -> None:
        """Before a planned end: have the voter that lacks least, of those that answer, stand at once."""
        if self.role is Role.LEADER:
            others = [
                (it.match, name)
                for name, it in self._peers.items()
                if self.members[name]["voter"] and self.silent_s(name) < ELECTION_S[0]
            ]
            if others:
                name = max(others)[1]
                self.world.tell(self.members[name]["addr"], "vise.now", {"term": self.term, "to": name})

    @property
    def settled(self) -> bool:
        """Whether the membership is committed."""
        return self.members_at <= self.commit

    def holds(self, name: str, index: int) -> bool:
        """Whether a member is known to have the log up to an entry on its disk."""
        if name == self.me:
            return self.synced >= index
        peer = self._peers.get(name)
        return peer is not None and peer.match >= index

    def silent_s(self, name: str) -> float:
        """For how long a member has not answered this leader."""
        peer = self._peers.get(name)
        return 0.0 if peer is None else self.world.now() - peer.heard
