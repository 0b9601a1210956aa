"""Tests of a single Raft member, driven by frames."""

import random
from typing import Any

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import Entry, PersistentState, encode
from amberlug.cluster.consensus.raft import RaftNode, StateMachine
from amberlug.cluster.consensus.snapshot_transfer import (
    CHUNK_BYTES,
    OutgoingTransfer,
    SendWindow,
    TransferHeader,
)
from amberlug.cluster.control.initial_state import founding_members
from amberlug.cluster.interfaces import Json, OnWritten
from amberlug.cluster.rpc.messages import handlers_of
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.simulation.disk import OUT_OF_SPACE, ControlDisk
from tests.cluster.fakes import UnresponsiveRuntime, settings

MEMBERS = Members.from_wire({name: {"addr": name, "voter": True} for name in "abc"})


class RefusingDisk:
    """A disk that rejects entries while it is full."""

    def __init__(self) -> None:
        self.full = False
        self.entries: dict[int, Any] = {}

    def write(self, rows: list[tuple[str, tuple[Any, ...]]], then: OnWritten) -> None:
        if self.full and any(kind == "entry" for kind, _ in rows):
            then(OUT_OF_SPACE)
            return
        for kind, values in rows:
            if kind == "cut":
                self.entries = {index: entry for index, entry in self.entries.items() if index < values[0]}
            elif kind == "entry":
                self.entries[values[0]] = values[1:]
        then(None)


def test_entries_that_the_disk_refuses_are_acknowledged_only_once_a_retry_has_written_them() -> None:
    clock, disk = Clock(), RefusingDisk()
    raft = RaftNode(
        UnresponsiveRuntime(clock),
        disk,
        PersistentState("a", members=MEMBERS),
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )

    def append_after(previous_index: int, *entries: tuple[int, Json]) -> list[Json]:
        replies: list[Json] = []
        body = {"term": 1, "me": "b", "to": "a", "commit": 0}
        body |= {"prev": previous_index, "prev_term": 1 if previous_index else 0}
        handlers_of(raft)["vise.append"](
            {**body, "entries": list(entries)}, b"", "b", lambda body, blob: replies.append(body)
        )
        return replies

    disk.full = True
    assert append_after(0, (1, {"n": 1})) == []
    assert append_after(0, (1, {"n": 1})) == []
    disk.full = False
    assert append_after(1, (1, {"n": 2})) == []  # the previous entry is not on disk yet
    assert disk.entries == {}
    clock.run(0.2)
    assert disk.entries == {1: (1, {"n": 1}), 2: (1, {"n": 2})}
    assert append_after(2) == [{"ok": True, "term": 1}]


class Learner:
    """A member with an empty log that receives snapshots in chunks."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.disk = ControlDisk(self.clock, random.Random(1), 0.002)
        self.restored: list[Json] = []
        self.start()

    def start(self) -> None:
        saved = self.disk.load(lambda: PersistentState("d"))
        self.raft = RaftNode(
            UnresponsiveRuntime(self.clock),
            _ProcessDisk(self.disk),
            saved,
            StateMachine(lambda index, command: {}, dict, self.restored.append),
        )

    def receive(
        self, transfer: OutgoingTransfer, offset: int, data: bytes, term: int = 1, leader: str = "b"
    ) -> Json | None:
        """Deliver a chunk, let the disk sync, and return the reply."""
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


def snapshot(fill: str, last_index: int = 9) -> OutgoingTransfer:
    """A snapshot of slightly more than three chunks, filled with a letter; `d` is a voter if it is `x`."""
    members = {**MEMBERS.to_wire(), "d": {"addr": "d", "voter": fill == "x"}}
    data = encode({"state": {"text": fill * 3 * CHUNK_BYTES}, "members": members}).encode()
    return OutgoingTransfer(TransferHeader.describe("snapshot", last_index, 1, data), data, SendWindow())


def chunks(transfer: OutgoingTransfer) -> list[tuple[int, bytes]]:
    """The chunks of a transfer, as offsets and data."""
    data = transfer.data
    return [(offset, data[offset : offset + CHUNK_BYTES]) for offset in range(0, len(data), CHUNK_BYTES)]


def test_a_snapshot_in_chunks_is_installed_with_its_membership() -> None:
    learner, transfer = Learner(), snapshot("x")
    all_chunks = chunks(transfer)
    assert len(all_chunks) == 4
    total = len(transfer.data)
    for number, received_bytes in (  # includes a chunk out of order and a duplicate
        (1, 0),
        (0, CHUNK_BYTES),
        (0, CHUNK_BYTES),
        (2, CHUNK_BYTES),
        (1, 2 * CHUNK_BYTES),
        (2, 3 * CHUNK_BYTES),
    ):
        reply = learner.receive(transfer, *all_chunks[number])
        assert reply == {"ok": False, "term": 1, "had": received_bytes}
        assert (learner.restored, learner.raft.commit_index) == ([], 0)
    assert learner.receive(transfer, 0, b"") == {"ok": False, "term": 1, "had": 3 * CHUNK_BYTES}
    assert learner.receive(transfer, *all_chunks[3]) == {"ok": True, "term": 1}
    assert learner.receive(transfer, *all_chunks[0]) == {"ok": True, "term": 1}  # a duplicate
    for _ in range(2):
        assert (learner.raft.commit_index, learner.raft.log.last_index, learner.raft.is_voter) == (9, 9, True)
        assert len(learner.restored[-1]["text"]) == 3 * CHUNK_BYTES
        learner.start()
    assert len(learner.restored) == 3
    assert total > 3 * CHUNK_BYTES


def test_member_fields_of_a_newer_version_keep_their_place_in_a_configuration_entry() -> None:
    first, second = {"rack": 4, "addr": "a", "voter": True}, {"voter": False, "addr": "b", "gone": True}
    members = Members.from_wire({"a/0": first, "b/1": second})
    members = members.with_member("a/0", members["a/0"].with_vote(False).superseded())
    assert encode(members.to_command()) == (
        '{"members":{"a/0":{"rack":4,"addr":"a","voter":false,"gone":true},'
        '"b/1":{"voter":false,"addr":"b","gone":true}}}'
    )
    assert Members.from_command(members.to_command()) == members


def test_founding_members_are_written_with_their_fields_in_the_historical_order() -> None:
    members = founding_members(settings("core"))
    assert len(members) == 3
    for name, member in members.items():
        host = name.removesuffix("/0")
        assert encode(member.to_wire()) == (
            '{"voter":true,"name":"","zone":"","region":"",'
            f'"addr":"{member.address}","control":"{member.control_address}"}}'
        )
        assert member.address.startswith(f"{host}:")
        assert member.control_address.startswith(f"{host}:")


def test_a_snapshot_with_a_wrong_checksum_is_rejected() -> None:
    learner, transfer = Learner(), snapshot("x")
    all_chunks = chunks(transfer)
    for number, (offset, data) in enumerate(all_chunks[:3]):
        learner.receive(transfer, offset, data.replace(b"x", b"y") if number == 1 else data)
    assert learner.receive(transfer, *all_chunks[3]) == {"ok": False, "term": 1, "had": 0}
    assert (learner.restored, learner.raft.follower.checksum_failures) == ([], 1)
    assert [learner.receive(transfer, *chunk) for chunk in all_chunks][-1] == {"ok": True, "term": 1}
    assert learner.restored[-1] == {"text": "x" * 3 * CHUNK_BYTES}


def test_a_snapshot_transfer_restarts_with_another_leader_and_after_a_restart() -> None:
    learner, old, new = Learner(), snapshot("x"), snapshot("y", 12)
    learner.receive(old, *chunks(old)[0])
    assert learner.receive(new, *chunks(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert learner.receive(old, *chunks(old)[1]) == {"ok": False, "term": 2, "stranger": False}
    learner.receive(new, *chunks(new)[0], 2, "c")
    learner.start()
    assert learner.receive(new, *chunks(new)[1], 2, "c") == {"ok": False, "term": 2, "had": 0}
    assert [learner.receive(new, *chunk, 2, "c") for chunk in chunks(new)][-1] == {"ok": True, "term": 2}
    assert (learner.raft.commit_index, learner.raft.is_voter, learner.restored[-1]) == (
        12,
        False,
        {"text": "y" * 3 * CHUNK_BYTES},
    )


def test_a_snapshot_that_the_disk_refuses_is_not_acknowledged() -> None:
    learner, transfer = Learner(), snapshot("x")
    put = learner.disk.put
    learner.disk.put = lambda rows, then: then(OUT_OF_SPACE)  # type: ignore[method-assign]
    assert [learner.receive(transfer, *chunk) for chunk in chunks(transfer)][-1] is None
    assert learner.receive(transfer, 0, b"") == {"ok": False, "term": 1, "had": transfer.header.size_bytes}
    learner.disk.put = put  # type: ignore[method-assign]
    learner.clock.run(learner.clock.now + 0.2)
    assert learner.receive(transfer, 0, b"") == {"ok": True, "term": 1}
    learner.start()
    assert learner.raft.commit_index == 9


def test_a_leader_of_an_older_term_than_the_last_entry_is_rejected_after_a_restart() -> None:
    saved = PersistentState("a", 4, "b", members=MEMBERS, entries=[Entry(4, {"n": 1}), Entry(5, {"n": 2})])
    raft = RaftNode(
        UnresponsiveRuntime(Clock()),
        RefusingDisk(),
        saved,
        StateMachine(lambda index, command: {}, dict, lambda state: None),
    )
    replies: list[Json] = []
    body = {"term": 4, "me": "b", "to": "a", "commit": 0, "prev": 1, "prev_term": 4, "entries": [(4, None)]}
    handlers_of(raft)["vise.append"](body, b"", "b", lambda body, blob: replies.append(body))
    assert replies == [{"ok": False, "term": 5, "stranger": False}]
    assert raft.log.entries == [(4, {"n": 1}), (5, {"n": 2})]
