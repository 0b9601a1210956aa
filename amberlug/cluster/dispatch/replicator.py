"""Copies at stores: a message is held once enough have it, an end is told until they know. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from result import Err, Ok, Result

from amberlug.cluster.dispatch.message import Message
from amberlug.cluster.interfaces import Json, Reply, RequestFailure, Runtime, TimerHandle
from amberlug.cluster.settings import Tolerance

HEDGE_S = 0.03  # for a store to answer until a further one is asked as well
PUT_S = 1.2  # for enough stores to hold a message
SUSPECT_S = 1.0  # a silent store is asked last for so long
FULL_S = 3.0
EARLY_S = 0.1  # for a store that is new to know who owns what
MARK_S = 0.02  # ends are gathered for so long
MARK_ANSWER_S = 0.5
DARK_S = 0.15  # without an answer to anything until a store is taken for one that does not answer,
SLOWER = 2.5  # or so many times what its slowest answers of late took
FADES = 0.95  # with each answer
PROBE_S = 0.1  # between questions to such a store
AGAIN_S = 0.3  # between tries to tell a store that does not answer
MARKS = 512  # in one message


class ReplicationOutcome(Enum):
    """What came of keeping a message."""

    REPLICATED = "held"
    FENCED = "fenced"  # another owner has the shard: it may find what some store took
    OUTCOME_UNKNOWN = "unclear"  # some store may have it
    REJECTED = "refused"  # no store was reached: it is surely nowhere


@dataclass(frozen=True, slots=True)
class StorageMember:
    """A store of the roster."""

    name: str
    address: str
    zone: str
    region: str
    state: str

    @property
    def place(self) -> tuple[str, str]:
        return self.zone, self.region


class Replicator:
    """The stores, as an owner of shards uses them."""

    def __init__(self, world: Runtime, tolerance: Tolerance, zone: str, region: str, status_s: float) -> None:
        self.world, self.tolerance, self.zone, self.region = world, tolerance, zone, region
        self.status_s = status_s  # for how long an end is told
        self.stores: dict[str, StorageMember] = {}
        self.index = 0  # of the roster
        self._suspect: dict[str, float] = {}
        self._marks: dict[str, dict[str, list[object]]] = {}  # by store: ends that it has not acknowledged
        self._telling: set[str] = set()
        self._unanswered: dict[str, float] = {}  # by store: the first ask since its last answer
        self._took: dict[str, float] = {}  # by store: seconds that its slowest answers of late took
        self._probed: dict[str, float] = {}
        self._full: dict[str, float] = {}  # by store: until when it is not asked to hold anything
        self.hedges = 0

    def roster_is(self, roster: Json, index: int = 0) -> None:
        """Take the roster: each store by its disk, since a machine that lost its own is another one."""
        self.stores = {
            disk: StorageMember(it["name"], it["addr"], it["zone"], it["region"], it["state"])
            for disk, it in roster.items()
        }
        for known in (self._marks, self._unanswered, self._took, self._probed, self._full):
            for name in set(known) - set(self.stores):
                del known[name]
        self.index = index

    def _hold(self, disks: set[str]) -> bool:
        machines = {self.stores[disk].name: self.stores[disk].place for disk in disks if disk in self.stores}
        return self.tolerance.holds(list(machines.values()))

    def enough(self, disks: set[str]) -> bool:
        """Whether copies on these disks outlast what may be lost; lost and retiring ones don't count."""
        return self._hold(
            {disk for disk in disks if disk in self.stores and self.stores[disk].state == "full"}
        )

    def knows_all(self, heard: set[str]) -> bool:
        """Whether these disks tell of every message that is held: the others can't hold one alone."""
        return bool(heard & set(self.stores)) and not self._hold(set(self.stores) - heard)

    def asked(self, name: str) -> float:
        """A store is asked something, now."""
        now = self.world.now()
        self._unanswered.setdefault(name, now)
        return now

    def full(self, name: str) -> None:
        self._full[name] = self.world.now() + FULL_S

    def answered(self, name: str, asked: float) -> None:
        """A store answered what it was asked then."""
        self._unanswered.pop(name, None)
        self._took[name] = max(self.world.now() - asked, FADES * self._took.get(name, 0.0))

    def dark(self) -> bool:
        """Whether too few stores answer and have room: what is written now could only be given up on late.

        A slow answer is no silence: on links that lose packets some answer always is.
        """
        now = self.world.now()
        silent = {
            it
            for it in self._writable()
            if now - self._unanswered.get(it, now) > max(DARK_S, SLOWER * self._took.get(it, 0.0))
        }
        full = {name for name, until in self._full.items() if until > now}
        if self.enough(set(self._writable()) - silent - full):
            return False
        for name in sorted(silent):
            self._probe(name, now)
        return True

    def _probe(self, name: str, now: float) -> None:
        if now - self._probed.get(name, -1e9) < PROBE_S:
            return
        self._probed[name] = now

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if isinstance(reply, Ok) and reply.ok_value.body.get("ok"):
                self.answered(name, now)
            else:
                self.world.call_later(PROBE_S, self._look_again)

        self.world.request(self.stores[name].address, "marks", {"marks": []}, MARK_ANSWER_S, hear)

    def _look_again(self) -> None:
        """Ask until enough answer, also while no message comes."""
        self.dark()

    def _writable(self) -> list[str]:
        return [name for name, it in self.stores.items() if it.state == "full"]

    def suspect(self, name: str, seconds: float) -> None:
        self._suspect[name] = max(self._suspect.get(name, 0.0), self.world.now() + seconds)

    def broken(self, address: str) -> None:
        """The connection with a process ended."""
        for name, it in self.stores.items():
            if it.address == address:
                self.suspect(name, 0.3)

    def _ranked(self, message: Message) -> list[str]:
        now = self.world.now()
        names = sorted(self._writable())
        turn = (message.shard + message.order[1]) % max(1, len(names))
        names = names[turn:] + names[:turn]
        return sorted(
            names,
            key=lambda name: (
                self._suspect.get(name, 0.0) > now,
                self.stores[name].zone != self.zone,
                self.stores[name].region != self.region,
            ),
        )

    def put(self, message: Message, epoch: int, then: Callable[[ReplicationOutcome], None]) -> None:
        """Have enough stores hold a message."""
        _ReplicaWrite(self, message, epoch, self._ranked(message), then).begin()

    # -- ends

    def mark(self, message: Message, end: str, seal: str) -> None:
        """Have the stores know how a message ended."""
        message.end, message.seal = end, seal
        until = max(self.world.wall_clock() + self.status_s, message.keep_until)
        row = [message.id, message.shard, end, seal, round(until, 3)]
        holders = {name for name in message.holders | message.asked if name in self.stores}
        for name in self._ranked(message):
            if self.enough(holders):
                break
            holders.add(name)
        for name in sorted(holders):
            if self.stores[name].state == "lost":
                continue
            if not self._marks.get(name) and name not in self._telling:
                self.world.call_later(MARK_S, partial(self._tell, name))
            self._marks.setdefault(name, {})[message.id] = row

    def unmarked(self) -> dict[str, list[object]]:
        """Ends that some store has not acknowledged."""
        return {name: row for rows in self._marks.values() for name, row in rows.items()}

    @property
    def telling(self) -> int:
        """Ends that stores which answer do not know yet."""
        now = self.world.now()
        return sum(len(rows) for name, rows in self._marks.items() if self._suspect.get(name, 0.0) <= now)

    def _tell(self, name: str) -> None:
        store, waiting = self.stores.get(name), self._marks.get(name)
        if store is None or not waiting or name in self._telling:
            return
        self._telling.add(name)
        rows = list(waiting.values())[:MARKS]

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            self._telling.discard(name)
            if isinstance(reply, Ok):
                self.answered(name, asked)
            if isinstance(reply, Ok) and reply.ok_value.body.get("ok"):
                left = self._marks.get(name, {})
                for row in rows:
                    left.pop(str(row[0]), None)
                if left:
                    self.world.call_later(MARK_S, lambda: self._tell(name))
                return
            self._cover(name, rows)
            self.world.call_later(AGAIN_S, lambda: self._tell(name))

        asked = self.asked(name)
        self.world.request(store.address, "marks", {"marks": rows}, MARK_ANSWER_S, hear)

    def _cover(self, silent: str, rows: list[list[object]]) -> None:
        """A store does not answer: another one is told as well, so that enough of them know."""
        now = self.world.now()
        self.suspect(silent, AGAIN_S)
        for name in self._writable():
            if name != silent and self._suspect.get(name, 0.0) <= now:
                mine = self._marks.setdefault(name, {})
                mine.update({str(row[0]): row for row in rows if str(row[0]) not in mine})
                self.world.call_later(0.0, partial(self._tell, name))
                break


class _ReplicaWrite:
    """One message on its way to enough stores."""

    def __init__(
        self,
        replicator: Replicator,
        message: Message,
        epoch: int,
        ranked: list[str],
        then: Callable[[ReplicationOutcome], None],
    ) -> None:
        self.replicator, self.message, self.epoch, self.then = replicator, message, epoch, then
        # What holds it already is not asked again: a message that lacks a copy gets that one alone.
        self.asked = {disk for disk in message.holders if disk in ranked}
        self.left = [disk for disk in ranked if disk not in self.asked]
        self.waiting: set[str] = set()
        self.over = False
        self.unclear = False
        self.timer: TimerHandle | None = None
        self.until = replicator.world.now() + PUT_S
        self.body = {
            "id": message.id,
            "shard": message.shard,
            "epoch": epoch,
            "order": message.order,
            "meta": message.meta(),
        }

    def begin(self) -> None:
        if not self.replicator.enough(self.asked | set(self.left)):
            self._end(ReplicationOutcome.REJECTED)
            return
        while not self.over and not self.replicator.enough(self.asked):
            # A store that adds no further place is passed over until it is needed.
            place = next((it for it in self.left if not self._adds_nothing(it)), None) or self.left[0]
            self._ask(place)
        self._watch()

    def _adds_nothing(self, name: str) -> bool:
        tolerance = self.replicator.tolerance
        if tolerance.zones == 0 and tolerance.regions == 0:
            return False
        places = {self.replicator.stores[it].zone for it in self.asked}
        return self.replicator.stores[name].zone in places

    def _watch(self) -> None:
        if not self.over:
            self.timer = self.replicator.world.call_later(HEDGE_S, self._hedge)

    def _hedge(self) -> None:
        if self.over:
            return
        if self.replicator.world.now() >= self.until:
            self._end(ReplicationOutcome.OUTCOME_UNKNOWN)
            return
        for name in sorted(self.waiting):
            self.replicator.suspect(name, HEDGE_S)
        if self._left():
            self.replicator.hedges += 1
            self._ask(self.left[0])
        self._watch()

    def _left(self) -> list[str]:
        """The stores that were not asked yet; one may have been dropped while this was under way."""
        self.left = [name for name in self.left if name in self.replicator.stores]
        return self.left

    def _ask(self, name: str) -> None:
        self.left.remove(name)
        self.asked.add(name)
        self.message.asked.add(name)
        self.waiting.add(name)
        store = self.replicator.stores[name]
        body = self.message.body
        assert body is not None, "a message is kept with its body"
        asked = self.replicator.asked(name)
        within = max(0.05, self.until - self.replicator.world.now())

        def hear(reply: Result[Reply, RequestFailure]) -> None:
            if isinstance(reply, Ok):
                self.replicator.answered(name, asked)
            self._hear(name, reply)

        self.replicator.world.request(store.address, "put", self.body, within, hear, body)

    def _hear(self, name: str, reply: Result[Reply, RequestFailure]) -> None:
        self.waiting.discard(name)
        if isinstance(reply, Err):
            self.unclear |= reply.err_value is not RequestFailure.NOT_SENT
            self.replicator.suspect(
                name, 0.3 if reply.err_value is not RequestFailure.TIMED_OUT else SUSPECT_S
            )
        elif reply.ok_value.body.get("ok"):
            self.message.holders.add(reply.ok_value.body["disk"])  # its machine may have another one by now
            if "end" in reply.ok_value.body:  # it was taken and has ended under an earlier owner
                self.message.end, self.message.seal = reply.ok_value.body["end"], reply.ok_value.body["seal"]
                self._end(ReplicationOutcome.REPLICATED)
            elif self.message.end:
                self.replicator.mark(self.message, self.message.end, self.message.seal)
        elif reply.ok_value.body.get("fenced"):
            self._end(ReplicationOutcome.FENCED)
        else:
            full = bool(reply.ok_value.body.get("full"))
            self.replicator.suspect(name, FULL_S if full else EARLY_S)
            if full:
                self.replicator.full(name)
        if self.over:
            return
        if self.replicator.enough(self.message.holders):
            self._end(ReplicationOutcome.REPLICATED)
        elif not self.replicator.enough(self.message.holders | self.waiting):
            if self._left():
                self._ask(self.left[0])
            elif not self.waiting:
                sure = not self.unclear and not self.message.holders
                self._end(ReplicationOutcome.REJECTED if sure else ReplicationOutcome.OUTCOME_UNKNOWN)

    def _end(self, put: ReplicationOutcome) -> None:
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        self.then(put)
