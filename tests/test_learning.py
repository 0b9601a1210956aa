"""Learned data across restarts: its store under crashes and disk failures, its decay, its validation."""

from __future__ import annotations

import errno
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack
import pytest

from amberlug.core.ports import Handle, LegacyEndpointState, LegacyState, RequestedPause
from amberlug.learning import blocks, codec, decay
from amberlug.learning import store as stores
from amberlug.learning.blocks import BlockType, InvalidGenerationError, Timestamp
from amberlug.learning.codec import DestinationRecord
from amberlug.learning.learner import Learner
from amberlug.learning.store import RETRY_US, Store
from amberlug.policy import interface as api
from amberlug.policy.account import INITIAL_ANSWER_US, LIMIT_LIFETIME_WINDOWS, SECOND, UNLIMITED
from amberlug.policy.interface import Result, State
from amberlug.policy.lasting import LastingSender
from amberlug.policy.settings import read_settings
from amberlug.policy.state import NEVER
from tests.conftest import of, setup
from tests.faulty import FaultyDisk, SimulatedCrashError

ROOM = 200_000
START = 1000 * SECOND
WALL = 1_790_000_000_000
DAY_MS = 86_400_000


@dataclass
class Time:
    """A clock set by the test; `boot` is the boot id."""

    us: int = START
    wall: int = WALL
    boot: str = "first"
    tick: int = 0  # advance per reading

    def now_us(self) -> int:
        self.us += self.tick
        return self.us

    def wall_ms(self) -> int:
        return self.wall

    def at(self, when_us: int, callback: Callable[..., object], *args: object) -> Handle:
        raise NotImplementedError

    def advance(self, us: int) -> None:
        self.us, self.wall = self.us + us, self.wall + us // 1000


def open_learner(disk: FaultyDisk, time: Time, room: int = ROOM, key: bytes = b"") -> Learner:
    return Learner(Store(disk, room, time.now_us, key), time)


def entry(name: str = "e1", destination: int = 1, kind: str = "plain", **more: Any) -> api.Entry:
    return api.Entry(name, more.pop("zone", "north"), kind, destination, State.IN, 5.0, **more)


def known(
    at: int,
    destination: int = 1,
    route: dict[str, Any] | None = None,
    of: api.Entry | None = None,
    **health: Any,
) -> api.KnownDestination:
    """A destination as observed at that time; healthy unless specified otherwise."""
    usual: dict[str, Any] = {
        "cold": False,
        "outage_since_us": NEVER,
        "last_failure_us": NEVER,
        "last_success_us": at,
        "recovered_us": None,
        "failure_rate": 0.0,
        "may_have_run": False,
        "jitter": 1.0,
        "starts": (),
    }
    told = api.KnownEndpoint(of or entry(f"e{destination}", destination), **(usual | health))
    limits: dict[str, Any] = {
        "usual_us": 250_000,
        "throughput": 2.0,
        "throughput_us": at,
        "learned": UNLIMITED,
    }
    limits |= {"learned_us": 0} | (route or {})
    return api.KnownDestination(destination, (api.KnownRoute("", **limits),), (told,))


def recalled(learner: Learner, *entries: api.Entry) -> api.KnownDestination:
    listed = entries or (entry(),)
    return learner.recall(listed[0].destination, listed) or api.KnownDestination(listed[0].destination)


def wait_at(time: Time, destination: int = 1, length_us: int = 5 * SECOND) -> RequestedPause:
    return RequestedPause(destination, "", length_us, time.us + length_us, time.boot)


# Crashes.


@dataclass
class RecordedWorkload:
    """Records observations and requested waits of a few destinations, and what must survive."""

    time: Time = field(default_factory=lambda: Time(tick=40))
    waits: dict[int, int] = field(default_factory=dict)  # end of each stored wait, by destination
    written: dict[bytes, set[bytes]] = field(default_factory=dict)  # all values that a record has had

    def play(self, disk: FaultyDisk, rounds: int = 24) -> None:
        learner = open_learner(disk, self.time, room=40_000)
        for count in range(rounds):
            self.time.advance(SECOND)
            number = count % 5
            learner.observe([known(self.time.us, number, failure_rate=count / 100)])
            self.note(learner)
            if count % 3 == 0:
                wait = wait_at(self.time, number, 60 * SECOND + count)
                self.written.setdefault(codec.wait_key(wait), set()).add(codec.pack_wait(wait))
                learner.told(wait)
                self.waits[number] = wait.until_us
            for _ in range(3):
                learner.work()
        learner.close()

    def note(self, learner: Learner) -> None:
        for key, record in learner._store.records.items():
            self.written.setdefault(key, set()).add(record)

    def check(self, disk: FaultyDisk, waits_last: bool = True) -> None:
        """Check that each stored record is one that was written; after a process crash no wait is lost."""
        store = Store(disk, 40_000, self.time.now_us)
        for key, record in store.records.items():
            assert record in self.written[key]
        learner = open_learner(disk.after_crash(), self.time, room=40_000)
        for number, until_us in self.waits.items() if waits_last else ():
            (route,) = recalled(learner, entry(f"e{number}", number)).routes
            assert route.blocked_until_us >= until_us


@pytest.fixture
def small_generations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use small generations that are written two records at a time."""
    monkeypatch.setattr(stores, "COMPACTION_MIN_BYTES", 600)
    monkeypatch.setattr(stores, "COMPACTION_FACTOR", 1)
    monkeypatch.setattr(stores, "RECORDS_PER_BLOCK", 2)


def crashes(torn: bool) -> Iterator[tuple[RecordedWorkload, FaultyDisk]]:
    """Crash the workload at each of its disk operations in turn."""
    for at in itertools.count(1):
        disk, workload = FaultyDisk(), RecordedWorkload()
        disk.crash_at, disk.torn = at, torn
        try:
            workload.play(disk)
        except SimulatedCrashError:
            yield workload, disk
        else:
            assert at > 60
            return


@pytest.mark.parametrize("torn", [False, True])
def test_a_death_at_every_operation_makes_nothing_up_and_keeps_told_waits(
    small_generations: None, torn: bool
) -> None:
    changed = 0
    for workload, disk in crashes(torn):
        changed += len(disk.files()) > 2
        workload.check(disk.after_crash())
        # Also crash at each operation of the following start.
        for at in range(1, 8):
            again = disk.after_crash()
            again.crash_at, again.torn = at, torn
            try:
                open_learner(again, replace(workload.time), room=40_000)
            except SimulatedCrashError:
                workload.check(again.after_crash())
    assert changed > 20  # many crashes happened while a generation was written


@pytest.mark.parametrize("seed", range(4))
def test_a_power_cut_that_loses_tears_and_reorders_writes_makes_nothing_up(
    small_generations: None, seed: int
) -> None:
    chance = random.Random(seed)
    for workload, disk in crashes(torn=False):
        workload.check(disk.after_power_failure(chance), waits_last=False)


def test_ten_restarts_in_a_minute_change_no_fact_and_grow_nothing() -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time)
    learner.observe([known(time.us, number) for number in range(50)])
    before, size = dict(learner._store.records), disk.used()
    for _ in range(10):
        time.advance(6 * SECOND)
        learner = open_learner(disk := disk.after_crash(), time)
    assert learner._store.records == before
    assert disk.used() == size


# Corrupted files.


def workload_file() -> tuple[Time, bytes]:
    workload, disk = RecordedWorkload(), FaultyDisk()
    workload.play(disk, 12)
    return workload.time, bytes(disk.contents[max(disk.contents)])


def prefixes(data: bytes, number: int) -> list[dict[bytes, bytes]]:
    """The records that the file contained after each of its blocks."""
    told: list[dict[bytes, bytes]] = []
    for end in range(len(data) + 1):
        try:
            found = blocks.read_generation(data[:end], number, b"")
        except InvalidGenerationError:
            continue
        if not told or told[-1] != found.records:
            told.append(found.records)
    return told


def test_20_000_mutations_are_refused_or_tell_what_was_true() -> None:
    chance, (_, data) = random.Random(5), workload_file()
    number = 1
    true = prefixes(data, number)
    starts = [at for at in range(len(data)) if data[at : at + 2] == blocks.MARKER]
    refused = 0
    for _ in range(20_000):
        changed, sort = bytearray(data), chance.randrange(5)
        at, other = chance.randrange(len(data)), chance.randrange(len(data))
        one, two = sorted(chance.sample(starts, 2))
        if sort == 0:
            changed[at] ^= 1 << chance.randrange(8)
        elif sort == 1:
            del changed[at:]
        elif sort == 2:
            changed[at : at + 8] = changed[other : other + 8]
        elif sort == 3:  # duplicates a block at another position
            changed[two:two] = data[one : starts[starts.index(one) + 1]]
        else:
            del changed[one:two]
        try:
            found = blocks.read_generation(bytes(changed), number, b"")
            codec.check(found.records.items(), found.stamp.clock_us)
        except ValueError:
            refused += 1
            continue
        assert found.records in true
    assert refused > 14_000


def put_file(records: blocks.Records, time: Time, key: bytes = b"", number: int = 1) -> bytes:
    stamp, data, digest = Timestamp(time.wall, time.us, time.boot), blocks.file_header(), blocks.file_header()
    for kind, payload in (
        (BlockType.IDENTITY, blocks.pack_identity(number, stamp)),
        (BlockType.RECORDS, blocks.pack_records(records, stamp)),
        (BlockType.SEAL, b""),
    ):
        one, digest = blocks.encode_block(kind, payload, digest, key)
        data += one
    return data


def record_with(at: int, column: int, value: Any) -> bytes:
    """A destination's record with one value changed."""
    fields = msgpack.unpackb(
        codec.pack_destination(DestinationRecord(known(START), START)), strict_map_key=False
    )
    row = fields[at][0] if isinstance(fields[at], list) else fields
    row[column] = value
    return bytes(msgpack.packb(fields))


ONE = codec.destination_key(1)


@pytest.mark.parametrize(
    ("record", "why"),
    [
        (record_with(3, 9, math.nan), "bounds"),
        (record_with(3, 9, -0.1), "bounds"),
        (record_with(3, 7, START + 10 * SECOND), "bounds"),  # delivery in the future
        (record_with(3, 4, 1), "bounds"),
        (record_with(3, 0, ""), "bounds"),
        (record_with(2, 4, math.inf), "bounds"),
        (record_with(2, 1, -1), "bounds"),
        (record_with(0, 0, 2), "key"),
        (record_with(6, 6, {"e1": {3: [1.0, 2.0]}}), "bounds"),  # more resets than calls
        (b"\xc1", "malformed"),
        (b"\x93\x01\x02\x03", "unpack"),
    ],
)
def test_one_figure_out_of_its_bounds_and_nothing_is_believed(record: bytes, why: str) -> None:
    time = Time()
    good = codec.pack_destination(DestinationRecord(known(START, 2), START))
    records = [(ONE, record), (codec.destination_key(2), good)]
    disk = FaultyDisk({blocks.file_name(1): put_file(records, time)})
    learner = open_learner(disk, time)
    assert len(learner.rejected) == 1
    assert why in learner.rejected[0]
    assert not learner._store.records
    learner.observe([known(time.us)])  # later writes work
    assert recalled(open_learner(disk.after_crash(), time)).endpoints


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (lambda data: data[:9] + b"\x07" + data[10:], "format version is 7"),
        (lambda data: b"AMBERLUG" + data[8:], "not a file of learned data"),
        (lambda data: data[:-1], "incomplete: it has no seal"),
        (lambda data: data + b"x" * ROOM, "exceeds the limit"),
        (lambda data: put_file([(ONE, b"")], Time(), number=2), "it contains generation 2"),
        (lambda data: put_file([], Time(), key=b"of another relay"), "another key"),
    ],
)
def test_what_is_not_believed_is_told_and_the_generation_before_is_tried(
    change: Callable[[bytes], bytes], why: str
) -> None:
    time = Time()
    before = put_file([(ONE, codec.pack_destination(DestinationRecord(known(START), START)))], time)
    newest = put_file(
        [(ONE, codec.pack_destination(DestinationRecord(known(START, failure_rate=0.4), START)))],
        time,
        number=3,
    )
    if "contains" not in why:
        newest = put_file([(ONE, b"")], time, number=3)
    files = {blocks.file_name(1): before, blocks.file_name(3): change(newest)}
    learner = open_learner(FaultyDisk(files), time)
    assert why in learner.rejected[0]
    assert recalled(learner).endpoints[0].failure_rate == 0.0
    assert not open_learner(
        FaultyDisk({blocks.file_name(3): files[blocks.file_name(3)]}), time
    )._store.records


def test_what_can_not_be_believed_later_is_not_written_for_all_to_be_refused() -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time)
    learner.observe([known(time.us, 2, of=entry("e" * 5000, 2)), known(time.us, route={"usual_us": 10**11})])
    learner.told(RequestedPause(3, "e" * 5000, SECOND, time.us + SECOND, time.boot))
    again = open_learner(disk.after_crash(), time)
    assert again.rejected == []
    assert recalled(again).endpoints
    assert not recalled(again, entry("e" * 5000, 2)).endpoints


def test_only_the_key_that_wrote_a_folder_reads_it() -> None:
    time, disk = Time(), FaultyDisk()
    open_learner(disk, time, key=b"k" * 32).observe([known(time.us)])
    assert recalled(open_learner(disk.after_crash(), time, key=b"k" * 32)).endpoints
    for key in (b"", b"l" * 32):
        learner = open_learner(disk.after_crash(), time, key=key)
        assert "another key" in learner.rejected[0]
        assert not recalled(learner).endpoints


# Full and failing disks.


def test_a_failing_disk_stops_nothing_and_what_was_told_is_written_once_it_works(
    small_generations: None,
) -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time)
    disk.write_error, disk.short_write = OSError(errno.ENOSPC, "full"), True
    wait = wait_at(time, length_us=60 * SECOND)
    learner.told(wait)
    learner.observe([known(time.us, number) for number in range(30)])
    assert learner.work() is not None
    assert recalled(learner).routes[0].blocked_until_us == wait.until_us  # known, though not stored
    disk.write_error = None
    time.advance(RETRY_US)
    while learner.work() is not None:
        pass
    again = open_learner(disk.after_crash(), time)
    assert recalled(again).routes[0].blocked_until_us == wait.until_us
    assert len(again._store.records) > 30


def test_it_never_takes_more_than_its_room_and_forgets_the_oldest_but_no_wait() -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time, room=12_000)
    wait = wait_at(time, 0, 1000 * SECOND)
    learner.told(wait)
    for number in range(400):
        time.advance(SECOND // 10)
        learner.observe([known(time.us, number)])
        while learner.work() is not None and learner.work() != RETRY_US:
            time.advance(RETRY_US)
        assert disk.used() <= 12_000
    again = open_learner(disk.after_crash(), time, room=12_000)
    assert recalled(again, entry("e399", 399)).endpoints
    assert not recalled(again, entry("e7", 7)).endpoints
    assert recalled(again, entry("e0", 0)).routes[0].blocked_until_us == wait.until_us


def test_it_leaves_a_full_disk_to_the_journal(small_generations: None) -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time)
    for count in range(60):
        learner.observe([known(time.us, count % 3)])
        learner.work()
    assert len(disk.files()) == 2
    learner.free_disk_space()
    assert len(disk.files()) == 1
    size = disk.used()
    learner.observe([known(time.us, 5)])
    assert disk.used() == size


# Clocks, identity and decay.


@pytest.mark.parametrize(
    ("boot", "clock_us", "wall_ms", "left_us"),
    [
        ("first", START + 2 * SECOND, WALL + 2_000, 3 * SECOND),
        ("first", START + 2 * SECOND, WALL - 3_600_000, 3 * SECOND),  # wall clock set back by an hour
        ("first", START + 2 * SECOND, WALL + DAY_MS, 3 * SECOND),  # and set forward by a day
        ("first", START + 9 * SECOND, WALL + 9_000, 0),
        ("second", 7 * SECOND, WALL + 60_000, 5 * SECOND),  # another boot: the whole wait again
        ("second", 7 * SECOND, 0, 5 * SECOND),  # unsynchronized wall clock: 1970
        ("second", 7 * SECOND, WALL + 7 * DAY_MS, 5 * SECOND),
        ("", START + 2 * SECOND, WALL + 2_000, 5 * SECOND),
    ],
)
def test_a_told_wait_is_never_cut_short_and_never_longer(
    boot: str, clock_us: int, wall_ms: int, left_us: int
) -> None:
    time, disk = Time(), FaultyDisk()
    open_learner(disk, time).told(wait_at(time))
    later = Time(clock_us, wall_ms, boot)
    (route,) = recalled(open_learner(disk.after_crash(), later)).routes
    assert max(0, route.blocked_until_us - clock_us) == left_us
    (again,) = recalled(open_learner(disk.after_crash().after_crash(), later)).routes
    assert again.last_retry_after_us == 5 * SECOND


COLD: dict[str, Any] = {
    "cold": True,
    "outage_since_us": START - 9 * SECOND,
    "last_failure_us": START - SECOND,
    "failure_rate": 0.9,
}


@pytest.mark.parametrize("shift_ms", [-3_600_000, 0, DAY_MS, -WALL])
def test_times_of_another_boot_stay_in_their_order_and_in_the_past(shift_ms: int) -> None:
    time, disk = Time(), FaultyDisk()
    open_learner(disk, time).observe([known(time.us, **COLD)])
    later = Time(50 * SECOND, WALL + shift_ms, "second")
    (health,) = recalled(open_learner(disk.after_crash(), later)).endpoints
    if shift_ms < DAY_MS:
        assert health.cold
        assert (health.last_failure_us, health.outage_since_us) == (later.us - SECOND, later.us - 9 * SECOND)
    else:
        assert not health.cold  # not observed for a day


@pytest.mark.parametrize(
    ("listed", "cold", "rate", "limit", "waits"),
    [
        (entry(), True, 0.9, 3.0, True),
        (entry(zone="south"), True, 0.9, 3.0, True),
        (entry(up_since_ms=WALL), True, 0.0, 3.0, True),  # restarted: back from its outage, and cold
        (entry(kind="bundled"), None, None, UNLIMITED, True),  # the id is reused for another kind
        (entry("other"), None, None, 3.0, True),  # replaced: limit and wait of the destination still apply
        (
            entry(destination=2),
            None,
            None,
            UNLIMITED,
            False,
        ),  # moved: the wait stays with the old destination
    ],
)
def test_each_fact_goes_on_only_for_whom_it_was_learned_of(
    listed: api.Entry, cold: bool | None, rate: float | None, limit: float, waits: bool
) -> None:
    time, disk = Time(), FaultyDisk()
    learner = open_learner(disk, time)
    limit_of = {"learned": 3.0, "learned_us": time.us}
    was = known(time.us, route=limit_of, of=entry(up_since_ms=WALL - 5), **COLD)
    learner.observe([was])
    learner.told(wait_at(time))
    told = recalled(open_learner(disk.after_crash(), time), listed)
    health = {it.entry.endpoint: it for it in told.endpoints}.get(listed.endpoint)
    assert (health and health.cold) == cold
    if health is not None:
        assert health.failure_rate == rate
    route = next(iter(told.routes), api.KnownRoute("", 0, 0, 0, UNLIMITED, 0))
    assert route.learned == limit
    assert (route.blocked_until_us > time.us) is waits


@pytest.mark.parametrize(
    ("pause_us", "cold", "rate", "limit", "usual_us"),
    [
        (0, True, 0.9, 3.0, 250_000),
        (decay.FAILURE_RATE_HALF_LIFE_US, True, 0.5, 3.0, 250_000),
        (decay.LIMIT_DOUBLING_TIME_US, False, 0.0, 6.0, 250_000),
        (decay.RESPONSE_TIME_HALF_LIFE_US, False, 0.0, UNLIMITED, (250_000 + INITIAL_ANSWER_US) // 2),
        (60 * decay.DAY, False, 0.0, UNLIMITED, INITIAL_ANSWER_US),
    ],
)
def test_what_was_learned_weighs_less_with_time(
    pause_us: int, cold: bool, rate: float, limit: float, usual_us: int
) -> None:
    time, disk = Time(), FaultyDisk()
    told = known(time.us, route={"learned": 3.0, "learned_us": time.us}, **COLD)
    open_learner(disk, time).observe([told])
    time.advance(pause_us)
    store = Store(disk.after_crash(), ROOM, time.now_us)
    store.records.pop(codec.KIND + b"plain")  # without a baseline of its kind
    found = recalled(Learner(store, time))
    assert found.endpoints[0].cold is cold
    assert found.endpoints[0].failure_rate == pytest.approx(rate, abs=0.02)
    assert found.routes[0].learned == pytest.approx(limit, rel=0.02)
    assert found.routes[0].usual_us == pytest.approx(usual_us, rel=0.04)


def test_an_endpoint_never_met_is_believed_to_be_like_others_of_its_kind() -> None:
    time = Time()
    learner = open_learner(FaultyDisk(), time)
    learner.observe([known(time.us, number, route={"usual_us": 90_000}) for number in range(5)])
    (route, _) = recalled(learner, entry("new", 77)).routes
    assert route.usual_us == 90_000
    assert not recalled(learner, entry("new", 77, "bundled")).routes


def test_answer_times_hours_and_tenants_are_counted() -> None:
    time = Time()
    learner = open_learner(FaultyDisk(), time)
    for minute in range(5):
        for took_us in (100_000, 100_000, 100_000, 2_000_000):
            learner.answered(1, took_us)
            learner.sent("club")
            learner.reused(1, "e1", 300_000, reset=took_us > SECOND)
            learner.reused(1, "gone", 5, reset=True)
        time.advance(60 * SECOND)
        learner.observe([known(time.us)])
        assert minute >= 0
    kept = codec.unpack_destination(learner._store.records[ONE], time.us)
    assert codec.quantile(kept.response_times, 0.5) == pytest.approx(100_000, rel=0.08)
    assert codec.quantile(kept.response_times, 0.95) == pytest.approx(2_000_000, rel=0.08)
    assert kept.reuse_counts == {"e1": {codec.idle_bin(300_000): (20.0, 5.0)}}
    assert set(kept.active_hours) == {time.wall // 3_600_000 % 168}
    tenant = codec.unpack_baseline(learner._store.records[codec.TENANT + b"club"], time.us)
    assert 0 < tenant.rate < 4 / 60


def test_what_an_earlier_release_kept_is_taken_over_once() -> None:
    time, disk = Time(), FaultyDisk()
    row = LegacyEndpointState(
        "e1", True, START - 9 * SECOND, START - SECOND, NEVER, None, 0.9, True, 2.0, START - SECOND
    )
    earlier = LegacyState(WALL, START, (row, replace(row, endpoint="gone")), (wait_at(time),))
    learner = open_learner(disk, time)
    learner.take_over(earlier, {"e1": entry()}.get)
    time.advance(SECOND)
    for each in (learner, open_learner(disk.after_crash(), time)):
        told = recalled(each)
        assert (told.endpoints[0].cold, told.endpoints[0].last_failure_us) == (True, START - SECOND)
        assert told.routes[0].learned == pytest.approx(2.0, rel=0.01)
        assert told.routes[0].blocked_until_us == START + 5 * SECOND
        each.take_over(replace(earlier, seen=(replace(row, cold=False),)), {"e1": entry()}.get)


# The decision module across restarts.


class RestartableSender:
    """The decision module with learned data, across restarts on one disk; responses take 50 ms."""

    def __init__(self, answer: Callable[[int], tuple[Result, int]], rate: float = 20.0) -> None:
        self.time, self.disk, self.answer = Time(), FaultyDisk(), answer
        self.listed = api.Entry("e1", "north", "plain", 1, State.IN, rate)
        self.refs = itertools.count(1)
        self.sends: list[tuple[int, Result]] = []
        self.begin()

    def begin(self) -> None:
        self.disk = self.disk.after_crash()
        self.learner = open_learner(self.disk, self.time)
        settings = read_settings(setup(Weights="nominal", FamilyInfo__Slots=50, Bounds__MaxOpen=2000))
        self.sender = LastingSender(settings, 7, self.learner.recall)
        self.due: list[tuple[int, api.Event]] = []
        self.step(api.Listed(api.ListKind.WHOLE, (self.listed,)))

    def step(self, *events: api.Event) -> None:
        for action in self.sender.step(self.time.us, events):
            if isinstance(action, api.Timer):
                self.due.append((self.time.us + action.after_us, api.TimerExpired(action.label)))
            elif isinstance(action, api.Send):
                result, wait_us = self.answer(self.time.us)
                self.sends.append((self.time.us, result))
                if wait_us:
                    self.learner.told(
                        RequestedPause(1, "", wait_us, self.time.us + 50_000 + wait_us, self.time.boot)
                    )
                number = self.sender.messages[action.ref].attempts - 1
                told = api.Outcome(
                    action.ref, number, action.endpoint, result, result is Result.DONE, 50_000, wait_us, ()
                )
                self.due.append((self.time.us + 50_000, told))
        if self.sender.unsaved_urgent:
            self.learner.observe(self.sender.learned(9, urgent=True))

    def run(self, seconds: float, per_second: float = 10.0) -> list[tuple[int, Result]]:
        """Submit messages for a while; returns the sends in that time."""
        until, before = self.time.us + int(seconds * SECOND), len(self.sends)
        arrivals = [self.time.us + int(at * SECOND / per_second) for at in range(int(seconds * per_second))]
        while True:
            self.due.sort(key=lambda it: it[0])
            next_us = min([*arrivals[:1], *[at for at, _ in self.due[:1]], until])
            self.time.advance(next_us - self.time.us)
            if next_us >= until:
                break
            if arrivals and arrivals[0] == next_us:
                arrivals.pop(0)
                self.step(api.Taken(next(self.refs), 1, "safe", None, None, 10 * SECOND))
            else:
                self.step(self.due.pop(0)[1])
        self.learner.observe(self.sender.learned(9))
        return self.sends[before:]

    def restart(self, away_us: int = SECOND) -> None:
        self.time.advance(away_us)
        self.begin()


def test_a_restart_in_a_told_wait_ends_with_a_call_soon_after_it() -> None:
    run = RestartableSender(
        lambda at: (Result.REFUSED, 4 * SECOND) if at < START + SECOND else (Result.DONE, 0)
    )
    until_us = run.run(1)[0][0] + 50_000 + 4 * SECOND
    run.restart()
    (first, _), *_ = run.run(6)
    assert until_us <= first <= until_us + SECOND // 10


def failing_until(at_us: int) -> Callable[[int], tuple[Result, int]]:
    return lambda now: (Result.TIMED_OUT if now < at_us else Result.DONE, 0)


@pytest.mark.parametrize("outage", [15, 7])
def test_a_restart_does_not_pass_the_bound_on_what_is_cold(outage: int) -> None:
    """During the outage, or in the cold start after it, which began three seconds before the restart."""
    restarted_run = RestartableSender(failing_until(START + outage * SECOND), rate=4.0)
    steady_run = RestartableSender(failing_until(START + outage * SECOND), rate=4.0)
    assert len(restarted_run.run(10)) == len(steady_run.run(10))
    restarted_run.restart(SECOND // 10)
    steady_run.time.advance(SECOND // 10)
    window = 2 * SECOND

    def most(sends: list[tuple[int, Result]]) -> int:
        return max((sum(at <= it < at + window for it, _ in sends) for at, _ in sends), default=0)

    assert most(restarted_run.run(4)) <= most(steady_run.run(4)) + 1


def test_a_learned_limit_goes_on_over_a_restart() -> None:
    starts: list[int] = []

    def limited(now: int) -> tuple[Result, int]:
        starts[:] = [it for it in starts if it > now - SECOND]
        if len(starts) >= 5:
            return Result.REFUSED, 0
        starts.append(now)
        return Result.DONE, 0

    refused = []
    for keep in (True, False):
        starts.clear()
        run = RestartableSender(limited, rate=0.0)
        run.run(8, per_second=100)
        if not keep:
            run.disk = FaultyDisk()
        run.restart()
        refused.append(sum(result is Result.REFUSED for _, result in run.run(2.5, per_second=100)))
    assert refused[0] < refused[1] / 2


def test_a_partner_that_got_better_meanwhile_is_served_again_from_its_first_call_on() -> None:
    run = RestartableSender(failing_until(START + 6 * SECOND))
    run.run(6)
    assert run.sender.endpoints["e1"].cold
    run.restart(2 * SECOND)
    sends = run.run(9)
    assert sends[0][0] < run.time.us - 8 * SECOND  # immediately, by a single call
    late = [it for it in sends if it[0] > run.time.us - 4 * SECOND]
    assert len(late) >= 0.95 * 40  # from five seconds on, nearly all messages
    assert run.sender.reset_rate == 0


def test_a_learned_limit_that_was_lifted_meanwhile_gives_way_in_a_few_windows() -> None:
    refusing = START + 4 * SECOND
    run = RestartableSender(lambda at: (Result.REFUSED if at < refusing else Result.DONE, 0), rate=0.0)
    run.run(4)
    assert run.sender.endpoints["e1"].account.limit(run.time.us) < 2
    run.restart()
    run.run(LIMIT_LIFETIME_WINDOWS * 2)
    assert run.sender.endpoints["e1"].account.limit(run.time.us) == UNLIMITED


def test_what_was_learned_of_endpoints_that_are_listed_late_counts_from_then_on() -> None:
    run = RestartableSender(failing_until(START + 60 * SECOND))
    run.run(6)
    run.disk = run.disk.after_crash()
    learner = open_learner(run.disk, run.time)
    settings = read_settings(setup(Weights="nominal"))
    sender = LastingSender(settings, 7, learner.recall)
    sender.step(run.time.us, [api.Resumed(api.Taken(1, 1, "safe", None, None, 9 * SECOND), 0, ())])
    assert not of(sender.step(run.time.us, [api.Listed(api.ListKind.WHOLE, (entry("e9"),))]), api.Refuse)
    sender.step(run.time.us, [api.Listed(api.ListKind.PATCH, (run.listed,))])
    assert sender.endpoints["e1"].cold
    assert not sender.endpoints["e9"].cold


@pytest.mark.parametrize("restarts", [True, False])
def test_a_route_that_was_not_listed_for_a_while_is_still_waited_for(restarts: bool) -> None:
    time, disk = Time(), FaultyDisk()
    learner, settings = open_learner(disk, time), read_settings(setup(Weights="nominal"))
    first, other = (entry(name, kind="apart") for name in ("c1", "c2"))
    sender = LastingSender(settings, 7, learner.recall)
    sender.step(time.us, [api.Listed(api.ListKind.WHOLE, (first, other))])
    sender.step(time.us, [api.Taken(1, 1, "safe", None, None, 9 * SECOND)])
    name = next(it for it in sender.endpoints if sender.endpoints[it].out)
    route = sender.route(name)
    assert route == name
    learner.told(RequestedPause(1, route, 5 * SECOND, time.us + 5 * SECOND, time.boot))
    told = api.Outcome(1, 0, name, Result.REFUSED, False, 1, 5 * SECOND, ())
    sender.step(time.us, [told, api.Withdrawn(1)])
    gone, left = (first, other) if name == "c1" else (other, first)
    if restarts:
        sender = LastingSender(settings, 8, open_learner(disk.after_crash(), time).recall)
        sender.step(time.us, [api.Listed(api.ListKind.WHOLE, (left,))])
    else:
        sender.step(time.us, [api.Listed(api.ListKind.PATCH, (replace(gone, state=State.GONE),))])
    sender.step(time.us, [api.Taken(2, 1, "safe", None, None, 9 * SECOND)])
    sender.step(time.us, [api.Listed(api.ListKind.PATCH, (gone,))])
    assert sender.endpoints[name].account.blocked_until == time.us + 5 * SECOND
    assert not sender.may_start(time.us + SECOND, 2, name)
