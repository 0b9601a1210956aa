"""Members of the core's log, one at a time."""

import random
from collections.abc import Callable
from typing import Any

from amberlug.cluster.consensus.log import Entry, PersistentState, encode
from amberlug.cluster.consensus.raft import RaftNode, StateMachine
from amberlug.cluster.consensus.snapshot_transfer import (
    CHUNK_BYTES,
    OutgoingTransfer,
    SendWindow,
    TransferHeader,
)
from amberlug.cluster.interfaces import Json
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import ControlDisk
from tests.cluster.fakes import Alone

MEMBERS = {name: {"addr": name, "voter": True} for name in "abc"}


class Refusing:
    """A disk that refuses entries for a while."""

    def __init__(self) -> None:
        self.full = False
        self.entries: dict[int, Any] = {}

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: Callable[[str | None], None]) -> None:
        if self.full and any(kind == "entry" for kind, _ in rows):
            then("no space is left")
            return
        for kind, values in rows:
            if kind == "cut":
                self.entries = {at: it for at, it in self.entries.items() if at < values[0]}
            elif kind == "entry":
                self.entries[values[0]] = values[1:]
        then(None)


def test_entries_that_the_disk_refused_are_not_acknowledged_and_are_written_again() -> None:
    clock, disk = Clock(), Refusing()
    raft = RaftNode(
        Alone(clock),
        disk,
        PersistentState("a", members=MEMBERS),
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )

    def append(before: int, *entries: tuple[int, Json]) -> list[Json]:
        said: list[Json] = []
        body = {"term": 1, "me": "b", "to": "a", "commit": 0, "prev": before, "prev_term": 1 if before else 0}
        handlers_of(raft)["vise.append"](
            {**body, "entries": list(entries)}, b"", "b", lambda body, blob: said.append(body)
        )
        return said

    disk.full = True
    assert append(0, (1, {"n": 1})) == []
    assert append(0, (1, {"n": 1})) == []
    disk.full = False
    assert append(1, (1, {"n": 2})) == []  # behind a gap it is worth nothing
    assert disk.entries == {}
    clock.run(0.2)
    assert disk.entries == {1: (1, {"n": 1}), 2: (1, {"n": 2})}
    assert append(2) == [{"ok": True, "term": 1}]


class Learner:
    """A member without anything, which is sent snapshots in parts."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.raft_storage = ControlDisk(self.clock, random.Random(1), 0.002)
        self.restored: list[Json] = []
        self.start()

    def start(self) -> None:
        saved = self.raft_storage.begun(lambda: PersistentState("d"))
        self.raft = RaftNode(
            Alone(self.clock),
            _DiskOf(self.raft_storage),
            saved,
            StateMachine(lambda index, command: {}, dict, self.restored.append),
        )

    def part(
        self, sending: OutgoingTransfer, offset: int, data: bytes, term: int = 1, leader: str = "b"
    ) -> Json | None:
        """What is answered to a part, once the disk has synced."""
        said: list[Json] = []
        body = {"term": term, "me": leader, "to": "d", "commit": 9, **sending.header.to_wire()}
        body |= {"before_term": 0, "offset": offset}
        handlers_of(self.raft)["vise.part"](body, data, leader, lambda body, blob: said.append(body))
        self.clock.run(self.clock.now + 0.01)
        return said[-1] if said else None


class _DiskOf:
    def __init__(self, raft_storage: ControlDisk) -> None:
        self.raft_storage = raft_storage

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: Callable[[str | None], None]) -> None:
        self.raft_storage.put(rows, then)


def snapshot(mark: str, last: int = 9) -> OutgoingTransfer:
    members = {**MEMBERS, "d": {"addr": "d", "voter": mark == "x"}}
    data = encode({"state": {"text": mark * 3 * CHUNK_BYTES}, "members": members}).encode()
    return OutgoingTransfer(TransferHeader.describe("snapshot", last, 1, data), data, SendWindow())


def pieces(sending: OutgoingTransfer) -> list[tuple[int, bytes]]:
    data = sending.data
    return [(at, data[at : at + CHUNK_BYTES]) for at in range(0, len(data), CHUNK_BYTES)]


def test_a_snapshot_in_parts_is_taken_whole_and_with_its_membership() -> None:
    learner, sending = Learner(), snapshot("x")
    parts = pieces(sending)
    assert len(parts) == 4
    total = len(sending.data)
    for at, had in (
        (1, 0),
        (0, CHUNK_BYTES),
        (0, CHUNK_BYTES),
        (2, CHUNK_BYTES),
        (1, 2 * CHUNK_BYTES),
        (2, 3 * CHUNK_BYTES),
    ):
        assert learner.part(sending, *parts[at]) == {"ok": False, "term": 1, "had": had}
        assert (learner.restored, learner.raft.commit_index) == ([], 0)
    assert learner.part(sending, 0, b"") == {"ok": False, "term": 1, "had": 3 * CHUNK_BYTES}
    assert learner.part(sending, *parts[3]) == {"ok": True, "term": 1}
    assert learner.part(sending, *parts[0]) == {"ok": True, "term": 1}  # it comes once more
    for _ in range(2):
        assert (learner.raft.commit_index, learner.raft.log.last_index, learner.raft.is_voter) == (9, 9, True)
        assert len(learner.restored[-1]["text"]) == 3 * CHUNK_BYTES
        learner.start()
    assert len(learner.restored) == 3
    assert total > 3 * CHUNK_BYTES


def test_a_snapshot_with_other_bytes_than_were_sent_is_not_taken() -> None:
    learner, sending = Learner(), snapshot("x")
    parts = pieces(sending)
    for at in (0, 1, 2):
        learner.part(sending, parts[at][0], parts[at][1] if at != 1 else parts[at][1].replace(b"x", b"y"))
    assert learner.part(sending, *parts[3]) == {"ok": False, "term": 1, "had": 0}
    assert (learner.restored, learner.raft.follower.checksum_failures) == ([], 1)
    assert [learner.part(sending, *it) for it in parts][-1] == {"ok": True, "term": 1}
    assert learner.restored[-1] == {"text": "x" * 3 * CHUNK_BYTES}


def test_another_leaders_snapshot_and_a_restart_begin_anew() -> None:
    learner, old, new = Learner(), snapshot("x"), snapshot("y", 12)
    learner.part(old, *pieces(old)[0])
    assert learner.part(new, *pieces(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert learner.part(old, *pieces(old)[1]) == {"ok": False, "term": 2, "stranger": False}
    learner.part(new, *pieces(new)[0], 2, "c")
    learner.start()
    assert learner.part(new, *pieces(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert [learner.part(new, *it, 2, "c") for it in pieces(new)][-1] == {"ok": True, "term": 2}
    assert (learner.raft.commit_index, learner.raft.is_voter, learner.restored[-1]) == (
        12,
        False,
        {"text": "y" * 3 * CHUNK_BYTES},
    )


def test_a_snapshot_that_the_disk_refuses_is_not_acknowledged_until_it_lasts() -> None:
    learner, sending = Learner(), snapshot("x")
    put = learner.raft_storage.put
    learner.raft_storage.put = lambda rows, then: then("no space is left")  # type: ignore[method-assign]
    assert [learner.part(sending, *it) for it in pieces(sending)][-1] is None
    assert learner.part(sending, 0, b"") == {"ok": False, "term": 1, "had": sending.header.size_bytes}
    learner.raft_storage.put = put  # type: ignore[method-assign]
    learner.clock.run(learner.clock.now + 0.2)
    assert learner.part(sending, 0, b"") == {"ok": True, "term": 1}
    learner.start()
    assert learner.raft.commit_index == 9


def test_a_start_heeds_no_leader_of_an_older_term_than_its_last_entry() -> None:
    saved = PersistentState("a", 4, "b", members=MEMBERS, entries=[Entry(4, {"n": 1}), Entry(5, {"n": 2})])
    raft = RaftNode(
        Alone(Clock()),
        Refusing(),
        saved,
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )
    said: list[Json] = []
    body = {"term": 4, "me": "b", "to": "a", "commit": 0, "prev": 1, "prev_term": 4, "entries": [(4, None)]}
    handlers_of(raft)["vise.append"](body, b"", "b", lambda body, blob: said.append(body))
    assert said == [{"ok": False, "term": 5, "stranger": False}]
    assert raft.log.entries == [(4, {"n": 1}), (5, {"n": 2})]
