"""The pages name modules, types, commands, counters and log lines that are in the code."""

import ast
import functools
import importlib.util
import re
import shlex
from collections.abc import Iterator
from pathlib import Path

import click
import pytest

from amberlug.cli.main import parser as relay_parser
from amberlug.cluster.cli import cli
from amberlug.cluster.simulation.__main__ import main as simulation_cli

ROOT = Path(__file__).parents[1]
CLUSTER = ROOT / "amberlug" / "cluster"
README = ROOT / "README.md"
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
SYSTEM = ROOT / "docs" / "operating" / "system.md"
READABLE_CODE = ROOT / "docs" / "design" / "0012-readable-code.md"
PAGES_WITH_COMMANDS = [README, *sorted((ROOT / "docs" / "operating").glob("*.md"))]
ADMIN = "admin"  # the group of the operators' commands
CLUSTER_NAMES = {path.stem for path in CLUSTER.iterdir() if path.name[0] != "_"}
REFERENCE = re.compile(r"[A-Za-z_]\w*(?:[./]\w+)*/?")
COMMAND = re.compile(r"python3? -m ([\w.]+)((?: +[a-z][a-z-]*(?![\w.:/=]))*)")
LOGGED, COUNTED = r"\blogg(ing|er)\.", r"count|increment"
MIN_LETTERS = 3  # of a string in the code, so that one that is all placeholders matches nothing


# -- modules and types


def references(page: str) -> list[str]:
    """Name what stands in backticks and begins with `amberlug` or with a package of the cluster."""
    found = []
    for token in re.findall(r"`([^`\n]+)`", page):
        parts = re.split(r"[./]", token)
        path = REFERENCE.fullmatch(token) is not None
        if path and (parts[0] == "amberlug" or (parts[0] in CLUSTER_NAMES and len(parts) > 1)):
            found.append(token)
    return found


def defined(body: list[ast.stmt]) -> dict[str, list[ast.stmt]]:
    """Give what a module or class body defines, each name with the body of its class if it is one."""
    names: dict[str, list[ast.stmt]] = {}
    for node in body:
        if isinstance(node, ast.ClassDef):
            names[node.name] = node.body
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names[node.name] = []
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names[node.target.id] = []
        elif isinstance(node, ast.Assign):
            names |= {target.id: [] for target in node.targets if isinstance(target, ast.Name)}
    return names


def exists(reference: str) -> bool:
    """Tell whether a path or a dotted name is in the code."""
    first = re.split(r"[./]", reference)[0]
    root = ROOT if first == "amberlug" else CLUSTER
    if "/" in reference:
        return (root / reference).exists()
    at, parts = root, reference.split(".")
    while parts and (at / parts[0]).is_dir():
        at /= parts.pop(0)
    if parts and (at / f"{parts[0]}.py").is_file():
        at /= f"{parts.pop(0)}.py"
    source = at if at.suffix == ".py" else at / "__init__.py"
    if not source.is_file():
        return False
    body = ast.parse(source.read_text(encoding="utf-8")).body
    for part in parts:
        names = defined(body)
        if part not in names:
            return False
        body = names[part]
    return True


@pytest.mark.parametrize("page", [README, GLOSSARY, ARCHITECTURE], ids=lambda path: path.stem)
def test_each_module_and_type_that_a_page_names_is_there(page: Path) -> None:
    found = references(page.read_text(encoding="utf-8"))
    assert len(found) > 25
    assert [reference for reference in found if not exists(reference)] == []


@pytest.mark.parametrize(
    "planted",
    [
        "amberlug.cluster.consensus.raft.RaftNoun",
        "amberlug.cluster.consensus.raft.RaftNode.no_such_method",
        "amberlug.cluster.vise",
        "amberlug/cluster/consensus/agree.py",
        "consensus/agree.py",
        "storage.node.Store",
    ],
)
def test_a_planted_wrong_name_is_found(planted: str) -> None:
    assert references(f"| the `{planted}` of old |") == [planted]
    assert not exists(planted)


def test_right_names_are_taken() -> None:
    for name in (
        "amberlug.cluster.consensus.raft.RaftNode.propose",
        "amberlug/cluster/rpc/messages.py",
        "rpc/messages.py",
        "amberlug.policy",
        "edge/",
    ):
        assert references(f"`{name}`") == [name]
        assert exists(name)


def test_the_glossary_has_each_withdrawn_name_of_the_design_note() -> None:
    rows = READABLE_CODE.read_text(encoding="utf-8").partition("| before | now |")[2].splitlines()
    withdrawn = {
        name for row in rows if row.startswith("| `") for name in re.findall(r"`([^`]+)`", row.split("|")[1])
    }
    assert len(withdrawn) > 60
    named = set(re.findall(r"`([^`\n]+)`", GLOSSARY.read_text(encoding="utf-8")))
    assert sorted(withdrawn - named) == []


# -- counters and log lines


def pattern(node: ast.AST) -> str | None:
    """Give a string of the code as a pattern in which each placeholder is any text."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        pieces = re.split(r"%[sd]", node.value)
    elif isinstance(node, ast.JoinedStr):
        joined = "".join(str(it.value) if isinstance(it, ast.Constant) else "%s" for it in node.values)
        pieces = joined.split("%s")
    else:
        return None
    long_enough = len(re.findall("[a-z]", "".join(pieces))) >= MIN_LETTERS
    return ".+".join(map(re.escape, pieces)) if long_enough else None


@functools.cache
def written(by: str) -> tuple[re.Pattern[str], ...]:
    """Give the strings in calls whose function's name has a word, in the code of the nodes."""
    patterns = set()
    for path in sorted(CLUSTER.glob("**/*.py")):
        if path.relative_to(CLUSTER).parts[0] in ("simulation", "local_deployment", "admin"):
            continue
        for call in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(call, ast.Call) and re.search(by, ast.unparse(call.func), re.IGNORECASE):
                patterns |= {pattern(node) for argument in call.args for node in ast.walk(argument)}
    return tuple(re.compile(it) for it in sorted(patterns - {None}, key=str) if it is not None)


def is_written(text: str, by: str = LOGGED) -> bool:
    """Tell whether the code writes this log line, or counts under this name."""
    return any(it.fullmatch(text) for it in written(by))


def rows_of(page: Path, heading: str) -> Iterator[list[str]]:
    """Give the cells of the first table behind a heading."""
    section = page.read_text(encoding="utf-8").partition(f"## {heading}\n")[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| ")]
    for line in lines[2:]:
        yield [cell.strip() for cell in line.strip("|\n ").split(" | ")]


@pytest.mark.parametrize(("heading", "by"), [("What the log says", LOGGED), ("Counters", COUNTED)])
def test_the_operators_page_names_log_lines_and_counters_that_are_written(heading: str, by: str) -> None:
    names = [name for row in rows_of(SYSTEM, heading) for name in re.findall(r"`([^`]+)`", row[0])]
    assert len(names) > 15
    assert [name for name in names if not is_written(name, by)] == []


@pytest.mark.parametrize(("heading", "by"), [("Log lines", LOGGED), ("Counters", COUNTED)])
def test_the_glossary_names_counters_and_log_lines_that_are_written(heading: str, by: str) -> None:
    rows = list(rows_of(GLOSSARY, heading))
    assert len(rows) > 15
    names = [(row[0] if row[1] == "stays" else row[1]).strip("`") for row in rows]
    assert [name for name in names if not is_written(name, by)] == []


def test_a_planted_wrong_line_is_found() -> None:
    assert is_written("term 4: leader is 10.0.0.1/0")
    assert not is_written("term 4: the rider is 10.0.0.1/0")
    assert is_written("calls: done", COUNTED)
    assert not is_written("hailed: done", COUNTED)
    assert not is_written("ready", COUNTED)


# -- commands


def admin_group() -> click.Group:
    """Give the group of the operators' commands."""
    group = cli.get_command(click.Context(cli), ADMIN)
    assert isinstance(group, click.Group)
    return group


def leads_somewhere(group: click.Group, words: list[str]) -> bool:
    """Tell whether words name a command of a group; behind a command stand its arguments."""
    for word in words:
        command = group.get_command(click.Context(group), word)
        if command is None:
            return False
        if not isinstance(command, click.Group):
            return True
        group = command
    return True


def command_exists(module: str, words: list[str]) -> bool:
    """Tell whether `python -m module words` starts something."""
    if module == "amberlug.cluster":
        return leads_somewhere(cli, words)
    if module == "amberlug.cluster.simulation":
        return leads_somewhere(simulation_cli, words)
    if module == "amberlug" and words:
        return re.search(rf"^ +{words[0]}\b", relay_parser().format_help(), re.MULTILINE) is not None
    if module.partition(".")[0] in ("amberlug", "benchmarks"):
        at = ROOT / module.replace(".", "/")
        return at.with_suffix(".py").is_file() or (at / "__main__.py").is_file()
    return importlib.util.find_spec(module) is not None


@pytest.mark.parametrize("page", PAGES_WITH_COMMANDS, ids=lambda path: path.stem)
def test_the_commands_of_a_page_are_there(page: Path) -> None:
    found = COMMAND.findall(page.read_text(encoding="utf-8"))
    assert [(module, words) for module, words in found if not command_exists(module, words.split())] == []


def test_pages_with_commands_have_some() -> None:
    texts = [page.read_text(encoding="utf-8") for page in PAGES_WITH_COMMANDS]
    assert sum(len(COMMAND.findall(text)) for text in texts) > 20


def test_a_planted_wrong_command_is_found() -> None:
    for text in (
        "python -m workshop run",
        "python -m amberlug swerve",
        "python -m amberlug.cluster walk --at HOST",
        "python -m amberlug.cluster admin guess --at HOST",
        "python -m amberlug.cluster.simulation guess 4",
        "python3 -m benchmarks.no_such_bench",
    ):
        ((module, words),) = COMMAND.findall(text)
        assert not command_exists(module, words.split()), text
    assert command_exists("amberlug.cluster", ["run"])


def test_the_operators_commands_are_there() -> None:
    """The rows of the page's table are words and options of `admin`."""
    rows = [row[0] for row in rows_of(SYSTEM, "Commands")]
    usages = [usage for row in rows for usage in re.findall(r"`([^`]+)`", row)]
    assert len(usages) > 10
    for usage in usages:
        words = shlex.split(usage.replace("[", " ").replace("]", " "))
        command: click.Command = admin_group()
        while isinstance(command, click.Group):
            inner = command.get_command(click.Context(command), words.pop(0))
            assert inner is not None, usage
            command = inner
        options = {option for it in command.params for option in it.opts}
        assert {word for word in words if word.startswith("--")} <= options, usage
