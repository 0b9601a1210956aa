"""The scenarios in plain words, run with the rest."""

from pathlib import Path

from absl import logging
from behave.__main__ import main  # type: ignore[import-untyped]


def test_features() -> None:
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    try:
        assert main(["--no-color", "--format", "progress", str(Path(__file__).parent / "features")]) == 0
    finally:
        logging.set_verbosity(before)
