"""Copies in a small world, all schedules up to a depth: three relays, one copy, two unsafe messages.

What may happen next is each of: a frame arrives, is lost, doubled or overtaken; a partner's answer comes; the
relay that took them on is lost with its disk; another one dies and comes back on its folder; it is cut off
from the others and they from it, and that heals; time passes. Each trouble happens once at the most. Two ways
to the same state are one. What bounds it is the number of steps: `explore` says how many states there were,
and up to which depth all of them were seen. With fewer troubles it sees deeper.

How much disks have kept is told by frames of their own, which arrive at once: their order says nothing new.
"""

from __future__ import annotations

import hashlib
import pickle
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgpack

from amberlug.lab.copies import World

TICK = 20  # steps of the world's clock in one: four of them are longer than silence is borne
URGENT = "water", "live", "opened", "open", "drop"
TROUBLES = "lose frame", "double", "overtake", "lost", "dies", "cut"
Action = tuple[str, ...]


@dataclass
class Small:
    """The world, and which troubles are still to come."""

    world: World
    left: set[str]
    ticks: int = 6
    down: str = ""


def begin(troubles: Sequence[str] = TROUBLES) -> Small:
    """The world with two messages on their way to being taken on."""
    world = World(3, 1, seed=1)
    small = Small(world, set(troubles))
    world.collect()
    for _ in range(3):
        world.hand_in("n0")  # the first one has the log made, which then is opened
        _rush(world)
    world.checker.promised.clear()
    for name in ("n0", "n0"):
        world.hand_in(name)
    _rush(world)
    return small


def _rush(world: World) -> None:
    """Have what is not explored arrive at once."""
    more = True
    while more:
        more = False
        for pair in sorted(world.flying):
            for at, (_, frame) in enumerate(world.flying.get(pair, ())):
                if msgpack.unpackb(frame)[1][0] in URGENT:
                    world.deliver(pair, at)
                    more = True
                    break


def actions(small: Small) -> Iterator[Action]:
    """All that may happen next."""
    world, left = small.world, small.left
    for pair in sorted(world.flying):
        yield "arrives", *pair
        if "lose frame" in left:
            yield "lose frame", *pair
        if "double" in left:
            yield "double", *pair
        if "overtake" in left and len(world.flying[pair]) > 1:
            yield "overtake", *pair
    for name, relay in sorted(world.relays.items()):
        for message, what in sorted(relay.doing.items()):
            if what == "answer":
                yield "answered", name, message
    if "lost" in left and "n0" in world.relays:
        yield ("lost",)
    if "dies" in left and not small.down:
        yield ("dies",)
    if small.down:
        yield ("comes back",)
    if "cut" in left:
        yield ("cut",)
    if world.cut:
        yield ("heals",)
    if small.ticks:
        yield ("time",)


def act(small: Small, action: Action) -> None:
    """Have one thing happen."""
    world, (what, *more) = small.world, action
    small.left.discard(what)
    if what in ("arrives", "double", "overtake"):
        world.deliver((more[0], more[1]), 1 if what == "overtake" else 0, keep=what == "double")
    elif what == "lose frame":
        frames = world.flying[more[0], more[1]]
        frames.pop(0)
        if not frames:
            del world.flying[more[0], more[1]]
    elif what == "answered":
        world.relays[more[0]].answered(more[1])
    elif what == "lost":
        world.end("n0", disk=False)
    elif what == "dies":
        small.down = "n1"
        world.end("n1", disk=True)
    elif what == "comes back":
        world.start(small.down)
        small.down = ""
    elif what == "cut":
        for other in ("n1", "n2"):
            world.sever("n0", other)
            world.sever(other, "n0")
    elif what == "heals":
        world.heal()
    else:
        small.ticks -= 1
        for _ in range(TICK):
            world.tick()
            _rush(world)
    world.collect()
    _rush(world)


def digest(small: Small) -> bytes:
    """What tells two states apart: all that may have a part in what happens next."""
    world = small.world
    told: list[object] = []
    for name, relay in sorted(world.relays.items()):
        machine = relay.machine
        for log, owner in sorted(machine.owners.items()):
            waiting = [
                (name, [(it.kind, it.fields, sorted(it.sent_to), sorted(it.acked_by)) for it in entries])
                for name, entries in sorted(owner._waiting.items())
            ]
            holders = [
                (name, it.opened, it.away_since_us, len(it.in_flight)) for name, it in owner.holders.items()
            ]
            copies = [(name, it.encoded()) for name, it in sorted(owner.copies.items())]
            told.append((log, owner.ballot, owner.state, waiting, holders, copies))
        for log, of in sorted(machine.holder.logs.items()):
            copies = [(name, it.encoded()) for name, it in sorted(of.copies.items())]
            told.append((log, of.promised, of.owner_left, of.opened_by_owner, copies))
        follows = [(log, it.ballot, sorted(it._progress)) for log, it in sorted(machine.takeovers.items())]
        near = [(it.incarnation, it.linked, it.heard_us) for _, it in sorted(machine.peers.items())]
        told.append((name, sorted(relay.doing.items()), machine.confirmed, follows, near))
    told.append((sorted(world.flying.items()), sorted(world.cut), world.now_us))
    told.append((sorted(world.checker.promised), sorted(world.checker.calls.items())))
    told.append((sorted(small.left), small.ticks, small.down))
    return hashlib.blake2b(repr(told).encode(), digest_size=16).digest()


@dataclass(slots=True)
class Explored:
    """What was seen."""

    states: int = 0
    depth: int = 0  # up to which every state was seen
    broken: list[tuple[list[str], list[Action]]] = field(default_factory=list)


def explore(most: int, settle_each: int = 50, troubles: Sequence[str] = TROUBLES) -> Explored:
    """See all states up to so many, the nearest first; the first that breaks a promise ends it.

    Each state's own history is checked. Of every `settle_each`-th, and of those at which nothing more can
    happen, all is brought back and has to come to rest with each promise kept.
    """
    found, first = Explored(), begin(troubles)
    front: list[tuple[bytes, list[Action]]] = [(pickle.dumps(first), [])]
    seen = {digest(first)}
    while front and found.states < most:
        following = []
        for packed, path in front:
            for action in actions(pickle.loads(packed)):
                small: Small = pickle.loads(packed)
                act(small, action)
                if (mark := digest(small)) in seen:
                    continue
                seen.add(mark)
                found.states += 1
                way = [*path, action]
                broken = list(small.world.checker.broken)
                following.append((pickle.dumps(small), way))
                if not broken and (found.states % settle_each == 0 or not any(actions(small))):
                    small.world.settle()
                    broken = small.world.checker.finish()
                if broken:
                    found.broken.append((broken, way))
                    return found
            if found.states >= most:
                return found
        found.depth += 1
        front = following
    return found
