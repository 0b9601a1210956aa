"""The real daemon with thousands of destinations: many that wake, a long list under load, a restart."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from amberlug.standin.crowd import Behavior, Client, Crowd, Directory, SubmittedMessage
from amberlug.standin.wire import PATIENCE
from tests.conftest import setup
from tests.rig import Relay, run
from tests.test_clients import memory_mb

BEHAVIORS = [
    Behavior.WELL,
    Behavior.SLOW,
    Behavior.WELL,
    Behavior.REFUSES,
    Behavior.WELL,
    Behavior.DEAD,
    Behavior.WELL,
    Behavior.SILENT,
]
BUSY = 10
PACE = 0.02  # seconds between two messages for the busy destinations
LIVES_S = 10.0  # deadline of a message


@asynccontextmanager
async def crowded(
    folder: Path, crowd: Crowd, listed: int, told: dict[str, SubmittedMessage]
) -> AsyncIterator[tuple[Relay, Directory]]:
    platform = Directory(told)
    await platform.start()
    await crowd.start()
    settings = setup(FamilyInfo__Slots=60, Bounds__MaxOpen=800, Bounds__MostTries=12, GranularityUs=1000)
    limits = {"disk_mb": 16.0, "memory_mb": 64, "sockets": 1024}
    relay = Relay(folder, platform, crowd.members(range(listed)), settings, limits)
    await relay.start()
    await platform.watched(1)
    try:
        yield relay, platform
    finally:
        await relay.kill()
        await crowd.stop()
        await platform.stop()


async def clients(relay: Relay, count: int, told: dict[str, SubmittedMessage]) -> list[Client]:
    loop = asyncio.get_running_loop()
    made = [await loop.create_connection(lambda: Client(told), "127.0.0.1", relay.port) for _ in range(count)]
    return [client for _, client in made]


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not true():
            await asyncio.sleep(0.01)


async def busy(relay: Relay, told: dict[str, SubmittedMessage], stop: asyncio.Event) -> set[str]:
    """Submit messages for a few destinations at a steady rate until `stop`; return their names."""
    own, names = await clients(relay, 4, told), set[str]()
    while not stop.is_set():
        name = f"{len(names) % BUSY}-b{len(names)}"
        names.add(name)
        own[len(names) % 4].hand_in(name, "unsafe", LIVES_S)
        await asyncio.sleep(PACE)
    return names


@pytest.mark.parametrize("bad", [False, True])
def test_many_that_wake_are_each_called_soon_and_the_busy_go_on(tmp_path: Path, bad: bool) -> None:
    woken, each = range(BUSY, BUSY + 200), 5
    crowd = Crowd(lambda number: BEHAVIORS[number % 8] if bad and number >= BUSY else Behavior.WELL)

    async def scenario() -> None:
        told: dict[str, SubmittedMessage] = {}
        async with crowded(tmp_path, crowd, 3000, told) as (relay, _):
            stop = asyncio.Event()
            going_on = asyncio.ensure_future(busy(relay, told, stop))
            held_up = asyncio.ensure_future(hold_ups(stop))
            crowding = await clients(relay, 30, told)
            names = [f"{number}-w{count}" for count in range(each) for number in woken]
            for count, name in enumerate(names):
                crowding[count % 30].hand_in(name, "safe", LIVES_S)
                if count % 10 == 9:
                    await asyncio.sleep(0.01)
            well = {it for it in names if crowd.behavior(int(it.partition("-")[0])) is Behavior.WELL}
            least = len(well) * (0.9 if bad else 1.0)
            await until(lambda: crowd.called.keys() >= set(woken))
            await until(lambda: len(well & crowd.delivered.keys()) >= least)
            stop.set()
            went = await going_on
            slow = await held_up
            await until(lambda: went <= crowd.delivered.keys())
        first = max(crowd.called[number].first - told[f"{number}-w0"].made for number in woken)
        assert first < LIVES_S  # 1 s on an idle machine, 6 s if half are bad
        late = [name for name in went if crowd.delivered[name] > told[name].made + 1.0 + slow]
        assert len(late) <= len(went) * 0.1
        assert not any(it.early for it in crowd.called.values())  # no call before a retry delay was over

    run(scenario())


async def hold_ups(stop: asyncio.Event) -> float:
    """Return the total event loop lag of this process until `stop`; it shares the machine with the relay."""
    loop, late = asyncio.get_running_loop(), 0.0
    while not stop.is_set():
        due = loop.time() + 0.01
        await asyncio.sleep(0.01)
        late += max(0.0, loop.time() - due - 0.02)  # 20 ms: an own loop iteration may take as long
    return late


def test_a_list_that_replaces_most_under_load_costs_no_message(tmp_path: Path) -> None:
    listed, kept = 10_000, 4_200
    crowd = Crowd()

    async def scenario() -> None:
        told: dict[str, SubmittedMessage] = {}
        async with crowded(tmp_path, crowd, listed, told) as (relay, platform):
            stop = asyncio.Event()
            going_on = asyncio.ensure_future(busy(relay, told, stop))
            own = await clients(relay, 1, told)
            gone, new = range(listed - 50, listed), range(listed, listed + 50)
            crowd.gone.update(gone)
            for revision in (2, 3):  # the second list replaces them all once more
                members = crowd.members(range(kept))
                members += crowd.members(range(kept, listed - 50), life=revision)
                members += crowd.members(new, life=revision)
                platform.whole(members)
                for number in new:  # the list has been applied once the message is accepted
                    name = f"{number}-r{revision}"
                    while told.get(name) is None or told[name].status != 202:
                        own[0].hand_in(name, "safe", LIVES_S)
                        await until(lambda it=name: told[it].status != 0)  # type: ignore[misc]
                replaced = [f"{number}-r{revision}" for number in range(kept, kept + 50)]
                for name in replaced:
                    own[0].hand_in(name, "unsafe", LIVES_S)
                await until(lambda it=set(replaced): it <= crowd.delivered.keys())  # type: ignore[misc]
            for number in gone:
                reply = await relay.hand_in(f"{number}-x", Envelope=f"dest={number}")
                assert reply.status == 404
            stop.set()
            went = await going_on
            await until(lambda: went <= crowd.delivered.keys())
            assert all(told[name].status == 202 for name in went)
        assert crowd.late == 0

    run(scenario())


def test_a_kill_with_fifty_thousand_listed_loses_nothing_and_repeats_nothing_unsafe(tmp_path: Path) -> None:
    listed, asked = 50_000, range(100, 50_000, 1_000)
    behaviors = dict.fromkeys(asked, Behavior.SILENT)
    crowd = Crowd(lambda number: behaviors.get(number, Behavior.WELL))

    async def scenario() -> None:
        told: dict[str, SubmittedMessage] = {}
        async with crowded(tmp_path, crowd, listed, told) as (relay, platform):
            own = await clients(relay, 2, told)
            safe = {f"{number}-s" for number in asked[::2]}
            unsafe = {f"{number}-u" for number in asked[1::2]}
            for name in sorted(safe | unsafe):
                own[0].hand_in(name, "safe" if name in safe else "unsafe", LIVES_S)
            await until(lambda: all(number in crowd.called for number in asked))
            assert all(told[name].status == 202 for name in safe | unsafe)
            await relay.kill()
            behaviors.clear()
            loop = asyncio.get_running_loop()
            start = loop.time()
            await relay.start()
            assert loop.time() - start < LIVES_S  # 2 s on an idle machine
            assert memory_mb(relay) < 60  # measured: 47
            await until(lambda: safe <= crowd.delivered.keys())
            ended = {it["message"] for it in await platform.noticed(len(unsafe))}
            assert ended == unsafe  # given up at once: each may have taken effect
            assert all(crowd.called[int(it.partition("-")[0])].calls == 1 for it in unsafe)
            reply = await relay.hand_in("4711-x", Envelope="dest=4711")
            assert reply.status == 202
            await until(lambda: "4711-x" in crowd.delivered)

    run(scenario())
