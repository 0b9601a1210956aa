"""Shared fixtures of the cluster tests."""

from collections.abc import Iterator

import pytest
from absl import logging


@pytest.fixture
def suppressed_logs() -> Iterator[None]:
    """Suppress the log output of simulated nodes."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)
