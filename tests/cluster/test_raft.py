"""Single members of the Raft group, driven by frames."""

import random
from typing import Any

from amberlug.cluster.consensus.log import Entry, PersistentState, encode
from amberlug.cluster.consensus.raft import RaftNode, StateMachine
from amberlug.cluster.consensus.snapshot_transfer import (
    CHUNK_BYTES,
    OutgoingTransfer,
    SendWindow,
    TransferHeader,
)
from amberlug.cluster.interfaces import Json, OnWritten
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import OUT_OF_SPACE, ControlDisk
from tests.cluster.fakes import Alone

MEMBERS = {name: {"addr": name, "voter": True} for name in "abc"}


class RefusingDisk:
    """A disk that refuses entries for a while."""

    def __init__(self) -> None:
        self.full = False
        self.entries: dict[int, Any] = {}

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: OnWritten) -> None:
        if self.full and any(kind == "entry" for kind, _ in rows):
            then(OUT_OF_SPACE)
            return
        for kind, values in rows:
            if kind == "cut":
                self.entries = {at: it for at, it in self.entries.items() if at < values[0]}
            elif kind == "entry":
                self.entries[values[0]] = values[1:]
        then(None)


def test_entries_that_the_disk_refused_are_not_acknowledged_and_are_written_again() -> None:
    clock, disk = Clock(), RefusingDisk()
    raft = RaftNode(
        Alone(clock),
        disk,
        PersistentState("a", members=MEMBERS),
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )

    def append(before: int, *entries: tuple[int, Json]) -> list[Json]:
        replies: list[Json] = []
        body = {"term": 1, "me": "b", "to": "a", "commit": 0, "prev": before, "prev_term": 1 if before else 0}
        handlers_of(raft)["vise.append"](
            {**body, "entries": list(entries)}, b"", "b", lambda body, blob: replies.append(body)
        )
        return replies

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
    """A member without anything, which receives snapshots in chunks."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.disk = ControlDisk(self.clock, random.Random(1), 0.002)
        self.restored: list[Json] = []
        self.start()

    def start(self) -> None:
        saved = self.disk.begun(lambda: PersistentState("d"))
        self.raft = RaftNode(
            Alone(self.clock),
            _ProcessDisk(self.disk),
            saved,
            StateMachine(lambda index, command: {}, dict, self.restored.append),
        )

    def receive(
        self, transfer: OutgoingTransfer, offset: int, data: bytes, term: int = 1, leader: str = "b"
    ) -> Json | None:
        """The reply to a chunk, once the disk has synced."""
        replies: list[Json] = []
        body = {"term": term, "me": leader, "to": "d", "commit": 9, **transfer.header.to_wire()}
        body |= {"before_term": 0, "offset": offset}
        handlers_of(self.raft)["vise.part"](body, data, leader, lambda body, blob: replies.append(body))
        self.clock.run(self.clock.now + 0.01)
        return replies[-1] if replies else None


class _ProcessDisk:
    def __init__(self, disk: ControlDisk) -> None:
        self.disk = disk

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: OnWritten) -> None:
        self.disk.put(rows, then)


def snapshot(fill: str, last: int = 9) -> OutgoingTransfer:
    members = {**MEMBERS, "d": {"addr": "d", "voter": fill == "x"}}
    data = encode({"state": {"text": fill * 3 * CHUNK_BYTES}, "members": members}).encode()
    return OutgoingTransfer(TransferHeader.describe("snapshot", last, 1, data), data, SendWindow())


def chunks(transfer: OutgoingTransfer) -> list[tuple[int, bytes]]:
    data = transfer.data
    return [(at, data[at : at + CHUNK_BYTES]) for at in range(0, len(data), CHUNK_BYTES)]


def test_a_snapshot_in_chunks_is_installed_with_its_membership() -> None:
    learner, transfer = Learner(), snapshot("x")
    all_chunks = chunks(transfer)
    assert len(all_chunks) == 4
    total = len(transfer.data)
    for at, received_bytes in (
        (1, 0),
        (0, CHUNK_BYTES),
        (0, CHUNK_BYTES),
        (2, CHUNK_BYTES),
        (1, 2 * CHUNK_BYTES),
        (2, 3 * CHUNK_BYTES),
    ):
        assert learner.receive(transfer, *all_chunks[at]) == {"ok": False, "term": 1, "had": received_bytes}
        assert (learner.restored, learner.raft.commit_index) == ([], 0)
    assert learner.receive(transfer, 0, b"") == {"ok": False, "term": 1, "had": 3 * CHUNK_BYTES}
    assert learner.receive(transfer, *all_chunks[3]) == {"ok": True, "term": 1}
    assert learner.receive(transfer, *all_chunks[0]) == {"ok": True, "term": 1}  # it comes once more
    for _ in range(2):
        assert (learner.raft.commit_index, learner.raft.log.last_index, learner.raft.is_voter) == (9, 9, True)
        assert len(learner.restored[-1]["text"]) == 3 * CHUNK_BYTES
        learner.start()
    assert len(learner.restored) == 3
    assert total > 3 * CHUNK_BYTES


def test_a_snapshot_with_a_wrong_checksum_is_rejected() -> None:
    learner, transfer = Learner(), snapshot("x")
    all_chunks = chunks(transfer)
    for at in (0, 1, 2):
        learner.receive(
            transfer,
            all_chunks[at][0],
            all_chunks[at][1] if at != 1 else all_chunks[at][1].replace(b"x", b"y"),
        )
    assert learner.receive(transfer, *all_chunks[3]) == {"ok": False, "term": 1, "had": 0}
    assert (learner.restored, learner.raft.follower.checksum_failures) == ([], 1)
    assert [learner.receive(transfer, *it) for it in all_chunks][-1] == {"ok": True, "term": 1}
    assert learner.restored[-1] == {"text": "x" * 3 * CHUNK_BYTES}


def test_a_transfer_restarts_for_another_leader_and_after_a_restart() -> None:
    learner, old, new = Learner(), snapshot("x"), snapshot("y", 12)
    learner.receive(old, *chunks(old)[0])
    assert learner.receive(new, *chunks(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert learner.receive(old, *chunks(old)[1]) == {"ok": False, "term": 2, "stranger": False}
    learner.receive(new, *chunks(new)[0], 2, "c")
    learner.start()
    assert learner.receive(new, *chunks(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert [learner.receive(new, *it, 2, "c") for it in chunks(new)][-1] == {"ok": True, "term": 2}
    assert (learner.raft.commit_index, learner.raft.is_voter, learner.restored[-1]) == (
        12,
        False,
        {"text": "y" * 3 * CHUNK_BYTES},
    )


def test_a_snapshot_that_the_disk_refuses_is_not_acknowledged() -> None:
    learner, transfer = Learner(), snapshot("x")
    put = learner.disk.put
    learner.disk.put = lambda rows, then: then(OUT_OF_SPACE)  # type: ignore[method-assign]
    assert [learner.receive(transfer, *it) for it in chunks(transfer)][-1] is None
    assert learner.receive(transfer, 0, b"") == {"ok": False, "term": 1, "had": transfer.header.size_bytes}
    learner.disk.put = put  # type: ignore[method-assign]
    learner.clock.run(learner.clock.now + 0.2)
    assert learner.receive(transfer, 0, b"") == {"ok": True, "term": 1}
    learner.start()
    assert learner.raft.commit_index == 9


def test_a_leader_of_an_older_term_than_the_last_entry_is_rejected_after_a_start() -> None:
    saved = PersistentState("a", 4, "b", members=MEMBERS, entries=[Entry(4, {"n": 1}), Entry(5, {"n": 2})])
    raft = RaftNode(
        Alone(Clock()),
        RefusingDisk(),
        saved,
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )
    replies: list[Json] = []
    body = {"term": 4, "me": "b", "to": "a", "commit": 0, "prev": 1, "prev_term": 4, "entries": [(4, None)]}
    handlers_of(raft)["vise.append"](body, b"", "b", lambda body, blob: replies.append(body))
    assert replies == [{"ok": False, "term": 5, "stranger": False}]
    assert raft.log.entries == [(4, {"n": 1}), (5, {"n": 2})]
