"""Which shards this edge owns: fenced at the stores, read there, handed to others. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from absl import logging
from result import Ok, Result

from amberlug.cluster.dispatch.message import Message, read
from amberlug.cluster.dispatch.replicator import ReplicationOutcome, Replicator
from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Respond, Runtime, on

FENCE_S = 0.6  # for a store to answer a fence
AGAIN_S = 0.25  # until those that did not are asked again
HANDOVER_S = 0.6  # for the owner before to say what it has out
AWAY_S = 4.0  # for a call of the owner before to end, else it is no longer waited for
WAITING_MOST = 4000  # messages that wait for a shard to be read
EARLY_MOST = 10000


class AdmissionOutcome(Enum):
    """What an owner says to a message that is offered."""

    ACCEPTED = "held"
    NOT_OWNER = "elsewhere"  # it does not own the shard
    OUTCOME_UNKNOWN = "unclear"
    REJECTED = "refused"  # it is surely held nowhere


@dataclass(slots=True)
class Shard:
    """One that this edge owns."""

    epoch: int
    before: str  # address of the owner before, where it lives
    serving: bool = False
    numbers: int = 0
    waiting: list[tuple[Message, Callable[[AdmissionOutcome], None]]] = field(default_factory=list)
    unheard: frozenset[str] = frozenset()  # disks that did not tell what they hold when it was taken over


@dataclass(slots=True)
class _ShardRecovery:
    """Reading what is open in shards that came together."""

    shards: dict[int, int]  # number -> epoch
    started: float
    roster: int  # the newest roster at the time of their table: all of its stores are heard, or may be lost
    heard: set[str] = field(default_factory=set)
    asked: set[str] = field(default_factory=set)
    found: dict[str, Message] = field(default_factory=dict)
    fenced: set[str] = field(default_factory=set)  # stores that refuse older owners
    listed: dict[str, set[str]] = field(default_factory=dict)  # store -> what it holds open
    over: bool = False


class ShardOwner:
    """Ownership, as this edge's part of it."""

    def __init__(
        self,
        world: Runtime,
        replicator: Replicator,
        me: str,
        take: Callable[[Message], None],
        release: Callable[[int], list[Message]],
        settle: Callable[[str, str, str, bool], None],
    ) -> None:
        self.world, self.replicator, self.me = world, replicator, me
        self._take, self._release, self._settle = take, release, settle
        self.mine: dict[int, Shard] = {}
        self.owners: list[tuple[str, Json]] = []
        self.table: list[list[int]] = []
        self.putting: dict[str, list[Callable[[AdmissionOutcome], None]]] = {}
        self.put_since: dict[str, float] = {}
        self._tried: dict[str, set[str]] = {}  # disks that may hold what was not held by enough
        self._handed: dict[tuple[int, int], Json] = {}  # what owners before have said, by shard and epoch
        self._early: dict[str, tuple[str, str, bool]] = {}  # outcomes that came before their message was read
        self._loads: list[_ShardRecovery] = []
        self._fencing: list[_ShardRecovery] = []
        self.away: dict[str, str] = {}  # messages out at the owner before, whose address it is
        self.is_held: Callable[[str], bool] = lambda name: False
        self.taken_over = 0

    @property
    def edges(self) -> int:
        """How many edges own anything."""
        return max(1, len({it[0] for it in self.table}))

    @property
    def unfenced(self) -> int:
        """Take-overs of which some store that takes messages has not heard.

        Until it has, an owner of before may still write there. Together with a disk that was dropped
        meanwhile, and has not heard of that, this could be enough copies, of which nobody is told.
        """
        return len(self._fencing)

    def roster_changed(self) -> None:
        """The roster that shards were given by may have come."""
        for load in list(self._loads):
            self._try_finish(load)

    def owner_of(self, shard: int) -> tuple[str, str] | None:
        """Id and address of a shard's owner."""
        if not 0 <= shard < len(self.table) or self.table[shard][0] < 0:
            return None
        name, place = self.owners[self.table[shard][0]]
        return name, str(place["addr"])

    def table_is(self, value: Json) -> None:
        """Take a newer table: what was lost is handed over, what was gained is read."""
        self.owners = [(str(it[0]), it[1]) for it in value["owners"]]
        self.table = value["shards"]
        names = [name for name, _ in self.owners]
        gained: dict[int, int] = {}
        lost: list[int] = []
        for number, (at, epoch, before) in enumerate(self.table):
            held = self.mine.get(number)
            owned = at >= 0 and names[at] == self.me
            if held is not None and (not owned or held.epoch != epoch):
                lost.append(number)
            if owned and (held is None or held.epoch != epoch):
                gained[number] = epoch
                address = (
                    str(self.owners[before][1]["addr"]) if before >= 0 and names[before] != self.me else ""
                )
                self._gain(number, epoch, address)
        if lost:
            self._lose([number for number in lost if number not in gained])
        if gained:
            logging.info("%d shards are owned from now on, %d in all", len(gained), len(self.mine))
            load = _ShardRecovery(gained, self.world.now(), value.get("roster", 0))
            self._loads.append(load)
            self._fencing.append(load)
            self._fence(load)

    def _gain(self, number: int, epoch: int, before: str) -> None:
        waiting = self.mine[number].waiting if number in self.mine else []
        self.mine[number] = Shard(epoch, before, waiting=waiting)

    # -- giving away

    def _lose(self, numbers: list[int]) -> None:
        logging.info("%d shards have another owner", len(numbers))
        by_owner: dict[str, Json] = {}
        unmarked = self.replicator.unmarked()
        for number in numbers:
            shard = self.mine.pop(number)
            for _, then in shard.waiting:
                then(AdmissionOutcome.NOT_OWNER)
            out = [it.id for it in self._release(number) if it.out]
            owner = self.owner_of(number)
            if owner is not None:
                said = by_owner.setdefault(owner[1], {"shards": {}, "out": [], "ended": []})
                said["shards"][str(number)] = self.table[number][1]
                said["out"] += out
        lost = set(numbers)
        ended = [row for row in unmarked.values() if row[1] in lost]
        for address, said in by_owner.items():
            said["ended"] = [row for row in ended if str(row[1]) in said["shards"]]
            self.world.send(address, "handover", said)

    def outcome_elsewhere(self, message: Message, end: str, seal: str, failed: bool) -> None:
        """A call ended whose shard has another owner by now: it is told."""
        owner = self.owner_of(message.shard)
        if owner is not None:
            body = {"id": message.id, "end": end, "seal": seal, "failed": failed}
            self.world.send(owner[1], "outcome", body)

    @on("handover")
    def on_handover(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """The owner before says what it has out, and what has ended of late."""
        for name, _, end, seal, _ in body["ended"]:
            self._outcome(name, end, seal, False)
        for text, epoch in body["shards"].items():
            self._handed[int(text), epoch] = {"out": body["out"], "by": origin}
        for load in list(self._loads):
            self._try_finish(load)
        while len(self._handed) > EARLY_MOST:
            del self._handed[next(iter(self._handed))]

    @on("outcome")
    def on_outcome(self, body: Json, blob: bytes, origin: str, respond: Respond) -> None:
        """A call of the owner before has ended."""
        self._outcome(body["id"], body["end"], body["seal"], body["failed"])

    def _outcome(self, name: str, end: str, seal: str, failed: bool) -> None:
        away = self.away.pop(name, None) is not None
        if self.is_held(name):
            # Guards against a late word on a message that is no longer waited for: it may be out here by now.
            if away or end:
                self._settle(name, end, seal, failed)
        else:
            self._early[name] = end, seal, failed
            while len(self._early) > EARLY_MOST:
                del self._early[next(iter(self._early))]

    def _no_outcome(self, name: str) -> None:
        if name in self.away:
            self._outcome(name, "", "", False)

    def broken(self, address: str) -> None:
        """A process ended: it says no more of its calls."""
        for shard in self.mine.values():
            if shard.before == address:
                shard.before = ""
        for name in [name for name, by in self.away.items() if by == address]:
            self._outcome(name, "", "", False)
        for load in list(self._loads):
            self._try_finish(load)

    # -- taking over

    def _fence(self, load: _ShardRecovery) -> None:
        full = {name for name, it in self.replicator.stores.items() if it.state == "full"}
        mine = any(
            number in self.mine and self.mine[number].epoch == it for number, it in load.shards.items()
        )
        if not mine or (load.over and full <= load.fenced):
            self._fencing.remove(load)
            return
        for name, store in self.replicator.stores.items():
            if name not in load.fenced and name not in load.asked:
                load.asked.add(name)
                body = {"shards": {str(number): epoch for number, epoch in load.shards.items()}}
                self.world.request(store.address, "fence", body, FENCE_S, partial(self._fenced, load, name))
        self.world.call_later(AGAIN_S, lambda: self._fence(load))

    def _fenced(self, load: _ShardRecovery, name: str, reply: Result[Reply, RequestFailure]) -> None:
        load.asked.discard(name)
        if not isinstance(reply, Ok) or not reply.ok_value.body.get("ok"):
            return
        body, blob, at = reply.ok_value.body, reply.ok_value.blob, 0
        for text in body["refused"]:
            load.shards.pop(int(text), None)  # a newer owner was there already: its table is on its way
        if body["disk"] != name:
            return  # the machine has lost the disk that is meant: what it says now is not that one's word
        load.fenced.add(name)
        if load.over:
            return
        load.heard.add(name)
        load.listed[name] = set()
        for key, shard, epoch, seq, meta, size, along in body["open"]:
            data = None
            if along >= 0:
                data, at = blob[at : at + along], at + along
            if shard not in load.shards:
                continue
            load.listed[name].add(key)
            message = load.found.get(key)
            if message is None:
                message = load.found[key] = read(key, shard, epoch, seq, meta, data, size)
            elif message.body is None:
                message.body = data
            message.order = max(message.order, (epoch, seq))
            message.holders.add(name)
        self._try_finish(load)

    def _try_finish(self, load: _ShardRecovery) -> None:
        if load.over or self.replicator.index < load.roster or not self.replicator.knows_all(load.heard):
            return
        waits = [
            number
            for number, epoch in load.shards.items()
            if (shard := self.mine.get(number)) is not None
            and shard.before
            and (number, epoch) not in self._handed
            and self.world.now() - load.started < HANDOVER_S
        ]
        if waits:
            self.world.call_later(HANDOVER_S / 6, lambda: self._try_finish(load))
            return
        load.over = True
        self._loads.remove(load)
        self._ask_ended(load)

    def _ask_ended(self, load: _ShardRecovery) -> None:
        """A store that does not list a message as open may know that it has ended."""
        left = 0

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            nonlocal left
            left -= 1
            if isinstance(reply, Ok):
                for name, (end, seal) in reply.ok_value.body["found"].items():
                    message = load.found.pop(name, None) if end else None
                    if message is not None:
                        # Guards against an open copy that outlasts all who know of its end.
                        message.asked |= set(self.replicator.stores) - load.heard
                        self.replicator.mark(message, end, seal)
            if left == 0:
                self._serve(load)

        for name in sorted(load.heard):
            store = self.replicator.stores.get(name)
            # The owner before may have ended some after they were read and had that marked before it heard of
            # its successor: then it hands over neither their calls nor their ends.
            unlisted = [
                key
                for key, it in load.found.items()
                if key not in load.listed[name] or (it.shard, load.shards.get(it.shard)) in self._handed
            ]
            if store is not None and unlisted:
                left += 1
                self.world.request(store.address, "find", {"ids": unlisted}, FENCE_S, hear)
        if left == 0:
            self._serve(load)

    def _serve(self, load: _ShardRecovery) -> None:
        """Begin with what was read, each key in its order."""
        self.taken_over += len(load.found)
        if load.found:
            logging.info("%d open messages were read with %d shards", len(load.found), len(load.shards))
        now = [
            (number, shard)
            for number, epoch in load.shards.items()
            if (shard := self.mine.get(number)) is not None and shard.epoch == epoch
        ]
        numbers = {number for number, _ in now}
        unheard = frozenset(set(self.replicator.stores) - load.heard)
        out: dict[str, str] = {}
        for number, shard in now:
            said = self._handed.pop((number, shard.epoch), None)
            if said is not None:
                out.update(dict.fromkeys(said["out"], said["by"]))
        for message in sorted(load.found.values(), key=lambda it: it.order):
            if message.shard not in numbers or self.is_held(message.id):
                continue
            end, seal, failed = self._early.pop(message.id, ("", "", None))
            if end:
                self._settle(message.id, end, seal, False)
                continue
            message.failures += failed is True
            message.asked |= unheard
            if message.id in out and failed is None:
                message.out = True
                self.away[message.id] = out[message.id]
                self.world.call_later(AWAY_S, partial(self._no_outcome, message.id))
            self._take(message)
        for number, shard in now:
            shard.serving, shard.unheard = True, unheard
            waiting, shard.waiting = shard.waiting, []
            for message, then in waiting:
                self._put(number, shard, message, then)

    # -- accepting

    def accept(self, message: Message, then: Callable[[AdmissionOutcome], None]) -> None:
        """Have a message held by enough stores, and take it in hand."""
        if self.is_held(message.id):
            then(AdmissionOutcome.ACCEPTED)
            return
        if message.id in self.putting:
            self.putting[message.id].append(then)
            return
        shard = self.mine.get(message.shard)
        if shard is None:
            then(AdmissionOutcome.NOT_OWNER)
        elif not shard.serving:
            if len(shard.waiting) < WAITING_MOST:
                shard.waiting.append((message, then))
            else:
                then(AdmissionOutcome.REJECTED)
        else:
            self._put(message.shard, shard, message, then)

    def _put(
        self, number: int, shard: Shard, message: Message, then: Callable[[AdmissionOutcome], None]
    ) -> None:
        if self.is_held(message.id):
            then(AdmissionOutcome.ACCEPTED)
            return
        if message.id in self.putting:
            self.putting[message.id].append(then)
            return
        shard.numbers += 1
        message.order = shard.epoch, shard.numbers
        # Who may hold a copy of it from an earlier try is told of its end as well, else it comes back open.
        message.asked |= shard.unheard | self._tried.pop(message.id, set())
        self.putting[message.id] = [then]
        self.put_since[message.id] = self.world.now()

        def done(put: ReplicationOutcome) -> None:
            said = {
                ReplicationOutcome.REPLICATED: AdmissionOutcome.ACCEPTED,
                ReplicationOutcome.REJECTED: AdmissionOutcome.REJECTED,
                ReplicationOutcome.FENCED: AdmissionOutcome.NOT_OWNER,
            }.get(put, AdmissionOutcome.OUTCOME_UNKNOWN)
            held = self.mine.get(number)
            still = held is not None and held.epoch == shard.epoch
            if put is ReplicationOutcome.REPLICATED and message.end:
                self._settle(message.id, message.end, message.seal, False)
            elif put is ReplicationOutcome.REPLICATED and still:
                self._take(message)
            elif put is not ReplicationOutcome.REPLICATED:
                self._tried[message.id] = set(message.asked)
                while len(self._tried) > EARLY_MOST:
                    del self._tried[next(iter(self._tried))]
            del self.put_since[message.id]
            for answer in self.putting.pop(message.id):
                answer(said)

        self.replicator.put(message, shard.epoch, done)
