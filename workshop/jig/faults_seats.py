"""Faults put into the core's membership, and into what its book keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from workshop.settings import Tolerance
from workshop.vise import seats
from workshop.vise.seats import Seat


def _voters_in_one_zone() -> AbstractContextManager[Any]:
    """Voters are chosen by name alone."""

    def by_name(members: Iterable[Seat], tolerance: Tolerance, me: str) -> list[Seat]:
        live = [it for it in members if (it.lives if it.voter else it.ready)]
        wanted = max(3, 2 * max(tolerance.machines, tolerance.zones, tolerance.regions) + 1)
        return sorted(live, key=lambda it: (it.name != me, not it.voter, it.name))[:wanted]

    return patch.object(seats, "best", by_name)


FAULTS: Mapping[str, tuple[Callable[[], AbstractContextManager[Any]], str]] = {
    "voters-in-one-zone": (_voters_in_one_zone, "footing"),
}
