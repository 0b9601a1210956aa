"""The design note on control under faults names files, tests and planted faults that are there."""

import re
from pathlib import Path

import pytest

from amberlug.cluster.simulation.mutations import MUTANTS

ROOT = Path(__file__).parents[2]
ROWS = [
    [cell.strip(" `") for cell in line.strip("|\n ").split(" | ")]
    for line in (ROOT / "docs/design/0011-control-under-faults.md").read_text().splitlines()
    if re.search(r"`test_\w+::test_\w+`", line)
]


def test_the_note_has_rows() -> None:
    assert len(ROWS) > 50


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0][:50])
def test_a_row_names_what_is_there(row: list[str]) -> None:
    claim, _, file, test, fault = row
    assert claim
    assert (ROOT / file).is_file()
    where, _, name = test.partition("::")
    text = (ROOT / "tests/cluster" / f"{where}.py").read_text()
    assert f"def {name}(" in text
    assert fault == "-" or fault in MUTANTS
    if name.endswith(("is_found", "are_found")):
        assert f'"{fault}"' in text or "FAULTS" in text, "the test does not look for this fault"
