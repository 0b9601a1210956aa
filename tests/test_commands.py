"""The command line: validation, `try`, the journal and learning commands, and usage errors."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import pytest

from amberlug.cli import learnings, trial
from amberlug.cli.main import main
from amberlug.core.journal import FolderDisk
from amberlug.core.lock import FolderLock
from amberlug.core.messages import Attempt, End, Message, Outcome
from amberlug.core.ports import RequestedPause
from amberlug.learning.learner import Learner
from amberlug.learning.store import Store
from amberlug.platform.checking import check
from amberlug.platform.config import read_config
from amberlug.standin import deployment
from tests.conftest import setup
from tests.rig import ROOT, journal_in, member
from tests.test_learning import known


def config(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "seed": "8c1f30d27a5be964",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:7071",
        "limits": {"disk_mb": 3.0, "memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": [member(7072)]},
        "settings": setup(),
    } | changes


def found(data: Any) -> dict[str, str]:
    return {it.where: it.what for it in check(json.dumps(data))}


def test_a_good_configuration_has_no_problems() -> None:
    assert found(config()) == {}
    assert found(config(settings=deployment.settings(), known={"revision": 1, "members": []})) == {}


def test_all_problems_are_reported_with_their_locations() -> None:
    settings = setup(Rules__ColdShare=7, Bounds__MaxOpen="many", Weights="heavy")
    settings["Categories"][1]["KeyTtlUs"] = -1
    del settings["FamilyInfo"]["Slots"]
    members = [member(7072), member(7073), member(7074, "e2", kind="none"), 5, member(99999, "e4")]
    problems = found(
        config(
            listen="here",
            seed="xyz",
            settings=settings,
            limits={"sockets": -1, "memory_mb": 64},
            known={"revision": "one", "members": members},
        )
    )
    assert list(problems) == [
        "listen",
        "seed",
        "limits.sockets",
        "limits.disk_mb",
        "settings.KeyTtlUs",
        "settings.FamilyInfo.Slots",
        "settings.Bounds.MaxOpen",
        "settings.Weights",
        "settings.Rules.ColdShare",
        "known.revision",
        "known.members[1]",
        "known.members[2]",
        "known.members[3]",
        "known.members[4]",
    ]
    assert "listed twice" in problems["known.members[1]"]
    assert "unknown kind" in problems["known.members[2]"]


def learned(folder: Path, key: bytes = b"", **health: Any) -> None:
    """Create the folder of a relay that has learned about one endpoint, with a wait requested by it."""
    folder.mkdir()
    now = learnings.SystemClock()
    learner = Learner(Store(FolderDisk(folder), 10**5, now.now_us, key), now)
    learner.observe([known(now.now_us(), route={"learned": 3.0, "learned_us": now.now_us()}, **health)])
    learner.told(RequestedPause(1, "", 60_000_000, now.now_us() + 60_000_000, now.boot))
    learner.close()


def test_learning_shows_compares_and_forgets(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    learned(one)
    learned(other, failure_rate=0.25)
    before = {path.name: path.read_bytes() for path in one.iterdir()}
    assert main(["learning", "show", str(one), "--endpoint", "e1", "--json"]) == 0
    (partner,) = json.loads(capsys.readouterr().out)["destinations"]
    assert partner["waits"][0]["left_s"] > 50
    assert (partner["routes"][0]["limit"], partner["endpoints"][0]["state"]) == (3.0, "well")
    assert 0.9 < partner["endpoints"][0]["weight"] <= 1
    assert main(["learning", "show", str(one)]) == 0
    said = capsys.readouterr().out
    assert "told to wait" in said
    assert "all is believed" in said
    assert main(["learning", "diff", str(one), str(other)]) == 1
    assert "endpoint e1 failure_rate: 0.0 | 0.25" in capsys.readouterr().out
    assert {path.name: path.read_bytes() for path in one.iterdir()} == before  # nothing was modified
    assert main(["learning", "forget", str(one), "--destination", "1", "--endpoint", "e1"]) == 0
    assert main(["learning", "forget", str(one), "--destination", "1", "--endpoint", "e1"]) == 1
    capsys.readouterr()
    assert main(["learning", "show", str(one), "--json"]) == 0
    (partner,) = json.loads(capsys.readouterr().out)["destinations"]
    # Requested waits are kept, because they must be honored.
    assert (partner["endpoints"], len(partner["waits"])) == ([], 1)


def test_learning_verify_reports_rejected_facts(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, key = tmp_path / "state", tmp_path / "key"
    key.write_bytes(b"k" * 32)
    learned(folder, key=b"k" * 32)
    assert main(["learning", "verify", str(folder), "--key", str(key)]) == 0
    assert main(["learning", "verify", str(folder)]) == 1
    assert "another key" in capsys.readouterr().out
    lock = FolderLock(folder, lambda: True)
    assert main(["learning", "forget", str(folder), "--destination", "1", "--key", str(key)]) == 2
    lock.release()
    key.write_bytes(b"short")
    assert main(["learning", "verify", str(folder), "--key", str(key)]) == 2
    assert main(["learning", "verify", str(tmp_path / "none")]) == 2
    assert found(config(learning_key_file=str(key)))["learning_key_file"].endswith("16 to 4096 bytes")


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ("", "line 1 column 1"),
        ('{\n "name" 3}', "line 2 column 9"),
        ("[]", "the whole"),
        ("[" * 100_000, "the whole"),
        ("{}", "seed"),
    ],
)
def test_an_unreadable_configuration_is_one_clear_problem(text: str, where: str) -> None:
    assert check(text)[0].where == where


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "127.0.0.1"},
        {"seed": None},
        {"limits": {}},
        {"limits": {"disk_mb": 3.0, "memory_mb": 64, "sockets": 20}},
        {"settings": []},
        {"settings": setup(Rules__WarmWithinUs=None)},
        {"known": {"revision": 1, "complete": True, "members": [member(0)]}},
    ],
)
def test_check_finds_what_a_start_refuses(tmp_path: Path, changes: dict[str, Any]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(**changes)))
    environ = {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(tmp_path)}
    with pytest.raises(ValueError):  # noqa: PT011 - any of its error messages
        read_config(environ)
    assert check(path.read_text()) != []


def test_the_check_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    assert main(["check", str(path)]) == 0
    assert capsys.readouterr().out == f"{path}: no problems\n"
    path.write_text(json.dumps(config(seed="xyz")))
    assert main(["check", str(path)]) == 1
    assert capsys.readouterr().out == f"{path}: seed: not a hexadecimal number: 'xyz'\n"
    assert main(["check", str(path), "--json"]) == 1
    assert json.loads(capsys.readouterr().out)["problems"][0]["where"] == "seed"
    assert main(["check", str(tmp_path / "none.json")]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_try_runs_the_real_relay_without_breaking_a_rule(capsys: pytest.CaptureFixture[str]) -> None:
    assert trial.main(as_json=True, messages=60, seconds=1.0) == 0
    figures = json.loads(capsys.readouterr().out)
    assert (figures["handed_in"], figures["broken"]) == (60, [])
    assert figures["taken"] + figures["refused"] + figures["unanswered"] == 60
    assert [row["partner"] for row in figures["partners"]] == [
        "steady",
        "slow",
        "limited",
        "dropping",
        "draining",
    ]
    ends = sum(row["delivered"] + row["handed_back"] + row["given_up"] for row in figures["partners"])
    assert ends == figures["taken"]


def test_try_shows_a_table_and_the_broken_rules() -> None:
    row = {
        "partner": "steady",
        "messages": 1,
        "calls": 2,
        "delivered": 1,
        "handed_back": 0,
        "given_up": 0,
        "waits": 0,
        "median_ms": None,
    }
    figures = {"handed_in": 1, "taken": 1, "refused": 0, "unanswered": 0, "partners": [row], "broken": []}
    assert trial.table(figures).splitlines()[-1] == "every rule was kept"
    text = trial.table(figures | {"broken": ["m1: lost, with 0 calls"]})
    assert text.splitlines()[-1] == "BROKEN m1: lost, with 0 calls"


def journal(folder: Path) -> None:
    """Create a folder with a sent, an unacknowledged and a completed message."""
    it = journal_in(folder)
    sent, owed, over = (Message(name, "safe", None, 1, None, b"x" * 500, 10**15) for name in ("a", "b", "c"))
    for one in (sent, owed, over):
        it.take(one, 0)
    it.attempt(Attempt(sent, 0, "e", 0, 1), 0)
    it.owe(owed, End("b", Outcome.GIVEN_UP))
    it.end("c", 10**15, 0)
    it.close()


def test_the_journal_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder, saved = tmp_path / "state", tmp_path / "saved"
    folder.mkdir()
    journal(folder)
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    assert main(["journal", "inspect", str(folder), "--json"]) == 0
    figures = json.loads(capsys.readouterr().out)
    assert (figures["held"], figures["ends_owed"], figures["names_known"]) == (
        {"safe": 1},
        {"given_up": 1},
        1,
    )
    assert figures["attempts_without_outcome"] == 1
    assert main(["journal", "inspect", str(folder)]) == 0
    assert "held: 1 safe" in capsys.readouterr().out
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before  # it is read-only
    (path,) = folder.iterdir()
    data = bytearray(path.read_bytes())
    data[data.index(b"x" * 100) + 50] ^= 1
    path.write_bytes(data)
    assert main(["journal", "verify", str(folder)]) == 1
    assert capsys.readouterr().out.startswith("DAMAGED segment 1 offset ")
    assert main(["journal", "salvage", str(folder), str(saved)]) == 1
    assert main(["journal", "verify", str(saved)]) == 0
    held = journal_in(saved).held
    assert {name: one.end for name, one in held.items()} == {
        "a": End("a", Outcome.GIVEN_UP),
        "b": End("b", Outcome.GIVEN_UP),
    }
    capsys.readouterr()
    assert main(["journal", "salvage", str(folder), str(saved)]) == 2
    assert main(["journal", "inspect", str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err.count("\n") == 2


def test_an_unknown_command_is_an_error_and_serve_is_the_default() -> None:
    async def scenario() -> None:
        environ = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        unset = b"ROUTER_CONFIG is not set"
        for arguments, said in (((), unset), (("serve",), unset), (("none",), b"usage")):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "amberlug",
                *arguments,
                cwd=ROOT,
                env=environ,
                stderr=asyncio.subprocess.PIPE,
            )
            _, errors = await process.communicate()
            assert (process.returncode, said in errors) == (2, True)

    asyncio.run(scenario())
