"""The list of known failures: what is no entry is refused, so that CI never passes over other tests."""

import re
from pathlib import Path

import pytest

from tests.known_red import LIST_NAME, ROOT, InvalidEntryError, deselect_options, parse_list

ENTRY = "tests/test_a.py::test_b | pytest -q, seed 7 | it fails in 2 of 5 runs | 65\n"


@pytest.fixture
def root(tmp_path: Path) -> Path:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_a.py").write_text("def test_b(): ...\nasync def test_c(): ...\n")
    (tmp_path / "run.sh").write_text("exit 1\n")
    return tmp_path


def test_the_list_of_this_repository_has_entries_only() -> None:
    path = ROOT / LIST_NAME
    parse_list(path.read_text() if path.exists() else "")


def test_only_listed_tests_are_passed_over(root: Path) -> None:
    text = ENTRY + ENTRY.replace("test_b", "test_c[2]") + ENTRY.replace("tests/test_a.py::test_b", "run.sh")
    options = deselect_options(parse_list(text, root))
    assert options == ["--deselect=tests/test_a.py::test_b", "--deselect=tests/test_a.py::test_c[2]"]
    assert deselect_options(parse_list("", root)) == []


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("\n", "line 1: not four fields"),  # once, an empty line made CI pass over every test
        (ENTRY + "\n" + ENTRY, "line 2: not four fields"),
        (ENTRY.replace(" | 65", ""), "line 1: not four fields"),
        (ENTRY.replace("seed 7", "seed 7 | x"), "line 1: not four fields"),
        (ENTRY.replace("tests/test_a.py::test_b", " "), "line 1: not four fields"),
        (ENTRY.replace("tests/test_a.py::test_b", "tests"), "there is no file 'tests'"),
        (ENTRY.replace("test_a", "test_z"), "there is no file 'tests/test_z.py'"),
        (ENTRY.replace("test_b", "test_"), "has no test 'test_'"),
        (ENTRY.replace("65", "soon"), "'soon' is no number of an issue"),
    ],
)
def test_what_is_no_entry_is_refused(root: Path, text: str, reason: str) -> None:
    with pytest.raises(InvalidEntryError, match=re.escape(reason)):
        parse_list(text, root)
