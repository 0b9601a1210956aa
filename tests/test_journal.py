"""The journal: crashes at every step, power failures, disk faults, damage, compaction, migration."""

from __future__ import annotations

import contextlib
import errno
import itertools
import json
import math
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from amberlug.core.journal import FolderDisk, Journal, space
from amberlug.core.journal import records as rec
from amberlug.core.messages import Attempt, AttemptResult, End, Message, Outcome
from amberlug.core.ports import LegacyEndpointState, LegacyState, RequestedPause
from amberlug.policy.interface import Result
from tests.faulty import FaultyDisk, SimulatedCrashError

NOW = 1_000_000_000_000
LONG = NOW + 3_600_000
ROOM = 200_000
WORKLOAD_BODY_BYTES = 1500  # body size in `mixed_workload`, in bytes


def opened(disk: FaultyDisk, most: int = ROOM, now_ms: int = NOW) -> Journal:
    ticks = itertools.count(NOW * 1000)
    return Journal(disk, most, now_ms, lambda: next(ticks))


def message(name: str, size: int = 5, until_ms: int = LONG) -> Message:
    return Message(name, "unsafe", None, 7, f"key-{name}", name.encode() * (size // len(name) + 1), until_ms)


def attempt(of: Message, number: int) -> Attempt:
    return Attempt(of, number, "e", 0, 1)


# Invariants checked after every recovery.


@dataclass
class ExpectedMessage:
    """The expected state of one message: what the journal's callers were promised."""

    message: Message
    attempts: dict[int, Result | None] = field(default_factory=dict)
    owed: End | None = None
    over: bool = False


@dataclass
class JournalModel:
    """A journal under test with the promises it has made. Each method makes one call that the core makes."""

    journal: Journal
    expected: dict[str, ExpectedMessage] = field(default_factory=dict)
    now: str = ""  # the message of the current step, which may be recovered in the state before or after it

    def take(self, name: str, size: int = 5) -> None:
        self.now, one = name, message(name, size)
        if not self.journal.fits(len(one.body)):
            return
        self.journal.take(one, NOW)
        self.expected[name] = ExpectedMessage(one)

    def attempt(self, name: str) -> None:
        self.now, one_expected = name, self.expected[name]
        number = len(one_expected.attempts)
        try:
            self.journal.attempt(attempt(one_expected.message, number), NOW)
        except OSError as error:  # the attempt is not made then
            if error.errno != errno.ENOSPC:
                raise
            return
        one_expected.attempts[number] = None

    def outcome(self, name: str, result: Result) -> None:
        self.now, one_expected = name, self.expected[name]
        number = len(one_expected.attempts) - 1
        self.journal.outcome(attempt(one_expected.message, number), AttemptResult(result))
        one_expected.attempts[number] = result

    def owe(self, name: str, outcome: Outcome) -> None:
        self.now, one_expected = name, self.expected[name]
        one_expected.owed = End(
            name, outcome, reply=one_expected.message.reply, noticed=one_expected.message.noticed
        )
        self.journal.owe(one_expected.message, one_expected.owed)

    def end(self, name: str) -> None:
        self.now, one_expected = name, self.expected[name]
        one_expected.over = True
        self.journal.end(
            name, one_expected.message.deadline_ms, NOW, one_expected.owed or End(name, Outcome.DELIVERED)
        )

    def reply(self, name: str, reply: bytes) -> None:
        """Change the reply address."""
        self.now, one = name, self.expected[name].message
        if not self.journal.fits(len(reply)):
            return
        one.replies, one.noticed, one.reply = one.replies + 1, False, reply
        self.journal.reply(one)

    def work(self) -> None:
        self.now = ""
        self.journal.work()

    def check(self, found: Journal) -> None:
        """Check that everything promised was recovered and nothing else."""
        for name, one_expected in self.expected.items():
            self._check_one(name, one_expected, found)
        assert set(found.held) <= {*self.expected, self.now}
        assert found.damage == []

    def _check_one(self, name: str, one_expected: ExpectedMessage, found: Journal) -> None:
        one, known, crossing = found.held.get(name), found.knows(name), name == self.now
        assert known  # otherwise it could be accepted twice
        if one_expected.over:
            assert one is None or crossing
            if one is None:
                how = found.ended(name)
                assert how is not None
                assert how.outcome is (one_expected.owed.outcome if one_expected.owed else Outcome.DELIVERED)
        elif one_expected.owed is not None and not (crossing and one is not None and one.end is None):
            assert one is not None
            assert one.end == one_expected.owed
        else:
            assert one is not None
            assert one.message.body == one_expected.message.body
            assert (one.message.key, one.message.destination) == (one_expected.message.key, 7)
            told = one.message.replies, one.message.noticed, one.message.reply
            promised = one_expected.message.replies, one_expected.message.noticed, one_expected.message.reply
            assert told == promised or crossing
            tried = {number: it.result for number, it in one.tried.items()}
            # A confirmed attempt is recovered; one being recorded at the crash may be, without a result.
            for number, result in one_expected.attempts.items():
                assert number in tried
                assert tried[number] is result or crossing
            extra = set(tried) - set(one_expected.attempts)
            assert not extra or crossing


def mixed_workload(world: JournalModel) -> None:
    """Write all kinds of records while segments are compacted."""
    world.take("held", WORKLOAD_BODY_BYTES)
    world.attempt("held")
    for count in range(14):
        name = f"m{count}"
        world.take(name, WORKLOAD_BODY_BYTES)
        if name not in world.expected:
            continue
        world.reply(name, b"hall\0ends/a\0\xff")
        world.attempt(name)
        world.outcome(name, Result.REFUSED)
        if count % 4 == 0:
            world.reply(name, b"listener\0ends/b\0")
        world.attempt(name)
        if count % 3 == 0:
            world.outcome(name, Result.ERROR)
            world.owe(name, Outcome.GIVEN_UP)
            if count % 2:
                world.end(name)
        elif count % 3 == 1:
            world.end(name)
        world.work()
    world.end("held")
    world.work()


def test_what_earlier_releases_kept_of_partners_is_still_read() -> None:
    disk = FaultyDisk()
    journal = opened(disk)
    row = ("e", True, 1, 2, 3, None, 0.5, False, math.inf, 4)
    journal._append(rec.MEMORY, "", json.dumps({"wall": NOW, "clock": 1, "seen": [row]}).encode())
    journal._append(rec.WAIT, "", struct.pack(">qQQ", 7, 900, 1000) + b"boot\0e")
    found = opened(disk.after_crash())
    assert found.earlier == LegacyState(
        NOW, 1, (LegacyEndpointState(*row),), (RequestedPause(7, "e", 900, 1000, "boot"),)
    )
    assert found.damage == []


@pytest.fixture
def small_segments(monkeypatch: pytest.MonkeyPatch) -> None:
    """DiskUsage small segments of a few records that are compacted early."""
    monkeypatch.setattr(space, "MIN_COMPACTION_BYTES", 8_000)
    monkeypatch.setattr(space, "MIN_SEGMENT_BYTES", 4_000)


SMALL_ROOM = 64_000


def run_until_crash(
    disk: FaultyDisk, steps: Callable[[JournalModel], None], world: JournalModel | None = None
) -> JournalModel | None:
    """Run a workload until the process crashes; None if it did not."""
    try:
        if world is None:
            world = JournalModel(opened(disk, SMALL_ROOM))
        else:
            world.journal = opened(disk, SMALL_ROOM)
        steps(world)
    except SimulatedCrashError:
        return world or JournalModel(opened(FaultyDisk()))
    return None


@pytest.mark.parametrize("torn", [False, True])
def test_a_crash_at_every_step_forgets_nothing(small_segments: None, torn: bool) -> None:
    compacted = 0
    for at in itertools.count(1):
        disk = FaultyDisk()
        disk.crash_at, disk.torn = at, torn
        world = run_until_crash(disk, mixed_workload)
        if world is None:
            break
        compacted += rec.segment_file_name(1) not in disk.contents
        next_life = disk.after_crash()
        world.check(opened(next_life, SMALL_ROOM))
        # And once more, with what that recovery itself wrote.
        world.check(opened(next_life.after_crash(), SMALL_ROOM))
    assert at > 100
    assert compacted > 20  # many crashes came during compaction


def test_a_crash_in_the_recovery_forgets_nothing(small_segments: None) -> None:
    whole = FaultyDisk()
    world = JournalModel(opened(whole, SMALL_ROOM))
    mixed_workload(world)
    for at in range(1, 40):
        disk = whole.after_crash()
        disk.crash_at, disk.torn = at, True
        try:
            again = opened(disk, SMALL_ROOM)
            for _ in range(20):
                again.work()
            later = message("later")
            again.take(later, NOW)
            world.expected["later"] = ExpectedMessage(later)
        except SimulatedCrashError:
            world.now = "later"
        world.check(opened(disk.after_crash(), SMALL_ROOM))
        world.expected.pop("later", None)


@given(st.integers(0, 10**6), st.integers(1, 400), st.booleans())
def test_random_workloads_survive_repeated_crashes(seed: int, at: int, torn: bool) -> None:
    chance = random.Random(seed)

    def random_workload(world: JournalModel) -> None:
        for count in range(60):
            name = f"{count}-{len(world.expected)}"
            open_ones = [
                it
                for it, one_expected in world.expected.items()
                if not one_expected.over and one_expected.owed is None
            ]
            step = chance.random()
            if step < 0.4 or not open_ones:
                world.take(name, chance.choice([5, 500, 6000]))
            elif step < 0.6:
                world.attempt(chance.choice(open_ones))
            elif step < 0.75:
                world.end(chance.choice(open_ones))
            elif step < 0.8:
                world.reply(chance.choice(open_ones), b"%d" % count)
            elif step < 0.88:
                world.owe(chance.choice(open_ones), chance.choice(list(Outcome)))
            world.work()

    disk, world = FaultyDisk(), None
    for _ in range(4):
        disk.crash_at, disk.torn = disk.operations + at, torn
        died = run_until_crash(disk, random_workload, world)
        if died is None:
            break
        world = died
        disk = disk.after_crash()
        found = opened(disk.after_crash(), SMALL_ROOM)
        world.check(found)
        # The recovered state of the interrupted step is expected from now on.
        accept_recovered_state(world, found)


def accept_recovered_state(world: JournalModel, found: Journal) -> None:
    one_expected, one = world.expected.get(world.now), found.held.get(world.now)
    if one is not None and one.end is None:
        tried = {number: it.result for number, it in one.tried.items()}
        world.expected[world.now] = ExpectedMessage(one.message, tried)
    elif one is not None and one_expected is not None:
        one_expected.owed = one.end
        one_expected.over = False
    elif one_expected is not None:
        one_expected.over = True
    world.now = ""


# Power failures: whatever was confirmed must survive the loss of all unsynced data.


class ManualSyncer:
    """A syncer whose jobs the test runs explicitly."""

    def __init__(self) -> None:
        self.jobs: list[tuple[Callable[[], None], Callable[[OSError | None], None]]] = []

    def start(self, job: Callable[[], None], done: Callable[[OSError | None], None]) -> None:
        self.jobs.append((job, done))

    def close(self) -> None:
        pass

    def run(self) -> None:
        while self.jobs:
            job, done = self.jobs.pop(0)
            error: OSError | None = None
            try:
                job()
            except OSError as failed:
                error = failed
            done(error)


class ConfirmingJournal:
    """A journal with delayed syncs, and everything that it has confirmed so far."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.now = [NOW * 1000]
        self.syncer = ManualSyncer()
        self.journal = Journal(disk, SMALL_ROOM, NOW, lambda: self.now[0], self.syncer)
        self.asked: dict[str, Message] = {}
        self.taken: set[str] = set()
        self.left: dict[str, set[int]] = {}
        self.tries: dict[str, int] = {}
        self.owed: dict[str, End] = {}
        self.asked_end: dict[str, End] = {}
        self.over: set[str] = set()

    def take(self, name: str, size: int = 1500) -> None:
        one = message(name, size)
        if self.journal.fits(len(one.body)):
            self.asked[name] = one
            self.journal.take(one, NOW)
            self.journal.after(lambda: self.taken.add(name))

    def attempt(self, name: str) -> None:
        if name not in self.asked:
            return
        number = self.tries.get(name, 0)
        self.tries[name] = number + 1
        self.journal.attempt(attempt(self.asked[name], number), NOW)
        self.journal.after(lambda: self.left.setdefault(name, set()).add(number))

    def owe(self, name: str, outcome: Outcome) -> None:
        if name in self.asked:
            end = self.asked_end[name] = End(name, outcome)
            self.journal.owe(self.asked[name], end)
            self.journal.after(lambda: self.owed.__setitem__(name, end))

    def end(self, name: str) -> None:
        if name in self.asked:
            self.over.add(name)
            self.journal.end(name, LONG, NOW)

    def work(self, sync: bool) -> None:
        self.now[0] += 2_000_000
        self.journal.work()
        if sync:
            self.syncer.run()

    def check(self, found: Journal) -> None:
        assert [it for it in found.damage if "missing" in str(it)] == []
        for name in self.taken:
            one = found.held.get(name)
            if one is None:
                assert name in self.over
                assert found.knows(name)
            elif name in self.owed:
                assert one.end == self.owed[name] or name in self.over
            elif one.end is None:
                assert one.message.body == self.asked[name].body
                assert self.left.get(name, set()) <= set(one.tried)
            else:
                assert one.end == self.asked_end[name]
        assert set(found.held) <= set(self.asked)


def synced_workload(told: ConfirmingJournal) -> None:
    told.take("held")
    told.attempt("held")
    for count in range(14):
        name = f"m{count}"
        told.take(name)
        told.work(sync=count % 3 == 0)
        told.attempt(name)
        told.work(sync=count % 2 == 0)
        if count % 3 == 0:
            told.owe(name, Outcome.GIVEN_UP)
            told.work(sync=count % 2 == 1)
            if count % 2:
                told.end(name)
        elif count % 3 == 1:
            told.end(name)
        told.work(sync=True)
    told.end("held")
    told.work(sync=True)


@pytest.mark.parametrize("model", ["kept", "lost", "torn"])
def test_a_power_failure_at_any_step_loses_nothing_confirmed(small_segments: None, model: str) -> None:
    compacted = 0
    for at in itertools.count(1):
        disk = FaultyDisk()
        disk.crash_at, disk.torn = at, True
        told = ConfirmingJournal(disk)
        try:
            synced_workload(told)
        except SimulatedCrashError:
            pass
        else:
            break
        compacted += rec.segment_file_name(1) in disk.removed
        for seed in range(1 if model != "torn" else 6):
            chance = random.Random(at * 100 + seed) if model == "torn" else None
            left = disk.after_crash() if model == "kept" else disk.after_power_failure(chance)
            told.check(opened(left, SMALL_ROOM))
            told.check(opened(left.after_crash(), SMALL_ROOM))
    assert at > 100
    assert compacted > 3


def test_confirmations_wait_for_a_sync_and_share_it() -> None:
    disk = FaultyDisk()
    told = ConfirmingJournal(disk)
    told.take("first", 5)
    for count in range(50):
        told.take(f"m{count}", 5)
    assert told.taken == set()
    assert len(told.syncer.jobs) == 1
    told.syncer.run()
    assert len(told.taken) == 51
    assert sum(disk.synced.values()) > 51 * 60


def test_after_a_failed_sync_unsynced_records_are_rewritten(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    disk = FaultyDisk()
    told = ConfirmingJournal(disk)
    told.take("a")
    told.syncer.run()
    told.take("b")
    told.attempt("a")
    disk.sync_error = OSError(errno.EIO, "lost")
    told.syncer.run()
    assert told.taken == {"a"}
    assert not told.journal.fits(5)
    disk.sync_error = None
    told.work(sync=True)
    assert (told.taken, told.left) == ({"a", "b"}, {"a": {0}})
    assert told.journal.fits(5)
    assert len(disk.segments()) == 2
    told.check(opened(disk.after_power_failure(None)))
    assert "a sync failed" in caplog.text


def test_a_sync_that_ends_after_the_close_writes_nothing() -> None:
    """The folder may belong to another relay by then."""
    disk = FaultyDisk()
    told = ConfirmingJournal(disk)
    told.take("a")
    before = {name: bytes(data) for name, data in disk.contents.items()}
    told.journal.close()
    told.syncer.run()
    assert {name: bytes(data) for name, data in disk.contents.items()} == before
    assert told.taken == set()


def test_with_an_interval_nobody_waits_and_a_sync_follows() -> None:
    disk, now, syncer = FaultyDisk(), [0], ManualSyncer()
    journal = Journal(disk, ROOM, NOW, lambda: now[0], syncer, 1_000_000)
    told: list[str] = []
    journal.take(message("a"), NOW)
    journal.after(lambda: told.append("a"))
    assert (told, journal.waits) == (["a"], False)
    assert journal.work() == 1_000_000
    now[0] = 1_000_000
    assert journal.work() is None
    syncer.run()
    assert journal.work() is None  # no further sync without a write
    assert list(opened(disk.after_power_failure(None)).held) == ["a"]


# Disks that fill or fail.


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("short", [False, True])
def test_a_disk_that_fails_harms_nothing_and_the_relay_goes_on(
    small_segments: None, number: int, short: bool
) -> None:
    disk = FaultyDisk()
    world = JournalModel(opened(disk, SMALL_ROOM))
    for name in ("a", "b", "c"):
        world.take(name)
        world.attempt(name)
    disk.write_error, disk.short_write = OSError(number, "no"), short
    with pytest.raises(OSError, match="no"):
        world.journal.take(message("refused"), NOW)
    with pytest.raises(OSError, match="no"):
        world.journal.attempt(attempt(world.expected["a"].message, 1), NOW)
    world.outcome("a", Result.ERROR)  # records of past events are kept and written later
    world.owe("b", Outcome.GIVEN_UP)
    world.end("c")
    world.journal.work()
    assert not world.journal.fits(5)
    disk.write_error = None
    world.journal.work()
    assert world.journal.fits(5)
    world.take("d")
    world.check(opened(disk.after_crash(), SMALL_ROOM))


def test_a_full_disk_refuses_and_room_comes_back(small_segments: None) -> None:
    disk = FaultyDisk()
    world = JournalModel(opened(disk, SMALL_ROOM))
    for count in range(100):
        world.take(f"m{count}", 2000)
    held = len(world.expected)
    assert 5 < held < 30
    assert disk.peak_usage <= SMALL_ROOM
    for name in list(world.expected):  # there is still space for results and outcomes
        world.attempt(name)
        world.outcome(name, Result.ERROR)
    world.check(opened(disk.after_crash(), SMALL_ROOM))
    for name in list(world.expected):
        world.end(name)
        world.work()
    for _ in range(50):
        world.work()
    assert world.journal.fits(2000)
    assert space.MIN_RETRY_US <= world.journal.retry_us(2000) <= space.MAX_RETRY_US
    assert disk.peak_usage <= SMALL_ROOM


def test_a_folder_that_cannot_be_written_is_opened_and_takes_nothing() -> None:
    disk = FaultyDisk()
    world = JournalModel(opened(disk))
    world.take("a")
    found = disk.after_crash()
    found.write_error = OSError(errno.EROFS, "read-only")
    journal = opened(found)
    assert list(journal.held) == ["a"]
    with pytest.raises(OSError, match="read-only"):
        journal.take(message("b"), NOW)


# Damage.


def damaged_journal(change: Callable[[bytearray], None]) -> tuple[Journal, JournalModel]:
    disk = FaultyDisk()
    world = JournalModel(opened(disk))
    for name in ("a", "b", "c", "d"):
        world.take(name, 300)
    world.attempt("b")
    change(disk.contents[disk.segments()[0]])
    world.take("e")  # the segment continues after the damage
    return opened(disk.after_crash()), world


@pytest.mark.parametrize("bits", ["flipped", "zeroed"])
def test_damage_in_the_middle_is_told_and_the_rest_recovered(
    bits: str, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")

    def change(data: bytearray) -> None:
        at = data.index(b"b" * 100) + 50
        data[at : at + 8] = bytes(8) if bits == "zeroed" else bytes(byte ^ 1 for byte in data[at : at + 8])

    found, _ = damaged_journal(change)
    (damage,) = found.damage
    assert damage.segment == 1
    assert f"segment 1 offset {damage.offset}: {damage.size} bytes unreadable: skipped" in caplog.text
    # The message whose body is lost is given up; an attempt of an older one may have been lost.
    assert found.held["b"].end == End("b", Outcome.GIVEN_UP)
    assert [it.result for it in found.held["a"].tried.values()] == [None]
    assert {"c", "d", "e"} <= set(found.held)
    assert found.held["e"].tried == {}


def test_a_stale_block_is_detected() -> None:
    disk = FaultyDisk()
    world = JournalModel(opened(disk))
    for name in ("a", "b"):
        world.take(name, 300)
    data = disk.contents[disk.segments()[0]]
    first = rec.HEADER_SIZE
    size = rec.stated_record_size(bytes(data), first)
    data[first + size : first + 2 * size] = data[first : first + size]  # the first record again
    found = opened(disk.after_crash())
    assert list(found.held) == ["a"]
    assert found.damage != []


def many_segments() -> tuple[FaultyDisk, JournalModel]:
    disk = FaultyDisk()
    world = JournalModel(opened(disk, 10**6))
    for count in range(4):
        world.take(f"m{count}", 50_000)
        world.attempt(f"m{count}")
    assert len(disk.segments()) >= 3
    return disk, world


def test_a_missing_segment_is_told_and_what_is_left_may_have_run() -> None:
    disk, _ = many_segments()
    del disk.contents[disk.segments()[1]]
    found = opened(disk.after_crash(), 10**6)
    assert "missing" in str(found.damage[0])
    assert found.held["m0"].tried[max(found.held["m0"].tried)].result is None
    assert len(found.held["m0"].tried) == 2  # the recorded one, and one assumed lost


def test_a_doubled_segment_is_told_and_passed_over() -> None:
    disk, world = many_segments()
    names = disk.segments()
    disk.contents[rec.segment_file_name(77)] = bytearray(disk.contents[names[0]])
    found = opened(disk.after_crash(), 10**6)
    assert "a copy of segment 1" in str(found.damage[0])
    assert set(found.held) == set(world.expected)
    again = opened(disk.after_crash(), 10**6)
    again.take(message("later"), NOW)
    assert len(opened(disk.after_crash(), 10**6).damage) == 1


def test_a_newer_version_is_refused_and_left_untouched() -> None:
    disk = FaultyDisk()
    JournalModel(opened(disk)).take("a")
    data = disk.contents[disk.segments()[0]]
    data[8:10] = (rec.VERSION + 1).to_bytes(2, "big")
    before = dict(disk.contents)
    with pytest.raises(ValueError, match="newer release"):
        opened(disk)
    assert (disk.contents, disk.operations) == (before, disk.operations)


# Compaction.


def test_ended_messages_cost_nothing_and_a_held_one_is_carried_forward(small_segments: None) -> None:
    disk = FaultyDisk()
    journal = opened(disk, SMALL_ROOM)
    kept = message("kept", 3000)
    journal.take(kept, NOW)
    journal.attempt(attempt(kept, 0), NOW)
    for count in range(500):
        one = message(f"m{count}", 1000, until_ms=NOW)
        journal.take(one, NOW)
        journal.end(one.name, NOW, NOW)
        journal.work()
    assert disk.used() < 24_000
    assert disk.peak_usage <= SMALL_ROOM
    (found,) = opened(disk.after_crash(), SMALL_ROOM).held.values()
    assert (found.message.body, list(found.tried)) == (kept.body, [0])


def test_a_slice_stops_when_its_time_is_up() -> None:
    disk, ticks = FaultyDisk(), itertools.count(0, 100)  # each reading of the clock advances it by 100 us
    journal = Journal(disk, 16_000_000, NOW, lambda: next(ticks))
    for count in range(2000):
        one = message(f"m{count}", 3000, until_ms=NOW)
        journal.take(one, NOW)
        if count % 4:
            journal.end(one.name, NOW, NOW)
    before, operations = next(ticks), disk.operations
    assert journal.work() == space.SLICE_US
    assert next(ticks) - before < 2 * space.SLICE_US
    looks = space.SLICE_US // 100
    assert disk.operations - operations < 2 * looks + 4  # a read and a write for each clock reading
    slices = sum(1 for _ in iter(journal.work, None))
    assert slices > 4


def test_names_of_many_ended_messages_are_known_until_their_time_is_up() -> None:
    now = [0]
    disk = FaultyDisk()
    journal = Journal(disk, 64_000_000, NOW, lambda: now[0])
    for count in range(100_000):
        one = message(f"{count:016x}", 10, until_ms=NOW + 1000 + count)
        journal.take(one, NOW)
        journal.end(one.name, one.deadline_ms, NOW)
        journal.work()
    assert journal.knows(f"{0:016x}")
    assert Journal(disk.after_crash(), 64_000_000, NOW, lambda: now[0]).knows(f"{99_000:016x}")
    now[0] = 10_000_000
    assert not journal.knows(f"{8_000:016x}")
    assert journal.knows(f"{9_500:016x}")


@pytest.mark.parametrize("hours", [-5, 5])
def test_a_clock_that_jumps_lets_no_name_be_taken_twice_nor_live_longer(hours: int) -> None:
    disk, now = FaultyDisk(), [0]
    journal = Journal(disk, ROOM, NOW, lambda: now[0])
    journal.take(message("a", until_ms=NOW + 8000), NOW)
    journal.take(message("b", until_ms=NOW + 8000), NOW)
    journal.end("a", NOW + 8000, NOW)
    now[0] = 7_000_000
    assert journal.knows("a")  # whatever the wall clock says by now
    there = NOW + hours * 3_600_000
    found = Journal(disk.after_crash(), ROOM, there, lambda: now[0])
    assert found.held["b"].left_ms(there) <= 8000
    now[0] += 9_000_000
    assert not found.knows("a")


# Journals of earlier releases.


def test_a_journal_of_release_0_1_0_is_migrated(tmp_path: Path) -> None:
    """The file was written by release 0.1.0."""
    old = Path(__file__).parent / "data" / "journal-0.1.0.log"
    (tmp_path / "journal.log").write_bytes(old.read_bytes())
    for _ in range(2):  # the original file, then the migrated one
        journal = Journal(FolderDisk(tmp_path), ROOM, 0, lambda: 1)
        held = journal.held
        assert set(held) == {"never-sent", "may-have-run", "refused-before", "given-up"}
        assert held["never-sent"].message.body == b"hello"
        results = {name: [it.result for it in held[name].tried.values()] for name in held}
        assert (results["may-have-run"], results["refused-before"]) == ([None], [Result.REFUSED])
        assert held["given-up"].end == End("given-up", Outcome.GIVEN_UP)
        assert journal.knows("delivered")
        journal.close()
    assert [path.name for path in tmp_path.iterdir()] == [rec.segment_file_name(1)]


def test_a_crash_during_migration_loses_nothing() -> None:
    old = (Path(__file__).parent / "data" / "journal-0.1.0.log").read_bytes()
    for at in range(1, 30):
        disk = FaultyDisk({"journal.log": old})
        disk.crash_at, disk.torn = at, True
        with contextlib.suppress(SimulatedCrashError):
            opened(disk)
        held = opened(disk.after_crash()).held
        assert set(held) == {"never-sent", "may-have-run", "refused-before", "given-up"}
        assert [it.result for it in held["may-have-run"].tried.values()] == [None]


def test_compaction_that_cannot_keep_up_slows_intake_and_catches_up(small_segments: None) -> None:
    disk, now = FaultyDisk(), [0]

    def slow_clock() -> int:
        now[0] += space.SLICE_US  # each slice ends at its first clock reading
        return now[0]

    journal = Journal(disk, SMALL_ROOM, NOW, slow_clock)
    names = itertools.count()
    refused = 0
    for _ in range(300):  # several messages per slice
        for _ in range(4):
            if not journal.fits(1500):
                refused += 1
                continue
            one = message(f"m{next(names)}", 1500, until_ms=NOW)
            journal.take(one, NOW)
            journal.end(one.name, NOW, NOW)
        journal.work()
        assert disk.used() <= SMALL_ROOM
    assert refused > 0
    for _ in range(200):
        journal.work()
    assert journal.fits(1500)
    assert disk.used() < SMALL_ROOM / 2


def test_large_bodies_next_to_tiny_ones() -> None:
    disk = FaultyDisk()
    world = JournalModel(opened(disk, 2_700_000))
    for count in range(120):
        world.take(f"m{count}", 65_536 if count % 3 == 0 else 5)
        if f"m{count}" in world.expected and count % 2:
            world.end(f"m{count}")
        world.work()
    assert disk.peak_usage <= 2_700_000
    assert sum(len(it.message.body) > 60_000 for it in world.expected.values()) > 15
    world.check(opened(disk.after_crash(), 2_700_000))


def test_power_failures_during_recovery_lose_nothing_confirmed(small_segments: None) -> None:
    whole = FaultyDisk()
    whole.crash_at = 160  # in the middle, during syncs and compaction
    told = ConfirmingJournal(whole)
    with contextlib.suppress(SimulatedCrashError):
        synced_workload(told)
    told.asked["later"] = message("later")
    for seed in range(8):
        left = whole.after_power_failure(random.Random(seed))
        for at in range(1, 14):
            again = left.after_crash()
            again.crash_at, again.torn = at, True
            with contextlib.suppress(SimulatedCrashError):
                life = ConfirmingJournal(again)
                life.take("later")
                for _ in range(6):
                    life.work(sync=True)
            for cut in range(3):
                torn = again.after_power_failure(random.Random(seed * 1000 + at * 10 + cut))
                told.check(opened(torn, SMALL_ROOM))
