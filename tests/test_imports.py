"""Imports run one way: a package knows only what lies below it."""

import ast
import functools
import graphlib
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
# Each may import what stands before it, and itself.
LAYERS = (
    "amberlug.policy",
    "amberlug.core",
    "amberlug.learning",
    "amberlug.http",
    "amberlug.platform",
)
ON_TOP = "amberlug.cli"
# Neither runs nor is imported in a relay that no operator's file asks for it.
OFF = (
    "amberlug.cluster",
    "amberlug.mqtt",
    "amberlug.library",
    "amberlug.peers",
    "amberlug.copies",
    "paho",
    "blake3",
    "xxhash",
    "rich",
)
CLUSTER = "amberlug.cluster"
# What each package of the cluster may import of the cluster, beside itself.
CLUSTER_IMPORTS = {
    "values": (),
    "interfaces": ("values",),
    "metrics": (),
    "settings": ("interfaces", "values"),
    "rpc": ("interfaces", "values"),
    "gossip": ("interfaces", "rpc", "values"),
    "consensus": ("interfaces", "rpc", "settings", "storage.group_commit", "values"),
    "http": ("interfaces", "settings", "values"),
}
# The only modules of the cluster that know event loops, sockets, threads or databases.
WITH_IO = (
    "admin",
    "local_deployment",
    "asyncio_runtime",
    "process",
    "rpc.client_connection",
    "rpc.server_connection",
    "rpc.tcp",
    "rpc.transport",
    "http.connection",
    "http.server",
    "dispatch.endpoint_client",
    "storage.group_commit",
    "storage.message_store",
    "consensus.storage",
)
IO_MODULES = {"asyncio", "selectors", "socket", "sqlite3", "ssl", "threading"}


def layer(module: str) -> int:
    """Tell how high a module lies: the fronts between platform and command line share one floor."""
    for height, name in enumerate(LAYERS):
        if lies_in(module, name):
            return height
    above = module == "amberlug.__main__" or module.startswith(ON_TOP)
    return len(LAYERS) + above


def lies_in(module: str, package: str) -> bool:
    return module == package or module.startswith(package + ".")


@functools.cache
def sources() -> dict[str, Path]:
    return {
        ".".join(path.relative_to(ROOT).with_suffix("").parts): path
        for path in sorted(ROOT.glob("amberlug/**/*.py"))
    }


@functools.cache
def all_imported(path: Path) -> list[str]:
    """What a module imports, also for its types alone; `from a import b` is a.b where that is a module."""
    names: list[str] = []
    modules = sources()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            submodules = [f"{node.module}.{alias.name}" for alias in node.names]
            names += [name for name in submodules if name in modules]
            if not all(name in modules for name in submodules):
                names.append(node.module)
    return names


def imported(path: Path) -> list[str]:
    return [name for name in all_imported(path) if lies_in(name, "amberlug")]


def test_imports_run_one_way() -> None:
    against = []
    for module, path in sources().items():
        against += [f"{module} -> {name}" for name in imported(path) if layer(name) > layer(module)]
    assert against == []


def circle(graph: dict[str, list[str]]) -> list[str]:
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        return list(error.args[1])
    return []


def test_no_module_needs_itself() -> None:
    # What a package offers is gathered in its `__init__`, which is therefore left out.
    graph = {module: imported(path) for module, path in sources().items() if not module.endswith("__init__")}
    assert f"{CLUSTER}.consensus.raft" in graph
    assert circle(graph) == []


def test_a_circle_is_told() -> None:
    assert sorted(set(circle({"a": ["b"], "b": ["c"], "c": ["a"], "d": []}))) == ["a", "b", "c"]


@pytest.mark.parametrize("package", CLUSTER_IMPORTS)
def test_the_lower_packages_of_the_cluster_know_nothing_above_them(package: str) -> None:
    allowed = [f"{CLUSTER}.{name}" for name in (package, *CLUSTER_IMPORTS[package])]
    looked_at = {
        module: path for module, path in sources().items() if lies_in(module, f"{CLUSTER}.{package}")
    }
    assert looked_at
    against = [
        f"{module} -> {name}"
        for module, path in looked_at.items()
        for name in imported(path)
        if lies_in(name, CLUSTER) and not any(lies_in(name, other) for other in allowed)
    ]
    assert against == []


def test_decisions_of_the_cluster_know_no_event_loop_no_socket_and_no_database() -> None:
    with_io = [f"{CLUSTER}.{name}" for name in WITH_IO]
    against = [
        f"{module} -> {name}"
        for module, path in sources().items()
        if lies_in(module, CLUSTER) and not any(lies_in(module, other) for other in with_io)
        for name in all_imported(path)
        if name.partition(".")[0] in IO_MODULES
    ]
    assert against == []


def test_the_daemon_alone_imports_no_front() -> None:
    code = (
        f"FRONTS = {OFF}\n"
        "import sys, amberlug.cli.main, amberlug.platform.daemon, amberlug.cli.checking\n"
        "print([it for it in sys.modules if it.startswith(FRONTS)])"
    )
    out = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "[]"


def test_the_core_knows_no_sockets() -> None:
    for path in [*ROOT.glob("amberlug/core/**/*.py"), *ROOT.glob("amberlug/policy/*.py")]:
        names = {
            alias.name
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.Import)
            for alias in node.names
        }
        assert not names & {"socket", "h11", "selectors", "ssl"}, path


def test_what_run_installs_is_all_that_the_package_needs() -> None:
    """Guards against a daemon that starts only where the tests' own packages are."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    assert (ROOT / "requirements.txt").read_text(encoding="utf-8").split() == project["dependencies"]
