"""Stable storage of a Raft member in a real file."""

import json
import queue
import sqlite3
import zlib
from collections.abc import Callable
from pathlib import Path

from amberlug.cluster.consensus.membership import Members
from amberlug.cluster.consensus.persistent_state import PersistentState
from amberlug.cluster.consensus.raft import RaftNode, Role, StateMachine
from amberlug.cluster.consensus.storage import open_raft_storage
from amberlug.cluster.interfaces import Json
from amberlug.cluster.simulation.clock import Clock
from amberlug.cluster.storage.group_commit import GroupCommitWriter
from tests.cluster.fakes import Alone

ALONE = Members.from_wire({"a": {"addr": "a", "voter": True}})


class SingleMember:
    """A group of one member on a real file."""

    def __init__(self, folder: Path) -> None:
        self.posted: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.state: Json = {}
        self.saved, self.disk, self.is_new = open_raft_storage(
            folder, lambda: PersistentState("a", members=ALONE), self.posted.put
        )
        clock = Clock()
        self.raft = RaftNode(
            Alone(clock),
            self.disk,
            self.saved,
            StateMachine(self._apply, lambda: dict(self.state), self.state.update),
        )
        self.raft.start()
        clock.run(0.4)
        self.until(
            lambda: self.raft.role is Role.LEADER and self.raft.commit_index == self.raft.log.last_index
        )

    def _apply(self, index: int, command: Json) -> Json:
        self.state.update(command)
        return {}

    def until(self, met: Callable[[], bool]) -> None:
        while not met():
            self.posted.get(timeout=5.0)()

    def change(self, text: str) -> None:
        self.raft.propose({"text": text}, lambda said: None)
        last = self.raft.log.last_index
        self.until(lambda: self.raft.commit_index >= last)

    def close(self) -> None:
        self.disk.close()


def test_files_stay_small_and_a_restart_finds_the_newest_state(tmp_path: Path) -> None:
    member = SingleMember(tmp_path)
    most = 0
    for number in range(60):
        member.change(f"{number} " + "x" * 1_000_000)
        most = max(most, sum(it.stat().st_size for it in tmp_path.iterdir()))
        assert sum(member.raft.log.sizes_bytes) < 7_000_000
    member.close()
    assert most < 40_000_000
    again = SingleMember(tmp_path)
    assert not again.is_new
    assert again.state["text"].startswith("59 ")
    again.close()


def test_the_tail_before_the_snapshot_survives_a_restart(tmp_path: Path) -> None:
    member = SingleMember(tmp_path)
    for number in range(600):
        member.change(str(number))
    snap, start = member.raft.log.snapshot_index, member.raft.log.base_index
    assert 0 < start < snap < member.raft.log.last_index
    member.close()
    again = SingleMember(tmp_path)
    assert (again.raft.log.snapshot_index, again.raft.log.base_index) == (snap, start)
    assert again.raft.log.entries[:-1] == member.raft.log.entries
    again.close()


def put(base: sqlite3.Connection, name: str, value: object) -> None:
    text = json.dumps(value, separators=(",", ":"))
    base.execute("insert or replace into state values (?, ?, ?)", (name, text, zlib.crc32(text.encode())))


def entry(base: sqlite3.Connection, at: int, term: int) -> None:
    total = zlib.crc32(f'{at} {term} {{"text":"{at}"}}'.encode())
    base.execute("insert into log values (?, ?, ?, ?)", (at, term, f'{{"text":"{at}"}}', total))


def test_a_file_without_a_tail_is_read_and_one_with_a_gap_is_not(tmp_path: Path) -> None:
    def begun(*rows: int) -> PersistentState:
        for it in tmp_path.iterdir():
            it.unlink()
        open_raft_storage(tmp_path, lambda: PersistentState("a", members=ALONE), lambda act: None)[1].close()
        base = sqlite3.connect(tmp_path / "vise.db", isolation_level=None)
        put(base, "snap", {"start": 512, "term": 3, "state": {"text": "512"}, "members": ALONE.to_wire()})
        put(base, "term", (4, "a"))
        for at in rows:
            entry(base, at, 3)
        base.close()
        saved, disk, anew = open_raft_storage(tmp_path, lambda: PersistentState("new"), lambda act: None)
        assert isinstance(disk, GroupCommitWriter)
        disk.close()
        assert anew == (saved.member_id == "new")
        return saved

    old = begun(513, 514)
    assert (old.term, old.voted_for, old.snapshot_index, old.snapshot_term, old.snapshot_state) == (
        4,
        "a",
        512,
        3,
        {"text": "512"},
    )
    assert (old.entries, old.tail) == ([(3, {"text": "513"}), (3, {"text": "514"})], [])
    assert begun(513, 515).member_id == "new"
    assert begun(514).member_id == "new"
    # Before the snapshot gaps may be: it came complete.
    assert [len(it.tail) for it in (begun(511, 512, 513), begun(509, 511, 512), begun(509, 510))] == [2, 2, 0]
