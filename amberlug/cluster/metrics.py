"""Metrics of a process: counters, and the page that exposes them to operator tools."""

from __future__ import annotations

import re
from collections.abc import Mapping

PATH = "/-/Foreman.Counters"  # the path is historical


class Counters(dict[str, int]):
    """Counters by name; a counter is absent until its first increment."""

    def increment(self, name: str) -> None:
        """Increment a counter by one."""
        self[name] = self.get(name, 0) + 1


def page(counters: Mapping[str, int]) -> bytes:
    """Render the counters page: one `name value` line per counter, sorted by name.

    Other characters in names are replaced by underscores, so that a space always terminates the name.
    """
    lines = (f"{re.sub('[^A-Za-z0-9]+', '_', name).strip('_')} {value}\n" for name, value in counters.items())
    return "".join(sorted(lines)).encode()
