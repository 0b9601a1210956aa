"""What the README shows works as shown."""

import json
import re
import signal
from pathlib import Path
from typing import Any

import pytest

from amberlug.asgi import RelayMiddleware
from amberlug.platform.checking import check
from amberlug.standin.wire import Platform
from tests.conftest import setup
from tests.rig import ROOT, Relay, run

README = (ROOT / "README.md").read_text(encoding="utf-8")
BLOCKS = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
EXAMPLE = ROOT / "docs" / "operating" / "example.json"


def test_the_library_and_the_middleware_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    library, middleware, _ = BLOCKS
    assert library.count("assert") == 2
    names: dict[str, Any] = {}
    exec(compile(library, "README.md", "exec"), names)
    exec(compile(middleware, "README.md", "exec"), names)
    assert isinstance(names["app"], RelayMiddleware)


def test_the_decisions_run() -> None:
    (*_, code) = BLOCKS
    assert code.count("assert") == 2
    exec(compile(code, "README.md", "exec"), {"SETUP": json.dumps(setup())})


def test_the_example_configuration_serves(tmp_path: Path) -> None:
    assert "ROUTER_CONFIG=docs/operating/example.json" in README
    text = EXAMPLE.read_text(encoding="utf-8")
    assert check(text) == []
    data = json.loads(text)

    async def scenario() -> None:
        platform = Platform()
        await platform.start()
        relay = Relay(tmp_path, platform, data["known"]["members"], data["settings"], data["limits"])
        await relay.start()
        await platform.watched(1)
        relay.signal(signal.SIGTERM)
        assert await relay.ended() == 0
        await platform.stop()

    run(scenario())


def test_the_two_commands_are_there() -> None:
    assert "-m amberlug try" in README
    assert "-m pytest -q" in README
