"""A holder's disk: what it keeps over deaths, damage and want of room."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from amberlug.copies.states import Kind, Meta
from amberlug.copies.store import CopyStore, DamagedError
from amberlug.core.journal import FolderDisk
from amberlug.core.journal.records import HEADER_SIZE

META = Meta("n0", "aa", 7, 2, (("n0", "aa"), ("n1", "bb"), ("n2", "cc")))
OTHER = Meta("n2", "cc", 8, 2, (("n2", "cc"), ("n1", "bb"), ("n0", "aa")))
ROOM = 400_000


def open_in(folder: Path) -> CopyStore:
    return CopyStore(FolderDisk(folder), ROOM, 2)


def keep(store: CopyStore, name: str, meta: Meta = META, size: int = 100) -> None:
    from amberlug.copies.holder import Holder

    holder = Holder("n1", "bb", store)
    holder.logs = store.logs
    holder.open(meta, meta.first)
    told = [name, Kind.TAKEN, ["payment", None, 1, None, b"x" * size, 9, 1]]
    answer = holder.records(meta.log, meta.first, 1, [told])
    if answer[0] != "ack":
        raise OSError(errno.ENOSPC, answer[3])


def names(store: CopyStore) -> set[str]:
    return set(store.logs[META.log].copies)


def newest(folder: Path) -> Path:
    return max(folder.glob("copies-*.log"))


def test_a_promise_and_what_is_held_outlast_the_process(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    keep(store, "m1")
    store.promise(META, (4, "n2", "cc"))
    store.saw("n2", "cc", (5, 6))
    before = store.sequence
    for _ in range(3):  # each start begins a file, and the one before goes once all of it is copied
        store = open_in(tmp_path)
        assert names(store) == {"m1"}
        assert store.logs[META.log].promised == (4, "n2", "cc")
        assert store.seen == {"n2": ("cc", (5, 6))}
        assert store.sequence >= before, "what is said of how much was kept must never go back"
        before = store.sequence
        for _ in range(5):
            store.work()
    assert len(list(tmp_path.glob("copies-*.log"))) == 1
    store.drop(META.log)
    assert open_in(tmp_path).logs == {}


def test_a_death_at_any_byte_of_a_write_keeps_all_that_was_answered_for(tmp_path: Path) -> None:
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


def test_a_death_while_it_is_made_anew_loses_nothing(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(300):
        keep(store, f"m{number}", size=10)
    again = open_in(tmp_path)
    again.work()  # one slice of several
    assert len(list(tmp_path.glob("copies-*.log"))) == 2
    keep(again, "late")
    assert names(open_in(tmp_path)) == {f"m{number}" for number in range(300)} | {"late"}


def test_a_flipped_bit_is_no_copy_to_be_believed(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(20):
        keep(store, f"m{number}")
    path = newest(tmp_path)
    data = bytearray(path.read_bytes())
    data[HEADER_SIZE + 300] ^= 4
    path.write_bytes(data)
    with pytest.raises(DamagedError):
        open_in(tmp_path)


def test_a_bit_that_flips_while_it_runs_is_found_and_written_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("amberlug.copies.store.SCRUB", 1000)
    store = open_in(tmp_path)
    for number in range(40):
        keep(store, f"m{number}")
    store.work()  # what it began with is copied
    path = newest(tmp_path)
    data = bytearray(path.read_bytes())
    data[HEADER_SIZE + 900] ^= 4
    path.write_bytes(data)
    for _ in range(20):
        store.work()
    assert newest(tmp_path) != path
    assert not path.exists()
    assert names(open_in(tmp_path)) == {f"m{number}" for number in range(40)}


def test_a_burst_at_one_relay_leaves_room_for_the_copies_of_another(tmp_path: Path) -> None:
    store = open_in(tmp_path)

    def burst() -> None:
        for number in range(1000):
            keep(store, f"m{number}", size=4000)

    with pytest.raises(OSError, match="no room"):
        burst()
    assert len(names(store)) > 10
    keep(store, "other", OTHER, size=4000)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM


def test_what_has_ended_gives_its_room_back(tmp_path: Path) -> None:
    store = open_in(tmp_path)
    for number in range(2000):
        keep(store, f"m{number}", size=500)
        store.logs[META.log].copies.pop(f"m{number}")
        if number % 20 == 0:
            store.work()
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM
