"""Library and daemon produce the same results for the same script, judged by the traffic."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from amberlug.standin.wire import OK, PATIENCE, Answer, Platform, Seen, StandIn
from tests.conftest import setup
from tests.rig import ROOT, Relay, member, news, run

SCRIPT = json.loads((Path(__file__).parent / "scripts" / "evening.json").read_text(encoding="utf-8"))
ANSWERS: dict[str, Answer] = {
    "ok": OK,
    "error": (500, [], b""),
    "full": (503, [], b""),
    "wait": (429, [("Wait-Ms", "300")], b""),
}


@dataclass
class History:
    """The history of one message: key, body and response of each attempt, acceptance and outcomes."""

    attempts: list[tuple[str, bytes, str]] = field(default_factory=list)
    taken: list[bool] = field(default_factory=list)
    ends: list[str] = field(default_factory=list)


class Front(Protocol):
    """The relay under test, as seen by a client."""

    async def start(self) -> None: ...
    async def hand_in(self, name: str, kind: str) -> bool: ...
    async def told(self) -> dict[str, str]:
        """The outcomes reported so far, by message; deliveries need not be reported."""

    async def kill(self) -> None: ...
    def shut_down(self) -> None: ...
    async def stopped(self) -> None: ...


class Run:
    """Runs the steps of the script in order against a front."""

    def __init__(self, folder: Path, make: Callable[[Path, Platform, list[dict[str, Any]]], Front]) -> None:
        self._folder, self._make = folder, make
        self.platform = Platform()
        self.histories: dict[str, History] = {}
        self._peers: dict[str, StandIn] = {}
        self._answers = {name: list(answers) for name, answers in SCRIPT["answers"].items()}
        self._held: list[Seen] = []
        self.calls: list[tuple[str, str]] = []  # message and endpoint, in order
        self._changed = asyncio.Event()
        self._holding = False

    async def play(self) -> dict[str, History]:
        await self.platform.start()
        for name in SCRIPT["endpoints"]:
            await self._add(name)
        self._members = [member(peer.port, name) for name, peer in self._peers.items()]
        self._front = self._make(self._folder, self.platform, self._members)
        await self._front.start()
        try:
            for step, *arguments in SCRIPT["steps"]:
                perform: Callable[..., Awaitable[None]] = getattr(self, f"_{step}")
                await perform(*arguments)
        finally:
            await self._front.kill()
            for peer in (self.platform, *self._peers.values()):
                await peer.stop()
        return self.histories

    async def _add(self, name: str) -> None:
        peer = StandIn(None)
        peer.on_request = lambda seen: self._called(name, seen)
        self._peers[name] = await peer.start()

    def _called(self, endpoint: str, seen: Seen) -> bool:
        # Responses are scripted by message: which endpoint is called depends on timing and thus on the
        # machine.
        answers = self._answers.get(seen.name, [])
        word = "hold" if self._holding else answers.pop(0) if answers else "ok"
        key = seen.headers.get("idempotency-key", "-")
        self.histories[seen.name].attempts.append((key, seen.body, word))
        self.calls.append((seen.name, endpoint))
        if word == "hold":
            self._held.append(seen)
        elif word == "reset":
            seen.reset()
        else:
            seen.answer(ANSWERS[word])
        self._changed.set()
        return True

    async def _until(self, true: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not true():
                self._changed.clear()
                await self._changed.wait()

    def _delivered(self, name: str) -> bool:
        return any(word == "ok" for *_, word in self.histories[name].attempts)

    # The steps of the script.

    async def _hand_in(self, name: str, kind: str) -> None:
        history = self.histories.setdefault(name, History())
        history.taken.append(await self._front.hand_in(name, kind))
        await self._ended(name)

    async def _ended(self, name: str) -> None:
        async with asyncio.timeout(PATIENCE):
            while not self._delivered(name) and name not in (told := await self._front.told()):
                await asyncio.sleep(0.005)
        history = self.histories[name]
        history.ends.append("delivered" if self._delivered(name) else told[name])

    async def _hand_in_held(self, name: str, kind: str) -> None:
        self._holding = True
        await self._hand_in_waiting(name, kind)
        await self._until(lambda: bool(self.histories[name].attempts))

    async def _hand_in_waiting(self, name: str, kind: str) -> None:
        # Created first: a call may arrive before the response to the submission and belongs to the history.
        history = self.histories[name] = History()
        history.taken.append(await self._front.hand_in(name, kind))

    async def _release(self) -> None:
        self._holding = False
        for seen in self._held:
            history = self.histories[seen.name]
            if not seen.writer.transport.is_closing():
                at = history.attempts.index((seen.headers.get("idempotency-key", "-"), seen.body, "hold"))
                history.attempts[at] = (*history.attempts[at][:2], "ok")
                seen.answer(OK)
        self._held.clear()

    async def _replace(self, old: str, new: str) -> None:
        await self._add(new)
        gone, peer = self._peers[old], self._peers[new]
        self._members[:] = [it for it in self._members if it["id"] != old] + [member(peer.port, new)]
        self.platform.tell(news(member(gone.port, old, "terminating"), member(peer.port, new)))
        await gone.until(lambda: gone.closed == gone.dials)  # the relay has received the update

    async def _kill(self) -> None:
        await self._front.kill()
        self._holding = False
        self._held.clear()

    async def _start(self) -> None:
        await self._front.start()

    async def _shut_down(self) -> None:
        self._front.shut_down()

    async def _stopped(self) -> None:
        await self._front.stopped()


class Daemon:
    """The daemon in its own process."""

    def __init__(self, folder: Path, platform: Platform, members: list[dict[str, Any]]) -> None:
        limits = {"disk_mb": 3.0, "memory_mb": 64, "sockets": 256}
        settings = setup(Weights="nominal", FamilyInfo__Slots=1)
        self._relay = Relay(folder, platform, members, settings, limits)
        self._platform = platform

    async def start(self) -> None:
        watches = len(self._platform.watches)
        await self._relay.start()
        await self._platform.watched(watches + 1)

    async def hand_in(self, name: str, kind: str) -> bool:
        return (await self._relay.hand_in(name, kind)).status == 202

    async def told(self) -> dict[str, str]:
        return {it["message"]: it["outcome"] for it in self._platform.notices}

    async def kill(self) -> None:
        if self._relay.process is not None and self._relay.process.returncode is None:
            await self._relay.kill()

    def shut_down(self) -> None:
        self._relay.signal(signal.SIGTERM)

    async def stopped(self) -> None:
        assert await self._relay.ended() == 0


class Library:
    """The library in a host process."""

    def __init__(self, folder: Path, platform: Platform, members: list[dict[str, Any]]) -> None:
        self._folder, self._platform, self._members = folder, platform, members
        self._process: asyncio.subprocess.Process | None = None
        self._outcomes: dict[str, str] = {}
        self._taken: dict[str, asyncio.Future[bool]] = {}

    async def start(self) -> None:
        config = self._folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "seed": "8c1f30d27a5be964",
                    "discovery": f"127.0.0.1:{self._platform.port}",
                    "known": {"revision": 1, "complete": True, "members": self._members},
                    "settings": setup(Weights="nominal", FamilyInfo__Slots=1),
                    "held": list(self._taken),
                }
            )
        )
        watches = len(self._platform.watches)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.parity_host",
            str(config),
            str(self._folder / "state"),
            cwd=ROOT,
            env=os.environ,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        async with asyncio.timeout(PATIENCE):
            while b"ready" not in (line := await self._process.stdout.readline()):
                self._said(line)
        self._reading = asyncio.ensure_future(self._read(self._process.stdout))
        await self._platform.watched(watches + 1)

    async def _read(self, out: asyncio.StreamReader) -> None:
        while line := await out.readline():
            self._said(line)

    def _said(self, line: bytes) -> None:
        assert line, "the host ended"
        said = json.loads(line)
        if "end" in said:
            self._outcomes[said["end"]] = said["outcome"]
        elif "told" in said:
            self._taken[said["told"]].set_result(said["taken"])

    async def hand_in(self, name: str, kind: str) -> bool:
        assert self._process is not None
        assert self._process.stdin is not None
        self._taken[name] = asyncio.get_running_loop().create_future()
        order = {"id": name, "kind": kind, "key": f"key-{name}" if kind == "keyed" else None}
        self._process.stdin.write(json.dumps(order).encode() + b"\n")
        async with asyncio.timeout(PATIENCE):
            return await self._taken[name]

    async def told(self) -> dict[str, str]:
        return self._outcomes

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()

    def shut_down(self) -> None:
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    async def stopped(self) -> None:
        assert self._process is not None
        async with asyncio.timeout(PATIENCE):
            assert await self._process.wait() == 0
            await self._reading


def test_library_and_daemon_give_identical_results(tmp_path: Path) -> None:
    histories: list[dict[str, History]] = []
    runs: list[Run] = []

    async def scenario(name: str, make: Callable[..., Front]) -> None:
        folder = tmp_path / name
        folder.mkdir()
        runs.append(Run(folder, make))
        histories.append(await runs[-1].play())

    run(scenario("daemon", Daemon))
    run(scenario("library", Library))
    daemon, library = histories
    assert daemon.keys() == library.keys()
    for name in daemon:
        assert (name, library[name]) == (name, daemon[name])
    # The script covered the intended cases.
    ends = {name: history.ends for name, history in daemon.items()}
    assert ends["m12"] == ["given_up", "given_up"]
    assert ends["m13"] == ends["m14"] == ends["m15"] == ends["m17"] == ["delivered"]
    assert ends["m16"] == ["handed_back"]
    words = [word for history in daemon.values() for *_, word in history.attempts]
    assert {"error", "full", "reset", "wait", "hold"} <= set(words)
    for one in runs:
        called = dict(one.calls)  # the last endpoint of each message
        assert all(called[name] != "a" for name in called if name > "m08")  # it is draining by then
        assert {endpoint for _, endpoint in one.calls} <= {"a", "b", "c", "d"}
