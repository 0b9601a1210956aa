"""A replicated log among core machines: elections, entries, membership, snapshots. No I/O.

Members are named `ip/incarnation`: a machine that comes back empty is another one, and its old self's vote is
not cast again. Terms, votes and entries are on disk before they are spoken of. A leader that hears from no
majority steps down; who hears from a leader grants no vote, so one cut one way deposes nobody.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from enum import Enum
from functools import partial

from absl import logging
from result import Err, Ok, Result

from amberlug.cluster.consensus.log import Entry, Log, PersistentState
from amberlug.cluster.consensus.rollback_guard import RollbackGuard
from amberlug.cluster.consensus.snapshot_transfer import (
    ANSWER_S,
    PART,
    Chunk,
    IncomingTransfer,
    OutgoingTransfer,
    SendWindow,
    TransferHeader,
    patience,
    whole_of,
)
from amberlug.cluster.interfaces import Disk, Json, Reply, RequestFailure, Respond, Runtime, TimerHandle, on

BEAT_S = 0.1  # between a leader's messages to a member
FIRST_S = (0.05, 0.3)  # the same right after a start, when nobody was heard yet
ELECTION_S = (0.5, 0.9)  # without a leader's word until a member stands for election
WAITING = 8  # answers that wait for the disk: older ones are waited for no more


class Role(Enum):
    """What a member does in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalRejected(Enum):
    """Why a command was not taken."""

    NOT_LEADER = "elsewhere"  # this is not the leader: it was not begun
    OUTCOME_UNKNOWN = "unclear"  # leadership ended while it was under way: it may or may not be taken


@dataclass(slots=True)
class _PeerProgress:
    """What a leader knows of another member."""

    next: int
    match: int = 0
    out: dict[str, tuple[int, float]] = field(default_factory=dict)  # under way: its number, until when
    heard: float = -1e9
    acked: int = 0  # highest round that it answered
    silent: bool = False  # whether its last message came to nothing: it is asked, and sent nothing large
    said_at: float = -1e9  # when it was last sent something
    sending: OutgoingTransfer | None = None  # what goes to it in parts
    pace: SendWindow = field(default_factory=SendWindow)

    def waits(self, slot: str, now: float) -> bool:
        return slot in self.out and now < self.out[slot][1]


Answered = Callable[[Result[Json, ProposalRejected]], None]


class RaftNode:
    """One member."""

    def __init__(
        self,
        world: Runtime,
        disk: Disk,
        saved: PersistentState,
        apply: Callable[[int, Json], Json],
        snapshot: Callable[[], Json],
        restore: Callable[[Json], None],
        on_change: Callable[[], None],
    ) -> None:
        self.world, self.disk, self.me = world, disk, saved.me
        self._apply, self._snapshot, self._restore, self._on_change = apply, snapshot, restore, on_change
        self.term, self.vote = saved.term, saved.vote
        self.log = Log(world, disk, saved, self._synced)
        newest = self.term_at(self.last)
        if newest > self.term:
            # The disk took entries of a term whose own row it refused: no leader of an older one is heeded,
            # lest it takes back what was acknowledged; nor is it known whom this member voted for.
            self.term, self.vote = newest, self.me
        self.members: Json = saved.members
        self.members_at = self.log.start
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = self.log.snap
        self._unsynced: list[tuple[int, int, Callable[[], None]]] = []  # index, term, who waits for the disk
        self._receiving: IncomingTransfer | None = None
        self.failures = 0  # messages that could not be made
        self.bad_sums = 0  # what came in parts and was not what was sent
        self.heard = world.now()
        self.led_since = 0.0
        self.elections = 0
        self._peers: dict[str, _PeerProgress] = {}
        self._round = 0
        self._numbers = 0
        self._asked: list[tuple[int, Answered]] = []  # index of a command, and who waits for it
        self._confirms: list[tuple[int, Callable[[int | None], None]]] = []
        self._timer: TimerHandle | None = None
        self._stopped = False
        self.floors = RollbackGuard(self, saved.floors)
        self._blank = dict(snapshot())  # what it is before anything is applied
        if self.log.state is not None:
            restore(self.log.state)
        self._find_members()

    # -- the log

    @property
    def entries(self) -> list[Entry]:
        return self.log.entries

    @property
    def last(self) -> int:
        return self.log.last

    @property
    def synced(self) -> int:
        return self.log.synced

    @property
    def base_members(self) -> Json:
        return self.log.base_members

    def term_at(self, index: int) -> int:
        return self.log.term_at(index)

    def _find_members(self) -> None:
        """The newest membership in the log holds as soon as it is there, committed or not."""
        self.members, self.members_at = self.log.members()

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
        self.log.end()
        blank, life = self._blank, (self._apply, self._snapshot, self._restore, self._on_change)

        def done(error: str | None) -> None:
            if error is not None:
                self.world.call_later(BEAT_S, write)
                return
            self._restore(blank)
            RaftNode.__init__(self, self.world, self.disk, PersistentState(me), *life)
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
            self._timer = self.world.call_later(seconds, act)

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

        def hear(name: str, reply: Result[Reply, RequestFailure]) -> None:
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
                self.world.request(to, "vise.vote", asked, ANSWER_S, partial(hear, name))
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
                answered(Err(ProposalRejected.OUTCOME_UNKNOWN))
            self._asked.clear()
            for _, confirmed in self._confirms:
                confirmed(None)
            self._confirms.clear()
            self._on_change()
        self._rest()

    def _lead(self) -> None:
        self.role, self.leader, self.led_since = Role.LEADER, self.me, self.world.now()
        now = self.world.now()
        self._peers = {
            name: _PeerProgress(self.last + 1, heard=now) for name in self.members if name != self.me
        }
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
        self.log.append(entries)
        if any(command is not None and "members" in command for _, command in entries):
            self._find_members()
            self._meet()

    def _synced(self) -> None:
        """More entries are on disk."""
        if not self._stopped:
            self._tell_synced()
            if self.role is Role.LEADER:
                self._count()

    def _when_synced(self, index: int, act: Callable[[], None]) -> None:
        """Do something once the entries up to there are on disk, if this is still the same term then."""
        self._unsynced = [*self._unsynced, (index, self.term, act)][-WAITING:]
        self._tell_synced()

    def _tell_synced(self) -> None:
        waiting, self._unsynced = self._unsynced, []
        for index, term, act in waiting:
            if term == self.term and index <= self.synced:
                act()
            elif term == self.term:
                self._unsynced.append((index, term, act))

    def _meet(self) -> None:
        """Keep a record of each other member while leading."""
        if self.role is Role.LEADER:
            now = self.world.now()
            for name in self.members:
                if name != self.me and name not in self._peers:
                    self._peers[name] = _PeerProgress(max(1, self.log.start), heard=now)
            for name in set(self._peers) - set(self.members):
                del self._peers[name]

    def propose(self, command: Json, answered: Answered) -> None:
        """Have a command taken; `answered` hears what its application said, once."""
        if self.role is not Role.LEADER or self._stopped:
            answered(Err(ProposalRejected.NOT_LEADER))
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
            answered(Err(ProposalRejected.NOT_LEADER))
            return
        assert len(voters ^ set(self.voters)) <= 1, "two voters change at once"
        self.propose({"members": members}, answered)

    def confirm(self, confirmed: Callable[[int | None], None]) -> None:
        """Have the commit index confirmed by a majority: what is applied up to there is the newest.

        A new leader's commit index may lag behind the one before it: the answer waits until an entry of its
        own term is committed.
        """
        if self.role is not Role.LEADER:
            confirmed(None)
            return
        self._round += 1
        self._confirms.append((self._round, confirmed))
        self._push(True)
        self._settle_confirms()

    def _settle_confirms(self) -> None:
        if self.term_at(self.commit) != self.term:
            return
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
        self._after(BEAT_S, self._beat)  # first of all: nothing that goes wrong below may end the beats
        now = self.world.now()
        heard = {name for name, it in self._peers.items() if now - it.heard < ELECTION_S[1]} | {self.me}
        if not self._majority(heard):
            self._step_down()
            return
        matched = {name: it.match for name, it in self._peers.items()} | {self.me: self.synced}
        self.floors.note(matched, self.commit)
        self._push(True)

    def _push(self, empty: bool = False) -> None:
        for name, peer in list(self._peers.items()):
            if empty or peer.next <= self.last:
                self._send(name, peer)

    def _send(self, name: str, peer: _PeerProgress) -> None:
        """Send a peer what it is to hear next; what goes wrong there is the matter of this peer alone."""
        try:
            self._send_next(name, peer)
        except AssertionError:
            raise
        except Exception:
            self.failures += 1
            if self.failures == 1:
                logging.exception("nothing could be sent to %s", name)

    def _send_next(self, name: str, peer: _PeerProgress) -> None:
        now = self.world.now()
        # Whatever is under way, a beat goes along: a peer that hears nothing else would stand for election.
        beat = now - peer.said_at >= 0.9 * BEAT_S and not peer.waits("beat", now)
        if self._goes_in_parts(peer):
            if not peer.silent:
                self._send_parts(name, peer)
            if beat and peer.said_at < now:
                self._send_part(name, peer, None)
            return
        waits = peer.waits("entries", now)
        if waits and not beat:
            return
        before = peer.next - 1
        entries = [] if waits or peer.silent else self.log.batch(before)
        size = self.log.size(before + 1, len(entries))
        body = {"prev": before, "prev_term": self.term_at(before), "entries": entries}
        upto = before + len(entries)

        def hear(said: Json) -> bool:
            if said.get("ok"):
                self._matched(peer, upto)
            else:
                self._step_back(peer, said)
            return True

        self._ask(
            name, peer, ("vise.append", body, b""), patience(size), hear, "beat" if waits else "entries"
        )

    def _ask(
        self,
        name: str,
        peer: _PeerProgress,
        what: tuple[str, Json, bytes],
        within: float,
        heard: Callable[[Json], bool],
        slot: str,
        lost: Callable[[], None] = lambda: None,
    ) -> None:
        """Send as the leader; `heard` says whether more may go at once."""
        word, body, blob = what
        now = self.world.now()
        self._numbers += 1
        number, term, asked_round = self._numbers, self.term, self._round
        peer.said_at, peer.out[slot] = now, (number, now + within)

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if self._peers.get(name) is not peer or self.term != term or self.role is not Role.LEADER:
                return
            if peer.out.get(slot, (0, 0.0))[0] == number:
                del peer.out[slot]
            if isinstance(reply, Err):
                peer.silent = True
                lost()
                return
            said = reply.ok_value.body
            if said.get("term", 0) > self.term:
                self._see_term(said["term"])
                return
            if said.get("stranger"):
                return
            peer.heard, peer.silent = self.world.now(), False
            peer.acked = max(peer.acked, asked_round)
            more = heard(said)
            self._settle_confirms()
            if (
                more
                and self.role is Role.LEADER
                and self._peers.get(name) is peer
                and (peer.next <= self.last or peer.acked < self._round)
            ):
                self._send(name, peer)

        body = {"term": term, "me": self.me, "to": name, "commit": self.commit, **body}
        body |= self.floors.said_to(name)
        self.world.request(self.members[name]["addr"], word, body, within, hear, blob)

    def _matched(self, peer: _PeerProgress, upto: int) -> None:
        peer.match = max(peer.match, upto)
        peer.next = max(peer.next, upto + 1)
        self._count()

    def _step_back(self, peer: _PeerProgress, said: Json) -> None:
        peer.sending = None
        peer.next = max(1, min(peer.next - 1, said.get("last", 0) + 1))

    def _goes_in_parts(self, peer: _PeerProgress) -> bool:
        """Whether the next thing a peer lacks goes in parts; one that was begun goes on to its end.

        So a slow peer gets a snapshot whole, also where newer ones are made faster than it takes one.
        """
        it = peer.sending
        if it is not None and it.whole.last >= peer.next:
            return True
        peer.sending = None
        log = self.log
        if peer.next <= log.start:
            peer.sending = self._sending(peer, "snapshot", log.snap, log.snap_term, log.snapshot_text)
        elif peer.next <= log.last and log.size(peer.next) > PART:
            term = log.term_at(peer.next)
            peer.sending = self._sending(peer, "entry", peer.next, term, partial(log.text, peer.next))
        return peer.sending is not None

    def _sending(
        self, peer: _PeerProgress, kind: str, last: int, term: int, text: Callable[[], str]
    ) -> OutgoingTransfer:
        before = self.term_at(last - 1)
        for other in self._peers.values():  # what another one is sent need not be written down again
            it = other.sending
            if it is not None and (it.whole.kind, it.whole.last, it.whole.last_term) == (kind, last, term):
                return OutgoingTransfer(it.whole, it.data, peer.pace, before)
        data = text().encode()
        return OutgoingTransfer(whole_of(kind, last, term, data), data, peer.pace, before)

    def _send_parts(self, name: str, peer: _PeerProgress) -> None:
        while peer.sending is not None and (part := peer.sending.part(self.world.now())) is not None:
            self._send_part(name, peer, part)

    def _send_part(self, name: str, peer: _PeerProgress, part: Chunk | None) -> None:
        """Send a part; without one, ask how far the peer is, which is a beat as well."""
        it = peer.sending
        assert it is not None, "parts are parts of something"
        body: Json = {**asdict(it.whole), "before_term": it.before_term, "offset": part.offset if part else 0}

        def hear(said: Json) -> bool:
            if peer.sending is not it:
                return False
            if said.get("ok"):
                peer.sending = None
                self._matched(peer, it.whole.last)
            elif "had" not in said:
                self._step_back(peer, said)
            elif part is not None:
                return it.took(part.number, said["had"], self.world.now())
            else:
                it.stands_at(said["had"])
            return True

        if part is None:
            self._ask(name, peer, ("vise.part", body, b""), patience(it.sent - it.had), hear, "beat")
        else:
            what, lost = ("vise.part", body, part.data), partial(it.lost, part.number)
            self._ask(name, peer, what, part.within, hear, "part", lost)

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
            self._settle_confirms()
            if self.me not in self.members:
                self._step_down()

    def _apply_committed(self) -> None:
        large = False
        while self.applied < self.commit:
            self.applied += 1
            (term, command), said = self.log.entries[self.applied - self.log.start - 1], {}
            large = self.log.applied(self.applied) or large
            if command is not None and "members" not in command:
                said = self._apply(self.applied, command)
            while self._asked and self._asked[0][0] <= self.applied:
                index, answered = self._asked.pop(0)
                answered(
                    Ok(said)
                    if index == self.applied and term == self.term
                    else Err(ProposalRejected.OUTCOME_UNKNOWN)
                )
        if large:
            self.log.compact(self.applied, self._snapshot())
        self._on_change()

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
        if self._fits(before, body["prev_term"], respond):
            self._take(before, entries, body["commit"], respond)

    def _fits(self, before: int, term: int, respond: Respond) -> bool:
        """Whether entries behind that one can be taken; the leader is told where not."""
        if before < self.log.start or (before <= self.last and self.term_at(before) == term):
            return True
        respond({"ok": False, "term": self.term, "last": min(self.last, before - 1)}, b"")
        return False

    def _take(self, before: int, entries: list[Entry], commit: int, respond: Respond) -> None:
        """Take what is new of the entries behind one that is here, and answer once all are on disk."""
        upto = before + len(entries)
        start = self.log.start
        if before < start:  # what the log no longer holds is committed and the same everywhere
            entries = entries[start - before :]
            before = start
        at = 0
        while (
            at < len(entries) and before + at < self.last and self.term_at(before + at + 1) == entries[at][0]
        ):
            at += 1
        fresh = entries[at:]
        if fresh:
            cut = before + at + 1 if before + at < self.last else 0
            assert not cut or cut > self.commit, "a committed entry would be taken back"
            self.log.append(fresh, cut)
            self._find_members()
        term = self.term
        self._when_synced(upto, lambda: respond({"ok": True, "term": term}, b""))
        self._commit_to(min(commit, upto))

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            self._apply_committed()

    @on("vise.part")
    def on_part(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Take a part of an entry or a snapshot, and all of it with the last; no part: tell how far it is."""
        if not self._follow(body):
            stranger = body.get("to") != self.me or self._stopped
            respond({"ok": False, "term": self.term, "stranger": stranger}, b"")
            return
        whole = TransferHeader(body["kind"], body["last"], body["last_term"], body["total"], body["sum"])
        entry, before = whole.kind == "entry", whole.last - 1
        if entry:
            if not self._fits(before, body["before_term"], respond):
                return
            self._commit_to(min(body["commit"], before))
        here = self.term_at(whole.last) == whole.last_term if entry else False
        if here or whole.last <= self.commit:
            if blob or self.synced >= whole.last:
                term = self.term
                self._when_synced(whole.last, lambda: respond({"ok": True, "term": term}, b""))
            else:
                respond({"ok": False, "term": self.term, "had": whole.total}, b"")
            return
        it = self._receiving
        if it is None or it.whole != whole:
            it = self._receiving = IncomingTransfer(whole)
        if blob:
            it.take(body["offset"], blob)
        data = it.verified() if it.full else None
        if data is None:
            self.bad_sums += 1 if blob and not it.data else 0
            respond({"ok": False, "term": self.term, "had": len(it.data)}, b"")
            return
        self._receiving = None
        if entry:
            self._take(before, [(whole.last_term, json.loads(data))], body["commit"], respond)
        else:
            self._install(whole, json.loads(data), respond)

    def _install(self, whole: TransferHeader, snapshot: Json, respond: Respond) -> None:
        """Put a leader's snapshot in the place of all that it covers, its membership with it."""
        last = whole.last
        self.log.install(last, whole.last_term, snapshot, self.commit, whole.total)
        self.commit = self.applied = last
        if snapshot["state"] is not None:
            self._restore(snapshot["state"])
        self._find_members()
        term = self.term
        self._when_synced(last, lambda: respond({"ok": True, "term": term}, b""))
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
                self.world.send(self.members[name]["addr"], "vise.now", {"term": self.term, "to": name})

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
