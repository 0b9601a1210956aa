"""The journal in a real process: kills during compaction, a full folder, a file size limit."""

import asyncio
import contextlib
import errno
from collections import Counter
from pathlib import Path

import pytest

from amberlug.standin.wire import OK, PATIENCE, Platform, StandIn
from tests.conftest import setup
from tests.faulty import FaultyDisk
from tests.rig import Relay, hand_in, member, run
from tests.test_journal import NOW, ConfirmingJournal, message, opened

BODY = b"x" * 5000


def started(folder: Path, platform: Platform, endpoint: StandIn, disk_mb: float) -> Relay:
    limits = {"disk_mb": disk_mb, "memory_mb": 64, "sockets": 256}
    settings = setup(Weights="none", GranularityUs=1000)
    return Relay(folder, platform, [member(endpoint.port)], settings, limits)


async def give(relay: Relay, name: str, kind: str, body: bytes = BODY) -> int:
    headers = hand_in(name, kind)
    return (await relay.ask("POST", f"/{kind}", headers, body)).status


def used(folder: Path) -> int:
    total = 0
    for path in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):  # deleted by compaction meanwhile
            total += -(-path.stat().st_size // 512) * 512
    return total


async def all_ended(names: set[str], endpoint: StandIn, platform: Platform) -> None:
    """Wait until each message was delivered or its outcome was reported."""
    async with asyncio.timeout(PATIENCE):
        while not names <= {it["message"] for it in platform.notices} | {seen.name for seen in endpoint.seen}:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("durability", ["process", "group"])
def test_kills_during_compaction_lose_and_repeat_no_message(tmp_path: Path, durability: str) -> None:
    async def scenario() -> None:
        endpoint, platform = await StandIn(OK).start(), Platform()
        await platform.start()
        relay = started(tmp_path, platform, endpoint, 0.3)
        relay.options = {"durability": durability}
        taken: set[str] = set()
        await relay.start()
        for life in range(6):
            for count in range(18):
                name = f"m{life}-{count}"
                if await give(relay, name, "unsafe") == 202:
                    taken.add(name)
                assert used(tmp_path / "state") <= 300_000
            await relay.kill()  # at an arbitrary moment
            await relay.start()
        assert not (tmp_path / "state" / "segment-000000000001.log").exists()
        assert len(taken) > 60
        await all_ended(taken, endpoint, platform)
        assert max(Counter(seen.name for seen in endpoint.seen).values()) == 1
        await relay.kill()
        await endpoint.stop()
        await platform.stop()

    run(scenario())


def test_a_file_size_limit_below_the_segment_size_is_handled(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint, platform = await StandIn(OK).start(), Platform()
        await platform.start()
        relay = started(tmp_path, platform, endpoint, 3.0)
        relay.blocks = 32  # 16 KiB; a segment would have 168 KiB
        await relay.start()
        for count in range(20):
            assert await give(relay, f"m{count}", "unsafe") == 202
        called = [seen.name for seen in await endpoint.requests(20)]  # in any order: dialling times vary
        assert sorted(called) == sorted(f"m{count}" for count in range(20))
        assert await give(relay, "large", "unsafe", b"x" * 30_000) == 429  # larger than any file may be
        await relay.kill()
        await relay.start()
        assert await give(relay, "m3", "unsafe") == 202  # a duplicate, not accepted twice
        assert await give(relay, "next", "unsafe") == 202
        await endpoint.requests(21)
        assert len(endpoint.seen) == 21
        await relay.kill()
        await endpoint.stop()
        await platform.stop()

    run(scenario())


def test_a_full_folder_slows_intake_with_a_time_to_come_again_and_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint, platform = await StandIn(None).start(), Platform()
        await platform.start()
        relay = started(tmp_path, platform, endpoint, 0.3)
        relay.settings["Bounds"]["MaxOpen"] = 400
        await relay.start()
        names, reply = [], None
        for count in range(200):
            body = {f"m{count}": BODY * 3}
            (name,) = body
            reply = await relay.ask("POST", "/unsafe", hand_in(name, "unsafe", left_ms=60_000), body[name])
            if reply.status != 202:
                break
            names.append(name)
        assert reply is not None
        assert (reply.status, bytes(reply.body)) == (503, b"no room\n")
        assert float(reply.headers["retry-after"]) > 0
        assert 5 < len(names) < 30
        assert used(tmp_path / "state") <= 300_000
        endpoint.usual = OK
        for seen in list(endpoint.seen):
            seen.answer(OK)
        await endpoint.requests(len(names))
        async with asyncio.timeout(10):
            while (await give(relay, "later", "unsafe")) != 202:
                await asyncio.sleep(0.05)
        await relay.kill()
        await endpoint.stop()
        await platform.stop()

    run(scenario())


def test_intermittent_sync_failures_lose_nothing_confirmed() -> None:
    for failing in range(1, 12):
        disk = FaultyDisk()
        told = ConfirmingJournal(disk)
        for count in range(12):
            disk.sync_error = OSError(errno.EIO, "lost") if count == failing else None
            told.take(f"m{count}")
            told.attempt(f"m{count}")
            told.work(sync=True)
            if count % 2:
                told.end(f"m{count}")
            told.check(opened(disk.after_power_failure(None)))
        disk.sync_error = None
        told.work(sync=True)
        assert told.taken == set(told.asked)
        assert told.journal.fits(5)
        told.journal.take(message("last"), NOW)
