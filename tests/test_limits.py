"""Size limits of the sender module, to keep it readable."""

from pathlib import Path

import amberlug.policy.decide

SOURCE = Path(amberlug.policy.decide.__file__).read_text(encoding="utf-8").splitlines()


def test_no_line_is_longer_than_110_columns() -> None:
    assert max(len(line) for line in SOURCE) <= 110


def test_module_has_at_most_400_lines_that_are_not_blank() -> None:
    assert sum(1 for line in SOURCE if line.strip()) <= 400
