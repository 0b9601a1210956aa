"""Helpers for tests of the library: settings, a scripted transport, and a host in its own process."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from amberlug import library
from amberlug.library import Call, Effect, Endpoint, Message, Relay, StaticEndpoints, message_class
from amberlug.standin.wire import PATIENCE
from tests.rig import ROOT

SETTINGS = library.settings(
    [
        message_class("safe", Effect.SAFE, deadline=8.0, wanted=1.0),
        message_class("keyed", Effect.KEYED, deadline=8.0, wanted=1.0, key_life=6.0),
        message_class("unsafe", Effect.UNSAFE, deadline=8.0, wanted=1.0),
    ]
)
ENDPOINT = Endpoint("e1", 1, rate=50.0)


class ScriptedTransport:
    """A transport: each call raises or awaits the next of `answers`, or is delivered if there is none."""

    def __init__(self, *answers: BaseException | None | Callable[[Call], Awaitable[None]]) -> None:
        self.answers = list(answers)
        self.calls: list[Call] = []
        self._changed = asyncio.Condition()

    async def __call__(self, call: Call, /) -> None:
        self.calls.append(call)
        answer = self.answers.pop(0) if self.answers else None
        async with self._changed:
            self._changed.notify_all()
        if callable(answer):
            await answer(call)
        elif answer is not None:
            raise answer

    async def called(self, count: int) -> list[Call]:
        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(lambda: len(self.calls) >= count)
        return self.calls

    @property
    def names(self) -> list[str]:
        return [call.message.id for call in self.calls]


async def never_return(call: Call) -> None:
    """Never return."""
    await asyncio.Event().wait()


def relay_on(folder: Path, partner: ScriptedTransport, **more: Any) -> Relay:
    usual: dict[str, Any] = {"endpoints": StaticEndpoints(ENDPOINT), "settings": SETTINGS, "seed": 1}
    return Relay(folder=folder, transport=partner, **usual | more)


def message(name: str, kind: str = "safe", **more: Any) -> Message:
    if kind == "keyed":
        more.setdefault("key", f"key-{name}")
    return Message(1, kind, b"hello", id=name, **more)


async def host(folder: Path, script: str, *arguments: str) -> tuple[int, str, str]:
    """Run a host script on a folder; returns its exit code, output and log."""
    path = folder / "host.py"
    path.write_text(script)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(path),
        str(folder / "state"),
        *arguments,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(PATIENCE):
        out, errors = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), errors.decode()


def lines(text: str) -> list[Any]:
    return [json.loads(line) for line in text.splitlines()]
