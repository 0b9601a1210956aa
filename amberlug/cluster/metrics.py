"""A process's counters as a page: one line each, `name value`."""

from __future__ import annotations

import re
from collections.abc import Mapping

PATH = "/-/Foreman.Counters"


def page(counts: Mapping[str, int]) -> bytes:
    """The page; names are letters, digits and underscores, so that a blank ends each."""
    lines = (f"{re.sub('[^A-Za-z0-9]+', '_', name).strip('_')} {value}" for name, value in counts.items())
    return "".join(f"{line}\n" for line in sorted(lines)).encode()
