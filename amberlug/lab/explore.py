"""Bounded model checking of replication: three relays, one copy, two messages that are unsafe to repeat.

The possible next actions are: a frame arrives, is lost, duplicated or reordered; a partner responds; the
relay that accepted the messages is lost with its disk; another one crashes and restarts on its disk; the
accepting relay is partitioned from the others in both directions, and the partition heals; time passes. Each
fault happens at most once. Equal states are explored once. The search is breadth-first and bounded by the
number of states: `explore` reports how many it saw and the depth up to which all were seen. With fewer faults
it gets deeper.

Frames that only report how much a disk has stored are delivered at once: their order adds no new behaviour.
"""

from __future__ import annotations

import hashlib
import pickle
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgpack

from amberlug.lab.copies import World

TICK = 20  # clock steps per time action; four actions exceed the time after which a silent peer is suspected
URGENT_FRAMES = "water", "live", "opened", "open", "drop"
FAULTS = "lose frame", "double", "overtake", "lost", "dies", "cut"
Action = tuple[str, ...]


@dataclass
class ExplorationState:
    """The world and the faults that may still happen."""

    world: World
    left: set[str]
    ticks: int = 6
    down: str = ""


def initial_state(faults: Sequence[str] = FAULTS) -> ExplorationState:
    """Build the initial state: two messages submitted and not yet accepted."""
    world = World(3, 1, seed=1)
    state = ExplorationState(world, set(faults))
    world.collect()
    for _ in range(3):
        world.hand_in("n0")  # the first submission creates the log, which is opened afterwards
        _deliver_urgent(world)
    world.checker.promised.clear()
    for name in ("n0", "n0"):
        world.hand_in(name)
    _deliver_urgent(world)
    return state


def _deliver_urgent(world: World) -> None:
    """Deliver the frames whose order is not explored."""
    more = True
    while more:
        more = False
        for pair in sorted(world.frames_in_flight):
            for at, (_, frame) in enumerate(world.frames_in_flight.get(pair, ())):
                if msgpack.unpackb(frame)[1][0] in URGENT_FRAMES:
                    world.deliver(pair, at)
                    more = True
                    break


def actions(state: ExplorationState) -> Iterator[Action]:
    """List the actions possible in a state."""
    world, left = state.world, state.left
    for pair in sorted(world.frames_in_flight):
        yield "arrives", *pair
        if "lose frame" in left:
            yield "lose frame", *pair
        if "double" in left:
            yield "double", *pair
        if "overtake" in left and len(world.frames_in_flight[pair]) > 1:
            yield "overtake", *pair
    for name, relay in sorted(world.relays.items()):
        for message, what in sorted(relay.next_steps.items()):
            if what == "answer":
                yield "answered", name, message
    if "lost" in left and "n0" in world.relays:
        yield ("lost",)
    if "dies" in left and not state.down:
        yield ("dies",)
    if state.down:
        yield ("comes back",)
    if "cut" in left:
        yield ("cut",)
    if world.cut:
        yield ("heals",)
    if state.ticks:
        yield ("time",)


def act(state: ExplorationState, action: Action) -> None:
    """Apply one action."""
    world, (what, *more) = state.world, action
    state.left.discard(what)
    if what in ("arrives", "double", "overtake"):
        world.deliver((more[0], more[1]), 1 if what == "overtake" else 0, keep=what == "double")
    elif what == "lose frame":
        frames = world.frames_in_flight[more[0], more[1]]
        frames.pop(0)
        if not frames:
            del world.frames_in_flight[more[0], more[1]]
    elif what == "answered":
        world.relays[more[0]].answered(more[1])
    elif what == "lost":
        world.end("n0", disk=False)
    elif what == "dies":
        state.down = "n1"
        world.end("n1", disk=True)
    elif what == "comes back":
        world.start(state.down)
        state.down = ""
    elif what == "cut":
        for other in ("n1", "n2"):
            world.block_direction("n0", other)
            world.block_direction(other, "n0")
    elif what == "heals":
        world.heal()
    else:
        state.ticks -= 1
        for _ in range(TICK):
            world.tick()
            _deliver_urgent(world)
    world.collect()
    _deliver_urgent(world)


def digest(state: ExplorationState) -> bytes:
    """Hash everything in a state that can affect its future."""
    world = state.world
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
        told.append((name, sorted(relay.next_steps.items()), machine.confirmed, follows, near))
    told.append((sorted(world.frames_in_flight.items()), sorted(world.cut), world.now_us))
    told.append((sorted(world.checker.promised), sorted(world.checker.calls.items())))
    told.append((sorted(state.left), state.ticks, state.down))
    return hashlib.blake2b(repr(told).encode(), digest_size=16).digest()


@dataclass(slots=True)
class ExplorationResult:
    """Result of an exploration."""

    states: int = 0
    depth: int = 0  # depth up to which every state was seen
    broken: list[tuple[list[str], list[Action]]] = field(default_factory=list)


def explore(most: int, settle_each: int = 50, faults: Sequence[str] = FAULTS) -> ExplorationResult:
    """Explore up to `most` states breadth-first, and stop at the first violation.

    The history of each state is checked. From every `settle_each`-th state, and from states without further
    actions, all faults are ended and the world has to settle without losing an accepted message.
    """
    found, first = ExplorationResult(), initial_state(faults)
    front: list[tuple[bytes, list[Action]]] = [(pickle.dumps(first), [])]
    seen = {digest(first)}
    while front and found.states < most:
        following = []
        for packed, path in front:
            for action in actions(pickle.loads(packed)):
                state: ExplorationState = pickle.loads(packed)
                act(state, action)
                if (mark := digest(state)) in seen:
                    continue
                seen.add(mark)
                found.states += 1
                next_path = [*path, action]
                broken = list(state.world.checker.broken)
                following.append((pickle.dumps(state), next_path))
                if not broken and (found.states % settle_each == 0 or not any(actions(state))):
                    state.world.settle()
                    broken = state.world.checker.finish()
                if broken:
                    found.broken.append((broken, next_path))
                    return found
            if found.states >= most:
                return found
        found.depth += 1
        front = following
    return found
