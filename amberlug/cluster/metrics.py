"""A process's metrics: counters, and the page that operators' tools read."""

from __future__ import annotations

import re
from collections.abc import Mapping

PATH = "/-/Foreman.Counters"  # the path is historical


class Counters(dict[str, int]):
    """Counters by name; one that was never incremented is not listed."""

    def increment(self, name: str) -> None:
        """Count one more event."""
        self[name] = self.get(name, 0) + 1


def page(counters: Mapping[str, int]) -> bytes:
    """The page: a line `name value` for each counter, by name.

    Names are letters, digits and underscores, so that a blank ends each.
    """
    lines = (f"{re.sub('[^A-Za-z0-9]+', '_', name).strip('_')} {value}\n" for name, value in counters.items())
    return "".join(sorted(lines)).encode()
