"""The replication state machines under random and exhaustive schedules, and mutations of their checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from amberlug.copies import holder, machine, owner, states
from amberlug.copies.states import Kind, MessageState
from amberlug.lab import copies as lab
from amberlug.lab.copies import play
from amberlug.lab.explore import FAULTS, explore

# Relays, copies, machines lost with their disks, and the number of random schedules.
WORLDS = [(3, 1, 1, 500), (4, 1, 1, 500), (5, 2, 2, 200)]


@pytest.mark.parametrize(("relays", "copies", "losses", "count"), WORLDS)
def test_random_schedules_lose_nothing_and_repeat_nothing(
    relays: int, copies: int, losses: int, count: int
) -> None:
    promised = 0
    for seed in range(count):
        world, broken = play(seed, relays, copies, losses=losses)
        assert broken == [], f"seed {seed}"
        promised += len(world.checker.promised)
    assert promised > count / 2  # guards against schedules in which nothing is accepted


@pytest.mark.parametrize("faults", [FAULTS, ("cut",), ("lost", "dies")], ids=["all", "cut", "lost"])
def test_all_schedules_of_a_small_model_up_to_a_depth(faults: tuple[str, ...]) -> None:
    exploration = explore(2500, faults=faults)
    assert exploration.broken == []
    assert exploration.depth >= (3 if faults == FAULTS else 5)


# Mutations: each replaces one safety check.


def _commits_at_once(self: owner.PendingRecord, write_quorum: int) -> bool:
    return True


def _without_fencing(
    self: holder.Holder, log: str, ballot: states.Ballot, number: int, batch: Any
) -> list[Any]:
    held_log = self.logs.get(log)
    if held_log is None:
        return ["nack", log, number, "unknown", None]
    for name, kind, fields in batch:
        held_log.copies.setdefault(name, MessageState()).add(kind, ballot, fields)
        self._store.record(log, name, kind, ballot, fields)
    return ["ack", log, number]


def _commits_kinds_at_once(*kinds: Kind) -> Callable[..., None]:
    """Commit records of some kinds before any holder stores them."""
    real = owner.Owner.record

    def record(self: owner.Owner, name: str, kind: Kind, fields: list[Any], now_us: int) -> None:
        if kind not in kinds:
            real(self, name, kind, fields, now_us)
            return
        self.copies[name].add(kind, self.ballot, fields)
        if not self.waits(name):
            self._on_committed(name)

    return record


def _promise_in_first_ballot_only(
    self: lab.MemoryStore, meta: states.LogMetadata, ballot: states.Ballot
) -> None:
    if not any(entry[1] == meta.log for entry in self.entries):
        self._keep(meta.encoded(), meta.log, "", "", meta.origin_ballot, [])


class _AnyIncarnation(str):
    """An incarnation that equals every other one."""

    __slots__ = ()
    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        return isinstance(other, str)

    def __ne__(self, other: object) -> bool:
        return False


def _any_incarnation(self: states.LogMetadata, name: str) -> str | None:
    return _AnyIncarnation() if name in dict(self.ensemble) else None


def _no_resend(self: owner.Owner, name: str, batch: owner.Batch) -> None:
    return None


def _always_confirmed(self: machine.Machine, name: str, own: str, now_us: int, seen: list[int]) -> None:
    self.confirmed = True


# Relays and copies, and the seeds to play.
WHERE: dict[str, tuple[tuple[int, int], range]] = {
    "acknowledged before stored": ((4, 1), range(200)),
    "no fencing": ((3, 1), range(200)),
    "attempt not replicated": ((3, 1), range(100)),
    "end reported before committed": ((3, 1), range(100)),
    "take-over without read quorum": ((4, 1), range(100)),
    "promise not persisted": ((4, 1), range(200)),
    "incarnation not checked": ((3, 1), range(700, 900)),
    "watermark not checked": ((3, 1), range(100, 300)),
    "nothing resent after a lost link": ((3, 1), range(100)),
}
MUTANTS: dict[str, tuple[object, str, Any]] = {
    "acknowledged before stored": (owner.PendingRecord, "is_committed", _commits_at_once),
    "no fencing": (holder.Holder, "records", _without_fencing),
    "attempt not replicated": (owner.Owner, "record", _commits_kinds_at_once(Kind.ATTEMPT)),
    "end reported before committed": (owner.Owner, "record", _commits_kinds_at_once(Kind.OWED)),
    "take-over without read quorum": (states.LogMetadata, "read_quorum", property(lambda self: 1)),
    "promise not persisted": (lab.MemoryStore, "promise", _promise_in_first_ballot_only),
    "incarnation not checked": (states.LogMetadata, "incarnation_of", _any_incarnation),
    "watermark not checked": (machine.Machine, "_on_watermark", _always_confirmed),
    "nothing resent after a lost link": (owner.Owner, "_requeue", _no_resend),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_mutation_is_found(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, name, replacement = MUTANTS[mutant]
    monkeypatch.setattr(target, name, replacement)
    if mutant == "watermark not checked":
        handlers = machine.Machine._handlers | {"water": replacement}
        monkeypatch.setattr(machine.Machine, "_handlers", handlers)
    # Seeds near the first that finds the mutation, of about 1,500 searched: the full search takes minutes.
    assert any(play(seed, *WHERE[mutant][0])[1] for seed in WHERE[mutant][1])


@pytest.mark.parametrize("mutant", ["attempt not replicated", "take-over without read quorum"])
def test_a_mutation_is_found_within_a_few_steps(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    target, name, replacement = MUTANTS[mutant]
    monkeypatch.setattr(target, name, replacement)
    exploration = explore(6000, settle_each=20)
    assert exploration.broken != []
    assert len(exploration.broken[0][1]) <= 6
