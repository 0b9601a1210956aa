"""Randomized test of replication: real state machines of a few relays, a faulty network, and a checker.

Frames are delivered, lost, duplicated, delayed or reordered; relays crash with or without losing their
disk, restart, are partitioned or pause. A relay does the minimum that the protocol asks for a message: it
accepts it once the record is committed, calls the partner once the attempt is committed, and reports the
outcome once that is committed. All messages are unsafe to repeat, so a second call is always a violation.
"""

from __future__ import annotations

import copy
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import msgpack

from amberlug.copies.holder import HeldLog, apply_stored
from amberlug.copies.machine import Machine, Watermark
from amberlug.copies.states import Ballot, Kind, LogMetadata, MessageState, decode_metadata
from amberlug.peers.fleet import Fleet, Member

STEP_US = 20_000
START_MS = 1_790_000_000_000
LIFE_MS = 3_600_000  # message lifetime; far beyond a run, as the node enforces deadlines, not replication


class MemoryStore:
    """In-memory store of a replica holder: entries as they were written, replayed after a restart."""

    def __init__(self) -> None:
        self.entries: list[tuple[Any, ...]] = []
        self.full, self.kept = False, 0

    def promise(self, meta: LogMetadata, ballot: Ballot) -> None:
        """Store a log's metadata and its promised ballot; raises `OSError` if the store is full."""
        self._keep(meta.encoded(), meta.log, "", "", ballot, [])

    def record(self, log: str, name: str, kind: str, ballot: Ballot, told: list[Any]) -> None:
        """Store a record of a message; raises `OSError` if the store is full."""
        self._keep(None, log, name, kind, ballot, told)

    def drop(self, log: str) -> None:
        """Remove all entries of a log."""
        self.entries = [it for it in self.entries if it[1] != log]

    def _keep(self, *entry: Any) -> None:
        if self.full:
            raise OSError("full")
        self.kept += 1
        self.entries.append(copy.deepcopy(entry))

    def read(self) -> dict[str, HeldLog]:
        """Rebuild the logs that a holder starts with."""
        logs: dict[str, HeldLog] = {}
        for meta, log, name, kind, ballot, told in copy.deepcopy(self.entries):
            apply_stored(logs, None if meta is None else decode_metadata(meta), log, name, kind, ballot, told)
        return logs


@dataclass
class Disk:
    """State of a relay that survives its process."""

    incarnation: str
    store: MemoryStore = field(default_factory=MemoryStore)
    journal: dict[str, MessageState] = field(default_factory=dict)  # own messages, rebuilt from records
    records: int = 0
    log_of: dict[str, str] = field(default_factory=dict)
    metas: dict[str, LogMetadata] = field(default_factory=dict)
    seen: dict[str, dict[str, Watermark]] = field(default_factory=dict)  # last watermark of each peer
    lives: int = 0


class Checker:
    """Records what clients, partners and the platform observe, and finds violations."""

    def __init__(self) -> None:
        self.promised: set[str] = set()
        self.calls: Counter[str] = Counter()
        self.ends: dict[str, set[str]] = defaultdict(set)
        self.broken: list[str] = []

    def called(self, name: str) -> None:
        """Record a call to the partner; a second call for the same message is a violation."""
        self.calls[name] += 1
        if self.calls[name] > 1:
            self.broken.append(f"{name}: twice")

    def told(self, name: str, end: str) -> None:
        """Record a reported outcome; two different outcomes of one message are a violation."""
        self.ends[name].add(end)
        if len(self.ends[name]) > 1:
            self.broken.append(f"{name}: told {sorted(self.ends[name])}")

    def finish(self) -> list[str]:
        """Return all violations; an accepted message without an outcome is one."""
        lost = [f"{name}: lost" for name in sorted(self.promised) if not self.ends[name]]
        return [*self.broken, *lost]


class Relay:
    """One relay process: the real state machine and a minimal node. It runs until `World` ends it."""

    def __init__(self, world: World, fleet: Fleet, disk: Disk) -> None:
        self.world, self.disk, self.name = world, disk, fleet.name
        self.machine = Machine(fleet, disk.incarnation, disk.store, self, world.now_us, disk.lives == 0)
        disk.lives += 1
        self.machine.holder.logs = disk.store.read()
        for other, seen in disk.seen.items():
            self.machine.peers[other].watermark = dict(seen)
            self.machine.peers[other].incarnation = next(iter(seen))
        self.next_steps: dict[str, str] = {}  # per message, the next step once its records are committed
        self.log_of: dict[str, str] = dict(disk.log_of)
        newest = next(reversed(disk.metas), "")
        by_log: dict[str, dict[str, MessageState]] = defaultdict(dict)
        ended: dict[str, dict[str, int]] = defaultdict(dict)
        for name, it in disk.journal.items():
            if it.ended is None:
                by_log[disk.log_of[name]][name] = copy.deepcopy(it)
            else:
                ended[disk.log_of[name]][name] = it.ended[1]
        for log, meta in list(disk.metas.items()):
            self.machine.reopen(meta, by_log[log], ended[log], log == newest, world.now_us)
            for name, it in by_log[log].items() if log in self.machine.owners else ():
                self._resume(name, it)

    # Callbacks of the state machine.

    def watermark(self) -> Watermark:
        """Return how much this disk has stored: records of own messages, and entries of the store."""
        return self.disk.records, self.disk.store.kept

    def watermark_observed(self, name: str, incarnation: str, watermark: Watermark) -> None:
        """Persist another relay's watermark and the incarnation to which it belongs."""
        self.disk.seen[name] = {incarnation: watermark}

    def outdated_directory(self) -> None:
        """Report that this relay's directory is older than other relays have seen it."""
        self.world.outdated.append(self.name)

    def wall_ms(self) -> int:
        """Return the simulated Unix time in milliseconds."""
        return START_MS + self.world.now_us // 1000

    def random_fraction(self) -> float:
        """Return a random number from 0 to 1 from the seeded generator."""
        return self.world.chance.random()

    def until_ms(self, name: str) -> int:
        """Return the Unix time in milliseconds one message lifetime from now."""
        return self.wall_ms() + LIFE_MS

    def opened(self, meta: LogMetadata, older: dict[str, list[str]]) -> None:
        """Persist the metadata of the newest log."""
        self.disk.metas[meta.log] = meta

    def committed(self, log: str, name: str) -> None:
        """Take the next step of a message, now that its records are committed."""
        what = self.next_steps.get(name, "")
        if what != "answer":  # a state that is recorded again is reported as committed again
            self.next_steps.pop(name, None)
        if what == "take":
            self.world.checker.promised.add(name)
            self._attempt(log, name)
        elif what == "go on":
            self._attempt(log, name)
        elif what == "call":
            self.world.call(self, name)
        elif what.startswith("tell "):
            self.world.checker.told(name, what[5:])
            self._record(log, name, Kind.ENDED, [self.until_ms(name)])
            self.log_of.pop(name, None)

    def adopted(self, log: str, copies: dict[str, MessageState]) -> None:
        """Resume the messages of a log that this relay has taken over."""
        for name, it in copies.items():
            self.log_of[name] = log
            self._resume(name, it)

    def superseded(self, log: str, names: list[str], kept: bool) -> None:
        """Stop work on the messages of a log that another relay has taken over."""
        for name in names:
            self.next_steps.pop(name, None)
            self.log_of.pop(name, None)
            if kept and name in self.disk.journal:
                self.disk.journal[name].ended = (0, "", ""), 0
        if kept:
            self.disk.metas.pop(log, None)

    # Minimal node.

    def hand_in(self, name: str) -> None:
        """Accept a message if enough relays are available to hold its copies."""
        owner = self.machine.log_for(self.machine.fleet.copies, self.world.now_us)
        if owner is None or owner.short or name in self.log_of:
            return
        log = owner.meta.log
        self.log_of[name] = self.disk.log_of[name] = log
        self.next_steps[name] = "take"
        until_ms = self.wall_ms() + LIFE_MS
        self._record(log, name, Kind.TAKEN, ["payment", None, 1, None, b"x", until_ms, self.wall_ms()])

    def _record(self, log: str, name: str, kind: Kind, told: list[Any]) -> None:
        owner = self.machine.owners.get(log)
        if owner is None:
            return
        if owner.ballot == owner.meta.origin_ballot:
            self.disk.journal.setdefault(name, MessageState()).add(kind, owner.ballot, copy.deepcopy(told))
            self.disk.records += 1
        owner.record(name, kind, told, self.world.now_us)
        owner.flush(self.world.now_us)

    def _attempt(self, log: str, name: str) -> None:
        self.next_steps[name] = "call"
        self._record(log, name, Kind.ATTEMPT, [0, self.wall_ms(), "e"])

    def _resume(self, name: str, it: MessageState) -> None:
        """Continue a message that a previous process or another relay began."""
        log = self.log_of[name]
        if it.owed is not None:
            self.next_steps[name] = f"tell {it.owed[1][0]}"
        elif it.tried:  # the call may have been executed, and a repeat is unsafe
            self._end(log, name, "given_up")
        else:
            self.next_steps[name] = "go on"

    def _end(self, log: str, name: str, how: str) -> None:
        self.next_steps[name] = f"tell {how}"
        self._record(log, name, Kind.OWED, [how, 0])

    def answered(self, name: str) -> None:
        """Handle the partner's response: the message is delivered."""
        if (log := self.log_of.get(name)) is not None:
            self._end(log, name, "delivered")

    def settled(self) -> bool:
        """Whether no message waits for a further step here."""
        return not self.next_steps


class World:
    """Simulated relays and the network between them."""

    def __init__(self, relays: int, copies: int, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now_us = 10_000_000
        members = tuple(Member(f"n{at}", ("127.0.0.1", 1), f"m{at}", "ab"[at % 2]) for at in range(relays))
        self._fleets = {
            it.name: Fleet(
                it.name, members, copies, suspect_s=0.6, stagger_s=0.2, replace_s=1.0, confirm_s=86_400.0
            )
            for it in members
        }
        self.disks = {name: Disk(f"{name}-0") for name in self._fleets}
        self.checker = Checker()
        self.relays: dict[str, Relay] = {}
        self.frames_in_flight: dict[tuple[str, str], list[tuple[str, bytes]]] = defaultdict(list)
        self.cut: set[tuple[str, str]] = set()  # blocked (sender, receiver) pairs
        self.paused: set[str] = set()
        self.lost_disks = self.folders = 0
        self.outdated: list[str] = []  # relays that detected a directory restored from an older copy
        self.kept: dict[str, Disk] = {}  # per relay, an older copy of its directory
        self._names = 0
        for name in self._fleets:
            self.start(name)

    # Relays.

    def start(self, name: str) -> None:
        """Start a relay process on its present disk."""
        self.relays[name] = Relay(self, self._fleets[name], self.disks[name])
        for other in self.relays:
            if other != name:
                self._link(name, other)
                self._link(other, name)

    def _link(self, name: str, other: str) -> None:
        if (name, other) not in self.cut:
            self.relays[name].machine.connected(other, self.disks[other].incarnation, self.now_us)

    def end(self, name: str, disk: bool) -> None:
        """Crash a relay; without `disk`, its disk is lost as well."""
        self.relays.pop(name)
        self.paused.discard(name)
        for pair in [pair for pair in self.frames_in_flight if name in pair]:
            del self.frames_in_flight[pair]
        for other in self.relays.values():
            other.machine.disconnected(name, self.now_us)
        if not disk:
            self.lost_disks += 1
            self.folders += 1
            self.disks[name] = Disk(f"{name}-{self.folders}")

    def keep(self, name: str) -> None:
        """Back up a relay's directory."""
        self.kept[name] = copy.deepcopy(self.disks[name])

    def restore_backup(self, name: str) -> None:
        """Crash a relay and restore its directory from the backup."""
        self.end(name, disk=True)
        self.lost_disks += 1
        self.disks[name] = self.kept.pop(name)

    def call(self, relay: Relay, name: str) -> None:
        """Call a partner; the response arrives later, if the caller still runs."""
        self.checker.called(name)
        relay.next_steps[name] = "answer"

    # The network.

    def collect(self) -> None:
        """Send the relays' outgoing frames; a relay's frames to itself are delivered at once."""
        while self.outdated:  # such a relay restarts with an empty directory
            if (name := self.outdated.pop()) in self.relays:
                self.end(name, disk=False)
                self.start(name)
        for name, relay in list(self.relays.items()):
            while relay.machine.out and name not in self.paused:
                sent, relay.machine.out = relay.machine.out, []
                watermark = relay.watermark()
                for to, message in sent:
                    if to == name:
                        self._arrive(name, to, msgpack.packb([watermark, message]))
                    elif (name, to) not in self.cut and to in self.relays:
                        self.frames_in_flight[name, to].append(
                            (self.disks[name].incarnation, msgpack.packb([watermark, message]))
                        )

    def _arrive(self, name: str, to: str, frame: bytes, incarnation: str | None = None) -> None:
        machine = self.relays[to].machine
        watermark, told = msgpack.unpackb(frame)
        machine.receive(name, incarnation or self.disks[name].incarnation, watermark, told, self.now_us)

    def deliver(self, pair: tuple[str, str], at: int = 0, keep: bool = False) -> None:
        """Deliver one frame of a link, the first by default; with `keep` it stays queued as a duplicate."""
        frames = self.frames_in_flight[pair]
        incarnation, frame = frames[at] if keep else frames.pop(at)
        if not frames:
            self.frames_in_flight.pop(pair, None)
        if pair not in self.cut and pair[1] in self.relays:
            self._arrive(*pair, frame, incarnation)
        self.collect()

    def block_direction(self, name: str, other: str) -> None:
        """Block one direction between two relays: frames in flight are lost, and the sender is notified."""
        self.cut.add((name, other))
        self.frames_in_flight.pop((name, other), None)
        if name in self.relays:
            self.relays[name].machine.disconnected(other, self.now_us)

    def heal(self) -> None:
        """End all partitions and pauses."""
        self.paused.clear()
        pairs, self.cut = self.cut, set()
        for name, other in pairs:
            if name in self.relays and other in self.relays:
                self._link(name, other)

    def tick(self) -> None:
        """Advance the clock by one step."""
        self.now_us += STEP_US
        for name, relay in list(self.relays.items()):
            if name not in self.paused:
                relay.machine.tick(self.now_us)
        self.collect()

    def hand_in(self, name: str) -> None:
        """Submit a new message to a relay."""
        self._names += 1
        self.relays[name].hand_in(f"m{self._names}")
        self.collect()

    def settle(self, most: int = 1500) -> None:
        """End all faults, start all relays, and run until nothing is pending, for `most` steps at most."""
        self.heal()
        for name in self._fleets:
            if name not in self.relays:
                self.start(name)
        for _ in range(most):
            for pair in list(self.frames_in_flight):
                while pair in self.frames_in_flight:
                    self.deliver(pair)
            for relay in self.relays.values():
                for name, what in list(relay.next_steps.items()):
                    if what == "answer":
                        relay.answered(name)
            self.tick()
            if self._is_settled():
                return

    def _is_settled(self) -> bool:
        resting = all(it.settled() and not it.machine.takeovers for it in self.relays.values())
        return resting and not self.frames_in_flight and not (self.checker.promised - self._ended())

    def _ended(self) -> set[str]:
        return {name for name, ends in self.checker.ends.items() if ends}


def play(
    seed: int, relays: int = 4, copies: int = 1, steps: int = 300, losses: int = 1
) -> tuple[World, list[str]]:
    """Run one random schedule with at most `losses` disks lost or restored from a backup."""
    world = World(relays, copies, seed)
    chance = world.chance
    world.collect()
    frequent_restarts = chance.random() < 0.5  # frequent restarts in addition to partitions
    for _ in range(steps):
        if frequent_restarts and chance.random() < 0.04:
            _restart(world, chance)
        else:
            _step(world, chance, losses)
    world.settle()
    return world, world.checker.finish()


def _step(world: World, chance: random.Random, losses: int) -> None:
    drawn, up = chance.random(), sorted(set(world.relays) - world.paused)
    pairs = sorted(pair for pair in world.frames_in_flight if pair[1] not in world.paused)
    if drawn < 0.55 and pairs:
        pair = chance.choice(pairs)
        odd, frames = chance.random(), len(world.frames_in_flight[pair])
        if odd < 0.03:
            world.frames_in_flight[pair].pop(chance.randrange(frames))  # lost
            if not world.frames_in_flight[pair]:
                del world.frames_in_flight[pair]
        else:
            world.deliver(pair, chance.randrange(frames) if odd < 0.15 else 0, keep=odd > 0.95)
    elif drawn < 0.72:
        world.tick()
    elif drawn < 0.82 and up:
        world.hand_in(chance.choice(up))
    elif drawn < 0.92 and up:
        relay = world.relays[chance.choice(up)]
        waiting = sorted(name for name, what in relay.next_steps.items() if what == "answer")
        if waiting:
            relay.answered(chance.choice(waiting))
            world.collect()
    else:
        _fault(world, chance, up, losses)


def _restart(world: World, chance: random.Random) -> None:
    """Restart a relay on its disk, or partition one long enough for others to take over its log."""
    up = sorted(set(world.relays) - world.paused)
    if len(up) > 1 and chance.random() < 0.7:
        name = chance.choice(up)
        world.end(name, disk=True)
        world.start(name)
    elif len(up) > 1:
        name = chance.choice(up)
        for other in up:
            if other != name and chance.random() < 0.8:
                world.block_direction(name, other)
                world.block_direction(other, name)
        for _ in range(50):
            world.tick()
            for pair in [pair for pair in world.frames_in_flight if chance.random() < 0.9]:
                if pair in world.frames_in_flight:
                    world.deliver(pair)
    world.collect()


def _fault(world: World, chance: random.Random, up: list[str], losses: int) -> None:
    drawn = chance.random()
    down = sorted(set(world.disks) - set(world.relays))
    if drawn < 0.15 and len(up) > 1:
        lose = world.lost_disks < losses and chance.random() < 0.6
        world.end(chance.choice(up), disk=not lose)
    elif drawn < 0.18 and up:
        world.keep(chance.choice(up))
    elif drawn < 0.22 and world.lost_disks < losses and set(up) & set(world.kept):
        world.restore_backup(chance.choice(sorted(set(up) & set(world.kept))))
    elif drawn < 0.45 and down:
        world.start(chance.choice(down))
    elif drawn < 0.6 and len(up) > 1:
        name, other = chance.sample(up, 2)
        world.block_direction(name, other)
        if chance.random() < 0.6:
            world.block_direction(other, name)
    elif drawn < 0.75:
        world.heal()
    elif drawn < 0.85 and up:
        world.paused.add(chance.choice(up))
    else:
        for _ in range(chance.randrange(10, 60)):
            world.tick()
    world.collect()
