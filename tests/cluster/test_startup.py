"""Tests that a starting node imports only the modules of its kind.

Nodes start on a fraction of a core, where each imported module delays startup.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from amberlug.cluster.cli import cli
from amberlug.cluster.process import EX_BAD_SETTINGS
from amberlug.cluster.settings import SETTINGS_FILE_VARIABLE
from benchmarks.startup import Start, start_node

ROOT = Path(__file__).parents[2]
CLUSTER = "amberlug.cluster"
EX_BAD_USAGE = 2
# Packages and modules of the cluster that no node needs for serving.
FORBIDDEN = (
    "click",
    "pyrsistent",
    "msgpack",
    "rich",
    f"{CLUSTER}.admin",
    f"{CLUSTER}.cli",
    f"{CLUSTER}.local_deployment",
    f"{CLUSTER}.simulation",
)
# Modules of the control plane that are imported by nodes with a session.
SESSION = (
    "consensus.membership",
    "consensus.opaque",
    "control.messages",
    "control.published_state",
    "control.session_attributes",
    "control.sessions",
    "control.state_entries",
)
# Modules that a kind of node may import from the packages of other kinds: their messages and shared code.
SHARED = {
    "edge": (
        *SESSION,
        "control.shard_assignment",
        "storage.content_messages",
        "storage.messages",
        "storage.outcomes",
    ),
    "storage": SESSION,
    "control_plane": (
        "storage.content_messages",
        "storage.group_commit",
        "storage.operator_messages",
        "storage.outcomes",
    ),
}
OTHERS = {
    "edge": ("storage", "control", "consensus"),
    "storage": ("edge", "dispatch", "control", "consensus"),
    "control_plane": ("edge", "dispatch", "storage"),
}
# Modules of the project, all of which are read at startup: run `benchmarks.startup` before raising a limit.
MAX_MODULES = {"edge": 80, "storage": 52, "control_plane": 88}
KINDS = tuple(SHARED)


@pytest.fixture(scope="module")
def starts() -> dict[str, Start]:
    return {kind: start_node(ROOT, kind) for kind in KINDS}


def is_in_package(module: str, package: str) -> bool:
    return module == package or module.startswith(package + ".")


@pytest.mark.parametrize("kind", KINDS)
def test_a_start_imports_nothing_of_the_command_line_and_of_the_simulation(
    starts: dict[str, Start], kind: str
) -> None:
    found = [
        name for name in starts[kind].modules if any(is_in_package(name, package) for package in FORBIDDEN)
    ]
    assert found == []


@pytest.mark.parametrize("kind", KINDS)
def test_a_start_imports_only_the_messages_of_other_kinds(starts: dict[str, Start], kind: str) -> None:
    packages = [f"{CLUSTER}.{name}" for name in OTHERS[kind]]
    allowed = {*packages, *(f"{CLUSTER}.{name}" for name in SHARED[kind])}
    found = {
        name for name in starts[kind].modules if any(is_in_package(name, package) for package in packages)
    }
    assert found - allowed == set()


@pytest.mark.parametrize("kind", KINDS)
def test_a_start_imports_no_more_modules_than_are_counted_here(starts: dict[str, Start], kind: str) -> None:
    assert f"{CLUSTER}.process" in starts[kind].own_modules
    assert len(starts[kind].own_modules) <= MAX_MODULES[kind]


def test_run_without_the_command_line_does_what_the_command_line_would(tmp_path: Path) -> None:
    missing = {SETTINGS_FILE_VARIABLE: str(tmp_path / "missing.yaml")}
    by_command_line = CliRunner().invoke(cli, ["run"], env=missing)
    alone = subprocess.run(
        [sys.executable, "-m", "amberlug.cluster", "run"],
        cwd=ROOT,
        env=os.environ | missing,
        capture_output=True,
        text=True,
        check=False,
    )
    assert by_command_line.exit_code == alone.returncode == EX_BAD_SETTINGS
    assert by_command_line.stderr == alone.stderr != ""


@pytest.mark.parametrize(
    ("arguments", "status"), [(["--help"], 0), (["run", "--help"], 0), (["run", "x"], 2)]
)
def test_other_arguments_go_to_the_command_line(arguments: list[str], status: int) -> None:
    command = [sys.executable, "-m", "amberlug.cluster", *arguments]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert found.returncode == status
    assert "Usage: python -m amberlug.cluster" in found.stdout + found.stderr
