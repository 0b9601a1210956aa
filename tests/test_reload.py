"""SIGHUP reloads the configuration under load, and the relay keeps all its state."""

import asyncio
import signal
from pathlib import Path

from amberlug.standin.wire import OK, Platform, StandIn
from tests.rig import member, news, run, world


def test_discovery_moves_with_its_watch_and_a_notice_that_was_in_flight(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint, other = StandIn((500, [], b"")), StandIn()
        async with world(tmp_path, endpoint) as (relay, old):
            await other.start()
            new = Platform()
            await new.start()
            await old.watched(1)
            old.usual = None  # the notice is sent there but never answered
            await relay.hand_in("m1", "unsafe")
            await old.noticed()
            relay.platform = new
            relay.configure()
            relay.signal(signal.SIGHUP)
            await new.watched(1)
            assert (await new.noticed())[0] == {"message": "m1", "outcome": "given_up"}
            await old.until(lambda: old.closed == old.dials)  # no connection to the old address remains
            new.tell(news(member(endpoint.port, "e0", "terminating"), member(other.port, "e9")))
            await relay.hand_in("m2")
            assert [seen.name for seen in await other.requests(1)] == ["m2"]
            for peer in (new, other):
                await peer.stop()

    run(scenario())


def test_a_restart_hears_of_what_drains_before_it_calls_anything(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, other = StandIn(None), StandIn()
        async with world(tmp_path, first, Balancers=200) as (relay, platform):
            await other.start()
            await relay.hand_in("m1")
            await first.requests(1)
            await relay.kill()
            platform.first = news(member(first.port, "e0", "terminating"), member(other.port, "e9"))
            await relay.start()  # the configuration file lists e0 as in service
            assert [seen.name for seen in await other.requests(1)] == ["m1"]
            await relay.hand_in("m2")
            assert [seen.name for seen in await other.requests(2)] == ["m1", "m2"]
            assert len(first.seen) == 1
            await other.stop()

    run(scenario())


def test_a_signal_to_a_relay_that_is_starting_does_not_end_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with world(tmp_path, StandIn()) as (relay, platform):
            await relay.kill()
            platform.on_request = platform.silent  # so the start waits for a response
            new = Platform()
            await new.start()

            async def move() -> None:
                await platform.until(lambda: platform.closed < platform.dials)
                relay.platform = new
                relay.configure()
                relay.signal(signal.SIGHUP)

            moving = asyncio.create_task(move())
            await relay.start()
            await moving
            await new.watched(1)
            await new.stop()

    run(scenario())


def test_what_is_held_goes_on_over_a_new_configuration(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn(OK, None)
        async with world(tmp_path, endpoint, FamilyInfo__Slots=1) as (relay, platform):
            await relay.hand_in("m1", "unsafe")
            (out,) = await endpoint.requests(1)
            await relay.hand_in("m2", "unsafe")
            relay.platform = Platform()
            await relay.platform.start()
            relay.configure()
            relay.signal(signal.SIGHUP)
            await relay.said("discovery: now at")
            out.answer(OK)
            assert [seen.name for seen in await endpoint.requests(2)] == ["m1", "m2"]
            assert endpoint.dials == 1
            assert platform.notices == []
            await relay.platform.stop()

    run(scenario())


def test_a_bad_file_is_one_line_and_the_old_configuration_goes_on(tmp_path: Path) -> None:
    async def scenario() -> None:
        endpoint = StandIn()
        async with world(tmp_path, endpoint) as (relay, platform):
            await platform.watched(1)
            for text in ("", "{", "[" * 100_000, '{"settings": 3}'):
                relay.config.write_text(text)
                relay.signal(signal.SIGHUP)
                await relay.said("configuration not reloaded")
            await relay.hand_in("m1")
            assert [seen.name for seen in await endpoint.requests(1)] == ["m1"]
            assert (len(platform.watches), platform.closed) == (1, 0)

    run(scenario())
