"""A holder's storage across crashes, damage and lack of room."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from amberlug.copies.states import Kind, LogMetadata
from amberlug.copies.store import CopyStore, DamagedError
from amberlug.core.journal import FolderDisk
from amberlug.core.journal.records import HEADER_SIZE

META = LogMetadata("n0", "aa", 7, 2, (("n0", "aa"), ("n1", "bb"), ("n2", "cc")))
OTHER = LogMetadata("n2", "cc", 8, 2, (("n2", "cc"), ("n1", "bb"), ("n0", "aa")))
ROOM = 400_000


def open_in(folder: Path) -> CopyStore:
    return CopyStore(FolderDisk(folder), ROOM, 2)


def keep(store: CopyStore, name: str, meta: LogMetadata = META, size: int = 100) -> None:
    from amberlug.copies.holder import Holder

    holder = Holder("n1", "bb", store)
    holder.logs = store.logs
    holder.open(meta, meta.origin_ballot)
    record = [name, Kind.TAKEN, ["payment", None, 1, None, b"x" * size, 9, 1]]
    answer = holder.records(meta.log, meta.origin_ballot, 1, [record])
    if answer[0] != "ack":
        raise OSError(errno.ENOSPC, answer[3])


def names(store: CopyStore) -> set[str]:
    return set(store.logs[META.log].copies)


def newest(folder: Path) -> Path:
    return max(folder.glob("copies-*.log"))


def test_promises_and_records_survive_a_restart(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    keep(store, "m1")
    store.promise(META, (4, "n2", "cc"))
    store.watermark_observed("n2", "cc", (5, 6))
    before = store.sequence
    for _ in range(3):  # each start begins a file, and deletes the older one once it is copied
        store = open_in(tmp_path)
        assert names(store) == {"m1"}
        assert store.logs[META.log].promised == (4, "n2", "cc")
        assert store.peer_watermarks == {"n2": ("cc", (5, 6))}
        assert store.sequence >= before, "the watermark must never decrease"
        before = store.sequence
        for _ in range(5):
            store.work()
    assert len(list(tmp_path.glob("copies-*.log"))) == 1
    store.drop(META.log)
    assert open_in(tmp_path).logs == {}


def test_a_crash_at_any_byte_of_a_write_keeps_all_acknowledged_records(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    keep(store, "m1")
    size = newest(tmp_path).stat().st_size
    keep(store, "m2")
    whole = newest(tmp_path).read_bytes()
    for cut in range(size, len(whole)):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / newest(tmp_path).name).write_bytes(whole[:cut])
        assert names(open_in(folder)) == {"m1"}


def test_a_crash_during_compaction_loses_nothing(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(300):
        keep(store, f"m{number}", size=10)
    reopened = open_in(tmp_path)
    reopened.work()  # one step of several
    assert len(list(tmp_path.glob("copies-*.log"))) == 2
    keep(reopened, "late")
    assert names(open_in(tmp_path)) == {f"m{number}" for number in range(300)} | {"late"}


def test_a_flipped_bit_is_reported_as_damage(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(20):
        keep(store, f"m{number}")
    path = newest(tmp_path)
    data = bytearray(path.read_bytes())
    data[HEADER_SIZE + 300] ^= 4
    path.write_bytes(data)
    with pytest.raises(DamagedError):
        open_in(tmp_path)


def test_a_bit_flip_at_run_time_is_found_and_the_file_rewritten(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("amberlug.copies.store.SCRUB_BYTES", 1000)
    store = open_in(tmp_path)
    for number in range(40):
        keep(store, f"m{number}")
    store.work()  # finishes the compaction begun at the start
    path = newest(tmp_path)
    data = bytearray(path.read_bytes())
    data[HEADER_SIZE + 900] ^= 4
    path.write_bytes(data)
    for _ in range(20):
        store.work()
    assert newest(tmp_path) != path
    assert not path.exists()
    assert names(open_in(tmp_path)) == {f"m{number}" for number in range(40)}


def test_a_burst_of_one_origin_leaves_room_for_another(tmp_path: Path) -> None:
    store = open_in(tmp_path)

    def burst() -> None:
        for number in range(1000):
            keep(store, f"m{number}", size=4000)

    with pytest.raises(OSError, match="no room"):
        burst()
    assert len(names(store)) > 10
    keep(store, "other", OTHER, size=4000)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM


def test_ended_messages_free_their_room(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(2000):
        keep(store, f"m{number}", size=500)
        store.logs[META.log].copies.pop(f"m{number}")
        if number % 20 == 0:
            store.work()
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM
