"""Tests against recordings of earlier versions: simulation digests and data folders of nodes."""

import json
import os
import shutil
import sqlite3
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from amberlug.cluster.consensus.storage import open_raft_storage
from amberlug.cluster.simulation.digest_record import differences
from amberlug.cluster.storage.message_store import open_message_store
from amberlug.cluster.storage.records import OutcomeRow, ReplicaRow, StorageRow

DATA = Path(__file__).parents[1] / "data"
TABLES = {"core/vise.db": ("state", "log"), "storage/chest.db": ("about", "fence", "message")}


def dump(path: Path, tables: tuple[str, ...]) -> dict[str, list[tuple[Any, ...]]]:
    base = sqlite3.connect(path)
    rows = {table: base.execute(f"select * from {table} order by 1").fetchall() for table in tables}
    base.close()
    return rows


def copy_of(name: str, folder: Path) -> Path:
    shutil.copy(DATA / "folders" / name, folder)
    return folder / Path(name).name


def test_days_send_and_write_what_was_recorded() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "amberlug.cluster.simulation", "digest", "--every", "14", "--jobs", "2"],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {"PYTHONHASHSEED": "7"},  # simulated days must not depend on the order of sets
    )
    assert done.stdout.splitlines()[-1] == "5 days, 0 explorations, 0 moved", done.stdout
    assert done.returncode == 0


def test_a_moved_digest_is_reported() -> None:
    recorded = json.loads((DATA / "simulation_digests.json").read_text())
    assert len(recorded["days"]) >= 60
    assert differences(recorded, recorded) == []
    moved = json.loads(json.dumps(recorded))
    moved["days"][3]["digest"] = "0"
    moved["explored"][0][1] += 1
    assert len(differences(recorded, moved)) == 2


def test_a_control_node_folder_of_the_version_before_is_read_and_left_unchanged(tmp_path: Path) -> None:
    path = copy_of("core/vise.db", tmp_path)
    before = dump(path, TABLES["core/vise.db"])
    saved, disk, anew = open_raft_storage(
        tmp_path, lambda: pytest.fail("the file was recreated"), lambda act: None
    )
    disk.close()
    assert not anew
    assert (saved.snapshot_index + len(saved.entries)) == before["log"][-1][0]
    assert saved.term >= 1
    assert dump(path, TABLES["core/vise.db"]) == before


def test_a_control_node_folder_is_written_as_by_the_version_before(tmp_path: Path) -> None:
    path = copy_of("core/vise.db", tmp_path)
    before = dump(path, TABLES["core/vise.db"])
    saved, disk, _ = open_raft_storage(
        tmp_path, lambda: pytest.fail("the file was recreated"), lambda act: None
    )
    rows: list[tuple[str, tuple[Any, ...]]] = [("cut", (saved.snapshot_index + 1,))]
    rows += [("term", (saved.term, saved.voted_for))]
    rows += [
        ("entry", (at, term, command))
        for at, (term, command) in enumerate(saved.entries, saved.snapshot_index + 1)
    ]
    disk.write(rows, lambda error: None)
    disk.close()
    assert dump(path, TABLES["core/vise.db"]) == before


def test_a_storage_node_folder_is_read_and_written_as_by_the_version_before(tmp_path: Path) -> None:
    path = copy_of("storage/chest.db", tmp_path)
    before = dump(path, TABLES["storage/chest.db"])
    contents, message_store = open_message_store(
        tmp_path, lambda: pytest.fail("the file was recreated"), lambda act: None
    )
    assert sorted(contents.messages) == [row[0] for row in before["message"]]
    assert contents.fencing_tokens == dict(before["fence"])
    assert contents.corrupt_ids == []
    bodies = {row[0]: row[5] for row in before["message"]}
    rows: list[StorageRow] = []
    for name, message in contents.messages.items():
        if message.accepted_epoch:  # 0 for an outcome without a replica of the message
            rows.append(
                ReplicaRow(
                    name,
                    message.shard,
                    message.accepted_epoch,
                    message.sequence,
                    message.metadata,
                    bodies[name] or b"",
                )
            )
        if not message.outcome.is_open:
            rows.append(OutcomeRow(name, message.shard, message.outcome, message.retain_until))
    message_store.write(rows, lambda failure: None)
    message_store.close()
    after = dump(path, TABLES["storage/chest.db"])
    assert {table: after[table] for table in ("about", "fence")} == {
        table: before[table] for table in ("about", "fence")
    }
    # The checksum column is excluded: it covers the stored body, which ended messages no longer have.
    assert [row[:6] + row[7:] for row in after["message"]] == [row[:6] + row[7:] for row in before["message"]]
