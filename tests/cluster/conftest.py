"""Fixtures that tests of the cluster share."""

from collections.abc import Iterator

import pytest
from absl import logging


@pytest.fixture
def suppressed_logs() -> Iterator[None]:
    """Keep the log lines of simulated nodes out of the output."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)
