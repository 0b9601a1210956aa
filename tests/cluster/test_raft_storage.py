"""Tests of the stable storage of a Raft member with a real file."""

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
from tests.cluster.fakes import UnresponsiveRuntime

ALONE = Members.from_wire({"a": {"addr": "a", "voter": True}})


class SingleMember:
    """A group of one member with a real file."""

    def __init__(self, folder: Path) -> None:
        self.posted: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self.state: Json = {}
        self.saved, self.disk, self.is_new = open_raft_storage(
            folder, lambda: PersistentState("a", members=ALONE), self.posted.put
        )
        clock = Clock()
        self.raft = RaftNode(
            UnresponsiveRuntime(clock),
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

    def until(self, is_met: Callable[[], bool]) -> None:
        while not is_met():
            self.posted.get(timeout=5.0)()

    def change(self, text: str) -> None:
        self.raft.propose({"text": text}, lambda said: None)
        last = self.raft.log.last_index
        self.until(lambda: self.raft.commit_index >= last)

    def close(self) -> None:
        self.disk.close()


def test_compaction_bounds_the_files_and_a_restart_restores_the_newest_state(tmp_path: Path) -> None:
    member = SingleMember(tmp_path)
    largest_bytes = 0
    for number in range(60):
        member.change(f"{number} " + "x" * 1_000_000)
        largest_bytes = max(largest_bytes, sum(file.stat().st_size for file in tmp_path.iterdir()))
        assert sum(member.raft.log.sizes_bytes) < 7_000_000
    member.close()
    assert largest_bytes < 40_000_000
    restarted = SingleMember(tmp_path)
    assert not restarted.is_new
    assert restarted.state["text"].startswith("59 ")
    restarted.close()


def test_the_entries_kept_before_the_snapshot_survive_a_restart(tmp_path: Path) -> None:
    member = SingleMember(tmp_path)
    for number in range(600):
        member.change(str(number))
    log = member.raft.log
    assert 0 < log.base_index < log.snapshot_index < log.last_index
    member.close()
    restarted = SingleMember(tmp_path)
    restarted_log = restarted.raft.log
    assert (restarted_log.snapshot_index, restarted_log.base_index) == (log.snapshot_index, log.base_index)
    assert restarted_log.entries[:-1] == log.entries  # the last one is the new leader's no-op entry
    restarted.close()


def put_value(database: sqlite3.Connection, name: str, value: object) -> None:
    text = json.dumps(value, separators=(",", ":"))
    database.execute("insert or replace into state values (?, ?, ?)", (name, text, zlib.crc32(text.encode())))


def put_entry(database: sqlite3.Connection, index: int, term: int) -> None:
    command = f'{{"text":"{index}"}}'
    checksum = zlib.crc32(f"{index} {term} {command}".encode())
    database.execute("insert into log values (?, ?, ?, ?)", (index, term, command, checksum))


def test_a_log_with_missing_entries_is_discarded_unless_the_snapshot_covers_them(tmp_path: Path) -> None:
    def reopened(*indexes: int) -> PersistentState:
        """The state read from a file with a snapshot up to 512 and entries at the given indexes."""
        for file in tmp_path.iterdir():
            file.unlink()
        open_raft_storage(tmp_path, lambda: PersistentState("a", members=ALONE), lambda act: None)[1].close()
        database = sqlite3.connect(tmp_path / "vise.db", isolation_level=None)
        put_value(
            database, "snap", {"start": 512, "term": 3, "state": {"text": "512"}, "members": ALONE.to_wire()}
        )
        put_value(database, "term", (4, "a"))
        for index in indexes:
            put_entry(database, index, 3)
        database.close()
        saved, disk, is_new = open_raft_storage(tmp_path, lambda: PersistentState("new"), lambda act: None)
        assert isinstance(disk, GroupCommitWriter)
        disk.close()
        assert is_new == (saved.member_id == "new")
        return saved

    saved = reopened(513, 514)
    assert (saved.term, saved.voted_for) == (4, "a")
    assert (saved.snapshot_index, saved.snapshot_term, saved.snapshot_state) == (512, 3, {"text": "512"})
    assert (saved.entries, saved.tail) == ([(3, {"text": "513"}), (3, {"text": "514"})], [])
    assert reopened(513, 515).member_id == "new"
    assert reopened(514).member_id == "new"
    # Gaps before the end of the snapshot are covered by it.
    assert len(reopened(511, 512, 513).tail) == 2
    assert len(reopened(509, 511, 512).tail) == 2
    assert len(reopened(509, 510).tail) == 0
