"""A core machine: a member of the log, a control relay, and the leader's duties while it leads. No I/O."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from absl import logging
from result import Err, Ok, Result

from amberlug.cluster.consensus.log import PersistentState
from amberlug.cluster.consensus.raft import ProposalRejected, RaftNode, RejectionReason, Role, StateMachine
from amberlug.cluster.consensus.voter_selection import ChangeKind, MemberStatus, loss_margin, next_change
from amberlug.cluster.control.cluster_state import SHARDS, ClusterState, digest
from amberlug.cluster.control.config_validation import changed, check, parse
from amberlug.cluster.control.endpoint_registry import DRAINING, GONE, MOST, EndpointRegistry, read_announce
from amberlug.cluster.control.sessions import BEAT_S, Session, Sessions
from amberlug.cluster.control.shard_assignment import assign_shards
from amberlug.cluster.control.status import StatusService
from amberlug.cluster.gossip.store import GossipStore
from amberlug.cluster.http.api import AdminApi, HttpRequest, HttpResponse, RespondHttp, order
from amberlug.cluster.interfaces import Disk, Json, Reply, RequestFailure, Respond, Runtime, on
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.session_client import internal
from amberlug.cluster.settings import Settings

DUTY_S = 0.1  # between looks at what is to be done while leading
SETTLED_S = 1.5  # a new leader waits so long for reports before it calls anyone gone
GONE_S = 0.15  # without a session until a member's shards are given to others
LOST_S = 1.5  # without a session until a store's copies are made anew elsewhere
GATHER_S = 0.4  # without a new member until those who came are given shards
ORDER_S = 0.9  # for an order to be carried out: callers wait a second
JOIN_S = 0.3  # between a core machine's tries to be a member
LEAVE_S = 0.8  # for another one to vote in the place of one that is told to end
LEAVING_S = 2.0  # after a word of that, until it is taken to stay after all
CONTACT_S = 1.2  # since a majority was last asked with success: longer than an election takes
LARGE = ("config",)  # news that come from the log, and are large
UNHEARD_S = 1.5  # without a leader's word until a core machine asks to be let in again
STORE = "storage"


def founding(settings: Settings) -> Json:
    """The members that found the log: the seeds of the first start, each in its first incarnation."""
    unknown = {"voter": True, "name": "", "zone": "", "region": ""}
    return {
        f"{host}/0": {**unknown, "addr": to, "control": f"{host}:{port}"}
        for (host, port), to in zip(settings.seeds, internal(settings), strict=True)
    }


def blank(settings: Settings, chance: Callable[[int], int]) -> PersistentState:
    """What an empty disk starts with: a founder at the first start, else one that must be let in."""
    members = founding(settings) if settings.first_start else {}
    me = f"{settings.ip}/0"
    if me not in members:
        me = f"{settings.ip}/{chance(48):x}"
    return PersistentState(me, members=members)


class ControlNode:
    """One core machine."""

    def __init__(
        self, world: Runtime, settings: Settings, address: str, disk: Disk, saved: PersistentState
    ) -> None:
        self.world, self.settings, self.address = world, settings, address
        self.cluster_state, self.sessions = ClusterState(), Sessions()
        self.gossip = GossipStore(
            world, self._others, lambda key, value: None, to_all=True, known_at=self._known_at
        )
        self.registry = EndpointRegistry(world, self.gossip, settings.heartbeat_s)
        self.raft = RaftNode(
            world,
            disk,
            saved,
            StateMachine(
                self._apply, self.cluster_state.to_json, self.cluster_state.from_json, self._changed
            ),
        )
        status_service = StatusService(self)
        self.counter = AdminApi(self, status_service)
        self.handlers = {
            **handlers_of(self),
            **handlers_of(self.raft),
            **handlers_of(self.gossip),
            **handlers_of(status_service),
        }
        self.counts: dict[str, int] = {}
        self._led = ""
        self._busy: set[str] = set()  # duties under way
        self._aged_at = 0.0
        self._committed = 0  # what was committed at the last look at the members
        self._short = False  # whether too few voters would be left after a loss
        self._missing: dict[str, float] = {}  # when an owner was first seen without a session
        self._first_seen: dict[str, float] = {}
        self._silent: set[str] = set()  # disks whose stores have no session
        self._waits: list[tuple[int, Callable[[], None]]] = []  # for an index to be applied
        self._leaves_by = 0.0
        self._leaving: dict[str, float] = {}  # members that are about to end, and when they said so
        self._confirmed = -1e9  # when the newest question was asked that a majority has answered
        self._had_contact = False

    def begin(self) -> None:
        self.raft.start()
        self._changed()
        self.gossip.begin()
        self._tick()
        self._duty()
        self._join()

    def leave(self) -> None:
        """A planned end: another one leads and votes from now on, where there is one."""
        if any(not it["voter"] and not it.get("gone") for it in self.raft.members.values()):
            self._leaves_by = self.world.now() + LEAVE_S
        self.raft.transfer_leadership()
        self._say_leaving()

    def _say_leaving(self) -> None:
        """Have the leader, whoever it is by now, put another one in this voter's place."""
        if self.idle:
            return
        leader = self._leader_address()
        if leader is not None:
            self.world.send(leader, "core.leaving", {"id": self.raft.member_id})
        self.world.call_later(DUTY_S / 2, self._say_leaving)

    @on("core.leaving")
    def on_leaving(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        self._leaving[body["id"]] = self.world.now()

    @property
    def idle(self) -> bool:
        """Whether a process that was told to end may end: it votes no more, or nobody can in its place."""
        return self.world.now() >= self._leaves_by or not self.raft.is_voter

    def stop(self) -> None:
        self.raft.stop()

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    # -- what is agreed becomes news

    def _apply(self, index: int, command: Json) -> Json:
        return self.cluster_state.apply(index, command)

    def _changed(self) -> None:
        cluster_state, offer = self.cluster_state, self.gossip.offer
        if cluster_state.config is not None:
            offer("config", [cluster_state.config_at], cluster_state.config)
        if cluster_state.shards:
            offer("shards", [cluster_state.shards_at], self._shards())
        if cluster_state.roster:
            offer("roster", [cluster_state.roster_at], cluster_state.roster)
        if self.raft.membership.index <= self.raft.commit_index:
            offer("cores", [self.raft.membership.index], self.raft.members)
        for name, (rank, sequence) in cluster_state.untold().items():
            known = self.registry.known(name)
            if known is None or known[0] < [rank, sequence, 0]:
                self.registry.leaves(name, rank, sequence, None)
        if self.raft.leader_id != self._led:
            self._led = self.raft.leader_id
            logging.info("term %d is led by %s", self.raft.term, self._led or "nobody")
            self.world.call_later(0.0, self._confirm_contact)
        waits, self._waits = self._waits, []
        for index, act in waits:
            if index <= self.raft.last_applied:
                act()
            else:
                self._waits.append((index, act))

    def _shards(self) -> Json:
        ids = sorted(self.cluster_state.owners)
        place = {name: at for at, name in enumerate(ids)}
        return {
            "owners": [[name, self.cluster_state.owners[name]] for name in ids],
            "shards": [
                [place.get(str(it[0]), -1), it[1], place.get(str(it[2]), -1)]
                for it in self.cluster_state.shards
            ],
            "roster": self.cluster_state.shards_roster,
        }

    def _cores(self) -> list[str]:
        return [it["addr"] for name, it in self.raft.members.items() if name != self.raft.member_id]

    def _known_at(self, to: str) -> tuple[str, ...]:
        """What another core machine has by the log: told as news besides, it would hold up the beats."""
        return LARGE if to in self._cores() else ()

    def _others(self) -> list[str]:
        return self._cores() + [it.address for it in self.sessions.own.values()] + self._without_session()

    def _without_session(self) -> list[str]:
        """Owners of shards that no control relay has a session with: the leader tells them itself."""
        if self.raft.role is not Role.LEADER:
            return []
        members = self.sessions.members(self.world.now())
        return [it["addr"] for it in self.cluster_state.owners.values() if it["name"] not in members]

    # -- contact with a majority

    def contact_age(self) -> float:
        """For how many seconds at most what is applied here may be older than what a majority has."""
        return self.world.now() - self._confirmed

    @property
    def in_contact(self) -> bool:
        """Whether a majority's commit index was read, and applied here, of late.

        Who has no contact takes no sessions and beats, answers no announcement and names itself to nobody:
        what it knows may be old, and what it is told reaches nobody.
        """
        return self.contact_age() <= CONTACT_S

    def _confirm_contact(self) -> None:
        """Read the commit index of a majority: the question's time is what the answer is good for."""
        asked = self.world.now()

        def heard(index: int | None) -> None:
            if index is not None:
                self._when_applied(index, lambda: self._contact_is(asked))

        self.confirm(heard)

    def _contact_is(self, asked: float) -> None:
        self._confirmed = max(self._confirmed, asked)
        self._look_at_contact()

    def _look_at_contact(self) -> None:
        if self.in_contact != self._had_contact:
            self._had_contact = self.in_contact
            if self.in_contact:
                self.registry.heard_all()  # who was not heard here meanwhile was heard by others
            logging.info("contact with a majority %s", "stands" if self.in_contact else "is lost")

    def _when_applied(self, index: int, act: Callable[[], None]) -> None:
        if index <= self.raft.last_applied:
            act()
        else:
            self._waits.append((index, act))

    # -- sessions

    @on("hello")
    def on_hello(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if not self.in_contact:
            self._count("sessions refused")
            respond({"ok": False, "cause": "no contact with a majority"}, b"")
            return
        session = self.sessions.hello(body, self.world.now())
        logging.info("session of %s begins", session.id)
        respond({"ok": True, "age": round(self.contact_age(), 3)}, b"")
        self._tell_sessions()

    @on("beat")
    def on_beat(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        known = self.sessions.own.get(body["name"])
        was = known.state if known is not None else ""
        # Without contact the session is not renewed: its member looks for another control relay.
        ok = self.in_contact and self.sessions.beat(body, self.world.now())
        respond({"ok": ok, "age": round(min(self.contact_age(), 1e6), 3)}, b"")
        if ok and was != body["state"]:
            self._tell_sessions()

    @on("newest")
    def on_newest(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """Give a page of all news once they are known to be as new as a majority's."""

        def give(index: int | None) -> None:
            if index is None:
                respond({"ok": False}, b"")
                return

            def act() -> None:
                items, upto = self.gossip.page_after(body.get("after", ""))
                respond({"ok": True, "items": items, "next": upto}, b"")

            self._when_applied(index, act)

        self.confirm(give)

    def confirm(self, then: Callable[[int | None], None]) -> None:
        if self.raft.role is Role.LEADER:
            self.raft.confirm_read(then)
            return
        leader = self._leader_address()
        if leader is None:
            then(None)
            return

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            then(reply.ok_value.body.get("index") if isinstance(reply, Ok) else None)

        self.world.request(leader, "core.confirm", {}, ORDER_S, hear)

    @on("core.confirm")
    def on_confirm(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        self.raft.confirm_read(lambda index: respond({"index": index}, b""))

    def settings_are(self, settings: Settings) -> None:
        """Take a settings file that has changed."""
        self.settings = settings

    def broken(self, address: str) -> None:
        """The connection with a process ended."""
        over = self.sessions.broken(address)
        for session in over:
            logging.info("session of %s ended: its connection is closed", session.id)
        if over:
            self._tell_sessions()

    def _tick(self) -> None:
        self.world.call_later(BEAT_S, self._tick)
        for session in self.sessions.sweep(self.world.now()):
            logging.info("session of %s ended: it is silent", session.id)
        self._tell_sessions()
        self._confirm_contact()
        self._look_at_contact()
        if self.in_contact:  # else it is this machine that hears nobody
            self.registry.sweep(lambda name: logging.info("endpoint %s is silent", name))

    def _tell_sessions(self) -> None:
        body = {
            "rows": self.sessions.report(self.world.now()),
            "seen": self.registry.report(),
            "contact": self.in_contact,
        }
        for to in self._cores():
            self.world.send(to, "sessions", body)

    @on("sessions")
    def on_sessions(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        self.sessions.told(origin, body["rows"], self.world.now(), bool(body.get("contact", True)))
        self.registry.heard_elsewhere(body["seen"])

    # -- membership of the core

    def _join(self) -> None:
        """Have the leader know this machine as it is now; one that hears none may have been removed."""
        self.world.call_later(JOIN_S, self._join)
        mine = self.raft.members.get(self.raft.member_id)
        told, heard = self._self_told(), self.raft.role is Role.LEADER
        heard |= self.world.now() - self.raft.leader_contact_at < UNHEARD_S
        if heard and mine is not None and {**mine, "voter": None} == {**told, "voter": None}:
            return
        body = {"id": self.raft.member_id, "member": told}
        if self.raft.role is Role.LEADER:
            self._let_in(body)
            return
        leader = self._leader_address()
        known = [*internal(self.settings), *self._cores()]
        addresses = [leader] if leader and heard else [it for it in known if it != self.address]
        if addresses:
            self.world.send(self.world.chance.choice(addresses), "core.join", body)

    def _self_told(self) -> Json:
        control = self.settings.control
        return {
            "addr": self.address,
            "voter": False,
            "name": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "control": f"{control[0]}:{control[1]}" if control else "",
        }

    @on("core.join")
    def on_join(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        if self.raft.role is Role.LEADER:
            self._let_in(body)
        elif (leader := self._leader_address()) is not None and not body.get("passed"):
            self.world.send(leader, "core.join", {**body, "passed": True})

    def _let_in(self, body: Json) -> None:
        """Put a machine into the membership, to learn: what its address was before is gone."""
        name, told = body["id"], body["member"]
        members = {
            it: {**member, "gone": True} if it != name and member["addr"] == told["addr"] else member
            for it, member in self.raft.members.items()
        }
        members[name] = {**told, "voter": members.get(name, {}).get("voter", False)}
        if members != self.raft.members:
            self._members(members, f"{name} is let in")

    def _members(self, members: Json, why: str) -> None:
        if "members" in self._busy or not self.raft.is_membership_committed:
            return
        self._busy.add("members")

        def done(result: Result[Json, ProposalRejected]) -> None:
            self._busy.discard("members")
            if isinstance(result, Ok):
                logging.info("core members: %s", why)

        self.raft.change_members(members, done)

    def _leader_address(self) -> str | None:
        member = self.raft.members.get(self.raft.leader_id)
        return None if member is None or self.raft.leader_id == self.raft.member_id else str(member["addr"])

    def _promote(self) -> None:
        """Change the voters by one, or remove a member, where that is the next thing to do."""
        raft, tolerance = self.raft, self.settings.tolerance
        committed, self._committed = self._committed, raft.commit_index
        seats = [
            MemberStatus(
                name,
                it["voter"],
                it["zone"],
                it.get("region", ""),
                raft.has_replicated(name, min(committed, raft.commit_index)),
                raft.unresponsive_s(name),
                it.get("gone", False),
                self.world.now() - self._leaving.get(name, -1e9) < LEAVING_S,
            )
            for name, it in raft.members.items()
        ]
        short = loss_margin((it for it in seats if it.is_voter), tolerance) < 0
        if short != self._short:
            self._short = short
            logging.info("core voters %s what may be lost at once", "do not outlast" if short else "outlast")
        change = next_change(seats, tolerance, raft.member_id)
        if change is not None:
            members = dict(raft.members)
            it = members.pop(change.name)
            if change.kind is not ChangeKind.REMOVE:
                members[change.name] = {**it, "voter": change.kind is ChangeKind.PROMOTE}
            self._members(members, f"{change.name} {change.reason}")

    # -- duties of the leader

    def _duty(self) -> None:
        self.world.call_later(DUTY_S, self._duty)
        now = self.world.now()
        if self.raft.role is not Role.LEADER or self.raft.term_at(self.raft.commit_index) != self.raft.term:
            self._missing.clear()
            self._first_seen.clear()
            return
        self._promote()
        members = self.sessions.members(now)
        for session in members.values():
            self._first_seen.setdefault(session.id, now)
        self._keep_roster({it.name: it for it in members.values() if it.machine_class == STORE}, now)
        self._drop_disks({it.id: it for it in members.values() if it.machine_class == "edge"})
        self._deal({it.id: it for it in members.values() if it.machine_class == "edge"}, now)

    def _keep_roster(self, stores: dict[str, Session], now: float) -> None:
        """Put stores that come on the roster, and mark those that are gone: their copies are made anew."""
        changes: Json = {}
        roster = self.cluster_state.roster
        for name, session in stores.items():
            disk = str(session.extra["disk"])
            known = roster.get(disk)
            if known is None and (
                session.extra["enrolled"] or self.cluster_state.retired.get(name) == "completed"
            ):
                continue  # it was retired, or its place was taken: then it comes as another disk
            place = {"name": name, "addr": session.address, "zone": session.zone, "region": session.region}
            # A store that loses its disk while it is emptied comes back as one that is still to be emptied.
            state = "retiring" if self.cluster_state.retired.get(name) == "in_progress" else "full"
            if known is None or {name: known[name] for name in place} != place or known["state"] != state:
                changes[disk] = {**place, "state": state}
            for other, it in roster.items():
                if it["name"] == name and other != disk and it["state"] != "lost":
                    changes[other] = {**it, "state": "lost"}  # its machine came back with another disk
        silent = {disk: it for disk, it in roster.items() if it["name"] not in stores}
        self._silent = set(silent)
        for disk in set(roster) - set(silent):
            self._missing.pop(disk, None)
        here = {disk: it for disk, it in roster.items() if disk not in silent}
        # Guards against a leader that is cut from other control relays: it hears of none of their stores, and
        # more of them can't be lost than may be.
        if now - self.raft.leader_since > SETTLED_S and self._hold(here):
            for disk, it in silent.items():
                if it["state"] == "full" and now - self._missing.setdefault(disk, now) > LOST_S:
                    changes[disk] = {**it, "state": "lost"}
        if changes:
            logging.info("stores: %s", {it["name"]: it["state"] for it in changes.values()})
            self._propose("roster", {"do": "roster", "set": changes})

    def _hold(self, roster: Json) -> bool:
        """Whether messages can be held by the full ones of these stores."""
        full = {it["name"]: (it["zone"], it["region"]) for it in roster.values() if it["state"] == "full"}
        return self.settings.tolerance.holds(list(full.values()))

    def _drop_disks(self, edges: dict[str, Session]) -> None:
        """A disk is asked no more once every owner has enough copies without it."""
        leaving = {
            disk: it for disk, it in self.cluster_state.roster.items() if it["state"] in ("lost", "retiring")
        }
        owners = {str(it[0]) for it in self.cluster_state.shards}
        if not leaving or not owners or not owners <= set(edges):
            return
        if not self._hold(self.cluster_state.roster):
            return  # nothing is short only because nothing can be held
        if any(
            it["state"] == "full" and disk in self._silent for disk, it in self.cluster_state.roster.items()
        ):
            return  # its copies count, and may be gone: soon it is back, or they are made anew
        told = [edges[name].extra for name in owners]
        if any(it["table"] != self.cluster_state.shards_at or it["loading"] or it["short"] for it in told):
            return
        oldest = min(it["roster"] for it in told)
        done = [disk for disk, it in leaving.items() if it["at"] <= oldest]
        if done:
            logging.info("stores: %s hold nothing alone any more", [leaving[disk]["name"] for disk in done])
            self._propose("drop", {"do": "roster", "drop": done})

    def _deal(self, edges: dict[str, Any], now: float) -> None:
        live = [name for name, it in edges.items() if it.state == "up"]
        if not live or "give" in self._busy:
            return
        owners = [str(it[0]) for it in self.cluster_state.shards]
        held = sorted(set(owners))
        settled = now - self.raft.leader_since > SETTLED_S
        again = {it.name for it in edges.values()}  # a machine that is back has no earlier life any more
        gone = []
        for name in held:
            if name in edges:
                self._missing.pop(name, None)
                if edges[name].state != "up":
                    gone.append(name)
            elif name:
                missing = now - self._missing.setdefault(name, now)
                if name.rpartition("/")[0] in again or (missing >= GONE_S and settled):
                    gone.append(name)
        fresh = [name for name in live if name not in held]
        newest = max((self._first_seen[name] for name in fresh), default=0.0)
        if gone or not owners or (fresh and now - newest > GATHER_S):
            if not owners and now - newest < GATHER_S:
                return
            stay = [name for name in held if name and name not in gone and name not in live]
            give = assign_shards(owners, live, len(owners) or SHARDS, stay)
            give = {name: numbers for name, numbers in give.items() if numbers}
            if not give:
                return
            known = {
                name: self.cluster_state.owners[name] for name in held if name in self.cluster_state.owners
            }
            for name, it in edges.items():
                known[name] = {"name": it.name, "addr": it.address, "zone": it.zone, "region": it.region}
            for name in gone:
                if name not in edges:
                    known.pop(name, None)
            logging.info("shards: %s", {name: len(numbers) for name, numbers in give.items()})
            self._propose("give", {"do": "give", "owners": known, "give": give})

    def _propose(self, duty: str, command: Json) -> None:
        if duty in self._busy:
            return
        self._busy.add(duty)
        self.raft.propose(command, lambda result: self._busy.discard(duty))

    # -- orders

    def _order(self, word: str, body: Json, then: Callable[[Result[Json, ProposalRejected]], None]) -> None:
        """Have the leader carry out an order, here or elsewhere."""
        if self.raft.role is Role.LEADER:
            self._carry(word, body, then)
            return
        leader = self._leader_address()
        if leader is None:
            then(Err(self.raft.rejection(RejectionReason.NOT_LEADER)))
            return

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            said = reply.ok_value.body if isinstance(reply, Ok) else {}
            if "said" in said:
                then(Ok(said["said"]))
            else:
                unknown = isinstance(reply, Err)
                reason = RejectionReason.OUTCOME_UNKNOWN if unknown else RejectionReason.NOT_LEADER
                then(Err(ProposalRejected(reason, leader)))

        self.world.request(leader, "core.order", {"word": word, "body": body}, ORDER_S, hear)

    @on("core.order")
    def on_order(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        def answer(result: Result[Json, ProposalRejected]) -> None:
            respond({"said": result.ok_value} if isinstance(result, Ok) else {}, b"")

        if self.raft.role is Role.LEADER:
            self._carry(body["word"], body["body"], answer)
        else:
            respond({}, b"")

    def _carry(self, word: str, body: Json, then: Callable[[Result[Json, ProposalRejected]], None]) -> None:
        if word == "retire":
            self._carry_retire(body["name"], then)
        elif word == "drain":
            self.raft.propose(self._aged({"do": "drain", "ids": body["ids"]}), then)
        elif word == "read":
            self._confirmed_book(
                lambda: then(
                    Ok({"config": self.cluster_state.config, "retired": self.cluster_state.retired})
                ),
                then,
            )
        else:
            self._carry_config(word, body, then)

    def _confirmed_book(
        self, act: Callable[[], None], then: Callable[[Result[Json, ProposalRejected]], None]
    ) -> None:
        """Act once the book is known to be as new as a majority's: nothing else may be said of it.

        A new leader's book may lack what the one before committed, and one that was deposed knows nothing of
        what came since. A refusal ends an order for good, so it needs as much as an acknowledgement.
        """

        def confirmed(index: int | None) -> None:
            if index is None:
                then(Err(self.raft.rejection(RejectionReason.NOT_LEADER)))
            else:
                self._when_applied(index, act)

        self.raft.confirm_read(confirmed)

    def _aged(self, command: Json) -> Json:
        """A command that has the book's time go on by what passed while this machine led."""
        now, since = self.world.now(), max(self._aged_at, self.raft.leader_since)
        self._aged_at = now
        return {**command, "after": round(now - since, 3)}

    def _carry_retire(self, name: str, then: Callable[[Result[Json, ProposalRejected]], None]) -> None:
        self._confirmed_book(lambda: self._retire_confirmed(name, then), then)

    def _retire_confirmed(self, name: str, then: Callable[[Result[Json, ProposalRejected]], None]) -> None:
        rest = {disk: it for disk, it in self.cluster_state.roster.items() if it["name"] != name}
        if len(rest) < len(self.cluster_state.roster) and not self._hold(rest):
            then(Ok({"status": 409, "cause": f"too few stores would be left without {name}"}))
        elif len(rest) == len(self.cluster_state.roster) and name in self.sessions.members(self.world.now()):
            then(
                Err(self.raft.rejection(RejectionReason.NOT_LEADER))
            )  # it has come, and is not on the roster yet
        else:
            self.raft.propose({"do": "retire", "name": name}, then)

    def _carry_config(
        self, word: str, body: Json, then: Callable[[Result[Json, ProposalRejected]], None]
    ) -> None:
        self._confirmed_book(lambda: self._config_confirmed(word, body, then), then)

    def _config_confirmed(
        self, word: str, body: Json, then: Callable[[Result[Json, ProposalRejected]], None]
    ) -> None:
        base, text = body["base"], body["data"]
        sum_ = digest({"word": word, "base": base, "data": text})
        edition = text.get("edition")
        said = (
            self.cluster_state.check_config(base, edition, sum_) if isinstance(edition, int) else {"ok": True}
        )
        if said.get("again"):
            then(Ok(said))
            return
        if said.get("status") in (412, 503):
            then(Ok(said))
            return
        whole = changed(self.cluster_state.config, text) if word == "modify" else Ok(text)
        errors = whole.err_value if isinstance(whole, Err) else check(whole.ok_value)
        if errors or "status" in said:
            causes = errors + ([said["cause"]] if "status" in said else [])
            then(Ok({"status": 400, "cause": "; ".join(causes[:20])}))
            return
        assert isinstance(whole, Ok)
        command = {"do": "config", "base": base, "edition": edition, "sum": sum_, "config": whole.ok_value}
        self.raft.propose(self._aged(command), then)

    def _config(self, word: str, asked: HttpRequest, say: RespondHttp) -> None:
        data = parse(asked.body)
        if isinstance(data, Err):
            self._count("config refused")
            say(HttpResponse(400, {"cause": "; ".join(data.err_value)}))
            return
        base = asked.header("amberlug-base-version")
        if base is None or not base.strip().isdigit():
            say(HttpResponse(400, {"cause": "Amberlug-Base-Version: no whole number"}))
            return

        def done(result: Result[Json, ProposalRejected]) -> None:
            if isinstance(result, Err):
                # Nobody can say yet whether it is in force: the caller sends it again unchanged.
                say(
                    HttpResponse(
                        503, {"cause": f"no answer of a majority: {result.err_value.reason.value}"}, 1
                    )
                )
                return
            said = result.ok_value
            if "status" in said:
                self._count("config refused")
                logging.info("configuration refused: %s", said["cause"])
                say(HttpResponse(said["status"], {"cause": said["cause"]}))
            else:
                self._count("config taken")
                logging.info("configuration %s is in force", data.ok_value.get("edition"))
                say(HttpResponse(200, {"edition": data.ok_value.get("edition")}))

        self._order(word, {"base": int(base), "data": data.ok_value}, done)

    @order("POST", "/-/Configuration.Replace")
    def replace(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Put a whole configuration in place."""
        self._config("replace", asked, say)

    @order("POST", "/-/Configuration.Modify")
    def modify(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Change named items of the configuration."""
        self._config("modify", asked, say)

    @order("GET", "/-/Configuration.Read")
    def read(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Give the newest configuration, confirmed by a majority."""

        def done(result: Result[Json, ProposalRejected]) -> None:
            if isinstance(result, Err):
                say(HttpResponse(503, {"cause": "no answer of a majority"}, 1))
            elif result.ok_value["config"] is None:
                say(HttpResponse(404, {"cause": "no configuration is in place yet"}))
            else:
                say(HttpResponse(200, result.ok_value["config"]))

        self._order("read", {}, done)

    @order("POST", "/-/Retire.Begin/")
    def retire(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Have a store emptied: its copies are made anew elsewhere."""
        data = self._small(asked, say)
        if data is None:
            return
        seconds = data.get("durationS")
        if isinstance(seconds, bool) or not isinstance(seconds, int | float) or seconds < 0:
            say(HttpResponse(400, {"cause": "durationS: no number of seconds"}))
            return

        def done(result: Result[Json, ProposalRejected]) -> None:
            if isinstance(result, Err):
                say(HttpResponse(503, {"cause": "no answer of a majority"}, 1))
            elif "status" in result.ok_value:
                say(HttpResponse(result.ok_value["status"], {"cause": result.ok_value["cause"]}))
            else:
                logging.info("store %s is to be emptied", name)
                say(HttpResponse(200, {"condition": "in_progress"}))

        self._order("retire", {"name": name}, done)

    @order("GET", "/-/Retire.Read/")
    def retire_read(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """Tell how far a store is emptied, as a majority knows it."""

        def done(result: Result[Json, ProposalRejected]) -> None:
            if isinstance(result, Err):
                say(HttpResponse(503, {"cause": "no answer of a majority"}, 1))
            elif result.ok_value["retired"].get(name) is None:
                say(HttpResponse(404, {"cause": f"{name} is not being emptied"}))
            else:
                say(HttpResponse(200, {"condition": result.ok_value["retired"][name]}))

        self._order("read", {}, done)

    @order("POST", "/-/Instances.Announce/")
    def announce(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """An endpoint says that it is there, or that it leaves."""
        self._count("announced")
        if not self.in_contact:
            say(HttpResponse(503, {"cause": "no contact with a majority"}, 1))  # it calls another one then
            return
        data = self._small(asked, say)
        if data is None:
            return
        read = read_announce(data)
        if isinstance(read, Err):
            say(HttpResponse(400, {"cause": read.err_value}))
            return
        said = read.ok_value
        if said["condition"] == "ready":
            self.registry.announced(name, said)
            to = self._cell_of(said["zone"])
            say(HttpResponse(200, {"heartbeatUri": to} if to else {}))
        else:
            self._leave(name, DRAINING, said["sequence"], said, say)

    @order("POST", "/-/Instances.Deregister/")
    def deregister(self, asked: HttpRequest, name: str, say: RespondHttp) -> None:
        """An endpoint says that it has gone."""
        known = self.registry.known(name)
        self._leave(name, GONE, known[0][1] if known is not None else 0, None, say)

    def _small(self, asked: HttpRequest, say: RespondHttp) -> Any:
        if len(asked.body) > MOST:
            say(HttpResponse(413, {"cause": f"{len(asked.body)} bytes are too many"}))
            return None
        try:
            data = json.loads(asked.body)
        except (ValueError, RecursionError):
            say(HttpResponse(400, {"cause": "no JSON"}))
            return None
        if not isinstance(data, dict):
            say(HttpResponse(400, {"cause": "no object"}))
            return None
        return data

    def _cell_of(self, zone: str) -> str:
        """The control address of the cell that keeps a zone's endpoints, where it lives."""
        now = self.world.now()
        for name, it in sorted(self.raft.members.items()):
            if it["zone"] == zone and it["control"]:
                here = name == self.raft.member_id and self.in_contact
                if here or self.sessions.in_contact(it["addr"], now):
                    return str(it["control"])
        return ""

    def _leave(self, name: str, rank: int, sequence: int, said: Json | None, say: RespondHttp) -> None:
        """Tell all at once, and acknowledge once a majority holds it: a lost machine can't take it along."""
        if self.cluster_state.drained(name)[0] >= rank:
            say(HttpResponse(200, {}))
            return
        self.registry.leaves(name, rank, sequence, said)

        def done(result: Result[Json, ProposalRejected]) -> None:
            if isinstance(result, Ok):
                logging.info("endpoint %s %s", name, "leaves" if rank == DRAINING else "has gone")
                say(HttpResponse(200, {}))
            else:
                say(HttpResponse(503, {"cause": "no answer of a majority"}, 1))

        self._order("drain", {"ids": [[name, rank, sequence]]}, done)
