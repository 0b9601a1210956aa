"""Days on which a core machine is cut off, and orders come to both sides meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from unittest.mock import patch

import pytest
from absl import logging

from workshop.jig.days import Day


@pytest.fixture(autouse=True)
def quiet() -> Iterator[None]:
    """Machines' logs tell nothing here."""
    before = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(before)


@pytest.mark.parametrize("form", ["silent", "from", "refuse"])
def test_what_is_acknowledged_reaches_edges_while_a_relay_is_cut_off(form: str) -> None:
    """All others that count are restarted meanwhile: members' sessions go to the one that is cut off."""
    day = Day(7, "control")
    control, clock = day.control, day.clock

    def plan(start: float, end: float) -> None:
        clock.later(start - clock.now, partial(control.cut_off, day.deployment.cores[0], 20.0, form, False))
        for machine in day.deployment.cores[1:] + day.deployment.stores:
            clock.later(start + 9.0 - clock.now, partial(control.restart, machine))
        for number in range(24):
            clock.later(start + 2.0 + number - clock.now, day.operator.order)
            clock.later(start + 2.1 + number - clock.now, day.look_at_routes)

    with patch.object(control, "begin", plan):
        assert day.play() == []
